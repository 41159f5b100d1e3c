package system

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"threadrun/internal/hash"
	"threadrun/simulation/faults"
)

const (
	generationSize = 64  // seeds in a generation of the search
	maxShrinkRuns  = 400 // of one failing script
	searchSeed     = 0x7365617263680001
)

// Campaign runs scripts, one for each seed, and reports which situations they have reached and which failures found.
type Campaign struct {
	FirstSeed, LastSeed uint64
	Jobs                int           // simulations at a time; 0 counts as 1
	Script              faults.Script // nil: each seed draws its own
	Search              bool          // mutate scripts that reached new situations
	Shrink              bool          // shrink the scripts that fail
	Plan                Plan

	OperatorFile func(seed uint64) string // nil: OperatorFileOf
	OnProgress   func(done, failed int)   // after each generation; may be nil
	OnFailure    func(Finding)            // for each failure, in the order of seeds; may be nil
}

// OperatorFileOf lets the routers of even seeds form a cluster; those of odd seeds share nothing.
func OperatorFileOf(seed uint64) string {
	if seed%2 == 0 {
		return ClusterOperatorFile
	}
	return ""
}

// run runs one seed.
func (c *Campaign) run(seed uint64, script faults.Script) (*Result, error) {
	plan := c.Plan
	plan.OperatorFile = c.OperatorFile(seed)
	s, err := New(uint32(hash.Combine(seed, 1)), plan, script)
	if err != nil {
		return nil, err
	}
	return s.Run()
}

// Run runs all seeds. Its error names the seed that could not be run; a failing script is not an error.
func (c *Campaign) Run() (*Report, error) {
	if c.OperatorFile == nil {
		c.OperatorFile = OperatorFileOf
	}
	began := time.Now()
	search := faults.NewSearch(c.Plan.Topology, searchSeed, c.Search)
	report := newReport()
	for first := c.FirstSeed; first <= c.LastSeed; first += generationSize {
		size := int(min(c.LastSeed-first+1, generationSize))
		runs, err := c.runGeneration(first, c.scripts(search, first, size))
		if err != nil {
			return nil, err
		}
		scripts := make([]faults.Script, size)
		reached := make([][]string, size)
		for i := range runs {
			scripts[i] = runs[i].script
			reached[i] = runs[i].result.Situations
			c.report(report, &runs[i])
		}
		search.Record(scripts, reached)
		if c.OnProgress != nil {
			c.OnProgress(report.Seeds, len(report.Failed))
		}
	}
	report.finish(len(search.Reached()), time.Since(began))
	return report, nil
}

// FirstScript returns the script that the first seed runs.
func (c *Campaign) FirstScript() faults.Script {
	return c.script(faults.NewSearch(c.Plan.Topology, searchSeed, c.Search), c.FirstSeed)
}

// scripts returns the scripts of a generation.
func (c *Campaign) scripts(search *faults.Search, first uint64, size int) []faults.Script {
	scripts := make([]faults.Script, size)
	for i := range scripts {
		scripts[i] = c.script(search, first+uint64(i))
	}
	return scripts
}

// script returns the script of a seed in this generation of the search.
func (c *Campaign) script(search *faults.Search, seed uint64) faults.Script {
	if c.Script != nil {
		return c.Script
	}
	return search.Script(seed)
}

// seedRun is the run of one seed.
type seedRun struct {
	seed         uint64
	script       faults.Script
	result       *Result
	shrunk       faults.Script // nil: not shrunk
	shrunkResult *Result       // of the shrunk script; nil: not shrunk
}

// reportedResult returns the result that shows the reportedResult: that of the script to report.
func (r *seedRun) reportedResult() *Result {
	if r.shrunkResult != nil {
		return r.shrunkResult
	}
	return r.result
}

// runGeneration runs the scripts of a generation, Jobs at a time.
func (c *Campaign) runGeneration(first uint64, scripts []faults.Script) ([]seedRun, error) {
	runs := make([]seedRun, len(scripts))
	var group errgroup.Group
	group.SetLimit(max(c.Jobs, 1))
	for i := range runs {
		runs[i] = seedRun{seed: first + uint64(i), script: scripts[i]}
		group.Go(func() error { return c.runSeed(&runs[i]) })
	}
	return runs, group.Wait()
}

func (c *Campaign) runSeed(r *seedRun) error {
	result, err := c.run(r.seed, r.script)
	if err != nil {
		return fmt.Errorf("seed %d: %w", r.seed, err)
	}
	r.result = result
	if !result.Failed() || !c.Shrink {
		return nil
	}
	return c.shrink(r)
}

// shrink shrinks the script of a seed that failed, and runs the shrunk script once more: its history is another one.
// The plan's Log receives none of these runs.
func (c *Campaign) shrink(r *seedRun) error {
	quiet := *c
	quiet.Plan.Log = nil
	r.shrunk = faults.Shrink(r.script, maxShrinkRuns, func(s faults.Script) bool {
		shorter, err := quiet.run(r.seed, s)
		return err == nil && shorter.Kind() == r.result.Kind()
	})
	result, err := quiet.run(r.seed, r.shrunk)
	if err != nil {
		return fmt.Errorf("seed %d, shrunk script: %w", r.seed, err)
	}
	r.shrunkResult = result
	return nil
}

// shrunkText formats a shrunk script. It is not empty, even if the failure needs no fault.
func shrunkText(s faults.Script) string {
	if len(s) == 0 {
		return "# fails without any fault\n"
	}
	return s.String()
}

// report adds a seed to the report.
func (c *Campaign) report(report *Report, r *seedRun) {
	report.add(r.result, c.Plan.requestsEnd())
	if !r.result.Failed() {
		return
	}
	f := Finding{
		Seed:      r.seed,
		Kind:      r.reportedResult().Kind(),
		Detail:    r.reportedResult().detail(),
		Clustered: c.OperatorFile(r.seed) != "",
		Script:    r.script.String(),
	}
	if r.shrunk != nil {
		f.Shrunk = shrunkText(r.shrunk)
	}
	report.Failed = append(report.Failed, f)
	if c.OnFailure != nil {
		c.OnFailure(f)
	}
}
