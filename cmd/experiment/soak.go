package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/simulation/soak"
)

// soakRun is the experiment 'soak': router processes run under faults that are drawn from seeds.
type soakRun struct {
	Seeds   string  `default:"1-5" help:"Seeds to run: A-B, or one seed. With even seeds the routers form a cluster."`
	Seconds float64 `default:"30" help:"Duration of the run of each seed, in seconds of real time."`
	Router  string  `default:"bin/threadrun" help:"Path of the router's executable."`
	Keep    string  `help:"Directory in which to keep the scripts and logs of failed seeds."`
	JSON    bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// soakResult is the result of all seeds.
type soakResult struct {
	Seeds       int           `json:"seeds"`
	Seconds     float64       `json:"seconds"`
	Requests    int           `json:"requests"`
	Failed      []soakFailure `json:"failed"`
	Restarts    int           `json:"restarts"`
	ReadyMs     percentiles   `json:"ready_ms"`    // from the start of a router until it was ready
	DrainMs     percentiles   `json:"drain_ms"`    // from SIGTERM until the router ended
	PeakKB      int           `json:"peak_kb"`     // highest resident memory of a router
	Descriptors int           `json:"descriptors"` // highest number of a router
}

// soakFailure is a seed that failed.
type soakFailure struct {
	Seed  uint64 `json:"seed"`
	First string `json:"first"` // the first failure
}

// maxTimeMs is the largest time in the histograms, in milliseconds.
const maxTimeMs = 60_000

// Run runs the experiment. It is called by the command line.
func (r *soakRun) Run() error {
	first, last, err := parseSeeds(r.Seeds)
	if err != nil {
		return err
	}
	result := soakResult{Seconds: r.Seconds, Failed: []soakFailure{}}
	ready, drain := hdrhistogram.New(1, maxTimeMs, 3), hdrhistogram.New(1, maxTimeMs, 3)
	for seed := first; seed <= last; seed++ {
		seedResult, err := r.runSeed(seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		result.add(seedResult)
		recordTimes(ready, seedResult.ReadyTimes)
		recordTimes(drain, seedResult.ShutdownTimes)
		if !r.JSON {
			fmt.Printf("seed %d: %d requests, %d restarts, %d failures\n%s", seed, seedResult.Requests, seedResult.Restarts,
				len(seedResult.Failures), strings.Join(append(seedResult.Failures, ""), "\n"))
		}
	}
	result.ReadyMs = percentilesOf(ready)
	result.DrainMs = percentilesOf(drain)
	return report(true, "", result, len(result.Failed) > 0)
}

// runSeed runs one seed. With an even seed the routers form a cluster.
func (r *soakRun) runSeed(seed uint64) (result *soak.Result, err error) {
	settings := soak.Settings{
		Command: []string{r.Router},
		Length:  time.Duration(r.Seconds * float64(time.Second)),
		Cluster: seed%2 == 0,
		KeepDir: r.Keep,
	}
	err = withTempDir("soak", func(dir string) error {
		result, err = soak.Run(settings, seed, dir)
		return err
	})
	return result, err
}

// add adds the result of one seed.
func (s *soakResult) add(seedResult *soak.Result) {
	s.Seeds++
	s.Requests += seedResult.Requests
	s.Restarts += seedResult.Restarts
	s.PeakKB = max(s.PeakKB, seedResult.PeakKB)
	s.Descriptors = max(s.Descriptors, seedResult.Descriptors)
	if len(seedResult.Failures) > 0 {
		s.Failed = append(s.Failed, soakFailure{seedResult.Seed, seedResult.Failures[0]})
	}
}

// recordTimes adds times to a histogram of milliseconds.
func recordTimes(h *hdrhistogram.Histogram, times []time.Duration) {
	for _, t := range times {
		_ = h.RecordValue(max(t.Milliseconds(), 1)) // fails above maxTimeMs; such a time is already a failure of its seed
	}
}
