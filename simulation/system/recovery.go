package system

import (
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/simulation/invariants"
)

// A deployment must have recovered some time after the last fault: requests succeed, and the routers of a cluster
// consider one another alive, use the same shard map and have recovered their directories. Recovery is checked at
// the end of the run, if the run continues long enough after the last fault.
const (
	recoveryTime   = 10 * clock.Second // least time from the last fault to the final requests
	finalSpan      = 3 * clock.Second  // before the last request; most requests of this span must succeed
	uncountedSpan  = 500 * ms          // before the last request; requests of this span may still be open and do not count
	maxFailedShare = 0.1               // of the counted requests
	minRequests    = 40                // with fewer counted requests the share is not meaningful
)

// finalRequestCounter counts the requests of finalSpan, which ends with the clients' last request.
type finalRequestCounter struct {
	faultsEndAt Micros // when the last fault ends; negative: recovery is not checked
	sent        map[invariants.RequestID]bool
	succeeded   int
}

// faultsEnd returns when all faults and the restarts after them have ended. It returns -1 if too little time is left
// then to check recovery.
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

// observe counts the requests of the final span and their successes.
func (c *finalRequestCounter) observe(requestsEnd Micros, e *invariants.Event) {
	if c.faultsEndAt < 0 || e.At < requestsEnd-finalSpan {
		return
	}
	switch e.Kind {
	case invariants.RequestSent:
		if e.At < requestsEnd-uncountedSpan {
			c.sent[e.Request] = true
		}
	case invariants.AnswerReceived:
		if c.sent[e.Request] && e.Outcome == invariants.Succeeded {
			c.succeeded++
		}
	}
}

// checkRecovered adds a problem for what has not recovered at the end of the run.
func (s *Simulation) checkRecovered() {
	if s.finalRequests.faultsEndAt < 0 || s.history.stopAt > 0 {
		return
	}
	sent := len(s.finalRequests.sent)
	succeeded := s.finalRequests.succeeded
	if sent >= minRequests && float64(sent-succeeded) > maxFailedShare*float64(sent) {
		s.addProblem("not recovered from the last fault: only %d of the last %d requests succeeded", succeeded, sent)
	}
	var firstMap *shardmap.Map
	for _, r := range s.routers {
		stats, clustered := r.server.Stats()
		if !clustered {
			return
		}
		switch {
		case stats.LivePeers != len(s.routers)-1:
			s.addProblem("not recovered from the last fault: router %d has %d live peers", r.index, stats.LivePeers)
		case stats.ShardMap == nil || stats.ShardMapState != shardmap.Active:
			s.addProblem("not recovered from the last fault: router %d has no active shard map: %v", r.index,
				stats.ShardMapState)
		case firstMap != nil && firstMap.Digest != stats.ShardMap.Digest:
			s.addProblem("not recovered from the last fault: router %d has another shard map than the first router", r.index)
		case stats.Directory.RecoveryState != recovery.Recovered:
			s.addProblem("not recovered from the last fault: the directory of router %d: %v", r.index,
				stats.Directory.RecoveryState)
		}
		if firstMap == nil {
			firstMap = stats.ShardMap
		}
	}
}
