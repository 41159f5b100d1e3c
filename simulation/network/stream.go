package network

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	maxSegment        = 1 << 14 // bytes on the way at a time
	maxReceiveBuffer  = 1 << 16 // bytes that wait to be read at most
	retransmitAfter   = 200 * clock.Millisecond
	connectRetryAfter = clock.Second // until a connect is tried again
)

type listener struct {
	accepts     *transport.Listener
	incarnation int
}

type socketState uint8

const (
	stateConnecting socketState = iota
	stateOpen
	stateClosing // by its owner: what it has sent still goes
	stateClosed
)

// socket is one end of a connection, with what a kernel holds of it.
type socket struct {
	host          *Host
	incarnation   int
	conn          *transport.Conn // nil: its process has not taken it in yet
	peer          *socket         // nil: it never stood
	remote        netip.AddrPort
	state         socketState
	unbuffered    []byte // given, and not taken by the kernel
	sendBuffer    []byte // taken, and not at the other side
	receiveBuffer []byte // at this side, and not read
	inFlight      bool
	readScheduled bool
	writeClosed   bool // no more is written
	finSent       bool // and the other side was told
	finReceived   bool // the other side writes no more
	ownerNotified bool // the owner, of the end
	written       int64
	writes        []write // of what was given
	closedAt      Micros  // by its owner; 0: not
}

// write says when the bytes from a place on were given.
type write struct {
	from int64
	at   Micros
}

// WrittenAt tells when the other side gave the byte at a place of what comes over a connection; 0: not known. Places are asked for in their
// order.
func WrittenAt(wire transport.Socket, place int64) Micros {
	s, ok := wire.(*socket)
	if !ok || s.peer == nil {
		return 0
	}
	p := s.peer
	for len(p.writes) > 1 && p.writes[1].from <= place {
		p.writes = p.writes[1:]
	}
	if len(p.writes) == 0 {
		return 0
	}
	return p.writes[0].at
}

// ClosedAt tells when the other side's owner ended a connection; 0: it did not.
func ClosedAt(wire transport.Socket) Micros {
	if s, ok := wire.(*socket); ok && s.peer != nil {
		return s.peer.closedAt
	}
	return 0
}

func (h *Host) addSocket(s *socket) { h.sockets = append(h.sockets, s) }

func (h *Host) removeSocket(s *socket) {
	for i, o := range h.sockets {
		if o == s {
			h.sockets = append(h.sockets[:i], h.sockets[i+1:]...)
			return
		}
	}
}

func (h *Host) descriptorsExhausted() bool {
	return h.MaxDescriptors > 0 && len(h.sockets)+len(h.listeners) >= h.MaxDescriptors
}

// dial begins a connect.
func (h *Host) dial(to netip.AddrPort, c *transport.Conn) (*socket, error) {
	if h.descriptorsExhausted() {
		return nil, syscall.EMFILE
	}
	s := &socket{host: h, incarnation: h.incarnation, conn: c, remote: to}
	h.addSocket(s)
	s.connect()
	return s, nil
}

func (s *socket) connect() {
	w := s.host.world
	to := w.byAddress[s.remote.Addr()]
	if to == nil {
		w.At(w.now+clock.Millisecond, func() { s.fail(syscall.EHOSTUNREACH) })
		return
	}
	way := w.Link(s.host, to)
	w.At(w.now+way.ConnectDelay+w.transit(way, 60), func() {
		switch d := to.listeners[s.remote.Port()]; {
		case s.state != stateConnecting:
		case w.cut(s.host, to) || to.HangConnects:
			w.At(w.now+connectRetryAfter, func() {
				if s.state == stateConnecting {
					s.connect()
				}
			})
		case d == nil:
			w.Record('r', uint64(s.host.index), uint64(to.index))
			s.afterPacket(to, func() { s.fail(syscall.ECONNREFUSED) })
		default:
			w.Record('c', uint64(s.host.index), uint64(to.index))
			s.peer = &socket{host: to, incarnation: to.incarnation, peer: s, state: stateOpen, remote: netip.AddrPortFrom(s.host.Addr, s.host.nextPort())}
			p := s.peer
			to.addSocket(p)
			life := to.incarnation
			w.At(w.now, func() { to.run(life, func() { p.accept(d.accepts) }) })
			s.afterPacket(to, s.establish)
		}
	})
}

func (h *Host) nextPort() uint16 {
	if h.lastPort++; h.lastPort < 32768 {
		h.lastPort = 32768
	}
	return h.lastPort
}

