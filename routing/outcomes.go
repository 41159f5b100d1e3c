package routing

import (
	"log/slog"
	"math"
)

const (
	objectiveReserve    = 0.35       // a limit is cut if less than this share of the latency objective is left
	latenessWindow      = 6 * second // averaging window of lateness
	slowCacheMargin     = 0.15       // a cache is slow if its share of late results exceeds the mean by this
	congestionLateShare = 0.05       // share of late successes below which a timeout may be a lost answer
	overloadWindow      = 1 * second // averaging window of overload
	overloadBeginShare  = 0.15       // overload begins above this share of rejected or timed out attempts
	overloadEndShare    = 0.05       // overload ends at or below this share
)

// evaluation holds the conclusions from an attempt's result: see evaluate.
type evaluation struct {
	late                bool // the result arrived after the latency objective
	nearOrPastObjective bool // less than objectiveReserve of the latency objective was left
	cacheSlow           bool // the cache is late more often than others
	answerLost          bool // the attempt timed out although nothing is overloaded
	mayFetch            bool // a fetch from the origin may have determined the result
}

// waitedForFill reports whether the answer had to wait for a fill.
func (result *AttemptResult) waitedForFill() bool {
	return result.CacheStatus.IsFill() || result.CacheStatus == JoinedFill
}

// applyResult updates the cache, the source, the limits and the overload state from an attempt's result.
func (r *Router) applyResult(req *request, att *attempt, result *AttemptResult) {
	if result.Delayed && result.Outcome == Succeeded { // its time includes the pause
		r.recordSuccess(&r.endpoints[att.cache], req)
		return
	}
	r.fastestAttempt = min(r.fastestAttempt, result.Elapsed)
	source := &r.endpoints[att.source]
	if source.fillLimit.inUse == 0 {
		source.fillExpectedBy = 0
	}
	eval := r.evaluate(req, att, result)
	r.recordLateness(att, result, eval)
	req.fillFailed = result.Outcome == CacheMiss
	switch result.Outcome {
	case Succeeded:
		r.applySuccess(req, att, result, eval)
	case Rejected, Failed:
		r.applyRejection(req, att, result, eval)
	case ConnectFailed:
		r.eject(&r.endpoints[att.cache], true)
	case ConnectionLost: // it may be a network fault: a dead process refuses the next connection
		r.recordDisconnect(&r.endpoints[att.cache], att)
	case TimedOut:
		r.applyTimeout(att, eval)
	}
	r.updateOverload(result.Outcome == Rejected || result.Outcome == TimedOut && !eval.answerLost)
}

// evaluate compares an attempt's result with its objective and with recent results.
func (r *Router) evaluate(req *request, att *attempt, result *AttemptResult) evaluation {
	cache := &r.endpoints[att.cache]
	objective := req.objective - req.arrived
	eval := evaluation{
		late:                r.now > req.objective,
		nearOrPastObjective: r.now > req.objective-Micros(objectiveReserve*float64(objective)),
		// Fetches from the origin do not count: a cache with more of them is not slower itself.
		cacheSlow: result.CacheStatus != FilledFromOrigin &&
			cache.lateShare.Value > r.lateShare.Value+slowCacheMargin,
	}
	if result.Outcome == TimedOut {
		// An answer counts as lost if the cache has answered other requests since the attempt was sent, and few
		// answers are late. Limits must not be cut for a lost answer.
		eval.answerLost = r.lateSuccessShare.Value < congestionLateShare && cache.lastSuccess > att.sent
	}
	fetchRuledOut := eval.late && r.originNotAtFault(req, result)
	eval.mayFetch = att.mayFetch && !fetchRuledOut
	return eval
}

// originNotAtFault reports whether a late success is known not to be caused by a fetch: a parent held the
// copy, or the request spent the time in the router's queue.
func (r *Router) originNotAtFault(req *request, result *AttemptResult) bool {
	if !r.permissions.FullCacheStatus || result.Outcome != Succeeded {
		return false
	}
	return result.CacheStatus == Filled || result.Elapsed < req.objective-req.arrived
}

// recordLateness updates the shares of late results. The share of each cache, and that of all caches
// (Router.lateShare), leave out results that depend on a fetch from the origin, because such results do
// not show how quick the cache is.
func (r *Router) recordLateness(att *attempt, result *AttemptResult, eval evaluation) {
	now, window := seconds(r.now), seconds(latenessWindow)
	showsCacheSpeed := false
	switch result.Outcome {
	case Succeeded:
		r.lateSuccessShare.AddBool(eval.late, now, window)
		showsCacheSpeed = !eval.mayFetch || !result.waitedForFill()
	case TimedOut:
		showsCacheSpeed = !eval.mayFetch && !eval.answerLost
	}
	if showsCacheSpeed {
		r.endpoints[att.cache].lateShare.AddBool(eval.late, now, window)
		r.lateShare.AddBool(eval.late, now, window)
	}
}

