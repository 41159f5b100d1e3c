// Command 1 is the first case of the review: a keyed request that may have run waits in the router's queue, and is sent
// again after its key window.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"threadrun/internal/testserver"
	"threadrun/review/bed"
)

const (
	rounds        = 3
	keyWindow     = 1000 * time.Millisecond // as in config.json
	slack         = 50 * time.Millisecond   // by which each time limit of the rules is longer on sockets
	hangTime      = 1200 * time.Millisecond // how long a cache hangs after the other one has reset a connection
	hotRequests   = 24                      // open requests for the hot object: more than a cache may have in flight
	clientTimeout = 3000 * time.Millisecond // of each request
)

// run is the arrival of a keyed request at a cache, which passes it on to the origin.
type run struct {
	cache string
	at    time.Time
}

// scene is the deployment with the state of its servers.
type scene struct {
	*bed.Bed
	client *testserver.Client
	caches [2]*testserver.Cache

	mu      sync.Mutex
	traceID uint64
	hanging *testserver.Cache    // answers nothing until release is closed
	reset   *testserver.Cache    // resets the connection once a keyed request has run
	release chan struct{}        // closed at the end of the hang
	lastAt  string               // name of the cache that received the last request
	hung    int                  // requests received by the hanging cache
	runs    map[string][]run     // arrivals of keyed requests at caches, by idempotency key
	ranAt   map[string]time.Time // the origin's memory of keys
	effects map[string]int       // how often the origin has applied a request, by key
}

func main() { bed.Main(runCase) }

func runCase(b *bed.Bed) error {
	s := &scene{Bed: b, runs: map[string][]run{}, ranAt: map[string]time.Time{}, effects: map[string]int{}}
	if err := s.start(); err != nil {
		return err
	}
	for round := 1; round <= rounds; round++ {
		if err := s.playRound(round); err != nil {
			return err
		}
	}
	return nil
}

// start starts the servers and the router.
func (s *scene) start() error {
	servers, err := bed.StartServers([]string{"cache-1", "cache-2"}, s.answer)
	if err != nil {
		return err
	}
	copy(s.caches[:], servers.Caches)
	router, err := s.StartRouterFor(servers, "n0")
	if err != nil {
		return err
	}
	s.client, err = testserver.Connect(router.Address)
	return err
}

// answer answers a request at a cache. A keyed request is run at the origin first, which drops a repeat that arrives
// within the key window.
func (s *scene) answer(cache *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
	now := time.Now()
	s.mu.Lock()
	s.lastAt = cache.Name
	release := s.release
	hanging := s.hanging == cache
	if hanging {
		s.hung++
	}
	s.mu.Unlock()
	s.Logf("%s received %s %s, trace id %s", cache.Name, g.Fields["queue"], g.Fields["path"], g.ID)
	key := g.Fields["uniq"]
	if key != "" {
		s.runAtOrigin(cache, key, now)
		if s.resets(cache) {
			s.Logf("%s resets the connection of key %s", cache.Name, key)
			_ = g.Conn.(*net.TCPConn).SetLinger(0)
			_ = g.Conn.Close()
			return nil
		}
		return &testserver.Reply{Status: "data", Fields: fmt.Sprintf("etag=%s,made=%d,detail=filled", key, now.UnixMilli()),
			Body: []byte("saved")}
	}
	if hanging {
		<-release
	}
	return &testserver.Reply{Status: "data", Fields: fmt.Sprintf("etag=a,made=%d,detail=hit", now.UnixMilli()),
		Body: []byte("page")}
}

func (s *scene) resets(cache *testserver.Cache) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	resets := s.reset == cache
	if resets {
		s.reset = nil
	}
	return resets
}

// runAtOrigin applies a keyed request, unless the origin still remembers its key.
func (s *scene) runAtOrigin(cache *testserver.Cache, key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key] = append(s.runs[key], run{cache.Name, now})
	ranAt, known := s.ranAt[key]
	if known && now.Sub(ranAt) <= keyWindow {
		s.Logf("%s received key %s, the origin drops the repeat", cache.Name, key)
		return
	}
	s.ranAt[key] = now
	s.effects[key]++
	s.Logf("%s received key %s, the origin runs it, time %d", cache.Name, key, s.effects[key])
}

