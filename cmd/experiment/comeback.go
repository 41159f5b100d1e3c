package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/recovery"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/simulation/cluster"
)

// comebackRun is the command 'experiment comeback'.
type comebackRun struct {
	Routers   int     `default:"16" help:"Routers of the tier."`
	KillShare float64 `default:"0.7" help:"Share of the routers killed at one moment, in the midst of the run."`
	LostState bool    `help:"All of them are killed: nothing is left to recall."`
	Without   bool    `help:"Play without rows alone; else with them, and without beside it."`
	Objects   int     `default:"1000" help:"Objects that visits ask for again and again."`
	Visits    int     `default:"20" help:"Visits a second and router."`
	Restart   float64 `default:"3" help:"Seconds until a killed router is started anew."`
	Loss      float64 `default:"0.1" help:"Share of datagrams lost, each way."`
	Seconds   float64 `default:"100" help:"Length of the run, in virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same line."`
	Caches    float64 `default:"0" help:"Share of the caches that start anew at the same moment, with nothing kept."`
	Asking    bool    `help:"Routers ask others which caches hold an object, where rows are on."`
	Presence  bool    `help:"Limits are shared by the routers that are there, where rows are on."`
	Verbose   bool    `help:"Print the routers' own log lines."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`
}

type comebackLine struct {
	Routers         int         `json:"routers"`
	Loss            float64     `json:"loss"`
	Seed            uint32      `json:"seed"`
	FullServiceMs   percentiles `json:"full_service_ms"` // from the restart until the shares in time and of hits stay at 0.95 of what they were
	WithoutMs       percentiles `json:"full_service_without_ms"`
	NeverFull       int         `json:"never_full"` // groups of restarted routers
	NeverWithout    int         `json:"never_full_without"`
	KnownMs         percentiles `json:"known_again_ms"` // until a router knows the objects of 0.95 of its visits that it knew before
	KnownWithoutMs  percentiles `json:"known_again_without_ms"`
	PeakParent      float64     `json:"peak_parent"` // fills in one second over the rate before
	PeakOrigin      float64     `json:"peak_origin"`
	PeakParentW     float64     `json:"peak_parent_without"`
	PeakOriginW     float64     `json:"peak_origin_without"`
	ServedShare     float64     `json:"served_share"` // in time, after the trouble
	ServedBefore    float64     `json:"served_share_before"`
	ServedWithout   float64     `json:"served_share_without"`
	HitShare        float64     `json:"hit_share"`
	HitBefore       float64     `json:"hit_share_before"`
	HitWithout      float64     `json:"hit_share_without"`
	Twice           int         `json:"twice"`
	Fallen          int         `json:"cold_fallen"` // cold caches that were asked for more than they bear
	PeakKeeper      uint64      `json:"peak_keeper"` // pages served by one router in one second
	Stale           int         `json:"stale"`
	ByCopy          int         `json:"visits_by_recalled_copies"`
	RecalledShare   float64     `json:"rows_recalled_share"` // rows recalled by a router that came back, over the objects there are
	KnownShare      float64     `json:"known_share"`
	NotBack         int         `json:"not_back"` // routers that are not full at the end
	DatagramsPerSec float64     `json:"datagrams_per_router_s"`
	LargestDatagram int         `json:"largest_datagram"`
}

// play has one tier go through the death of many.
func (r *comebackRun) play(recall bool) (*cluster.Cluster, *cluster.Workload) {
	c := cluster.New(r.Seed, r.Routers, 0, lease.Partitions{Refresh: 64}, cluster.DefaultNetwork(r.Loss), workEvery)
	c.DatagramOverhead = peers.Overhead
	if r.Verbose {
		c.Log = func(node int, line string) { fmt.Printf("%7.2fs router %d: %s\n", c.Now.Seconds(), node, line) }
	}
	l := c.StartWorkload(r.Objects, r.Visits, recall)
	l.Serve(r.Seed)
	if recall {
		c.Features.Query, c.Features.Location = r.Asking, r.Asking
		if r.Presence {
			c.Features.ConfiguredSize = fleetsize.Size{Zone: r.Routers, Fleet: r.Routers}
		}
	}
	span := clock.Micros(r.Seconds * float64(clock.Second))
	share := r.KillShare
	if r.LostState {
		share = 1
	}
	c.Run(span / 2)
	l.MarkDisruption()
	l.Recovered = 0
	c.ScheduleMassKill(share, c.Now, clock.Micros(r.Restart*float64(clock.Second)))
	if r.Caches > 0 {
		l.Service.Restart(r.Caches)
	}
	c.Run(span)
	l.Service.Close()
	return c, l
}

