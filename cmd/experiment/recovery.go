package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/fleetsize"
	"threadrun/cluster/recovery"
	"threadrun/simulation/cluster"
)

// recoveryRun is the experiment 'comeback': most routers of a cluster are killed at once and recover.
type recoveryRun struct {
	Routers        int     `default:"16" help:"Routers of the cluster."`
	KillShare      float64 `default:"0.7" help:"Share of the routers killed at one time, half-way through the run."`
	LostState      bool    `help:"All routers are killed: no record is left to recover."`
	WithoutOnly    bool    `name:"without" help:"Run without records alone; else with and without them."`
	Objects        int     `default:"1000" help:"Objects that are requested again and again."`
	RequestRate    int     `name:"visits" default:"20" help:"Requests at each router, a second."`
	Restart        float64 `default:"3" help:"Time until a killed router restarts, in seconds."`
	Loss           float64 `default:"0.1" help:"Share of datagrams lost, in each direction."`
	Seconds        float64 `default:"100" help:"Length of the run, in seconds of virtual time."`
	Seed           uint32  `default:"1" help:"The same seed gives the same result."`
	CacheShare     float64 `name:"caches" default:"0" help:"Share of the caches that restart at the same time."`
	SiblingLookup  bool    `name:"asking" help:"Routers ask others which caches have an object, in the run with records."`
	SharedCapacity bool    `name:"presence" help:"Limits are shared by the routers present, in the run with records."`
	Verbose        bool    `help:"Print the routers' own log lines."`
	JSON           bool    `name:"json" help:"Print the line of JSON alone."`
}

type recoveryResult struct {
	Routers              int         `json:"routers"`
	Loss                 float64     `json:"loss"`
	Seed                 uint32      `json:"seed"`
	FullServiceMs        percentiles `json:"full_service_ms"` // cluster.Service.FullService
	FullServiceWithoutMs percentiles `json:"full_service_without_ms"`
	NeverFull            int         `json:"never_full"` // cohorts of restarted routers
	NeverFullWithout     int         `json:"never_full_without"`
	RelearnedMs          percentiles `json:"known_again_ms"` // cluster.Workload.Relearned
	RelearnedWithoutMs   percentiles `json:"known_again_without_ms"`
	PeakParent           float64     `json:"peak_parent"` // fills in one second over the rate before
	PeakOrigin           float64     `json:"peak_origin"`
	PeakParentWithout    float64     `json:"peak_parent_without"`
	PeakOriginWithout    float64     `json:"peak_origin_without"`
	OnTimeShare          float64     `json:"served_share"` // after the kill
	OnTimeShareBefore    float64     `json:"served_share_before"`
	OnTimeShareWithout   float64     `json:"served_share_without"`
	HitShare             float64     `json:"hit_share"`
	HitShareBefore       float64     `json:"hit_share_before"`
	HitShareWithout      float64     `json:"hit_share_without"`
	Duplicates           int         `json:"twice"`
	Overloads            int         `json:"cold_fallen"` // cold caches that got more requests than they can take
	PeakPages            uint64      `json:"peak_keeper"` // of records, sent by one router in one second
	Stale                int         `json:"stale"`
	UsableCopies         int         `json:"visits_by_recalled_copies"`
	RecoveredShare       float64     `json:"rows_recalled_share"` // of the objects, by a restarted router
	KnownShare           float64     `json:"known_share"`
	NotRecovered         int         `json:"not_back"` // routers whose recovery has not ended
	DatagramsPerSecond   float64     `json:"datagrams_per_router_s"`
	LargestDatagram      int         `json:"largest_datagram"`
}

// simulate kills most routers of a cluster, with records or without.
func (r *recoveryRun) simulate(records bool) (*cluster.Cluster, *cluster.Workload) {
	c := simulated{seed: r.Seed, routers: r.Routers, leases: fewLeases, loss: r.Loss, verbose: r.Verbose}.newCluster()
	w := c.StartWorkload(r.Objects, r.RequestRate, records)
	w.Serve(r.Seed)
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
	c.ScheduleMassKill(r.killShare(), c.Now, micros(r.Restart))
	if r.CacheShare > 0 {
		w.Service.Restart(r.CacheShare)
	}
	c.Run(span)
	w.Service.Close()
	return c, w
}

func (r *recoveryRun) killShare() float64 {
	if r.LostState {
		return 1
	}
	return r.KillShare
}

