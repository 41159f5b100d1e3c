package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const hangTimeout = 10 * time.Second // reached only if a connection hangs

// testHandler is a Handler that calls functions.
type testHandler struct {
	data   func(b []byte) error
	closed func(err error)
}

func (h *testHandler) Data(b []byte) error { return h.data(b) }
func (h *testHandler) Closed(err error)    { h.closed(err) }

// freeAddress returns an address of the loopback interface on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	l := listen(t)
	closeQuietly(l)
	return l.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l
}

func closeQuietly(c io.Closer) { _ = c.Close() }

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newEngine(t testing.TB) *Engine {
	t.Helper()
	e, err := New(quietLogger(), 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// accept returns the next connection of a listener.
func accept(t testing.TB, l net.Listener) net.Conn {
	t.Helper()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}

// Bytes sent in several parts must arrive completely and in order even if the kernel accepts only some of them at
// once: the poller's own gathered write drops the parts after one that was written partly.
func TestGatheredWrite(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	want := make([]byte, 0, 16<<20)
	e.Do(func() {
		c := e.Dial(l.Addr().String(), time.Second, &testHandler{closed: func(error) {}})
		for i := 0; len(want) < 12<<20; i++ {
			head := bytes.Repeat([]byte{byte(i)}, i%7)
			body := bytes.Repeat([]byte{byte(i + 1)}, 100_000+i)
			tail := []byte{9}
			want = append(append(append(want, head...), body...), tail...)
			c.Send(head, body, tail)
		}
		if c.Enqueued() != int64(len(want)) || c.Sent() > c.Enqueued() {
			t.Errorf("%d bytes enqueued, %d sent, want %d enqueued and at most as many sent", c.Enqueued(), c.Sent(), len(want))
		}
	})
	conn := accept(t, l)
	got := make([]byte, len(want))
	for offset := 0; offset < len(got); {
		n, err := conn.Read(got[offset:min(offset+30_000, len(got))])
		if offset += n; err != nil {
			t.Fatalf("read failed after %d of %d bytes: %v", offset, len(got), err)
		}
		if offset < 1<<20 {
			time.Sleep(time.Millisecond) // so that the kernel's send buffer stays full
		}
	}
	if !bytes.Equal(got, want) {
		t.Error("the received bytes differ from those sent")
	}
}

// A panic in a callback must close that connection, call its handler's Closed with ErrPanic, release the lock, and
// make room for another accepted connection.
func TestPanicInCallback(t *testing.T) {
	e := newEngine(t)
	ended := make(chan error, 2)
	address := freeAddress(t)
	e.SetMaxAccepted(1)
	if err := e.Listen(address, func(*Conn) Handler {
		return &testHandler{
			data:   func([]byte) error { panic("fault in a callback") },
			closed: func(err error) { ended <- err },
		}
	}); err != nil {
		t.Fatal(err)
	}
	for range 3 { // only one connection may be open, so each round shows that the previous one has made room
		for tries := 0; ; tries++ {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, net.ErrClosed) {
				t.Fatalf("the connection was not closed after the panic: %v", err)
			}
			closeQuietly(conn)
			if len(ended) > 0 {
				break
			}
			if tries > 1000 {
				t.Fatal("the connection was never admitted")
			}
			time.Sleep(time.Millisecond)
		}
		if err := <-ended; !errors.Is(err, ErrPanic) {
			t.Fatalf("closed with %v, want %v", err, ErrPanic)
		}
		e.Do(func() {}) // hangs if the lock was not released
	}
}

// A connect that is refused, can't be started or hangs must be reported to the handler, but not during Dial, and
// with no bytes sent.
func TestFailedConnect(t *testing.T) {
	e := newEngine(t)
	for _, address := range []string{freeAddress(t), "no address"} {
		ended := make(chan error, 1)
		var c *Conn
		e.Do(func() {
			c = e.Dial(address, time.Second, &testHandler{closed: func(err error) { ended <- err }})
			c.Send([]byte("a"), []byte("b"))
			if len(ended) > 0 {
				t.Error("Closed was called during Dial")
			}
		})
		for i := 0; len(ended) == 0; i++ {
			if e.Do(func() { e.Tick(time.Now()) }); i > 2000 {
				t.Fatalf("%s: the failed connect was not reported", address)
			}
			time.Sleep(time.Millisecond)
		}
		if c.Sent() != 0 || c.Connected() {
			t.Errorf("%s: %d bytes sent, connected: %v; want none sent, not connected", address, c.Sent(), c.Connected())
		}
	}
	var hanging error
	e.Do(func() {
		c := &Conn{engine: e, handler: &testHandler{closed: func(err error) { hanging = err }}, connectDeadline: time.Now()}
		e.dialing = append(e.dialing, c)
		e.Tick(time.Now().Add(time.Second))
	})
	if !errors.Is(hanging, errConnectTimeout) {
		t.Errorf("a connect that hangs ended with %v, want %v", hanging, errConnectTimeout)
	}
}

// dialHandler is a Connector that calls functions.
type dialHandler struct {
	testHandler
	connected func()
}

func (h *dialHandler) Connected() { h.connected() }

// A dialed connection must be attached to the poller only once it is established, when both of its addresses are
// known: on some systems a socket has no addresses earlier, so that every connect would fail. Bytes sent before it is
// established must arrive.
func TestAttachedOnceEstablished(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	established := make(chan [2]net.Addr, 1)
	testDone := false
	h := &dialHandler{testHandler: testHandler{closed: func(err error) {
		if !testDone {
			t.Errorf("Closed was called with %v", err)
		}
	}}}
	e.Do(func() {
		c := e.Dial(l.Addr().String(), 5*time.Second, h)
		if c.Connected() || c.Flushed() {
			t.Errorf("during the connect: connected %v, flushed %v, want neither", c.Connected(), c.Flushed())
		}
		c.Send([]byte("ear"), []byte("ly"))
		h.connected = func() {
			socket := c.Socket().(kernelSocket)
			if !c.Connected() || !c.Flushed() {
				t.Errorf("connected %v, flushed %v during the call of Connected, want both", c.Connected(), c.Flushed())
			}
			established <- [2]net.Addr{socket.conn.LocalAddr(), socket.conn.RemoteAddr()}
		}
	})
	conn := accept(t, l)
	got := make([]byte, 5)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "early" {
		t.Errorf("read %q with error %v, want \"early\"", got, err)
	}
	addresses := <-established
	e.Do(func() { testDone = true })
	local, remote := addresses[0], addresses[1]
	if local == nil || remote == nil ||
		local.String() != conn.RemoteAddr().String() || remote.String() != conn.LocalAddr().String() {
		t.Errorf("attached with local and remote address %v, want %v and %v",
			addresses, conn.RemoteAddr(), conn.LocalAddr())
	}
}

// LookAhead is called for every request. It must allocate no memory, and must distinguish unread bytes, the end of the
// connection, also behind unread bytes, and neither.
func TestPeekAllocatesNothing(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	established := make(chan struct{})
	h := &dialHandler{
		testHandler: testHandler{data: func([]byte) error { return nil }, closed: func(error) {}},
		connected:   func() { close(established) },
	}
	var c *Conn
	e.Do(func() { c = e.Dial(l.Addr().String(), hangTimeout, h) })
	conn := accept(t, l)
	<-established
	e.Do(func() {
		check := func(wantUnread, wantClosed bool) {
			t.Helper()
			unread, closed := c.LookAhead()
			if n := testing.AllocsPerRun(100, func() { c.LookAhead() }); n != 0 || unread != wantUnread || closed != wantClosed {
				t.Errorf("%v allocations, unread: %v, closed: %v; want none, %v and %v", n, unread, closed, wantUnread, wantClosed)
			}
		}
		check(false, false)
		_, _ = conn.Write([]byte("x")) // the poller may already have read it
		for i := 0; i < 5000 && !c.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		check(true, false)
		closeQuietly(conn)
		for i := 0; i < 5000; i++ {
			if _, closed := c.LookAhead(); closed {
				break
			}
			time.Sleep(time.Millisecond)
		}
		check(true, true)
	})
}

// After a connect in progress is canceled, neither its success nor its failure may be reported to the handler, and
// no bytes may be sent.
func TestCanceledConnect(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	h := &dialHandler{
		testHandler: testHandler{closed: func(err error) { t.Errorf("Closed was called with %v", err) }},
		connected:   func() { t.Error("Connected was called") },
	}
	e.Do(func() {
		c := e.Dial(l.Addr().String(), 5*time.Second, h)
		c.Send([]byte("never"))
		c.Close()
	})
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))
	conn, err := l.Accept()
	if err != nil {
		return // it was canceled before the handshake
	}
	defer closeQuietly(conn)
	_ = conn.SetReadDeadline(time.Now().Add(hangTimeout))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("read %d bytes with error %v, want none and an error", n, err)
	}
	e.Do(func() {})
}
