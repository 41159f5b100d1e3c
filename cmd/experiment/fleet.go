package main

import (
	"fmt"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// fleetRun is the experiment 'fleet': router processes serve a load while some are killed and some are paused.
type fleetRun struct {
	Router   string        `default:"bin/threadrun" help:"Path of the router's executable."`
	Routers  int           `default:"8" help:"Number of router processes."`
	Kills    int           `default:"5" help:"Number of routers killed at one time and restarted."`
	Pauses   int           `default:"1" help:"Number of other routers, paused for three seconds."`
	MaxDelay time.Duration `default:"30ms" help:"Longest delay of a datagram between routers."`
	Loss     float64       `default:"0.1" help:"Share of the datagrams between routers that are lost."`
	Seconds  float64       `default:"24" help:"Duration of the load, in seconds of real time."`
	Objects  int           `default:"60" help:"Number of pages that are requested."`
	Interval time.Duration `default:"20ms" help:"Time between two requests to one router."`
	Queries  int           `default:"60" help:"Number of queries for records after the load, while routers fail; 0: none."`
	Seed     uint64        `default:"1" help:"Seed from which requests and purges are drawn."`
	JSON     bool          `name:"json" help:"Print only the result, as one line of JSON."`
}

// fleetResult is the result of the experiment, as described at testserver.FleetStats and testserver.QueryClient.
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

// Run runs the experiment. It is called by the command line.
func (r *fleetRun) Run() error {
	fleet := testserver.FleetRun{
		Routers:         r.Routers,
		Killed:          r.Kills,
		Paused:          r.Pauses,
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
	summary := r.summary(result) + strings.Join(append(lines, ""), "\n")
	return report(r.JSON, summary, result, result.boundMissed())
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

// boundMissed reports whether any violation was counted. Rejected and interrupted requests are not violations.
func (f *fleetResult) boundMissed() bool {
	violations := f.Unanswered + f.Duplicates + f.Stale + f.DoubleOwners + f.NeverRecovered
	return violations+f.MissedRecords+f.FalselyComplete > 0 || f.OversizedDatagrams > 0
}

func (r *fleetRun) summary(f fleetResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %d killed at one time, %d paused; ", r.Routers, r.Kills, r.Pauses)
	fmt.Fprintf(&b, "%.0f%% of the datagrams between routers lost, all delayed by up to %v\n", r.Loss*100, r.MaxDelay)
	fmt.Fprintf(&b, "%d requests: %d unanswered, %d duplicates, %d stale, %d rejected, %d interrupted by kills; ",
		f.Requests, f.Unanswered, f.Duplicates, f.Stale, f.Rejected, f.Interrupted)
	fmt.Fprintf(&b, "two owners of one key %d times\n", f.DoubleOwners)
	fmt.Fprintf(&b, "recovered after %d ms (p50), %d ms (longest); %d routers never recovered\n",
		f.RecoveryMs.P50, f.RecoveryMs.Max, f.NeverRecovered)
	fmt.Fprintf(&b, "%d queries for records while one router is paused, then one killed: ", f.Queries)
	fmt.Fprintf(&b, "%d complete (%d falsely), %d records missed\n", f.Complete, f.FalselyComplete, f.MissedRecords)
	return b.String()
}