// afterPacket has something happen at this end once a packet from the other machine has come, however long that takes.
func (s *socket) afterPacket(from *Host, f func()) {
	w := s.host.world
	w.At(w.now+w.transit(w.Link(from, s.host), 60), func() {
		switch {
		case s.state == stateClosed:
		case w.cut(from, s.host):
			w.At(w.now+retransmitAfter, func() { s.afterPacket(from, f) })
		default:
			f()
		}
	})
}

// accept has the process at a door take a connection in.
func (p *socket) accept(d *transport.Listener) {
	if p.state == stateClosed {
		return
	}
	if p.host.MaxDescriptors > 0 && len(p.host.sockets)+len(p.host.listeners) > p.host.MaxDescriptors { // its process has no descriptor for it: it waits
		p.host.After(5*clock.Millisecond, func() { p.accept(d) })
		return
	}
	if !d.Admit(func(c *transport.Conn) (transport.Socket, error) { p.conn = c; return p, nil }) {
		p.conn = nil
		p.close()
		return
	}
	p.scheduleRead()
	if p.finReceived {
		p.scheduleEOF()
	}
}

// establish has a connect come up.
func (s *socket) establish() {
	if s.state != stateConnecting {
		return
	}
	s.state = stateOpen
	s.host.world.At(s.host.world.now, func() {
		s.host.run(s.incarnation, func() {
			if s.state != stateOpen || !s.conn.HandleConnected(func() (transport.Socket, error) { return s, nil }) {
				return
			}
			if s.scheduleRead(); s.finReceived {
				s.scheduleEOF()
			}
		})
	})
}

// fillSendBuffer has the kernel take what it has room for.
func (s *socket) fillSendBuffer() {
	if n := min(len(s.unbuffered), s.host.SendBuffer-len(s.sendBuffer)); n > 0 && (s.state == stateOpen || s.state == stateClosing) {
		s.sendBuffer = append(s.sendBuffer, s.unbuffered[:n]...)
		s.unbuffered = s.unbuffered[n:]
		s.conn.HandleWritten(n)
	}
}

// sendSegment sends the next segment, or that there is nothing more.
func (s *socket) sendSegment() {
	if s.inFlight || s.state != stateOpen && s.state != stateClosing {
		return
	}
	w, p := s.host.world, s.peer
	if len(s.sendBuffer) == 0 {
		if s.writeClosed && !s.finSent {
			s.finSent = true
			p.afterPacket(s.host, p.finArrived)
		}
		return
	}
	n := min(len(s.sendBuffer), maxReceiveBuffer-len(p.receiveBuffer), maxSegment)
	if n <= 0 { // until the other side reads
		return
	}
	if s.host.SplitShare > 0 && w.Random.Float64() < s.host.SplitShare {
		n = 1 + w.Random.IntN(n)
	}
	s.inFlight = true
	w.At(w.now+w.transit(w.Link(s.host, p.host), n), func() { s.segmentArrived(n) })
}

// segmentArrived has a segment arrive.
func (s *socket) segmentArrived(n int) {
	w, p := s.host.world, s.peer
	switch {
	case s.state == stateClosed:
		return
	case w.cut(s.host, p.host):
		w.At(w.now+retransmitAfter, func() { s.segmentArrived(n) })
		return
	case p.state == stateClosed || p.state == stateClosing && p.ownerNotified: // nobody is there any more
		s.afterPacket(p.host, func() { s.fail(syscall.ECONNRESET) })
		return
	}
	s.inFlight = false
	if p.state == stateConnecting {
		p.establish()
	}
	w.Record('d', uint64(s.host.index), uint64(p.host.index), xxhash.Sum64(s.sendBuffer[:n]))
	p.receiveBuffer = append(p.receiveBuffer, s.sendBuffer[:n]...)
	s.sendBuffer = s.sendBuffer[n:]
	s.fillSendBuffer()
	p.scheduleRead()
	s.sendSegment()
}

// scheduleRead has the process read what has come.
func (s *socket) scheduleRead() {
	if s.readScheduled || s.conn == nil || !s.conn.Connected() || len(s.receiveBuffer) == 0 || s.state != stateOpen {
		return
	}
	s.readScheduled = true
	w := s.host.world
	w.At(w.now, func() {
		s.host.run(s.incarnation, func() {
			s.readScheduled = false
			if s.state != stateOpen || len(s.receiveBuffer) == 0 {
				return
			}
			b := s.receiveBuffer
			s.receiveBuffer = nil
			s.conn.HandleData(b)
			if s.state == stateOpen {
				s.peer.sendSegment()
				if s.finReceived {
					s.scheduleEOF()
				}
			}
		})
	})
}

// finArrived hears that the other side writes no more.
func (s *socket) finArrived() {
	s.finReceived = true
	s.scheduleEOF()
}

