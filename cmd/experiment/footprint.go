package main

import (
	"fmt"
	"strings"

	"threadrun/internal/testserver"
)

// footprintRun is the experiment 'footprint': resident memory, start time and descriptors of an idle router, in
// deployments of three sizes.
type footprintRun struct {
	Router    string `default:"bin/threadrun" help:"Path of the router's executable."`
	Clustered bool   `help:"Make the router a member of a cluster with shard maps in which no other router runs."`
	JSON      bool   `name:"json" help:"Print only the result, as one line of JSON."`
}

// footprintResult has one element per size in Sizes, MemoryRatios and ReadyRatios. Ratios are to the smallest size.
type footprintResult struct {
	Sizes             []testserver.Footprint `json:"sizes"`
	MemoryRatios      []float64              `json:"memory_ratios"`
	ReadyRatios       []float64              `json:"ready_ratios"`
	Clustered         bool                   `json:"clustered"`
	HighestResidentMB float64                `json:"highest_resident_mb"`
}

// The limits of the router under measurement. The bound of the experiment is memoryLimitMB.
const (
	memoryLimitMB   = 32
	descriptorLimit = 256
)

// Run runs the experiment. It is called by the command line.
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

// measure starts a router in a deployment of the given number of routers and of caches, and measures it.
func (r *footprintRun) measure(machines int) (f testserver.Footprint, err error) {
	err = withTempDir("footprint", func(dir string) error {
		command := []string{r.Router}
		f, err = testserver.MeasureFootprint(dir, command, nil, machines, memoryLimitMB, descriptorLimit, r.Clustered)
		return err
	})
	return f, err
}

// add adds a measurement. The first one must be of the smallest deployment.
func (l *footprintResult) add(f testserver.Footprint) {
	l.Sizes = append(l.Sizes, f)
	l.MemoryRatios = append(l.MemoryRatios, round(f.ResidentMB/l.Sizes[0].ResidentMB))
	l.ReadyRatios = append(l.ReadyRatios, round(f.ReadyMs/l.Sizes[0].ReadyMs))
	l.HighestResidentMB = max(l.HighestResidentMB, f.ResidentMB)
}
