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

// Fleet plays router processes of one branch through deaths and stalls, under a load of visits, and counts as someone would who sees all
// clients, caches and keepers.
type Fleet struct {
	Routers, Kill, Stall int
	Loss                 float64
	Delay                time.Duration // the most that a datagram is held back
	Seconds              float64       // of load; the deaths come after a third of it
	Objects              int
	Every                time.Duration // between two visits at one router
	Queries              int           // for rows, once the load has ended, by one more member, while a router is killed and one is stopped
	Seed                 uint64
}

// FleetCount is what it came to.
type FleetCount struct {
	Visits, Orders int
	Lost           int // visits without an answer at a router that ran throughout
	Twice          int // second answers, and one-shot visits that caches had more than once
	Checked        int // answers held against a purge
	Stale          int // answers with a copy from before a purge that was told of staleAfter earlier
	TwoKeepers     int
	NeverFull      int
	Deferred       int
	Asked          *Asker                  // what its queries came to; nil: none
	Broken         int                     // visits whose router was killed under them
	Full           *hdrhistogram.Histogram // ms from a restart until a router has come back and delivered a visit
	TooLong        int64
}

const (
	staleAfter  = 1500 * time.Millisecond
	answerMost  = 10 * time.Second
	purgeEvery  = 700 * time.Millisecond
	orderEvery  = 20 // one in so many visits must never run twice
	stalledFor  = 3 * time.Second
	downFor     = time.Second
	fleetReady  = 60 * time.Second
	asksAfter   = 11 * time.Second // summaries made since have all rows
	originClock = "15:04:05.000"
)

// fleet is one such play.
type fleet struct {
	*Fleet
	b     *Branch
	run   func(i int) (*Process, error)
	mu    sync.Mutex
	procs []*Process
	lives []int // starts of each
	count FleetCount
	mark  atomic.Uint64
	purge map[int]time.Time // by object
	lines []string          // that were seen amiss
}

// Play runs it. Command and environment start a router; files go into a folder.
func (f *Fleet) Play(dir string, command, environment []string) (FleetCount, []string, error) {
	members := f.Routers
	if f.Queries > 0 {
		members++
	}
	b, err := NewBranch(dir, 4, members, f.Loss, nil)
	if err != nil {
		return FleetCount{}, nil, err
	}
	defer b.Close()
	b.Relay.Trouble(0.05, f.Delay)
	x := &fleet{Fleet: f, b: b, procs: make([]*Process, f.Routers), lives: make([]int, f.Routers), purge: map[int]time.Time{}}
	x.count.Full = hdrhistogram.New(1, 600_000, 3)
	x.run = func(i int) (*Process, error) {
		return b.Run(i, command, environment, Crew(f.Routers), b.Spec(i, `, "shards": {"on": true}, "rows": {"on": true}, "asking": {"on": true},
			"presence": {"on": true}`))
	}
	defer func() {
		for _, p := range x.procs {
			if p != nil {
				p.Kill()
			}
		}
	}()
	if f.Queries > 0 {
		if x.count.Asked, err = b.Asker(f.Routers); err != nil {
			return x.count, nil, err
		}
		defer x.count.Asked.Close()
	}
	for i := range x.procs {
		if x.procs[i], err = x.run(i); err != nil {
			return x.count, nil, err
		}
	}
	for i := range x.procs {
		if !x.full(i, fleetReady) {
			text, _ := os.ReadFile(x.procs[i].Log)
			return x.count, nil, fmt.Errorf("router %d is not ready:\n%s", i, text)
		}
	}
	keys := []shardmap.Key{0, shardmap.LastKey}
	for i := range 14 {
		keys = append(keys, shardmap.Key(i+1)*0x1111111111111111)
	}
	keepers, err := b.Keepers(keys)
	if err != nil {
		return x.count, nil, err
	}
	defer keepers.Close()
	end := time.Now().Add(time.Duration(f.Seconds * float64(time.Second)))
	var wait sync.WaitGroup
	for i := range x.procs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			x.load(i, end)
		}()
	}
	go x.purges(end)
	time.Sleep(time.Duration(f.Seconds / 3 * float64(time.Second)))
	x.trouble(&wait)
	wait.Wait()
	x.orders()
	if f.Queries > 0 {
		if err := x.ask(); err != nil {
			return x.count, x.lines, err
		}
	}
	x.count.TwoKeepers, x.count.TooLong = keepers.Twice(), b.Relay.Over.Load()
	return x.count, x.lines, nil
}

// ask has the routers asked for rows, while one is stopped and then one is killed.
func (x *fleet) ask() error {
	a := x.count.Asked
	time.Sleep(asksAfter)
	if _, err := a.Base(30 * time.Second); err != nil {
		return err
	}
	for n := range x.Queries {
		switch n {
		case x.Queries / 3:
			_ = x.procs[0].Process.Signal(syscall.SIGSTOP)
		case x.Queries * 2 / 3:
			_ = x.procs[0].Process.Signal(syscall.SIGCONT)
			_ = x.procs[x.Routers-1].Process.Kill()
		}
		if err := a.Ask(n, time.Second); err != nil {
			return err
		}
	}
	return nil
}

