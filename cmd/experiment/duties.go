package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/simulation/cluster"
)

// dutiesRun is the command 'experiment duties'.
type dutiesRun struct {
	Routers   int     `default:"16" help:"Routers of the tier."`
	Duties    int     `default:"2000" help:"Duties that they share."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, each way."`
	Kills     int     `default:"3" help:"Routers killed outright, one after another, each started anew later."`
	KillShare float64 `default:"0" help:"Share of the routers killed at one moment, a third into the run, and started anew later."`
	Split     float64 `default:"0" help:"Seconds that the tier is split in halves, in the midst of the run."`
	Seconds   float64 `default:"60" help:"Length of the run, in virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same line."`
	Seeds     int     `default:"0" help:"Routers that newcomers know; 0: all know all from the start."`
	Restart   float64 `default:"6" help:"Seconds until a killed router is started anew."`
	Verbose   bool    `help:"Print the routers' own log lines."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`

	TakeoverP99Ms int     `name:"takeover-p99-ms" default:"0" help:"Bound on takeover, p99; 0: none."`
	UndoneMost    int     `default:"-1" help:"Bound on duties left undone; -1: none."`
	MovedMost     float64 `default:"0" help:"Bound on moved_on_death; 0: none."`
	FalseMost     int     `default:"-1" help:"Bound on false deaths; -1: none."`
}

// percentiles of a span, in milliseconds.
type percentiles struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

type dutiesLine struct {
	Routers         int         `json:"routers"`
	Duties          int         `json:"duties"`
	Loss            float64     `json:"loss"`
	Seed            uint32      `json:"seed"`
	TakeoverMs      percentiles `json:"takeover_ms"`
	Takeovers       int64       `json:"takeovers"`
	LeftUndone      int         `json:"left_undone"`
	DoneTwice       int         `json:"done_twice"`
	DoneTwiceShare  float64     `json:"done_twice_share"`
	Works           int         `json:"works"`
	Forbidden       int         `json:"forbidden"`
	Refused         int         `json:"refused"`
	MovedOnDeath    float64     `json:"moved_on_death"`
	FalseDeaths     int         `json:"false_deaths"`
	PastTerms       int         `json:"past_terms"`
	OneHolderMs     int64       `json:"one_holder_ms"`
	WholeViewMs     int64       `json:"whole_view_ms"`
	MostHeld        int         `json:"most_held"`
	LeastHeld       int         `json:"least_held"`
	DatagramsPerSec float64     `json:"datagrams_per_router_s"`
	BytesPerSec     float64     `json:"bytes_per_router_s"`
	LargestDatagram int         `json:"largest_datagram"`
}

const workEvery = 500 * clock.Millisecond

// play runs the experiment.
func (r *dutiesRun) play() dutiesLine {
	span := clock.Micros(r.Seconds * float64(clock.Second))
	c := cluster.New(r.Seed, r.Routers, r.Seeds, lease.Partitions{Refresh: r.Duties}, cluster.DefaultNetwork(r.Loss), workEvery)
	c.DatagramOverhead = peers.Overhead
	if r.Verbose {
		c.Log = func(node int, line string) { fmt.Printf("%7.2fs router %d: %s\n", c.Now.Seconds(), node, line) }
	}
	c.ScheduleKills(r.Kills, span, clock.Micros(r.Restart*float64(clock.Second)))
	if r.KillShare > 0 {
		c.ScheduleMassKill(r.KillShare, span/3, clock.Micros(r.Restart*float64(clock.Second)))
	}
	healed := c.SchedulePartition(span/3, clock.Micros(r.Split*float64(clock.Second)))
	c.Run(span)
	out := dutiesLine{Routers: r.Routers, Duties: r.Duties, Loss: r.Loss, Seed: r.Seed}
	l := c.Leases
	out.TakeoverMs = percentiles{l.Takeover.ValueAtPercentile(50), l.Takeover.ValueAtPercentile(99), l.Takeover.Max()}
	out.Takeovers = l.Takeover.TotalCount()
	out.LeftUndone = l.LongGaps + l.OpenGaps(c.Now)
	out.DoneTwice, out.Works, out.Forbidden, out.Refused = l.Duplicates, l.TasksDone, l.NonIdempotentAccepted, l.NonIdempotentRejected
	out.PastTerms, out.FalseDeaths = l.StaleTerms, l.FalseDeaths
	if l.TasksDone > 0 {
		out.DoneTwiceShare = round(float64(l.Duplicates) / float64(l.TasksDone))
	}
	if l.Orphaned > 0 {
		out.MovedOnDeath = round(float64(l.Moved) / float64(l.Orphaned))
	}
	out.OneHolderMs, out.WholeViewMs = healed(), l.ViewConvergenceMs
	for i, held := range c.HeldCounts() {
		if out.MostHeld = max(out.MostHeld, held); i == 0 || held < out.LeastHeld {
			out.LeastHeld = held
		}
	}
	var sent, bytes uint64
	for _, n := range c.Nodes {
		sent, bytes = sent+n.DatagramsSent, bytes+n.BytesSent
		out.LargestDatagram = max(out.LargestDatagram, n.LargestDatagram)
	}
	per := float64(r.Routers) * r.Seconds
	out.DatagramsPerSec, out.BytesPerSec = round(float64(sent)/per), round(float64(bytes)/per)
	return out
}

// Run is called by the command line.
func (r *dutiesRun) Run() error {
	out := r.play()
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share %d duties for %.0f s at a loss of %.0f%% each way, seed %d\n", r.Routers, r.Duties,
		r.Seconds, r.Loss*100, r.Seed)
	fmt.Fprintf(&b, "takeover: %d, p50 %d ms, p99 %d ms, longest %d ms\n", out.Takeovers, out.TakeoverMs.P50, out.TakeoverMs.P99,
		out.TakeoverMs.Max)
	fmt.Fprintf(&b, "left undone %d, done twice %d of %d, forbidden %d (%d refused)\n", out.LeftUndone, out.DoneTwice, out.Works,
		out.Forbidden, out.Refused)
	fmt.Fprintf(&b, "moved on a death %.2f of its own, false deaths %d, held %d to %d\n", out.MovedOnDeath, out.FalseDeaths,
		out.LeastHeld, out.MostHeld)
	fmt.Fprintf(&b, "a router sends %.1f datagrams and %.0f bytes a second, the largest %d\n", out.DatagramsPerSec,
		out.BytesPerSec, out.LargestDatagram)
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if r.TakeoverP99Ms > 0 && out.TakeoverMs.P99 > int64(r.TakeoverP99Ms) || r.UndoneMost >= 0 && out.LeftUndone > r.UndoneMost ||
		r.MovedMost > 0 && out.MovedOnDeath > r.MovedMost || r.FalseMost >= 0 && out.FalseDeaths > r.FalseMost || out.Forbidden > 0 {
		return errMissed
	}
	return nil
}

func round(x float64) float64 { return float64(int64(x*1000+0.5)) / 1000 }
