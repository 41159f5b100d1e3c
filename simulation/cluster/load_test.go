package cluster

import (
	"testing"

	"threadrun/cluster/lease"
	"threadrun/cluster/recovery"
)

func visited(seed uint32, routers int, loss float64, recall bool) (*Crowd, *Load) {
	c := New(seed, routers, 0, lease.Partitions{Refresh: 16}, OrdinaryWay(loss), turn)
	return c, c.Visits(400, 20, recall)
}

// Seven in ten routers are killed at once and come back: with rows they know again what they knew in a part of the time, none goes
// by a copy that a purge had made old, and all are full in the end.
func TestComebackOfMost(t *testing.T) {
	var full [2]int64
	for i, recall := range []bool{false, true} {
		c, l := visited(3, 20, 0.1, recall)
		c.Run(40 * second)
		l.Trouble()
		c.KillShare(0.7, c.Now, 3*second)
		c.Run(c.Now + 40*second)
		full[i] = l.Full.ValueAtPercentile(50)
		if l.Stale > 0 || recall && (l.Recalled == 0 || l.ByCopy == 0 || l.Back(recovery.Recovered) != 20) {
			t.Errorf("stale %d, recalled %d, by copy %d, full %d", l.Stale, l.Recalled, l.ByCopy, l.Back(recovery.Recovered))
		}
	}
	if full[1] == 0 || full[1]*2 > full[0] {
		t.Errorf("%d ms with rows, %d without", full[1], full[0])
	}
}

// All are killed at once, and nothing is left anywhere: each goes on within its bound, with nothing recalled.
func TestComebackOfAll(t *testing.T) {
	c, l := visited(5, 12, 0.1, true)
	c.Run(20 * second)
	l.Trouble()
	c.KillShare(1, c.Now, 3*second)
	recalled := l.Recalled
	c.Run(c.Now + 25*second)
	if l.Back(recovery.Recovered) != 12 || l.Stale > 0 {
		t.Errorf("full %d, stale %d, recalled %d", l.Back(recovery.Recovered), l.Stale, l.Recalled-recalled)
	}
}

// Killed again in the midst of recalling: it begins anew and comes to its end.
func TestComebackTwice(t *testing.T) {
	c, l := visited(8, 8, 0, true)
	c.Run(30 * second)
	l.Trouble()
	x := c.Nodes[3]
	x.Kill()
	c.Run(c.Now + second)
	x.Start()
	for x.Tier.Recovery.State() != recovery.Fetching {
		c.Run(c.Now + 20*ms)
	}
	x.Kill()
	c.Run(c.Now + second)
	x.Start()
	c.Run(c.Now + 15*second)
	if x.Tier.Recovery.State() != recovery.Recovered || l.minds[x].full != true {
		t.Errorf("%v, knows again: %v", x.Tier.Recovery.State(), l.minds[x].full)
	}
}
