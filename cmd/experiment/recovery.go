package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/fleetsize"
	"threadrun/cluster/recovery"
	"threadrun/simulation/cluster"
)

// recoveryRun is the experiment 'recovery': most routers of a cluster are killed at once and restart.
type recoveryRun struct {
	Routers           int     `default:"16" help:"Routers of the cluster."`
	KillShare         float64 `default:"0.7" help:"Share of the routers killed at one time, half-way through the run."`
	KillAll           bool    `help:"Kill all routers: no record is left to recover from."`
	WithoutRecords    bool    `help:"Run only without records; else without and with them."`
	Objects           int     `default:"1000" help:"Objects that are requested again and again."`
	RequestRate       int     `default:"20" help:"Requests a second at each router."`
	RestartDelay      float64 `default:"3" help:"Time until a killed router restarts, in seconds."`
	Loss              float64 `default:"0.1" help:"Share of datagrams lost, in each direction."`
	Seconds           float64 `default:"100" help:"Length of the run, in seconds of virtual time."`
	Seed              uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	CacheRestartShare float64 `default:"0" help:"Share of the caches that restart when the routers are killed."`
	SiblingLookup     bool    `help:"Let routers query others for caches that have an object; with records only."`
	SharedCapacity    bool    `help:"Let the routers that are up share limits; with records only."`
	Verbose           bool    `help:"Print the routers' own log lines."`
	JSON              bool    `name:"json" help:"Print only the line of JSON."`
}

type recoveryResult struct {
	Routers int     `json:"routers"`
	Loss    float64 `json:"loss"`
	Seed    uint32  `json:"seed"`
	recoveryMeasures
	WithoutRecords           recoveryMeasures `json:"without_records"`
	OnTimeShareBefore        float64          `json:"on_time_share_before"`
	HitShareBefore           float64          `json:"hit_share_before"`
	Duplicates               int              `json:"duplicates"`
	Overloads                int              `json:"overloads"`  // of cold caches, by more requests than they can take
	PeakPages                uint64           `json:"peak_pages"` // of records, sent by one router in one second
	Stale                    int              `json:"stale"`
	UsableCopies             int              `json:"usable_copies"`
	RecoveredShare           float64          `json:"recovered_share"` // of the objects, by a restarted router
	KnownShare               float64          `json:"known_share"`
	NotRecovered             int              `json:"not_recovered"` // routers whose recovery has not ended
	DatagramsPerRouterSecond float64          `json:"datagrams_per_router_s"`
	LargestDatagram          int              `json:"largest_datagram_bytes"`
}

// recoveryMeasures are taken in a run with records and in one without.
type recoveryMeasures struct {
	FullServiceMs    percentiles `json:"full_service_ms"`    // cluster.Service.FullService
	NeverFullService int         `json:"never_full_service"` // cohorts of restarted routers
	RelearnedMs      percentiles `json:"relearned_ms"`       // cluster.Workload.Relearned
	ParentPeakRatio  float64     `json:"parent_peak_ratio"`  // fills in one second over the rate before the kill
	OriginPeakRatio  float64     `json:"origin_peak_ratio"`
	OnTimeShare      float64     `json:"on_time_share"` // after the kill
	HitShare         float64     `json:"hit_share"`
}

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

// simulate runs the cluster, in which routers keep records or not.
func (r *recoveryRun) simulate(records bool) (*cluster.Cluster, *cluster.Workload) {
	c := clusterConfig{seed: r.Seed, routers: r.Routers, leases: fewLeases, loss: r.Loss, verbose: r.Verbose}.newCluster()
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

func (r *recoveryRun) killShare() float64 {
	if r.KillAll {
		return 1
	}
	return r.KillShare
}

// killed returns the number of routers that are killed.
func (r *recoveryRun) killed() float64 {
	if r.KillAll {
		return float64(r.Routers)
	}
	return float64(max(int(r.KillShare*float64(r.Routers)+0.5), 1))
}

// peakRatio returns the highest rate of a place over its rate before the kill.
func peakRatio(s *cluster.Service, place cluster.FillSource) float64 {
	return round(float64(s.PeakRates[place]) / max(s.BaselineRates[place], 1))
}

// result runs the cluster without records, and with them unless WithoutRecords is set: then both measures are the same.
func (r *recoveryRun) result() recoveryResult {
	result := recoveryResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	c, w := r.simulate(false)
	result.WithoutRecords = newRecoveryMeasures(w)
	if !r.WithoutRecords {
		c, w = r.simulate(true)
		result.NotRecovered = len(c.Nodes) - w.CountInState(recovery.Recovered)
		result.RecoveredShare = round(float64(w.Recovered) / r.killed() / float64(r.Objects))
	}
	result.recoveryMeasures = newRecoveryMeasures(w)
	result.addWorkload(w)
	t := trafficOf(c)
	result.DatagramsPerRouterSecond = t.datagramsPerRouterSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

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

func (l *recoveryResult) text(killShare float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %.0f%% of them killed at one time, %.0f%% of datagrams lost in each direction, seed %d\n",
		l.Routers, killShare*100, l.Loss*100, l.Seed)
	without := &l.WithoutRecords
	fmt.Fprintf(&b, "full service after %d ms (p50), %d ms (longest), never at %d cohorts; ",
		l.FullServiceMs.P50, l.FullServiceMs.Max, l.NeverFullService)
	fmt.Fprintf(&b, "without records %d ms, %d ms, %d\n",
		without.FullServiceMs.P50, without.FullServiceMs.Max, without.NeverFullService)
	fmt.Fprintf(&b, "relearned after %d ms (p50), %d ms (longest); without records %d ms, %d ms\n",
		l.RelearnedMs.P50, l.RelearnedMs.Max, without.RelearnedMs.P50, without.RelearnedMs.Max)
	fmt.Fprintf(&b, "on time %.3f (before %.3f, without records %.3f), hits %.3f (%.3f, %.3f)\n",
		l.OnTimeShare, l.OnTimeShareBefore, without.OnTimeShare, l.HitShare, l.HitShareBefore, without.HitShare)
	fmt.Fprintf(&b, "peaks over the rates before: parents %.2f, origin %.2f; without records %.2f, %.2f; ",
		l.ParentPeakRatio, l.OriginPeakRatio, without.ParentPeakRatio, without.OriginPeakRatio)
	fmt.Fprintf(&b, "one router sent up to %d pages of records in a second\n", l.PeakPages)
	fmt.Fprintf(&b, "%d requests could use a recovered copy, stale copies %d; a router sends %.1f datagrams a second\n",
		l.UsableCopies, l.Stale, l.DatagramsPerRouterSecond)
	return b.String()
}

// Run is called by the command line.
func (r *recoveryRun) Run() error {
	result := r.result()
	boundMissed := result.Stale+result.Duplicates+result.Overloads > 0 || result.NotRecovered > 0
	return report(r.JSON, result.text(r.KillShare), result, boundMissed)
}
