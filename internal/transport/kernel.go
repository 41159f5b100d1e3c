package transport

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	sendBufferSize   = 1 << 18 // in bytes; holds a complete request
	readBufferSize   = 1 << 16 // in bytes
	minDescriptors   = 1024
	acceptRetryPause = 5 * time.Millisecond
	shutdownTimeout  = 200 * time.Millisecond
)

// kernel is the Runtime of the service: it uses the system's sockets with one poller, and the system's clock.
type kernel struct {
	engine      *Engine
	poller      *nbio.Engine
	handoff     handoff
	readBuffer  []byte          // used by the poller
	dials       context.Context // context of the connects in progress
	cancelDials func()
}

func newKernel(descriptors int) *kernel {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = max(descriptors, minDescriptors) * 2
	config := nbio.Config{
		NPoller:        1,
		ReadBufferSize: readBufferSize,
		EpollMod:       nbio.EPOLLET, // level-triggered, this poller spins on a connection that has become writable
	}
	k := &kernel{poller: nbio.NewEngine(config), readBuffer: make([]byte, readBufferSize)}
	k.dials, k.cancelDials = context.WithCancel(context.Background())
	return k
}

// SystemRuntime returns the kernel's Runtime for users without connections. It provides the clock, loops and
// datagrams.
func SystemRuntime() Runtime { return newKernel(0) }

// start sets the callbacks of the poller and starts it. The callbacks acquire the engine's lock before they look up the
// Conn: attach holds it between adding a connection to the poller and setting the Conn.
func (k *kernel) start(e *Engine) error {
	k.engine = e
	k.poller.OnData(k.handleData)
	k.poller.OnClose(k.handleClosed)
	k.poller.OnReadBufferAlloc(func(conn *nbio.Conn) *[]byte {
		k.handoff.set(conn, nil, nil)
		return &k.readBuffer
	})
	k.poller.OnReadBufferFree(func(*nbio.Conn, *[]byte) { k.handoff.set(nil, nil, nil) })
	k.poller.OnWrittenSize(func(conn *nbio.Conn, _ []byte, n int) {
		if c, ok := conn.Session().(*Conn); ok {
			c.HandleWritten(n)
		}
	})
	return k.poller.Start()
}

func (k *kernel) handleData(conn *nbio.Conn, b []byte) {
	k.handoff.set(nil, conn, b)
	k.engine.mu.Lock()
	k.handoff.set(nil, nil, nil)
	c, _ := conn.Session().(*Conn)
	k.engine.dispatchData(c, b)
}

func (k *kernel) handleClosed(conn *nbio.Conn, err error) {
	k.engine.mu.Lock()
	c, _ := conn.Session().(*Conn)
	if err == nil {
		err = io.EOF
	}
	k.engine.dispatchClosed(c, err)
}

// Now returns the system's time with a monotonic reading.
func (k *kernel) Now() time.Time { return time.Now() }

// WallTime returns the system's time.
func (k *kernel) WallTime() time.Time { return time.Now() }

// Random fills b with random bytes from the system, which never fails.
func (k *kernel) Random(b []byte) { _, _ = rand.Read(b) }

// Stop stops the poller. It waits for a limited time, because the poller may wait for a connection that was just
// accepted.
func (k *kernel) Stop() {
	k.cancelDials()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = k.poller.Shutdown(ctx)
}

// Listen accepts connections on a goroutine, which ends when the returned function is called.
func (k *kernel) Listen(address string, listener *Listener) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go k.accept(l, listener)
	return func() { _ = l.Close() }, nil
}

func (k *kernel) accept(l net.Listener, listener *Listener) {
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // probably out of descriptors; the next connection to close frees one
			time.Sleep(acceptRetryPause)
		default:
			k.admit(raw, listener)
		}
	}
}

func (k *kernel) admit(raw net.Conn, listener *Listener) {
	admitted := listener.Admit(func(c *Conn) (Socket, error) { return k.attach(raw, c) })
	if !admitted {
		_ = raw.Close()
	}
}

// Dial connects with the standard library on a goroutine, which ends when the connect ends. The poller's own
// connect misreads IPv4 addresses, takes a failed connect for a successful one, and can't be canceled.
func (k *kernel) Dial(address string, c *Conn) (func(), error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(k.dials)
	go func() {
		defer cancel()
		k.connect(ctx, to, c)
	}()
	return cancel, nil
}

func (k *kernel) connect(ctx context.Context, to netip.AddrPort, c *Conn) {
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		c.HandleClosed(err)
		return
	}
	connected := c.HandleConnected(func() (Socket, error) { return k.attach(raw, c) })
	if !connected {
		_ = raw.Close()
	}
}

// attach adds a connection to the poller.
func (k *kernel) attach(raw net.Conn, c *Conn) (Socket, error) {
	conn, err := k.poller.AddConn(raw)
	if err != nil {
		return nil, err
	}
	conn.SetSession(c)
	if dialed := c.onEnd == nil; dialed {
		_ = conn.SetWriteBuffer(sendBufferSize)
	}
	return kernelSocket{conn, k}, nil
}
