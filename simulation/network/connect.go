package network

import (
	"net/netip"
	"syscall"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	connectRetryDelay = clock.Second          // for a connect that was lost or got no answer
	acceptRetryDelay  = 5 * clock.Millisecond // when the process has no descriptor left
	unreachableDelay  = clock.Millisecond     // for a connect to an unknown address
)

// listener accepts connections on a port of a host.
type listener struct{ acceptor *transport.Listener }

// dial starts to connect. It returns syscall.EMFILE if the process has no free descriptor.
func (h *Host) dial(remote netip.AddrPort, c *transport.Conn) (*socket, error) {
	if h.descriptorsExhausted() {
		return nil, syscall.EMFILE
	}
	s := &socket{host: h, incarnation: h.incarnation, conn: c, remote: remote}
	h.addSocket(s)
	s.connect()
	return s, nil
}

// connect sends the SYN to the remote host. It fails the connect if no host has the remote address.
func (s *socket) connect() {
	w := s.host.world
	to := w.byAddress[s.remote.Addr()]
	if to == nil {
		w.after(unreachableDelay, func() { s.fail(syscall.EHOSTUNREACH) })
		return
	}
	link := w.Link(s.host, to)
	w.after(link.ConnectDelay+w.transitTime(link, controlBytes), func() { s.connectArrived(to) })
}

// connectArrived handles a SYN at the remote host, which accepts the connect, or refuses it if there is no listener. If
// the host can't be reached or connects to it hang, the SYN is sent again later.
func (s *socket) connectArrived(to *Host) {
	w := s.host.world
	l := to.listeners[s.remote.Port()]
	switch {
	case s.state != stateConnecting:
	case w.unreachable(s.host, to) || to.HangConnects:
		w.after(connectRetryDelay, func() {
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

// addPeer creates the other end of a connection on the remote host and schedules the call that accepts it.
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

// accept passes a new connection to the owner's listener once the process has a free descriptor. If the listener does
// not admit the connection, it is closed.
func (s *socket) accept(l *listener) {
	if s.state == stateClosed {
		return
	}
	h := s.host
	if h.MaxDescriptors > 0 && h.descriptors() > h.MaxDescriptors {
		h.After(acceptRetryDelay, func() { s.accept(l) })
		return
	}
	accepted := l.acceptor.Admit(func(c *transport.Conn) (transport.Socket, error) {
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

// establish opens a connecting socket and notifies its owner that the connect has succeeded.
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
