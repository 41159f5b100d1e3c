package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/internal/testserver"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// recordingHandler records requests and answers none.
type recordingHandler struct {
	arrived, clientsLeft int
	stalled              *Server // has been told of a stall before each event; nil: there was none
	first                Client
	unreadFor            routing.Micros // of the last request
}

func (h *recordingHandler) Ready() bool                          { return true }
func (h *recordingHandler) Class([]byte) (routing.ClassID, bool) { return 0, true }
func (h *recordingHandler) Tenant([]byte) routing.TenantID       { return routing.NoTenant }
func (h *recordingHandler) StartRequest(c Client, _ RequestNumber, request *Request) bool {
	h.arrived++
	h.unreadFor = request.UnreadFor
	if h.first == nil {
		h.first = c
	}
	return true
}
func (h *recordingHandler) ClientLeft(routing.RequestID) { h.clientsLeft++ }
func (h *recordingHandler) NoticeStall() {
	if h.stalled != nil {
		h.stalled.Stalled(time.Now().Add(-time.Second))
	}
}

// openServer starts a front end for 100 clients with a limit on the bytes stored for them.
func openServer(t *testing.T, handler *recordingHandler, clientBytes int) (
	e *transport.Engine, s *Server, address string) {
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
	address = l.Addr().String()
	_ = l.Close()
	limits := Limits{Connections: 100, UnreadBytes: 1 << 20, ClientBytes: clientBytes, Idle: time.Minute}
	s = NewServer(e, log, handler, limits)
	e.SetMaxAccepted(100)
	if err := e.Listen(address, s.Accept); err != nil {
		t.Fatal(err)
	}
	return e, s, address
}

// A client that sends nothing, or half a request byte by byte, must lose its connection soon. A client that has
// sent a request may be idle for longer.
func TestSilentClients(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	var clients [4]*testserver.Client
	for i := range clients {
		var err error
		if clients[i], err = testserver.Connect(address); err != nil {
			t.Fatal(err)
		}
	}
	request := testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	clients[1].Write(request[:20])
	clients[2].Write(append(request, request[:20]...)) // a complete request and part of another
	clients[3].Write(request)
	tick := func(after time.Duration) { e.Do(func() { s.Tick(time.Now().Add(after)) }) }
	for i, arrived, began := 0, 0, 0; arrived < 2 || began < 2; i++ {
		if i > 5000 {
			t.Fatalf("%d requests arrived, %d are incomplete", arrived, began)
		}
		time.Sleep(time.Millisecond)
		e.Do(func() {
			arrived, began = handler.arrived, 0
			for c := range s.connections {
				if c.received.Len() > 0 {
					began++
				}
			}
		})
	}
	tick(requestTimeout / 2)
	clients[1].Write(request[20:30]) // some further bytes must not extend the time
	time.Sleep(5 * time.Millisecond)
	tick(requestTimeout - 500*time.Millisecond)
	var held int
	e.Do(func() { held = len(s.connections) })
	if held != 4 {
		t.Errorf("%d of 4 connections remain; some were closed too early", held)
	}
	tick(requestTimeout + time.Millisecond)
	e.Do(func() {
		held = len(s.connections)
		// the connection that waits for the rest of a request ends when its first request is answered
		for c := range s.connections {
			if c.received.Len() > 0 && len(c.openRequests) == 1 {
				c.Reject(c.openRequests[0].number, 0)
			}
		}
	})
	if held != 2 {
		t.Errorf("%d connections remain, want the 2 that have sent a request", held)
	}
	tick(requestTimeout + time.Millisecond)
	for i, c := range clients[:3] {
		select {
		case <-c.Closed():
		case <-time.After(10 * time.Second):
			t.Fatalf("the connection of client %d is still open", i)
		}
	}
	e.Do(func() { held = len(s.connections) })
	if held != 1 {
		t.Errorf("%d connections remain, want the one that has sent a request", held)
	}
}

// A new connection must evict the connection that has been idle longest, but not one whose request is unread in the
// kernel while the poller is busy: that request would be lost.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	var clients [3]*testserver.Client
	var connections [3]*connection
	for i := range clients {
		var err error
		if clients[i], err = testserver.Connect(address); err != nil {
			t.Fatal(err)
		}
		for connections[i] == nil {
			time.Sleep(time.Millisecond)
			e.Do(func() {
				for c := range s.connections {
					if c != connections[0] && c != connections[1] {
						connections[i] = c
					}
				}
			})
		}
	}
	request := testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	var first, second bool
	e.Do(func() {
		clients[2].Write(request) // the poller is about to pass the request on, and waits for the lock
		for i := 0; i < 5000 && !connections[2].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		clients[0].Write(request)
		for i := 0; i < 5000 && !connections[0].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		s.limits.Connections = 3
		s.Accept(&transport.Conn{})
		_, first = s.connections[connections[0]]
		_, second = s.connections[connections[1]]
	})
	if !first || second {
		t.Errorf("connection with an unread request open: %v; idle connection open: %v", first, second)
	}
}

