package transport

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	sendBuffer = 1 << 18 // takes a whole request at once
	readBuffer = 1 << 16
	kernelHas  = 1 << 17 // bytes of datagrams that wait there at most
)

// kernel is the ground in service: the system's sockets under one poller, and its clock.
type kernel struct {
	engine  *Engine
	nb      *nbio.Engine
	inHand  handed
	buffer  []byte          // the one poller reads into it
	dials   context.Context // of the connects under way
	noDials func()          // gives all of them up
}

func newKernel(descriptors int) *kernel {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = max(descriptors, 1024) * 2
	// Edge triggered: with level triggers this poller spins on a connection that has become writable.
	k := &kernel{nb: nbio.NewEngine(nbio.Config{NPoller: 1, ReadBufferSize: readBuffer, EpollMod: nbio.EPOLLET})}
	k.buffer = make([]byte, readBuffer)
	k.dials, k.noDials = context.WithCancel(context.Background())
	return k
}

// SystemRuntime is the kernel's ground for who needs no connections: its clock, calls by turns and datagrams.
func SystemRuntime() Runtime { return newKernel(0) }

// handed is what the poller has read and waits to hand on, while another callback holds the engine's lock.
type handed struct {
	mu      sync.Mutex
	reading *nbio.Conn // the poller is about to read from it; what it gets is handed soon
	from    *nbio.Conn
	b       []byte
}

// set notes where the poller reads, and what it has read.
func (h *handed) set(reading, from *nbio.Conn, b []byte) {
	h.mu.Lock()
	h.reading, h.from, h.b = reading, from, b
	h.mu.Unlock()
}

const (
	handedSoon  = 20 * time.Microsecond
	handedTries = 100 // the poller does nothing between its read and the handing on
)

// peek copies what was read from a connection. While the poller is between a read from it and handing on what that gave, it waits for
// that: those bytes are in neither place.
func (h *handed) peek(from *nbio.Conn, b []byte) (n int) {
	for range handedTries {
		h.mu.Lock()
		between := h.reading == from
		if h.from == from {
			n = copy(b, h.b)
		}
		h.mu.Unlock()
		if !between {
			return n
		}
		time.Sleep(handedSoon)
	}
	return n
}

func (k *kernel) start(e *Engine) error {
	k.engine = e
	k.nb.OnData(k.data)
	k.nb.OnClose(k.closed)
	k.nb.OnReadBufferAlloc(func(nb *nbio.Conn) *[]byte {
		k.inHand.set(nb, nil, nil)
		return &k.buffer
	})
	k.nb.OnReadBufferFree(func(*nbio.Conn, *[]byte) { k.inHand.set(nil, nil, nil) })
	k.nb.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*Conn); ok { // no lock: it may be held by who waits for the poller's
			c.HandleWritten(n)
		}
	})
	return k.nb.Start()
}

// data and closed take the lock before they look for the connection: it is tied to the poller's under the lock.
func (k *kernel) data(nb *nbio.Conn, b []byte) {
	k.inHand.set(nil, nb, b)
	k.engine.mu.Lock()
	k.inHand.set(nil, nil, nil)
	c, _ := nb.Session().(*Conn)
	k.engine.came(c, b)
}

func (k *kernel) closed(nb *nbio.Conn, err error) {
	k.engine.mu.Lock()
	c, _ := nb.Session().(*Conn)
	if err == nil {
		err = io.EOF
	}
	k.engine.ended(c, err)
}

func (k *kernel) Now() time.Time      { return time.Now() }
func (k *kernel) WallTime() time.Time { return time.Now() }

func (k *kernel) Random(b []byte) { _, _ = rand.Read(b) }

// Stop ends the poller. It may wait for a connection that came as it stopped: it is given a moment, no more.
func (k *kernel) Stop() {
	k.noDials()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = k.nb.Shutdown(ctx)
}

func (k *kernel) Listen(address string, d *Listener) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			raw, err := l.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // most likely no descriptor: the next one to close gives one
				time.Sleep(5 * time.Millisecond)
			default:
				if !d.Admit(func(c *Conn) (Socket, error) { return k.tie(raw, c) }) {
					_ = raw.Close()
				}
			}
		}
	}()
	return func() { _ = l.Close() }, nil
}

func (k *kernel) tie(raw net.Conn, c *Conn) (Socket, error) {
	nb, err := k.nb.AddConn(raw)
	if err != nil {
		return nil, err
	}
	nb.SetSession(c)
	if c.accepted == nil {
		_ = nb.SetWriteBuffer(sendBuffer)
	}
	return kernelWire{nb, k}, nil
}

