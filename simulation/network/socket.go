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
	stateClosing // closed by its owner; data sent before is still delivered
	stateClosed
)

// socket is one end of a connection, with the state that a kernel keeps for it. It implements transport.Socket. Its
// owner is the process of its host; calls to the owner are made by Host.run.
type socket struct {
	host        *Host
	incarnation int
	conn        *transport.Conn // nil: not accepted yet
	peer        *socket         // nil: never connected
	remote      netip.AddrPort
	state       socketState

	unbuffered    []byte // sent by the owner, not yet in the send buffer
	sendBuffer    []byte // not yet received by the peer
	receiveBuffer []byte // not yet read by the owner
	inFlight      bool   // a segment is in flight
	readScheduled bool
	writeClosed   bool // the owner sends no more
	finSent       bool // and the FIN has been sent
	finReceived   bool // the peer sends no more
	ownerNotified bool // that the connection has ended

	sent     int64  // bytes sent by the owner
	sends    []send // the calls that sent them
	closedAt Micros // when the owner closed it; 0: not closed
}

// send is a call of Send.
type send struct {
	offset int64 // of its first byte
	at     Micros
}

// WrittenAt returns when the peer sent the byte at an offset of the received stream; 0: unknown. Offsets must not
// decrease from call to call.
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

// ClosedAt returns when the peer's owner closed a connection; 0: it did not.
func ClosedAt(connection transport.Socket) Micros {
	if s, ok := connection.(*socket); ok && s.peer != nil {
		return s.peer.closedAt
	}
	return 0
}

// Send buffers bytes as a kernel does: as many as there is room for at once, the others later.
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

// room returns the free bytes of the send buffer. It is negative if the buffer has been made smaller.
func (s *socket) room() int { return s.host.SendBuffer - len(s.sendBuffer) }

// Peek copies unread data to b. If there is none, ended reports whether the peer sends no more.
func (s *socket) Peek(b []byte) (n int, ended bool) {
	return copy(b, s.receiveBuffer), s.finReceived && len(s.receiveBuffer) == 0
}

// CloseWrite closes the connection for writing; it is still read.
func (s *socket) CloseWrite() {
	if s.state == stateOpen {
		s.writeClosed = true
		s.sendSegment()
	}
}

// FullThreshold returns the size of the receive buffer.
func (s *socket) FullThreshold() int { return maxReceiveBuffer }

// Close closes the connection for its owner, which is notified later, as by a poller.
func (s *socket) Close() {
	s.closedAt = s.host.world.now
	s.close()
	s.schedule(func() { s.notifyClosed(net.ErrClosed) })
}

// String returns the peer's address.
func (s *socket) String() string { return s.remote.String() }

// schedule schedules a call of f in the owner's process now.
func (s *socket) schedule(f func()) {
	s.host.world.At(s.host.world.now, func() { s.host.run(s.incarnation, f) })
}

// afterPacket calls f once a packet from another host has arrived here, after retransmissions if necessary.
func (s *socket) afterPacket(from *Host, f func()) {
	w := s.host.world
	w.after(w.transit(w.Link(from, s.host), controlBytes), func() {
		switch {
		case s.state == stateClosed:
		case w.cut(from, s.host):
			w.after(retransmitAfter, func() { s.afterPacket(from, f) })
		default:
			f()
		}
	})
}
