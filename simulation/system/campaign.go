package system

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"threadrun/internal/hash"
	"threadrun/simulation/faults"
)

const (
	generationSize = 64                 // seeds in a generation of the search
	maxShrinkRuns  = 400                // simulations run to shrink one failing script
	searchSeed     = 0x7365617263680001 // fixed, so that a seed has the same script in each campaign without Search
)

// Campaign runs scripts, one for each seed, and reports which situations the runs reached and which failures they
// found.
type Campaign struct {
	FirstSeed, LastSeed uint64
	Jobs                int           // number of simulations that run concurrently; 0 means 1
	Script              faults.Script // script of all seeds; nil: one is generated for each seed
	Search              bool          // whether scripts that reached new situations are mutated
	Shrink              bool          // whether scripts that fail are shrunk
	Plan                Plan

	OperatorFile func(seed uint64) string // returns Plan.OperatorFile for a seed; nil: OperatorFileOf
	OnProgress   func(done, failed int)   // called after each generation; may be nil
	OnFailure    func(Finding)            // called for each failure in the order of seeds; may be nil
}

// OperatorFileOf returns ClusterOperatorFile for even seeds, whose routers form a cluster, and no operator's file
// for odd seeds, whose routers share no state.
func OperatorFileOf(seed uint64) string {
	if seed%2 == 0 {
		return ClusterOperatorFile
	}
	return ""
}

// run simulates a seed's deployment under a script.
func (c *Campaign) run(seed uint64, script faults.Script) (*Result, error) {
	plan := c.Plan
	plan.OperatorFile = c.OperatorFile(seed)
	s, err := New(uint32(hash.Combine(seed, 1)), plan, script)
	if err != nil {
		return nil, err
	}
	return s.Run()
}

// Run runs all seeds. Its error names a seed whose simulation could not be set up or started. Failures that
// simulations find are part of the report and not an error.
func (c *Campaign) Run() (*Report, error) {
	if c.OperatorFile == nil {
		c.OperatorFile = OperatorFileOf
	}
	startedAt := time.Now()
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
	report.finish(len(search.Reached()), time.Since(startedAt))
	return report, nil
}

// FirstScript returns the script that the first seed runs.
func (c *Campaign) FirstScript() faults.Script {
	return c.script(faults.NewSearch(c.Plan.Topology, searchSeed, c.Search), c.FirstSeed)
}

// scripts returns the scripts of a generation of size seeds from first on.
func (c *Campaign) scripts(search *faults.Search, first uint64, size int) []faults.Script {
	scripts := make([]faults.Script, size)
	for i := range scripts {
		scripts[i] = c.script(search, first+uint64(i))
	}
	return scripts
}

// script returns the script of a seed in the current generation of the search.
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

// reportedResult returns the result that a Finding describes: that of the shrunk script if there is one.
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

// runSeed runs a seed, and shrinks its script if it fails and Shrink is set.
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

// shrink shrinks the script of a seed that failed, and runs the shrunk script once more for a result of its own, as
// its events differ from those of the original script. The plan's Log receives none of these runs.
func (c *Campaign) shrink(r *seedRun) error {
	unlogged := *c
	unlogged.Plan.Log = nil
	r.shrunk = faults.Shrink(r.script, maxShrinkRuns, func(s faults.Script) bool {
		shorter, err := unlogged.run(r.seed, s)
		return err == nil && shorter.Kind() == r.result.Kind()
	})
	result, err := unlogged.run(r.seed, r.shrunk)
	if err != nil {
		return fmt.Errorf("seed %d, shrunk script: %w", r.seed, err)
	}
	r.shrunkResult = result
	return nil
}

// shrunkText formats a shrunk script. The text is never empty, even if the seed fails without any fault: an empty
// Finding.Shrunk means that the script was not shrunk.
func shrunkText(s faults.Script) string {
	if len(s) == 0 {
		return "# fails without any fault\n"
	}
	return s.String()
}

// report adds the run of a seed to the report, and passes a failure to OnFailure.
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
