package attempts

import (
	"net/netip"
	"strings"
	"testing"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
	"threadrun/routing"
	"threadrun/simulation/network"
)

// recordingCache is a transport.Handler of a cache that records the bytes it receives and never responds.
type recordingCache struct {
	read   strings.Builder
	closed int
}

func (c *recordingCache) Data(b []byte) error {
	c.read.Write(b)
	return nil
}

func (c *recordingCache) Closed(error) { c.closed++ }

// slowConnect is a pool with one simulated cache, to which connections take 200 ms to be established.
type slowConnect struct {
	world  *network.World
	engine *transport.Engine
	pool   *Pool
	ended  results
	cache  *recordingCache
	link   *network.Link // from the router to the cache
}

const (
	cacheAddress = "10.0.0.2:80"
	connectDelay = 200 * clock.Millisecond
)

func newSlowConnect() *slowConnect {
	log := quietLogger()
	world := network.New(1)
	router := world.AddHost("router", netip.MustParseAddr("10.0.0.1"))
	cache := world.AddHost("cache", netip.MustParseAddr("10.0.0.2"))
	link := world.Link(router, cache)
	link.ConnectDelay = connectDelay
	engine := transport.NewWithRuntime(router.Start(), log)
	s := &slowConnect{world: world, engine: engine, ended: results{}, cache: &recordingCache{}, link: link}
	s.pool = New(s.engine, log, s.ended, testConfig(1))
	cacheEngine := transport.NewWithRuntime(cache.Start(), log)
	cacheEngine.SetMaxAccepted(8)
	_ = cacheEngine.Listen(cacheAddress, func(*transport.Conn) transport.Handler { return s.cache })
	s.engine.Do(func() { s.pool.SetAddress(0, cacheAddress, false) })
	return s
}

func attemptID(number byte) AttemptID {
	return AttemptID{Attempt: routing.AttemptNumber(number)}
}

// A queued request must be sent when its connection is established, with the remainder of its time budget.
func TestBudgetAfterConnect(t *testing.T) {
	s := newSlowConnect()
	s.engine.Do(func() {
		request, body := newRequest(1, 0)
		s.pool.Send(attemptID(1), 0, request, body)
		if s.pool.QueuedCount() != 1 {
			t.Errorf("%d requests queued, want 1", s.pool.QueuedCount())
		}
	})
	s.world.Run(300 * clock.Millisecond)
	if got := s.cache.read.String(); !strings.Contains(got, "budget=79") { // of 1000 ms, just over 200 ms have passed
		t.Errorf("the cache read %q, want a budget of 790 to 799 ms", got)
	}
	s.engine.Do(func() {
		if s.pool.QueuedCount() != 0 || s.pool.Withdraw(attemptID(1), 0) {
			t.Errorf("after the request was sent: %d queued, want 0; or Withdraw reported that it was not sent",
				s.pool.QueuedCount())
		}
	})
}

// A request whose time budget expires before its connection is established must never be sent.
func TestBudgetOverBeforeConnect(t *testing.T) {
	s := newSlowConnect()
	s.engine.Do(func() {
		request, body := newRequest(1, 0)
		request.Budget = 150_000
		s.pool.Send(attemptID(1), 0, request, body)
	})
	s.world.Run(300 * clock.Millisecond)
	s.engine.Do(func() {
		if progress := s.pool.Cancel(attemptID(1), 0); progress != NotSent {
			t.Errorf("progress %s, want %s", progress, NotSent)
		}
	})
	if s.world.Run(400 * clock.Millisecond); s.cache.read.Len() > 0 {
		t.Errorf("the cache read %q, want nothing", s.cache.read.String())
	}
}

// A request that is withdrawn while its connection is being established must never be sent; the next queued
// request must be sent once.
func TestWithdrawWhileConnecting(t *testing.T) {
	s := newSlowConnect()
	s.engine.Do(func() {
		for number := byte(1); number <= 2; number++ {
			request, body := newRequest(number, 5)
			s.pool.Send(attemptID(number), 0, request, body)
		}
		if !s.pool.Withdraw(attemptID(1), 0) || s.pool.Withdraw(attemptID(1), 0) {
			t.Error("Withdraw did not succeed exactly once")
		}
	})
	s.world.Run(300 * clock.Millisecond)
	first, second := requestID(1), requestID(2)
	got := s.cache.read.String()
	if strings.Contains(got, string(first[:])) || strings.Count(got, string(second[:])) != 1 {
		t.Errorf("the cache read %q, want only the second request, once", got)
	}
	if len(s.ended) > 0 {
		t.Errorf("AttemptEnded was called for %v, want no call", s.ended)
	}
}

