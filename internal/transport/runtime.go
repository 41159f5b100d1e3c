package transport

import (
	"net/netip"
	"time"
)

// Runtime is the environment of a router. The service uses the kernel's; a simulation provides its own with
// simulated time.
type Runtime interface {
	Network
	Clock
	// Random fills b with unpredictable bytes.
	Random(b []byte)
	// Stop ends all connections and loops.
	Stop()
}

// Network opens connections and datagram sockets. None of its methods blocks.
type Network interface {
	// Listen accepts connections at an address and passes them to the listener until close is called.
	Listen(address string, l *Listener) (close func(), err error)
	// Dial starts connecting. The result is reported by Conn.HandleConnected or Conn.HandleClosed. cancel abandons
	// the connect.
	Dial(address string, c *Conn) (cancel func(), err error)
	// ListenPacket opens a datagram socket at an address.
	ListenPacket(address netip.AddrPort) (PacketConn, error)
}

// Clock provides the time and runs loops.
type Clock interface {
	// Now returns the time of a clock that never goes back, for measuring durations.
	Now() time.Time
	// WallTime returns the time of day, for times that are exchanged with others.
	WallTime() time.Time
	// StartLoop calls turn repeatedly, one call at a time: after the duration that the previous call returned, or
	// earlier if the loop is woken. It calls ended after the last call of turn.
	StartLoop(turn func() time.Duration, ended func()) Loop
}

// Loop is a running loop.
type Loop interface {
	// Wake makes the loop call turn at once. It may be called from any goroutine.
	Wake()
	// Stop ends the loop and waits up to limit for a running call of turn. It may be called more than once.
	Stop(limit time.Duration)
}

// Socket is a connection of the Network. Its methods are called under the engine's lock.
type Socket interface {
	// Send sends all parts in order; bytes that can't be written at once are written later. pending says that
	// earlier bytes are still unwritten. written is the number of bytes written that Conn.HandleWritten will not
	// report.
	Send(parts [][]byte, pending bool) (written int)
	Close()
	// CloseWrite closes the sending side, after what was sent before. The socket is still read.
	CloseWrite()
	// Peek copies received bytes that were not passed to the handler yet. If there are none, ended reports whether
	// the peer has closed its sending side.
	Peek(b []byte) (n int, ended bool)
	// FullThreshold returns the number of unread bytes from which the receive buffer may be full, so that the peer
	// can't send.
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
	LocalAddr() netip.AddrPort
	Close()
}
