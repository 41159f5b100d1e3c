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
	f := testserver.Fleet{Routers: r.Routers, Kill: r.Kill, Stall: r.Stall, Loss: r.Loss, Delay: r.Delay, Seconds: r.Seconds, Objects: r.Objects,
		Every: r.Every, Seed: r.Seed, Queries: r.Queries}
	n, lines, err := f.Play(dir, []string{r.Router}, nil)
	if err != nil {
		return err
	}
	out := fleetLine{Routers: r.Routers, Visits: n.Visits, Lost: n.Lost, Twice: n.Twice, Stale: n.Stale, TwoKeepers: n.TwoKeepers,
		NeverFull: n.NeverFull, Deferred: n.Deferred, Broken: n.Broken, TooLong: n.TooLong, FullServiceMs: spread(n.Full)}
	if a := n.Asked; a != nil {
		out.Queries, out.Complete, out.Unknown, out.Missed, out.WrongComplete = a.Queries, a.Complete, a.Unknown, a.Missed, a.WrongComplete
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %d killed at once, %d stopped, %.0f%% of their datagrams lost, all late by up to %v\n", r.Routers, r.Kill, r.Stall,
		r.Loss*100, r.Delay)
	fmt.Fprintf(&b, "%d visits: %d without an answer, %d twice, %d stale, %d deferred, %d broken by kills; two keepers for a key %d times\n", n.Visits,
		n.Lost, n.Twice, n.Stale, n.Deferred, n.Broken, n.TwoKeepers)
	fmt.Fprintf(&b, "back after %d ms (p50), %d ms at the longest, never %d\n", out.FullServiceMs.P50, out.FullServiceMs.Max, n.NeverFull)
	fmt.Fprintf(&b, "%d queries for rows, one router stopped and one killed: %d complete, %d of them wrong, %d rows missed\n", out.Queries,
		out.Complete, out.WrongComplete, out.Missed)
	for _, l := range lines {
		fmt.Fprintln(&b, l)
	}
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if n.Lost+n.Twice+n.Stale+n.TwoKeepers+n.NeverFull+out.Missed+out.WrongComplete > 0 || n.TooLong > 0 {
		return errMissed
	}
	return nil
}
