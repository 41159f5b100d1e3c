package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/testserver"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// recordingHandler takes requests and answers none.
type recordingHandler struct {
	arrived, left int
	stalled       bool
	first         Client
}

func (d *recordingHandler) Ready() bool                          { return true }
func (d *recordingHandler) Class([]byte) (routing.ClassID, bool) { return 0, true }
func (d *recordingHandler) Tenant([]byte) routing.TenantID       { return routing.NoTenant }
func (d *recordingHandler) Arrive(c Client, _ uint64, _ *Request) bool {
	if d.arrived++; d.first == nil {
		d.first = c
	}
	return true
}
func (d *recordingHandler) ClientLeft(routing.RequestID) { d.left++ }
func (d *recordingHandler) Stalled() bool                { return d.stalled }

// open starts a front of 100 clients, with room for so many of their bytes.
func open(t *testing.T, d *recordingHandler, room int) (e *transport.Engine, rpc *Server, door string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := transport.New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	door = l.Addr().String()
	l.Close()
	rpc = NewServer(e, log, d, Limits{Connections: 100, UnreadBytes: 1 << 20, ClientBytes: room, Idle: time.Minute})
	e.SetMaxAccepted(100)
	if err := e.Listen(door, rpc.Accept); err != nil {
		t.Fatal(err)
	}
	return e, rpc, door
}

// A client that says nothing, or half a request drop by drop, holds a place for a moment only; one that has asked may
// be idle for longer.
func TestSilentClients(t *testing.T) {
	d := &recordingHandler{}
	e, rpc, door := open(t, d, 1<<20)
	defer e.Stop()
	var clients [4]*testserver.Client
	for i := range clients {
		var err error
		if clients[i], err = testserver.Connect(door); err != nil {
			t.Fatal(err)
		}
	}
	whole := testserver.Request(1, "page", testserver.Visit(1, "00000000000000aa", time.Second), nil)
	clients[1].Write(whole[:20])
	clients[2].Write(append(whole, whole[:20]...)) // a whole one, and a part
	clients[3].Write(whole)
	beat := func(after time.Duration) { e.Do(func() { rpc.Tick(time.Now().Add(after)) }) }
	for i, taken, began := 0, 0, 0; taken < 2 || began < 2; i++ {
		if i > 5000 {
			t.Fatalf("%d taken, %d began", taken, began)
		}
		time.Sleep(time.Millisecond)
		e.Do(func() {
			taken, began = d.arrived, 0
			for c := range rpc.connections {
				if c.received.Len() > 0 {
					began++
				}
			}
		})
	}
	beat(requestTimeout / 2)
	clients[1].Write(whole[20:30]) // a few bytes more buy no time
	time.Sleep(5 * time.Millisecond)
	beat(requestTimeout - 500*time.Millisecond)
	var held int
	e.Do(func() { held = len(rpc.connections) })
	if held != 4 {
		t.Errorf("%d of 4 left too early", held)
	}
	beat(requestTimeout + time.Millisecond)
	e.Do(func() {
		held = len(rpc.connections)
		for c := range rpc.connections { // the one that has asked and owes the rest of a request is ended once it has its answer
			if c.received.Len() > 0 && len(c.open) == 1 {
				c.Reject(c.open[0].number, 0)
			}
		}
	})
	if held != 2 {
		t.Errorf("%d left, not the two that have asked", held)
	}
	beat(requestTimeout + time.Millisecond)
	for i, c := range clients[:3] {
		select {
		case <-c.Ended():
		case <-time.After(10 * time.Second):
			t.Fatalf("client %d holds its place", i)
		}
	}
	e.Do(func() { held = len(rpc.connections) })
	if held != 1 {
		t.Errorf("%d left, not the one that has asked", held)
	}
}

