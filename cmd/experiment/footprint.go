package main

import (
	"fmt"
	"strings"

	"threadrun/internal/testserver"
)

// footprintRun is the experiment 'footprint': memory, start time and descriptors of idle routers.
type footprintRun struct {
	Router    string `default:"bin/threadrun" help:"Path of the router's executable."`
	Clustered bool   `help:"Make the router a member of a cluster with shard maps in which no other router runs."`
	JSON      bool   `name:"json" help:"Print only the line of JSON."`
}

type footprintResult struct {
	Sizes             []testserver.Footprint `json:"sizes"`
	MemoryRatios      []float64              `json:"memory_ratios"` // to the smallest deployment
	ReadyRatios       []float64              `json:"ready_ratios"`
	Clustered         bool                   `json:"clustered"`
	HighestResidentMB float64                `json:"highest_resident_mb"`
}

const (
	memoryLimitMB   = 32
	descriptorLimit = 256
)

// Run is called by the command line.
func (r *footprintRun) Run() error {
	result := footprintResult{Clustered: r.Clustered}
	var b strings.Builder
	for _, machines := range []int{10, 300, 1024} {
		f, err := r.measure(machines)
		if err != nil {
			return fmt.Errorf("%d machines: %w", machines, err)
		}
		result.add(f)
		fmt.Fprintf(&b, "%4d routers and caches: ready after %.0f ms, %.1f MB resident, %d descriptors\n",
			machines, f.ReadyMs, f.ResidentMB, f.Descriptors)
	}
	return report(r.JSON, b.String(), result, result.HighestResidentMB > memoryLimitMB)
}

func (r *footprintRun) measure(machines int) (f testserver.Footprint, err error) {
	err = withTempDir("footprint", func(dir string) error {
		command := []string{r.Router}
		f, err = testserver.MeasureFootprint(dir, command, nil, machines, memoryLimitMB, descriptorLimit, r.Clustered)
		return err
	})
	return f, err
}

func (l *footprintResult) add(f testserver.Footprint) {
	l.Sizes = append(l.Sizes, f)
	l.MemoryRatios = append(l.MemoryRatios, round(f.ResidentMB/l.Sizes[0].ResidentMB))
	l.ReadyRatios = append(l.ReadyRatios, round(f.ReadyMs/l.Sizes[0].ReadyMs))
	l.HighestResidentMB = max(l.HighestResidentMB, f.ResidentMB)
}
