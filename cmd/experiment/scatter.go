package main

import (
	"fmt"
	"strings"

	"threadrun/internal/clock"
	"threadrun/simulation/cluster"
)

// scatterRun is the experiment 'scatter': routers query others for the records of a group while some are killed.
type scatterRun struct {
	Routers   int     `default:"16" help:"Routers of the cluster."`
	Objects   int     `name:"rows" default:"1000" help:"Objects, eight to a group."`
	Queries   int     `default:"1000" help:"Queries for the records of a group, from a quarter of the run on."`
	KillShare float64 `default:"0.3" help:"Share of the routers killed at one time, three quarters into the run."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, in each direction."`
	Seconds   float64 `default:"120" help:"Length of the run, in seconds of virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same result."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`
}

type scatterResult struct {
	Routers             int     `json:"routers"`
	Loss                float64 `json:"loss"`
	Seed                uint32  `json:"seed"`
	Queries             int     `json:"queries"`
	Complete            int     `json:"complete"`
	Missed              int     `json:"missed"`
	WrongComplete       int     `json:"wrong_complete"`
	QueriedShare        float64 `json:"asked_share"`
	QueriedShareSettled float64 `json:"asked_share_settled"` // of the second quarter's queries, when there are summaries
	MatchingShare       float64 `json:"could_match_share"`
	Duplicates          int     `json:"doubles"`
	DatagramsPerQuery   float64 `json:"datagrams_per_query"`
	DatagramsPerSecond  float64 `json:"datagrams_per_router_s"`
	LargestDatagram     int     `json:"largest_datagram"`
}

const (
	queryRequestRate  = 20 // a second at each router
	queryRestartDelay = 3 * clock.Second
)

func (r *scatterRun) simulate() scatterResult {
	span := micros(r.Seconds)
	c := simulated{seed: r.Seed, routers: r.Routers, leases: fewLeases, loss: r.Loss}.newCluster()
	c.StartWorkload(r.Objects, queryRequestRate, true)
	audit := c.StartQueries(span/4, max(span*3/4/clock.Micros(max(r.Queries, 1)), 1))
	c.Run(span / 2)
	starting := *audit
	c.Run(span * 3 / 4)
	settled := *audit
	c.ScheduleMassKill(r.KillShare, c.Now, queryRestartDelay)
	c.Run(span)
	result := scatterResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	result.addAudit(audit)
	settledQueries := float64(max(settled.Queries-starting.Queries, 1))
	result.QueriedShareSettled = round((settled.QueriedShares - starting.QueriedShares) / settledQueries)
	t := trafficOf(c)
	result.DatagramsPerSecond = t.datagramsPerSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

func (s *scatterResult) addAudit(audit *cluster.QueryAudit) {
	queries := float64(max(audit.Queries, 1))
	s.Queries = audit.Queries
	s.Complete = audit.Complete
	s.Missed = audit.Missed
	s.WrongComplete = audit.WrongComplete
	s.Duplicates = audit.Duplicates
	s.QueriedShare = round(audit.QueriedShares / queries)
	s.MatchingShare = round(audit.MatchingShares / queries)
	s.DatagramsPerQuery = round(float64(audit.Datagrams) / queries)
}

func (s *scatterResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d queries of %d routers at a loss of %.0f%%: ", s.Queries, s.Routers, s.Loss*100)
	fmt.Fprintf(&b, "%d complete, %d of these wrong, %d records missed, %d duplicates\n",
		s.Complete, s.WrongComplete, s.Missed, s.Duplicates)
	fmt.Fprintf(&b, "%.3f of the routers queried (%.3f once there are summaries), ", s.QueriedShare, s.QueriedShareSettled)
	fmt.Fprintf(&b, "%.3f had a match; %.1f datagrams a query\n", s.MatchingShare, s.DatagramsPerQuery)
	return b.String()
}

// Run is called by the command line.
func (r *scatterRun) Run() error {
	result := r.simulate()
	boundMissed := result.Missed+result.WrongComplete+result.Duplicates > 0 || result.Complete == 0
	return report(r.JSON, result.text(), result, boundMissed)
}
