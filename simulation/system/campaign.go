package system

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"threadrun/internal/hash"
	"threadrun/simulation/faults"
)

const (
	generationSize = 64  // seeds that are played before the search goes on from them
	maxShrinkRuns  = 400 // of one failing script
	searchSeed     = 0x7365617263680001
)

// Campaign plays scripts, one for each seed, and reports what they have reached and found.
type Campaign struct {
	FirstSeed, LastSeed uint64
	Jobs                int           // simulations at a time; 0 counts as 1
	Script              faults.Script // nil: each seed draws its own
	Search              bool          // go on from scripts that reached new situations
	Shrink              bool          // shrink the scripts that fail
	Plan                Plan

	OperatorFile func(seed uint64) string // nil: OperatorFileOf
	OnProgress   func(played, failed int) // after each generation; may be nil
	OnFailure    func(Finding)            // for each failure, in the order of seeds; may be nil
}

// OperatorFileOf has every second seed play a cluster; the other routers share nothing.
func OperatorFileOf(seed uint64) string {
	if seed%2 == 0 {
		return ClusterOperatorFile
	}
	return ""
}

// run plays one seed.
func (c *Campaign) run(seed uint64, script faults.Script) (*Result, error) {
	plan := c.Plan
	plan.OperatorFile = c.OperatorFile(seed)
	s, err := New(uint32(hash.Combine(seed, 1)), plan, script)
	if err != nil {
		return nil, err
	}
	return s.Run()
}

// Run plays all seeds. Its error names the seed that could not be played; a failing script is no error.
func (c *Campaign) Run() (*Report, error) {
	if c.OperatorFile == nil {
		c.OperatorFile = OperatorFileOf
	}
	began := time.Now()
	search := faults.NewSearch(c.Plan.Topology, searchSeed, c.Search)
	report := newReport()
	for first := c.FirstSeed; first <= c.LastSeed; first += generationSize {
		size := int(min(c.LastSeed-first+1, generationSize))
		plays, err := c.playGeneration(first, c.scripts(search, first, size))
		if err != nil {
			return nil, err
		}
		scripts := make([]faults.Script, size)
		reached := make([][]string, size)
		for i := range plays {
			scripts[i] = plays[i].script
			reached[i] = plays[i].result.Situations
			c.report(report, &plays[i])
		}
		search.Record(scripts, reached)
		if c.OnProgress != nil {
			c.OnProgress(report.Seeds, len(report.Failed))
		}
	}
	report.finish(len(search.Reached()), time.Since(began))
	return report, nil
}

// scripts are those of a generation.
func (c *Campaign) scripts(search *faults.Search, first uint64, size int) []faults.Script {
	scripts := make([]faults.Script, size)
	for i := range scripts {
		scripts[i] = c.Script
		if c.Script == nil {
			scripts[i] = search.Script(first + uint64(i))
		}
	}
	return scripts
}

// play is one seed that was played.
type play struct {
	seed   uint64
	script faults.Script
	result *Result
	shrunk faults.Script // nil: not shrunk
}

// playGeneration plays scripts, some at a time, and returns when all have ended.
func (c *Campaign) playGeneration(first uint64, scripts []faults.Script) ([]play, error) {
	plays := make([]play, len(scripts))
	var group errgroup.Group
	group.SetLimit(max(c.Jobs, 1))
	for i := range plays {
		plays[i] = play{seed: first + uint64(i), script: scripts[i]}
		group.Go(func() error { return c.play(&plays[i]) })
	}
	return plays, group.Wait()
}

func (c *Campaign) play(p *play) error {
	result, err := c.run(p.seed, p.script)
	if err != nil {
		return fmt.Errorf("seed %d: %w", p.seed, err)
	}
	p.result = result
	if !result.Failed() || !c.Shrink {
		return nil
	}
	p.shrunk = faults.Shrink(p.script, maxShrinkRuns, func(s faults.Script) bool {
		r, err := c.run(p.seed, s)
		return err == nil && r.Kind() == result.Kind()
	})
	return nil
}

// report adds a seed to the report.
func (c *Campaign) report(report *Report, p *play) {
	report.add(p.result, c.Plan.requestsEnd())
	if !p.result.Failed() {
		return
	}
	f := Finding{
		Seed:      p.seed,
		Kind:      p.result.Kind(),
		Detail:    p.result.detail(),
		Clustered: c.OperatorFile(p.seed) != "",
		Script:    p.script.String(),
	}
	if p.shrunk != nil {
		f.Shrunk = p.shrunk.String()
	}
	report.Failed = append(report.Failed, f)
	if c.OnFailure != nil {
		c.OnFailure(f)
	}
}