// scheduleEOF tells the owner that the other side has ended, once all that came before is read.
func (s *socket) scheduleEOF() {
	if s.conn == nil || !s.conn.Connected() || len(s.receiveBuffer) > 0 || s.ownerNotified || s.state != stateOpen {
		return
	}
	s.host.world.At(s.host.world.now, func() {
		s.host.run(s.incarnation, func() {
			if s.ownerNotified || s.state != stateOpen || len(s.receiveBuffer) > 0 {
				return
			}
			s.close() // the poller closes what the other side has ended
			s.notifyClosed(io.EOF)
		})
	})
}

// notifyClosed tells the owner of the end, once.
func (s *socket) notifyClosed(err error) {
	if s.conn == nil || s.ownerNotified {
		return
	}
	s.ownerNotified = true
	s.host.world.Record('e', uint64(s.host.index), uint64(s.remote.Port()))
	s.conn.HandleClosed(err)
}

// fail ends this end by what came from the network.
func (s *socket) fail(err error) {
	if s.state == stateClosed {
		return
	}
	s.state = stateClosed
	s.host.removeSocket(s)
	w := s.host.world
	w.At(w.now, func() { s.host.run(s.incarnation, func() { s.notifyClosed(err) }) })
}

// reset ends this end and tells the other one in the rudest way; the owner hears of it if it is to.
func (s *socket) reset(tell bool) {
	if s.state == stateClosed {
		return
	}
	if tell {
		s.fail(syscall.ECONNRESET)
	} else {
		s.state = stateClosed
		s.host.removeSocket(s)
	}
	if p := s.peer; p != nil && p.state != stateClosed {
		p.afterPacket(s.host, func() { p.fail(syscall.ECONNRESET) })
	}
}

// close ends this end by its owner's will.
func (s *socket) close() {
	switch {
	case s.state == stateClosed || s.state == stateClosing:
		return
	case s.state == stateConnecting || len(s.receiveBuffer) > 0:
		s.reset(false)
	default:
		s.state, s.writeClosed, s.unbuffered = stateClosing, true, nil
		s.host.removeSocket(s)
		s.sendSegment()
	}
}

// Close ends the connection by its owner's will. As with a poller, the owner's side hears of it later.
func (s *socket) Close() {
	s.closedAt = s.host.world.now
	s.close()
	s.host.world.At(s.host.world.now, func() { s.host.run(s.incarnation, func() { s.notifyClosed(net.ErrClosed) }) })
}

// Send takes bytes as a kernel does: as many as there is room for, the rest later.
func (s *socket) Send(parts [][]byte, waits bool) (gone int) {
	if s.state == stateClosed || s.state == stateClosing || s.writeClosed {
		return 0
	}
	s.writes = append(s.writes, write{s.written, s.host.world.now})
	for _, p := range parts {
		s.written += int64(len(p))
		if s.state == stateOpen && len(s.unbuffered) == 0 {
			n := max(min(len(p), s.host.SendBuffer-len(s.sendBuffer)), 0) // its room may be less than it was
			s.sendBuffer = append(s.sendBuffer, p[:n]...)
			p, gone = p[n:], gone+n
		}
		s.unbuffered = append(s.unbuffered, p...)
	}
	s.sendSegment()
	return gone
}

func (s *socket) Peek(b []byte) (int, bool) {
	return copy(b, s.receiveBuffer), s.finReceived && len(s.receiveBuffer) == 0
}

func (s *socket) String() string { return s.remote.String() }

// CloseWrite has no more written on a connection that is read on.
func CloseWrite(wire transport.Socket) {
	if s, ok := wire.(*socket); ok && s.state == stateOpen {
		s.writeClosed = true
		s.sendSegment()
	}
}

// Reset ends connections between two machines, up to a number of them, in a mood: those with something under way, idle ones, or new ones.
func (w *World) Reset(a, b *Host, most int, which func(unread, unsent int, new bool) bool) (n int) {
	for _, s := range append([]*socket(nil), a.sockets...) {
		if s.peer == nil || s.peer.host != b || n >= most || s.state == stateClosed {
			continue
		}
		if which(len(s.receiveBuffer)+len(s.peer.receiveBuffer), len(s.sendBuffer)+len(s.unbuffered)+len(s.peer.sendBuffer), s.state == stateConnecting) {
			s.peer.reset(true)
			s.fail(syscall.ECONNRESET)
			n++
		}
	}
	return n
}

// Connections counts the connections of a machine's process.
func (h *Host) Connections() int { return len(h.sockets) }

var errAddressInUse = errors.New("address in use")