// Writes beyond the byte limit must be rejected at once, and clients that disconnect must free their bytes.
func TestFloodOfWrites(t *testing.T) {
	const clientBytes = 10 << 20
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, clientBytes)
	defer e.Stop()
	const asked, fit = 13 * maxOpenRequests, clientBytes / maxBody
	var clients []*testserver.Client
	rejected := make(chan string, asked)
	for i := 0; i < 13; i++ {
		c, err := testserver.Connect(address)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
		for j := 0; j < maxOpenRequests; j++ {
			_, ch := c.Send("order", testserver.RequestParams(1, "00000000000000aa", time.Second), make([]byte, maxBody))
			go func() {
				select {
				case a := <-ch:
					rejected <- strings.TrimSpace(a.Error + " " + a.Fields["pause"])
				case <-c.Closed():
				}
			}()
		}
	}
	for i := 0; i < asked-fit; i++ {
		select {
		case word := <-rejected:
			if word != "Shed" {
				t.Fatalf("answer %q", word)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d rejected", i, asked-fit)
		}
	}
	// One of the stored requests is rejected with a time to retry; its bytes must be free at once.
	var held int
	e.Do(func() {
		held = s.bodyBytes
		handler.first.Reject(1, 1500)
		handler.first.Reject(1, 1500)
		held -= s.bodyBytes
	})
	if word := <-rejected; word != "Shed 2" || held != maxBody {
		t.Errorf("answer %q, %d bytes stored", word, held)
	}
	for _, c := range clients {
		c.Close()
	}
	for i := 0; ; i++ {
		left, held := 0, 0
		e.Do(func() { left, held = handler.clientsLeft, s.bodyBytes+s.unfinishedBytes })
		if left == fit-1 && held == 0 {
			break
		}
		if i > 5000 {
			t.Fatalf("%d of %d requests remain, %d bytes stored", left, fit-1, held)
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Do(func() {
		if handler.arrived != fit || !s.Idle() {
			t.Errorf("%d requests arrived, %d fit", handler.arrived, fit)
		}
	})
}

// until waits until a condition holds under the lock.
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

// A request that was read must be answered even if an invalid message follows it on its connection. The connection
// must end after the answer has had time to arrive, and messages after the invalid one must be ignored.
func TestAnsweredBeforeABrokenConnectionEnds(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	no, answer := client.Send("page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	client.Write([]byte{0xc1, 0xff, 0x00})
	client.Write(testserver.Request(no+1, "page", testserver.RequestParams(2, "00000000000000aa", time.Second), nil))
	var c *connection
	until(t, e, "the broken message was not read", func() bool {
		for c = range s.connections {
		}
		return c != nil && c.closeReason != nil
	})
	e.Do(func() {
		s.Tick(time.Now().Add(time.Second))
		if len(s.connections) != 1 || handler.clientsLeft != 0 {
			t.Error("the connection ended before its request was answered")
		}
		handler.first.Reject(1, 0)
		s.Tick(time.Now())
		if len(s.connections) != 1 {
			t.Error("the connection ended before the answer could arrive")
		}
	})
	if a := <-answer; a.Error != "Shed" {
		t.Errorf("answer %q", a.Error)
	}
	e.Do(func() { s.Tick(time.Now().Add(answerTransitTime)) })
	select {
	case <-client.Closed():
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
	if handler.arrived != 1 {
		t.Errorf("%d requests arrived", handler.arrived)
	}
}

// A client that closes its sending side after a request must be rejected at once: the client may have disconnected,
// and then no attempt may begin.
func TestHalfClosedBehindARequest(t *testing.T) {
	handler := &recordingHandler{}
	e, _, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	e.Do(func() { // nothing is read meanwhile
		_, _ = conn.Write(testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil))
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	got, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(got), "Shed") {
		t.Errorf("read %q, %v", got, err)
	}
	if e.Do(func() {}); handler.arrived != 0 {
		t.Error("the request was passed to the handler")
	}
}

// After a stall, a request that is followed by its cancellation must not be passed to the handler, but other
// requests must be.
func TestCanceledWhileUnread(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	e.Do(func() { handler.stalled = s })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	one := testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	two := testserver.Request(2, "page", testserver.RequestParams(2, "00000000000000aa", time.Second), nil)
	cancel := []byte("\x93\x02\xa6giveUp\x91\x01")
	e.Do(func() { _, _ = conn.Write(append(append(one, two...), cancel...)) })
	until(t, e, "nothing arrived", func() bool { return handler.arrived > 0 })
	var c *connection
	until(t, e, "not read", func() bool {
		for c = range s.connections {
		}
		return !c.conn.HasUnread()
	})
	e.Do(func() {
		if handler.arrived != 1 || len(c.openRequests) != 1 || c.openRequests[0].id != 2 {
			t.Errorf("%d requests arrived, %+v are open", handler.arrived, c.openRequests)
		}
		handler.NoticeStall()
		if c.State(c.openRequests[0].number) == ClientGone {
			t.Error("the other request counts as canceled")
		}
		cancel[len(cancel)-1] = 2
		_, _ = conn.Write(cancel)
		for i := 0; i < 5000 && !c.conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		handler.NoticeStall()
		if c.State(c.openRequests[0].number) != ClientGone || handler.clientsLeft != 0 {
			t.Error("an unread cancellation was not found")
		}
	})
}

// A router that shuts down must not be idle while a request is unread, because the request would be lost.
func TestNotIdleWithARequestUnread(t *testing.T) {
	e, s, address := openServer(t, &recordingHandler{}, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	until(t, e, "not accepted", func() bool { return len(s.connections) == 1 })
	e.Do(func() {
		if !s.Idle() {
			t.Error("not idle without requests")
		}
		client.Write(testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil))
		idle := true
		for i := 0; i < 5000 && idle; i++ {
			time.Sleep(time.Millisecond)
			idle = s.Idle()
		}
		if idle {
			t.Error("idle with a request unread")
		}
	})
}

// A connection that was opened during a stall, and is accepted only after another one that followed at once, counts
// from the start of the first.
func TestAcceptedAfterTwoStalls(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	e.Do(func() {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		request := testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
		_, _ = conn.Write(request)
		now := time.Now()
		s.Stalled(now.Add(-3 * time.Second))
		s.Stalled(now)
	})
	until(t, e, "nothing arrived", func() bool { return handler.arrived > 0 })
	if handler.unreadFor < clock.FromDuration(3*time.Second) {
		t.Errorf("unread for %s", handler.unreadFor.Duration())
	}
}
