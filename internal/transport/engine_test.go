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

const hangTimeout = 10 * time.Second // only a hang takes this long

// testHandler is a Handler made of functions.
type testHandler struct {
	data   func(b []byte) error
	closed func(err error)
}

func (h *testHandler) Data(b []byte) error { return h.data(b) }
func (h *testHandler) Closed(err error)    { h.closed(err) }

// freeAddress returns an address at which nothing listens.
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

func newEngine(t testing.TB) *Engine {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 256)
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

// Bytes sent in several parts must arrive completely and in order, however few of them the kernel accepts at once:
// the poller's own gathered write loses parts.
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
		if c.Queued() != int64(len(want)) || c.Sent() > c.Queued() {
			t.Errorf("%d queued, %d sent of %d", c.Queued(), c.Sent(), len(want))
		}
	})
	conn := accept(t, l)
	got := make([]byte, len(want))
	for at := 0; at < len(got); {
		n, err := conn.Read(got[at:min(at+30_000, len(got))])
		if at += n; err != nil {
			t.Fatalf("after %d of %d bytes: %v", at, len(got), err)
		}
		if at < 1<<20 {
			time.Sleep(time.Millisecond) // the kernel's buffer stays full
		}
	}
	if !bytes.Equal(got, want) {
		t.Error("the received bytes differ")
	}
}

// A panic in a callback must end that connection, call its handler, and release the lock and the accepted
// connection's slot.
func TestPanicInCallback(t *testing.T) {
	e := newEngine(t)
	ended := make(chan error, 2)
	address := freeAddress(t)
	e.SetMaxAccepted(1)
	if err := e.Listen(address, func(*Conn) Handler {
		return &testHandler{
			data:   func([]byte) error { panic("a fault") },
			closed: func(err error) { ended <- err },
		}
	}); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		for tries := 0; ; tries++ {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, net.ErrClosed) {
				t.Fatalf("the connection is still open: %v", err)
			}
			closeQuietly(conn)
			if len(ended) > 0 {
				break
			}
			if tries > 1000 {
				t.Fatal("the connection's slot is never released")
			}
			time.Sleep(time.Millisecond)
		}
		if err := <-ended; !errors.Is(err, ErrPanic) {
			t.Fatalf("ended by %v", err)
		}
		e.Do(func() {}) // the lock is free
	}
}

// A connect that is refused or hangs must be reported after Dial has returned, with nothing sent.
func TestFailedConnect(t *testing.T) {
	e := newEngine(t)
	for _, address := range []string{freeAddress(t), "no address"} {
		ended := make(chan error, 1)
		var c *Conn
		e.Do(func() {
			c = e.Dial(address, time.Second, &testHandler{closed: func(err error) { ended <- err }})
			c.Send([]byte("a"), []byte("b"))
			if len(ended) > 0 {
				t.Error("reported within Dial")
			}
		})
		for i := 0; len(ended) == 0; i++ {
			if e.Do(func() { e.Tick(time.Now()) }); i > 2000 {
				t.Fatalf("%s: never reported", address)
			}
			time.Sleep(time.Millisecond)
		}
		if c.Sent() != 0 || c.Connected() {
			t.Errorf("%s: %d bytes sent", address, c.Sent())
		}
	}
	var hanging error
	e.Do(func() {
		c := &Conn{engine: e, handler: &testHandler{closed: func(err error) { hanging = err }}, connectDeadline: time.Now()}
		e.dialing = append(e.dialing, c)
		e.Tick(time.Now().Add(time.Second))
	})
	if !errors.Is(hanging, errConnectTimeout) {
		t.Errorf("a connect that hangs: %v", hanging)
	}
}

// dialHandler is a Connector.
type dialHandler struct {
	testHandler
	connected func()
}

func (h *dialHandler) Connected() { h.connected() }

// A dialed connection must be attached when it is established, with both of its addresses: on a system that names a
// socket only then, every connect was refused. Bytes sent before must follow.
func TestAttachedOnceEstablished(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	established := make(chan [2]net.Addr, 1)
	done := false
	h := &dialHandler{testHandler: testHandler{closed: func(err error) {
		if !done {
			t.Errorf("ended: %v", err)
		}
	}}}
	e.Do(func() {
		c := e.Dial(l.Addr().String(), 5*time.Second, h)
		if c.Connected() || c.Flushed() {
			t.Error("connected before the connect has ended")
		}
		c.Send([]byte("ear"), []byte("ly"))
		h.connected = func() {
			socket := c.Socket().(kernelSocket)
			if !c.Connected() || !c.Flushed() {
				t.Errorf("connected %v, flushed %v in Connected", c.Connected(), c.Flushed())
			}
			established <- [2]net.Addr{socket.conn.LocalAddr(), socket.conn.RemoteAddr()}
		}
	})
	conn := accept(t, l)
	got := make([]byte, 5)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "early" {
		t.Errorf("read %q, %v", got, err)
	}
	addresses := <-established
	e.Do(func() { done = true })
	local, remote := addresses[0], addresses[1]
	if local == nil || remote == nil ||
		local.String() != conn.RemoteAddr().String() || remote.String() != conn.LocalAddr().String() {
		t.Errorf("attached with %v", addresses)
	}
}

// Checking for unread bytes is part of every request's path. It must not allocate memory, and must distinguish
// bytes, an end of file and neither.
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
		if n := testing.AllocsPerRun(100, func() { c.AtEOF() }); n != 0 || c.AtEOF() || c.HasUnread() {
			t.Errorf("%v allocations; at EOF %v, unread %v", n, c.AtEOF(), c.HasUnread())
		}
		_, _ = conn.Write([]byte("x")) // the poller may already have read it
		for i := 0; i < 5000 && !c.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		if !c.HasUnread() || c.AtEOF() {
			t.Error("an unread byte was not found")
		}
	})
}

// A connect that is canceled in progress must never reach its handler.
func TestCanceledConnect(t *testing.T) {
	e := newEngine(t)
	l := listen(t)
	h := &dialHandler{
		testHandler: testHandler{closed: func(err error) { t.Errorf("ended: %v", err) }},
		connected:   func() { t.Error("reported as connected") },
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
		t.Errorf("%d bytes arrived, %v", n, err)
	}
	e.Do(func() {})
}
