package attempts

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/testserver"
	"threadrun/internal/transport"
	"threadrun/routing"
)

type host map[AttemptID]Result

func (h host) AttemptEnded(t AttemptID, e *Result) { h[t] = *e }

func (h host) ProbeEnded(no uint64, what ProbeResult, _ time.Duration) {
	h[AttemptID{Attempt: routing.AttemptNumber(-int(no))}] = Result{Status: Status(what)}
}

func id(n byte) (d ID) {
	copy(d[:], "000000000000000")
	d[15] = '0' + n
	return d
}

func pool(t *testing.T, h Handler, each int) (*transport.Engine, *Pool) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := transport.New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e, New(e, log, h, 4, each, 8, time.Second, time.Minute, time.Minute)
}

func request(n byte, size int) (*Request, []byte) {
	return &Request{Class: "order", ID: id(n), Object: id(0), Budget: 1_000_000}, make([]byte, size)
}

// Of a request that is given up while some of it still waits here, it is proved that it can't arrive: one behind another was held back.
func TestDropBehindOthers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := host{}
	e, y := pool(t, h, 1)
	huge := 64 << 20
	first, second := AttemptID{Attempt: 1}, AttemptID{Attempt: 2}
	e.Do(func() {
		y.SetAddress(0, l.Addr().String(), false)
		get, body := request(1, huge)
		y.Send(first, 0, get, body)
		get, body = request(2, 5)
		y.Send(second, 0, get, body)
	})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	if _, err := r.Peek(1); err != nil { // it stands
		t.Fatal(err)
	}
	e.Do(func() {
		if reach := y.Cancel(second, 0); reach != NotSent {
			t.Errorf("behind another request: %s", reaches[reach])
		}
		if reach := y.Cancel(first, 0); reach != PartlySent || y.Connections() != 0 {
			t.Errorf("alone and half sent: %s, %d connections", reaches[reach], y.Connections())
		}
	})
	if words, err := testserver.ReadArray(r); err == nil {
		t.Errorf("a whole request arrived: %.3q", words)
	}
	e.Do(func() { // a connection that does not stand yet: nothing may set out later
		y.SetAddress(1, "127.0.0.1:1", false)
		get, body := request(3, 5)
		y.Send(AttemptID{Attempt: 3}, 1, get, body)
		if reach := y.Cancel(AttemptID{Attempt: 3}, 1); reach != NotConnected || y.Connections() != 0 {
			t.Errorf("unconnected: %s, %d connections", reaches[reach], y.Connections())
		}
	})
	if len(h) > 0 {
		t.Errorf("told of attempts that were given up: %v", h)
	}
}

// A full pool lets an idle connection go for a cache that has none; an id never goes twice over one connection.
func TestPicking(t *testing.T) {
	h := host{}
	e, y := pool(t, h, 2)
	var caches []*testserver.Cache
	for i := 0; i < 5; i++ {
		c, err := testserver.Open("c", "127.0.0.1:0", func(c *testserver.Cache) {
			c.Answer = func(*testserver.Get) *testserver.Reply { return &testserver.Reply{Word: "data", Fields: "detail=hit"} }
		})
		if err != nil {
			t.Fatal(err)
		}
		caches = append(caches, c)
	}
	ended := func(n int) {
		t.Helper()
		for i := 0; ; i++ {
			done := false
			if e.Do(func() { done = len(h) == n }); done {
				return
			}
			if i > 5000 {
				t.Fatalf("%d of %d ended", len(h), n)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for i, c := range caches {
		e.Do(func() {
			y.SetAddress(routing.EndpointID(i), c.Address(), false)
			get, body := request(byte(i), 0)
			y.Send(AttemptID{Attempt: 10}, routing.EndpointID(i), get, body)
			delete(h, AttemptID{Attempt: 10})
		})
		ended(1)
		e.Do(func() {
			end := h[AttemptID{Attempt: 10}]
			if end.Status != OK || y.Connections() > 4 {
				t.Errorf("cache %d: %+v, %d connections", i, end.Err, y.Connections())
			}
		})
	}
	e.Do(func() {
		clear(h)
		get, body := request(7, 0)
		y.Send(AttemptID{Attempt: 1}, 4, get, body)
		y.Cancel(AttemptID{Attempt: 1}, 4)
		y.Send(AttemptID{Attempt: 2}, 4, get, body)
	})
	ended(1)
	gets := caches[4].Gets()
	for i, g := range gets {
		for _, o := range gets[:i] {
			if g.ID == o.ID && g.Conn == o.Conn {
				t.Error("one id twice on a connection")
			}
		}
	}
}

// ends notes how far attempts had come.
type ends []Progress

func (h *ends) AttemptEnded(_ AttemptID, e *Result)           { *h = append(*h, e.Err.Progress) }
func (h *ends) ProbeEnded(uint64, ProbeResult, time.Duration) {}

// A connection reset when it is new was taken by a cache that is there; only one that never came up shows it gone. Taken
// for the same, a few resets had healthy caches rest, and sent them a just-started cache's part for long after.
func TestResetWhenNew(t *testing.T) {
	var h ends
	y := New(nil, nil, &h, 1, 1, 1, 0, 0, 0)
	for _, err := range []error{syscall.ECONNRESET, syscall.ECONNREFUSED, io.EOF} {
		l := &connection{pool: y, endpoint: &endpoint{}, conn: &transport.Conn{}, open: []attempt{{end: 9}}}
		l.Closed(&transport.RemoteError{Err: err})
	}
	if len(h) != 3 || h[0] != NotSent || h[1] != NotConnected || h[2] != NotConnected {
		t.Errorf("reaches %v", h)
	}
}