// Withdrawing the only attempt of a connection that is being established must abandon the connect.
func TestUnusedConnectIsGivenUp(t *testing.T) {
	s := newSlowConnect()
	s.engine.Do(func() {
		request, body := newRequest(1, 0)
		s.pool.Send(attemptID(1), 0, request, body)
		if !s.pool.Withdraw(attemptID(1), 0) || s.pool.ConnectionCount() != 0 || s.pool.QueuedCount() != 0 {
			t.Errorf("after the only attempt: %d connections, %d queued, want 0 of each",
				s.pool.ConnectionCount(), s.pool.QueuedCount())
		}
	})
	if s.world.Run(400 * clock.Millisecond); s.cache.read.Len() > 0 {
		t.Errorf("the cache read %q, want nothing", s.cache.read.String())
	}
}

// If a cache is removed or restarts while a connection to it is being established, the requests queued for that
// connection must end at once as not sent, and must never be sent.
func TestRetireWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*Pool){
		"removed":   func(p *Pool) { p.Remove(0) },
		"restarted": func(p *Pool) { p.SetAddress(0, cacheAddress, true) },
	} {
		s := newSlowConnect()
		s.engine.Do(func() {
			for number := byte(1); number <= 3; number++ {
				request, body := newRequest(number, 0)
				s.pool.Send(attemptID(number), 0, request, body)
			}
			change(s.pool)
			if len(s.ended) != 3 || s.pool.ConnectionCount() != 0 || s.pool.QueuedCount() != 0 {
				t.Errorf("%s: %d attempts ended, want 3; %d connections and %d queued, want 0 of each",
					name, len(s.ended), s.pool.ConnectionCount(), s.pool.QueuedCount())
			}
			for id, result := range s.ended {
				if result.Err == nil || result.Err.Progress != NotSent {
					t.Errorf("%s: attempt %v ended with %+v, want progress %s", name, id, result, NotSent)
				}
			}
		})
		if s.world.Run(400 * clock.Millisecond); s.cache.read.Len() > 0 {
			t.Errorf("%s: the cache read %q, want nothing", name, s.cache.read.String())
		}
	}
}

// choosyHandler is a Handler that lets only one attempt begin.
type choosyHandler struct {
	results
	allowed AttemptID
}

func (h choosyHandler) MayBegin(id AttemptID) bool { return id == h.allowed }

// Guards against requests that are written although it is too late for them, or although their clients are gone: the
// pool asked the handler only when a connection was established or had received bytes, and not when a queued request
// was written because the connection had sent what was before it, or when a request was written at once.
func TestHandlerIsAskedBeforeEveryWrite(t *testing.T) {
	s := newSlowConnect()
	s.pool.handler = choosyHandler{s.ended, attemptID(1)}
	s.link.BytesPerMillisecond = 500 // so that the first request fills the send buffer for a while
	const bodySize = 200_000
	s.engine.Do(func() {
		request, body := newRequest(1, bodySize)
		s.pool.Send(attemptID(1), 0, request, body)
	})
	s.world.Run(300 * clock.Millisecond)
	send := func(number byte, queued int) {
		s.engine.Do(func() {
			request, body := newRequest(number, 5)
			s.pool.Send(attemptID(number), 0, request, body)
			if s.pool.QueuedCount() != queued {
				t.Errorf("after attempt %d: %d requests queued, want %d", number, s.pool.QueuedCount(), queued)
			}
		})
	}
	send(2, 1)
	s.world.Run(900 * clock.Millisecond)
	s.engine.Do(func() { s.pool.Tick(s.engine.Now()) })
	send(3, 0)
	s.world.Run(1200 * clock.Millisecond)
	first, second, third := requestID(1), requestID(2), requestID(3)
	got := s.cache.read.String()
	if !strings.Contains(got, string(first[:])) || len(got) < bodySize {
		t.Errorf("the cache read %d bytes, want the whole first request", len(got))
	}
	for _, id := range []ID{second, third} {
		if strings.Contains(got, string(id[:])) {
			t.Errorf("the cache read request %s, which was not allowed to begin", id)
		}
	}
}
