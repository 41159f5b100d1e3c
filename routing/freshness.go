package routing

import "math"

// Learned freshness: Algorithm 1 (Model Based Caching for Dynamic Content) of "Model-Based and Model-Free
// Learning-Based Caching for Dynamic Content", as applied by docs/design.md. Every size b_n is 1.
//
// The paper's symbols, for object n:
//
//	eit_n  gap         time between two requests, in seconds
//	λ_n    updateRate  updates (purges) per second
//	τ_n    keepTime    how long a copy is worth keeping, in seconds (equation 10)
//	α      alpha       price of keeping a copy for a second, in units of fetchCost
//	c_f    fetchCost   cost of one fill, which the paper calls a fetch: the unit of cost
//	c_a    agingCost   cost of one missed update, in units of fetchCost
//	θ      smoothingFactor
const (
	smoothingFactor = 0.005   // θ: weight of one sample in each smoothed value
	fetchCost       = 1.0     // c_f: cost of one fill
	agingCost       = 5.0     // c_a: cost of one missed update
	targetMissShare = 0.1     // share of expected hits that may be misses
	minGap          = 0.001   // in seconds; least divisor in the computation of α
	maxObjects      = 1 << 15 // number of objects with statistics
)

// Retention ranks of a fill: the shorter the gap between requests, the higher. They are unrelated to the
// hash order of endpoints.
const (
	rankPassThrough = iota // not kept
	rankLow
	rankMiddle
	rankHigh
)

const (
	highRankGaps = 8.0  // a gap shorter than this many typical gaps ranks high
	lowRankGaps  = 30.0 // a gap longer than this many typical gaps ranks low
)

var (
	highRankLogGap = math.Log(highRankGaps)
	lowRankLogGap  = math.Log(lowRankGaps)
)

// recordDemand updates the statistics of a requested object: its gap, and whether it was purged since its
// last fill.
func (r *Router) recordDemand(req *request) {
	if req.Write || req.Background {
		return
	}
	stats := r.objects.recordRequest(req.objectKey, r.now)
	purgedAt, purged := r.lastPurge(req)
	if purged && purgedAt > stats.lastFill && stats.purgesSinceFill == 0 {
		stats.purgesSinceFill = 1
		stats.everPurged = true
	}
}

// recordRequest updates an object's smoothed gap (eit_n) with the time since its last request.
func (t *objectTable) recordRequest(key uint64, now Micros) *objectStats {
	stats, added := t.entries.GetOrAdd(key)
	if added {
		stats.holder = NoEndpoint
	} else {
		t.recordGap(stats, seconds(now-stats.lastRequest))
	}
	stats.lastRequest = now
	return stats
}

// recordGap updates the smoothed gaps with one gap of an object, in seconds.
func (t *objectTable) recordGap(stats *objectStats, gap float64) {
	if gap <= 0 {
		return
	}
	smooth(&stats.gap, gap, smoothingFactor)
	t.largestGap = math.Max(t.largestGap, stats.gap)
	t.typicalLogGap += smoothingFactor * (math.Log(stats.gap) - t.typicalLogGap)
}

// InitRequestGap sets the gap between requests that other routers have observed, unless this router has
// statistics of the object. key is the result of ObjectKey.
func (r *Router) InitRequestGap(key uint64, gap Micros) {
	stats, added := r.objects.entries.GetOrAdd(key)
	if !added {
		return
	}
	stats.holder = NoEndpoint
	stats.gap = seconds(gap)
	stats.lastRequest = r.now
}

// updateRate returns an object's updates per second (λ_n): its purge rate if it was ever purged, else one
// update per freshness lifetime.
func (stats *objectStats) updateRate(lifetime Micros) float64 {
	if !stats.everPurged && lifetime > 0 {
		return 1 / seconds(lifetime)
	}
	return stats.purgeRate
}

// copyKeepTime returns how long a copy is worth keeping (τ_n, equation 10), in seconds. gap is in seconds,
// rate in updates per second.
func copyKeepTime(gap, rate, alpha float64) float64 {
	gain := fetchCost - gap*alpha
	if gain <= 0 {
		return 0
	}
	if rate <= 0 || gap <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, gap*(math.Sqrt(1+2*gain/(agingCost*rate*gap))-1))
}

// rankAndMaxAge returns the retention rank of a fill and the accepted age of a copy. The age is 0 (any
// age) if the class has no freshness lifetime.
func (t *objectTable) rankAndMaxAge(stats *objectStats, lifetime, grace Micros) (rank int, maxAge Micros) {
	if stats.gap == 0 {
		return rankMiddle, lifetime
	}
	rate := stats.updateRate(lifetime)
	return t.rank(stats.gap, rate), acceptedAge(stats.gap, rate, lifetime, grace)
}

