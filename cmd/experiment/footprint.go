package main

import (
	"fmt"
	"strings"

	"threadrun/internal/testserver"
)

// footprintRun is the experiment 'size': the footprint of idle routers.
type footprintRun struct {
	Router    string `default:"bin/threadrun" help:"The router's program."`
	Clustered bool   `name:"tier" help:"The router is a member of a cluster with shard maps, of which no other runs."`
	JSON      bool   `name:"json" help:"Print the line of JSON alone."`
}

type footprintResult struct {
	Sizes        []testserver.Footprint `json:"sizes"`
	MemoryRatios []float64              `json:"memory_ratio"` // to that of the smallest
	ReadyRatios  []float64              `json:"ready_ratio"`
	Clustered    bool                   `json:"tier"`
	HighestMB    float64                `json:"highest_mb"`
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
	return report(r.JSON, b.String(), result, result.HighestMB > memoryLimitMB)
}

func (r *footprintRun) measure(machines int) (f testserver.Footprint, err error) {
	err = withTempDir("size", func(dir string) error {
		command := []string{r.Router}
		f, err = testserver.MeasureLarge(dir, command, nil, machines, memoryLimitMB, descriptorLimit, r.Clustered)
		return err
	})
	return f, err
}

func (l *footprintResult) add(f testserver.Footprint) {
	l.Sizes = append(l.Sizes, f)
	l.MemoryRatios = append(l.MemoryRatios, round(f.ResidentMB/l.Sizes[0].ResidentMB))
	l.ReadyRatios = append(l.ReadyRatios, round(f.ReadyMs/l.Sizes[0].ReadyMs))
	l.HighestMB = max(l.HighestMB, f.ResidentMB)
}
