package transport

import (
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Handler is the object above a connection. Its calls come under the engine's lock, one at a time.
type Handler interface {
	// Data takes received bytes, which are good within the call only. An error closes the connection.
	Data(b []byte) error
	// Closed is called once, unless the handler closed the connection itself.
	Closed(err error)
}

// Connector is the handler of a dialed connection that wants to know when it is established.
type Connector interface {
	Handler
	Connected()
}

// Engine holds the connections under one lock. But for Do, Stop and those of a Listener or a Conn that say so, calls
// are made under that lock: within a callback or a function given to Do.
type Engine struct {
	mu      sync.Mutex
	runtime Runtime
	log     *logrus.Logger

	stopListening func()
	maxAccepted   int
	dialing       []*Conn

	freeBuffers   [][]byte
	spareBytes    int // in freeBuffers
	maxSpareBytes int
	parts         [][]byte // scratch for what is being sent
	peeked        [1]byte  // scratch for a look at received bytes

	// AfterCallback, if set, runs at the end of every callback, still under the lock.
	AfterCallback func()
}

// New makes an engine on the kernel's network and clock, for as many descriptors as the process may open. The error is
// the poller's.
func New(log *logrus.Logger, descriptors int) (*Engine, error) {
	k := newKernel(descriptors)
	e := NewWithRuntime(k, log)
	return e, k.start(e)
}

// NewWithRuntime makes an engine on a runtime.
func NewWithRuntime(r Runtime, log *logrus.Logger) *Engine { return &Engine{runtime: r, log: log} }

// Runtime is what the engine stands on.
func (e *Engine) Runtime() Runtime { return e.runtime }

// Now is the runtime's clock, for spans.
func (e *Engine) Now() time.Time { return e.runtime.Now() }

// SetMaxAccepted bounds the accepted connections; one too many is closed at once. It is called under the lock, or
// before Listen.
func (e *Engine) SetMaxAccepted(connections int) { e.maxAccepted = connections }

// Listen accepts connections at an address, within the bound that is set. It is called without the lock, once. The
// error is the network's.
func (e *Engine) Listen(address string, accept func(*Conn) Handler) (err error) {
	e.stopListening, err = e.runtime.Listen(address, &Listener{engine: e, accept: accept})
	return err
}

// Stop ends the listener and all connections. It is called without the lock.
func (e *Engine) Stop() {
	if e.stopListening != nil {
		e.stopListening()
	}
	e.runtime.Stop()
}

// Do runs f under the lock, as a callback.
func (e *Engine) Do(f func()) {
	e.mu.Lock()
	defer e.endCallback(nil)
	f()
}

// endCallback ends every callback: a panic in it ends its connection only, and the lock is always released.
func (e *Engine) endCallback(c *Conn) {
	if cause := recover(); cause != nil {
		e.logPanic("transport: panic in a callback", cause)
		if c != nil {
			e.guard(func() { c.Fail(ErrPanic) })
		}
	}
	if e.AfterCallback != nil {
		e.guard(e.AfterCallback)
	}
	e.mu.Unlock()
}

// guard runs f, and logs a panic in it.
func (e *Engine) guard(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			e.logPanic("transport: panic after a callback", cause)
		}
	}()
	f()
}

func (e *Engine) logPanic(message string, cause any) {
	e.log.WithFields(logrus.Fields{"panic": cause, "stack": string(debug.Stack())}).Error(message)
}

// Dial starts a connection. What is sent meanwhile goes out once it is established. Closed tells if it never is, but
// not within this call.
func (e *Engine) Dial(address string, timeout time.Duration, h Handler) *Conn {
	now := e.Now()
	c := &Conn{engine: e, handler: h, connectBy: now.Add(timeout)}
	e.dialing = append(e.dialing, c)
	cancel, err := e.runtime.Dial(address, c)
	if err != nil {
		e.log.WithError(err).WithField("address", address).Warn("transport: dial failed")
		c.connectBy = now // the next Tick tells the handler
		return c
	}
	c.cancelDial = cancel
	return c
}

// Tick ends connects that take too long. It is called some tens of times a second.
func (e *Engine) Tick(now time.Time) {
	for i := 0; i < len(e.dialing); {
		c := e.dialing[i]
		switch {
		case c.closed || c.Connected():
			e.removeDialing(c)
		case now.After(c.connectBy):
			e.removeDialing(c)
			c.Fail(errConnectTimeout)
		default:
			i++
		}
	}
}

func (e *Engine) removeDialing(c *Conn) {
	for i, dialing := range e.dialing {
		if dialing == c {
			e.dialing = append(e.dialing[:i], e.dialing[i+1:]...)
			return
		}
	}
}
