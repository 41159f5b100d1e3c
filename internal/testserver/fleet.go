package testserver

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/shardmap"
)

// FleetRun plays router processes of one branch through deaths and stalls, under a load of visits, and counts as
// someone would who sees all clients, caches and keepers.
type FleetRun struct {
	Routers, Killed, Stalled int
	Loss                     float64
	Delay                    time.Duration // the most that a datagram is held back
	Seconds                  float64       // of load; the deaths come after a third of it
	Objects                  int
	RequestInterval          time.Duration // between two visits at one router
	Queries                  int           // for rows, once the load has ended, by one more member, while a router is killed and one is stopped
	Seed                     uint64
}

// FleetStats is what it came to.
type FleetStats struct {
	Requests, Writes    int
	Unanswered          int // visits without an answer at a router that ran throughout
	Duplicates          int // second answers, and one-shot visits that caches had more than once
	CheckedForStaleness int // answers held against a purge
	Stale               int // answers with a copy from before a purge that was told of staleAfter earlier
	DoubleOwners        int
	NeverRecovered      int
	Rejected            int
	Queries             *QueryClient            // what its queries came to; nil: none
	Interrupted         int                     // visits whose router was killed under them
	RecoveryTime        *hdrhistogram.Histogram // ms from a restart until a router has come back and delivered a visit
	OversizedDatagrams  int64
}

const (
	staleAfter    = 1500 * time.Millisecond
	answerTimeout = 10 * time.Second
	purgeInterval = 700 * time.Millisecond
	writeInterval = 20 // one in so many visits must never run twice
	stallTime     = 3 * time.Second
	downTime      = time.Second
	fleetReady    = 60 * time.Second
	summaryDelay  = 11 * time.Second // summaries made since have all rows
	originClock   = "15:04:05.000"
)

// fleet is one such play.
type fleet struct {
	*FleetRun
	zone         *Zone
	start        func(i int) (*Process, error)
	mu           sync.Mutex
	processes    []*Process
	incarnations []int // starts of each
	stats        FleetStats
	lastID       atomic.Uint64
	purges       map[int]time.Time // by object
	problems     []string          // that were seen amiss
}

// Run runs it. Command and environment start a router; files go into a folder.
func (f *FleetRun) Run(dir string, command, environment []string) (FleetStats, []string, error) {
	members := f.Routers
	if f.Queries > 0 {
		members++
	}
	b, err := NewBranch(dir, 4, members, f.Loss, nil)
	if err != nil {
		return FleetStats{}, nil, err
	}
	defer b.Close()
	b.Relay.SetFaults(0.05, f.Delay)
	x := &fleet{
		FleetRun:     f,
		zone:         b,
		processes:    make([]*Process, f.Routers),
		incarnations: make([]int, f.Routers),
		purges:       map[int]time.Time{},
	}
	x.stats.RecoveryTime = hdrhistogram.New(1, 600_000, 3)
	x.start = func(i int) (*Process, error) {
		return b.StartRouter(
			i,
			command,
			environment,
			ZoneSettings(f.Routers),
			b.OperatorFile(i, `, "shards": {"on": true}, "rows": {"on": true}, "asking": {"on": true},
			"presence": {"on": true}`),
		)
	}
	defer func() {
		for _, p := range x.processes {
			if p != nil {
				p.Kill()
			}
		}
	}()
	if f.Queries > 0 {
		if x.stats.Queries, err = b.QueryClient(f.Routers); err != nil {
			return x.stats, nil, err
		}
		defer x.stats.Queries.Close()
	}
	for i := range x.processes {
		if x.processes[i], err = x.start(i); err != nil {
			return x.stats, nil, err
		}
	}
	for i := range x.processes {
		if !x.waitRecovered(i, fleetReady) {
			text, _ := os.ReadFile(x.processes[i].LogPath)
			return x.stats, nil, fmt.Errorf("router %d is not ready:\n%s", i, text)
		}
	}
	keys := []shardmap.Key{0, shardmap.LastKey}
	for i := range 14 {
		keys = append(keys, shardmap.Key(i+1)*0x1111111111111111)
	}
	keepers, err := b.OwnershipProbe(keys)
	if err != nil {
		return x.stats, nil, err
	}
	defer keepers.Close()
	end := time.Now().Add(time.Duration(f.Seconds * float64(time.Second)))
	var wait sync.WaitGroup
	for i := range x.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			x.load(i, end)
		}()
	}
	go x.purgeLoop(end)
	time.Sleep(time.Duration(f.Seconds / 3 * float64(time.Second)))
	x.injectFaults(&wait)
	wait.Wait()
	x.countDuplicateWrites()
	if f.Queries > 0 {
		if err := x.runQueries(); err != nil {
			return x.stats, x.problems, err
		}
	}
	x.stats.DoubleOwners, x.stats.OversizedDatagrams = keepers.DoubleOwners(), b.Relay.Oversized.Load()
	return x.stats, x.problems, nil
}

