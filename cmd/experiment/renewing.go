package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"threadrun/internal/testserver"
)

// renewingRun is the command 'experiment renewing'.
type renewingRun struct {
	Router  string        `default:"bin/threadrun" help:"The router's program."`
	Routers int           `default:"2" help:"Router processes."`
	Caches  int           `default:"4" help:"Stand-in caches of the branch."`
	Rate    float64       `default:"300" help:"Visits a second, over all routers."`
	Objects int           `default:"300" help:"Pages that are asked for."`
	Skew    float64       `default:"1.2" help:"Of the Zipf distribution that pages are drawn from."`
	Fresh   time.Duration `default:"2s" help:"Fresh time of a page."`
	Seconds float64       `default:"12" help:"Counted in each run, after three seconds of warming up."`
	Pairs   int           `default:"5" help:"Runs without and with renewing, in turn."`
	Seed    uint64        `default:"1" help:"The same seed asks for the same pages at the same times."`
	JSON    bool          `name:"json" help:"Print the line of JSON alone."`

	RatioMost float64 `default:"0" help:"Bound on the ratio of visits' p99, with renewing over without; 0: none."`
}

// side is one run.
type side struct {
	P50Us     int64   `json:"p50_us"`
	P99Us     int64   `json:"p99_us"`
	Delivered int     `json:"delivered"`
	Deferred  int     `json:"deferred"`
	Failed    int     `json:"failed"`
	Fresh     float64 `json:"served_fresh"` // share of answers that were hits within their fresh time
	Stale     float64 `json:"served_stale"`
	Waited    float64 `json:"waited_for_fill"`
	Fills     int     `json:"fills"` // at the branch's caches, background work included
	Renewals  int     `json:"renewals"`
}

type renewingLine struct {
	Off      side    `json:"off"` // medians of the runs
	On       side    `json:"on"`
	Pairs    int     `json:"pairs"`
	RatioP99 float64 `json:"ratio_p99"` // median over pairs
	RatioP50 float64 `json:"ratio_p50"`
	Ratios   []int   `json:"ratios_p99_percent"`
}

// Run is called by the command line.
func (r *renewingRun) Run() error {
	var off, on []side
	var p50, p99 []float64
	for i := range r.Pairs {
		var pair [2]side
		for j := range 2 {
			with := (i+j)%2 == 1 // in turn, so that neither is always first
			s, err := r.one(with, r.Seed+uint64(i))
			if err != nil {
				return err
			}
			if pair[0] = s; with {
				on = append(on, s)
			} else {
				off = append(off, s)
			}
		}
		a, b := off[len(off)-1], on[len(on)-1]
		p50, p99 = append(p50, float64(b.P50Us)/float64(a.P50Us)), append(p99, float64(b.P99Us)/float64(a.P99Us))
		if !r.JSON {
			fmt.Printf("pair %d: p99 %d us without, %d us with, ratio %.2f; served fresh %.3f, %.3f; fills %d, %d\n", i+1, a.P99Us, b.P99Us,
				p99[i], a.Fresh, b.Fresh, a.Fills, b.Fills)
		}
	}
	out := renewingLine{Off: middle(off), On: middle(on), Pairs: r.Pairs, RatioP99: round(median(p99)), RatioP50: round(median(p50))}
	for _, x := range p99 {
		out.Ratios = append(out.Ratios, int(x*100+0.5))
	}
	if err := report(r.JSON, "", out); err != nil {
		return err
	}
	if r.RatioMost > 0 && out.RatioP99 > r.RatioMost {
		return errMissed
	}
	return nil
}

func median(x []float64) float64 {
	s := slices.Clone(x)
	slices.Sort(s)
	return s[len(s)/2]
}

