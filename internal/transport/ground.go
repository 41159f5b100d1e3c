package transport

import (
	"net/netip"
	"time"
)

// Runtime is what lies under a router: a network and a clock. In service it is the kernel's; a test may put another in its place, on a
// time of its own.
type Runtime interface {
	// Now is for spans: it never goes backwards. Wall is for times that others tell or are told.
	Now() time.Time
	WallTime() time.Time
	// Listen has a door opened at an address; close ends it.
	Listen(address string, d *Listener) (close func(), err error)
	// Dial begins a connect and does not wait for it. Conn.Established or Conn.Ended tells how it went; cancel gives it up.
	Dial(address string, c *Conn) (cancel func(), err error)
	// ListenPacket opens an address for datagrams.
	ListenPacket(address netip.AddrPort) (PacketConn, error)
	// StartLoop calls f again and again: after the span that its last call gave back, or as soon as rung. Ended is called once, after the
	// last of them.
	StartLoop(f func() time.Duration, ended func()) Loop
	// Random fills b with bytes that nobody can foresee.
	Random(b []byte)
	// Stop ends all connections and calls.
	Stop()
}

// Socket is the lower end of one connection. Its calls come under the engine's lock.
type Socket interface {
	// Send takes all parts, one after another: what does not go out at once follows. The count is what went, as far as Conn.Took
	// does not tell of it. Waits says that something given before has not gone yet.
	Send(parts [][]byte, waits bool) (gone int)
	Close()
	// Peek looks at what has come and was not handed on yet; with none of that, ended tells that the other side has ended its sending.
	Peek(b []byte) (n int, ended bool)
	String() string
}

// PacketConn is one address for datagrams. Neither way waits.
type PacketConn interface {
	Send(b []byte, to netip.AddrPort) bool
	Receive(room []byte) (n int, from netip.AddrPort, ok bool)
	LocalAddr() netip.AddrPort
	Close()
}

// Loop is what Ground.Turns gives.
type Loop interface {
	Wake()                    // from anywhere
	Stop(limit time.Duration) // waits so long at most for a call that is under way; may come twice
}

// HandleWritten hears that the other end's machine has taken n more of the bytes given to the wire. It needs no lock.
func (c *Conn) HandleWritten(n int) { c.sent.Add(int64(n)) }

// HandleConnected hands a dialed connection its lower end, made by tie under the lock. It is called without the lock. False: the
// connection was closed meanwhile or tie failed, and what was connected is to be closed.
func (c *Conn) HandleConnected(tie func() (Socket, error)) bool {
	c.engine.mu.Lock()
	defer c.engine.leave(c)
	if c.over {
		return false
	}
	wire, err := tie()
	if err != nil {
		c.Fail(&RemoteError{err})
		return false
	}
	c.wire, c.cancel = wire, nil
	if early := c.early; len(early) > 0 {
		c.early = nil
		c.sent.Add(int64(wire.Send([][]byte{early}, false)))
	}
	if o, ok := c.owner.(Connector); ok {
		o.Connected()
	}
	return true
}

// HandleData hands bytes that have come to the owner. It is called without the lock.
func (c *Conn) HandleData(b []byte) {
	c.engine.mu.Lock()
	c.engine.came(c, b)
}

// HandleClosed hears, without the lock, that the connection ended from the other side or on the way.
func (c *Conn) HandleClosed(err error) {
	c.engine.mu.Lock()
	c.engine.ended(c, err)
}

// Listener takes connections in.
type Listener struct {
	engine *Engine
	accept func(*Conn) Handler
	inside int // under the engine's lock
}

// Admit takes a connection in, without the lock; tie gives it its lower end, under the lock, and ends nothing. False: there are too many, or it
// can't be tied, and it is to be closed.
func (d *Listener) Admit(tie func(*Conn) (Socket, error)) bool {
	e := d.engine
	e.mu.Lock()
	if d.inside >= e.most {
		e.mu.Unlock()
		return false
	}
	d.inside++
	c := &Conn{engine: e, accepted: func() { d.inside-- }}
	defer e.leave(c)
	wire, err := tie(c)
	if err != nil {
		c.over = true
		d.inside--
		e.log.WithError(err).Warn("sockets: connection not taken in")
		return false
	}
	c.wire = wire
	c.owner = d.accept(c)
	return true
}
