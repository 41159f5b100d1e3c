// Command 10 plays a case of the review: a cold cache at the address of one that has gone, before the list says that it
// has gone.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"threadrun/internal/testserver"
	"threadrun/review/stage"
)

// The load: sendTime is the time that sending an object takes, sizeKB over the settings' pace_kb_per_s.
const (
	clients         = 40
	requestInterval = 46 * time.Millisecond // of each client: 870 requests a second in all
	missOf          = 100                   // of so many requests
	misses          = 27                    // so many are for an object that the caches lack
	sizeKB          = 300.0
	sendTime        = 100 * time.Millisecond
	timeout         = 5 * time.Second
	commonObjects   = 200
	bodyBytes       = 500
	caches          = 8
)

// The replacement.
const (
	diesAt      = 16 * time.Second
	successorIn = 200 * time.Millisecond  // from the death to the successor's start
	addedIn     = 300 * time.Millisecond  // from the successor's start until the list says so
	removedIn   = 4500 * time.Millisecond // from the death until the list says so
	duration    = 26 * time.Second
	notedFor    = 8 // seconds after the start whose requests are noted
)

// The rule, with the figures of the settings and of the site: see claim.txt.
const (
	startShare   = 0.23
	ramp         = 16.0 // in seconds
	fallMultiple = 2.0
	window       = 1.5      // in seconds
	fullCapacity = 97.0 / 8 // seconds of sending per second
	fewRequests  = 30.0     // below it the slack is slackOfFew
	slackOfFew   = 3.0      // times the root of the number, and as many more
	slackOfMany  = 2.0      // the same
	steps        = 100      // of the integration
	seed         = 20261205 // of the clients' choice of objects
	successor    = "s-99"   // the new cache
	zone, kind   = "branch", "cache"
	up, removed  = "up", "removed"
	coldDetail   = "filled"  // the successor fills what it lacks
	warmDetail   = "hit"     // all caches have the common objects, but for the successor
	commonPrefix = "00"      // of the common objects
	rareFormat   = "ff%014x" // of all others
	objectFormat = "%016x"   // of the common objects
	className    = "guide-video"
)

// arrivals are the requests that came whole to the successor, in seconds after its start.
type arrivals struct {
	mu      sync.Mutex
	started time.Time
	at      []float64
	held    map[string]bool // the objects of which it has a copy
}

// answer answers as the successor, which is empty at its start.
func (a *arrivals) answer(r *stage.Request) {
	object := r.Fields["path"]
	a.mu.Lock()
	a.at = append(a.at, time.Since(a.started).Seconds())
	hit := a.held[object]
	if r.Fields["src"] != "" {
		a.held[object] = true
	}
	a.mu.Unlock()
	serve(r, hit)
}

// serve answers with a copy, or with one that is filled from the source that is named.
func serve(r *stage.Request, hit bool) {
	switch {
	case hit:
		time.Sleep(sendTime)
		stage.Data(r, bodyBytes, time.Now().Add(-time.Minute), warmDetail)
	case r.Fields["src"] == "":
		r.Reply("absent", "-", "")
	default:
		time.Sleep(sendTime)
		stage.Data(r, bodyBytes, time.Now(), coldDetail)
	}
}

// allowed returns how many requests the successor bears in the window that begins at a time after its start.
func allowed(from float64) float64 {
	work := 0.0
	for i := range steps {
		age := from + window*(float64(i)+0.5)/steps
		share := math.Min(startShare+(1-startShare)*age/ramp, 1)
		work += fallMultiple * fullCapacity * share * window / steps
	}
	n := work / sendTime.Seconds()
	slack := slackOfMany
	if n < fewRequests {
		slack = slackOfFew
	}
	return n + slack*math.Sqrt(n) + slack
}