// runQueries has the routers asked for rows, while one is stopped and then one is killed.
func (x *fleet) runQueries() error {
	a := x.stats.Queries
	time.Sleep(summaryDelay)
	if _, err := a.TakeReference(30 * time.Second); err != nil {
		return err
	}
	for n := range x.Queries {
		switch n {
		case x.Queries / 3:
			_ = x.processes[0].Process.Signal(syscall.SIGSTOP)
		case x.Queries * 2 / 3:
			_ = x.processes[0].Process.Signal(syscall.SIGCONT)
			_ = x.processes[x.Routers-1].Process.Kill()
		}
		if err := a.Query(n, time.Second); err != nil {
			return err
		}
	}
	return nil
}

// waitRecovered waits until a router has come back.
func (x *fleet) waitRecovered(i int, most time.Duration) bool {
	x.mu.Lock()
	p := x.processes[i]
	x.mu.Unlock()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if text, _ := os.ReadFile(p.LogPath); strings.Contains(string(text), "state=recovered") {
			return true
		}
	}
	return false
}

// injectFaults kills the first routers at one moment and starts them anew, and stops those after them for a while.
func (x *fleet) injectFaults(wait *sync.WaitGroup) {
	x.mu.Lock()
	for i := range min(x.Killed, x.Routers) {
		x.incarnations[i]++
		_ = x.processes[i].Process.Kill()
	}
	stalled := x.processes[min(x.Killed, x.Routers):min(x.Killed+x.Stalled, x.Routers)]
	for _, p := range stalled {
		_ = p.Process.Signal(syscall.SIGSTOP)
	}
	x.mu.Unlock()
	time.AfterFunc(stallTime, func() {
		for _, p := range stalled {
			_ = p.Process.Signal(syscall.SIGCONT)
		}
	})
	time.Sleep(downTime)
	for i := range min(x.Killed, x.Routers) {
		x.mu.Lock()
		_ = x.processes[i].Wait()
		p, err := x.start(i)
		if err == nil {
			x.processes[i] = p
		}
		x.mu.Unlock()
		began := time.Now()
		wait.Add(1)
		go func() {
			defer wait.Done()
			ok := err == nil && x.waitRecovered(i, fleetReady)
			x.mu.Lock()
			defer x.mu.Unlock()
			if !ok {
				x.stats.NeverRecovered++
				return
			}
			_ = x.stats.RecoveryTime.RecordValue(max(time.Since(began).Milliseconds(), 1))
		}()
	}
}

// purgeLoop purges objects, one after another.
func (x *fleet) purgeLoop(end time.Time) {
	src := rand.New(rand.NewPCG(x.Seed, 5))
	for time.Now().Before(end) {
		time.Sleep(purgeInterval)
		o := src.IntN(x.Objects)
		now := time.Now()
		x.mu.Lock()
		x.purges[o] = now
		x.mu.Unlock()
		x.zone.Discovery.AnnouncePurge(page(o), now)
	}
}

