// Package sockets holds the one poller, its connections, and the one lock under which all their callbacks run.
// It knows nothing of what the bytes mean.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
)

// Owner is the object behind a connection. Its calls come under the engine's lock, one at a time.
type Owner interface {
	Data(b []byte) error // b is good within the call only; an error closes the connection
	Closed(err error)    // once, unless the owner closed the connection itself
}

// ErrPanic ends a connection whose callback panicked.
var ErrPanic = errors.New("panic in a callback")

var errSlowConnect = errors.New("no connection in time")

// Theirs is the end of a connection by the other side or the way between.
type Theirs struct{ Err error }

func (t *Theirs) Error() string { return "connection ended: " + t.Err.Error() }

// Unwrap gives what the kernel said.
func (t *Theirs) Unwrap() error { return t.Err }

// Ours tells whether a connection was ended on this side, for what came over it.
func Ours(err error) bool {
	var t *Theirs
	return !errors.As(err, &t)
}

// Engine is the poller with its lock. After, where set, runs at the end of every callback, still under the lock.
type Engine struct {
	mu      sync.Mutex
	nb      *nbio.Engine
	log     *logrus.Logger
	door    net.Listener
	most    atomic.Int32 // accepted connections
	dialing []*Conn
	free    [][]byte
	spare   int // bytes in free
	keep    int // that may be in free
	After   func()
}

// Conn is one connection.
type Conn struct {
	engine   *Engine
	nb       *nbio.Conn
	owner    Owner
	queued   int64
	sent     atomic.Int64 // taken by the kernel; the poller counts under a lock of its own
	until    time.Time    // for the connect
	accepted func()       // hears that the connection no longer counts
	over     bool
}

const (
	sendBuffer   = 1 << 18 // takes a whole request at once
	readBuffer   = 1 << 16
	spareLeast   = 1 << 12
	spareLargest = 1 << 19
)

// New runs a poller that has as many descriptors as the process may hold.
func New(log *logrus.Logger, descriptors int) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = max(descriptors, 1024) * 2
	e := &Engine{log: log}
	// Edge triggered: with level triggers this poller spins on a connection that has become writable.
	e.nb = nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readBuffer, EpollMod: nbio.EPOLLET})
	e.nb.OnData(e.data)
	e.nb.OnClose(e.closed)
	e.nb.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*Conn); ok { // no lock: it may be held by who waits for the poller's
			c.sent.Add(int64(n))
		}
	})
	return e, e.nb.Start()
}

// Bound sets how many accepted connections there may be at a time; one too many is closed at once.
func (e *Engine) Bound(most int) { e.most.Store(int32(most)) }

// Spare sets how many bytes of buffers are kept for reuse.
func (e *Engine) Spare(most int) { e.keep = most }

// Listen accepts connections at an address, within the bound that is set.
func (e *Engine) Listen(address string, accept func(*Conn) Owner) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.door = l
	go func() {
		var inside atomic.Int32
		for {
			raw, err := l.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // most likely no descriptor: the next one to close gives one
				time.Sleep(5 * time.Millisecond)
			case inside.Add(1) > e.most.Load():
				inside.Add(-1)
				_ = raw.Close()
			default:
				e.enter(raw, func() { inside.Add(-1) }, accept)
			}
		}
	}()
	return nil
}

func (e *Engine) enter(raw net.Conn, gone func(), accept func(*Conn) Owner) {
	e.mu.Lock()
	c := &Conn{engine: e, accepted: gone}
	defer e.leave(c)
	nb, err := e.nb.AddConn(raw)
	if err != nil {
		c.over = true
		gone()
		e.log.WithError(err).Warn("sockets: connection not taken in")
		return
	}
	c.nb = nb
	nb.SetSession(c)
	c.owner = accept(c)
}

// Stop ends the poller and all connections. The poller may wait for one that came as it stopped: it is given a
// moment, no more.
func (e *Engine) Stop() {
	if e.door != nil {
		_ = e.door.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = e.nb.Shutdown(ctx)
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
	if e.After != nil {
		e.quietly(e.After)
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
func (e *Engine) Dial(address string, limit time.Duration, o Owner) *Conn {
	c := &Conn{engine: e, owner: o, until: time.Now().Add(limit)}
	e.dialing = append(e.dialing, c)
	raw, err := connect(address)
	if err == nil {
		c.nb, err = e.nb.AddConn(raw)
	}
	if err != nil {
		e.log.WithError(err).WithField("address", address).Warn("sockets: no connect begun")
		c.until = time.Now() // the next Beat tells the owner
		return c
	}
	c.nb.SetSession(c)
	_ = c.nb.SetWriteBuffer(sendBuffer)
	return c
}

// connect begins a connect and does not wait for it. The poller's own way of doing this reads an IPv4 address
// wrongly and gives no hold on a connect that hangs.
func connect(address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	family, sa, from := syscall.AF_INET, syscall.Sockaddr(&syscall.SockaddrInet4{Port: int(to.Port())}),
		syscall.Sockaddr(&syscall.SockaddrInet4{})
	if ip := to.Addr().Unmap(); ip.Is4() {
		sa.(*syscall.SockaddrInet4).Addr = ip.As4()
	} else {
		family, sa, from = syscall.AF_INET6, &syscall.SockaddrInet6{Port: int(to.Port()), Addr: ip.As16()},
			&syscall.SockaddrInet6{}
	}
	fd, err := named(family, from)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), address)
	defer f.Close()
	if err := syscall.Connect(fd, sa); err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		return nil, err
	}
	return net.FileConn(f)
}

