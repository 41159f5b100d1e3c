package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
)

const (
	longGap            = 3 * clock.Second // longest acceptable time between two tasks of a lease
	nonIdempotentShare = 0.001            // share of the tasks with which a non-idempotent one is submitted
	noHolder           = -1
)

// LeaseAudit observes the leases of all routers and the tasks that they run for them. It counts long gaps, duplicates
// and tasks under stale terms, and measures takeovers.
type LeaseAudit struct {
	Takeover              *hdrhistogram.Histogram // ms from a holder's death to the next holder's first task
	LongGaps              int                     // gaps of more than longGap between two tasks of a lease
	TasksDone             int
	Duplicates            int // tasks of a lease in an interval in which another router had already run one
	NonIdempotentAccepted int // non-idempotent tasks that were accepted; must be 0
	NonIdempotentRejected int
	FalseDeaths           int   // routers declared dead that run and can be reached
	StaleTerms            int   // tasks of a lease that ran under a lower term than an earlier task
	ViewConvergenceMs     int64 // from a mass restart until all views have converged; -1: not yet, 0: no restart
	Moved                 int   // leases that another router acquired after a death, each counted once per death
	Orphaned              int   // leases whose last task was run by a router that was then killed

	interval      Micros // each lease has one task per interval
	leases        []leaseHistory
	moved         []bool // by lease: counted in Moved since the last death
	countingMoves bool   // from a death until StopCountingMoves
}

// leaseHistory is the history of one lease.
type leaseHistory struct {
	lastTask       Micros
	lastNode       int
	lastInterval   int64
	highestTerm    lease.Term
	holderDied     Micros // when its holder was killed; 0: no holder was killed since the last task
	hasTask        bool
	intervalByNode map[int]int64 // number of the interval of each router's last task
	holder         int           // the last router that acquired the lease, or noHolder
}

func newLeaseAudit(leases int, interval Micros) *LeaseAudit {
	a := &LeaseAudit{
		Takeover: newHistogram(),
		interval: interval,
		leases:   make([]leaseHistory, leases),
		moved:    make([]bool, leases),
	}
	for i := range a.leases {
		a.leases[i] = leaseHistory{intervalByNode: map[int]int64{}, holder: noHolder}
	}
	return a
}

// taskDue reports whether a router has not yet run a task of a lease in this interval.
func (a *LeaseAudit) taskDue(id lease.ID, node int, now Micros) bool {
	last, ok := a.leases[id].intervalByNode[node]
	return !ok || last < int64(now/a.interval)
}

// taskDone records a task that a router has run, and the takeover of the lease if its previous holder was killed.
func (a *LeaseAudit) taskDone(id lease.ID, node int, term lease.Term, now Micros) {
	h := &a.leases[id]
	interval := int64(now / a.interval)
	h.intervalByNode[node] = interval
	a.TasksDone++
	if h.hasTask {
		a.compareWithPrevious(h, node, interval, term, now)
	}
	if h.holderDied > 0 {
		recordDuration(a.Takeover, now-h.holderDied)
		h.holderDied = 0
	}
	h.hasTask = true
	h.lastTask = now
	h.lastNode = node
	h.lastInterval = interval
	h.highestTerm = max(term, h.highestTerm)
}

// compareWithPrevious compares a task with the previous tasks of its lease and counts duplicates, long gaps and stale
// terms.
func (a *LeaseAudit) compareWithPrevious(h *leaseHistory, node int, interval int64, term lease.Term, now Micros) {
	if h.lastInterval == interval && h.lastNode != node {
		a.Duplicates++
	}
	if now-h.lastTask > longGap {
		a.LongGaps++
	}
	if term < h.highestTerm {
		a.StaleTerms++
	}
}

// leaseAcquired records the new holder of a lease, and counts the lease as moved if a router has recently died.
func (a *LeaseAudit) leaseAcquired(id lease.ID, node int) {
	h := &a.leases[id]
	if a.countingMoves && h.holder != node && !a.moved[id] {
		a.moved[id] = true
		a.Moved++
	}
	h.holder = node
}

// nodeKilled records the death of a router, and counts the leases whose last task it ran as orphaned.
func (a *LeaseAudit) nodeKilled(node int, now Micros) {
	for i := range a.leases {
		h := &a.leases[i]
		if h.hasTask && h.lastNode == node {
			h.holderDied = now
			a.Orphaned++
		}
	}
	a.countingMoves = true
	clear(a.moved)
}

// StopCountingMoves stops counting moved leases. Leases that move later are not attributed to the last death.
func (a *LeaseAudit) StopCountingMoves() { a.countingMoves = false }

// OpenGaps counts the leases whose last task was more than longGap ago.
func (a *LeaseAudit) OpenGaps(now Micros) int {
	gaps := 0
	for i := range a.leases {
		h := &a.leases[i]
		if h.hasTask && now-h.lastTask > longGap {
			gaps++
		}
	}
	return gaps
}

// runTasks runs the due tasks of the leases that the router holds.
func (n *Node) runTasks() {
	n.sortHeld()
	audit := n.cluster.Leases
	for _, id := range n.sortedHeld {
		if !audit.taskDue(id, n.index, n.cluster.Now) {
			continue
		}
		term, held := n.Leases.MayRun(id, n.clock())
		if held {
			n.submitNonIdempotent(id)
			audit.taskDone(id, n.index, term, n.cluster.Now)
		}
	}
}

// sortHeld sorts the held leases by id, so that tasks run in the same order in each run of a seed.
func (n *Node) sortHeld() {
	if n.heldSorted {
		return
	}
	n.sortedHeld = n.sortedHeld[:0]
	for i := range n.cluster.leaseCounts.Total() {
		if n.held[lease.ID(i)] {
			n.sortedHeld = append(n.sortedHeld, lease.ID(i))
		}
	}
	n.heldSorted = true
}

// submitNonIdempotent creates, with a probability of nonIdempotentShare, a task that is not idempotent, as a faulty
// caller might. Package lease must reject it.
func (n *Node) submitNonIdempotent(id lease.ID) {
	c := n.cluster
	if c.random.Float64() >= nonIdempotentShare {
		return
	}
	kind := lease.TaskKind(c.random.IntN(4))
	_, err := lease.NewTask(kind, uint64(id), false)
	if err == nil {
		c.Leases.NonIdempotentAccepted++
	} else {
		c.Leases.NonIdempotentRejected++
	}
}
