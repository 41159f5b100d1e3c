package routing

import "threadrun/internal/ewma"

// The first parent in hash order is used unless the second is clearly quicker, which it is if
// (b + latencyTieOffset) * latencyTieRatio < a + latencyTieOffset, where a and b are the fill latencies
// of the first and the second parent.
const (
	latencyTieRatio  = 1.3
	latencyTieOffset = 20_000.0 // in microseconds, added to both latencies
)

// passedOverDecay multiplies a slower parent's fill latency each time it is passed over. Otherwise a
// parent that was slow once would never be tried again.
const passedOverDecay = 0.98

// fillLatencyWindow is the averaging window of a source's fill latency.
const fillLatencyWindow = 5 * second

// planSource sets the source of a fill: a sibling that holds a copy, else the result of selectSource.
func (r *Router) planSource(req *request, stats *objectStats, expectHit bool, plan *ForwardPlan) {
	plan.Source = r.selectSource(req, expectHit, plan.Cache)
	if r.siblingLookup && r.siblingCanFill(req, stats, plan.Cache) {
		plan.Source = stats.holder
		plan.OnlyIfCached = true
	}
}

// selectSource returns the source of a fill: a parent, or the origin if no parent is up and out of slow
// start. It returns the cache itself if there is no source: the request is then sent only to look for a
// copy. While the link limit is reached, only writes and expected hits have a source; an expected hit
// does not count in the limit.
func (r *Router) selectSource(req *request, expectHit bool, cache EndpointID) EndpointID {
	if !req.Write && !r.linkLimit.available(r.now) && !expectHit {
		return cache
	}
	parent, anyParentUp := r.selectParent(req)
	if parent != NoEndpoint {
		return parent
	}
	if anyParentUp || r.origin == NoEndpoint { // the origin must not get the excess load of the parents
		return cache
	}
	origin := &r.endpoints[r.origin]
	if r.usable(origin) && (req.Write || origin.fillLimit.available(r.now)) {
		return r.origin
	}
	return cache
}

// selectParent returns the quicker of the object's first two parents in hash order that are usable as a
// source. An unresponsive parent is used only if there is no other. anyUp reports whether any warm parent is
// usable, with or without capacity.
func (r *Router) selectParent(req *request) (parent EndpointID, anyUp bool) {
	first, unresponsive := NoEndpoint, NoEndpoint
	for _, id := range r.ranking.Rank(req.objectKey, r.parents, r.nameHash) {
		ep := &r.endpoints[id]
		if !r.usable(ep) {
			continue
		}
		anyUp = anyUp || !r.inSlowStart(ep)
		if !r.hasFillCapacity(ep, req) {
			continue
		}
		switch {
		case ep.unresponsive(r.now):
			unresponsive = firstValid(unresponsive, id)
		case first == NoEndpoint:
			first = id
		default:
			return r.selectQuicker(first, id), anyUp
		}
	}
	return firstValid(first, unresponsive), anyUp
}

// hasFillCapacity reports whether a parent may be sent one more fill. Writes are exempt from its fill limit.
// It changes state: see withinSlowStartBudget.
func (r *Router) hasFillCapacity(ep *endpoint, req *request) bool {
	if !r.withinSlowStartBudget(ep, req) {
		return false
	}
	return req.Write || ep.fillLimit.available(r.now)
}

// firstValid returns a, or b if a is NoEndpoint.
func firstValid(a, b EndpointID) EndpointID {
	if a != NoEndpoint {
		return a
	}
	return b
}

// selectQuicker returns the first of two parents in hash order unless the second is clearly quicker. Each
// call that passes over the first parent lowers that parent's fill latency, even if the plan is not
// forwarded.
func (r *Router) selectQuicker(first, second EndpointID) EndpointID {
	a, b := &r.endpoints[first], &r.endpoints[second]
	if (b.fillLatency.Value+latencyTieOffset)*latencyTieRatio >= a.fillLatency.Value+latencyTieOffset {
		return first
	}
	a.fillLatency.Value *= passedOverDecay
	return second
}

// unresponsive reports whether an attempt that was expected to fill from the endpoint has passed its
// latency objective, and the endpoint has not filled anything since. If a router waited for the first
// timeout instead, it would have several attempts in flight to a dead source by then, and so would all
// other routers.
func (ep *endpoint) unresponsive(now Micros) bool {
	return ep.fillExpectedBy > 0 && ep.fillExpectedBy < now
}

