package cluster

import (
	"testing"

	"threadrun/cluster/lease"
	"threadrun/cluster/recovery"
)

func withWorkload(seed uint32, routers int, loss float64, recall bool) (*Cluster, *Workload) {
	c := New(seed, routers, 0, lease.Partitions{Refresh: 16}, DefaultNetwork(loss), interval)
	return c, c.StartWorkload(400, 20, recall)
}

// Seven in ten routers are killed at once and restart: with records they know again what they knew in less than half
// the time, none uses a copy from before a purge, and all have recovered in the end.
func TestRecoveryAfterMassKill(t *testing.T) {
	var full [2]int64
	for i, recall := range []bool{false, true} {
		c, l := withWorkload(3, 20, 0.1, recall)
		c.Run(40 * second)
		l.NoteDisruption()
		c.ScheduleMassKill(0.7, c.Now, 3*second)
		c.Run(c.Now + 40*second)
		full[i] = l.Relearned.ValueAtPercentile(50)
		if l.StaleCopies > 0 ||
			recall && (l.Recovered == 0 || l.UsableCopies == 0 || l.CountInState(recovery.Recovered) != 20) {
			t.Errorf(
				"stale %d, recovered %d, usable copies %d, routers recovered %d",
				l.StaleCopies,
				l.Recovered,
				l.UsableCopies,
				l.CountInState(recovery.Recovered),
			)
		}
	}
	if full[1] == 0 || full[1]*2 > full[0] {
		t.Errorf("%d ms with records, %d without", full[1], full[0])
	}
}

// All are killed at once, and no record is left: each ends its recovery in time, without records.
func TestRecoveryAfterAllKilled(t *testing.T) {
	c, l := withWorkload(5, 12, 0.1, true)
	c.Run(20 * second)
	l.NoteDisruption()
	c.ScheduleMassKill(1, c.Now, 3*second)
	recalled := l.Recovered
	c.Run(c.Now + 25*second)
	if l.CountInState(recovery.Recovered) != 12 || l.StaleCopies > 0 {
		t.Errorf(
			"routers recovered %d, stale %d, records %d",
			l.CountInState(recovery.Recovered),
			l.StaleCopies,
			l.Recovered-recalled,
		)
	}
}

// A router is killed again while it fetches records: its recovery starts over and ends.
func TestRecoveryRestarts(t *testing.T) {
	c, l := withWorkload(8, 8, 0, true)
	c.Run(30 * second)
	l.NoteDisruption()
	x := c.Nodes[3]
	x.Kill()
	c.Run(c.Now + second)
	x.Start()
	for x.Core.Recovery.State() != recovery.Fetching {
		c.Run(c.Now + 20*ms)
	}
	x.Kill()
	c.Run(c.Now + second)
	x.Start()
	c.Run(c.Now + 15*second)
	if x.Core.Recovery.State() != recovery.Recovered || l.knowledge[x].relearned != true {
		t.Errorf("%v, relearned: %v", x.Core.Recovery.State(), l.knowledge[x].relearned)
	}
}
