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

// results is a Handler that records the results of attempts. The result of health check n is recorded as the
// Status of attempt -n.
type results map[AttemptID]Result

func (r results) AttemptEnded(id AttemptID, result *Result) { r[id] = *result }

func (r results) MayBegin(AttemptID) bool { return true }

func (r results) HealthCheckEnded(number uint64, result HealthCheckResult, _ time.Duration) {
	r[AttemptID{Attempt: routing.AttemptNumber(-int(number))}] = Result{Status: Status(result)}
}

func requestID(n byte) (id ID) {
	copy(id[:], "000000000000000")
	id[15] = '0' + n
	return id
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testConfig(maxPerEndpoint int) Config {
	return Config{
		MaxConnections:           4,
		MaxPerEndpoint:           maxPerEndpoint,
		MaxAttemptsPerConnection: 8,
		ConnectTimeout:           time.Second,
		IdleTimeout:              time.Minute,
		LivenessCheckAfter:       time.Minute,
	}
}

func newPool(t *testing.T, handler Handler, maxPerEndpoint int) (*transport.Engine, *Pool) {
	log := quietLogger()
	engine, err := transport.New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	return engine, New(engine, log, handler, testConfig(maxPerEndpoint))
}

func newRequest(n byte, bodySize int) (*Request, []byte) {
	return &Request{Class: "order", ID: requestID(n), Object: requestID(0), Budget: 1_000_000}, make([]byte, bodySize)
}

// Cancel must prove that a request did not arrive completely if not all of its bytes were sent: otherwise a
// non-idempotent request could not be retried. The body is too large for the kernel's buffers, so part of it stays
// unsent.
func TestCancelProvesNotArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := results{}
	engine, pool := newPool(t, ended, 1)
	const hugeBody = 64 << 20 // more bytes than the kernel buffers
	first, second := AttemptID{Attempt: 1}, AttemptID{Attempt: 2}
	engine.Do(func() {
		pool.SetAddress(0, l.Addr().String(), false)
		request, body := newRequest(1, hugeBody)
		pool.Send(first, 0, request, body)
		request, body = newRequest(2, 5)
		pool.Send(second, 0, request, body)
	})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	if _, err := r.Peek(1); err != nil { // the connection is established
		t.Fatal(err)
	}
	engine.Do(func() {
		if progress := pool.Cancel(second, 0); progress != NotSent {
			t.Errorf("queued behind another request: progress %s, want %s", progress, NotSent)
		}
		if progress := pool.Cancel(first, 0); progress != PartlySent || pool.ConnectionCount() != 0 {
			t.Errorf("partly sent, alone on its connection: progress %s, want %s; %d connections, want 0",
				progress, PartlySent, pool.ConnectionCount())
		}
	})
	if words, err := testserver.ReadArray(r); err == nil {
		t.Errorf("a complete request arrived, want none: %.3q", words)
	}
	engine.Do(func() { // a connection that is not established must be closed, so that nothing is sent later
		pool.SetAddress(1, "127.0.0.1:1", false)
		request, body := newRequest(3, 5)
		pool.Send(AttemptID{Attempt: 3}, 1, request, body)
		if progress := pool.Cancel(AttemptID{Attempt: 3}, 1); progress != NotConnected || pool.ConnectionCount() != 0 {
			t.Errorf("not connected: progress %s, want %s; %d connections, want 0",
				progress, NotConnected, pool.ConnectionCount())
		}
	})
	if len(ended) > 0 {
		t.Errorf("the handler was called for canceled attempts, want no call: %v", ended)
	}
}

// A pool at its connection limit must close an idle connection to make room for an endpoint that has none. A
// request must never be sent twice on one connection: the response to its first attempt could be taken for that to
// the second.
func TestChooseConnection(t *testing.T) {
	ended := results{}
	engine, pool := newPool(t, ended, 2)
	var caches []*testserver.Cache
	for i := 0; i < 5; i++ { // one more than the pool may have connections
		c, err := testserver.StartCache("c", "127.0.0.1:0", func(c *testserver.Cache) {
			c.Answer = func(*testserver.CacheRequest) *testserver.Reply {
				return &testserver.Reply{Status: "data", Fields: "detail=hit"}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		caches = append(caches, c)
	}
	waitEnded := func(n int) {
		t.Helper()
		for i := 0; ; i++ {
			done := false
			if engine.Do(func() { done = len(ended) == n }); done {
				return
			}
			if i > 5000 {
				t.Fatalf("%d attempts ended, want %d", len(ended), n)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for i, c := range caches {
		engine.Do(func() {
			pool.SetAddress(routing.EndpointID(i), c.Address(), false)
			request, body := newRequest(byte(i), 0)
			pool.Send(AttemptID{Attempt: 10}, routing.EndpointID(i), request, body)
			delete(ended, AttemptID{Attempt: 10}) // the attempt at the previous cache
		})
		waitEnded(1)
		engine.Do(func() {
			result := ended[AttemptID{Attempt: 10}]
			if result.Status != OK || pool.ConnectionCount() > 4 {
				t.Errorf("cache %d: status %d with error %v, want %d; %d connections, want at most 4", i, result.Status,
					result.Err, OK, pool.ConnectionCount())
			}
		})
	}
	engine.Do(func() {
		clear(ended)
		request, body := newRequest(7, 0)
		pool.Send(AttemptID{Attempt: 1}, 4, request, body)
		pool.Cancel(AttemptID{Attempt: 1}, 4)
		pool.Send(AttemptID{Attempt: 2}, 4, request, body)
	})
	waitEnded(1)
	gets := caches[4].Requests()
	for i, get := range gets {
		for _, other := range gets[:i] {
			if get.ID == other.ID && get.Conn == other.Conn {
				t.Errorf("request %s was sent twice on one connection", get.ID)
			}
		}
	}
}

// progresses is a Handler that records the progress of ended attempts.
type progresses []Progress

func (p *progresses) AttemptEnded(_ AttemptID, result *Result) { *p = append(*p, result.Err.Progress) }

func (p *progresses) MayBegin(AttemptID) bool { return true }

func (p *progresses) HealthCheckEnded(uint64, HealthCheckResult, time.Duration) {}

// A reset of a connection that is not yet reported as established proves that a running cache has accepted it; only a
// failed connect shows that the cache is gone. If a reset were reported as a failed connect, healthy caches would be
// ejected.
func TestResetOfNewConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want Progress
	}{
		{"reset", syscall.ECONNRESET, NotSent},
		{"refused", syscall.ECONNREFUSED, NotConnected},
		{"end of file", io.EOF, NotConnected},
	} {
		var ended progresses
		pool := New(nil, nil, &ended, Config{MaxConnections: 1, MaxPerEndpoint: 1, MaxAttemptsPerConnection: 1})
		c := &connection{
			pool:     pool,
			endpoint: &endpoint{pool: pool},
			conn:     &transport.Conn{},
			attempts: []attempt{{endOffset: 9}},
		}
		c.Closed(&transport.RemoteError{Err: test.err})
		if len(ended) != 1 || ended[0] != test.want {
			t.Errorf("%s: attempts ended with progress %v, want one with %v", test.name, ended, test.want)
		}
	}
}
