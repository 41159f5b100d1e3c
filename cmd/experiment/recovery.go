package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/fleetsize"
	"threadrun/cluster/recovery"
	"threadrun/simulation/cluster"
)

// recoveryRun is the experiment 'recovery': most routers of a simulated cluster are killed at one time and restart.
type recoveryRun struct {
	Routers           int     `default:"16" help:"Number of routers in the cluster."`
	KillShare         float64 `default:"0.7" help:"Share of the routers killed at one time, after half of the run."`
	KillAll           bool    `help:"Kill all routers, so that no records are left to recover from."`
	WithoutRecords    bool    `help:"Run only without records; by default, without and then with records."`
	Objects           int     `default:"1000" help:"Number of objects that are requested."`
	RequestRate       int     `default:"20" help:"Requests per second at each router."`
	RestartDelay      float64 `default:"3" help:"Time from the kill of a router until it restarts, in seconds."`
	Loss              float64 `default:"0.1" help:"Share of the datagrams lost, in each direction."`
	Seconds           float64 `default:"100" help:"Duration of the run, in seconds of virtual time."`
	Seed              uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	CacheRestartShare float64 `default:"0" help:"Share of the caches that restart empty when the routers are killed."`
	SiblingLookup     bool    `help:"Let routers query others for caches that have an object; with records only."`
	SharedCapacity    bool    `help:"Let the routers that are up share limits on load; with records only."`
	Verbose           bool    `help:"Print the routers' log lines."`
	JSON              bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// recoveryResult is the result of the experiment. Fields that are not in WithoutRecords are of the run with
// records, if there is one.
type recoveryResult struct {
	Routers int     `json:"routers"`
	Loss    float64 `json:"loss"`
	Seed    uint32  `json:"seed"`
	recoveryMeasures
	WithoutRecords           recoveryMeasures `json:"without_records"`
	OnTimeShareBefore        float64          `json:"on_time_share_before"`
	HitShareBefore           float64          `json:"hit_share_before"`
	Duplicates               int              `json:"duplicates"`
	Overloads                int              `json:"overloads"`  // of cold caches: more requests than they can serve
	PeakPages                uint64           `json:"peak_pages"` // of records, sent by one router in one second
	Stale                    int              `json:"stale"`
	UsableCopies             int              `json:"usable_copies"`
	RecoveredShare           float64          `json:"recovered_share"` // of the objects, by a restarted router
	KnownShare               float64          `json:"known_share"`     // of requests: the router knew the object
	NotRecovered             int              `json:"not_recovered"`   // routers whose recovery has not ended
	DatagramsPerRouterSecond float64          `json:"datagrams_per_router_s"`
	LargestDatagram          int              `json:"largest_datagram_bytes"`
}

// recoveryMeasures are taken in a run with records and in one without.
type recoveryMeasures struct {
	FullServiceMs    percentiles `json:"full_service_ms"`    // cluster.Service.FullService
	NeverFullService int         `json:"never_full_service"` // number of cohorts of restarted routers
	RelearnedMs      percentiles `json:"relearned_ms"`       // cluster.Workload.Relearned
	ParentPeakRatio  float64     `json:"parent_peak_ratio"`  // most fills in one second over the rate before the kill
	OriginPeakRatio  float64     `json:"origin_peak_ratio"`
	OnTimeShare      float64     `json:"on_time_share"` // after the kill
	HitShare         float64     `json:"hit_share"`
}

// newRecoveryMeasures takes the measures of a completed run.
func newRecoveryMeasures(w *cluster.Workload) recoveryMeasures {
	s := w.Service
	after := &s.Served[cluster.AfterDisruption]
	return recoveryMeasures{
		FullServiceMs:    percentilesOf(s.FullService),
		NeverFullService: s.NeverFullService,
		RelearnedMs:      percentilesOf(w.Relearned),
		ParentPeakRatio:  peakRatio(s, cluster.Parents),
		OriginPeakRatio:  peakRatio(s, cluster.Origin),
		OnTimeShare:      round(after.OnTimeShare()),
		HitShare:         round(after.HitShare()),
	}
}

// simulate runs the cluster. If records is false, routers keep no records.
func (r *recoveryRun) simulate(records bool) (*cluster.Cluster, *cluster.Workload) {
	c := clusterConfig{
		seed: r.Seed, routers: r.Routers, leases: defaultLeases, loss: r.Loss, verbose: r.Verbose,
	}.newCluster()
	w := c.StartWorkload(r.Objects, r.RequestRate, records)
	w.AddService(r.Seed)
	if records {
		c.Features.Query = r.SiblingLookup
		c.Features.Location = r.SiblingLookup
		if r.SharedCapacity {
			c.Features.ConfiguredSize = fleetsize.Size{Zone: r.Routers, Fleet: r.Routers}
		}
	}
	span := micros(r.Seconds)
	c.Run(span / 2)
	w.NoteDisruption()
	w.Recovered = 0
	c.ScheduleMassKill(r.killShare(), c.Now, micros(r.RestartDelay))
	if r.CacheRestartShare > 0 {
		w.Service.Restart(r.CacheRestartShare)
	}
	c.Run(span)
	w.Service.RecordFullService()
	return c, w
}

// killShare returns the share of the routers that are killed.
func (r *recoveryRun) killShare() float64 {
	if r.KillAll {
		return 1
	}
	return r.KillShare
}

// killedCount returns the number of routers that are killed.
func (r *recoveryRun) killedCount() float64 {
	if r.KillAll {
		return float64(r.Routers)
	}
	return float64(max(int(r.KillShare*float64(r.Routers)+0.5), 1))
}

// peakRatio returns the highest number of fills from a source in one second after the kill, over their rate before
// it. A rate below 1 counts as 1.
func peakRatio(s *cluster.Service, source cluster.FillSource) float64 {
	return round(float64(s.PeakRates[source]) / max(s.BaselineRates[source], 1))
}

// result runs the cluster without records, and then with them unless WithoutRecords is set. If it is set, the run
// without records gives both measures.
func (r *recoveryRun) result() recoveryResult {
	result := recoveryResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	c, w := r.simulate(false)
	result.WithoutRecords = newRecoveryMeasures(w)
	if !r.WithoutRecords {
		c, w = r.simulate(true)
		result.NotRecovered = len(c.Nodes) - w.CountInState(recovery.Recovered)
		result.RecoveredShare = round(float64(w.Recovered) / r.killedCount() / float64(r.Objects))
	}
	result.recoveryMeasures = newRecoveryMeasures(w)
	result.addWorkload(w)
	t := trafficOf(c)
	result.DatagramsPerRouterSecond = t.datagramsPerRouterSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

// addWorkload adds what the workload and its service have counted.
func (l *recoveryResult) addWorkload(w *cluster.Workload) {
	s := w.Service
	before := &s.Served[cluster.BeforeDisruption]
	l.OnTimeShareBefore = round(before.OnTimeShare())
	l.HitShareBefore = round(before.HitShare())
	l.Duplicates = s.DuplicateAnswers
	l.Overloads = s.Caches.Overloads
	l.PeakPages = w.PeakPages
	l.Stale = w.StaleCopies + s.StaleAnswers
	l.UsableCopies = w.UsableCopies
	l.KnownShare = round(float64(w.Known) / float64(max(w.Known+w.Unknown, 1)))
}

func (l *recoveryResult) summary(killShare float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %.0f%% of them killed at one time, %.0f%% of datagrams lost in each direction, seed %d\n",
		l.Routers, killShare*100, l.Loss*100, l.Seed)
	without := &l.WithoutRecords
	fmt.Fprintf(&b, "full service after %d ms (p50), %d ms (longest), never in %d cohorts; ",
		l.FullServiceMs.P50, l.FullServiceMs.Max, l.NeverFullService)
	fmt.Fprintf(&b, "without records %d ms, %d ms, %d\n",
		without.FullServiceMs.P50, without.FullServiceMs.Max, without.NeverFullService)
	fmt.Fprintf(&b, "relearned after %d ms (p50), %d ms (longest); without records %d ms, %d ms\n",
		l.RelearnedMs.P50, l.RelearnedMs.Max, without.RelearnedMs.P50, without.RelearnedMs.Max)
	fmt.Fprintf(&b, "share on time %.3f (before %.3f, without records %.3f), share of hits %.3f (%.3f, %.3f)\n",
		l.OnTimeShare, l.OnTimeShareBefore, without.OnTimeShare, l.HitShare, l.HitShareBefore, without.HitShare)
	fmt.Fprintf(&b, "peak rates over those before: parents %.2f, origin %.2f; without records %.2f, %.2f; ",
		l.ParentPeakRatio, l.OriginPeakRatio, without.ParentPeakRatio, without.OriginPeakRatio)
	fmt.Fprintf(&b, "a router sent at most %d pages of records in one second\n", l.PeakPages)
	fmt.Fprintf(&b, "%d requests could use a recovered copy, stale copies %d; each router sends %.1f datagrams a second\n",
		l.UsableCopies, l.Stale, l.DatagramsPerRouterSecond)
	return b.String()
}

// Run runs the experiment. It is called by the command line.
func (r *recoveryRun) Run() error {
	result := r.result()
	boundMissed := result.Stale+result.Duplicates+result.Overloads > 0 || result.NotRecovered > 0
	return report(r.JSON, result.summary(r.KillShare), result, boundMissed)
}
