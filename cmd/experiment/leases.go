package main

import (
	"fmt"
	"strings"

	"threadrun/simulation/cluster"
)

// leasesRun is the experiment 'leases': simulated routers share leases while some of them are killed.
type leasesRun struct {
	Routers      int     `default:"16" help:"Number of routers in the cluster."`
	Leases       int     `default:"2000" help:"Number of leases that the routers share."`
	Loss         float64 `default:"0" help:"Share of the datagrams lost, in each direction."`
	Kills        int     `default:"3" help:"Routers killed without shutdown at even intervals, each restarted later."`
	KillShare    float64 `default:"0" help:"Share of the routers killed at one time, after a third of the run."`
	Partition    float64 `default:"0" help:"Duration of a partition into halves after a third of the run, in seconds."`
	Seconds      float64 `default:"60" help:"Duration of the run, in seconds of virtual time."`
	Seed         uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	SeedNodes    int     `default:"0" help:"Number of routers that a starting router knows; 0: all others."`
	RestartDelay float64 `default:"6" help:"Time until a killed router restarts, in seconds."`
	Verbose      bool    `help:"Print the routers' log lines."`
	JSON         bool    `name:"json" help:"Print only the result, as one line of JSON."`

	MaxTakeoverP99Ms int64   `name:"max-takeover-p99-ms" default:"0" help:"Upper bound on takeover_ms.p99; 0: none."`
	MaxLongGaps      int     `default:"-1" help:"Upper bound on long_gaps; -1: none."`
	MaxMoved         float64 `default:"0" help:"Upper bound on moved_per_orphan; 0: none."`
	MaxFalseDeaths   int     `default:"-1" help:"Upper bound on false_deaths; -1: none."`
}

// leasesResult is the result of the experiment. Most fields are described at cluster.LeaseAudit.
type leasesResult struct {
	Routers                  int         `json:"routers"`
	Leases                   int         `json:"leases"`
	Loss                     float64     `json:"loss"`
	Seed                     uint32      `json:"seed"`
	TakeoverMs               percentiles `json:"takeover_ms"`
	Takeovers                int64       `json:"takeovers"`
	LongGaps                 int         `json:"long_gaps"`
	Duplicates               int         `json:"duplicates"`
	DuplicateShare           float64     `json:"duplicate_share"`
	Tasks                    int         `json:"tasks"`
	NonIdempotentAccepted    int         `json:"non_idempotent_accepted"`
	NonIdempotentRejected    int         `json:"non_idempotent_rejected"`
	MovedPerOrphan           float64     `json:"moved_per_orphan"` // cluster.LeaseAudit.Moved over Orphaned
	FalseDeaths              int         `json:"false_deaths"`
	StaleTerms               int         `json:"stale_terms"`
	UniqueHoldersMs          int64       `json:"unique_holders_ms"` // see cluster.Cluster.SchedulePartition
	ViewConvergenceMs        int64       `json:"view_convergence_ms"`
	MostHeld                 int         `json:"most_held"` // leases held by one router at the end
	LeastHeld                int         `json:"least_held"`
	DatagramsPerRouterSecond float64     `json:"datagrams_per_router_s"`
	BytesPerRouterSecond     float64     `json:"bytes_per_router_s"`
	LargestDatagram          int         `json:"largest_datagram_bytes"`
}