// recordExpectedFill records the time by which the source of an expected fill should have answered.
func (r *Router) recordExpectedFill(req *request, att *attempt) {
	source := &r.endpoints[att.source]
	if att.expectFill && att.source != att.cache && source.fillExpectedBy == 0 {
		source.fillExpectedBy = req.objective
	}
}

// addFillLatency adds one sample to the fill latency of a source, in microseconds.
func addFillLatency(average *ewma.Average, latency float64, now Micros) {
	average.Add(latency, seconds(now), seconds(fillLatencyWindow))
}

// avoidSlowStartingSource removes a source in slow start from the plan if a hit is expected. If the copy
// is missing after all, or is revalidated in the background, that fill counts in no limit and could
// overload the source.
func (r *Router) avoidSlowStartingSource(expectHit bool, plan *ForwardPlan) {
	if expectHit && r.inSlowStart(&r.endpoints[plan.Source]) {
		plan.Source = plan.Cache
	}
}

// avoidOriginFetch changes a plan while the fetch limit is reached: a parent is asked for its own copies
// only, and no source is used once a parent has had no copy.
func (r *Router) avoidOriginFetch(req *request, plan *ForwardPlan) {
	if req.Write || r.fetchLimit.available(r.now) || r.endpoints[plan.Source].Tier != Parent {
		return
	}
	plan.OnlyIfCached = !req.sourceMissed
	if req.sourceMissed {
		plan.Source = plan.Cache
	}
}

// EnableSiblingLookup sets whether siblings may be fill sources, and whether other routers are asked which
// caches hold a copy.
func (r *Router) EnableSiblingLookup(on bool) { r.siblingLookup = on }

// siblingCanFill reports whether a sibling that holds a copy can be the source, which saves load on the
// link and the parents.
func (r *Router) siblingCanFill(req *request, stats *objectStats, cache EndpointID) bool {
	if !r.permissions.SiblingFills || req.Background || req.siblingAsked {
		return false
	}
	if stats == nil || stats.holder == NoEndpoint || stats.holder == cache {
		return false
	}
	sibling := &r.endpoints[stats.holder]
	if sibling.Tier != Edge || !r.usable(sibling) || r.inSlowStart(sibling) {
		return false
	}
	return sibling.fillLimit.available(r.now) && r.likelyHoldsCopy(req, stats, sibling)
}

// locateCopies asks other routers which caches hold a copy if a fill is expected at a cache that is in
// slow start or is not the object's first in hash order. It does not ask once an attempt of the request
// had a sibling as its source.
func (r *Router) locateCopies(req *request, att *attempt) {
	if !r.siblingLookup {
		req.siblingAsked = false
		return
	}
	asksSibling := att.source != att.cache && r.endpoints[att.source].Tier == Edge
	req.siblingAsked = req.siblingAsked || asksSibling
	cache := &r.endpoints[att.cache]
	if !att.expectFill || req.Background || req.siblingAsked || cache.Tier != Edge {
		return
	}
	if r.inSlowStart(cache) || r.ranking.Rank(req.objectKey, r.zoneCaches, r.nameHash)[0] != att.cache {
		r.executor.LocateCopies(req.id)
	}
}

// CopyLocated records that a cache of this zone holds a copy, as another router has reported, unless this
// router knows a holder itself. key is the result of ObjectKey, and createdAt is when the origin created
// the copy.
func (r *Router) CopyLocated(key uint64, at EndpointID, createdAt Micros) {
	stats := r.objects.entries.Peek(key)
	if stats == nil || int(at) >= len(r.endpoints) || r.holderCurrent(stats) {
		return
	}
	ep := &r.endpoints[at]
	if !ep.listed || ep.Tier != Edge || ep.Zone != r.locality.Zone || createdAt <= ep.Started {
		return
	}
	stats.holder = at
	stats.holderStarted = ep.Started
	stats.cachedAt = createdAt
	stats.keepTime = 0
	r.admitQueued()
}

// holderCurrent reports whether the recorded holder of a copy is listed and has not restarted since it
// was recorded.
func (r *Router) holderCurrent(stats *objectStats) bool {
	if stats.holder == NoEndpoint {
		return false
	}
	holder := &r.endpoints[stats.holder]
	return holder.listed && stats.holderStarted == holder.Started
}
