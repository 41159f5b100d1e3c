package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/testserver"
)

// A request must be rejected at once if its client has closed its sending side after it: the client may have
// disconnected, and then no attempt may begin.
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
		t.Errorf("read %q with error %v, want a rejection and the end of the connection", got, err)
	}
	if e.Do(func() {}); handler.arrived != 0 {
		t.Error("the request was passed to the handler")
	}
}

// Guards against requests that are sent on after their client has closed its connection with much still unread: the end
// is known before the bytes in front of it are read.
func TestClosedBehindManyUnreadRequests(t *testing.T) {
	const size = 66_000 // more than one read, and no more than the kernel's buffer holds behind the first one
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var requests []byte
	for id := uint64(1); len(requests) < size; id++ {
		fields := testserver.RequestParams(id, testObject, time.Second)
		requests = append(requests, testserver.Request(id, "page", fields, nil)...)
	}
	accepted := func() bool { return len(s.connections) > 0 }
	waitUntil(t, e, "the connection was not accepted", accepted)
	e.Do(func() { // nothing is handled meanwhile
		_, _ = conn.Write(requests)
		_ = conn.Close()
		for c := range s.connections { // the only one
			for i := 0; i < 5000; i++ {
				if _, closed := c.conn.LookAhead(); closed {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
	})
	waitUntil(t, e, "the connection was not closed", func() bool { return !accepted() })
	if handler.arrived > 0 {
		t.Errorf("%d requests were passed to the handler after their client had closed the connection", handler.arrived)
	}
}

// If a request and its cancellation are read together after a stall, the request must not be passed to the handler, but
// other requests on the connection must be. A cancellation of a request that was passed on must be found while it is
// unread.
func TestCanceledWhileUnread(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	e.Do(func() { handler.reportStallsTo = s })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	first := testserver.Request(1, "page", testserver.RequestParams(1, "00000000000000aa", time.Second), nil)
	second := testserver.Request(2, "page", testserver.RequestParams(2, "00000000000000aa", time.Second), nil)
	cancellation := []byte("\x93\x02\xa6giveUp\x91\x01") // of the first request
	e.Do(func() { _, _ = conn.Write(append(append(first, second...), cancellation...)) })
	waitUntil(t, e, "no request arrived", func() bool { return handler.arrived > 0 })
	var c *connection
	waitUntil(t, e, "the cancellation was not read", func() bool {
		for c = range s.connections { // finds the only connection
		}
		return !c.conn.HasUnread()
	})
	e.Do(func() {
		if handler.arrived != 1 || len(c.openRequests) != 1 || c.openRequests[0].id != 2 {
			t.Errorf("%d requests arrived, want 1; open requests %+v, want only that with id 2", handler.arrived,
				c.openRequests)
		}
		handler.DetectStall()
		if c.State(c.openRequests[0].number) == ClientGone {
			t.Error("the second request counts as canceled")
		}
		cancellation[len(cancellation)-1] = 2
		_, _ = conn.Write(cancellation)
		for i := 0; i < 5000 && !c.conn.HasUnread(); i++ {
			time.Sleep(time.Millisecond)
		}
		handler.DetectStall()
		if c.State(c.openRequests[0].number) != ClientGone || handler.clientsLeft != 0 {
			t.Error("the unread cancellation of the second request was not found")
		}
	})
}

// If two stalls follow each other at once, a connection that was opened during the first may be accepted only after the
// second. Its requests must then count as unread since the start of the first stall.
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
	waitUntil(t, e, "no request arrived", func() bool { return handler.arrived > 0 })
	if handler.unreadFor < clock.FromDuration(3*time.Second) {
		t.Errorf("unread for %s, want at least 3 s", handler.unreadFor.Duration())
	}
}