// simulate runs the cluster with the kills and the partition, and returns the result.
func (r *leasesRun) simulate() leasesResult {
	span := micros(r.Seconds)
	c := clusterConfig{
		seed:      r.Seed,
		routers:   r.Routers,
		seedNodes: r.SeedNodes,
		leases:    r.Leases,
		loss:      r.Loss,
		verbose:   r.Verbose,
	}.newCluster()
	c.ScheduleKills(r.Kills, span, micros(r.RestartDelay))
	if r.KillShare > 0 {
		c.ScheduleMassKill(r.KillShare, span/3, micros(r.RestartDelay))
	}
	uniqueHoldersMs := c.SchedulePartition(span/3, micros(r.Partition))
	c.Run(span)
	result := leasesResult{Routers: r.Routers, Leases: r.Leases, Loss: r.Loss, Seed: r.Seed}
	result.UniqueHoldersMs = uniqueHoldersMs()
	result.addAudit(c)
	result.addHeldRange(c.HeldCounts())
	t := trafficOf(c)
	routerSeconds := float64(r.Routers) * r.Seconds
	result.DatagramsPerRouterSecond = round(float64(t.datagrams) / routerSeconds)
	result.BytesPerRouterSecond = round(float64(t.bytes) / routerSeconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

// addAudit adds what the audit of the leases has counted.
func (l *leasesResult) addAudit(c *cluster.Cluster) {
	audit := c.Leases
	l.TakeoverMs = percentilesOf(audit.Takeover)
	l.Takeovers = audit.Takeover.TotalCount()
	l.LongGaps = audit.LongGaps + audit.OpenGaps(c.Now)
	l.Duplicates = audit.Duplicates
	l.DuplicateShare = ratio(audit.Duplicates, audit.TasksDone)
	l.Tasks = audit.TasksDone
	l.NonIdempotentAccepted = audit.NonIdempotentAccepted
	l.NonIdempotentRejected = audit.NonIdempotentRejected
	l.MovedPerOrphan = ratio(audit.Moved, audit.Orphaned)
	l.FalseDeaths = audit.FalseDeaths
	l.StaleTerms = audit.StaleTerms
	l.ViewConvergenceMs = audit.ViewConvergenceMs
}

// addHeldRange sets MostHeld and LeastHeld from the number of leases that each router holds.
func (l *leasesResult) addHeldRange(counts []int) {
	for i, held := range counts {
		l.MostHeld = max(l.MostHeld, held)
		if i == 0 || held < l.LeastHeld {
			l.LeastHeld = held
		}
	}
}

func (l *leasesResult) summary(seconds float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share %d leases for %.0f s, %.0f%% of the datagrams lost in each direction, seed %d\n",
		l.Routers, l.Leases, seconds, l.Loss*100, l.Seed)
	fmt.Fprintf(&b, "%d takeovers after %d ms (p50), %d ms (p99), %d ms (longest)\n",
		l.Takeovers, l.TakeoverMs.P50, l.TakeoverMs.P99, l.TakeoverMs.Max)
	fmt.Fprintf(&b, "long gaps %d, duplicate tasks %d of %d, non-idempotent tasks accepted %d (%d rejected)\n",
		l.LongGaps, l.Duplicates, l.Tasks, l.NonIdempotentAccepted, l.NonIdempotentRejected)
	fmt.Fprintf(&b, "leases moved per lease of a dead router: %.2f; false deaths %d; a router holds %d to %d leases\n",
		l.MovedPerOrphan, l.FalseDeaths, l.LeastHeld, l.MostHeld)
	fmt.Fprintf(&b, "each router sends %.1f datagrams and %.0f bytes a second; the largest datagram has %d bytes\n",
		l.DatagramsPerRouterSecond, l.BytesPerRouterSecond, l.LargestDatagram)
	return b.String()
}

// boundMissed reports whether a result exceeds a bound given by flags, or counts an accepted non-idempotent task:
// a task that must not run twice.
func (r *leasesRun) boundMissed(l *leasesResult) bool {
	switch {
	case l.NonIdempotentAccepted > 0:
		return true
	case r.MaxTakeoverP99Ms > 0 && l.TakeoverMs.P99 > r.MaxTakeoverP99Ms:
		return true
	case r.MaxLongGaps >= 0 && l.LongGaps > r.MaxLongGaps:
		return true
	case r.MaxMoved > 0 && l.MovedPerOrphan > r.MaxMoved:
		return true
	}
	return r.MaxFalseDeaths >= 0 && l.FalseDeaths > r.MaxFalseDeaths
}

// Run runs the experiment. It is called by the command line.
func (r *leasesRun) Run() error {
	result := r.simulate()
	return report(r.JSON, result.summary(r.Seconds), result, r.boundMissed(&result))
}
