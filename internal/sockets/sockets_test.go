package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

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
	e.Bound(1)
	if err := e.Listen(address, func(c *Conn) Owner {
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
			if e.Do(func() { e.Beat(time.Now()) }); i > 2000 {
				t.Fatalf("%s: never told", address)
			}
			time.Sleep(time.Millisecond)
		}
		if c.Sent() != 0 || c.Up() {
			t.Errorf("%s: %d bytes sent", address, c.Sent())
		}
	}
	var late error
	e.Do(func() {
		c := &Conn{engine: e, owner: &party{closed: func(err error) { late = err }}, until: time.Now()}
		e.dialing = append(e.dialing, c)
		e.Beat(time.Now().Add(time.Second))
	})
	if !errors.Is(late, errSlowConnect) {
		t.Errorf("a connect that hangs: %v", late)
	}
}

// A socket has a local address before its connect is begun. A platform that gives it one only once the connection stands
// had every connect refused, and with them every visit.
func TestNamedBeforeConnect(t *testing.T) {
	for family, any := range map[int]syscall.Sockaddr{syscall.AF_INET: &syscall.SockaddrInet4{},
		syscall.AF_INET6: &syscall.SockaddrInet6{}} {
		fd, err := named(family, any)
		if errors.Is(err, syscall.EAFNOSUPPORT) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			continue // a machine without this family
		} else if err != nil {
			t.Fatal(err)
		}
		name, err := syscall.Getsockname(fd)
		_ = syscall.Close(fd)
		port := 0
		switch n := name.(type) {
		case *syscall.SockaddrInet4:
			port = n.Port
		case *syscall.SockaddrInet6:
			port = n.Port
		}
		if err != nil || port == 0 {
			t.Errorf("family %d: port %d before the connect, %v", family, port, err)
		}
	}
}
