package cluster

import "threadrun/internal/clock"

const (
	// reassignmentWatch is the time after the death of a router in which leases that move are attributed to that death.
	reassignmentWatch = 6 * clock.Second
	pollInterval      = 50 * clock.Millisecond

	notConverged = int64(-1) // in place of the milliseconds until convergence
)

// ScheduleKills schedules kills of random routers at even intervals within a span. Each killed router restarts after
// restartDelay, but no sooner than reassignmentWatch.
func (c *Cluster) ScheduleKills(kills int, span, restartDelay Micros) {
	for i := range kills {
		c.At(span*Micros(i+1)/Micros(kills+1), func() { c.killRandom(restartDelay) })
	}
}

// killRandom kills a random running router, unless only one runs, and schedules its restart.
func (c *Cluster) killRandom(restartDelay Micros) {
	var running []*Node
	for _, n := range c.Nodes {
		if n.Running {
			running = append(running, n)
		}
	}
	if len(running) < 2 {
		return
	}
	n := running[c.random.IntN(len(running))]
	n.Kill()
	c.At(c.Now+reassignmentWatch, c.Leases.StopCountingMoves)
	c.scheduleRestart(n, max(restartDelay, reassignmentWatch))
}

// scheduleRestart starts a router after a delay, unless it runs again by then.
func (c *Cluster) scheduleRestart(n *Node, delay Micros) {
	c.At(c.Now+delay, func() {
		if !n.Running {
			n.Start()
		}
	})
}

// ScheduleMassKill schedules the kill of a random share of the routers, all at one time. Each killed router restarts
// after restartDelay.
func (c *Cluster) ScheduleMassKill(share float64, at, restartDelay Micros) {
	c.At(at, func() {
		nodes := append([]*Node(nil), c.Nodes...)
		c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		for _, n := range nodes[:int(share*float64(len(nodes))+0.5)] {
			if n.Running {
				n.Kill()
				c.scheduleRestart(n, restartDelay)
			}
		}
		c.At(c.Now+reassignmentWatch, c.Leases.StopCountingMoves)
		c.At(c.Now+restartDelay+1, c.timeViewConvergence)
	})
}

// timeViewConvergence measures the time from now until the views of all running routers have converged, and stores it
// in Leases.ViewConvergenceMs.
func (c *Cluster) timeViewConvergence() {
	c.Leases.ViewConvergenceMs = notConverged
	startedAt := c.Now
	c.poll(c.ViewsConverged, func() { c.Leases.ViewConvergenceMs = millis(c.Now - startedAt) })
}

// poll checks a condition now and then every pollInterval, and makes the call once when the condition holds.
func (c *Cluster) poll(condition func() bool, call func()) {
	if condition() {
		call()
		return
	}
	c.At(c.Now+pollInterval, func() { c.poll(condition, call) })
}

// SchedulePartition schedules a partition of the network into two halves, which starts at a time and heals after a
// span. The returned function reports the milliseconds from the healing until no lease had two holders: -1 means that
// this has not happened yet, and 0 for a span of 0 that there is no partition.
func (c *Cluster) SchedulePartition(at, span Micros) func() int64 {
	if span <= 0 {
		return func() int64 { return 0 }
	}
	convergenceMs := notConverged
	half := len(c.Nodes) / 2
	c.At(at, func() {
		c.Blocked = func(a, b int) bool { return (a < half) != (b < half) }
	})
	c.At(at+span, func() {
		c.Blocked = nil
		healed := c.Now
		c.poll(c.holdersUnique, func() { convergenceMs = millis(c.Now - healed) })
	})
	return func() int64 { return convergenceMs }
}

// holdersUnique reports whether no lease has two holders.
func (c *Cluster) holdersUnique() bool {
	for _, holders := range c.HolderCounts() {
		if holders > 1 {
			return false
		}
	}
	return true
}
