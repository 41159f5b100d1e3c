package cluster

import (
	"slices"
	"testing"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain makes the random tests use the same seeds in each run.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 60) }

const (
	ms       = clock.Millisecond
	second   = clock.Second
	interval = 500 * ms
)

func smallCluster(routers int, loss float64) *Cluster {
	return New(7, routers, 0, lease.Counts{Refresh: 300}, DefaultNetwork(loss), interval)
}

// requireConverged fails the test unless the view of each running router contains exactly the other running routers
// as present, in their current incarnations, and each lease has one holder.
func (c *Cluster) requireConverged(t interface{ Fatalf(string, ...any) }) {
	for i, n := range c.Nodes {
		if !n.Running {
			continue
		}
		present := 0
		n.Membership.Each(func(m membership.Member) {
			if index := c.indexOf(m.Address); m.State.Present() &&
				(!c.Nodes[index].Running || m.Incarnation != c.Nodes[index].Membership.Self().Incarnation) {
				t.Fatalf("the view of router %d has a stale incarnation of router %d, as %v", i, index, m.State)
			} else if m.State.Present() {
				present++
			}
		})
		if present != len(c.HeldCounts())-1 {
			t.Fatalf("the view of router %d has %d of %d other routers as present", i, present, len(c.HeldCounts())-1)
		}
	}
	for id, n := range c.HolderCounts() {
		if n != 1 {
			t.Fatalf("lease %d has %d holders", id, n)
		}
	}
}

// Holders of leases are killed: their leases are taken over within 3 s, also with 30% of the datagrams lost, and few
// other leases move.
func TestTakeover(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		c := New(1, 16, 0, lease.Counts{Refresh: 2000}, DefaultNetwork(loss), interval)
		c.ScheduleKills(4, 60*second, 6*second)
		c.Run(60 * second)
		l := c.Leases
		if p99 := l.Takeover.ValueAtPercentile(99); l.Takeover.TotalCount() < 300 || p99 > 3000 {
			t.Errorf("loss %v: %d takeovers, p99 %d ms", loss, l.Takeover.TotalCount(), p99)
		}
		if l.LongGaps+l.OpenGaps(c.Now) > 0 || l.NonIdempotentAccepted > 0 || l.NonIdempotentRejected == 0 {
			t.Errorf("loss %v: %d long gaps, %d non-idempotent tasks accepted, %d rejected", loss, l.LongGaps,
				l.NonIdempotentAccepted, l.NonIdempotentRejected)
		}
		if moved := float64(l.Moved) / float64(l.Orphaned); moved > 1.3 {
			t.Errorf("loss %v: %.2f leases moved for each lease of a killed router", loss, moved)
		}
		if share := float64(l.Duplicates) / float64(l.TasksDone); share > 0.01 {
			t.Errorf("loss %v: %.3f of the tasks are duplicates", loss, share)
		}
	}
}

// Guards against false deaths: in ten minutes with a tenth of the datagrams lost, routers are suspected, but none
// that runs is declared dead.
func TestNoFalseDeaths(t *testing.T) {
	c := smallCluster(16, 0.1)
	c.Run(600 * second)
	suspicions := uint64(0)
	for _, n := range c.Nodes {
		suspicions += n.Membership.Stats().Suspicions
	}
	if c.Leases.FalseDeaths > 0 || suspicions == 0 {
		t.Fatalf("%d false deaths, %d suspicions", c.Leases.FalseDeaths, suspicions)
	}
	c.requireConverged(t)
}

