package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
)

const (
	longGap            = 3 * clock.Second // between two tasks of a lease
	nonIdempotentShare = 0.001            // of the tasks are accompanied by a non-idempotent one
	noHolder           = -1
)

// LeaseAudit counts the tasks that all routers do for their leases.
type LeaseAudit struct {
	Takeover              *hdrhistogram.Histogram // ms from a holder's death to the next holder's first task
	LongGaps              int                     // between two tasks of a lease
	TasksDone             int
	Duplicates            int // tasks of a lease in an interval in which another router had done one
	NonIdempotentAccepted int // tasks accepted that must not run twice
	NonIdempotentRejected int
	FalseDeaths           int
	StaleTerms            int   // tasks under a term after one under a higher term
	ViewConvergenceMs     int64 // from a mass restart until all views have converged; -1: not yet, 0: no restart
	Moved                 int   // leases that another router acquired after a death, each counted once
	Orphaned              int   // leases of the dead

	interval Micros // each lease has one task in each
	leases   []leaseHistory
	moved    []bool // since the last death
	watching bool   // moved leases are counted
}

// leaseHistory is the history of one lease.
type leaseHistory struct {
	lastTask       Micros
	lastNode       int
	lastInterval   int64
	highestTerm    lease.Term
	holderDied     Micros // when its holder was killed; 0: it was not, or the lease was taken over
	begun          bool
	intervalByNode map[int]int64 // the interval of each router's last task
	holder         int           // the last router that acquired it
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

// due reports whether a router has not yet done this interval's task of a lease.
func (a *LeaseAudit) due(id lease.ID, node int, now Micros) bool {
	last, ok := a.leases[id].intervalByNode[node]
	return !ok || last < int64(now/a.interval)
}

// done counts a task.
func (a *LeaseAudit) done(id lease.ID, node int, term lease.Term, now Micros) {
	h := &a.leases[id]
	interval := int64(now / a.interval)
	h.intervalByNode[node] = interval
	a.TasksDone++
	if h.begun {
		a.compare(h, node, interval, term, now)
	}
	if h.holderDied > 0 {
		recordDuration(a.Takeover, now-h.holderDied)
		h.holderDied = 0
	}
	h.begun = true
	h.lastTask = now
	h.lastNode = node
	h.lastInterval = interval
	h.highestTerm = max(term, h.highestTerm)
}

// compare compares a task with the one before it.
func (a *LeaseAudit) compare(h *leaseHistory, node int, interval int64, term lease.Term, now Micros) {
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

// acquired notes the new holder of a lease.
func (a *LeaseAudit) acquired(id lease.ID, node int) {
	h := &a.leases[id]
	if a.watching && h.holder != node && !a.moved[id] {
		a.moved[id] = true
		a.Moved++
	}
	h.holder = node
}

// killed notes the death of a router.
func (a *LeaseAudit) killed(node int, now Micros) {
	for i := range a.leases {
		h := &a.leases[i]
		if h.begun && h.lastNode == node {
			h.holderDied = now
			a.Orphaned++
		}
	}
	a.watching = true
	clear(a.moved)
}

// StopWatching stops counting moved leases: those that move from now on move for other reasons than the last death.
func (a *LeaseAudit) StopWatching() { a.watching = false }

// OpenGaps counts the leases whose last task was more than longGap ago.
func (a *LeaseAudit) OpenGaps(now Micros) int {
	gaps := 0
	for i := range a.leases {
		h := &a.leases[i]
		if h.begun && now-h.lastTask > longGap {
			gaps++
		}
	}
	return gaps
}

// runTasks runs the due tasks of the leases that the router holds.
func (n *Node) runTasks() {
	n.orderHeld()
	audit := n.cluster.Leases
	for _, id := range n.heldInOrder {
		if !audit.due(id, n.index, n.cluster.Now) {
			continue
		}
		term, held := n.Leases.Holds(id, n.clock())
		if held {
			n.submitNonIdempotent(id)
			audit.done(id, n.index, term, n.cluster.Now)
		}
	}
}

// orderHeld sorts the held leases, so that each run has the same order of tasks.
func (n *Node) orderHeld() {
	if n.orderValid {
		return
	}
	n.heldInOrder = n.heldInOrder[:0]
	for i := range n.cluster.partitions.Count() {
		if n.held[lease.ID(i)] {
			n.heldInOrder = append(n.heldInOrder, lease.ID(i))
		}
	}
	n.orderValid = true
}

// submitNonIdempotent sometimes submits a task that must not run twice, as a faulty caller might.
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
