package main

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/internal/random"
	"threadrun/simulation/cluster"
)

// shardsRun is the command 'experiment shards'.
type shardsRun struct {
	Routers   int     `default:"16" help:"Routers of the tier."`
	Maps      int     `default:"1000" help:"Maps put before the checker, half of them with a fault."`
	Loss      float64 `default:"0" help:"Share of datagrams lost, each way."`
	KillShare float64 `default:"0.7" help:"Share of the routers killed at one moment and started anew."`
	Kills     int     `default:"2" help:"Routers killed one after another before that."`
	Split     float64 `default:"0" help:"Seconds that the tier is split in halves, towards the end."`
	Seconds   float64 `default:"60" help:"Length of the run, in virtual time."`
	Seed      uint32  `default:"1" help:"The same seed gives the same line."`
	Verbose   bool    `help:"Print the routers' own log lines."`
	JSON      bool    `name:"json" help:"Print the line of JSON alone."`
}

type shardsLine struct {
	Routers         int         `json:"routers"`
	Loss            float64     `json:"loss"`
	Seed            uint32      `json:"seed"`
	Maps            int         `json:"maps"`
	ValidRefused    int         `json:"valid_refused"`
	FaultyAccepted  int         `json:"faulty_accepted"`
	KeysUncovered   int         `json:"keys_uncovered"`
	KeysTwice       int         `json:"keys_twice"`
	TwiceHealing    int         `json:"keys_twice_healing"`
	UncoveredShare  float64     `json:"uncovered_share"`
	MixedAdopted    int         `json:"mixed_adopted"`
	AgreeMs         percentiles `json:"agree_ms"`
	Agreed          bool        `json:"agreed"`
	DatagramsPerSec float64     `json:"datagrams_per_router_s"`
	LargestDatagram int         `json:"largest_datagram"`
}

// once counts, at every key where a range begins or ends and beside it, how many ranges hold it: a checker of another make.
func once(ranges []shardmap.Range) bool {
	for _, r := range ranges {
		for _, k := range [...]shardmap.Key{r.First - 1, r.First, r.Last, r.Last + 1, 0, shardmap.LastKey} {
			n := 0
			for _, o := range ranges {
				if o.First <= k && k <= o.Last {
					n++
				}
			}
			if n != 1 {
				return false
			}
		}
	}
	return len(ranges) > 0
}

// check puts maps before the checker: good ones, and ones with a fault of one key or more.
func (r *shardsRun) check(out *shardsLine) {
	lots := random.Source{Seed: r.Seed ^ 0x6d617073}
	who := shardmap.Candidates{}
	for range min(r.Routers, 64) {
		who[membership.NodeID(lots.Uint64()|1)] = shardmap.Candidate{Incarnation: 1, Zone: uint16(lots.IntN(3)), Weight: 1, Present: true}
	}
	base := shardmap.Propose(nil, who, shardmap.Version{Term: 1, Number: 1})
	for i := range r.Maps {
		m := shardmap.Propose(base, who, shardmap.Version{Term: 1, Number: 2})
		if i%2 == 1 {
			at := lots.IntN(len(m.Ranges))
			x := &m.Ranges[at]
			by := shardmap.Key(1) << lots.IntN(20)
			switch lots.IntN(7) {
			case 0:
				x.First += by
			case 1:
				x.First -= by
			case 2:
				x.Last -= by
			case 3:
				x.Last += by
			case 4:
				x.First, x.Last = x.Last, x.First
			case 5:
				m.Ranges = append(m.Ranges[:at], m.Ranges[at+1:]...)
			case 6:
				m.Ranges = append(m.Ranges, *x)
			}
		}
		taken := shardmap.Validate(m, base, who, shardmap.DefaultBounds) == nil
		switch good := once(m.Ranges); {
		case good && i%2 == 0 && !taken:
			out.ValidRefused++
		case !good && taken:
			out.FaultyAccepted++
		}
		out.Maps++
	}
}

func (r *shardsRun) play() shardsLine {
	span := clock.Micros(r.Seconds * float64(clock.Second))
	out := shardsLine{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	r.check(&out)
	c := cluster.New(r.Seed, r.Routers, 0, lease.Partitions{Refresh: 64}, cluster.DefaultNetwork(r.Loss), workEvery)
	c.DatagramOverhead = peers.Overhead
	if r.Verbose {
		c.Log = func(node int, line string) { fmt.Printf("%7.2fs router %d: %s\n", c.Now.Seconds(), node, line) }
	}
	b := c.AuditShardMaps()
	b.MarkDisruption()
	restart := 4 * clock.Second
	for i := range r.Kills {
		at := span * clock.Micros(i+3) / clock.Micros(3*r.Kills+6)
		c.At(at, b.MarkDisruption)
		c.ScheduleMassKill(0.5/float64(r.Routers), at, restart)
	}
	if r.KillShare > 0 {
		c.At(span/2, b.MarkDisruption)
		c.ScheduleMassKill(r.KillShare, span/2, restart)
	}
	if r.Split > 0 {
		at, long := span*5/8, clock.Micros(r.Split*float64(clock.Second))
		c.SchedulePartition(at, long)
		c.At(at, b.MarkDisruption)
		c.At(at+long, b.MarkDisruption)
	}
	c.Run(span)
	out.KeysTwice, out.TwiceHealing, out.KeysUncovered, out.MixedAdopted = b.DoublyServed, b.DoublyServedHealing, b.UnservedLate, b.Unproposed
	out.UncoveredShare = round(float64(b.Unserved) / float64(max(b.Checks, 1)))
	out.AgreeMs, out.Agreed = spread(b.Convergence), b.Converged()
	out.DatagramsPerSec, out.LargestDatagram = sent(c, r.Seconds)
	return out
}

func spread(h *hdrhistogram.Histogram) percentiles {
	return percentiles{h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max()}
}

// sent gives what a router sent in a second, and the largest datagram of all.
func sent(c *cluster.Cluster, seconds float64) (perSecond float64, largest int) {
	all := uint64(0)
	for _, n := range c.Nodes {
		all += n.DatagramsSent
		largest = max(largest, n.LargestDatagram)
	}
	return round(float64(all) / float64(len(c.Nodes)) / seconds), largest
}

// Run is called by the command line.
func (r *shardsRun) Run() error {
	out := r.play()
	var b strings.Builder
	fmt.Fprintf(&b, "%d maps checked: %d good ones refused, %d faulty ones taken\n", out.Maps, out.ValidRefused, out.FaultyAccepted)
	fmt.Fprintf(&b, "%d routers for %.0f s at a loss of %.0f%%: two answered for a key %d times (%d within %d ms of a healing)\n",
		r.Routers, r.Seconds, r.Loss*100, out.KeysTwice, out.TwiceHealing, cluster.HealGrace/clock.Millisecond)
	fmt.Fprintf(&b, "nobody answered in %.1f%% of the looks, in %d of them later than %d s after a trouble\n", out.UncoveredShare*100,
		out.KeysUncovered, cluster.UnservedGrace/clock.Second)
	fmt.Fprintf(&b, "one map in force everywhere after %d ms (p50), %d ms at the longest; a router sends %.1f datagrams a second\n",
		out.AgreeMs.P50, out.AgreeMs.Max, out.DatagramsPerSec)
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if out.ValidRefused+out.FaultyAccepted+out.KeysTwice+out.KeysUncovered+out.MixedAdopted > 0 || !out.Agreed {
		return errMissed
	}
	return nil
}
