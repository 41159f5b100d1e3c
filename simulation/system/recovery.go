package system

import (
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/simulation/invariants"
)

// Some time after the last fault a deployment must have recovered: requests are answered, and routers of a cluster know
// one another, use the same shard map and have recovered their state.
const (
	recoveryTime   = 10 * clock.Second // after the last fault
	finalSpan      = 3 * clock.Second  // before the end of requests, in which they are counted
	uncountedSpan  = 500 * ms          // before the end of requests; later ones may not be answered yet
	maxFailedShare = 0.1
	minRequests    = 40 // for a meaningful share
)

// finalRequestCounter counts the requests of the closing span.
type finalRequestCounter struct {
	from      Micros // when the last fault ends; negative: too late to check recovery
	sent      map[invariants.RequestID]bool
	succeeded int
}

// faultsEnd returns when all faults and the restarts after them have ended; -1: too late to check recovery.
func (s *Simulation) faultsEnd() Micros {
	at := Micros(0)
	for _, l := range s.script {
		at = max(at, l.At+max(l.Span, -l.Span))
	}
	at += announceDelay + maxShutdown
	if at+recoveryTime > s.plan.requestsEnd()-finalSpan {
		return -1
	}
	return at
}

// observe counts the requests of the closing span and their successes.
func (c *finalRequestCounter) observe(requestsEnd Micros, e *invariants.Event) {
	if c.from < 0 || e.At < requestsEnd-finalSpan {
		return
	}
	switch e.Kind {
	case invariants.RequestSent:
		if e.At < requestsEnd-uncountedSpan {
			c.sent[e.Request] = true
		}
	case invariants.ResponseReceived:
		if c.sent[e.Request] && e.Outcome == invariants.Succeeded {
			c.succeeded++
		}
	}
}

// checkRecovered reports what has not recovered at the end of the run.
func (s *Simulation) checkRecovered() {
	if s.finalRequests.from < 0 || s.history.stopAt > 0 {
		return
	}
	asked := len(s.finalRequests.sent)
	succeeded := s.finalRequests.succeeded
	if asked >= minRequests && float64(asked-succeeded) > maxFailedShare*float64(asked) {
		s.addProblem("long after the last fault %d of %d requests succeeded", succeeded, asked)
	}
	var first *shardmap.Map
	for _, r := range s.routers {
		stats, clustered := r.server.Stats()
		if !clustered {
			return
		}
		switch {
		case stats.LivePeers != len(s.routers)-1:
			s.addProblem("long after the last fault router %d knows %d others", r.index, stats.LivePeers)
		case stats.ShardMap == nil || stats.ShardMapState != shardmap.Active:
			s.addProblem("long after the last fault router %d has no active map: %v", r.index, stats.ShardMapState)
		case first != nil && first.Digest != stats.ShardMap.Digest:
			s.addProblem("long after the last fault router %d has another map", r.index)
		case stats.Directory.RecoveryState != recovery.Recovered:
			s.addProblem("long after the last fault router %d has not recovered: %v", r.index, stats.Directory.RecoveryState)
		}
		if first == nil {
			first = stats.ShardMap
		}
	}
}
