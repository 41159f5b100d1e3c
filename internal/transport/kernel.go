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
	sendBufferSize   = 1 << 18                // size in bytes of a dialed connection's send buffer; holds a whole request
	readBufferSize   = 1 << 16                // maximum bytes that the poller reads at once
	minDescriptors   = 1024                   // the poller's table has room for at least this many descriptors
	acceptRetryPause = 5 * time.Millisecond   // between a failed accept and the next
	shutdownTimeout  = 200 * time.Millisecond // limits the wait for the poller to stop
)

// kernel is the Runtime of the service. It uses the system's sockets, with one poller for all stream connections,
// and the system's clock.
type kernel struct {
	engine      *Engine
	poller      *nbio.Engine
	handoff     handoff
	readBuffer  []byte          // the poller reads into it
	dialContext context.Context // parent of the contexts of the connects in progress
	cancelDials func()
}

func newKernel(descriptors int) *kernel {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = max(descriptors, minDescriptors) * 2 // size of the poller's table, indexed by descriptor
	config := nbio.Config{
		NPoller:        1,
		ReadBufferSize: readBufferSize,
		EpollMod:       nbio.EPOLLET, // with level triggering, the poller busy-loops on a connection once it is writable
	}
	k := &kernel{poller: nbio.NewEngine(config), readBuffer: make([]byte, readBufferSize)}
	k.dialContext, k.cancelDials = context.WithCancel(context.Background())
	return k
}

// SystemRuntime returns a Runtime of the kernel without an Engine. It provides the clock, loops, datagram sockets
// and random bytes, but no connections.
func SystemRuntime() Runtime { return newKernel(0) }

// start sets the callbacks of the poller and starts it. The data and close callbacks acquire the engine's lock
// before they look up the Conn in the poller's session: attach, which runs under that lock, adds a connection to
// the poller before it sets the session.
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

// handleData passes bytes that the poller has read to the engine. Until it holds the engine's lock, the bytes are
// recorded in the handoff.
func (k *kernel) handleData(conn *nbio.Conn, b []byte) {
	k.handoff.set(nil, conn, b)
	k.engine.mu.Lock()
	k.handoff.set(nil, nil, nil)
	c, _ := conn.Session().(*Conn)
	k.engine.dispatchData(c, b)
}

// handleClosed reports the end of a connection to the engine. A nil error of the poller is reported as io.EOF.
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

// Random fills b with random bytes from the system. It never fails.
func (k *kernel) Random(b []byte) { _, _ = rand.Read(b) }

// Stop abandons all connects and stops the poller. It waits at most shutdownTimeout, because the poller may itself
// wait for a connection that was just accepted.
func (k *kernel) Stop() {
	k.cancelDials()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = k.poller.Shutdown(ctx)
}

// Listen accepts connections on a goroutine. The returned function closes the listener, which ends the goroutine.
func (k *kernel) Listen(address string, listener *Listener) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go k.accept(l, listener)
	return func() { _ = l.Close() }, nil
}

// accept accepts connections until the listener is closed.
func (k *kernel) accept(l net.Listener, listener *Listener) {
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // most likely out of descriptors; one may be freed soon
			time.Sleep(acceptRetryPause)
		default:
			k.admit(raw, listener)
		}
	}
}

// admit passes an accepted connection to the listener, and closes it if the listener does not admit it.
func (k *kernel) admit(raw net.Conn, listener *Listener) {
	admitted := listener.Admit(func(c *Conn) (Socket, error) { return k.attach(raw, c) })
	if !admitted {
		_ = raw.Close()
	}
}

// Dial connects with the standard library on a goroutine, which ends with the connect. The returned function
// cancels the connect. The poller's own connect function is not used: it misparses IPv4 addresses, reports failed
// connects as successful, and can't be canceled.
func (k *kernel) Dial(address string, c *Conn) (func(), error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(k.dialContext)
	go func() {
		defer cancel()
		k.connect(ctx, to, c)
	}()
	return cancel, nil
}

// connect dials an address and reports the result to c.
func (k *kernel) connect(ctx context.Context, to netip.AddrPort, c *Conn) {
	dialer := net.Dialer{KeepAlive: -1} // disables TCP keep-alive probes
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

// attach adds a connection to the poller and sets its session to c. It must be called under the engine's lock.
func (k *kernel) attach(raw net.Conn, c *Conn) (Socket, error) {
	conn, err := k.poller.AddConn(raw)
	if err != nil {
		return nil, err
	}
	conn.SetSession(c)
	if dialed := c.onClosed == nil; dialed {
		_ = conn.SetWriteBuffer(sendBufferSize)
	}
	return kernelSocket{conn, k}, nil
}
