package system

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"threadrun/internal/hash"
	"threadrun/simulation/faults"
)

// Hunt plays scripts from seeds and keeps count of what they reach and find.
type Hunt struct {
	From, To uint64 // seeds, both played
	Jobs     int
	Script   faults.Script // nil: each seed draws its own
	Search   bool
	Shrink   bool
	Plan     Plan
	Tier     func(seed uint64) string // the operator's file of a seed; nil: every second one is tiered
	Progress func(played, failed int) // nil: not told
	Found    func(f Finding)          // hears of each failure in the order of seeds
}

// Finding is a seed that failed.
type Finding struct {
	Seed   uint64 `json:"seed"`
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Tier   bool   `json:"tier"`
	Script string `json:"script"`
	Short  string `json:"short,omitempty"`
}

// Report is what a hunt came to.
type Report struct {
	Seeds    int            `json:"seeds"`
	Failed   []Finding      `json:"failed"`
	Virtual  float64        `json:"virtual_s"`
	Wall     float64        `json:"wall_s"`
	Met      map[string]int `json:"met"` // scripts in which these began within one second
	Pairs    map[string]int `json:"pairs"`
	Together float64        `json:"together"` // share of the scripts in which a drain, a purge and a slow origin did
	Coverage Coverage       `json:"coverage"`
	Hash     string         `json:"hash"`
	Steps    uint64         `json:"steps"`
	Visits   int            `json:"visits"`
}

// Coverage is how much was reached.
type Coverage struct {
	Situations int `json:"situations"` // distinct
	Never      int `json:"never_ready"`
}

const (
	generation = 64
	shrinkMost = 400 // plays of one failing script
)

// TierOf is the operator's file of a seed: every second deployment shares what it can, the others share nothing.
func TierOf(seed uint64) string {
	if seed%2 == 0 {
		return Tiered
	}
	return ""
}

// play plays one.
func (h *Hunt) play(seed uint64, s faults.Script) (*Result, error) {
	p := h.Plan
	p.Spec = h.Tier(seed)
	d, err := New(uint32(hash.Combine(seed, 1)), p, s)
	if err != nil {
		return nil, err
	}
	return d.Run()
}

// Run hunts.
func (h *Hunt) Run() (*Report, error) {
	if h.Tier == nil {
		h.Tier = TierOf
	}
	began := time.Now()
	search := faults.NewSearch(h.Plan.Cast, 0x7365617263680001, h.Search)
	rep := &Report{Met: map[string]int{}, Pairs: map[string]int{}, Failed: []Finding{}}
	combined := uint64(0)
	for from := h.From; from <= h.To; from += generation {
		n := int(min(h.To-from+1, generation))
		scripts := make([]faults.Script, n)
		for i := range scripts {
			if scripts[i] = h.Script; h.Script == nil {
				scripts[i] = search.Script(from + uint64(i))
			}
		}
		results := make([]*Result, n)
		shorts := make([]faults.Script, n)
		if err := h.each(n, func(i int) error {
			seed := from + uint64(i)
			r, err := h.play(seed, scripts[i])
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results[i] = r
			if r.Failed() && h.Shrink {
				shorts[i] = faults.Shrink(scripts[i], shrinkMost, func(s faults.Script) bool {
					o, err := h.play(seed, s)
					return err == nil && o.Kind() == r.Kind()
				})
			}
			return nil
		}); err != nil {
			return nil, err
		}
		reached := make([][]string, n)
		for i, r := range results {
			reached[i] = r.Seen
			combined = hash.Combine(combined, r.Hash)
			rep.Seeds++
			rep.Steps += r.Steps
			rep.Visits += r.Counts.Requests
			rep.Coverage.Never += r.Never
			rep.Virtual += h.Plan.ends().Seconds()
			for m := range r.Met {
				rep.Met[m]++
			}
			for m := range r.Pairs {
				rep.Pairs[m]++
			}
			if r.Together {
				rep.Together++
			}
			if r.Failed() {
				f := Finding{Seed: from + uint64(i), Kind: r.Kind(), Tier: h.Tier(from+uint64(i)) != "", Script: scripts[i].String()}
				if len(r.Breaches) > 0 {
					f.Detail = r.Breaches[0].String()
				} else {
					f.Detail = r.Odd[0]
				}
				if shorts[i] != nil {
					f.Short = shorts[i].String()
				}
				rep.Failed = append(rep.Failed, f)
				if h.Found != nil {
					h.Found(f)
				}
			}
		}
		search.Learn(scripts, reached)
		if h.Progress != nil {
			h.Progress(rep.Seeds, len(rep.Failed))
		}
	}
	rep.Together /= float64(max(rep.Seeds, 1))
	rep.Coverage.Situations = len(search.Seen())
	rep.Hash = fmt.Sprintf("%016x", combined)
	rep.Wall = time.Since(began).Seconds()
	return rep, nil
}

// each does n things, some at a time.
func (h *Hunt) each(n int, do func(i int) error) error {
	var all errgroup.Group
	all.SetLimit(max(h.Jobs, 1))
	for i := range n {
		all.Go(func() error { return do(i) })
	}
	return all.Wait()
}
