package network

import (
	"net/netip"
	"syscall"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	connectRetryAfter = clock.Second
	acceptRetryAfter  = 5 * clock.Millisecond // when the process has no descriptor left
	unreachableAfter  = clock.Millisecond     // for a connect to an unknown address
)

// listener accepts connections on a port of a host.
type listener struct{ accepts *transport.Listener }

// dial starts to connect.
func (h *Host) dial(remote netip.AddrPort, c *transport.Conn) (*socket, error) {
	if h.descriptorsExhausted() {
		return nil, syscall.EMFILE
	}
	s := &socket{host: h, incarnation: h.incarnation, conn: c, remote: remote}
	h.addSocket(s)
	s.connect()
	return s, nil
}

// connect sends the first packet to the remote host.
func (s *socket) connect() {
	w := s.host.world
	to := w.byAddress[s.remote.Addr()]
	if to == nil {
		w.after(unreachableAfter, func() { s.fail(syscall.EHOSTUNREACH) })
		return
	}
	link := w.Link(s.host, to)
	w.after(link.ConnectDelay+w.transit(link, controlBytes), func() { s.connectArrived(to) })
}

// connectArrived lets the remote host answer a connect. If it does not answer, the connect is sent again.
func (s *socket) connectArrived(to *Host) {
	w := s.host.world
	l := to.listeners[s.remote.Port()]
	switch {
	case s.state != stateConnecting:
	case w.cut(s.host, to) || to.HangConnects:
		w.after(connectRetryAfter, func() {
			if s.state == stateConnecting {
				s.connect()
			}
		})
	case l == nil:
		w.Record('r', uint64(s.host.index), uint64(to.index))
		s.afterPacket(to, func() { s.fail(syscall.ECONNREFUSED) })
	default:
		w.Record('c', uint64(s.host.index), uint64(to.index))
		s.addPeer(to, l)
		s.afterPacket(to, s.establish)
	}
}

// addPeer creates the other end of a connection and schedules its accept.
func (s *socket) addPeer(to *Host, l *listener) {
	p := &socket{
		host:        to,
		incarnation: to.incarnation,
		peer:        s,
		state:       stateOpen,
		remote:      netip.AddrPortFrom(s.host.Addr, s.host.nextPort()),
	}
	s.peer = p
	to.addSocket(p)
	p.schedule(func() { p.accept(l) })
}

// accept lets the owner accept a connection once it has a free descriptor.
func (s *socket) accept(l *listener) {
	if s.state == stateClosed {
		return
	}
	h := s.host
	if h.MaxDescriptors > 0 && h.descriptors() > h.MaxDescriptors {
		h.After(acceptRetryAfter, func() { s.accept(l) })
		return
	}
	accepted := l.accepts.Admit(func(c *transport.Conn) (transport.Socket, error) {
		s.conn = c
		return s, nil
	})
	if !accepted {
		s.conn = nil
		s.close()
		return
	}
	s.scheduleRead()
	if s.finReceived {
		s.scheduleEOF()
	}
}

// establish notifies the owner that its connect has succeeded.
func (s *socket) establish() {
	if s.state != stateConnecting {
		return
	}
	s.state = stateOpen
	s.schedule(func() {
		if s.state != stateOpen || !s.conn.HandleConnected(func() (transport.Socket, error) { return s, nil }) {
			return
		}
		s.scheduleRead()
		if s.finReceived {
			s.scheduleEOF()
		}
	})
}
