package routing

import (
	"log/slog"
	"math"
)

// Outlier detection: an endpoint that shows itself dead is ejected for a while, then tried by one attempt.
const (
	firstEjection         = 300 * ms // doubles with each ejection that no success ends
	longestEjection       = 4 * second
	ejectionsCounted      = 8          // at most: bounds the doubling
	ejectionsUntilDead    = 2          // in a row, after which an endpoint is presumed dead
	failuresUntilEjection = 3          // with no success between them
	healthCheckValidity   = 2 * second // an older result says nothing
	healthCheckCost       = 0.0005     // seconds of sending
)

// A rejection whose reason is not reported is the cache's own if it came within both.
const (
	localRejectionFactor = 4      // times the fastest attempt
	localRejectionTime   = 3 * ms // a loaded cache may take that long
)

// initialFastestAttempt stands until an attempt has ended.
const initialFastestAttempt = second

// eject takes an endpoint out of use for a while. One that died is in slow start from now on: it may be
// back before the endpoint list tells of its restart, and all routers together would overload it.
func (r *Router) eject(ep *endpoint, died bool) {
	if ep.ejectedUntil > r.now {
		return
	}
	duration := min(firstEjection<<ep.ejections, longestEjection)
	ep.ejectedAt = r.now
	ep.ejectedUntil = r.now + duration
	ep.ejections = min(ep.ejections+1, ejectionsCounted)
	ep.presumedDead = ep.presumedDead || died || ep.ejections >= ejectionsUntilDead
	if ep.presumedDead {
		ep.Started = r.now
	}
	r.executor.Log("endpoint ejected", slog.Any("endpoint", ep.ID), slog.Int64("duration_ms", int64(duration/ms)),
		slog.Any("ejections", ep.ejections))
}

// recordSuccess takes a success of a cache or a source. One that was presumed dead has just started.
func (r *Router) recordSuccess(ep *endpoint, req *request) {
	r.recordWarmWork(ep, req)
	if ep.ejections > 0 {
		r.executor.Log("endpoint recovered", slog.Any("endpoint", ep.ID), slog.Any("ejections", ep.ejections))
	}
	if ep.presumedDead {
		ep.Started = r.now
	}
	ep.ejections = 0
	ep.failures = 0
	ep.lastSuccess = r.now
	ep.presumedDead = false
	ep.silentAfter = 0
}

// recordDisconnect counts a lost connection. Attempts that were out together shared it: they count once.
func (r *Router) recordDisconnect(ep *endpoint, att *attempt) {
	if att.sent >= ep.lastDisconnect {
		ep.failures++
		ep.lastDisconnect = r.now
	}
	if ep.failures >= failuresUntilEjection {
		r.eject(ep, false)
	}
}

// recordSourceFailure counts a fill that failed for its source. A parent that can't be reached is ejected
// at once, another after failures with no success between them; it died if it failed in time while others
// filled.
func (r *Router) recordSourceFailure(ep *endpoint, att *attempt, inTime, connectionLost bool) {
	r.adjustLimit(&ep.fillLimit, att, false)
	addFillLatency(&ep.fillLatency, math.Max(ep.fillLatency.Value, float64(r.now-att.sent)), r.now)
	if ep.Tier != Parent || ep.lastSuccess >= att.sent {
		return
	}
	ep.failures++
	unreachable := inTime && connectionLost
	if unreachable || ep.failures >= failuresUntilEjection {
		r.eject(ep, unreachable || inTime && r.lastFill > ep.lastSuccess)
	}
}

// sourceAtFault reports whether a rejection or failure is the source's. Where the cache does not tell, a
// quick one is the cache's own.
func (r *Router) sourceAtFault(result *AttemptResult) bool {
	switch result.CacheStatus {
	case CacheBusy:
		return false
	case CacheStatusUnknown:
		return result.Elapsed > max(localRejectionFactor*r.fastestAttempt, localRejectionTime)
	default:
		return true
	}
}

// MayHealthCheck reports whether an endpoint may be checked now. If so it charges the check to the
// endpoint's slow-start budget, whether or not the check is then made.
func (r *Router) MayHealthCheck(id EndpointID) bool {
	ep := r.listedEndpoint(id)
	if ep == nil || ep.State != Up {
		return false
	}
	ep.slowStartBudget.Take(healthCheckCost)
	return true
}

// HealthChecked takes the result of a health check of this router or of another, made so long ago. A
// healthy endpoint's ejection ends; one that does not answer is ejected, unless it answered since.
func (r *Router) HealthChecked(id EndpointID, healthy bool, ago Micros) {
	ep := r.listedEndpoint(id)
	if ep == nil || ago > healthCheckValidity || r.now-ago <= max(ep.lastSuccess, ep.ejectedAt) {
		return
	}
	if !healthy {
		r.eject(ep, false)
		return
	}
	if ep.ejectedUntil > r.now {
		ep.ejectedUntil = r.now
		r.executor.Log("ejection ended by health check", slog.Any("endpoint", ep.ID))
	}
}
