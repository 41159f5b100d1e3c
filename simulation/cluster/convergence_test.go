package cluster

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
)

// In random clusters with random disruptions, incarnations and terms never decrease in the view of a router, and
// views converge after the last disruption.
func TestRandomDisruptionsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(2, 7).Draw(rt, "routers")
		seed := rapid.Uint32().Draw(rt, "seed")
		seedNodes := rapid.IntRange(0, 2).Draw(rt, "seeds")
		network := DefaultNetwork(rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"))
		c := New(seed, routers, seedNodes, lease.Counts{Refresh: 40}, network, interval)
		checker := newViewChecker(rt, c)
		for range rapid.IntRange(3, 14).Draw(rt, "steps") {
			c.Run(c.Now + Micros(rapid.IntRange(10, 4000).Draw(rt, "pause"))*ms)
			router := c.Nodes[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0:
				router.Kill()
			case 1, 2:
				if !router.Running {
					router.Start()
				}
			case 3:
				router.Pause()
			case 4:
				router.ShiftClock(Micros(rapid.IntRange(-3600, 3600).Draw(rt, "jump")) * second)
			case 5:
				half := rapid.IntRange(0, routers).Draw(rt, "half")
				c.Blocked = func(a, b int) bool { return (a < half) != (b < half) }
			case 6:
				mute := router.index
				c.Blocked = func(a, _ int) bool { return a == mute } // it receives but can't send
			case 7:
				if router.Running && !router.Paused {
					router.Leave(second)
				}
			case 8:
				c.Blocked = nil
			}
			checker.check()
		}
		c.Blocked, c.Network = nil, DefaultNetwork(0)
		for _, router := range c.Nodes {
			if router.Paused && router.Running {
				router.Resume()
			}
			if !router.Running || router.Membership.Self().State != membership.Alive {
				router.Kill()
				router.Start()
			}
		}
		for range 60 {
			c.Run(c.Now + second/2)
			checker.check()
		}
		c.requireConverged(rt)
		if c.Leases.NonIdempotentAccepted > 0 {
			rt.Fatalf("%d tasks that must not run twice were accepted", c.Leases.NonIdempotentAccepted)
		}
	})
}

// viewChecker fails the test if the view of a router returns to an earlier incarnation or term within one start of
// the router, or if the router sends too many or too large datagrams.
type viewChecker struct {
	t            *rapid.T
	c            *Cluster
	starts       []int
	incarnations []map[membership.NodeID]membership.Incarnation
	terms        [][]lease.Term
	sent         []uint64
	checkedAt    Micros
}

func newViewChecker(t *rapid.T, c *Cluster) *viewChecker {
	return &viewChecker{
		t:            t,
		c:            c,
		starts:       make([]int, len(c.Nodes)),
		incarnations: make([]map[membership.NodeID]membership.Incarnation, len(c.Nodes)),
		terms:        make([][]lease.Term, len(c.Nodes)),
		sent:         make([]uint64, len(c.Nodes)),
	}
}

// check compares the state of all routers with that of the last check.
func (w *viewChecker) check() {
	for i, n := range w.c.Nodes {
		if n.Membership == nil {
			continue
		}
		if n.starts != w.starts[i] {
			w.starts[i] = n.starts
			w.incarnations[i] = map[membership.NodeID]membership.Incarnation{}
			w.terms[i] = make([]lease.Term, 40)
		}
		n.Membership.Each(func(m membership.Member) {
			if m.Incarnation < w.incarnations[i][m.ID] {
				w.t.Fatalf("the view of router %d went back from incarnation %d to %d", i, w.incarnations[i][m.ID],
					m.Incarnation)
			}
			w.incarnations[i][m.ID] = m.Incarnation
		})
		for id := range w.terms[i] {
			_, term, _ := n.Leases.Lookup(lease.ID(id))
			if term < w.terms[i][id] {
				w.t.Fatalf("router %d went back from term %d to %d of lease %d", i, w.terms[i][id], term, id)
			}
			w.terms[i][id] = term
		}
		// The cores limit themselves to 60 (membership) and 50 (leases) datagrams a second, and as many in a burst.
		if limit := uint64(110*((w.c.Now-w.checkedAt).Seconds()+1) + 110); n.DatagramsSent-w.sent[i] > limit {
			w.t.Fatalf("router %d sent %d datagrams in %v ms", i, n.DatagramsSent-w.sent[i], (w.c.Now - w.checkedAt).Millis())
		}
		w.sent[i] = n.DatagramsSent
		if n.LargestDatagram > membership.MaxPayload+1 && n.LargestDatagram > lease.MaxPayload+1 {
			w.t.Fatalf("router %d sent a datagram of %d bytes", i, n.LargestDatagram)
		}
	}
	w.checkedAt = w.c.Now
}