// middle takes the median of each figure.
func middle(runs []side) (m side) {
	of := func(f func(*side) float64) float64 {
		var x []float64
		for i := range runs {
			x = append(x, f(&runs[i]))
		}
		return median(x)
	}
	m.P50Us, m.P99Us = int64(of(func(s *side) float64 { return float64(s.P50Us) })), int64(of(func(s *side) float64 { return float64(s.P99Us) }))
	m.Delivered, m.Deferred = int(of(func(s *side) float64 { return float64(s.Delivered) })), int(of(func(s *side) float64 { return float64(s.Deferred) }))
	m.Failed, m.Fills = int(of(func(s *side) float64 { return float64(s.Failed) })), int(of(func(s *side) float64 { return float64(s.Fills) }))
	m.Renewals = int(of(func(s *side) float64 { return float64(s.Renewals) }))
	m.Fresh, m.Stale, m.Waited = of(func(s *side) float64 { return s.Fresh }), of(func(s *side) float64 { return s.Stale }), of(func(s *side) float64 { return s.Waited })
	return m
}

// one runs the branch once, with renewing or without.
func (r *renewingRun) one(with bool, seed uint64) (s side, err error) {
	dir, err := os.MkdirTemp("", "experiment-renewing")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	notes, counts := map[string]int{}, false
	fresh := map[string]time.Duration{"page": r.Fresh}
	b, err := testserver.NewBranch(dir, r.Caches, r.Routers, 0, func(c *testserver.Cache) {
		c.FreshTime = fresh
		switch c.Name { // a fill takes tens of milliseconds, a hit a few
		case "parent":
			c.ServiceTime = 10 * time.Millisecond
		case "origin":
			c.ServiceTime = 25 * time.Millisecond
		default:
			c.ServiceTime = 2 * time.Millisecond
			c.ObserveReply = func(g *testserver.CacheRequest, note string, age time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if !counts {
					return
				}
				if n, err := strconv.ParseUint(g.ID, 16, 64); err == nil && n > 1<<32 {
					note = "renewed"
				}
				notes[note]++
			}
		}
	})
	if err != nil {
		return s, err
	}
	defer b.Close()
	site := strings.Replace(testserver.ZoneSettings(r.Routers), `"class_fresh":[60000,0]`, fmt.Sprintf(`"class_fresh":[%d,0]`, r.Fresh.Milliseconds()), 1)
	var procs []*testserver.Process
	var clients []*testserver.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
		for _, p := range procs {
			p.Kill()
		}
	}()
	for i := range r.Routers {
		spec := b.OperatorFile(i, fmt.Sprintf(`, "renewing": {"on": %v}`, with))
		p, err := b.StartRouter(i, []string{r.Router}, nil, site, spec)
		if err != nil {
			return s, err
		}
		procs = append(procs, p)
	}
	time.Sleep(2500 * time.Millisecond) // the routers find one another
	for _, p := range procs {
		for range 4 {
			c, err := p.Client(5 * time.Second)
			if err != nil {
				return s, err
			}
			clients = append(clients, c)
		}
	}
	warm := 3 * time.Second
	load := testserver.Load{RequestsPerSecond: r.Rate, Objects: r.Objects, Skew: r.Skew, Duration: time.Duration(r.Seconds * float64(time.Second)), WarmUp: warm, Seed: seed}
	var from time.Time
	time.AfterFunc(warm, func() {
		mu.Lock()
		defer mu.Unlock()
		counts, from = true, time.Now()
	})
	a := load.Run(clients)
	mu.Lock()
	defer mu.Unlock()
	all := float64(notes["hit"] + notes["stale"] + notes["filled"])
	s = side{P50Us: a.Latency.ValueAtPercentile(50), P99Us: a.Latency.ValueAtPercentile(99), Delivered: a.Answered, Deferred: a.Rejected,
		Failed: a.Failed, Fresh: round(float64(notes["hit"]) / all), Stale: round(float64(notes["stale"]) / all),
		Waited: round(float64(notes["filled"]) / all), Renewals: notes["renewed"]}
	s.Fills = b.Fills.CountSince(from)
	return s, nil
}