// peaks are the most fills at parents and fetches at the origin in one second, over the rates before.
func peaks(s *cluster.Service) (parent, origin float64) {
	return round(float64(s.PeakRates[0]) / max(s.BaselineRates[0], 1)), round(float64(s.PeakRates[1]) / max(s.BaselineRates[1], 1))
}

// line plays both, or one, and words what came of it.
func (r *comebackRun) line() comebackLine {
	out := comebackLine{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	c, l := r.play(false)
	s := l.Service
	out.WithoutMs, out.NeverWithout, out.KnownWithoutMs = spread(s.FullService), s.NeverFullService, spread(l.Relearned)
	out.PeakParentW, out.PeakOriginW = peaks(s)
	out.ServedWithout, out.HitWithout = round(s.Served[1].OnTimeShare()), round(s.Served[1].HitShare())
	if !r.Without {
		c, l = r.play(true)
		out.NotBack = len(c.Nodes) - l.CountInState(recovery.Recovered)
		killed := float64(max(int(r.KillShare*float64(r.Routers)+0.5), 1))
		if r.LostState {
			killed = float64(r.Routers)
		}
		out.RecalledShare = round(float64(l.Recovered) / killed / float64(r.Objects))
	}
	s = l.Service
	out.FullServiceMs, out.NeverFull, out.KnownMs = spread(s.FullService), s.NeverFullService, spread(l.Relearned)
	out.PeakParent, out.PeakOrigin = peaks(s)
	out.ServedShare, out.ServedBefore = round(s.Served[1].OnTimeShare()), round(s.Served[0].OnTimeShare())
	out.HitShare, out.HitBefore = round(s.Served[1].HitShare()), round(s.Served[0].HitShare())
	out.Twice, out.Fallen = s.DuplicateAnswers, s.Caches.Overloads
	out.PeakKeeper, out.Stale, out.ByCopy = l.PeakPages, l.StaleCopies+s.StaleAnswers, l.UsableCopies
	out.KnownShare = round(float64(l.Known) / float64(max(l.Known+l.Unknown, 1)))
	out.DatagramsPerSec, out.LargestDatagram = sent(c, r.Seconds)
	return out
}

// Run is called by the command line.
func (r *comebackRun) Run() error {
	out := r.line()
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers, %.0f%% of them killed at one moment, %.0f%% of datagrams lost, seed %d\n", r.Routers, r.KillShare*100,
		r.Loss*100, r.Seed)
	fmt.Fprintf(&b, "full service after %d ms (p50), %d ms at the longest, never %d; without rows %d ms, %d ms, %d\n", out.FullServiceMs.P50,
		out.FullServiceMs.Max, out.NeverFull, out.WithoutMs.P50, out.WithoutMs.Max, out.NeverWithout)
	fmt.Fprintf(&b, "know again what was known after %d ms (p50), %d ms at the longest; without rows %d ms, %d ms\n", out.KnownMs.P50, out.KnownMs.Max,
		out.KnownWithoutMs.P50, out.KnownWithoutMs.Max)
	fmt.Fprintf(&b, "in time %.3f (before %.3f, without rows %.3f), hits %.3f (%.3f, %.3f)\n", out.ServedShare, out.ServedBefore, out.ServedWithout,
		out.HitShare, out.HitBefore, out.HitWithout)
	fmt.Fprintf(&b, "peaks over the rate before: parents %.2f, origin %.2f; without rows %.2f, %.2f; a router served %d pages in one second\n",
		out.PeakParent, out.PeakOrigin, out.PeakParentW, out.PeakOriginW, out.PeakKeeper)
	fmt.Fprintf(&b, "%d visits could go by recalled copies, %d of them by stale ones; %.1f datagrams a router and second\n", out.ByCopy,
		out.Stale, out.DatagramsPerSec)
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if out.Stale+out.Twice+out.Fallen > 0 || out.NotBack > 0 {
		return errMissed
	}
	return nil
}