// A newcomer takes the place of the longest idle, but not of one whose request lies unread in the kernel while the
// poller is busy with another: that request would be lost.
func TestUnreadRequestKeepsItsPlace(t *testing.T) {
	d := &recordingHandler{}
	e, rpc, door := open(t, d, 1<<20)
	defer e.Stop()
	var clients [3]*testserver.Client
	var callers [3]*connection
	for i := range clients {
		var err error
		if clients[i], err = testserver.Connect(door); err != nil {
			t.Fatal(err)
		}
		for callers[i] == nil {
			time.Sleep(time.Millisecond)
			e.Do(func() {
				for c := range rpc.connections {
					if c != callers[0] && c != callers[1] {
						callers[i] = c
					}
				}
			})
		}
	}
	whole := testserver.Request(1, "page", testserver.Visit(1, "00000000000000aa", time.Second), nil)
	var first, second bool
	e.Do(func() {
		clients[2].Write(whole) // the poller is about to hand it on, and waits for the lock
		for i := 0; i < 5000 && !callers[2].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		clients[0].Write(whole)
		for i := 0; i < 5000 && !callers[0].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		rpc.limits.Connections = 3
		rpc.Accept(&transport.Conn{})
		_, first = rpc.connections[callers[0]]
		_, second = rpc.connections[callers[1]]
	})
	if !first || second {
		t.Errorf("the one with a request unread lives: %v; the idle one lives: %v", first, second)
	}
}

