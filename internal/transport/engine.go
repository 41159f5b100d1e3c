package transport

import (
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Handler handles the events of a connection. Its methods are called under the engine's lock.
type Handler interface {
	// Data handles received bytes, which are valid only during the call. If it returns an error, the connection is
	// closed, and Closed is called with that error.
	Data(b []byte) error
	// Closed is called once when the connection has ended, unless it was closed by Conn.Close.
	Closed(err error)
}

// Connector is a Handler that is notified when its dialed connection is established.
type Connector interface {
	Handler
	// Connected is called after the bytes sent before the connection was established have been passed to the socket.
	Connected()
}

// Engine owns the connections and the lock that guards them. Unless documented otherwise, its methods must be
// called under that lock, which means within a callback or a function passed to Do.
type Engine struct {
	mu      sync.Mutex // guards the engine, its connections, and the state of their handlers
	runtime Runtime
	log     *logrus.Logger

	stopListening func() // nil: not listening
	maxAccepted   int
	dialing       []*Conn // dialed connections that Tick checks until they are established or closed

	spareBuffers  [][]byte // kept for reuse: see PutBuffer
	spareBytes    int      // total capacity of spareBuffers
	maxSpareBytes int
	parts         [][]byte // scratch space for the parts being sent
	peekByte      [1]byte  // scratch space for peeking

	// AfterCallback, if not nil, is called at the end of every callback, under the lock.
	AfterCallback func()
}

// New returns an Engine on the kernel's network and the system's clock. descriptors is the number of descriptors
// that the process may open. It returns the poller's error if the poller can't be started.
func New(log *logrus.Logger, descriptors int) (*Engine, error) {
	k := newKernel(descriptors)
	e := NewWithRuntime(k, log)
	return e, k.start(e)
}

// NewWithRuntime returns an Engine on a Runtime.
func NewWithRuntime(r Runtime, log *logrus.Logger) *Engine { return &Engine{runtime: r, log: log} }

// Runtime returns the engine's Runtime. It may be called without the lock.
func (e *Engine) Runtime() Runtime { return e.runtime }

// Now returns the time of the runtime's monotonic clock. It may be called without the lock.
func (e *Engine) Now() time.Time { return e.runtime.Now() }

// SetMaxAccepted limits the number of accepted connections that are open. Further connections are closed at once.
// The default of 0 admits none. SetMaxAccepted may be called without the lock before Listen.
func (e *Engine) SetMaxAccepted(connections int) { e.maxAccepted = connections }

// Listen accepts connections at an address, up to the limit set by SetMaxAccepted. accept is called under the lock
// for each of them and returns its handler. Listen must be called without the lock, and only once. It returns the
// Network's error if it can't listen at the address.
func (e *Engine) Listen(address string, accept func(*Conn) Handler) (err error) {
	e.stopListening, err = e.runtime.Listen(address, &Listener{engine: e, accept: accept})
	return err
}

// Stop closes the listener and all connections. It must be called without the lock.
func (e *Engine) Stop() {
	e.StopListening()
	e.runtime.Stop()
}

// StopListening closes the listener, so that further connects are refused; accepted connections remain. It must be
// called without the lock, and not concurrently with Listen or Stop.
func (e *Engine) StopListening() {
	if e.stopListening != nil {
		e.stopListening()
		e.stopListening = nil
	}
}

// Do acquires the lock and runs f as a callback. It must be called without the lock.
func (e *Engine) Do(f func()) {
	e.mu.Lock()
	defer e.endCallback(nil)
	f()
}

// endCallback must be deferred by every callback, with the lock held. It recovers from a panic in the callback and
// then closes only the connection c, if c is not nil. It calls AfterCallback, and always releases the lock.
func (e *Engine) endCallback(c *Conn) {
	if cause := recover(); cause != nil {
		e.logPanic("transport: panic in a callback", cause)
		if c != nil {
			e.callRecovering(func() { c.Fail(ErrPanic) })
		}
	}
	if e.AfterCallback != nil {
		e.callRecovering(e.AfterCallback)
	}
	e.mu.Unlock()
}

// callRecovering calls f. If f panics, it logs the panic and recovers.
func (e *Engine) callRecovering(f func()) {
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

// Dial starts to connect and returns the connection, which is not established yet. Bytes sent before it is
// established are written when it is. If the connect fails or takes longer than timeout, the handler's Closed is
// called, but never during the call of Dial.
func (e *Engine) Dial(address string, timeout time.Duration, h Handler) *Conn {
	now := e.Now()
	c := &Conn{engine: e, handler: h, connectDeadline: now.Add(timeout)}
	e.dialing = append(e.dialing, c)
	cancel, err := e.runtime.Dial(address, c)
	if err != nil {
		e.log.WithError(err).WithField("address", address).Warn("transport: dial failed")
		c.connectDeadline = now // the next Tick fails the connection
		return c
	}
	c.cancelDial = cancel
	return c
}

// Tick fails the connects that have timed out. It must be called some tens of times per second.
func (e *Engine) Tick(now time.Time) {
	for i := 0; i < len(e.dialing); {
		c := e.dialing[i]
		switch {
		case c.closed || c.Connected():
			e.removeDialing(c)
		case now.After(c.connectDeadline):
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
