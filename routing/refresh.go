package routing

import "math"

// Refresh ahead: copies that are likely to be requested again are fetched again before they are stale,
// where no request pays for it.
const (
	refreshRequests    = 0.5      // that a refreshed copy must expect within its keep time
	refreshMaxAgeShare = 0.5      // of the freshness lifetime: an older copy is fetched again
	backgroundShare    = 0.5      // of each limit, that background work may find in use
	calmAfterCut       = 500 * ms // without a limit cut
)

// EnableRefreshAhead sets whether copies that are worth a refresh are named to the executor.
func (r *Router) EnableRefreshAhead(on bool) { r.refreshAhead = on }

// suggestRefresh names a delivered copy that is worth a refresh.
func (r *Router) suggestRefresh(req *request, att *attempt, stats *objectStats, generatedAt Micros) {
	lifetime := r.classes[req.Class].FreshnessLifetime
	if !r.refreshAhead || req.Background || lifetime <= 0 || generatedAt <= 0 || att.rank == rankPassThrough {
		return
	}
	if r.objects.worthRefreshing(stats, lifetime, r.locality.ZoneRouters) {
		r.executor.SuggestRefresh(req.id, generatedAt+lifetime, micros(stats.gap))
	}
}

// worthRefreshing reports whether the zone is expected to request an object within its keep time and
// freshness lifetime.
func (t *objectTable) worthRefreshing(stats *objectStats, lifetime Micros, zoneRouters int) bool {
	gap := stats.gap / float64(zoneRouters) // each router sees its part of the requests
	if gap <= 0 {
		return false
	}
	useful := math.Min(copyKeepTime(gap, stats.updateRate(lifetime), t.alpha), seconds(lifetime))
	return useful >= refreshRequests*gap
}

// PlanBackground reports where background work would go now, and whether it may. Nothing is sent.
func (r *Router) PlanBackground(work Request) (ForwardPlan, bool) {
	req := request{Request: work}
	r.prepare(&req)
	plan, _, ok := r.plan(&req)
	return plan, ok && r.backgroundFits(&req, plan)
}

// planRefresh sets the rank and the accepted age of a refresh. Its copy must be a new one.
func (r *Router) planRefresh(req *request, stats *objectStats, plan *ForwardPlan) {
	class := &r.classes[req.Class]
	if stats == nil || stats.gap == 0 {
		stats = &objectStats{gap: seconds(req.Gap)}
	}
	plan.Rank, _ = r.objects.rankAndMaxAge(stats, class.FreshnessLifetime, class.Grace)
	plan.MaxAge = Micros(refreshMaxAgeShare * float64(class.FreshnessLifetime))
}

// backgroundFits reports whether background work may go. It must cost no request anything: it takes no
// capacity that one waits for, nor a slow-start budget, and does nothing under pressure.
func (r *Router) backgroundFits(req *request, plan ForwardPlan) bool {
	cache, source := &r.endpoints[plan.Cache], &r.endpoints[plan.Source]
	if req.Write || r.classes[req.Class].Effect != Idempotent {
		return false
	}
	if cache.Tier != Edge || plan.Source == plan.Cache || r.inSlowStart(cache) || r.inSlowStart(source) {
		return false
	}
	for _, l := range [...]*limit{&cache.attemptLimit, &source.fillLimit, &r.linkLimit, &r.fetchLimit} {
		if float64(l.inUse+1) > backgroundShare*l.capacity {
			return false
		}
	}
	return !r.UnderPressure()
}

// UnderPressure reports whether requests are queued or late, a limit was cut a moment ago, or the router
// sees overload.
func (r *Router) UnderPressure() bool {
	if r.overloaded || len(r.queue) > 0 || r.lateSuccessShare.Value >= congestionLateShare {
		return true
	}
	return r.lastLimitCut > 0 && r.now-r.lastLimitCut < calmAfterCut
}
