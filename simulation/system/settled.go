package system

import (
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/simulation/invariants"
)

// Once all faults are long over, all is as before: visits are delivered, and routers that share know one another, go by one map and have come back.
const (
	recoveryTime      = 10 * clock.Second // of calm
	lastRequestBefore = 500 * ms          // those asked later may not have been answered
	closingSpan       = 3 * clock.Second
	maxFailedShare    = 0.1
	minRequests       = 40 // visits, for a share to say anything
)

// closingRequests counts the visits of the end.
type closingRequests struct {
	from      Micros // all faults are over since
	asked     map[invariants.RequestID]bool
	succeeded int
}

// faultsOver is when all of the script is, with the lists and the cold starts that follow; -1: not within the plan.
func (d *Simulation) faultsOver() Micros {
	at := Micros(0)
	for _, l := range d.script {
		at = max(at, l.At+max(l.Span, -l.Span))
	}
	if at += announceDelay + maxShutdown; at+recoveryTime > d.plan.requestsEnd()-closingSpan {
		return -1
	}
	return at
}

// count notes the visits that are asked at the end, and which of them are delivered.
func (t *closingRequests) count(d *Simulation, e *invariants.Event) {
	if t.from < 0 || e.At < d.plan.requestsEnd()-closingSpan {
		return
	}
	switch e.Kind {
	case invariants.RequestSent:
		if e.At < d.plan.requestsEnd()-lastRequestBefore {
			t.asked[e.Request] = true
		}
	case invariants.ResponseReceived:
		if t.asked[e.Request] && e.Outcome == invariants.Succeeded {
			t.succeeded++
		}
	}
}

// checkRecovered looks at what has become of all of it.
func (d *Simulation) checkRecovered() {
	t := &d.closing
	if t.from < 0 || d.history.stopAt > 0 {
		return
	}
	if n := len(t.asked); n >= minRequests && float64(n-t.succeeded) > maxFailedShare*float64(n) {
		d.problem("long after the last fault %d of %d visits are delivered", t.succeeded, n)
	}
	var first *shardmap.Map
	for _, r := range d.routers {
		f, on := r.server.Stats()
		if !on {
			return
		}
		switch {
		case f.LivePeers != len(d.routers)-1:
			d.problem("long after the last fault router %d knows %d others", r.index, f.LivePeers)
		case f.ShardMap == nil || f.ShardMapState != shardmap.Active:
			d.problem("long after the last fault router %d goes by no map: %v", r.index, f.ShardMapState)
		case first != nil && first.Digest != f.ShardMap.Digest:
			d.problem("long after the last fault router %d goes by another map", r.index)
		case f.Directory.RecoveryState != recovery.Recovered:
			d.problem("long after the last fault router %d has not come back: %v", r.index, f.Directory.RecoveryState)
		}
		if first == nil {
			first = f.ShardMap
		}
	}
}
