package main

import (
	"fmt"
	"strings"

	"threadrun/internal/clock"
	"threadrun/simulation/cluster"
)

// scatterRun is the experiment 'scatter': simulated routers query others for the records of a group while some are
// killed.
type scatterRun struct {
	Routers   int     `default:"16" help:"Number of routers in the cluster."`
	Objects   int     `default:"1000" help:"Number of objects, eight in each group."`
	Queries   int     `default:"1000" help:"Number of queries for the records of a group, after a quarter of the run."`
	KillShare float64 `default:"0.3" help:"Share of the routers killed at one time, after three quarters of the run."`
	Loss      float64 `default:"0" help:"Share of the datagrams lost, in each direction."`
	Seconds   float64 `default:"120" help:"Duration of the run, in seconds of virtual time."`
	Seed      uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	JSON      bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// scatterResult is the result of the experiment. The counts are described at cluster.QueryAudit.
type scatterResult struct {
	Routers                  int     `json:"routers"`
	Loss                     float64 `json:"loss"`
	Seed                     uint32  `json:"seed"`
	Queries                  int     `json:"queries"`
	Complete                 int     `json:"complete"`
	MissedRecords            int     `json:"missed_records"`
	FalselyComplete          int     `json:"falsely_complete"`
	QueriedShare             float64 `json:"queried_share"`         // of the routers, mean over the queries
	QueriedShareSettled      float64 `json:"queried_share_settled"` // once routers have summaries, until the kill
	MatchingShare            float64 `json:"matching_share"`        // of the routers: with a matching record
	Duplicates               int     `json:"duplicates"`
	DatagramsPerQuery        float64 `json:"datagrams_per_query"`
	DatagramsPerRouterSecond float64 `json:"datagrams_per_router_s"`
	LargestDatagram          int     `json:"largest_datagram_bytes"`
}

const (
	queryRequestRate  = 20               // requests per second at each router
	queryRestartDelay = 3 * clock.Second // from the kill of a router until it restarts
)

// simulate runs the cluster with the queries and the kill, and returns the result.
func (r *scatterRun) simulate() scatterResult {
	span := micros(r.Seconds)
	c := clusterConfig{seed: r.Seed, routers: r.Routers, leases: defaultLeases, loss: r.Loss}.newCluster()
	c.StartWorkload(r.Objects, queryRequestRate, true)
	audit := c.StartQueries(span/4, max(span*3/4/clock.Micros(max(r.Queries, 1)), 1))
	c.Run(span / 2)
	beforeSummaries := *audit // queries until now were sent by routers without summaries
	c.Run(span * 3 / 4)
	beforeKill := *audit
	c.ScheduleMassKill(r.KillShare, c.Now, queryRestartDelay)
	c.Run(span)
	result := scatterResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	result.addAudit(audit)
	settledQueries := float64(max(beforeKill.Queries-beforeSummaries.Queries, 1))
	result.QueriedShareSettled = round((beforeKill.QueriedShares - beforeSummaries.QueriedShares) / settledQueries)
	t := trafficOf(c)
	result.DatagramsPerRouterSecond = t.datagramsPerRouterSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

// addAudit adds what the audit of the queries has counted.
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

func (s *scatterResult) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d queries, %d routers, %.0f%% of the datagrams lost in each direction: ",
		s.Queries, s.Routers, s.Loss*100)
	fmt.Fprintf(&b, "%d complete (%d falsely), %d records missed, %d duplicates\n",
		s.Complete, s.FalselyComplete, s.MissedRecords, s.Duplicates)
	fmt.Fprintf(&b, "share of the routers queried %.3f (%.3f once routers have summaries), ",
		s.QueriedShare, s.QueriedShareSettled)
	fmt.Fprintf(&b, "share with a matching record %.3f; %.1f datagrams per query\n", s.MatchingShare, s.DatagramsPerQuery)
	return b.String()
}

// Run runs the experiment. It is called by the command line.
func (r *scatterRun) Run() error {
	result := r.simulate()
	boundMissed := result.MissedRecords+result.FalselyComplete+result.Duplicates > 0 || result.Complete == 0
	return report(r.JSON, result.summary(), result, boundMissed)
}