// The router that holds a third of the leases is killed: all its leases are taken over within 3 s, with no long gap.
func TestDeathOfHeaviestHolder(t *testing.T) {
	c := smallCluster(8, 0.1)
	c.Nodes[3].Weight = 4 // of 11: over a third
	c.Run(12 * second)
	held := c.Nodes[3].Leases.HeldCount()
	if held < 100 {
		t.Fatalf("the heaviest holder has %d of 300 leases", held)
	}
	c.Nodes[3].Kill()
	c.Run(c.Now + 5*second)
	if l := c.Leases; l.OpenGaps(c.Now)+l.LongGaps > 0 || l.Takeover.Max() > 3000 ||
		l.Takeover.TotalCount() != int64(held) {
		t.Errorf("%d long gaps, %d of %d taken over, the last after %d ms", l.LongGaps, l.Takeover.TotalCount(), held,
			l.Takeover.Max())
	}
	c.requireConverged(t)
}

// All routers but one are killed at once: the last takes over all leases.
func TestAllButOneDie(t *testing.T) {
	c := smallCluster(9, 0.1)
	c.Run(12 * second)
	for _, n := range c.Nodes[1:] {
		n.Kill()
	}
	c.Run(c.Now + 8*second)
	if held := c.Nodes[0].Leases.HeldCount(); held != 300 || c.Leases.OpenGaps(c.Now) > 0 {
		t.Errorf("the last router holds %d of 300 leases, %d have a long gap", held, c.Leases.OpenGaps(c.Now))
	}
}

// During a partition each side holds all leases; after its healing each lease has one holder again.
func TestPartitionHeals(t *testing.T) {
	c := smallCluster(10, 0.1)
	convergence := c.SchedulePartition(15*second, 12*second)
	c.Run(26 * second)
	for id, n := range c.HolderCounts() {
		if n != 2 {
			t.Fatalf("during the partition lease %d has %d holders", id, n)
		}
	}
	if c.Leases.OpenGaps(c.Now) > 0 {
		t.Fatalf("%d leases have a long gap during the partition", c.Leases.OpenGaps(c.Now))
	}
	c.Run(45 * second)
	if convergenceMs := convergence(); convergenceMs < 0 || convergenceMs > 6000 {
		t.Errorf("each lease had one holder %d ms after the healing", convergenceMs)
	}
	c.requireConverged(t)
}

// A router that receives but can't send holds no leases, and its leases move to others. A router that sends but does
// not receive considers itself alone, and the others don't consider it alive either.
func TestOneWayPartition(t *testing.T) {
	for _, mute := range []bool{true, false} {
		c := smallCluster(6, 0)
		c.Run(10 * second)
		c.Blocked = func(from, to int) bool { return mute && from == 2 || !mute && to == 2 }
		c.Run(16 * second)
		held := 0
		for id := range 300 {
			if _, holds := c.Nodes[2].Leases.MayRun(lease.ID(id), c.Nodes[2].clock()); holds {
				held++
			}
		}
		if mute && held > 0 {
			t.Errorf("a router that cannot send holds %d leases", held)
		}
		if c.Leases.OpenGaps(c.Now) > 0 {
			t.Errorf("mute %v: %d leases have a long gap", mute, c.Leases.OpenGaps(c.Now))
		}
		c.Blocked = nil
		c.Run(30 * second)
		c.requireConverged(t)
	}
}

// A router restarts twenty times, once after its clock was set back by an hour: each start has a new incarnation, and
// the other routers keep two thirds of their leases.
func TestTwentyRestarts(t *testing.T) {
	c := smallCluster(5, 0.1)
	c.Run(10 * second)
	before := make([]map[lease.ID]bool, 5)
	for i, n := range c.Nodes {
		before[i] = map[lease.ID]bool{}
		for id := range n.held {
			before[i][id] = true
		}
	}
	router := c.Nodes[4]
	incarnations := map[membership.Incarnation]bool{}
	for i := range 20 {
		router.Kill()
		if i == 10 {
			router.ShiftClock(-3600 * second) // incarnations grow although its clock is set back
		}
		c.Run(c.Now + Micros(200+i*70)*ms)
		router.Start()
		c.Run(c.Now + Micros(300+i*90)*ms)
		incarnations[router.Membership.Self().Incarnation] = true
	}
	c.Run(c.Now + 15*second)
	if len(incarnations) != 20 {
		t.Errorf("20 starts have %d incarnations", len(incarnations))
	}
	for i, n := range c.Nodes[:4] {
		kept := 0
		for id := range before[i] {
			if n.held[id] {
				kept++
			}
		}
		if kept < len(before[i])*2/3 {
			t.Errorf("router %d kept %d of %d leases", i, kept, len(before[i]))
		}
	}
	c.requireConverged(t)
}

