package routing

import (
	"log/slog"
	"math"
)

// Outlier detection: an endpoint that appears to be dead is ejected for some time, then gets one attempt
// at a time until one succeeds.
const (
	firstEjectionDuration      = 300 * ms // doubles with each ejection until a success
	maxEjectionDuration        = 4 * second
	maxCountedEjections        = 8          // bounds the doubling
	ejectionsUntilPresumedDead = 2          // consecutive ejections after which an endpoint is presumed dead
	failuresUntilEjection      = 3          // failures without a success between them
	healthCheckValidity        = 2 * second // an older result is ignored
	healthCheckCost            = 0.0005     // in seconds of sending time
)

// A rejection without a reported reason is attributed to the cache itself if it took no longer than the
// greater of localRejectionFactor times the fastest attempt and localRejectionTime.
const (
	localRejectionFactor = 4
	localRejectionTime   = 3 * ms // a loaded cache may take this long
)

// initialFastestAttempt is the time of the fastest attempt before any attempt has ended.
const initialFastestAttempt = second

// eject takes an endpoint out of use for some time. An endpoint that is presumed dead is in slow start
// from now on: it may be back before the endpoint list reports its restart, and all routers together would
// overload it.
func (r *Router) eject(ep *endpoint, presumeDead bool) {
	if ep.ejectedUntil > r.now {
		return
	}
	duration := min(firstEjectionDuration<<ep.ejections, maxEjectionDuration)
	ep.ejectedAt = r.now
	ep.ejectedUntil = r.now + duration
	ep.ejections = min(ep.ejections+1, maxCountedEjections)
	ep.presumedDead = ep.presumedDead || presumeDead || ep.ejections >= ejectionsUntilPresumedDead
	if ep.presumedDead {
		ep.Started = r.now
	}
	r.executor.Log("endpoint ejected",
		slog.Any("endpoint", ep.ID),
		slog.Int64("duration_ms", int64(duration/ms)),
		slog.Any("ejections", ep.ejections),
	)
}

// recordSuccess records a success of a cache or a source. An endpoint that was presumed dead counts as just
// started.
func (r *Router) recordSuccess(ep *endpoint, req *request) {
	r.recordWarmSendTime(ep, req)
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
	ep.fillExpectedBy = 0
}

// recordDisconnect counts a lost connection. Attempts that were in flight together shared the connection and
// count once.
func (r *Router) recordDisconnect(ep *endpoint, att *attempt) {
	if att.sent >= ep.lastDisconnect {
		ep.failures++
		ep.lastDisconnect = r.now
	}
	if ep.failures >= failuresUntilEjection {
		r.eject(ep, false)
	}
}

// recordSourceFailure counts a fill that failed because of its source. inTime says that it failed before
// the end of the request's latency objective. Only parents are ejected, and only if they have not
// succeeded since the attempt was sent. A parent whose connection was lost in time is unreachable and
// ejected at once, any other after failuresUntilEjection failures without a success. The ejected parent
// is presumed dead if it is unreachable, or if this fill failed in time although another source has filled
// since the parent's last success.
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

// sourceAtFault reports whether a rejection or failure was caused by the source. If the cache does not report
// the cause, a quick rejection is attributed to the cache.
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

// AdmitHealthCheck reports whether an endpoint may be checked now. If so, it takes the cost of a health
// check from the endpoint's slow-start budget, even if the caller then performs none.
func (r *Router) AdmitHealthCheck(id EndpointID) bool {
	ep := r.listedEndpoint(id)
	if ep == nil || ep.State != Up {
		return false
	}
	ep.slowStartBudget.Take(healthCheckCost)
	return true
}

// HealthChecked handles the result of a health check by this or another router; age is the time since the
// check. A healthy endpoint's ejection ends, and one that does not answer is ejected. A result is ignored
// if it is older than healthCheckValidity, or than the endpoint's last success or ejection.
func (r *Router) HealthChecked(id EndpointID, healthy bool, age Micros) {
	ep := r.listedEndpoint(id)
	if ep == nil || age > healthCheckValidity || r.now-age <= max(ep.lastSuccess, ep.ejectedAt) {
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