// applySuccess adjusts the limits that a successful attempt counted in, including its source's if that
// filled.
func (r *Router) applySuccess(req *request, att *attempt, result *AttemptResult, eval evaluation) {
	cache, source := &r.endpoints[att.cache], &r.endpoints[att.source]
	r.recordSuccess(cache, req)
	if !result.CacheStatus.IsFill() || source == cache {
		if !eval.nearOrPastObjective || !result.waitedForFill() { // a slow source must not cut the cache's limit
			r.adjustLimit(&cache.attemptLimit, att, !eval.nearOrPastObjective)
		}
		return
	}
	addFillLatency(&source.fillLatency, math.Max(0, float64(result.Elapsed-req.sendTime)), r.now)
	r.recordSuccess(source, req)
	r.lastFill = r.now
	if eval.late && eval.cacheSlow { // a slow cache must not cut the limits of sources
		r.adjustLimit(&cache.attemptLimit, att, false)
		return
	}
	r.adjustLimit(&source.fillLimit, att, !eval.late)
	r.adjustFillLimits(att, eval.mayFetch, !eval.late)
}

// applyRejection cuts the limit of the endpoint that rejected the attempt: origin, source or cache.
func (r *Router) applyRejection(req *request, att *attempt, result *AttemptResult, eval evaluation) {
	req.fillFailed = att.source != att.cache && r.sourceAtFault(result)
	switch {
	case result.CacheStatus == OriginFailed: // the parent is not at fault
		r.adjustFillLimits(att, eval.mayFetch, false)
	case req.fillFailed:
		connectionLost := result.CacheStatus == SourceConnectionLost
		r.recordSourceFailure(&r.endpoints[att.source], att, !eval.late, connectionLost)
	case result.Outcome == Rejected:
		r.adjustLimit(&r.endpoints[att.cache].attemptLimit, att, false)
	}
}

// applyTimeout cuts the limits that an attempt without an answer counted in, or ejects a cache that has
// answered nothing since the attempt was sent. A lost answer has no effect.
func (r *Router) applyTimeout(att *attempt, eval evaluation) {
	cache := &r.endpoints[att.cache]
	switch {
	case eval.answerLost:
	case att.expectFill && !eval.cacheSlow:
		r.recordSourceFailure(&r.endpoints[att.source], att, false, false)
		r.adjustFillLimits(att, eval.mayFetch, false)
	case !att.expectFill && cache.lastSuccess < att.sent:
		r.eject(cache, false)
	default:
		r.adjustLimit(&cache.attemptLimit, att, false)
	}
}

// updateOverload detects overload by the share of attempts that were rejected or timed out. In overload,
// the router retries less and sends no background work.
func (r *Router) updateOverload(rejectedOrTimedOut bool) {
	r.overloadShare.AddBool(rejectedOrTimedOut, seconds(r.now), seconds(overloadWindow))
	share := r.overloadShare.Value
	threshold := overloadBeginShare
	if r.overloaded {
		threshold = overloadEndShare
	}
	if r.overloaded == (share > threshold) {
		return
	}
	r.overloaded = !r.overloaded
	message := "overload ended"
	if r.overloaded {
		message = "overload began"
	}
	r.executor.Log(message, slog.Float64("bad_share", math.Round(share*100)/100))
}

// recordCopyHolder records which cache holds a copy of the object according to an attempt's result. A
// cache miss clears the holder if it was the attempt's cache or source.
func (r *Router) recordCopyHolder(req *request, att *attempt, result *AttemptResult) {
	stats := r.statsOf(req)
	if stats == nil {
		return
	}
	cache := &r.endpoints[att.cache]
	if result.Outcome == Succeeded && cache.Tier == Edge && result.impliesCachedCopy() {
		r.recordCopyAnswer(req, att, stats, result)
	}
	if result.Outcome == CacheMiss && (stats.holder == att.source || stats.holder == att.cache) {
		stats.holder = NoEndpoint
	}
}

// impliesCachedCopy reports whether the cache had or obtained a copy of its own to answer from.
func (result *AttemptResult) impliesCachedCopy() bool {
	return result.CacheStatus.IsFill() || result.CacheStatus == Hit || result.CacheStatus == Stale
}

// recordCopyAnswer updates the object's statistics after an answer from a copy at a cache of the zone.
func (r *Router) recordCopyAnswer(req *request, att *attempt, stats *objectStats, result *AttemptResult) {
	cache := &r.endpoints[att.cache]
	filled := result.CacheStatus.IsFill()
	if !req.Background && r.expectsHit(req, stats, cache) {
		r.objects.recordExpectedHit(filled)
	}
	if r.refreshAhead && stats.holder == cache.ID && result.CreatedAt > stats.cachedAt {
		// Another router has refreshed the copy.
		stats.cachedAt = result.CreatedAt
	}
	r.suggestRefresh(req, att, stats, result.CreatedAt)
	if att.rank > rankPassThrough {
		r.objects.recordCopy(stats, cache, filled, r.classes[req.Class].FreshnessLifetime, r.now)
		return
	}
	if filled && stats.holder == cache.ID {
		stats.holder = NoEndpoint
	}
}
