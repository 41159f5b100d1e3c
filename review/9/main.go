// Command 9 plays a case of the review: a branch that is lost comes back cold, and the list tells of one cache first.
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
	caches          = 10
)

// The loss of the branch.
const (
	lostAt      = 14 * time.Second
	removedIn   = 3 * time.Second        // from the loss until the list says so
	backIn      = 9 * time.Second        // from the loss until the caches are back, cold and empty
	firstToldIn = 300 * time.Millisecond // from then until the list says so of the first
	restToldIn  = 2 * time.Second        // the same, of all others
	duration    = 29 * time.Second
)

// The rule, with the figures of the settings and of the site: see claim.txt.
const (
	startShare   = 0.23
	ramp         = 16.0 // in seconds
	fallMultiple = 2.0
	window       = 1.5           // in seconds
	fullCapacity = 97.0 / caches // seconds of sending per second
	fewRequests  = 30.0          // below it the slack is slackOfFew
	slackOfFew   = 3.0           // times the root of the number, and as many more
	slackOfMany  = 2.0           // the same
	steps        = 100           // of the integration
	seed         = 20261205      // of the clients' choice of objects
	successor    = "s-99"        // the new cache
	zone, kind   = "branch", "cache"
	up, removed  = "up", "removed"
	coldDetail   = "filled"  // the successor fills what it lacks
	warmDetail   = "hit"     // all caches have the common objects, but for the successor
	commonPrefix = "00"      // of the common objects
	rareFormat   = "ff%014x" // of all others
	objectFormat = "%016x"   // of the common objects
	className    = "guide-video"
)

// arrivals are the requests that came whole to a cache that has come back, in seconds after its start.
type arrivals struct {
	name    string
	mu      sync.Mutex
	started time.Time
	at      []float64
	held    map[string]bool // the objects of which it has a copy
}

// answer answers as a cache that is empty at its start.
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

// allowed returns how many requests a cache bears in the window that begins at a time after its start.
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

func main() { stage.Play("9", play) }

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
	time.Sleep(lostAt)
	s.Note("before the loss: %d served, %d refused", served.Load(), refused.Load())
	back, err := loseBranch(s, deployment)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(start.Add(duration)))
	s.Note("at the end: %d served, %d refused", served.Load(), refused.Load())
	broken := ""
	for _, cold := range back {
		if rule := cold.judge(s); broken == "" {
			broken = rule
		}
	}
	return broken, nil
}

// judge notes what came to a cache, and returns how that broke the rule, or an empty string.
func (a *arrivals) judge(s *stage.Stage) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	from, n, bound := a.worst()
	s.Note("%s: %d requests in the first second, %d in the second, %d in the third; worst window: from %.2f s, "+
		"%d requests in %.1f s, at most %.0f are allowed", a.name, a.count(0, 1), a.count(1, 2), a.count(2, 3), from, n,
		window, bound)
	if float64(n) <= bound {
		return ""
	}
	return fmt.Sprintf("%d requests in %.1f s came to %s, which was cold and falls over at more than %.0f", n, window,
		a.name, bound)
}

// loseBranch ends all caches of the branch, starts them again after their time, and announces both. The list tells of
// the first before the others; without the disruption it tells of all at once.
func loseBranch(s *stage.Stage, d *stage.Deployment) ([]*arrivals, error) {
	lost := time.Now()
	var gone []string
	for _, c := range d.Caches {
		c.Kill()
		gone = append(gone, stage.Entry(c, zone, kind, removed))
	}
	s.Note("all %d caches of the branch die", len(gone))
	time.Sleep(removedIn)
	d.Discovery.AnnounceEndpoints(false, gone...)
	s.Note("the list says so")
	time.Sleep(time.Until(lost.Add(backIn)))
	started := time.Now()
	var back []*arrivals
	var entries []string
	for _, c := range d.Caches {
		cold := &arrivals{name: c.Name, held: map[string]bool{}, started: started}
		if _, err := stage.StartCacheAt(c.Name, c.Address(), cold.answer); err != nil {
			return nil, err
		}
		back = append(back, cold)
		entries = append(entries, testserver.EndpointJSON(c.Name, c.Address(), zone, kind, up, started.UnixMilli()))
	}
	s.Note("all are back, cold and empty")
	if s.Trouble {
		time.Sleep(time.Until(started.Add(firstToldIn)))
		d.Discovery.AnnounceEndpoints(false, entries[0])
		s.Note("the list says that %s is up", back[0].name)
		entries = entries[1:]
	}
	time.Sleep(time.Until(started.Add(restToldIn)))
	d.Discovery.AnnounceEndpoints(false, entries...)
	s.Note("the list says that %d more are up", len(entries))
	return back, nil
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
