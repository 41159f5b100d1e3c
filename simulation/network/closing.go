package network

import (
	"io"
	"syscall"
)

// finArrived handles the peer's FIN: the peer sends no more.
func (s *socket) finArrived() {
	s.finReceived = true
	s.scheduleEOF()
}

// scheduleEOF schedules the notification of the owner that the peer has closed the connection. While the owner has not
// read all received data, or has not been told of the connection, it does nothing and must be called again later.
func (s *socket) scheduleEOF() {
	if s.conn == nil || !s.conn.Connected() || len(s.receiveBuffer) > 0 || s.ownerNotified || s.state != stateOpen {
		return
	}
	s.schedule(func() {
		if s.ownerNotified || s.state != stateOpen || len(s.receiveBuffer) > 0 {
			return
		}
		s.close() // the poller of package transport also closes the connection before it notifies the owner
		s.notifyClosed(io.EOF)
	})
}

// notifyClosed notifies the owner, at most once, that the connection has ended.
func (s *socket) notifyClosed(err error) {
	if s.conn == nil || s.ownerNotified {
		return
	}
	s.ownerNotified = true
	s.host.world.Record('e', uint64(s.host.index), uint64(s.remote.Port()))
	s.conn.HandleClosed(err)
}

// fail closes this end because of a network error and schedules the notification of the owner.
func (s *socket) fail(err error) {
	if s.state == stateClosed {
		return
	}
	s.state = stateClosed
	s.host.removeSocket(s)
	s.schedule(func() { s.notifyClosed(err) })
}

// reset closes this end and sends a RST to the peer. It notifies the owner if notify is set.
func (s *socket) reset(notify bool) {
	if s.state == stateClosed {
		return
	}
	if notify {
		s.fail(syscall.ECONNRESET)
	} else {
		s.state = stateClosed
		s.host.removeSocket(s)
	}
	if p := s.peer; p != nil && p.state != stateClosed {
		p.afterPacket(s.host, func() { p.fail(syscall.ECONNRESET) })
	}
}

// close closes this end for its owner. If there is unread data or the connect has not completed, the connection is
// reset, as in TCP. Otherwise data that was sent before, and then a FIN, are still delivered.
func (s *socket) close() {
	switch {
	case s.state == stateClosed || s.state == stateClosing:
	case s.state == stateConnecting || len(s.receiveBuffer) > 0:
		s.reset(false)
	default:
		s.state = stateClosing
		s.writeClosed = true
		s.unbuffered = nil
		s.host.removeSocket(s)
		s.sendSegment()
	}
}

// ResetConnections resets up to limit connections between two hosts that filter selects, and returns their number.
// unread is the number of bytes that have been received but not read at both ends. unsent is the number of bytes in the
// send buffers of both ends, including those for which the send buffer of from had no room. connecting reports whether
// from is still connecting.
func (w *World) ResetConnections(from, to *Host, limit int, filter func(unread, unsent int, connecting bool) bool) int {
	count := 0
	for _, s := range append([]*socket(nil), from.sockets...) {
		if s.peer == nil || s.peer.host != to || count >= limit || s.state == stateClosed {
			continue
		}
		unread := len(s.receiveBuffer) + len(s.peer.receiveBuffer)
		unsent := len(s.sendBuffer) + len(s.unbuffered) + len(s.peer.sendBuffer)
		if filter(unread, unsent, s.state == stateConnecting) {
			s.peer.reset(true)
			s.fail(syscall.ECONNRESET)
			count++
		}
	}
	return count
}