func page(o int) string { return fmt.Sprintf("%016x", 0x1000+o) }

// load asks one router at even times. A client whose router has been killed comes again.
func (x *fleet) load(i int, end time.Time) {
	src := rand.New(rand.NewPCG(x.Seed, uint64(i)+100))
	var wait sync.WaitGroup
	var c *Client
	life := 0 // that the client is connected to
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(x.RequestInterval)
		x.mu.Lock()
		p, now := x.processes[i], x.incarnations[i]
		x.mu.Unlock()
		if c != nil {
			select {
			case <-c.Closed():
				x.countUnexpected(c)
				c = nil
			default:
			}
		}
		if c == nil {
			var err error
			if c, err = Connect(p.Address); err != nil {
				c = nil
				continue
			}
			life = now
		}
		o, method, body := src.IntN(x.Objects), "page", []byte(nil)
		mark := x.lastID.Add(1)
		if n%writeInterval == 0 {
			method, body = "order", []byte("one")
		}
		x.mu.Lock()
		purged, told := x.purges[o]
		x.stats.Requests++
		if body != nil {
			x.stats.Writes++
		}
		x.mu.Unlock()
		if time.Since(purged) < staleAfter {
			told = false
		}
		_, ch := c.Send(method, RequestParams(mark, page(o), 2*time.Second), body)
		client, of := c, life
		wait.Add(1)
		go func() {
			defer wait.Done()
			x.answer(i, of, client, ch, body == nil && told, purged)
		}()
	}
	wait.Wait()
	if c != nil {
		time.Sleep(50 * time.Millisecond) // for a second answer
		x.countUnexpected(c)
		c.Close()
	}
}

// answer takes a visit's answer.
func (x *fleet) answer(i, life int, c *Client, ch <-chan *Answer, purged bool, at time.Time) {
	var a *Answer
	ended := c.Closed()
wait:
	for late := time.After(answerTimeout); ; {
		select {
		case a = <-ch:
			break wait
		case <-ended: // what had come before the end may lie there still
			ended = nil
			late = time.After(100 * time.Millisecond)
		case <-late:
			break wait
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case a == nil && x.incarnations[i] != life:
		x.stats.Interrupted++
	case a == nil:
		x.stats.Unanswered++
		x.problems = append(x.problems, fmt.Sprintf("router %d gave no answer", i))
	case a.Error != "":
		x.stats.Rejected++
	case purged:
		x.stats.CheckedForStaleness++
		if MadeBefore(string(a.Body), at) {
			x.stats.Stale++
			x.problems = append(
				x.problems,
				fmt.Sprintf("router %d: %q after a purge at %s", i, a.Body, at.Format(originClock)),
			)
		}
	}
}

// MadeBefore tells whether the origin's copy that an answer bears was made before a time.
func MadeBefore(body string, at time.Time) bool {
	_, as, _ := strings.Cut(body, " as of ")
	made, err := time.ParseInLocation(originClock, as, time.Local)
	y, m, d := at.Date()
	return err == nil && made.AddDate(y, int(m)-1, d-1).Before(at.Truncate(time.Millisecond))
}

// countUnexpected counts answers that nothing waited for.
func (x *fleet) countUnexpected(c *Client) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.Duplicates += len(c.Unexpected)
}

// countDuplicateWrites counts one-shot visits that caches had more than once.
func (x *fleet) countDuplicateWrites() {
	had := map[string]int{}
	for _, name := range x.zone.CacheNames {
		for _, g := range x.zone.Caches[name].Requests() {
			if len(g.Body) > 0 {
				had[g.ID]++
			}
		}
	}
	for id, n := range had {
		if n > 1 {
			x.stats.Duplicates++
			x.problems = append(x.problems, fmt.Sprintf("one-shot visit %s had %d trips", id, n))
		}
	}
}