// A router is paused for five seconds, so that its leases expire, and resumes: it runs no task under an expired term,
// and doesn't declare the other routers dead because it has not heard of them.
func TestPausedRouterResumes(t *testing.T) {
	c := smallCluster(6, 0)
	c.Run(10 * second)
	router := c.Nodes[1]
	held := router.Leases.HeldCount()
	router.Pause()
	c.Run(15 * second)
	staleTerms, falseDeaths := c.Leases.StaleTerms, c.Leases.FalseDeaths
	for id := range 300 {
		if _, holds := router.Leases.MayRun(lease.ID(id), router.clock()); holds {
			t.Fatalf("before its first tick the resumed router considers itself the holder of lease %d", id)
		}
	}
	router.Resume()
	c.Run(25 * second)
	if held == 0 || c.Leases.StaleTerms != staleTerms {
		t.Errorf("it held %d leases before the pause; %d tasks ran under a stale term", held, c.Leases.StaleTerms-staleTerms)
	}
	if c.Leases.FalseDeaths != falseDeaths || router.Membership.Stats().Deaths > 0 {
		t.Error("the resumed router has declared running routers dead")
	}
	c.requireConverged(t)
}

// A partition of a large cluster: at most three reachable routers are declared dead during it or after its healing.
// Guards against suspicions from before the healing that arrive before their refutations.
func TestPartitionOfLargeCluster(t *testing.T) {
	c := New(321, 150, 0, lease.Counts{Refresh: 200}, DefaultNetwork(0.1), interval)
	convergence := c.SchedulePartition(8*second, 8*second)
	c.Run(26 * second)
	if c.Leases.FalseDeaths > 3 {
		t.Errorf("%d false deaths", c.Leases.FalseDeaths)
	}
	if convergenceMs := convergence(); convergenceMs < 0 || convergenceMs > 6000 {
		t.Errorf("each lease had one holder %d ms after the healing", convergenceMs)
	}
}

// 70% of the routers are killed at one time: the others take over their leases, and views converge after the restart.
func TestMassKill(t *testing.T) {
	c := smallCluster(20, 0.1)
	c.ScheduleMassKill(0.7, 8*second, 6*second)
	c.Run(13 * second)
	if running := len(c.HeldCounts()); running != 6 {
		t.Fatalf("%d routers run", running)
	}
	for id, n := range c.HolderCounts() {
		if n == 0 {
			t.Fatalf("lease %d has no holder 5 s after the kill", id)
		}
	}
	c.Network = DefaultNetwork(0)
	c.Run(40 * second)
	c.requireConverged(t)
}

// After a mass kill and restart all views converge within 7 s, and no running router is declared dead.
func TestViewsConvergeAfterMassRestart(t *testing.T) {
	c := New(11, 100, 0, lease.Counts{Refresh: 64}, DefaultNetwork(0.1), interval)
	c.Run(10 * second)
	c.ScheduleMassKill(0.7, c.Now, 3*second)
	c.Run(c.Now + 25*second)
	if v := c.Leases.ViewConvergenceMs; v <= 0 || v > 7000 {
		t.Errorf("views converged after %d ms", v)
	}
	if c.Leases.FalseDeaths > 0 {
		t.Errorf("%d false deaths", c.Leases.FalseDeaths)
	}
}