// send sends a request. key is its idempotency key, or empty.
func (s *scene) send(class, object, key string) <-chan *testserver.Answer {
	s.mu.Lock()
	s.traceID++
	params := testserver.RequestParams(s.traceID, object, clientTimeout)
	s.mu.Unlock()
	var body []byte
	if key != "" {
		params["nonce"] = key
		body = []byte("figures of a quote")
	}
	s.Logf("sent %s %s, trace id %s, key %q", class, object, params["trace"], key)
	_, answers := s.client.Send(class, params, body)
	return answers
}

// await waits for the answer to a request, for half a second longer than the client does.
func (s *scene) await(answers <-chan *testserver.Answer) *testserver.Answer {
	select {
	case answer := <-answers:
		return answer
	case <-time.After(clientTimeout + 500*time.Millisecond):
		return nil
	}
}

// objectsAt returns an object for each cache that the router looks for at that cache first.
func (s *scene) objectsAt(round int) ([2]string, error) {
	var objects [2]string
	for i := 0; i < 100 && (objects[0] == "" || objects[1] == ""); i++ {
		object := fmt.Sprintf("%08x%08x", 0x7f3a9c21+round, i*7919)
		a := s.await(s.send("calc-page", object, ""))
		s.Logf("answer for %s: %s", object, bed.Summary(a))
		if a == nil || a.Error != "" {
			return objects, fmt.Errorf("warm-up request for %s: %s", object, bed.Summary(a))
		}
		s.mu.Lock()
		for c, cache := range s.caches {
			if s.lastAt == cache.Name {
				objects[c] = object
			}
		}
		s.mu.Unlock()
	}
	if objects[0] == "" || objects[1] == "" {
		return objects, fmt.Errorf("all objects are at one cache")
	}
	return objects, nil
}

// playRound makes the second cache hang under the requests for a hot object, and sends a keyed request whose first
// cache resets the connection after it has run. Then the second cache goes on.
func (s *scene) playRound(round int) error {
	objects, err := s.objectsAt(round)
	if err != nil {
		return err
	}
	release := make(chan struct{})
	s.mu.Lock()
	s.release, s.hung = release, 0
	if s.Trouble {
		s.hanging, s.reset = s.caches[1], s.caches[0]
	}
	s.mu.Unlock()
	s.Logf("round %d", round)
	var hot []<-chan *testserver.Answer
	for range hotRequests {
		hot = append(hot, s.send("calc-page", objects[1], ""))
	}
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	s.Logf("%s hangs with %d requests", s.caches[1].Name, s.hung)
	s.mu.Unlock()
	key := fmt.Sprintf("quote-%d", round)
	saved := s.send("quote-save", objects[0], key)
	time.Sleep(hangTime)
	s.mu.Lock()
	s.hanging = nil
	s.mu.Unlock()
	close(release)
	s.Logf("%s goes on", s.caches[1].Name)
	answer := s.await(saved)
	s.Logf("answer to key %s: %s", key, bed.Summary(answer))
	for i, answers := range hot {
		a := s.await(answers)
		s.Logf("answer to request %d for the hot object: %s", i+1, bed.Summary(a))
		if a == nil {
			return fmt.Errorf("request %d for the hot object got no answer", i)
		}
	}
	time.Sleep(200 * time.Millisecond)
	s.check(key)
	return nil
}

// check checks the rule: nothing of a keyed request is sent later than its key window after it may have run.
func (s *scene) check(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[key]
	for _, later := range runs[min(1, len(runs)):] {
		if after := later.at.Sub(runs[0].at); after > keyWindow+slack {
			s.Broken("key %s ran at %s, and was sent again, to %s, %d ms later; the window is %d ms, and the origin "+
				"applied it %d times", key, runs[0].cache, later.cache, after.Milliseconds(), keyWindow.Milliseconds(),
				s.effects[key])
		}
	}
}
