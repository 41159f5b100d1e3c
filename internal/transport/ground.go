package transport

import (
	"net/netip"
	"time"
)

// Ground is what lies under a router: a network and a clock. In service it is the kernel's; a test may put another in its place, on a
// time of its own.
type Ground interface {
	// Now is for spans: it never goes backwards. Wall is for times that others tell or are told.
	Now() time.Time
	Wall() time.Time
	// Listen has a door opened at an address; close ends it.
	Listen(address string, d *Door) (close func(), err error)
	// Dial begins a connect and does not wait for it. Conn.Established or Conn.Ended tells how it went; cancel gives it up.
	Dial(address string, c *Conn) (cancel func(), err error)
	// Datagrams opens an address for datagrams.
	Datagrams(address netip.AddrPort) (Datagrams, error)
	// Turns calls f again and again: after the span that its last call gave back, or as soon as rung. Ended is called once, after the
	// last of them.
	Turns(f func() time.Duration, ended func()) Turns
	// Random fills b with bytes that nobody can foresee.
	Random(b []byte)
	// Stop ends all connections and calls.
	Stop()
}

// Wire is the lower end of one connection. Its calls come under the engine's lock.
type Wire interface {
	// Send takes all parts, one after another: what does not go out at once follows. The count is what went, as far as Conn.Took
	// does not tell of it. Waits says that something given before has not gone yet.
	Send(parts [][]byte, waits bool) (gone int)
	Close()
	// Peek looks at what has come and was not handed on yet; with none of that, ended tells that the other side has ended its sending.
	Peek(b []byte) (n int, ended bool)
	String() string
}

// Datagrams is one address for datagrams. Neither way waits.
type Datagrams interface {
	Send(b []byte, to netip.AddrPort) bool
	Take(room []byte) (n int, from netip.AddrPort, ok bool)
	Address() netip.AddrPort
	Close()
}

// Turns is what Ground.Turns gives.
type Turns interface {
	Ring()                    // from anywhere
	Stop(limit time.Duration) // waits so long at most for a call that is under way; may come twice
}

// Took hears that the other end's machine has taken n more of the bytes given to the wire. It needs no lock.
func (c *Conn) Took(n int) { c.sent.Add(int64(n)) }

// Established hands a dialed connection its lower end, made by tie under the lock. It is called without the lock. False: the
// connection was closed meanwhile or tie failed, and what was connected is to be closed.
func (c *Conn) Established(tie func() (Wire, error)) bool {
	c.engine.mu.Lock()
	defer c.engine.leave(c)
	if c.over {
		return false
	}
	wire, err := tie()
	if err != nil {
		c.Fail(&Theirs{err})
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

// Came hands bytes that have come to the owner. It is called without the lock.
func (c *Conn) Came(b []byte) {
	c.engine.mu.Lock()
	c.engine.came(c, b)
}

// Ended hears, without the lock, that the connection ended from the other side or on the way.
func (c *Conn) Ended(err error) {
	c.engine.mu.Lock()
	c.engine.ended(c, err)
}

// Door takes connections in.
type Door struct {
	engine *Engine
	accept func(*Conn) Owner
	inside int // under the engine's lock
}

// Enter takes a connection in, without the lock; tie gives it its lower end, under the lock, and ends nothing. False: there are too many, or it
// can't be tied, and it is to be closed.
func (d *Door) Enter(tie func(*Conn) (Wire, error)) bool {
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
