package main

import (
	"fmt"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// fleetRun is the experiment 'fleet': router processes under a load while some are killed and some paused.
type fleetRun struct {
	Router   string        `default:"bin/threadrun" help:"Path of the router's executable."`
	Routers  int           `default:"8" help:"Router processes."`
	Kills    int           `default:"5" help:"Routers killed at one time and restarted."`
	Pauses   int           `default:"1" help:"Other routers, paused for three seconds."`
	MaxDelay time.Duration `default:"30ms" help:"The longest delay of a datagram in the relay."`
	Loss     float64       `default:"0.1" help:"Share of datagrams that the relay loses."`
	Seconds  float64       `default:"24" help:"Length of the load, in seconds of real time."`
	Objects  int           `default:"60" help:"Pages that are requested."`
	Interval time.Duration `default:"20ms" help:"Time between two requests at one router."`
	Queries  int           `default:"60" help:"Queries for records after the load, while routers fail; 0: none."`
	Seed     uint64        `default:"1" help:"Seed of the requests and purges."`
	JSON     bool          `name:"json" help:"Print only the line of JSON."`
}

type fleetResult struct {
	Routers            int         `json:"routers"`
	Requests           int         `json:"requests"`
	Unanswered         int         `json:"unanswered"`
	Duplicates         int         `json:"duplicates"`
	Stale              int         `json:"stale"`
	DoubleOwners       int         `json:"double_owners"`
	NeverRecovered     int         `json:"never_recovered"`
	Rejected           int         `json:"rejected"`
	Interrupted        int         `json:"interrupted"`
	Queries            int         `json:"queries"`
	Complete           int         `json:"complete"`
	UnknownMaps        int         `json:"unknown_maps"` // complete, under a map that the client does not know
	MissedRecords      int         `json:"missed_records"`
	FalselyComplete    int         `json:"falsely_complete"`
	OversizedDatagrams int64       `json:"oversized_datagrams"`
	RecoveryMs         percentiles `json:"recovery_ms"`
}

// Run is called by the command line.
func (r *fleetRun) Run() error {
	fleet := testserver.FleetRun{
		Routers:         r.Routers,
		Killed:          r.Kills,
		Stalled:         r.Pauses,
		Loss:            r.Loss,
		Delay:           r.MaxDelay,
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
	fmt.Fprintf(&b, "%d routers, %d killed at one time, %d paused; ", r.Routers, r.Kills, r.Pauses)
	fmt.Fprintf(&b, "%.0f%% of their datagrams lost, all delayed by up to %v\n", r.Loss*100, r.MaxDelay)
	fmt.Fprintf(&b, "%d requests: %d unanswered, %d duplicates, %d stale, %d rejected, %d interrupted by kills; ",
		f.Requests, f.Unanswered, f.Duplicates, f.Stale, f.Rejected, f.Interrupted)
	fmt.Fprintf(&b, "two owners of one key %d times\n", f.DoubleOwners)
	fmt.Fprintf(&b, "recovered after %d ms (p50), %d ms (longest), never %d\n",
		f.RecoveryMs.P50, f.RecoveryMs.Max, f.NeverRecovered)
	fmt.Fprintf(&b, "%d queries for records, one router paused and one killed: ", f.Queries)
	fmt.Fprintf(&b, "%d complete (%d falsely), %d records missed\n", f.Complete, f.FalselyComplete, f.MissedRecords)
	return b.String()
}
