package cluster

import "threadrun/internal/clock"

const watchFor = 6 * clock.Second // after a death: what moves then moved for it

// Kills has routers killed at even times, by chance which, and each started anew after a while.
func (c *Crowd) Kills(n int, span, restart Micros) {
	for i := range n {
		c.At(span*Micros(i+1)/Micros(n+1), func() {
			var up []*Node
			for _, x := range c.Nodes {
				if x.Up {
					up = append(up, x)
				}
			}
			if len(up) < 2 {
				return
			}
			x := up[c.chance.IntN(len(up))]
			x.Kill()
			c.At(c.Now+watchFor, c.Ledger.Settle)
			c.At(c.Now+max(restart, watchFor), func() {
				if !x.Up {
					x.Start()
				}
			})
		})
	}
}

// KillShare has a share of the routers killed at one moment, by chance which, and each started anew after a while.
func (c *Crowd) KillShare(share float64, at, restart Micros) {
	c.At(at, func() {
		nodes := append([]*Node(nil), c.Nodes...)
		c.chance.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		for _, x := range nodes[:int(share*float64(len(nodes))+0.5)] {
			if !x.Up {
				continue
			}
			x.Kill()
			c.At(c.Now+restart, func() {
				if !x.Up {
					x.Start()
				}
			})
		}
		c.At(c.Now+watchFor, c.Ledger.Settle)
		c.At(c.Now+restart+1, c.watchViews)
	})
}

// watchViews times, from now on, how long it takes until each router that runs knows all that run.
func (c *Crowd) watchViews() {
	c.Ledger.WholeView = -1
	began := c.Now
	var look func()
	look = func() {
		if !c.AllKnown() {
			c.At(c.Now+50*clock.Millisecond, look)
			return
		}
		c.Ledger.WholeView = int64((c.Now - began) / clock.Millisecond)
	}
	look()
}

// Split has the tier fall in halves for a while. What it gives back tells how long after the healing each duty had one
// holder and no more; -1: it never came to that, 0: there was no split.
func (c *Crowd) Split(at, span Micros) func() int64 {
	if span <= 0 {
		return func() int64 { return 0 }
	}
	one := int64(-1)
	half := len(c.Nodes) / 2
	c.At(at, func() {
		c.Cut = func(a, b int) bool { return (a < half) != (b < half) }
	})
	c.At(at+span, func() {
		c.Cut = nil
		healed := c.Now
		var look func()
		look = func() {
			for _, n := range c.Holders() {
				if n > 1 {
					c.At(c.Now+50*clock.Millisecond, look)
					return
				}
			}
			one = int64((c.Now - healed) / clock.Millisecond)
		}
		look()
	})
	return func() int64 { return one }
}
