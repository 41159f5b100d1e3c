package transport

import (
	"net/netip"
	"time"
)

// Runtime is the environment of a router: the network, the clock and a source of random bytes. The service runs on
// the kernel's network and the system's clock; a simulation provides a Runtime with simulated time.
type Runtime interface {
	Network
	Clock
	// Random fills b with unpredictable bytes.
	Random(b []byte)
	// Stop ends all connections.
	Stop()
}

// Network opens connections and datagram sockets. None of its methods blocks.
type Network interface {
	// Listen accepts connections at an address and passes them to l.Admit until close is called.
	Listen(address string, l *Listener) (close func(), err error)
	// Dial starts to connect. It reports the result to c.HandleConnected or c.HandleClosed, unless it returns an
	// error. cancel abandons the connect.
	Dial(address string, c *Conn) (cancel func(), err error)
	// ListenPacket opens a datagram socket at an address.
	ListenPacket(address netip.AddrPort) (PacketConn, error)
}

// Clock provides the time and runs loops.
type Clock interface {
	// Now returns the time of a monotonic clock, for measuring durations.
	Now() time.Time
	// WallTime returns the time of day, for timestamps that are exchanged with other processes.
	WallTime() time.Time
	// StartLoop calls step repeatedly, one call at a time. It makes each call after the duration that the previous
	// one returned, or earlier if the loop is woken. It calls onEnd after the last call of step.
	StartLoop(step func() time.Duration, onEnd func()) Loop
}

// Loop is a loop started by Clock.StartLoop.
type Loop interface {
	// Wake makes the loop call step at once. It may be called from any goroutine.
	Wake()
	// Stop ends the loop and waits up to limit for a running call of step. It may be called more than once.
	Stop(limit time.Duration)
}

// Socket is an established connection of the Network. Its methods are called under the engine's lock.
type Socket interface {
	// Send sends all parts in order; bytes that can't be written at once are written later. pending is whether
	// bytes of earlier calls are still unwritten. written is the number of bytes that were written but are not
	// reported by Conn.HandleWritten.
	Send(parts [][]byte, pending bool) (written int)
	// Close closes the connection.
	Close()
	// CloseWrite closes the sending side after all bytes sent before. The socket still receives.
	CloseWrite()
	// Peek copies received bytes that have not been passed to the handler to b, without consuming them, and returns
	// their number. If there are none, eof reports whether the peer has closed its sending side.
	Peek(b []byte) (n int, eof bool)
	// Unread returns the number of received bytes that have not been passed to the handler, in a time that does not
	// depend on that number.
	Unread() int
	// PeerClosed reports whether the peer has closed its sending side or reset the connection, whether or not received
	// bytes are unread.
	PeerClosed() bool
	// FullThreshold returns the smallest number of unread bytes with which the receive buffer may be full, so that
	// the peer can't send any more.
	FullThreshold() int
	// String returns a description of the peer for logs.
	String() string
}

// PacketConn is a datagram socket. None of its methods blocks.
type PacketConn interface {
	// Send sends a datagram, and reports whether it was accepted.
	Send(b []byte, to netip.AddrPort) bool
	// Receive copies a datagram to b, truncated to the length of b, or returns false if there is none.
	Receive(b []byte) (n int, from netip.AddrPort, ok bool)
	// LocalAddr returns the address to which the socket is bound.
	LocalAddr() netip.AddrPort
	// Close closes the socket.
	Close()
}