// count returns how many requests arrived in a time after the start.
func (a *arrivals) count(from, to float64) (n int) {
	for _, at := range a.at {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// worst returns the window with the most requests above what is allowed, or the least below it.
func (a *arrivals) worst() (from float64, n int, bound float64) {
	excess := math.Inf(-1)
	for _, first := range a.at {
		b := allowed(first)
		if c := a.count(first, first+window); float64(c)-b > excess {
			excess = float64(c) - b
			from, n, bound = first, c, b
		}
	}
	return from, n, bound
}

func main() { stage.Play("10", play) }

func play(s *stage.Stage) (string, error) {
	deployment, err := s.StartDeployment(caches, func(r *stage.Request) {
		serve(r, r.Fields["path"][:len(commonPrefix)] == commonPrefix)
	})
	if err != nil {
		return "", err
	}
	router, err := s.StartRouter(deployment.Configuration(stage.Limits{MemoryMB: 192, Sockets: 1024}))
	if err != nil {
		return "", err
	}
	start := time.Now()
	var served, refused atomic.Int64
	for i := range clients {
		go request(router.Address, i, start.Add(duration), &served, &refused)
	}
	time.Sleep(diesAt)
	s.Note("before the replacement: %d served, %d refused", served.Load(), refused.Load())
	cold := &arrivals{held: map[string]bool{}}
	if err := replace(s, deployment, cold); err != nil {
		return "", err
	}
	time.Sleep(time.Until(start.Add(duration)))
	s.Note("at the end: %d served, %d refused", served.Load(), refused.Load())
	cold.mu.Lock()
	defer cold.mu.Unlock()
	for second := range notedFor {
		s.Note("%d requests came to %s in second %d after its start",
			cold.count(float64(second), float64(second+1)), successor, second)
	}
	from, n, bound := cold.worst()
	s.Note("worst window: from %.2f s after the start, %d requests in %.1f s, at most %.0f are allowed", from, n, window,
		bound)
	if float64(n) > bound {
		return fmt.Sprintf("%d requests in %.1f s came to a cold cache that falls over at more than %.0f", n, window,
			bound), nil
	}
	return "", nil
}

// replace ends a cache, starts its successor and announces both, each after its time. The successor has the address of
// the one that has gone; without the disruption it has another.
func replace(s *stage.Stage, d *stage.Deployment, cold *arrivals) error {
	gone := d.Caches[0]
	died := time.Now()
	gone.Kill()
	s.Note("%s at %s dies, its connections are reset", gone.Name, gone.Address())
	time.Sleep(successorIn)
	address := stage.AnyPort
	if s.Trouble {
		address = gone.Address()
	}
	cold.started = time.Now()
	c, err := stage.StartCacheAt(successor, address, cold.answer)
	if err != nil {
		return err
	}
	s.Note("%s starts at %s, cold and empty", c.Name, c.Address())
	time.Sleep(addedIn)
	d.Discovery.AnnounceEndpoints(false, testserver.EndpointJSON(c.Name, c.Address(), zone, kind, up,
		cold.started.UnixMilli()))
	s.Note("the list says that %s is up", c.Name)
	time.Sleep(time.Until(died.Add(removedIn)))
	d.Discovery.AnnounceEndpoints(false, stage.Entry(gone, zone, kind, removed))
	s.Note("the list says that %s is gone", gone.Name)
	return nil
}

// request sends the requests of one client at a steady rate.
func request(address string, number int, end time.Time, served, refused *atomic.Int64) {
	client, err := testserver.Connect(address)
	if err != nil {
		return
	}
	defer client.Close()
	time.Sleep(requestInterval * time.Duration(number) / clients)
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := uint64(number); time.Now().Before(end); n += clients {
		object := fmt.Sprintf(objectFormat, n%commonObjects)
		if random.IntN(missOf) < misses {
			object = fmt.Sprintf(rareFormat, n)
		}
		_, answers := client.Send(className, stage.Fields(n+1, object, 0, timeout, sizeKB), nil)
		go func() {
			if a := <-answers; a.Error == "" {
				served.Add(1)
			} else {
				refused.Add(1)
			}
		}()
		<-ticker.C
	}
}
