// Package sockets holds the one poller, its connections, and the one lock under which all their callbacks run.
// It knows nothing of what the bytes mean.
package transport

import (
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Handler is the object behind a connection. Its calls come under the engine's lock, one at a time.
type Handler interface {
	Data(b []byte) error // b is good within the call only; an error closes the connection
	Closed(err error)    // once, unless the owner closed the connection itself
}

// Connector is the owner of a dialed connection that wants to know when it stands.
type Connector interface {
	Handler
	Connected()
}

// ErrPanic ends a connection whose callback panicked.
var ErrPanic = errors.New("panic in a callback")

var errSlowConnect = errors.New("no connection in time")

// RemoteError is the end of a connection by the other side or the way between.
type RemoteError struct{ Err error }

func (t *RemoteError) Error() string { return "connection ended: " + t.Err.Error() }

// Unwrap gives what the kernel said.
func (t *RemoteError) Unwrap() error { return t.Err }

// IsLocalError tells whether a connection was ended on this side, for what came over it.
func IsLocalError(err error) bool {
	var t *RemoteError
	return !errors.As(err, &t)
}

// Engine holds the connections under one lock. After, where set, runs at the end of every callback, still under the lock.
type Engine struct {
	mu            sync.Mutex
	ground        Runtime
	log           *logrus.Logger
	close         func() // the door
	most          int    // accepted connections
	dialing       []*Conn
	free          [][]byte
	spare         int      // bytes in free
	keep          int      // that may be in free
	parts         [][]byte // of what is being sent
	look          [1]byte  // scratch for a look at what has come
	AfterCallback func()
}

// Conn is one connection.
type Conn struct {
	engine   *Engine
	wire     Socket
	owner    Handler
	queued   int64
	sent     atomic.Int64 // taken by the kernel; the poller counts under a lock of its own
	until    time.Time    // for the connect
	cancel   func()       // gives the connect up; nil: none is under way
	early    []byte       // given to Send before the connection stood
	accepted func()       // hears that the connection no longer counts
	over     bool
}

const (
	spareLeast   = 1 << 12
	spareLargest = 1 << 19
)

// New runs a poller that has as many descriptors as the process may hold.
func New(log *logrus.Logger, descriptors int) (*Engine, error) {
	k := newKernel(descriptors)
	e := NewWithRuntime(k, log)
	return e, k.start(e)
}

// NewWithRuntime makes an engine on some ground.
func NewWithRuntime(g Runtime, log *logrus.Logger) *Engine { return &Engine{ground: g, log: log} }

// Runtime is what lies under the engine.
func (e *Engine) Runtime() Runtime { return e.ground }

// Now is the ground's, for spans.
func (e *Engine) Now() time.Time { return e.ground.Now() }

// SetMaxAccepted sets how many accepted connections there may be at a time; one too many is closed at once. It is called under the lock, or before
// Listen.
func (e *Engine) SetMaxAccepted(most int) { e.most = most }

// SetMaxSpareBytes sets how many bytes of buffers are kept for reuse.
func (e *Engine) SetMaxSpareBytes(most int) { e.keep = most }

// Listen accepts connections at an address, within the bound that is set.
func (e *Engine) Listen(address string, accept func(*Conn) Handler) (err error) {
	e.close, err = e.ground.Listen(address, &Listener{engine: e, accept: accept})
	return err
}

// Stop ends the door and all connections.
func (e *Engine) Stop() {
	if e.close != nil {
		e.close()
	}
	e.ground.Stop()
}

// Do runs f under the lock, as a callback.
func (e *Engine) Do(f func()) {
	e.mu.Lock()
	defer e.leave(nil)
	f()
}

// leave ends every callback: a panic ends its connection and no more, and the lock is always given back.
func (e *Engine) leave(c *Conn) {
	if p := recover(); p != nil {
		e.log.WithField("panic", p).Errorf("callback: %s", debug.Stack())
		if c != nil {
			e.quietly(func() { c.Fail(ErrPanic) })
		}
	}
	if e.AfterCallback != nil {
		e.quietly(e.AfterCallback)
	}
	e.mu.Unlock()
}

func (e *Engine) quietly(f func()) {
	defer func() {
		if p := recover(); p != nil {
			e.log.WithField("panic", p).Errorf("after a callback: %s", debug.Stack())
		}
	}()
	f()
}

// Dial starts a connection. What is sent meanwhile goes out once it stands; Closed tells if it never does, and
// never within this call.
func (e *Engine) Dial(address string, limit time.Duration, o Handler) *Conn {
	now := e.Now()
	c := &Conn{engine: e, owner: o, until: now.Add(limit)}
	e.dialing = append(e.dialing, c)
	cancel, err := e.ground.Dial(address, c)
	if err != nil {
		e.log.WithError(err).WithField("address", address).Warn("sockets: no connect begun")
		c.until = now // the next Beat tells the owner
		return c
	}
	c.cancel = cancel
	return c
}

func (e *Engine) forget(c *Conn) {
	for i, d := range e.dialing {
		if d == c {
			e.dialing = append(e.dialing[:i], e.dialing[i+1:]...)
			return
		}
	}
}

// Tick ends connects that took too long. It is called under the lock, some tens of times a second.
func (e *Engine) Tick(now time.Time) {
	for i := 0; i < len(e.dialing); {
		switch c := e.dialing[i]; {
		case c.over || c.Connected():
			e.forget(c)
		case now.After(c.until):
			e.forget(c)
			c.Fail(errSlowConnect)
		default:
			i++
		}
	}
}

// came and ended run an owner's callback and give the lock back, which is held when they are called.
func (e *Engine) came(c *Conn, b []byte) {
	defer e.leave(c)
	if c == nil || c.over || c.owner == nil {
		return
	}
	if err := c.owner.Data(b); err != nil {
		c.Fail(err)
	}
}

func (e *Engine) ended(c *Conn, err error) {
	defer e.leave(c)
	if c == nil {
		return
	}
	c.Fail(&RemoteError{err})
	if c.accepted != nil {
		c.accepted()
	}
}

// Fail closes a connection and tells its owner, once.
func (c *Conn) Fail(err error) {
	if c.over {
		return
	}
	c.Close()
	if c.owner != nil {
		c.owner.Closed(err)
	}
}

// Close ends a connection without telling its owner.
func (c *Conn) Close() {
	c.over = true
	switch {
	case c.wire != nil:
		c.wire.Close()
	case c.cancel != nil:
		c.cancel()
		c.cancel = nil
	}
}

// Connected tells whether the connection has come up.
func (c *Conn) Connected() bool { return c.wire != nil }

// Flushed tells whether the connection stands and the kernel has taken all that was sent: what is sent now goes out at once.
func (c *Conn) Flushed() bool { return c.wire != nil && c.queued == c.sent.Load() }

// AtEOF tells whether the other side has ended its sending and all that it sent has been read.
func (c *Conn) AtEOF() bool {
	_, ended := c.Peek(c.engine.look[:])
	return ended
}

// HasUnread tells whether bytes have come that the poller has not read yet.
func (c *Conn) HasUnread() bool {
	n, _ := c.Peek(c.engine.look[:])
	return n > 0
}

// Peek looks at what has come and was not read yet; with none of that, ended tells that the other side has ended its sending.
func (c *Conn) Peek(b []byte) (n int, ended bool) {
	if c.over || c.wire == nil {
		return 0, false
	}
	return c.wire.Peek(b)
}

// Socket is the connection's lower end, for stand-ins on a ground of their own; nil: there is none.
func (c *Conn) Socket() Socket { return c.wire }

// Sent is how many of the bytes given to Send the kernel has taken; they may have arrived.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Queued is how many bytes Send was given.
func (c *Conn) Queued() int64 { return c.queued }

// Send writes the parts one after another. What does not go out at once is copied and follows; so does all that is sent before a
// dialed connection stands.
func (c *Conn) Send(parts ...[]byte) {
	if c.over {
		return
	}
	size, full := 0, 0
	for _, p := range parts {
		if len(p) > 0 {
			parts[full] = p
			full++
			size += len(p)
		}
	}
	waits := c.queued != c.sent.Load()
	c.queued += int64(size)
	if c.wire == nil {
		for _, p := range parts[:full] {
			c.early = append(c.early, p...)
		}
		return
	}
	c.engine.parts = append(c.engine.parts[:0], parts[:full]...)
	if n := c.wire.Send(c.engine.parts, waits); n > 0 {
		c.sent.Add(int64(n))
	}
}

// GetBuffer gives an empty buffer with room for a size; Done takes it back for reuse.
func (e *Engine) GetBuffer(size int) []byte {
	for i := len(e.free) - 1; i >= 0; i-- {
		if b := e.free[i]; cap(b) >= size {
			e.free[i] = e.free[len(e.free)-1]
			e.free = e.free[:len(e.free)-1]
			e.spare -= cap(b)
			return b[:0]
		}
	}
	n := spareLeast
	for n < size {
		n *= 2
	}
	return make([]byte, 0, n)
}

// PutBuffer takes a buffer back.
func (e *Engine) PutBuffer(b []byte) {
	if cap(b) >= spareLeast && cap(b) <= spareLargest && e.spare+cap(b) <= e.keep {
		e.free = append(e.free, b)
		e.spare += cap(b)
	}
}

// Decoder reads whole messages, in place. Next gives the size of the one that b begins with, 0 while it has not
// come whole.
type Decoder interface {
	Next(b []byte) (size int, err error)
}

// ReceiveBuffer holds what has come of an unfinished message, in a reused buffer.
type ReceiveBuffer struct{ held []byte }

// Len is how many bytes are held.
func (in *ReceiveBuffer) Len() int { return len(in.held) }

// Bytes is what is held, good until the next call.
func (in *ReceiveBuffer) Bytes() []byte { return in.held }

// Decode reads all whole messages of what was held and b, and holds the rest.
func (in *ReceiveBuffer) Decode(e *Engine, b []byte, m Decoder) error {
	if len(in.held) > 0 {
		in.add(e, b)
		b = in.held
	}
	for len(b) > 0 {
		n, err := m.Next(b)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	switch {
	case len(b) == 0:
		in.Release(e)
	case len(in.held) > 0:
		in.held = in.held[:copy(in.held, b)]
	default:
		in.add(e, b)
	}
	return nil
}

func (in *ReceiveBuffer) add(e *Engine, b []byte) {
	if need := len(in.held) + len(b); need > cap(in.held) {
		bigger := append(e.GetBuffer(need), in.held...)
		e.PutBuffer(in.held)
		in.held = bigger
	}
	in.held = append(in.held, b...)
}

// Release forgets what is held.
func (in *ReceiveBuffer) Release(e *Engine) {
	e.PutBuffer(in.held)
	in.held = nil
}

// String names a connection's far end for the log.
func (c *Conn) String() string {
	if c.wire == nil {
		return "unconnected"
	}
	return c.wire.String()
}
