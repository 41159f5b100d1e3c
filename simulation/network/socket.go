package network

import (
	"net"
	"net/netip"

	"threadrun/internal/transport"
)

type socketState uint8

const (
	stateConnecting socketState = iota
	stateOpen
	stateClosing // closed by its owner; data sent before the close is still delivered
	stateClosed
)

// socket is one end of a connection, with the state that a kernel keeps for it. It implements transport.Socket. Its
// owner is the process that runs on its host in the given incarnation; calls to the owner are made by Host.run.
type socket struct {
	host        *Host
	incarnation int
	conn        *transport.Conn // nil: not accepted yet
	peer        *socket         // other end; nil until the connect has reached the remote host
	remote      netip.AddrPort
	state       socketState

	unbuffered    []byte // sent by the owner, not yet in the send buffer
	sendBuffer    []byte // not yet received by the peer; includes the segment in flight
	receiveBuffer []byte // not yet read by the owner
	inFlight      bool   // a segment is in flight
	readScheduled bool   // a call of read is scheduled
	writeClosed   bool   // the owner sends no more
	finSent       bool
	finReceived   bool // the peer sends no more
	ownerNotified bool // the owner has been notified that the connection has ended

	sent     int64  // bytes sent by the owner
	sends    []send // calls that sent them, except calls that WrittenAt has discarded
	closedAt Micros // when the owner closed it; 0: not closed
}

// send records a call of Send.
type send struct {
	offset int64 // in the stream, of the first byte of the call
	at     Micros
}

// WrittenAt returns when the peer sent the byte at an offset of the received stream; 0: unknown. Offsets must not
// decrease from call to call, because records of earlier calls of Send are discarded.
func WrittenAt(connection transport.Socket, offset int64) Micros {
	s, ok := connection.(*socket)
	if !ok || s.peer == nil {
		return 0
	}
	p := s.peer
	for len(p.sends) > 1 && p.sends[1].offset <= offset {
		p.sends = p.sends[1:]
	}
	if len(p.sends) == 0 {
		return 0
	}
	return p.sends[0].at
}

// ClosedAt returns when the peer's owner closed a connection; 0: the owner has not closed it.
func ClosedAt(connection transport.Socket) Micros {
	if s, ok := connection.(*socket); ok && s.peer != nil {
		return s.peer.closedAt
	}
	return 0
}

// Send copies as many bytes to the send buffer as there is room for, and returns their number. The other bytes are
// moved to the send buffer when there is room, and then reported by Conn.HandleWritten.
func (s *socket) Send(parts [][]byte, _ bool) (buffered int) {
	if s.state == stateClosed || s.state == stateClosing || s.writeClosed {
		return 0
	}
	s.sends = append(s.sends, send{s.sent, s.host.world.now})
	for _, part := range parts {
		s.sent += int64(len(part))
		if s.state == stateOpen && len(s.unbuffered) == 0 {
			n := max(min(len(part), s.room()), 0)
			s.sendBuffer = append(s.sendBuffer, part[:n]...)
			part = part[n:]
			buffered += n
		}
		s.unbuffered = append(s.unbuffered, part...)
	}
	s.sendSegment()
	return buffered
}

// room returns the number of free bytes in the send buffer. It is negative if Host.SendBuffer has been reduced below
// the number of bytes in the buffer.
func (s *socket) room() int { return s.host.SendBuffer - len(s.sendBuffer) }

// Peek copies unread data to b. If there is none, eof reports whether the peer has closed its sending side.
func (s *socket) Peek(b []byte) (n int, eof bool) {
	return copy(b, s.receiveBuffer), s.finReceived && len(s.receiveBuffer) == 0
}

// Unread returns the number of bytes of unread data.
func (s *socket) Unread() int { return len(s.receiveBuffer) }

// PeerClosed reports whether the peer has closed its sending side, even if data is unread.
func (s *socket) PeerClosed() bool { return s.finReceived }

// CloseWrite closes the sending side after all bytes sent before. The socket still receives.
func (s *socket) CloseWrite() {
	if s.state == stateOpen {
		s.writeClosed = true
		s.sendSegment()
	}
}

// FullThreshold returns the size of the receive buffer.
func (s *socket) FullThreshold() int { return maxReceiveBuffer }

// Close closes the connection for its owner. The owner is notified by a scheduled call, because the poller of
// package transport also notifies it asynchronously.
func (s *socket) Close() {
	s.closedAt = s.host.world.now
	s.close()
	s.schedule(func() { s.notifyClosed(net.ErrClosed) })
}

// String returns the peer's address.
func (s *socket) String() string { return s.remote.String() }

// schedule schedules a call of f in the owner's process at the current time.
func (s *socket) schedule(f func()) {
	s.host.world.At(s.host.world.now, func() { s.host.run(s.incarnation, f) })
}

// afterPacket sends a packet without data from another host to the socket's host, and calls f when it arrives, unless
// the socket is closed by then. While the other host can't reach this one, the packet is retransmitted.
func (s *socket) afterPacket(from *Host, f func()) {
	w := s.host.world
	w.after(w.transitTime(w.Link(from, s.host), controlBytes), func() {
		switch {
		case s.state == stateClosed:
		case w.unreachable(from, s.host):
			w.after(retransmitDelay, func() { s.afterPacket(from, f) })
		default:
			f()
		}
	})
}
