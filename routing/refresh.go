package routing

import "math"

// Refresh ahead: copies that are likely to be requested again are fetched before they become stale, while no
// request needs the capacity.
const (
	minRefreshRequests   = 0.5      // least number of requests expected within a copy's keep time
	refreshMaxAgeShare   = 0.5      // of the freshness lifetime: older copies are fetched again
	backgroundLimitShare = 0.5      // background work may not raise the use of a limit above this share
	pressureAfterCut     = 500 * ms // the router is under pressure for this long after a cut of a limit
)

// EnableRefreshAhead sets whether the Router calls Executor.SuggestRefresh.
func (r *Router) EnableRefreshAhead(on bool) { r.refreshAhead = on }

// suggestRefresh suggests a refresh of a delivered copy if worthRefreshing holds.
func (r *Router) suggestRefresh(req *request, att *attempt, stats *objectStats, createdAt Micros) {
	lifetime := r.classes[req.Class].FreshnessLifetime
	if !r.refreshAhead || req.Background || lifetime <= 0 || createdAt <= 0 || att.rank == rankPassThrough {
		return
	}
	if r.objects.worthRefreshing(stats, lifetime, r.locality.ZoneRouters) {
		r.executor.SuggestRefresh(req.id, createdAt+lifetime, micros(stats.gap))
	}
}

// worthRefreshing reports whether the zone is expected to request an object again within its keep time and
// freshness lifetime.
func (t *objectTable) worthRefreshing(stats *objectStats, lifetime Micros, zoneRouters int) bool {
	gap := stats.gap / float64(zoneRouters) // each router receives an equal share of the requests
	if gap <= 0 {
		return false
	}
	usefulTime := math.Min(copyKeepTime(gap, stats.updateRate(lifetime), t.alpha), seconds(lifetime))
	return usefulTime >= minRefreshRequests*gap
}

// PlanBackground returns the plan for background work at the current time, and whether the work may be
// sent. It sends nothing, but changes state as plan does.
func (r *Router) PlanBackground(work Request) (ForwardPlan, bool) {
	req := request{Request: work}
	r.initialize(&req)
	plan, _, ok := r.plan(&req)
	return plan, ok && r.backgroundAllowed(&req, plan)
}

// planRefresh sets the retention rank and the accepted age of a refresh. The age is shorter than for a
// request, so that a copy that is not new is replaced.
func (r *Router) planRefresh(req *request, stats *objectStats, plan *ForwardPlan) {
	class := &r.classes[req.Class]
	if stats == nil || stats.gap == 0 {
		stats = &objectStats{gap: seconds(req.RequestGap)}
	}
	plan.Rank, _ = r.objects.rankAndMaxAge(stats, class.FreshnessLifetime, class.Grace)
	plan.MaxAge = Micros(refreshMaxAgeShare * float64(class.FreshnessLifetime))
}

// backgroundAllowed reports whether background work may be sent. Such work must not delay any request: it
// uses neither capacity that a request may need nor a slow-start budget, and is not sent under pressure.
func (r *Router) backgroundAllowed(req *request, plan ForwardPlan) bool {
	cache, source := &r.endpoints[plan.Cache], &r.endpoints[plan.Source]
	if req.Write || r.classes[req.Class].Effect != Idempotent {
		return false
	}
	if cache.Tier != Edge || plan.Source == plan.Cache || r.inSlowStart(cache) || r.inSlowStart(source) {
		return false
	}
	for _, l := range [...]*limit{&cache.attemptLimit, &source.fillLimit, &r.linkLimit, &r.fetchLimit} {
		if float64(l.inUse+1) > backgroundLimitShare*l.capacity {
			return false
		}
	}
	return !r.UnderPressure()
}

// UnderPressure reports whether requests are queued or late, a limit was cut recently, or the router is
// overloaded.
func (r *Router) UnderPressure() bool {
	if r.overloaded || len(r.queue) > 0 || r.lateSuccessShare.Value >= congestionLateShare {
		return true
	}
	return r.lastLimitCut > 0 && r.now-r.lastLimitCut < pressureAfterCut
}
