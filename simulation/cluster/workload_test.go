package cluster

import (
	"testing"

	"threadrun/cluster/lease"
	"threadrun/cluster/recovery"
)

func withWorkload(seed uint32, routers int, loss float64, records bool) (*Cluster, *Workload) {
	c := New(seed, routers, 0, lease.Counts{Refresh: 16}, DefaultNetwork(loss), interval)
	return c, c.StartWorkload(400, 20, records)
}

// 70% of the routers are killed at once and restart: with recovered records they relearn their objects in less than
// half of the time that they need without, none uses a copy older than a purge, and all have recovered in the end.
func TestRecoveryAfterMassKill(t *testing.T) {
	var relearnedMs [2]int64
	for i, records := range []bool{false, true} {
		c, w := withWorkload(3, 20, 0.1, records)
		c.Run(40 * second)
		w.NoteDisruption()
		c.ScheduleMassKill(0.7, c.Now, 3*second)
		c.Run(c.Now + 40*second)
		relearnedMs[i] = w.Relearned.ValueAtPercentile(50)
		if w.StaleCopies > 0 ||
			records && (w.Recovered == 0 || w.UsableCopies == 0 || w.CountInState(recovery.Recovered) != 20) {
			t.Errorf("stale copies %d, records recovered %d, usable copies %d, routers recovered %d", w.StaleCopies,
				w.Recovered, w.UsableCopies, w.CountInState(recovery.Recovered))
		}
	}
	if relearnedMs[1] == 0 || relearnedMs[1]*2 > relearnedMs[0] {
		t.Errorf("relearned in %d ms with records, in %d ms without", relearnedMs[1], relearnedMs[0])
	}
}

// All routers are killed at once, so that no record is left: each router completes its recovery without records
// within 22 s of its restart.
func TestRecoveryAfterAllKilled(t *testing.T) {
	c, w := withWorkload(5, 12, 0.1, true)
	c.Run(20 * second)
	w.NoteDisruption()
	c.ScheduleMassKill(1, c.Now, 3*second)
	before := w.Recovered
	c.Run(c.Now + 25*second)
	if w.CountInState(recovery.Recovered) != 12 || w.StaleCopies > 0 {
		t.Errorf("routers recovered %d, stale copies %d, records %d", w.CountInState(recovery.Recovered), w.StaleCopies,
			w.Recovered-before)
	}
}

// A router is killed again while it fetches records: its recovery starts over and completes.
func TestRecoveryRestarts(t *testing.T) {
	c, w := withWorkload(8, 8, 0, true)
	c.Run(30 * second)
	w.NoteDisruption()
	router := c.Nodes[3]
	router.Kill()
	c.Run(c.Now + second)
	router.Start()
	for router.Core.Recovery.State() != recovery.Fetching {
		c.Run(c.Now + 20*ms)
	}
	router.Kill()
	c.Run(c.Now + second)
	router.Start()
	c.Run(c.Now + 15*second)
	if router.Core.Recovery.State() != recovery.Recovered || w.knowledge[router].relearned != true {
		t.Errorf("recovery state %v, relearned: %v", router.Core.Recovery.State(), w.knowledge[router].relearned)
	}
}