// Dial connects by the library's dialer, in a goroutine that ends with the connect. The poller's own way of doing this reads an
// IPv4 address wrongly, takes a failed connect for a good one, and gives no hold on one that hangs.
func (k *kernel) Dial(address string, c *Conn) (func(), error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(k.dials)
	go func() {
		defer cancel()
		raw, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			c.HandleClosed(err)
			return
		}
		if !c.HandleConnected(func() (Socket, error) { return k.tie(raw, c) }) {
			_ = raw.Close()
		}
	}()
	return cancel, nil
}

// kernelWire is one of the poller's connections.
type kernelWire struct {
	nb *nbio.Conn
	k  *kernel
}

func (w kernelWire) Close() { _ = w.nb.Close() }

func (w kernelWire) String() string { return fmt.Sprint(w.nb.RemoteAddr()) }

func (w kernelWire) Peek(b []byte) (n int, ended bool) {
	read := w.k.inHand.peek(w.nb, b)
	if read == len(b) {
		return read, false
	}
	n, _, err := syscall.Recvfrom(w.nb.Hash(), b[read:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return read + max(n, 0), err == nil && read+n == 0
}

// Send writes gathered where nothing waits before. What the kernel does not take is copied and follows.
func (w kernelWire) Send(parts [][]byte, waits bool) int {
	if len(parts) > 1 && !waits {
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		n, err := w.nb.Writev(parts)
		if n == size {
			return n // the poller counts only what it writes in pieces
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			return 0 // the connection's end is told
		}
		// Wards off a torn answer: of a write taken in part the poller keeps the rest of one piece only.
		for len(parts) > 0 && n > 0 {
			n -= len(parts[0])
			parts = parts[1:]
		}
	}
	for _, p := range parts {
		_, _ = w.nb.Write(p)
	}
	return 0
}

// kernelTurns are calls by a goroutine of their own.
type kernelTurns struct {
	rung, done, over chan struct{}
	once             sync.Once
}

func (k *kernel) StartLoop(f func() time.Duration, ended func()) Loop {
	t := &kernelTurns{rung: make(chan struct{}, 1), done: make(chan struct{}), over: make(chan struct{})}
	go func() {
		defer close(t.over)
		defer ended()
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-t.done:
				return
			case <-t.rung:
			case <-timer.C:
			}
			timer.Reset(f())
		}
	}()
	return t
}

func (t *kernelTurns) Wake() {
	select {
	case t.rung <- struct{}{}:
	default:
	}
}

func (t *kernelTurns) Stop(limit time.Duration) {
	t.once.Do(func() { close(t.done) })
	if limit > 0 {
		select {
		case <-t.over:
		case <-time.After(limit):
		}
	}
}

// kernelDatagrams is a socket for datagrams.
type kernelDatagrams struct {
	conn *net.UDPConn
	raw  syscall.RawConn
	v4   bool
}

// ListenPacket opens an address for datagrams with the kernel.
func (k *kernel) ListenPacket(address netip.AddrPort) (PacketConn, error) {
	return ListenPacket(address)
}

// ListenPacket opens an address for datagrams, without a poller.
func ListenPacket(address netip.AddrPort) (PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(kernelHas)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &kernelDatagrams{conn: conn, raw: raw, v4: address.Addr().Unmap().Is4()}, nil
}

func (d *kernelDatagrams) LocalAddr() netip.AddrPort {
	a := d.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (d *kernelDatagrams) Close() { _ = d.conn.Close() }

// Send: what the kernel does not take at once is lost, as datagrams may be.
func (d *kernelDatagrams) Send(b []byte, to netip.AddrPort) (taken bool) {
	err := d.raw.Write(func(fd uintptr) bool {
		taken = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, d.sockaddr(to)) == nil
		return true
	})
	return taken && err == nil
}

func (d *kernelDatagrams) sockaddr(to netip.AddrPort) syscall.Sockaddr {
	if a := to.Addr().Unmap(); d.v4 && a.Is4() {
		return &syscall.SockaddrInet4{Port: int(to.Port()), Addr: a.As4()}
	}
	return &syscall.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

func (d *kernelDatagrams) Receive(room []byte) (n int, from netip.AddrPort, ok bool) {
	var sa syscall.Sockaddr
	err := d.raw.Read(func(fd uintptr) bool {
		var err error
		n, sa, err = syscall.Recvfrom(int(fd), room, syscall.MSG_DONTWAIT)
		ok = err == nil
		return true
	})
	if err != nil || !ok {
		return 0, from, false
	}
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		from = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		from = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return n, from, true
}
