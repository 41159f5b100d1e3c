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
	"golang.org/x/sys/unix"
)

const (
	sendBufferSize   = 1 << 18                // size in bytes of a dialed connection's send buffer; holds a whole request
	minDescriptors   = 1024                   // the poller's table has room for at least this many descriptors
	acceptRetryPause = 5 * time.Millisecond   // between a failed accept and the next
	shutdownTimeout  = 200 * time.Millisecond // limits the wait for the poller to stop
)

// kernel is the Runtime of the service. It uses the system's sockets, with one poller for all stream connections,
// and the system's clock.
type kernel struct {
	engine         *Engine
	poller         *nbio.Engine
	dialedReader   reader // used by the poller
	acceptedReader reader // used by the poller
	catchUpReader  reader // used by readBehind
	catchUp        catchUpQueue
	dialContext    context.Context // parent of the contexts of the connects in progress
	cancelDials    func()

	pollDescriptors [1]unix.PollFd // scratch space; guarded by the engine's lock
}

func newKernel(descriptors int) *kernel {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = max(descriptors, minDescriptors) * 2 // size of the poller's table, indexed by descriptor
	config := nbio.Config{
		NPoller:  1,
		EpollMod: nbio.EPOLLET, // with level triggering, the poller busy-loops on a connection once it is writable
	}
	k := &kernel{poller: nbio.NewEngine(config)}
	k.dialedReader = newReader(k, dialedReadSize)
	k.acceptedReader = newReader(k, acceptedReadSize)
	k.catchUpReader = newReader(k, acceptedReadSize)
	k.catchUp.init()
	k.dialContext, k.cancelDials = context.WithCancel(context.Background())
	return k
}

// SystemRuntime returns a Runtime of the kernel without an Engine. It provides the clock, loops, datagram sockets
// and random bytes, but no connections.
func SystemRuntime() Runtime { return newKernel(0) }

// start sets the callbacks of the poller, and starts it and the catch-up reader. The callbacks look up the Conn in the
// poller's session, which attach sets before it adds the connection to the poller.
func (k *kernel) start(e *Engine) error {
	k.engine = e
	k.poller.OnRead(k.handleReadable)
	k.poller.OnClose(k.handleClosed)
	k.poller.OnWrittenSize(func(conn *nbio.Conn, _ []byte, n int) {
		if c := connOf(conn); c != nil {
			c.HandleWritten(n)
		}
	})
	if err := k.poller.Start(); err != nil {
		return err
	}
	go k.readBehind()
	return nil
}

// handleData passes bytes that were read to the engine. Until it holds the engine's lock, the bytes are recorded in the
// reader's handoff.
func (k *kernel) handleData(h *handoff, conn *nbio.Conn, b []byte) {
	h.set(nil, conn, b)
	k.engine.mu.Lock()
	h.set(nil, nil, nil)
	k.engine.dispatchData(connOf(conn), b)
}

// handleClosed reports the end of a connection to the engine. A nil error of the poller is reported as io.EOF.
func (k *kernel) handleClosed(conn *nbio.Conn, err error) {
	k.engine.mu.Lock()
	if err == nil {
		err = io.EOF
	}
	k.engine.dispatchClosed(connOf(conn), err)
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
	k.catchUp.stop()
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

// attach sets a connection's session to c and adds it to the poller. It must be called under the engine's lock.
func (k *kernel) attach(raw net.Conn, c *Conn) (Socket, error) {
	conn, err := nbio.NBConn(raw)
	if err != nil {
		return nil, err
	}
	dialed := c.onClosed == nil
	if dialed {
		conn.SetSession((*dialedConn)(c))
	} else {
		conn.SetSession(c)
	}
	if _, err := k.poller.AddConn(conn); err != nil {
		return nil, err
	}
	if dialed {
		_ = conn.SetWriteBuffer(sendBufferSize)
	}
	return kernelSocket{conn, k}, nil
}

// dialedConn is the type of the poller's session of a dialed connection. That of an accepted one is Conn. So the poller
// can tell them apart without reading the Conn, which the engine's lock guards.
type dialedConn Conn

// connOf returns the Conn of a connection of the poller, or nil if it has none.
func connOf(conn *nbio.Conn) *Conn {
	switch c := conn.Session().(type) {
	case *Conn:
		return c
	case *dialedConn:
		return (*Conn)(c)
	}
	return nil
}
