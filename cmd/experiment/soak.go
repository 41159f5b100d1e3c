package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/simulation/soak"
)

// soakRun is the experiment 'soak': router processes under trouble that is drawn from seeds.
type soakRun struct {
	Seeds   string  `default:"1-5" help:"Seeds to run: A-B, or one seed. Even ones run with the cluster."`
	Seconds float64 `default:"30" help:"Length of a seed, in seconds of real time."`
	Router  string  `default:"bin/threadrun" help:"Path of the router's executable."`
	Keep    string  `help:"Directory in which to keep scripts and logs of failed seeds."`
	JSON    bool    `name:"json" help:"Print only the line of JSON."`
}

type soakResult struct {
	Seeds       int         `json:"seeds"`
	Seconds     float64     `json:"seconds"`
	Requests    int         `json:"requests"`
	Failed      []soakFail  `json:"failed"`
	Restarts    int         `json:"restarts"`
	ReadyMs     percentiles `json:"ready_ms"`
	DrainMs     percentiles `json:"drain_ms"`
	PeakKB      int         `json:"peak_kb"`
	Descriptors int         `json:"descriptors"`
}

type soakFail struct {
	Seed  uint64 `json:"seed"`
	First string `json:"first"` // the first failure
}

const maxSoakMillis = 60_000

// Run is called by the command line.
func (r *soakRun) Run() error {
	first, last, err := parseSeeds(r.Seeds)
	if err != nil {
		return err
	}
	result := soakResult{Seconds: r.Seconds, Failed: []soakFail{}}
	ready, drain := hdrhistogram.New(1, maxSoakMillis, 3), hdrhistogram.New(1, maxSoakMillis, 3)
	for seed := first; seed <= last; seed++ {
		one, err := r.runSeed(seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		result.add(one)
		record(ready, one.ReadyTimes)
		record(drain, one.DrainTimes)
		if !r.JSON {
			fmt.Printf("seed %d: %d requests, %d restarts, %d failures\n%s", seed, one.Requests, one.Restarts,
				len(one.Failures), strings.Join(append(one.Failures, ""), "\n"))
		}
	}
	result.ReadyMs = percentilesOf(ready)
	result.DrainMs = percentilesOf(drain)
	return report(true, "", result, len(result.Failed) > 0)
}

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

func (s *soakResult) add(one *soak.Result) {
	s.Seeds++
	s.Requests += one.Requests
	s.Restarts += one.Restarts
	s.PeakKB = max(s.PeakKB, one.PeakKB)
	s.Descriptors = max(s.Descriptors, one.Descriptors)
	if len(one.Failures) > 0 {
		s.Failed = append(s.Failed, soakFail{one.Seed, one.Failures[0]})
	}
}

func record(h *hdrhistogram.Histogram, spans []time.Duration) {
	for _, span := range spans {
		_ = h.RecordValue(max(span.Milliseconds(), 1)) // longer ones have failed already
	}
}
