package service

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadrun/internal/testserver"
	"threadrun/routing"
)

// Caches answer with any status, with invalid bytes, to unknown requests, twice or not at all, and close connections
// before or during an answer. Each request must get exactly one answer, and a non-idempotent request that may have
// run must never run again or be rejected as safe to repeat.
func TestOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mu sync.Mutex
		script := rapid.SliceOfN(rapid.IntRange(0, 11), 0, 12).Draw(rt, "script")
		ran := map[string]int{} // number of attempts that may have run, by trace id
		b := openTestbed(t, func(c *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
			mu.Lock()
			action := 0
			if len(script) > 0 {
				action, script = script[0], script[1:]
			}
			if action != 1 && action != 2 && action != 3 { // the statuses of 1 to 3 prove that the attempt did not run
				ran[g.ID]++
			}
			mu.Unlock()
			raw := func(s string) { _, _ = g.Conn.Write([]byte(s)) }
			switch action {
			case 1:
				return &testserver.Reply{Status: "absent"}
			case 2:
				return &testserver.Reply{Status: "full"}
			case 3:
				return &testserver.Reply{Status: "moot"}
			case 4:
				return &testserver.Reply{Status: "failed", Fields: "detail=src_broke"}
			case 5, 6: // the connections are reset or closed
				c.CloseConnections(action == 5)
				return nil
			case 7:
				return nil // no answer
			case 8: // an incomplete answer
				raw("*4\r\n$16\r\n" + g.ID + "\r\n$4\r\ndata\r\n$1\r\n-\r\n$100\r\nhalf")
				c.CloseConnections(true)
				return nil
			case 9: // an invalid answer
				raw("-ERR what\r\n")
				return nil
			case 10: // answers to an unknown request, and with an unknown status
				raw(testserver.Array("0123456789abcdef", "data", "-", "nobody's") + testserver.Array(g.ID, "what", "-", ""))
				return nil
			case 11: // two answers
				raw(testserver.Array(g.ID, "data", "-", g.ID))
				return &testserver.Reply{Status: "data", Body: []byte("a second time")}
			}
			return &testserver.Reply{Status: "data", Body: []byte(g.ID)}
		})
		defer b.close()
		var answers []<-chan *testserver.Answer // nil: canceled
		var nonIdempotent []bool
		for i := rapid.IntRange(1, 12).Draw(rt, "requests"); i > 0; i-- {
			method, body := "page", []byte(nil)
			if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
				method, body = "order", []byte("slot")
			}
			b.lastTraceID++
			fields := testserver.RequestParams(b.lastTraceID, fmt.Sprintf("%016x", b.lastTraceID), 120*time.Millisecond)
			id, ch := b.client.Send(method, fields, body)
			if rapid.IntRange(0, 9).Draw(rt, "cancels") == 0 {
				b.client.Cancel(id)
				ch = nil
			}
			answers, nonIdempotent = append(answers, ch), append(nonIdempotent, body != nil)
			if rapid.Bool().Draw(rt, "in turn") && ch != nil {
				a := b.wait(ch)
				received := make(chan *testserver.Answer, 1)
				received <- a
				answers[len(answers)-1] = received
			}
		}
		for i, ch := range answers {
			id := fmt.Sprintf("%016x", i+1)
			a := &testserver.Answer{}
			if ch != nil {
				a = b.wait(ch)
				if a.Error != "" && a.Error != "Shed" && a.Error != "Fault" || a.Error == "" && string(a.Body) != id {
					rt.Fatalf("request %s: %s; want error \"Shed\" or \"Fault\", or the request's id as body", id, describe(a))
				}
			}
			mu.Lock()
			n := ran[id]
			mu.Unlock()
			if nonIdempotent[i] && (n > 1 || n > 0 && a.Error == "Shed") {
				rt.Fatalf("non-idempotent request %s: up to %d attempts may have run, answered with error %q; want at most one, "+
					"and \"Shed\" only after none", id, n, a.Error)
			}
		}
		b.until("all requests are answered", func() (idle bool) {
			b.server.engine.Do(func() { idle = b.server.frontend.Idle() })
			return idle
		})
		canceled := 0
		for _, ch := range answers {
			if ch == nil {
				canceled++
			}
		}
		if n := len(b.client.Unexpected); n > canceled { // an answer may have been sent before the cancellation arrived
			rt.Fatalf("%d answers to requests that were answered or canceled before, want at most the %d to canceled ones", n,
				canceled)
		}
		if text := b.logText(); strings.Contains(text, "panic") {
			rt.Fatalf("a panic was logged:\n%s", text)
		}
	})
}

