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
	Objects   int     `default:"1000" help:"Objects, eight to a group."`
	Queries   int     `default:"1000" help:"Queries for the records of a group, from a quarter of the run on."`
	KillShare float64 `default:"0.3" help:"Share of the routers killed at one time, three quarters into the run."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, in each direction."`
	Seconds   float64 `default:"120" help:"Length of the run, in seconds of virtual time."`
	Seed      uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	JSON      bool    `name:"json" help:"Print only the line of JSON."`
}

type scatterResult struct {
	Routers                  int     `json:"routers"`
	Loss                     float64 `json:"loss"`
	Seed                     uint32  `json:"seed"`
	Queries                  int     `json:"queries"`
	Complete                 int     `json:"complete"`
	MissedRecords            int     `json:"missed_records"`
	FalselyComplete          int     `json:"falsely_complete"`
	QueriedShare             float64 `json:"queried_share"`
	QueriedShareSettled      float64 `json:"queried_share_settled"` // once routers have summaries
	MatchingShare            float64 `json:"matching_share"`
	Duplicates               int     `json:"duplicates"`
	DatagramsPerQuery        float64 `json:"datagrams_per_query"`
	DatagramsPerRouterSecond float64 `json:"datagrams_per_router_s"`
	LargestDatagram          int     `json:"largest_datagram_bytes"`
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
	starting := *audit // until now routers lack summaries
	c.Run(span * 3 / 4)
	settled := *audit
	c.ScheduleMassKill(r.KillShare, c.Now, queryRestartDelay)
	c.Run(span)
	result := scatterResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	result.addAudit(audit)
	settledQueries := float64(max(settled.Queries-starting.Queries, 1))
	result.QueriedShareSettled = round((settled.QueriedShares - starting.QueriedShares) / settledQueries)
	t := trafficOf(c)
	result.DatagramsPerRouterSecond = t.datagramsPerRouterSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

func (s *scatterResult) addAudit(audit *cluster.QueryAudit) {
	queries := float64(max(audit.Queries, 1))
	s.Queries = audit.Queries
	s.Complete = audit.Complete
	s.MissedRecords = audit.MissedRecords
	s.FalselyComplete = audit.FalselyComplete
	s.Duplicates = audit.Duplicates
	s.QueriedShare = round(audit.QueriedShares / queries)
	s.MatchingShare = round(audit.MatchingShares / queries)
	s.DatagramsPerQuery = round(float64(audit.Datagrams) / queries)
}

func (s *scatterResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d queries, %d routers, %.0f%% of datagrams lost in each direction: ",
		s.Queries, s.Routers, s.Loss*100)
	fmt.Fprintf(&b, "%d complete (%d falsely), %d records missed, %d duplicates\n",
		s.Complete, s.FalselyComplete, s.MissedRecords, s.Duplicates)
	fmt.Fprintf(&b, "share of the routers queried %.3f (%.3f once they have summaries), ",
		s.QueriedShare, s.QueriedShareSettled)
	fmt.Fprintf(&b, "with a match %.3f; %.1f datagrams a query\n", s.MatchingShare, s.DatagramsPerQuery)
	return b.String()
}

// Run is called by the command line.
func (r *scatterRun) Run() error {
	result := r.simulate()
	boundMissed := result.MissedRecords+result.FalselyComplete+result.Duplicates > 0 || result.Complete == 0
	return report(r.JSON, result.text(), result, boundMissed)
}
