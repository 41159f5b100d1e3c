package cluster

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

// Asks has routers ask for the rows of a group, and holds each result against what the sites had published when it was asked for.
type Asks struct {
	Queries       int
	Complete      int
	Missed        int // published rows that a complete result lacks
	WrongComplete int // complete results that lack one
	Doubles       int
	Asked, Could  float64 // sums of shares of sites: asked, and that held a matching row
	Datagrams     int

	c    *Crowd
	open map[*Node]map[uint32]*asking
}

// asking is a query and what a complete result must hold.
type asking struct {
	want  map[shardmap.Key]bool
	could float64
	sites int
}

const queryTime = 3 * clock.Second

// Queries has a router by chance ask for the rows of a group by chance, so often, from a time on. It is called after Visits.
func (c *Crowd) Queries(from, every Micros) *Asks {
	a := &Asks{c: c, open: map[*Node]map[uint32]*asking{}}
	c.Asks, c.Parts.Query = a, true
	var ask func()
	ask = func() {
		a.ask()
		c.At(c.Now+every, ask)
	}
	c.At(from, ask)
	return a
}

func (a *Asks) ask() {
	c := a.c
	n := c.Nodes[c.chance.IntN(len(c.Nodes)/4+1)] // some of them ask, and hold summaries
	if !n.Up || n.Stopped {
		return
	}
	g := directory.Group(1 + c.chance.IntN(len(c.Load.sums)/groupSize))
	x := &asking{want: map[shardmap.Key]bool{}}
	for _, s := range c.Nodes {
		if !s.Up || s.Tier.Publisher == nil {
			continue
		}
		x.sites++
		any := false
		s.Tier.Directory.Each(func(r *directory.Record) bool {
			if r.Group != g {
				return true
			}
			if _, yes := s.Tier.Shards.Serves(r.Key, s.clock()); yes && s.Tier.Directory.Owns(r.Key) {
				any = true
				if s.Tier.Publisher.Published(s.clock(), r) {
					x.want[r.Key] = true
				}
			}
			return true
		})
		if any {
			x.could++
		}
	}
	no, err := n.Tier.Query(n.clock(), summary.Query{Group: g}, 0, n.clock()+queryTime)
	if err != nil {
		return
	}
	a.Queries++
	if a.open[n] == nil {
		a.open[n] = map[uint32]*asking{}
	}
	a.open[n][no] = x
}

// found takes a result.
func (a *Asks) found(n *Node, no uint32, r scatter.Result) {
	x := a.open[n][no]
	if x == nil {
		return
	}
	delete(a.open[n], no)
	a.Datagrams += r.Attempts
	a.Asked += float64(r.Queried) / float64(max(x.sites, 1))
	a.Could += x.could / float64(max(x.sites, 1))
	got := map[shardmap.Key]bool{}
	for i := range r.Records {
		if got[r.Records[i].Key] {
			a.Doubles++
		}
		got[r.Records[i].Key] = true
	}
	if !r.Complete {
		return
	}
	a.Complete++
	missed := 0
	for k := range x.want {
		if !got[k] {
			missed++
		}
	}
	if a.Missed += missed; missed > 0 {
		a.WrongComplete++
	}
}
