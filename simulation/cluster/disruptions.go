package cluster

import "threadrun/internal/clock"

const (
	// reassignmentWatch is how long after a death moved leases are attributed to it.
	reassignmentWatch = 6 * clock.Second
	pollInterval      = 50 * clock.Millisecond

	notConverged = int64(-1)
)

// ScheduleKills schedules kills of random routers at even intervals within a span. Each restarts after a delay.
func (c *Cluster) ScheduleKills(kills int, span, restartDelay Micros) {
	for i := range kills {
		c.At(span*Micros(i+1)/Micros(kills+1), func() { c.killAny(restartDelay) })
	}
}

// killAny kills one of the running routers, unless it is the last.
func (c *Cluster) killAny(restartDelay Micros) {
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
	c.At(c.Now+reassignmentWatch, c.Leases.StopWatching)
	c.scheduleRestart(n, max(restartDelay, reassignmentWatch))
}

func (c *Cluster) scheduleRestart(n *Node, delay Micros) {
	c.At(c.Now+delay, func() {
		if !n.Running {
			n.Start()
		}
	})
}

// ScheduleMassKill schedules the kill of a random share of the routers at one time. Each restarts after a delay.
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
		c.At(c.Now+reassignmentWatch, c.Leases.StopWatching)
		c.At(c.Now+restartDelay+1, c.timeViewConvergence)
	})
}

// timeViewConvergence measures the time from now until the views of all running routers have converged.
func (c *Cluster) timeViewConvergence() {
	c.Leases.ViewConvergenceMs = notConverged
	began := c.Now
	c.poll(c.ViewsConverged, func() { c.Leases.ViewConvergenceMs = millis(c.Now - began) })
}

// poll makes a call once a condition holds. It checks the condition now and then every pollInterval.
func (c *Cluster) poll(condition func() bool, call func()) {
	if condition() {
		call()
		return
	}
	c.At(c.Now+pollInterval, func() { c.poll(condition, call) })
}

// SchedulePartition splits the network into halves for a span. The returned function reports the time from the healing
// until no lease had two holders, in ms; -1: not yet, 0: there is no partition.
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
