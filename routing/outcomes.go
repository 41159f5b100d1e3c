package routing

import (
	"log/slog"
	"math"
)

const (
	objectiveReserve    = 0.35       // of the latency objective must be left, or a limit is cut
	latenessWindow      = 6 * second // over which lateness is smoothed
	ownLateness         = 0.15       // share of late results above the router's that shows a slow cache
	congestionLateShare = 0.05       // of successes: below it a time-out is a lost answer, not congestion
	overloadWindow      = 1 * second // over which overload is smoothed
	overloadBegins      = 0.15       // share of attempts rejected or timed out
	overloadEnds        = 0.05
)

// evidence is what an attempt's result says, beyond the result itself.
type evidence struct {
	late       bool // it came after the latency objective
	pressed    bool // little of the latency objective was left, or none
	cacheSlow  bool // the cache is late more often than others
	answerLost bool // it timed out though nothing is overloaded
	mayFetch   bool // it counts as a fetch from the origin
}

// waitedForFill reports whether the answer took the time of a fill.
func (result *AttemptResult) waitedForFill() bool {
	return result.CacheStatus.IsFill() || result.CacheStatus == JoinedFill
}

// observe learns from an attempt's result: first what the result says (evaluate), then what follows from it
// for the cache, the source, the limits and the load.
func (r *Router) observe(req *request, att *attempt, result *AttemptResult) {
	r.fastestAttempt = min(r.fastestAttempt, result.Elapsed)
	source := &r.endpoints[att.source]
	if source.fillLimit.inUse == 0 {
		source.silentAfter = 0
	}
	seen := r.evaluate(req, att, result)
	r.recordLateness(att, result, seen)
	req.fillFailed = result.Outcome == CacheMiss
	switch result.Outcome {
	case Succeeded:
		r.observeSuccess(req, att, result, seen)
	case Rejected, Failed:
		r.observeRejection(req, att, result, seen)
	case ConnectFailed:
		r.eject(&r.endpoints[att.cache], true)
	case ConnectionLost: // may be the network's: a process that died gives no connection next
		r.recordDisconnect(&r.endpoints[att.cache], att)
	case TimedOut:
		r.observeTimeout(att, seen)
	}
	r.observeOverload(result.Outcome == Rejected || result.Outcome == TimedOut && !seen.answerLost)
}

// evaluate sets an attempt's result against its objective and against the other results of late.
func (r *Router) evaluate(req *request, att *attempt, result *AttemptResult) evidence {
	cache := &r.endpoints[att.cache]
	objective := req.objective - req.arrived
	seen := evidence{
		late:    r.now > req.objective,
		pressed: r.now > req.objective-Micros(objectiveReserve*float64(objective)),
		// Fetches do not count: with a slow origin a cache that has more of them would be taken for a slow one.
		cacheSlow: result.CacheStatus != FilledFromOrigin && cache.lateShare.Value > r.lateShare.Value+ownLateness,
	}
	if result.Outcome == TimedOut {
		// The cache answered others meanwhile, and few answers are late. Without this, lost answers would cut
		// limits.
		seen.answerLost = r.lateSuccessShare.Value < congestionLateShare && cache.lastSuccess > att.sent
	}
	fetchRuledOut := seen.late && r.originNotAtFault(req, result)
	seen.mayFetch = att.mayFetch && !fetchRuledOut
	return seen
}

// originNotAtFault reports whether a late success is known to owe nothing to a fetch: a parent held the
// copy, or the time was spent in the queue.
func (r *Router) originNotAtFault(req *request, result *AttemptResult) bool {
	if !r.permissions.FullCacheStatus || result.Outcome != Succeeded {
		return false
	}
	return result.CacheStatus == Filled || result.Elapsed < req.objective-req.arrived
}

// recordLateness counts a result in the shares of late ones. Fetches say nothing of how quick a cache is.
func (r *Router) recordLateness(att *attempt, result *AttemptResult, seen evidence) {
	now, window := seconds(r.now), seconds(latenessWindow)
	showsCache := false
	switch result.Outcome {
	case Succeeded:
		r.lateSuccessShare.AddBool(seen.late, now, window)
		showsCache = !seen.mayFetch || !result.waitedForFill()
	case TimedOut:
		showsCache = !seen.mayFetch && !seen.answerLost
	}
	if showsCache {
		r.endpoints[att.cache].lateShare.AddBool(seen.late, now, window)
		r.lateShare.AddBool(seen.late, now, window)
	}
}

