package main

import (
	"fmt"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// fleetRun is the experiment 'fleet': router processes under a load, of which some are killed and some paused.
type fleetRun struct {
	Router   string        `default:"bin/threadrun" help:"The router's program."`
	Routers  int           `default:"8" help:"Router processes."`
	Kill     int           `default:"5" help:"Of them, killed at one time and restarted."`
	Stall    int           `default:"1" help:"Of the rest, paused for three seconds."`
	Delay    time.Duration `default:"30ms" help:"The longest that the relay holds a datagram back."`
	Loss     float64       `default:"0.1" help:"Share of datagrams that the relay loses."`
	Seconds  float64       `default:"24" help:"Length of the load, in seconds of real time."`
	Objects  int           `default:"60" help:"Pages that are requested."`
	Interval time.Duration `name:"every" default:"20ms" help:"Time between two requests at one router."`
	Queries  int           `default:"60" help:"Queries for records after the load, while routers fail; 0: none."`
	Seed     uint64        `default:"1" help:"Seed of the requests and purges."`
	JSON     bool          `name:"json" help:"Print the line of JSON alone."`
}

type fleetResult struct {
	Routers            int         `json:"routers"`
	Requests           int         `json:"visits"`
	Unanswered         int         `json:"lost"`
	Duplicates         int         `json:"twice"`
	Stale              int         `json:"stale"`
	DoubleOwners       int         `json:"two_keepers"`
	NeverRecovered     int         `json:"never_full"`
	Rejected           int         `json:"deferred"`
	Interrupted        int         `json:"broken_by_kills"`
	Queries            int         `json:"queries"`
	Complete           int         `json:"complete"`
	UnknownMaps        int         `json:"under_another_map"` // complete, under a map that the client does not know
	MissedRecords      int         `json:"missed"`
	FalselyComplete    int         `json:"wrong_complete"`
	OversizedDatagrams int64       `json:"datagrams_over_256"`
	RecoveryMs         percentiles `json:"full_service_ms"`
}

// Run is called by the command line.
func (r *fleetRun) Run() error {
	fleet := testserver.FleetRun{
		Routers:         r.Routers,
		Killed:          r.Kill,
		Stalled:         r.Stall,
		Loss:            r.Loss,
		Delay:           r.Delay,
		Seconds:         r.Seconds,
		Objects:         r.Objects,
		RequestInterval: r.Interval,
		Seed:            r.Seed,
		Queries:         r.Queries,
	}
	var stats testserver.FleetStats
	var lines []string
	err := withTempDir("fleet", func(dir string) error {
		var err error
		stats, lines, err = fleet.Run(dir, []string{r.Router}, nil)
		return err
	})
	if err != nil {
		return err
	}
	result := newFleetResult(r.Routers, &stats)
	text := r.text(result) + strings.Join(append(lines, ""), "\n")
	return report(r.JSON, text, result, result.boundMissed())
}

func newFleetResult(routers int, stats *testserver.FleetStats) fleetResult {
	result := fleetResult{
		Routers:            routers,
		Requests:           stats.Requests,
		Unanswered:         stats.Unanswered,
		Duplicates:         stats.Duplicates,
		Stale:              stats.Stale,
		DoubleOwners:       stats.DoubleOwners,
		NeverRecovered:     stats.NeverRecovered,
		Rejected:           stats.Rejected,
		Interrupted:        stats.Interrupted,
		OversizedDatagrams: stats.OversizedDatagrams,
		RecoveryMs:         percentilesOf(stats.RecoveryTime),
	}
	if q := stats.Queries; q != nil {
		result.Queries = q.Queries
		result.Complete = q.Complete
		result.UnknownMaps = q.UnknownMaps
		result.MissedRecords = q.MissedRecords
		result.FalselyComplete = q.FalselyComplete
	}
	return result
}

func (f *fleetResult) boundMissed() bool {
	violations := f.Unanswered + f.Duplicates + f.Stale + f.DoubleOwners + f.NeverRecovered
	return violations+f.MissedRecords+f.FalselyComplete > 0 || f.OversizedDatagrams > 0
}

func (r *fleetRun) text(f fleetResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %d killed at once, %d paused, %.0f%% of their datagrams lost, all late by up to %v\n",
		r.Routers, r.Kill, r.Stall, r.Loss*100, r.Delay)
	fmt.Fprintf(&b, "%d requests: %d unanswered, %d duplicates, %d stale, %d rejected, %d interrupted by kills; ",
		f.Requests, f.Unanswered, f.Duplicates, f.Stale, f.Rejected, f.Interrupted)
	fmt.Fprintf(&b, "two owners of a key %d times\n", f.DoubleOwners)
	fmt.Fprintf(&b, "recovered after %d ms (p50), %d ms at the longest, never %d\n",
		f.RecoveryMs.P50, f.RecoveryMs.Max, f.NeverRecovered)
	fmt.Fprintf(&b, "%d queries for records, one router paused and one killed: ", f.Queries)
	fmt.Fprintf(&b, "%d complete, %d of them wrong, %d records missed\n", f.Complete, f.FalselyComplete, f.MissedRecords)
	return b.String()
}
