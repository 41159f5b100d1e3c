package system

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"threadrun/internal/hash"
	"threadrun/simulation/faults"
)

// Campaign plays scripts from seeds and keeps count of what they reach and find.
type Campaign struct {
	FirstSeed, LastSeed uint64 // seeds, both played
	Jobs                int
	Script              faults.Script // nil: each seed draws its own
	Search              bool
	Shrink              bool
	Plan                Plan
	OperatorFile        func(seed uint64) string // the operator's file of a seed; nil: every second one is tiered
	OnProgress          func(played, failed int) // nil: not told
	OnFailure           func(f Finding)          // hears of each failure in the order of seeds
}

// Finding is a seed that failed.
type Finding struct {
	Seed      uint64 `json:"seed"`
	Kind      string `json:"kind"`
	Detail    string `json:"detail"`
	Clustered bool   `json:"tier"`
	Script    string `json:"script"`
	Shrunk    string `json:"short,omitempty"`
}

// Report is what a hunt came to.
type Report struct {
	Seeds                     int            `json:"seeds"`
	Failed                    []Finding      `json:"failed"`
	VirtualSeconds            float64        `json:"virtual_s"`
	WallSeconds               float64        `json:"wall_s"`
	Triples                   map[string]int `json:"met"` // scripts in which these began within one second
	Pairs                     map[string]int `json:"pairs"`
	DrainPurgeSlowOriginShare float64        `json:"together"` // share of the scripts in which a drain, a purge and a slow origin did
	Coverage                  Coverage       `json:"coverage"`
	Hash                      string         `json:"hash"`
	Steps                     uint64         `json:"steps"`
	Requests                  int            `json:"visits"`
}

// Coverage is how much was reached.
type Coverage struct {
	Situations int `json:"situations"` // distinct
	NeverReady int `json:"never_ready"`
}

const (
	generationSize = 64
	maxShrinkRuns  = 400 // plays of one failing script
)

// OperatorFileOf is the operator's file of a seed: every second deployment shares what it can, the others share nothing.
func OperatorFileOf(seed uint64) string {
	if seed%2 == 0 {
		return ClusterOperatorFile
	}
	return ""
}

// run plays one.
func (h *Campaign) run(seed uint64, s faults.Script) (*Result, error) {
	p := h.Plan
	p.OperatorFile = h.OperatorFile(seed)
	d, err := New(uint32(hash.Combine(seed, 1)), p, s)
	if err != nil {
		return nil, err
	}
	return d.Run()
}

// Run hunts.
func (h *Campaign) Run() (*Report, error) {
	if h.OperatorFile == nil {
		h.OperatorFile = OperatorFileOf
	}
	began := time.Now()
	search := faults.NewSearch(h.Plan.Topology, 0x7365617263680001, h.Search)
	rep := &Report{Triples: map[string]int{}, Pairs: map[string]int{}, Failed: []Finding{}}
	combined := uint64(0)
	for from := h.FirstSeed; from <= h.LastSeed; from += generationSize {
		n := int(min(h.LastSeed-from+1, generationSize))
		scripts := make([]faults.Script, n)
		for i := range scripts {
			if scripts[i] = h.Script; h.Script == nil {
				scripts[i] = search.Script(from + uint64(i))
			}
		}
		results := make([]*Result, n)
		shorts := make([]faults.Script, n)
		if err := h.forEach(n, func(i int) error {
			seed := from + uint64(i)
			r, err := h.run(seed, scripts[i])
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			results[i] = r
			if r.Failed() && h.Shrink {
				shorts[i] = faults.Shrink(scripts[i], maxShrinkRuns, func(s faults.Script) bool {
					o, err := h.run(seed, s)
					return err == nil && o.Kind() == r.Kind()
				})
			}
			return nil
		}); err != nil {
			return nil, err
		}
		reached := make([][]string, n)
		for i, r := range results {
			reached[i] = r.Situations
			combined = hash.Combine(combined, r.Hash)
			rep.Seeds++
			rep.Steps += r.Steps
			rep.Requests += r.Stats.Requests
			rep.Coverage.NeverReady += r.NeverReady
			rep.VirtualSeconds += h.Plan.requestsEnd().Seconds()
			for m := range r.Triples {
				rep.Triples[m]++
			}
			for m := range r.Pairs {
				rep.Pairs[m]++
			}
			if r.DrainPurgeSlowOrigin {
				rep.DrainPurgeSlowOriginShare++
			}
			if r.Failed() {
				f := Finding{Seed: from + uint64(i), Kind: r.Kind(), Clustered: h.OperatorFile(from+uint64(i)) != "", Script: scripts[i].String()}
				if len(r.Violations) > 0 {
					f.Detail = r.Violations[0].String()
				} else {
					f.Detail = r.Problems[0]
				}
				if shorts[i] != nil {
					f.Shrunk = shorts[i].String()
				}
				rep.Failed = append(rep.Failed, f)
				if h.OnFailure != nil {
					h.OnFailure(f)
				}
			}
		}
		search.Record(scripts, reached)
		if h.OnProgress != nil {
			h.OnProgress(rep.Seeds, len(rep.Failed))
		}
	}
	rep.DrainPurgeSlowOriginShare /= float64(max(rep.Seeds, 1))
	rep.Coverage.Situations = len(search.Reached())
	rep.Hash = fmt.Sprintf("%016x", combined)
	rep.WallSeconds = time.Since(began).Seconds()
	return rep, nil
}

// forEach does n things, some at a time.
func (h *Campaign) forEach(n int, do func(i int) error) error {
	var all errgroup.Group
	all.SetLimit(max(h.Jobs, 1))
	for i := range n {
		all.Go(func() error { return do(i) })
	}
	return all.Wait()
}