// A router leaves gracefully: the others record a departure and no death, no lease misses an interval, and each lease
// that is handed over has at most one duplicate task.
func TestPlannedLeave(t *testing.T) {
	c := smallCluster(6, 0)
	c.Run(10 * second)
	router := c.Nodes[1]
	held, duplicates := router.Leases.HeldCount(), c.Leases.Duplicates
	router.Leave(2 * second)
	longestGap := Micros(0)
	for range 200 {
		c.Run(c.Now + 20*ms)
		for i := range c.Leases.leases {
			longestGap = max(longestGap, c.Now-c.Leases.leases[i].lastTask)
		}
	}
	for _, n := range c.Nodes {
		if stats := n.Membership.Stats(); n != router && (stats.Deaths > 0 || stats.Departures == 0) {
			t.Errorf("router %d: %+v", n.index, stats)
		}
	}
	if longestGap > 2*interval {
		t.Errorf("a lease had no task for %v ms", longestGap.Millis())
	}
	if router.Running || held < 30 || c.Leases.Duplicates-duplicates > held {
		t.Errorf("the router held %d leases; %d duplicates, still running: %v", held, c.Leases.Duplicates-duplicates,
			router.Running)
	}
	c.requireConverged(t)
}

// Forged gossip in the name of a member declares all routers dead: no router accepts it, and no lease moves.
func TestForgedDeaths(t *testing.T) {
	c := smallCluster(8, 0)
	c.Run(10 * second)
	acquired := func() (n uint64) {
		for _, node := range c.Nodes {
			n += node.Leases.Stats().Acquired
		}
		return n
	}
	before := acquired()
	for range 20 {
		for _, receiver := range c.Nodes {
			var forged [][]byte
			for _, subject := range c.Nodes {
				forged = append(forged,
					membership.ForgeGossip(c.Nodes[7].Membership.Self(), subject.Membership.Self(), membership.Dead))
			}
			for _, datagram := range forged {
				_ = receiver.Membership.Receive(receiver.clock(), c.Nodes[7].Address, datagram)
			}
		}
		c.Run(c.Now + 50*ms)
	}
	c.Run(c.Now + 10*second)
	if c.Leases.FalseDeaths > 0 || acquired() != before {
		t.Errorf("%d forged deaths accepted, %d leases moved", c.Leases.FalseDeaths, acquired()-before)
	}
	c.requireConverged(t)
}

// Routers that know only two seed nodes at their start learn of all others.
func TestSeedNodes(t *testing.T) {
	c := New(3, 40, 2, lease.Counts{Refresh: 300}, DefaultNetwork(0.1), interval)
	c.Run(20 * second)
	c.requireConverged(t)
}

// With few leases and unequal weights each router holds about its share of the leases, also one that joins late.
func TestLeaseBalance(t *testing.T) {
	c := New(5, 10, 0, lease.Counts{Refresh: 60}, DefaultNetwork(0), interval)
	for i, n := range c.Nodes {
		n.Weight = uint16(1 + i%2) // the sum of the weights is 15
	}
	late := c.Nodes[9]
	c.At(30*ms, late.Kill)
	c.Run(20 * second)
	late.Start()
	c.Run(40 * second)
	for i, n := range c.Nodes {
		share := 60 * float64(n.Weight) / 15
		if held := float64(n.Leases.HeldCount()); held > share*1.25+1 || held < share*0.5 {
			t.Errorf("router %d of weight %d holds %v, its share is %v", i, n.Weight, held, share)
		}
	}
}

// The same seed gives the same run.
func TestSameSeedSameRun(t *testing.T) {
	run := func() []uint64 {
		c := smallCluster(12, 0.2)
		c.ScheduleKills(2, 20*second, 6*second)
		c.Run(20 * second)
		results := []uint64{uint64(c.Leases.TasksDone), uint64(c.Leases.Duplicates), uint64(c.Leases.Takeover.Max())}
		for _, n := range c.Nodes {
			results = append(results, n.DatagramsSent, n.BytesSent)
		}
		return results
	}
	if a, b := run(), run(); !slices.Equal(a, b) {
		t.Fatalf("%v\n%v", a, b)
	}
}
