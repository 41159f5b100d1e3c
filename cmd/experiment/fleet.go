package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// fleetRun is the command 'experiment fleet'.
type fleetRun struct {
	Router  string        `default:"bin/threadrun" help:"The router's program."`
	Routers int           `default:"8" help:"Router processes."`
	Kill    int           `default:"5" help:"Of them killed at one moment and started anew."`
	Stall   int           `default:"1" help:"Of the rest, stopped for three seconds."`
	Delay   time.Duration `default:"30ms" help:"The most that the relay holds a datagram back."`
	Loss    float64       `default:"0.1" help:"Share of datagrams that the relay loses."`
	Seconds float64       `default:"24" help:"Length of the load, in real time."`
	Objects int           `default:"60" help:"Pages that are asked for."`
	Every   time.Duration `default:"20ms" help:"Between two visits at one router."`
	Queries int           `default:"60" help:"For rows, once the load has ended, while one router is stopped and then one is killed; 0: none."`
	Seed    uint64        `default:"1" help:"Of the visits and purges."`
	JSON    bool          `name:"json" help:"Print the line of JSON alone."`
}

type fleetLine struct {
	Routers       int         `json:"routers"`
	Visits        int         `json:"visits"`
	Lost          int         `json:"lost"`
	Twice         int         `json:"twice"`
	Stale         int         `json:"stale"`
	TwoKeepers    int         `json:"two_keepers"`
	NeverFull     int         `json:"never_full"`
	Deferred      int         `json:"deferred"`
	Broken        int         `json:"broken_by_kills"`
	Queries       int         `json:"queries"`
	Complete      int         `json:"complete"`
	Unknown       int         `json:"under_another_map"` // complete, under a map that the asker has not seen: not checked
	Missed        int         `json:"missed"`
	WrongComplete int         `json:"wrong_complete"`
	TooLong       int64       `json:"datagrams_over_256"`
	FullServiceMs percentiles `json:"full_service_ms"`
}

// Run is called by the command line.
func (r *fleetRun) Run() error {
	dir, err := os.MkdirTemp("", "experiment-fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := testserver.FleetRun{Routers: r.Routers, Killed: r.Kill, Stalled: r.Stall, Loss: r.Loss, Delay: r.Delay, Seconds: r.Seconds, Objects: r.Objects,
		RequestInterval: r.Every, Seed: r.Seed, Queries: r.Queries}
	n, lines, err := f.Run(dir, []string{r.Router}, nil)
	if err != nil {
		return err
	}
	out := fleetLine{Routers: r.Routers, Visits: n.Requests, Lost: n.Unanswered, Twice: n.Duplicates, Stale: n.Stale, TwoKeepers: n.DoubleOwners,
		NeverFull: n.NeverRecovered, Deferred: n.Rejected, Broken: n.Interrupted, TooLong: n.OversizedDatagrams, FullServiceMs: spread(n.RecoveryTime)}
	if a := n.Queries; a != nil {
		out.Queries, out.Complete, out.Unknown, out.Missed, out.WrongComplete = a.Queries, a.Complete, a.UnknownMaps, a.MissedRecords, a.FalselyComplete
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %d killed at once, %d stopped, %.0f%% of their datagrams lost, all late by up to %v\n", r.Routers, r.Kill, r.Stall,
		r.Loss*100, r.Delay)
	fmt.Fprintf(&b, "%d visits: %d without an answer, %d twice, %d stale, %d deferred, %d broken by kills; two keepers for a key %d times\n", n.Requests,
		n.Unanswered, n.Duplicates, n.Stale, n.Rejected, n.Interrupted, n.DoubleOwners)
	fmt.Fprintf(&b, "back after %d ms (p50), %d ms at the longest, never %d\n", out.FullServiceMs.P50, out.FullServiceMs.Max, n.NeverRecovered)
	fmt.Fprintf(&b, "%d queries for rows, one router stopped and one killed: %d complete, %d of them wrong, %d rows missed\n", out.Queries,
		out.Complete, out.WrongComplete, out.Missed)
	for _, l := range lines {
		fmt.Fprintln(&b, l)
	}
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if n.Unanswered+n.Duplicates+n.Stale+n.DoubleOwners+n.NeverRecovered+out.Missed+out.WrongComplete > 0 || n.OversizedDatagrams > 0 {
		return errMissed
	}
	return nil
}
