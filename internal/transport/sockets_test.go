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

const long = 10 * time.Second // only a hang lasts so long

// party is an owner made of functions.
type party struct {
	data   func(b []byte) error
	closed func(err error)
}

func (p *party) Data(b []byte) error { return p.data(b) }
func (p *party) Closed(err error)    { p.closed(err) }

func engine(t *testing.T) *Engine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// What is sent in several pieces arrives whole and in order, however little of it the kernel takes at once: this
// poller's own gathered write loses pieces.
func TestGathered(t *testing.T) {
	e := engine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	want := make([]byte, 0, 16<<20)
	e.Do(func() {
		c := e.Dial(l.Addr().String(), time.Second, &party{closed: func(error) {}})
		for i := 0; len(want) < 12<<20; i++ {
			head, body, tail := bytes.Repeat([]byte{byte(i)}, i%7), bytes.Repeat([]byte{byte(i + 1)}, 100_000+i), []byte{9}
			want = append(append(append(want, head...), body...), tail...)
			c.Send(head, body, tail)
		}
		if c.Queued() != int64(len(want)) || c.Sent() > c.Queued() {
			t.Errorf("%d queued, %d sent of %d", c.Queued(), c.Sent(), len(want))
		}
	})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	for at := 0; at < len(got); {
		n, err := conn.Read(got[at:min(at+30_000, len(got))])
		if at += n; err != nil {
			t.Fatalf("after %d of %d bytes: %v", at, len(got), err)
		}
		if at < 1<<20 {
			time.Sleep(time.Millisecond)
		}
	}
	if !bytes.Equal(got, want) {
		t.Error("other bytes")
	}
}

// A panic in a callback ends that connection, tells its owner, and gives the lock back.
func TestPanic(t *testing.T) {
	e := engine(t)
	ended := make(chan error, 2)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	e.SetMaxAccepted(1)
	if err := e.Listen(address, func(c *Conn) Handler {
		return &party{data: func([]byte) error { panic("a fault") }, closed: func(err error) { ended <- err }}
	}); err != nil {
		t.Fatal(err)
	}
	for round := 0; round < 3; round++ { // the place that the bound counts comes free again
		var conn net.Conn
		for tries := 0; ; tries++ {
			if conn, err = net.Dial("tcp", address); err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, net.ErrClosed) {
				t.Fatalf("the connection lives: %v", err)
			}
			conn.Close()
			if len(ended) > 0 {
				break
			}
			if tries > 1000 {
				t.Fatal("the bound never comes free")
			}
			time.Sleep(time.Millisecond)
		}
		if err := <-ended; !errors.Is(err, ErrPanic) {
			t.Fatalf("ended by %v", err)
		}
		e.Do(func() {})
	}
}

// A connect that is refused and one that hangs are both told, never within Dial, and nothing was sent on them.
func TestConnects(t *testing.T) {
	e := engine(t)
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	for _, address := range []string{refused.Addr().String(), "no address"} {
		ended := make(chan error, 1)
		var c *Conn
		e.Do(func() {
			c = e.Dial(address, time.Second, &party{closed: func(err error) { ended <- err }})
			c.Send([]byte("a"), []byte("b"))
			if len(ended) > 0 {
				t.Error("told within Dial")
			}
		})
		for i := 0; len(ended) == 0; i++ {
			if e.Do(func() { e.Tick(time.Now()) }); i > 2000 {
				t.Fatalf("%s: never told", address)
			}
			time.Sleep(time.Millisecond)
		}
		if c.Sent() != 0 || c.Connected() {
			t.Errorf("%s: %d bytes sent", address, c.Sent())
		}
	}
	var late error
	e.Do(func() {
		c := &Conn{engine: e, owner: &party{closed: func(err error) { late = err }}, until: time.Now()}
		e.dialing = append(e.dialing, c)
		e.Tick(time.Now().Add(time.Second))
	})
	if !errors.Is(late, errSlowConnect) {
		t.Errorf("a connect that hangs: %v", late)
	}
}

// dialer is a party that hears when its connection stands.
type dialer struct {
	party
	connected func()
}

func (d *dialer) Connected() { d.connected() }

// A dialed connection is handed over once it stands, with both of its addresses: a platform that names a socket only when its
// connection stands had every connect refused by what took the socket over earlier. What was given to it before follows.
func TestConnectedOnceItStands(t *testing.T) {
	e := engine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stands := make(chan [2]net.Addr, 1)
	over := false
	d := &dialer{party: party{closed: func(err error) {
		if !over {
			t.Errorf("ended: %v", err)
		}
	}}}
	e.Do(func() {
		c := e.Dial(l.Addr().String(), 5*time.Second, d)
		if c.Connected() || c.Flushed() {
			t.Error("it stands before the connect has ended")
		}
		c.Send([]byte("ear"), []byte("ly"))
		d.connected = func() {
			w := c.Socket().(kernelWire)
			if !c.Connected() || !c.Flushed() {
				t.Errorf("up %v, drained %v when told", c.Connected(), c.Flushed())
			}
			stands <- [2]net.Addr{w.nb.LocalAddr(), w.nb.RemoteAddr()}
		}
	})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := make([]byte, 5)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "early" {
		t.Errorf("read %q, %v", got, err)
	}
	at := <-stands
	e.Do(func() { over = true })
	if at[0] == nil || at[1] == nil || at[0].String() != conn.RemoteAddr().String() || at[1].String() != conn.LocalAddr().String() {
		t.Errorf("handed over as %v", at)
	}
}

// A look at what lies unread is part of every request's path: it allocates nothing, and tells bytes, an end and nothing apart.
func TestLookAllocatesNothing(t *testing.T) {
	e := engine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stands := make(chan struct{})
	d := &dialer{party: party{data: func([]byte) error { return nil }, closed: func(error) {}}, connected: func() { close(stands) }}
	var c *Conn
	e.Do(func() { c = e.Dial(l.Addr().String(), long, d) })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-stands
	e.Do(func() {
		if n := testing.AllocsPerRun(100, func() { c.AtEOF() }); n != 0 || c.AtEOF() || c.HasUnread() {
			t.Errorf("%v allocations; finished %v, waiting %v", n, c.AtEOF(), c.HasUnread())
		}
		_, _ = conn.Write([]byte("x")) // the poller may have it in hand already
		for i := 0; i < 5000 && !c.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		if !c.HasUnread() || c.AtEOF() {
			t.Error("a byte that lies unread is not seen")
		}
	})
}

// A connect that is given up while it is under way never reaches its owner.
func TestConnectGivenUp(t *testing.T) {
	e := engine(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := &dialer{party: party{closed: func(err error) { t.Errorf("ended: %v", err) }}, connected: func() { t.Error("it was told") }}
	e.Do(func() {
		c := e.Dial(l.Addr().String(), 5*time.Second, d)
		c.Send([]byte("never"))
		c.Close()
	})
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))
	conn, err := l.Accept()
	if err != nil {
		return // it was given up before the handshake
	}
	_ = conn.SetReadDeadline(time.Now().Add(long))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("%d bytes arrived, %v", n, err)
	}
	e.Do(func() {})
}
