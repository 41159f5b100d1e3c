package transport

import (
	"net/netip"
	"time"
)

// Runtime is what a router runs on. In service it is the kernel's; a simulation has its own, on simulated time.
type Runtime interface {
	Network
	Clock
	// Random fills b with bytes that nobody can predict.
	Random(b []byte)
	// Stop ends all connections and loops.
	Stop()
}

// Network opens connections and datagram sockets. None of its calls waits.
type Network interface {
	// Listen accepts connections at an address and hands them to the listener, until close is called.
	Listen(address string, l *Listener) (close func(), err error)
	// Dial begins to connect. Conn.HandleConnected or Conn.HandleClosed tells how it went; cancel gives it up.
	Dial(address string, c *Conn) (cancel func(), err error)
	// ListenPacket opens a socket for datagrams at an address.
	ListenPacket(address netip.AddrPort) (PacketConn, error)
}

// Clock tells the time and runs loops.
type Clock interface {
	// Now is for spans: it never goes backwards.
	Now() time.Time
	// WallTime is for times that are exchanged with others.
	WallTime() time.Time
	// StartLoop calls turn again and again: after the time that its last call gave back, or once woken. The calls come
	// one at a time; ended is called after the last of them.
	StartLoop(turn func() time.Duration, ended func()) Loop
}

// Loop is a running loop.
type Loop interface {
	// Wake has the next call follow at once. It may be called from any goroutine.
	Wake()
	// Stop ends the loop and waits for a call that is under way, as long as the limit at most. It may be called twice.
	Stop(limit time.Duration)
}

// Socket is a connection of the Network's. Its calls come under the engine's lock.
type Socket interface {
	// Send takes all parts, in order; what is not written at once follows. Pending says that former bytes still wait. The
	// count is what was written, as far as Conn.HandleWritten does not tell it.
	Send(parts [][]byte, pending bool) (written int)
	Close()
	// Peek copies what was received and not handed on yet. If there is none, ended tells that the peer has ended its
	// side.
	Peek(b []byte) (n int, ended bool)
	// String names the peer for the log.
	String() string
}

// PacketConn is a socket for datagrams. None of its calls waits.
type PacketConn interface {
	// Send tells whether the datagram was accepted.
	Send(b []byte, to netip.AddrPort) bool
	// Receive copies a datagram to b, cut to its length; false: there is none.
	Receive(b []byte) (n int, from netip.AddrPort, ok bool)
	LocalAddr() netip.AddrPort
	Close()
}