// rank returns the retention rank: the shorter the gap, the higher. A copy whose keep time is zero is not
// kept.
func (t *objectTable) rank(gap, rate float64) int {
	if copyKeepTime(gap, rate, t.alpha) == 0 {
		return rankPassThrough
	}
	relativeLogGap := math.Log(gap) - t.typicalLogGap
	if relativeLogGap < highRankLogGap {
		return rankHigh
	}
	if relativeLogGap < lowRankLogGap {
		return rankMiddle
	}
	return rankLow
}

// acceptedAge returns the keep time at α = 0, clamped between the freshness lifetime and the end of grace.
func acceptedAge(gap, rate float64, lifetime, grace Micros) Micros {
	if lifetime <= 0 {
		return 0
	}
	return min(max(micros(copyKeepTime(gap, rate, 0)), lifetime), lifetime+grace)
}

// recordCopy records which cache holds a copy, after a fill or a hit at that cache.
func (t *objectTable) recordCopy(stats *objectStats, cache *endpoint, filled bool, lifetime, now Micros) {
	if filled {
		stats.recordFill(now)
	}
	if filled || stats.holder != cache.ID || stats.holderStarted != cache.Started {
		stats.holder = cache.ID
		stats.holderStarted = cache.Started
		stats.cachedAt = now
	}
	stats.keepTime = micros(copyKeepTime(stats.gap, stats.updateRate(lifetime), t.alpha))
}

// recordFill records a fill, and updates the purge rate with the purges since the last fill.
func (stats *objectStats) recordFill(now Micros) {
	sinceFill := seconds(now - stats.lastFill)
	if stats.everPurged && stats.lastFill > 0 && sinceFill > 0 {
		stats.purgeRate += smoothingFactor * (float64(stats.purgesSinceFill)/sinceFill - stats.purgeRate)
	}
	stats.purgesSinceFill = 0
	stats.lastFill = now
}

// recordExpectedHit counts a request at a cache that was expected to hold a copy. The share of misses
// determines α, the price of keeping a copy, since the router cannot observe how full the caches are.
func (t *objectTable) recordExpectedHit(missed bool) {
	t.missShare -= smoothingFactor * t.missShare
	if missed {
		t.missShare += smoothingFactor
	}
	t.alpha = fetchCost * math.Max(0, t.missShare/targetMissShare-1) / math.Max(t.largestGap, minGap)
}

// statsOf returns the statistics of a request's object, or nil if there are none or the request is a write.
func (r *Router) statsOf(req *request) *objectStats {
	if req.Write {
		return nil
	}
	return r.objects.entries.Peek(req.objectKey)
}

// planFreshness sets the retention rank, the accepted age, and whether an aging copy may be served during its
// revalidation.
func (r *Router) planFreshness(req *request, stats *objectStats, plan *ForwardPlan) {
	class := &r.classes[req.Class]
	if req.Background {
		r.planRefresh(req, stats, plan)
		return
	}
	if req.Write {
		return
	}
	plan.Rank = rankMiddle
	plan.MaxAge = class.FreshnessLifetime
	if stats != nil {
		plan.Rank, plan.MaxAge = r.objects.rankAndMaxAge(stats, class.FreshnessLifetime, class.Grace)
	}
	plan.StaleWhileRevalidate = class.FreshnessLifetime > 0 && plan.Rank > rankPassThrough
}

// relaxMaxAge accepts stale copies until the end of grace in two cases: on every retry, and if the plan
// has no source, since the request would fail otherwise. Copies of a class without a freshness lifetime
// are never stale.
func (r *Router) relaxMaxAge(req *request, plan *ForwardPlan) {
	class := &r.classes[req.Class]
	if class.FreshnessLifetime == 0 {
		return
	}
	if plan.Source == plan.Cache || req.attemptCount > 0 {
		plan.MaxAge = class.FreshnessLifetime + class.Grace
	}
}

// expectsHit reports whether a cache should hold an acceptable copy that is within its keep time.
func (r *Router) expectsHit(req *request, stats *objectStats, cache *endpoint) bool {
	return stats != nil && r.now-stats.cachedAt < stats.keepTime && r.likelyHoldsCopy(req, stats, cache)
}

// likelyHoldsCopy reports whether a cache is known to have held an acceptable copy, and has not restarted
// since. The copy must not have been purged or have reached its freshness lifetime.
func (r *Router) likelyHoldsCopy(req *request, stats *objectStats, cache *endpoint) bool {
	if stats.holder != cache.ID || stats.holderStarted != cache.Started {
		return false
	}
	purgedAt, purged := r.lastPurge(req)
	if purged && purgedAt > stats.cachedAt {
		return false
	}
	lifetime := r.classes[req.Class].FreshnessLifetime
	return lifetime == 0 || r.now-stats.cachedAt < lifetime
}
