package routing

// selectCache takes the object's cache by rendezvous hash, or the next one in hash order that has capacity.
// Load that caches report moves no request: the object would be a miss at the other cache.
// crowded: a warm cache was passed over for want of capacity.
func (r *Router) selectCache(req *request) (cache EndpointID, crowded bool) {
	for _, id := range r.ranking.Rank(req.objectKey, r.zoneCaches, r.nameHash) {
		ep := &r.endpoints[id]
		if !r.eligible(req, ep) {
			continue
		}
		if r.hasAttemptCapacity(ep, req) {
			return id, false
		}
		crowded = crowded || !r.inSlowStart(ep)
	}
	return NoEndpoint, crowded
}

// eligible reports whether a cache may get a request's next attempt. One that was tried may get it again
// only where its source was at fault.
func (r *Router) eligible(req *request, ep *endpoint) bool {
	if !r.usable(ep) || !r.inKeyScope(req, ep) {
		return false
	}
	return req.fillFailed || !req.triedAt(ep.ID)
}

// hasAttemptCapacity reports whether a cache may be sent one more attempt.
func (r *Router) hasAttemptCapacity(ep *endpoint, req *request) bool {
	if !ep.attemptLimit.available(r.now) {
		return false
	}
	return r.withinSlowStartBudget(ep, req)
}

// usable reports whether an endpoint is up. One whose ejection is over is tried by a single attempt.
func (r *Router) usable(ep *endpoint) bool {
	if !ep.listed || ep.State != Up || ep.ejectedUntil > r.now {
		return false
	}
	return ep.ejections == 0 || ep.idle()
}

// anyCacheUsable reports whether some cache of the zone is up, be it crowded or in slow start.
func (r *Router) anyCacheUsable() bool {
	for _, id := range r.zoneCaches {
		if r.usable(&r.endpoints[id]) {
			return true
		}
	}
	return false
}

// planBypass passes by the zone's caches, to a parent or the origin, where the settings permit it.
func (r *Router) planBypass(req *request, plan ForwardPlan) (bypass ForwardPlan, mayFill, ok bool) {
	if !r.permissions.Bypass || r.origin == NoEndpoint || !r.usable(&r.endpoints[r.origin]) {
		return plan, false, false
	}
	if !req.Write && !r.linkLimit.available(r.now) {
		return plan, false, false
	}
	plan.Rank = rankPassThrough
	plan.StaleWhileRevalidate = false
	plan.Source = r.origin
	plan.MaxAge = r.maxAgeSincePurge(req, plan.MaxAge)
	plan.Cache, _ = r.selectParent(req)
	if plan.Cache == NoEndpoint {
		plan.Cache = r.origin
	}
	ep := &r.endpoints[plan.Cache]
	return plan, true, r.inKeyScope(req, ep) && ep.attemptLimit.available(r.now)
}
