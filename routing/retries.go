package routing

import "math"

const (
	maxAttempts = 3        // for one request
	keyMargin   = 100 * ms // a keyed request is not retried within this time before the end of its key window
	retrySpread = 0.5      // share of the longest Retry-After that is random, to spread clients
)

// Values of latestRepeat that are no times.
const (
	notAgain Micros = -1            // the request may not be sent again
	noLimit  Micros = math.MaxInt64 // the request may be sent at any time
)

// ProvesNotRun reports whether an attempt with this outcome is known not to have run.
func (o Outcome) ProvesNotRun() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == CacheMiss
}

// recordMayHaveRun records the first attempt that may have run, which restricts all later attempts.
func (req *request) recordMayHaveRun(att *attempt, outcome Outcome) {
	if req.mayHaveRun || outcome == Succeeded || outcome.ProvesNotRun() {
		return
	}
	req.mayHaveRun = true
	req.mayHaveRunSince = att.sent
	req.mayHaveRunAt = att.cache
}

// retry continues a request after an attempt that did not succeed.
func (r *Router) retry(req *request, att *attempt, result *AttemptResult) {
	outcome := result.Outcome
	if result.NoRetry || !r.mayRetry(req, outcome) {
		r.rejectOrFail(req)
		return
	}
	if outcome == CacheMiss && att.onlyIfCached {
		req.sourceMissed = true
	}
	if outcome == CacheMiss && (att.onlyIfCached || att.source == att.cache) {
		r.queueForFill(req)
		return
	}
	r.dispatch(req)
}

// mayRetry reports whether a request may have another attempt. In overload a request is retried only if
// its last attempt had little cost.
func (r *Router) mayRetry(req *request, outcome Outcome) bool {
	if req.Background || r.now >= req.deadline {
		return false
	}
	if req.attemptCount >= min(maxAttempts, r.permissions.MaxAttempts) {
		return false
	}
	lowCost := outcome == CacheMiss || outcome == ConnectFailed || outcome == NotSent
	if r.overloaded && !lowCost {
		return false
	}
	return r.mayRunAgain(req, r.now)
}

// queueForFill queues a request until a fill is possible or a copy is located. It is called after an
// attempt that only looked for a copy, at the cache or at a source, and found none.
func (r *Router) queueForFill(req *request) {
	req.lookupMissed = true
	r.enqueue(req)
	if r.siblingLookup && req.state == stateQueued {
		r.executor.LocateCopies(req.id)
	}
}

// mayRunAgain reports whether a request may be sent again at the given time without taking effect twice.
func (r *Router) mayRunAgain(req *request, at Micros) bool { return at <= r.latestRepeat(req) }

// latestRepeat returns the latest time at which a request may be sent, or sent again, without taking effect
// twice: notAgain or noLimit, or a time within its key window.
func (r *Router) latestRepeat(req *request) Micros {
	class := &r.classes[req.Class]
	switch {
	case !req.mayHaveRun || class.Effect == Idempotent:
		return noLimit
	case class.Effect == Keyed:
		return req.mayHaveRunSince + class.KeyWindow - keyMargin
	default:
		return notAgain
	}
}

// inKeyScope reports whether a cache would drop a repeat of a keyed request that may have run. It returns
// true for any other request.
func (r *Router) inKeyScope(req *request, ep *endpoint) bool {
	class := &r.classes[req.Class]
	if !req.mayHaveRun || class.Effect != Keyed || class.KeyScope == KeyScopeFleet {
		return true
	}
	ranAt := &r.endpoints[req.mayHaveRunAt]
	if ep.Zone != ranAt.Zone {
		return false
	}
	return class.KeyScope == KeyScopeZone || ep.Cell == ranAt.Cell
}

// clientMayRetry reports whether the client may safely send the request again, to any cache, until the
// longest Retry-After has passed.
func (r *Router) clientMayRetry(req *request) bool {
	class := &r.classes[req.Class]
	if req.mayHaveRun && class.Effect != Idempotent && class.KeyScope != KeyScopeFleet {
		return false
	}
	return r.mayRunAgain(req, r.now+r.permissions.MaxRetryAfter)
}

// rejectOrFail gives the final answer. Only a rejection promises that sending the request again is safe.
func (r *Router) rejectOrFail(req *request) {
	if !req.transition(stateAnswered) {
		return
	}
	refreshAttempted := req.Background && req.attemptCount > 0
	if r.now >= req.deadline || refreshAttempted || !r.clientMayRetry(req) {
		r.executor.Fail(req.id)
	} else {
		r.executor.Reject(req.id, r.retryAfter())
	}
	r.release(req)
}

// retryAfter returns a random time for a client to wait, or 0 if clients are sent no Retry-After.
func (r *Router) retryAfter() Micros {
	return Micros(float64(r.permissions.MaxRetryAfter) * (1 - retrySpread + retrySpread*r.random()))
}