// named makes a socket that has a local address before its connect is begun: wards off a platform that gives it one
// only once the connection stands, which the library that takes the socket over refuses.
func named(family int, from syscall.Sockaddr) (int, error) {
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	// Without this a port would stay taken for a minute after its connection's end.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, from)
	}
	if err != nil {
		_ = syscall.Close(fd)
	}
	return fd, err
}

func (e *Engine) forget(c *Conn) {
	for i, d := range e.dialing {
		if d == c {
			e.dialing = append(e.dialing[:i], e.dialing[i+1:]...)
			return
		}
	}
}

// Beat ends connects that took too long. It is called under the lock, some tens of times a second.
func (e *Engine) Beat(now time.Time) {
	for i := 0; i < len(e.dialing); {
		switch c := e.dialing[i]; {
		case c.over || c.Up():
			e.forget(c)
		case now.After(c.until):
			e.forget(c)
			c.Fail(errSlowConnect)
		default:
			i++
		}
	}
}

// data and closed take the lock before they look for the connection: it is tied to the poller's under the lock.
func (e *Engine) data(nb *nbio.Conn, b []byte) {
	e.mu.Lock()
	c, ok := nb.Session().(*Conn)
	defer e.leave(c)
	if !ok || c.over || c.owner == nil {
		return
	}
	if err := c.owner.Data(b); err != nil {
		c.Fail(err)
	}
}

func (e *Engine) closed(nb *nbio.Conn, err error) {
	e.mu.Lock()
	c, ok := nb.Session().(*Conn)
	defer e.leave(c)
	if !ok {
		return
	}
	if err == nil {
		err = io.EOF
	}
	c.Fail(&Theirs{err})
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
	if c.nb != nil {
		_ = c.nb.Close()
	}
}

// Up tells whether the connection has been seen to stand: the kernel takes bytes only then.
func (c *Conn) Up() bool { return c.accepted != nil || c.Sent() > 0 }

// Waiting tells whether bytes have come that the poller has not read yet.
func (c *Conn) Waiting() bool {
	if c.over || c.nb == nil {
		return false
	}
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.nb.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Sent is how many of the bytes given to Send the kernel has taken; they may have arrived.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Queued is how many bytes Send was given.
func (c *Conn) Queued() int64 { return c.queued }

// Send writes the parts one after another, gathered where nothing waits before them. What the kernel does not
// take is copied and follows.
func (c *Conn) Send(parts ...[]byte) {
	if c.over || c.nb == nil {
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
	parts = parts[:full]
	waits := c.queued != c.sent.Load()
	c.queued += int64(size)
	if len(parts) > 1 && !waits {
		n, err := c.nb.Writev(parts)
		if n == size {
			c.sent.Add(int64(n)) // the poller counts only what it writes in pieces
			return
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			return // Closed follows
		}
		// Wards off a torn answer: of a write taken in part the poller keeps the rest of one piece only.
		for len(parts) > 0 && n > 0 {
			n -= len(parts[0])
			parts = parts[1:]
		}
	}
	for _, p := range parts {
		_, _ = c.nb.Write(p)
	}
}

// Buffer gives an empty buffer with room for a size; Done takes it back for reuse.
func (e *Engine) Buffer(size int) []byte {
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

// Done takes a buffer back.
func (e *Engine) Done(b []byte) {
	if cap(b) >= spareLeast && cap(b) <= spareLargest && e.spare+cap(b) <= e.keep {
		e.free = append(e.free, b)
		e.spare += cap(b)
	}
}

// Messages reads whole messages, in place. Next gives the size of the one that b begins with, 0 while it has not
// come whole.
type Messages interface {
	Next(b []byte) (size int, err error)
}

// Inbox holds what has come of an unfinished message, in a reused buffer.
type Inbox struct{ held []byte }

// Len is how many bytes are held.
func (in *Inbox) Len() int { return len(in.held) }

// Take reads all whole messages of what was held and b, and holds the rest.
func (in *Inbox) Take(e *Engine, b []byte, m Messages) error {
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
		in.Drop(e)
	case len(in.held) > 0:
		in.held = in.held[:copy(in.held, b)]
	default:
		in.add(e, b)
	}
	return nil
}

func (in *Inbox) add(e *Engine, b []byte) {
	if need := len(in.held) + len(b); need > cap(in.held) {
		bigger := append(e.Buffer(need), in.held...)
		e.Done(in.held)
		in.held = bigger
	}
	in.held = append(in.held, b...)
}

// Drop forgets what is held.
func (in *Inbox) Drop(e *Engine) {
	e.Done(in.held)
	in.held = nil
}

// String names a connection's far end for the log.
func (c *Conn) String() string {
	if c.nb == nil {
		return "unconnected"
	}
	return fmt.Sprint(c.nb.RemoteAddr())
}
