package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/simulation/cluster"
)

// scatterRun is the command 'experiment scatter'.
type scatterRun struct {
	Routers   int     `default:"16" help:"Routers of the tier, each a site."`
	Rows      int     `default:"1000" help:"Objects, eight to a group."`
	Queries   int     `default:"1000" help:"Queries for the rows of a group, from a quarter of the run on."`
	KillShare float64 `default:"0.3" help:"Share of the routers killed at one moment, three quarters into the run."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, each way."`
	Seconds   float64 `default:"120" help:"Length of the run, in virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same line."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`
}

type scatterLine struct {
	Routers           int     `json:"routers"`
	Loss              float64 `json:"loss"`
	Seed              uint32  `json:"seed"`
	Queries           int     `json:"queries"`
	Complete          int     `json:"complete"`
	Missed            int     `json:"missed"`
	WrongComplete     int     `json:"wrong_complete"`
	Asked             float64 `json:"asked_share"`
	AskedSettled      float64 `json:"asked_share_settled"` // of the queries of the second quarter, when summaries are there
	Could             float64 `json:"could_match_share"`
	Doubles           int     `json:"doubles"`
	DatagramsPerQuery float64 `json:"datagrams_per_query"`
	DatagramsPerSec   float64 `json:"datagrams_per_router_s"`
	LargestDatagram   int     `json:"largest_datagram"`
}

// Run is called by the command line.
func (r *scatterRun) Run() error {
	span := clock.Micros(r.Seconds * float64(clock.Second))
	c := cluster.New(r.Seed, r.Routers, 0, lease.Partitions{Refresh: 64}, cluster.DefaultNetwork(r.Loss), workEvery)
	c.DatagramOverhead = peers.Overhead
	c.StartWorkload(r.Rows, 20, true)
	a := c.StartQueries(span/4, max(span*3/4/clock.Micros(max(r.Queries, 1)), 1))
	c.Run(span / 2)
	was := *a
	c.Run(span * 3 / 4)
	settled := *a
	c.ScheduleMassKill(r.KillShare, c.Now, 3*clock.Second)
	c.Run(span)
	n := float64(max(a.Queries, 1))
	out := scatterLine{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed, Queries: a.Queries, Complete: a.Complete, Missed: a.Missed,
		WrongComplete: a.WrongComplete, Asked: round(a.QueriedShares / n), Could: round(a.MatchingShares / n), Doubles: a.Duplicates,
		AskedSettled:      round((settled.QueriedShares - was.QueriedShares) / float64(max(settled.Queries-was.Queries, 1))),
		DatagramsPerQuery: round(float64(a.Datagrams) / n)}
	out.DatagramsPerSec, out.LargestDatagram = sent(c, r.Seconds)
	var b strings.Builder
	fmt.Fprintf(&b, "%d queries over %d sites at a loss of %.0f%%: %d complete, %d of these wrong, %d rows missed, %d doubles\n", out.Queries,
		r.Routers, r.Loss*100, out.Complete, out.WrongComplete, out.Missed, out.Doubles)
	fmt.Fprintf(&b, "%.3f of the sites asked (%.3f once summaries are there), %.3f could match; %.1f datagrams a query\n", out.Asked,
		out.AskedSettled, out.Could, out.DatagramsPerQuery)
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if out.Missed+out.WrongComplete+out.Doubles > 0 || out.Complete == 0 {
		return errMissed
	}
	return nil
}
