package system

import (
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/simulation/invariants"
)

// Once all faults are long over, all is as before: visits are delivered, and routers that share know one another, go by one map and have come back.
const (
	settlesIn = 10 * clock.Second // of calm
	lastVisit = 500 * ms          // those asked later may not have been answered
	looksAt   = 3 * clock.Second
	mostLost  = 0.1
	fewest    = 40 // visits, for a share to say anything
)

// closingRequests counts the visits of the end.
type closingRequests struct {
	calm  Micros // all faults are over since
	asked map[invariants.RequestID]bool
	good  int
}

// faultsOver is when all of the script is, with the lists and the cold starts that follow; -1: not within the plan.
func (d *Simulation) faultsOver() Micros {
	at := Micros(0)
	for _, l := range d.script {
		at = max(at, l.At+max(l.Span, -l.Span))
	}
	if at += listLag + termMost; at+settlesIn > d.plan.requestsEnd()-looksAt {
		return -1
	}
	return at
}

// count notes the visits that are asked at the end, and which of them are delivered.
func (t *closingRequests) count(d *Simulation, e *invariants.Event) {
	if t.calm < 0 || e.At < d.plan.requestsEnd()-looksAt {
		return
	}
	switch e.Kind {
	case invariants.RequestSent:
		if e.At < d.plan.requestsEnd()-lastVisit {
			t.asked[e.Request] = true
		}
	case invariants.ResponseReceived:
		if t.asked[e.Request] && e.Outcome == invariants.Succeeded {
			t.good++
		}
	}
}

// checkRecovered looks at what has become of all of it.
func (d *Simulation) checkRecovered() {
	t := &d.closing
	if t.calm < 0 || d.history.end > 0 {
		return
	}
	if n := len(t.asked); n >= fewest && float64(n-t.good) > mostLost*float64(n) {
		d.problem("long after the last fault %d of %d visits are delivered", t.good, n)
	}
	var first *shardmap.Map
	for _, r := range d.routers {
		f, on := r.running.Stats()
		if !on {
			return
		}
		switch {
		case f.LivePeers != len(d.routers)-1:
			d.problem("long after the last fault router %d knows %d others", r.no, f.LivePeers)
		case f.ShardMap == nil || f.ShardMapState != shardmap.Active:
			d.problem("long after the last fault router %d goes by no map: %v", r.no, f.ShardMapState)
		case first != nil && first.Digest != f.ShardMap.Digest:
			d.problem("long after the last fault router %d goes by another map", r.no)
		case f.Directory.RecoveryState != recovery.Recovered:
			d.problem("long after the last fault router %d has not come back: %v", r.no, f.Directory.RecoveryState)
		}
		if first == nil {
			first = f.ShardMap
		}
	}
}
