package routing

import "threadrun/internal/ewma"

// Two parents whose fill latencies differ by less than this are equally quick: the hash decides.
const (
	tieRatio = 1.3
	tieBase  = 20_000.0 // microseconds, added to both
)

// passedOverFactor is what is left of a slower parent's fill latency each time it is passed over. Without
// it a parent that was slow once would not be asked again.
const passedOverFactor = 0.98

// fillLatencyWindow is the time over which the fill latency of a source is smoothed.
const fillLatencyWindow = 5 * second

// planSource names the source of a fill: a sibling that holds a copy, else what selectSource gives.
func (r *Router) planSource(req *request, stats *objectStats, expectHit bool, plan *ForwardPlan) {
	plan.Source = r.selectSource(req, expectHit, plan.Cache)
	if r.siblingLookup && r.siblingHasCopy(req, stats, plan.Cache) {
		plan.Source = stats.holder
		plan.OnlyIfCached = true
	}
}

// selectSource returns the source of a fill: a parent, or the origin where no parent is up. The cache
// itself stands for none: the request is only sent to look for a copy.
func (r *Router) selectSource(req *request, expectHit bool, cache EndpointID) EndpointID {
	if !req.Write && !r.linkLimit.available(r.now) && !expectHit {
		return cache
	}
	parent, anyParentUp := r.selectParent(req)
	if parent != NoEndpoint {
		return parent
	}
	if anyParentUp || r.origin == NoEndpoint { // the origin behind crowded parents is crowded too
		return cache
	}
	origin := &r.endpoints[r.origin]
	if r.usable(origin) && (req.Write || origin.fillLimit.available(r.now)) {
		return r.origin
	}
	return cache
}

// selectParent takes the quicker of the object's first two parents in hash order that are usable as a
// source. A silent one is asked last. anyUp: some warm parent is up, with or without capacity.
func (r *Router) selectParent(req *request) (parent EndpointID, anyUp bool) {
	first, silent := NoEndpoint, NoEndpoint
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
		case ep.silent(r.now):
			silent = firstOf(silent, id)
		case first == NoEndpoint:
			first = id
		default:
			return r.quicker(first, id), anyUp
		}
	}
	return firstOf(first, silent), anyUp
}

// hasFillCapacity reports whether a parent may be sent one more fill. Writes pass its fill limit.
func (r *Router) hasFillCapacity(ep *endpoint, req *request) bool {
	if !r.withinSlowStartBudget(ep, req) {
		return false
	}
	return req.Write || ep.fillLimit.available(r.now)
}

// firstOf returns the first of two ids that names an endpoint.
func firstOf(a, b EndpointID) EndpointID {
	if a != NoEndpoint {
		return a
	}
	return b
}

// quicker returns the second of two parents only where it is clearly quicker. It has an effect: each call
// that passes the first one over lowers its fill latency, also where the plan is not forwarded.
func (r *Router) quicker(first, second EndpointID) EndpointID {
	a, b := &r.endpoints[first], &r.endpoints[second]
	if (b.fillLatency.Value+tieBase)*tieRatio >= a.fillLatency.Value+tieBase {
		return first
	}
	a.fillLatency.Value *= passedOverFactor
	return second
}

// silent reports whether an attempt that may fill from a source has passed its objective, and no fill came
// since. Each of many routers would else have several attempts out at a dead source before the first one
// times out.
func (ep *endpoint) silent(now Micros) bool { return ep.silentAfter > 0 && ep.silentAfter < now }

// watchForSilence notes until when a word is expected from an attempt's source.
func (r *Router) watchForSilence(req *request, att *attempt) {
	source := &r.endpoints[att.source]
	if att.mayFill && att.source != att.cache && source.silentAfter == 0 {
		source.silentAfter = req.objective
	}
}

// addFillLatency smooths the fill latency of a source; took in microseconds.
func addFillLatency(average *ewma.Average, took float64, now Micros) {
	average.Add(took, seconds(now), seconds(fillLatencyWindow))
}

// spareSlowStartingSource names no source in slow start where a hit is expected. No limit counts a fill
// that happens there nonetheless, nor a background revalidation, so they could overload the source.
func (r *Router) spareSlowStartingSource(expectHit bool, plan *ForwardPlan) {
	if expectHit && r.inSlowStart(&r.endpoints[plan.Source]) {
		plan.Source = plan.Cache
	}
}

// spareOrigin asks parents only for what they hold while the fetch limit is reached, and none where they
// had no copy.
func (r *Router) spareOrigin(req *request, plan *ForwardPlan) {
	if req.Write || r.fetchLimit.available(r.now) || r.endpoints[plan.Source].Tier != Parent {
		return
	}
	plan.OnlyIfCached = !req.sourceMissed
	if req.sourceMissed {
		plan.Source = plan.Cache
	}
}

// EnableSiblingLookup sets whether copies at siblings may be a source, and others are asked for them.
func (r *Router) EnableSiblingLookup(on bool) { r.siblingLookup = on }

// siblingHasCopy reports whether a sibling that holds a copy can be the source: it spares the link and the
// parents.
func (r *Router) siblingHasCopy(req *request, stats *objectStats, cache EndpointID) bool {
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
	return sibling.fillLimit.available(r.now) && r.mayHold(req, stats, sibling)
}

// locateCopies has others asked for a copy when a fill is expected at a cache that is in slow start or not
// the object's first.
func (r *Router) locateCopies(req *request, att *attempt) {
	if !r.siblingLookup {
		req.siblingAsked = false
		return
	}
	asksSibling := att.source != att.cache && r.endpoints[att.source].Tier == Edge
	req.siblingAsked = req.siblingAsked || asksSibling
	cache := &r.endpoints[att.cache]
	if !att.mayFill || req.Background || req.siblingAsked || cache.Tier != Edge {
		return
	}
	if r.inSlowStart(cache) || r.ranking.Rank(req.objectKey, r.zoneCaches, r.nameHash)[0] != att.cache {
		r.executor.LocateCopies(req.id)
	}
}

// CopyLocated enters a copy that others have seen at a cache of this zone, where this router knows of none.
// key is the hash of the object mixed with its part.
func (r *Router) CopyLocated(key uint64, at EndpointID, cachedAt Micros) {
	stats := r.objects.entries.Peek(key)
	if stats == nil || int(at) >= len(r.endpoints) || r.holderListed(stats) {
		return
	}
	ep := &r.endpoints[at]
	if !ep.listed || ep.Tier != Edge || ep.Zone != r.locality.Zone || cachedAt <= ep.Started {
		return
	}
	stats.holder = at
	stats.holderStarted = ep.Started
	stats.cachedAt = cachedAt
	stats.keepTime = 0
	r.admitQueued()
}

// holderListed reports whether the holder of an object's copy is listed and has not restarted since.
func (r *Router) holderListed(stats *objectStats) bool {
	if stats.holder == NoEndpoint {
		return false
	}
	holder := &r.endpoints[stats.holder]
	return holder.listed && stats.holderStarted == holder.Started
}
