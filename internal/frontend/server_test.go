package frontend

import (
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
	"threadrun/internal/transport"
)

// The connection of a client that sends nothing, or that sends a request byte by byte, must be closed after
// requestTimeout, so that such clients do not use up the connections. A client that has sent a complete request may be
// idle for longer.
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
	clients[2].Write(append(request, request[:20]...)) // a complete request and a part of the next one
	clients[3].Write(request)
	tick := func(after time.Duration) { e.Do(func() { s.Tick(time.Now().Add(after)) }) }
	for i, arrived, incomplete := 0, 0, 0; arrived < 2 || incomplete < 2; i++ {
		if i > 5000 {
			t.Fatalf("%d requests arrived and %d are incomplete, want 2 of each", arrived, incomplete)
		}
		time.Sleep(time.Millisecond)
		e.Do(func() {
			arrived, incomplete = handler.arrived, 0
			for c := range s.connections {
				if c.received.Len() > 0 {
					incomplete++
				}
			}
		})
	}
	tick(requestTimeout / 2)
	clients[1].Write(request[20:30]) // some further bytes must not extend the time
	time.Sleep(5 * time.Millisecond)
	tick(requestTimeout - 500*time.Millisecond)
	var open int
	e.Do(func() { open = len(s.connections) })
	if open != 4 {
		t.Errorf("%d of 4 connections are open; some were closed too early", open)
	}
	tick(requestTimeout + time.Millisecond)
	e.Do(func() {
		open = len(s.connections)
		// The connection that waits for the rest of a request is closed only after its first request was answered.
		for c := range s.connections {
			if c.received.Len() > 0 && len(c.openRequests) == 1 {
				c.Reject(c.openRequests[0].number, 0)
			}
		}
	})
	if open != 2 {
		t.Errorf("%d connections are open, want the 2 that have sent a request", open)
	}
	tick(requestTimeout + time.Millisecond)
	for i, c := range clients[:3] {
		select {
		case <-c.Closed():
		case <-time.After(10 * time.Second):
			t.Fatalf("the connection of client %d is still open", i)
		}
	}
	e.Do(func() { open = len(s.connections) })
	if open != 1 {
		t.Errorf("%d connections are open, want the one that has sent a request and nothing after it", open)
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
	var firstOpen, secondOpen bool
	e.Do(func() {
		clients[2].Write(request) // the poller is about to handle the request, and waits for the lock
		for i := 0; i < 5000 && !connections[2].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		clients[0].Write(request)
		for i := 0; i < 5000 && !connections[0].conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		s.limits.Connections = 3
		s.Accept(&transport.Conn{})
		_, firstOpen = s.connections[connections[0]]
		_, secondOpen = s.connections[connections[1]]
	})
	if !firstOpen || secondOpen {
		t.Errorf("connection with an unread request open: %v, want true; idle connection open: %v, want false", firstOpen,
			secondOpen)
	}
}

// Writes beyond the byte limit must be rejected at once, and clients that disconnect must free their bytes.
func TestFloodOfWrites(t *testing.T) {
	const clientBytes = 10 << 20
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, clientBytes)
	defer e.Stop()
	// Numbers of requests: each of 13 clients sends as many as it may have open, and the bytes of fewer fit.
	const sent, fitting = 13 * maxOpenRequests, clientBytes / maxBody
	var clients []*testserver.Client
	answers := make(chan string, sent) // error codes and times to retry
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
					answers <- strings.TrimSpace(a.Error + " " + a.Fields["pause"])
				case <-c.Closed():
				}
			}()
		}
	}
	for i := 0; i < sent-fitting; i++ {
		select {
		case answer := <-answers:
			if answer != "Shed" {
				t.Fatalf("answer %q, want \"Shed\" without a time to retry", answer)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d requests were rejected, want %d", i, sent-fitting)
		}
	}
	// When a stored request is rejected, its bytes must be released at once. A second rejection must have no effect.
	var released int
	e.Do(func() {
		released = s.bodyBytes
		handler.first.Reject(1, 1500)
		handler.first.Reject(1, 1500)
		released -= s.bodyBytes
	})
	if answer := <-answers; answer != "Shed 2" || released != maxBody { // the time to retry is rounded up
		t.Errorf("answer %q, want \"Shed 2\"; %d bytes released, want %d", answer, released, maxBody)
	}
	for _, c := range clients {
		c.Close()
	}
	for i := 0; ; i++ {
		clientsLeft, storedBytes := 0, 0
		e.Do(func() { clientsLeft, storedBytes = handler.clientsLeft, s.bodyBytes+s.incompleteBytes })
		if clientsLeft == fitting-1 && storedBytes == 0 {
			break
		}
		if i > 5000 {
			t.Fatalf("the clients of %d requests have left, want %d; %d bytes are stored, want none", clientsLeft, fitting-1,
				storedBytes)
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Do(func() {
		if handler.arrived != fitting || !s.Idle() {
			t.Errorf("%d requests arrived, want %d; the server is idle: %v, want true", handler.arrived, fitting, s.Idle())
		}
	})
}

// A request that was read must be answered even if an invalid message follows it on the connection. The connection must
// be closed only answerTransitTime after the answer, and messages after the invalid one must be ignored.
func TestAnsweredBeforeABrokenConnectionEnds(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	id, answer := client.Send("page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	client.Write([]byte{0xc1, 0xff, 0x00}) // 0xc1 is never used in MessagePack
	client.Write(testserver.Request(id+1, "page", testserver.RequestParams(2, "00000000000000aa", time.Second), nil))
	var c *connection
	waitUntil(t, e, "the invalid message was not read", func() bool {
		for c = range s.connections { // finds the only connection
		}
		return c != nil && c.closeReason != nil
	})
	e.Do(func() {
		s.Tick(time.Now().Add(time.Second))
		if len(s.connections) != 1 || handler.clientsLeft != 0 {
			t.Error("the connection was closed before its request was answered")
		}
		handler.first.Reject(1, 0)
		s.Tick(time.Now())
		if len(s.connections) != 1 {
			t.Error("the connection was closed before the answer could arrive")
		}
	})
	if a := <-answer; a.Error != "Shed" {
		t.Errorf("answered with error %q, want \"Shed\"", a.Error)
	}
	e.Do(func() { s.Tick(time.Now().Add(answerTransitTime)) })
	select {
	case <-client.Closed():
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
	if handler.arrived != 1 {
		t.Errorf("%d requests arrived, want only the one before the invalid message", handler.arrived)
	}
}

// A Server with an unread request must not count as idle, because a router that shuts down then would lose the request.
func TestNotIdleWithARequestUnread(t *testing.T) {
	e, s, address := openServer(t, &recordingHandler{}, 1<<20)
	defer e.Stop()
	client, err := testserver.Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	waitUntil(t, e, "the connection was not accepted", func() bool { return len(s.connections) == 1 })
	e.Do(func() {
		if !s.Idle() {
			t.Error("the server is not idle, although it has received no request")
		}
		client.Write(testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil))
		idle := true
		for i := 0; i < 5000 && idle; i++ {
			time.Sleep(time.Millisecond)
			idle = s.Idle()
		}
		if idle {
			t.Error("the server is idle, although a request is unread")
		}
	})
}