// full waits until a router has come back.
func (x *fleet) full(i int, most time.Duration) bool {
	x.mu.Lock()
	p := x.procs[i]
	x.mu.Unlock()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if text, _ := os.ReadFile(p.Log); strings.Contains(string(text), "state=recovered") {
			return true
		}
	}
	return false
}

// trouble kills the first routers at one moment and starts them anew, and stops those after them for a while.
func (x *fleet) trouble(wait *sync.WaitGroup) {
	x.mu.Lock()
	for i := range min(x.Kill, x.Routers) {
		x.lives[i]++
		_ = x.procs[i].Process.Kill()
	}
	stalled := x.procs[min(x.Kill, x.Routers):min(x.Kill+x.Stall, x.Routers)]
	for _, p := range stalled {
		_ = p.Process.Signal(syscall.SIGSTOP)
	}
	x.mu.Unlock()
	time.AfterFunc(stalledFor, func() {
		for _, p := range stalled {
			_ = p.Process.Signal(syscall.SIGCONT)
		}
	})
	time.Sleep(downFor)
	for i := range min(x.Kill, x.Routers) {
		x.mu.Lock()
		_ = x.procs[i].Wait()
		p, err := x.run(i)
		if err == nil {
			x.procs[i] = p
		}
		x.mu.Unlock()
		began := time.Now()
		wait.Add(1)
		go func() {
			defer wait.Done()
			ok := err == nil && x.full(i, fleetReady)
			x.mu.Lock()
			defer x.mu.Unlock()
			if !ok {
				x.count.NeverFull++
				return
			}
			_ = x.count.Full.RecordValue(max(time.Since(began).Milliseconds(), 1))
		}()
	}
}

// purges purges objects, one after another.
func (x *fleet) purges(end time.Time) {
	src := rand.New(rand.NewPCG(x.Seed, 5))
	for time.Now().Before(end) {
		time.Sleep(purgeEvery)
		o := src.IntN(x.Objects)
		now := time.Now()
		x.mu.Lock()
		x.purge[o] = now
		x.mu.Unlock()
		x.b.Board.Recall(page(o), now)
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
		time.Sleep(x.Every)
		x.mu.Lock()
		p, now := x.procs[i], x.lives[i]
		x.mu.Unlock()
		if c != nil {
			select {
			case <-c.Ended():
				x.extra(c)
				c = nil
			default:
			}
		}
		if c == nil {
			var err error
			if c, err = Connect(p.Door); err != nil {
				c = nil
				continue
			}
			life = now
		}
		o, method, body := src.IntN(x.Objects), "page", []byte(nil)
		mark := x.mark.Add(1)
		if n%orderEvery == 0 {
			method, body = "order", []byte("one")
		}
		x.mu.Lock()
		purged, told := x.purge[o]
		x.count.Visits++
		if body != nil {
			x.count.Orders++
		}
		x.mu.Unlock()
		if time.Since(purged) < staleAfter {
			told = false
		}
		_, ch := c.Ask(method, Visit(mark, page(o), 2*time.Second), body)
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
		x.extra(c)
		c.Close()
	}
}

// answer takes a visit's answer.
func (x *fleet) answer(i, life int, c *Client, ch <-chan *Answer, purged bool, at time.Time) {
	var a *Answer
	ended := c.Ended()
wait:
	for late := time.After(answerMost); ; {
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
	case a == nil && x.lives[i] != life:
		x.count.Broken++
	case a == nil:
		x.count.Lost++
		x.lines = append(x.lines, fmt.Sprintf("router %d gave no answer", i))
	case a.Error != "":
		x.count.Deferred++
	case purged:
		x.count.Checked++
		if MadeBefore(string(a.Body), at) {
			x.count.Stale++
			x.lines = append(x.lines, fmt.Sprintf("router %d: %q after a purge at %s", i, a.Body, at.Format(originClock)))
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

// extra counts answers that nothing waited for.
func (x *fleet) extra(c *Client) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.count.Twice += len(c.Extra)
}

// orders counts one-shot visits that caches had more than once.
func (x *fleet) orders() {
	had := map[string]int{}
	for _, name := range x.b.Edges {
		for _, g := range x.b.Caches[name].Gets() {
			if len(g.Body) > 0 {
				had[g.ID]++
			}
		}
	}
	for id, n := range had {
		if n > 1 {
			x.count.Twice++
			x.lines = append(x.lines, fmt.Sprintf("one-shot visit %s had %d trips", id, n))
		}
	}
}