// killed is the number of routers killed.
func (r *recoveryRun) killed() float64 {
	if r.LostState {
		return float64(r.Routers)
	}
	return float64(max(int(r.KillShare*float64(r.Routers)+0.5), 1))
}

// peakOver is the highest rate of a place over the rate before.
func peakOver(s *cluster.Service, place cluster.Place) float64 {
	return round(float64(s.PeakRates[place]) / max(s.BaselineRates[place], 1))
}

// result runs the experiment. In a run without records alone both columns are the same.
func (r *recoveryRun) result() recoveryResult {
	result := recoveryResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	c, w := r.simulate(false)
	result.addWithout(w)
	if !r.WithoutOnly {
		c, w = r.simulate(true)
		result.NotRecovered = len(c.Nodes) - w.CountInState(recovery.Recovered)
		result.RecoveredShare = round(float64(w.Recovered) / r.killed() / float64(r.Objects))
	}
	result.addWith(w)
	t := trafficOf(c)
	result.DatagramsPerSecond = t.datagramsPerSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

func (l *recoveryResult) addWithout(w *cluster.Workload) {
	s := w.Service
	after := &s.Served[cluster.AfterDisruption]
	l.FullServiceWithoutMs = percentilesOf(s.FullService)
	l.NeverFullWithout = s.NeverFullService
	l.RelearnedWithoutMs = percentilesOf(w.Relearned)
	l.PeakParentWithout = peakOver(s, cluster.Parents)
	l.PeakOriginWithout = peakOver(s, cluster.Origin)
	l.OnTimeShareWithout = round(after.OnTimeShare())
	l.HitShareWithout = round(after.HitShare())
}

func (l *recoveryResult) addWith(w *cluster.Workload) {
	s := w.Service
	before := &s.Served[cluster.BeforeDisruption]
	after := &s.Served[cluster.AfterDisruption]
	l.FullServiceMs = percentilesOf(s.FullService)
	l.NeverFull = s.NeverFullService
	l.RelearnedMs = percentilesOf(w.Relearned)
	l.PeakParent = peakOver(s, cluster.Parents)
	l.PeakOrigin = peakOver(s, cluster.Origin)
	l.OnTimeShare = round(after.OnTimeShare())
	l.OnTimeShareBefore = round(before.OnTimeShare())
	l.HitShare = round(after.HitShare())
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
	fmt.Fprintf(&b, "%d routers, %.0f%% of them killed at one time, %.0f%% of datagrams lost, seed %d\n",
		l.Routers, killShare*100, l.Loss*100, l.Seed)
	fmt.Fprintf(&b, "full service after %d ms (p50), %d ms at the longest, never %d; without records %d ms, %d ms, %d\n",
		l.FullServiceMs.P50, l.FullServiceMs.Max, l.NeverFull,
		l.FullServiceWithoutMs.P50, l.FullServiceWithoutMs.Max, l.NeverFullWithout)
	fmt.Fprintf(&b, "relearned after %d ms (p50), %d ms at the longest; without records %d ms, %d ms\n",
		l.RelearnedMs.P50, l.RelearnedMs.Max, l.RelearnedWithoutMs.P50, l.RelearnedWithoutMs.Max)
	fmt.Fprintf(&b, "on time %.3f (before %.3f, without records %.3f), hits %.3f (%.3f, %.3f)\n",
		l.OnTimeShare, l.OnTimeShareBefore, l.OnTimeShareWithout, l.HitShare, l.HitShareBefore, l.HitShareWithout)
	fmt.Fprintf(&b, "peaks over the rate before: parents %.2f, origin %.2f; without records %.2f, %.2f; ",
		l.PeakParent, l.PeakOrigin, l.PeakParentWithout, l.PeakOriginWithout)
	fmt.Fprintf(&b, "a router sent %d pages of records in one second\n", l.PeakPages)
	fmt.Fprintf(&b, "%d requests could use recovered copies, %d of them stale ones; %.1f datagrams a router and second\n",
		l.UsableCopies, l.Stale, l.DatagramsPerSecond)
	return b.String()
}

// Run is called by the command line.
func (r *recoveryRun) Run() error {
	result := r.result()
	boundMissed := result.Stale+result.Duplicates+result.Overloads > 0 || result.NotRecovered > 0
	return report(r.JSON, result.text(r.KillShare), result, boundMissed)
}