// An attempt that has timed out must be canceled at the cache, and the cache's late answer must be ignored.
func TestLateAnswer(t *testing.T) {
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		if g.Fields["path"] == object {
			time.Sleep(400 * time.Millisecond)
		}
		return &testserver.Reply{Status: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	if a := b.wait(b.send("page", object, 100*time.Millisecond, nil)); a.Error != "Fault" {
		t.Fatalf("request that timed out: %s; want error \"Fault\"", describe(a))
	}
	id := fmt.Sprintf("%016x", b.lastTraceID)
	b.until("the attempt is canceled with a DROP", func() bool {
		return b.caches["edge-1"].Cancellations(id)+b.caches["edge-2"].Cancellations(id) == 1
	})
	a := b.wait(b.send("page", "00000000000000bb", 2*time.Second, nil))
	if string(a.Body) != fmt.Sprintf("%016x", b.lastTraceID) {
		t.Errorf("request after the late answer: %s; want its own id %016x as body", describe(a), b.lastTraceID)
	}
	time.Sleep(500 * time.Millisecond)
	if len(b.client.Unexpected) > 0 {
		t.Errorf("the late answer was passed to the client: %s", describe(<-b.client.Unexpected))
	}
}

// A cache stops sending in the middle of an answer, which blocks all later answers on that connection. The router
// must close the connection, and retry the request on another one in time. It must also not use the connection
// again if the attempt has ended earlier, at its deadline.
func TestAnswerStops(t *testing.T) {
	var mu sync.Mutex
	stops := 1 // number of answers still to be stopped
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		mu.Lock()
		defer mu.Unlock()
		if stops--; stops >= 0 || g.Fields["queue"] == "order" {
			_, _ = io.WriteString(g.Conn, "*4\r\n$16\r\n"+g.ID+"\r\n$4\r\nda")
			return nil
		}
		return &testserver.Reply{Status: "data", Body: []byte("whole")}
	})
	defer b.close()
	stopped := b.send("page", object, 6*time.Second, nil)
	b.until("the request whose answer stopped is answered", func() bool { // other requests are answered meanwhile
		b.wait(b.send("page", object, time.Second, nil))
		select {
		case a := <-stopped:
			if string(a.Body) != "whole" {
				t.Errorf("retry of the request whose answer stopped: %s; want body \"whole\"", describe(a))
			}
			return true
		case <-time.After(20 * time.Millisecond):
			return false
		}
	})
	if a := b.wait(b.send("order", object, 600*time.Millisecond, []byte("x"))); a.Error != "Fault" {
		t.Errorf("non-idempotent request with an incomplete answer: %s; want error \"Fault\"", describe(a))
	}
	for range 4 {
		if a := b.wait(b.send("page", object, 6*time.Second, nil)); string(a.Body) != "whole" {
			t.Errorf("later request: %s; want body \"whole\"", describe(a))
		}
	}
	for _, c := range []string{"edge-1", "edge-2"} {
		incomplete := map[net.Conn]bool{} // whether the last answer on a connection was incomplete
		for _, g := range b.caches[c].Requests() {
			if incomplete[g.Conn] {
				t.Errorf("request %s at %s used a connection with an incomplete answer", g.ID, c)
			}
			incomplete[g.Conn] = g.Fields["queue"] == "order"
		}
	}
}

// A cache stops answering on a connection without closing it. The liveness check must detect this while the
// connection has no attempt, and the next request must use a new connection.
func TestSilentConnection(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	b.wait(b.send("page", object, time.Second, nil))
	first := b.edgeRequests()[0]
	for _, c := range b.caches {
		c.SetSilent(true)
	}
	b.until("the silent connections are closed", func() bool {
		n := 0
		b.server.engine.Do(func() { n = b.server.proxy.pool.ConnectionCount() })
		return n == 0
	})
	for _, c := range b.caches {
		c.SetSilent(false)
	}
	if a := b.wait(b.send("page", object, time.Second, nil)); a.Error != "" {
		t.Fatalf("request after the silence: %s; want no error", describe(a))
	}
	if requests := b.edgeRequests(); requests[len(requests)-1].Conn == first.Conn {
		t.Error("the silent connection was used again")
	}
}

// The Router panics on the result of an attempt: that request must fail, and later requests must be served.
func TestRouterPanicFailsOneRequest(t *testing.T) {
	release := make(chan struct{})
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		if g.Fields["path"] == object {
			<-release
		}
		return &testserver.Reply{Status: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	ch := b.send("page", object, 5*time.Second, nil)
	b.until("the attempt is at a cache", func() bool { return len(b.edgeRequests()) == 1 })
	b.server.engine.Do(func() {
		for _, r := range b.server.proxy.requests {
			if r.client != nil { // the Router indexes its attempts with the number, and panics
				b.server.proxy.results = append(b.server.proxy.results, endedAttempt{r.id, routing.AttemptResult{Attempt: -1}})
			}
		}
	})
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("request whose result caused a panic: %s; want error \"Fault\"", describe(a))
	}
	close(release)
	if a := b.wait(b.send("page", "00000000000000bb", time.Second, nil)); a.Error != "" {
		t.Errorf("later request: %s; want no error", describe(a))
	}
	if len(b.client.Unexpected) > 0 {
		t.Errorf("a second answer to the failed request: %s", describe(<-b.client.Unexpected))
	}
}

// Attempts fail because all connections to a cache carry as many attempts as permitted. The cache is not at fault,
// and must not be ejected.
func TestFullConnectionsEjectNoCache(t *testing.T) {
	release := make(chan struct{})
	settings := strings.Replace(testserver.Settings, `"streams_per_conn":32`, `"streams_per_conn":1`, 1)
	b := openTestbedWith(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		<-release
		return &testserver.Reply{Status: "data", Fields: "detail=hit", Body: []byte("here")}
	}, settings, `"pools":{"each_cache":1}`)
	defer b.close()
	var answers []<-chan *testserver.Answer
	for i := range 12 {
		answers = append(answers, b.send("page", fmt.Sprintf("%016x", 0x500+i), 2*time.Second, nil))
	}
	b.until("all connections are full", func() bool { return len(b.edgeRequests()) >= 2 })
	b.until("a request is answered without a cache", func() bool {
		for _, ch := range answers {
			if len(ch) > 0 {
				return true
			}
		}
		return false
	})
	close(release)
	for _, ch := range answers {
		b.wait(ch)
	}
	if log := b.logText(); strings.Contains(log, "endpoint ejected") {
		t.Errorf("a healthy cache was ejected:\n%s", log)
	}
}
