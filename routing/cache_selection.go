package routing

// selectCache returns the first cache in the object's rendezvous hash order that has capacity. Load does
// not influence the choice beyond that, since the object would be a miss at another cache. anyAtLimit
// reports that a warm cache was skipped because it has no capacity left.
func (r *Router) selectCache(req *request) (cache EndpointID, anyAtLimit bool) {
	for _, id := range r.ranking.Rank(req.objectKey, r.zoneCaches, r.nameHash) {
		ep := &r.endpoints[id]
		if !r.eligible(req, ep) {
			continue
		}
		if r.hasAttemptCapacity(ep, req) {
			return id, false
		}
		anyAtLimit = anyAtLimit || !r.inSlowStart(ep)
	}
	return NoEndpoint, anyAtLimit
}

// eligible reports whether a cache may get a request's next attempt. A cache that was tried before is
// eligible only if the last attempt was a cache miss or failed because of its source.
func (r *Router) eligible(req *request, ep *endpoint) bool {
	if !r.usable(ep) || !r.inKeyScope(req, ep) {
		return false
	}
	return req.fillFailed || !req.attemptedAt(ep.ID)
}

// hasAttemptCapacity reports whether a cache may be sent one more attempt. It changes state: see
// withinSlowStartBudget.
func (r *Router) hasAttemptCapacity(ep *endpoint, req *request) bool {
	if !ep.attemptLimit.available(r.now) {
		return false
	}
	return r.withinSlowStartBudget(ep, req)
}

// usable reports whether an endpoint is up and not ejected. After an ejection it gets a single attempt at
// a time until one succeeds.
func (r *Router) usable(ep *endpoint) bool {
	if !ep.listed || ep.State != Up || ep.ejectedUntil > r.now {
		return false
	}
	return ep.ejections == 0 || ep.idle()
}

// anyCacheUsable reports whether any cache of the zone is usable, even if it has no capacity or is in
// slow start.
func (r *Router) anyCacheUsable() bool {
	for _, id := range r.zoneCaches {
		if r.usable(&r.endpoints[id]) {
			return true
		}
	}
	return false
}

// planBypass plans an attempt at a parent or the origin instead of the zone's caches, if the settings
// permit it. ok is false if the attempt may not be sent.
func (r *Router) planBypass(req *request, plan ForwardPlan) (bypass ForwardPlan, expectFill, ok bool) {
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