// Writes beyond what the memory is to hold are deferred at once; clients that go give their part back.
func TestWritesFlood(t *testing.T) {
	const room = 10 << 20
	d := &recordingHandler{}
	e, rpc, door := open(t, d, room)
	defer e.Stop()
	const asked, fit = 13 * maxOpenRequests, room / maxBody
	var clients []*testserver.Client
	shed := make(chan string, asked)
	for i := 0; i < 13; i++ {
		c, err := testserver.Connect(door)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
		for j := 0; j < maxOpenRequests; j++ {
			_, ch := c.Ask("order", testserver.Visit(1, "00000000000000aa", time.Second), make([]byte, maxBody))
			go func() {
				select {
				case a := <-ch:
					shed <- strings.TrimSpace(a.Error + " " + a.Fields["pause"])
				case <-c.Ended():
				}
			}()
		}
	}
	for i := 0; i < asked-fit; i++ {
		select {
		case word := <-shed:
			if word != "Shed" {
				t.Fatalf("answer %q", word)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d deferred", i, asked-fit)
		}
	}
	// One of those held is deferred, with a time to come back; its part comes free at once.
	var held int
	e.Do(func() {
		held = rpc.bodyBytes
		d.first.Reject(1, 1500)
		d.first.Reject(1, 1500)
		held -= rpc.bodyBytes
	})
	if word := <-shed; word != "Shed 2" || held != maxBody {
		t.Errorf("answer %q, %d bytes free", word, held)
	}
	for _, c := range clients {
		c.Close()
	}
	for i := 0; ; i++ {
		left, held := 0, 0
		e.Do(func() { left, held = d.left, rpc.bodyBytes+rpc.unfinishedBytes })
		if left == fit-1 && held == 0 {
			break
		}
		if i > 5000 {
			t.Fatalf("%d of %d left, %d bytes held", left, fit-1, held)
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Do(func() {
		if d.arrived != fit || !rpc.Idle() {
			t.Errorf("%d taken of %d that fit", d.arrived, fit)
		}
	})
}

// until waits for something that is to come about under the lock.
func until(t *testing.T, e *transport.Engine, what string, f func() bool) {
	t.Helper()
	for i := 0; ; i++ {
		done := false
		if e.Do(func() { done = f() }); done {
			return
		}
		if i > 5000 {
			t.Fatal(what)
		}
		time.Sleep(time.Millisecond)
	}
}

// A request that was read gets its answer, though what follows it on its connection is no message. The connection ends once the
// answer has had time to arrive, and nothing behind the broken message counts.
func TestAnsweredBeforeABrokenConnectionEnds(t *testing.T) {
	d := &recordingHandler{}
	e, rpc, door := open(t, d, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(door)
	if err != nil {
		t.Fatal(err)
	}
	no, answer := client.Ask("page", testserver.Visit(1, "00000000000000aa", time.Second), nil)
	client.Write([]byte{0xc1, 0xff, 0x00})
	client.Write(testserver.Request(no+1, "page", testserver.Visit(2, "00000000000000aa", time.Second), nil))
	var c *connection
	until(t, e, "the broken message was not read", func() bool {
		for c = range rpc.connections {
		}
		return c != nil && c.closeReason != nil
	})
	e.Do(func() {
		rpc.Tick(time.Now().Add(time.Second))
		if len(rpc.connections) != 1 || d.left != 0 {
			t.Error("it ended with a request that is owed its answer")
		}
		d.first.Reject(1, 0)
		rpc.Tick(time.Now())
		if len(rpc.connections) != 1 {
			t.Error("it ended before its answer can have arrived")
		}
	})
	if a := <-answer; a.Error != "Shed" {
		t.Errorf("answered %q", a.Error)
	}
	e.Do(func() { rpc.Tick(time.Now().Add(arrivalTime)) })
	select {
	case <-client.Ended():
	case <-time.After(10 * time.Second):
		t.Fatal("it holds its place")
	}
	if d.arrived != 1 {
		t.Errorf("%d taken", d.arrived)
	}
}

// A client that shuts down its sending side behind a request is told at once that trying again is harmless: it may have closed, and no
// attempt may begin for one that has.
func TestHalfClosedBehindARequest(t *testing.T) {
	d := &recordingHandler{}
	e, _, door := open(t, d, 1<<20)
	defer e.Stop()
	conn, err := net.Dial("tcp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	e.Do(func() { // nothing is read meanwhile
		_, _ = conn.Write(testserver.Request(1, "page", testserver.Visit(1, "00000000000000aa", time.Second), nil))
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	got, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(got), "Shed") {
		t.Errorf("read %q, %v", got, err)
	}
	if e.Do(func() {}); d.arrived != 0 {
		t.Error("it was taken")
	}
}

// After a stall, a request whose cancellation lies behind it is not taken, and one whose does not is.
func TestCancelledWhileUnread(t *testing.T) {
	d := &recordingHandler{stalled: true}
	e, rpc, door := open(t, d, 1<<20)
	defer e.Stop()
	conn, err := net.Dial("tcp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	one, two := testserver.Request(1, "page", testserver.Visit(1, "00000000000000aa", time.Second), nil), testserver.Request(2, "page",
		testserver.Visit(2, "00000000000000aa", time.Second), nil)
	cancel := []byte("\x93\x02\xa6giveUp\x91\x01")
	e.Do(func() { _, _ = conn.Write(append(append(one, two...), cancel...)) })
	until(t, e, "nothing was taken", func() bool { return d.arrived > 0 })
	var c *connection
	until(t, e, "not read", func() bool {
		for c = range rpc.connections {
		}
		return !c.conn.HasUnread()
	})
	e.Do(func() {
		if d.arrived != 1 || len(c.open) != 1 || c.open[0].id != 2 {
			t.Errorf("%d taken, %+v open", d.arrived, c.open)
		}
		if c.Canceled(c.open[0].number) {
			t.Error("the other one is taken for cancelled")
		}
		cancel[len(cancel)-1] = 2
		_, _ = conn.Write(cancel)
		for i := 0; i < 5000 && !c.conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		if !c.Canceled(c.open[0].number) || d.left != 0 {
			t.Error("a cancellation that lies unread is not seen")
		}
	})
}

// A router that is to end is not quiet while a request lies unread: it would be lost with the process.
func TestNotQuietWithARequestUnread(t *testing.T) {
	e, rpc, door := open(t, &recordingHandler{}, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(door)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	until(t, e, "not taken in", func() bool { return len(rpc.connections) == 1 })
	e.Do(func() {
		if !rpc.Idle() {
			t.Error("not quiet with nothing asked")
		}
		client.Write(testserver.Request(1, "page", testserver.Visit(1, "00000000000000aa", time.Second), nil))
		quiet := true
		for i := 0; i < 5000 && quiet; i++ {
			time.Sleep(time.Millisecond)
			quiet = rpc.Idle()
		}
		if quiet {
			t.Error("quiet with a request unread")
		}
	})
}
