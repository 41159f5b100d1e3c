package main

import (
	"fmt"
	"os"
	"strings"

	"threadrun/internal/testserver"
)

// sizeRun is the command 'experiment size'.
type sizeRun struct {
	Router string `default:"bin/threadrun" help:"The router's program."`
	Tier   bool   `help:"The routers are members of a tier, which maps are made for; none of them is there."`
	JSON   bool   `name:"json" help:"Print the line of JSON alone."`
}

type sizeLine struct {
	Sizes   []testserver.Footprint `json:"sizes"`
	Memory  []float64              `json:"memory_ratio"` // to that of the smallest
	Ready   []float64              `json:"ready_ratio"`
	Tier    bool                   `json:"tier"`
	Highest float64                `json:"highest_mb"`
}

// Run is called by the command line.
func (r *sizeRun) Run() error {
	out := sizeLine{Tier: r.Tier}
	var b strings.Builder
	for _, n := range []int{10, 300, 1024} {
		dir, err := os.MkdirTemp("", "experiment-size")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		s, err := testserver.MeasureLarge(dir, []string{r.Router}, nil, n, 32, 256, r.Tier)
		if err != nil {
			return err
		}
		out.Sizes = append(out.Sizes, s)
		out.Memory = append(out.Memory, round(s.ResidentMB/out.Sizes[0].ResidentMB))
		out.Ready = append(out.Ready, round(s.ReadyMs/out.Sizes[0].ReadyMs))
		out.Highest = max(out.Highest, s.ResidentMB)
		fmt.Fprintf(&b, "%4d routers and caches: ready after %.0f ms, %.1f MB resident, %d descriptors\n", n, s.ReadyMs, s.ResidentMB,
			s.Descriptors)
	}
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if out.Highest > 32 {
		return errMissed
	}
	return nil
}