// observeSuccess moves the limits that a success counted in, those of its source if that filled.
func (r *Router) observeSuccess(req *request, att *attempt, result *AttemptResult, seen evidence) {
	cache, source := &r.endpoints[att.cache], &r.endpoints[att.source]
	r.recordSuccess(cache, req)
	if !result.CacheStatus.IsFill() || source == cache {
		if !seen.pressed || !result.waitedForFill() {
			r.adjustLimit(&cache.attemptLimit, att, !seen.pressed)
		}
		return
	}
	addFillLatency(&source.fillLatency, math.Max(0, float64(result.Elapsed-req.sendTime)), r.now)
	r.recordSuccess(source, req)
	r.lastFill = r.now
	if seen.late && seen.cacheSlow { // else sources would be charged for a slow cache
		r.adjustLimit(&cache.attemptLimit, att, false)
		return
	}
	r.adjustLimit(&source.fillLimit, att, !seen.late)
	r.adjustFillLimits(att, seen.mayFetch, !seen.late)
}

// observeRejection cuts the limit of who rejected the attempt: origin, source or cache.
func (r *Router) observeRejection(req *request, att *attempt, result *AttemptResult, seen evidence) {
	req.fillFailed = att.source != att.cache && r.sourceAtFault(result)
	switch {
	case result.CacheStatus == OriginFailed: // nothing is wrong with the parent
		r.adjustFillLimits(att, seen.mayFetch, false)
	case req.fillFailed:
		connectionLost := result.CacheStatus == SourceConnectionLost
		r.recordSourceFailure(&r.endpoints[att.source], att, !seen.late, connectionLost)
	case result.Outcome == Rejected:
		r.adjustLimit(&r.endpoints[att.cache].attemptLimit, att, false)
	}
}

// observeTimeout cuts the limits behind an attempt that got no answer, or ejects a cache that is silent
// altogether.
func (r *Router) observeTimeout(att *attempt, seen evidence) {
	cache := &r.endpoints[att.cache]
	switch {
	case seen.answerLost:
	case att.mayFill && !seen.cacheSlow:
		r.recordSourceFailure(&r.endpoints[att.source], att, false, false)
		r.adjustFillLimits(att, seen.mayFetch, false)
	case !att.mayFill && cache.lastSuccess < att.sent:
		r.eject(cache, false)
	default:
		r.adjustLimit(&cache.attemptLimit, att, false)
	}
}

// observeOverload tells overload by the share of attempts that were rejected or timed out; retries depend
// on it.
func (r *Router) observeOverload(bad bool) {
	r.overloadShare.AddBool(bad, seconds(r.now), seconds(overloadWindow))
	share := r.overloadShare.Value
	threshold := overloadBegins
	if r.overloaded {
		threshold = overloadEnds
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

// learnCopy learns from an attempt's result where copies of its object lie.
func (r *Router) learnCopy(req *request, att *attempt, result *AttemptResult) {
	stats := r.statsOf(req)
	if stats == nil {
		return
	}
	cache := &r.endpoints[att.cache]
	if result.Outcome == Succeeded && cache.Tier == Edge && result.showsCopy() {
		r.learnHit(req, att, stats, result)
	}
	if result.Outcome == CacheMiss && (stats.holder == att.source || stats.holder == att.cache) {
		stats.holder = NoEndpoint
	}
}

// showsCopy reports whether the answer shows what its cache held, or holds from now on.
func (result *AttemptResult) showsCopy() bool {
	return result.CacheStatus.IsFill() || result.CacheStatus == Hit || result.CacheStatus == Stale
}

// learnHit learns from an answer of a cache of the zone.
func (r *Router) learnHit(req *request, att *attempt, stats *objectStats, result *AttemptResult) {
	cache := &r.endpoints[att.cache]
	filled := result.CacheStatus.IsFill()
	if !req.Background && r.expectsHit(req, stats, cache) {
		r.objects.recordExpectedHit(filled)
	}
	if r.refreshAhead && stats.holder == cache.ID && result.GeneratedAt > stats.cachedAt {
		// Another router has refreshed it.
		stats.cachedAt = result.GeneratedAt
	}
	r.suggestRefresh(req, att, stats, result.GeneratedAt)
	if att.rank > rankPassThrough {
		r.objects.recordCopy(stats, cache, filled, r.classes[req.Class].FreshnessLifetime, r.now)
		return
	}
	if filled && stats.holder == cache.ID {
		stats.holder = NoEndpoint
	}
}
