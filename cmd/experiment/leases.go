package main

import (
	"fmt"
	"strings"

	"threadrun/simulation/cluster"
)

// leasesRun is the experiment 'duties': many routers share leases while some of them die.
type leasesRun struct {
	Routers   int     `default:"16" help:"Routers of the cluster."`
	Leases    int     `name:"duties" default:"2000" help:"Leases that they share."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, in each direction."`
	Kills     int     `default:"3" help:"Routers killed without notice, one after another, each restarted later."`
	KillShare float64 `default:"0" help:"Share of the routers killed at one time, a third into the run."`
	Split     float64 `default:"0" help:"Length of a partition in halves, a third into the run, in seconds."`
	Seconds   float64 `default:"60" help:"Length of the run, in seconds of virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same result."`
	SeedNodes int     `name:"seeds" default:"0" help:"Routers that a starting one knows; 0: all know all from the start."`
	Restart   float64 `default:"6" help:"Time until a killed router restarts, in seconds."`
	Verbose   bool    `help:"Print the routers' own log lines."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`

	TakeoverP99Ms  int     `name:"takeover-p99-ms" default:"0" help:"Bound on the p99 of takeover, in ms; 0: none."`
	MaxGaps        int     `name:"undone-most" default:"-1" help:"Bound on left_undone; -1: none."`
	MaxMoved       float64 `name:"moved-most" default:"0" help:"Bound on moved_on_death; 0: none."`
	MaxFalseDeaths int     `name:"false-most" default:"-1" help:"Bound on false deaths; -1: none."`
}

type leasesResult struct {
	Routers               int         `json:"routers"`
	Leases                int         `json:"duties"`
	Loss                  float64     `json:"loss"`
	Seed                  uint32      `json:"seed"`
	TakeoverMs            percentiles `json:"takeover_ms"`
	Takeovers             int64       `json:"takeovers"`
	LongGaps              int         `json:"left_undone"`
	Duplicates            int         `json:"done_twice"`
	DuplicateShare        float64     `json:"done_twice_share"`
	Tasks                 int         `json:"works"`
	NonIdempotentAccepted int         `json:"forbidden"`
	NonIdempotentRejected int         `json:"refused"`
	MovedPerOrphan        float64     `json:"moved_on_death"`
	FalseDeaths           int         `json:"false_deaths"`
	StaleTerms            int         `json:"past_terms"`
	UniqueHoldersMs       int64       `json:"one_holder_ms"`
	ViewConvergenceMs     int64       `json:"whole_view_ms"`
	MostHeld              int         `json:"most_held"`
	LeastHeld             int         `json:"least_held"`
	DatagramsPerSecond    float64     `json:"datagrams_per_router_s"`
	BytesPerSecond        float64     `json:"bytes_per_router_s"`
	LargestDatagram       int         `json:"largest_datagram"`
}

// simulate runs the experiment.
func (r *leasesRun) simulate() leasesResult {
	span := micros(r.Seconds)
	c := simulated{
		seed:      r.Seed,
		routers:   r.Routers,
		seedNodes: r.SeedNodes,
		leases:    r.Leases,
		loss:      r.Loss,
		verbose:   r.Verbose,
	}.newCluster()
	c.ScheduleKills(r.Kills, span, micros(r.Restart))
	if r.KillShare > 0 {
		c.ScheduleMassKill(r.KillShare, span/3, micros(r.Restart))
	}
	uniqueHoldersMs := c.SchedulePartition(span/3, micros(r.Split))
	c.Run(span)
	result := leasesResult{Routers: r.Routers, Leases: r.Leases, Loss: r.Loss, Seed: r.Seed}
	result.UniqueHoldersMs = uniqueHoldersMs()
	result.addAudit(c)
	result.addHeld(c.HeldCounts())
	t := trafficOf(c)
	routerSeconds := float64(r.Routers) * r.Seconds
	result.DatagramsPerSecond = round(float64(t.datagrams) / routerSeconds)
	result.BytesPerSecond = round(float64(t.bytes) / routerSeconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

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

func (l *leasesResult) addHeld(counts []int) {
	for i, held := range counts {
		l.MostHeld = max(l.MostHeld, held)
		if i == 0 || held < l.LeastHeld {
			l.LeastHeld = held
		}
	}
}

func (l *leasesResult) text(seconds float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share %d leases for %.0f s at a loss of %.0f%% in each direction, seed %d\n",
		l.Routers, l.Leases, seconds, l.Loss*100, l.Seed)
	fmt.Fprintf(&b, "takeover: %d, p50 %d ms, p99 %d ms, longest %d ms\n",
		l.Takeovers, l.TakeoverMs.P50, l.TakeoverMs.P99, l.TakeoverMs.Max)
	fmt.Fprintf(&b, "long gaps %d, duplicate tasks %d of %d, non-idempotent ones accepted %d (%d rejected)\n",
		l.LongGaps, l.Duplicates, l.Tasks, l.NonIdempotentAccepted, l.NonIdempotentRejected)
	fmt.Fprintf(&b, "moved on a death %.2f of its own, false deaths %d, held %d to %d\n",
		l.MovedPerOrphan, l.FalseDeaths, l.LeastHeld, l.MostHeld)
	fmt.Fprintf(&b, "a router sends %.1f datagrams and %.0f bytes a second, the largest %d\n",
		l.DatagramsPerSecond, l.BytesPerSecond, l.LargestDatagram)
	return b.String()
}

// boundMissed holds a result against the bounds given by flags. No non-idempotent task may be accepted.
func (r *leasesRun) boundMissed(l *leasesResult) bool {
	switch {
	case l.NonIdempotentAccepted > 0:
		return true
	case r.TakeoverP99Ms > 0 && l.TakeoverMs.P99 > int64(r.TakeoverP99Ms):
		return true
	case r.MaxGaps >= 0 && l.LongGaps > r.MaxGaps:
		return true
	case r.MaxMoved > 0 && l.MovedPerOrphan > r.MaxMoved:
		return true
	}
	return r.MaxFalseDeaths >= 0 && l.FalseDeaths > r.MaxFalseDeaths
}

// Run is called by the command line.
func (r *leasesRun) Run() error {
	result := r.simulate()
	return report(r.JSON, result.text(r.Seconds), result, r.boundMissed(&result))
}
