package routing

import "math"

// Concurrency limits bound the attempts in flight to a cache, and the fills in flight from a source, over
// the zone's link and from the origin. They adapt by additive increase and multiplicative decrease (AIMD):
// a limit of n grows by one in the course of n results that are on time, and is cut by a factor after one
// that is not.
const (
	initialAttemptLimit      = 20.0     // of a cache, divided among the routers of the zone
	initialFillLimit         = 16.0     // per router
	initialLinkMultiple      = 2.0      // multiple of the concurrent answers that saturate the zone's link
	attemptLimitRouterFactor = 2        // multiplies the routers: slower growth, as attempts take long to drain
	cutFactor                = 0.7      // share of a limit that remains after a cut
	minCutInterval           = 300 * ms // minimum time between two cuts, so that one incident causes one cut
	underuseFactor           = 0.995    // factor per result on time, while less than half of a limit is in use
	manyRouters              = 2.5      // above this number of routers, a shared limit grows more slowly
)

// limit bounds the number of attempts in flight. Invariant: inUse equals the number of attempts in flight
// that count in it (see countInFlight).
type limit struct {
	capacity  float64
	routers   int // number that share the resource, times attemptLimitRouterFactor for attempt limits
	inUse     int
	lastCut   Micros
	notBefore Micros // earliest time of the next attempt, if capacity is below 1
}

func (r *Router) newAttemptLimit() limit {
	routers := r.locality.ZoneRouters
	return limit{capacity: initialAttemptLimit / float64(routers), routers: attemptLimitRouterFactor * routers}
}

func (r *Router) newFillLimit() limit {
	return limit{capacity: initialFillLimit, routers: r.locality.FleetRouters}
}

func (r *Router) newLinkLimit() limit {
	l := limit{capacity: initialFillLimit, routers: r.locality.ZoneRouters}
	transfers := r.linkTransfers()
	if transfers > 0 {
		l.capacity = initialLinkMultiple * transfers / float64(r.locality.ZoneRouters)
	}
	return l
}

// available reports whether one more attempt may be sent.
func (l *limit) available(now Micros) bool {
	if l.inUse == 0 && now >= l.notBefore {
		return true
	}
	return l.capacity >= 1 && float64(l.inUse) < l.capacity
}

// grow raises the capacity c by 1/c, so that c calls raise it by about one, and by less if many routers
// share the limit. A limit of which less than half is in use shrinks instead: otherwise it would be far
// above the actual use, and bound nothing, when the load rises.
func (l *limit) grow() {
	if float64(l.inUse+1) <= l.capacity/2 {
		l.capacity *= underuseFactor
		return
	}
	slowdown := math.Max(float64(l.routers)/manyRouters, 1)
	l.capacity += 1 / (slowdown * l.capacity)
}

// cut multiplies the capacity by cutFactor, but keeps at least this router's share of one attempt, or for an
// attempt limit 1/attemptLimitRouterFactor of that share.
func (l *limit) cut(now Micros) {
	l.capacity = math.Max(1/float64(l.routers), l.capacity*cutFactor)
	l.lastCut = now
}

// delayNextAttempt delays the next attempt if the capacity is below one, so that the average number in
// flight is no more than the capacity. duration is how long the attempt that has just ended took.
func (l *limit) delayNextAttempt(now, duration Micros) {
	l.notBefore = now + Micros(float64(duration)*math.Max(0, 1/l.capacity-1))
}

// adjustLimit grows a limit after an attempt that counted in it and was on time. Otherwise it cuts the
// limit, unless that was cut within minCutInterval.
func (r *Router) adjustLimit(l *limit, att *attempt, onTime bool) {
	switch {
	case onTime:
		l.grow()
	case r.now-l.lastCut >= minCutInterval:
		l.cut(r.now)
		r.lastLimitCut = r.now
	}
	l.delayNextAttempt(r.now, r.now-att.sent)
}

// adjustFillLimits adjusts the fetch limit and the link limit after a fill. A fill that is late or has
// failed cuts the fetch limit if it may have fetched from the origin, and the link limit if not.
func (r *Router) adjustFillLimits(att *attempt, mayFetch, onTime bool) {
	if mayFetch {
		r.adjustLimit(&r.fetchLimit, att, onTime)
	}
	if (onTime || !mayFetch) && r.endpoints[att.source].Tier != Edge {
		r.adjustLimit(&r.linkLimit, att, onTime)
	}
}

// countInFlight adds an attempt to the limits it counts in (delta = 1), or removes it (delta = -1).
func (r *Router) countInFlight(att *attempt, delta int) {
	r.endpoints[att.cache].attemptLimit.inUse += delta
	if !att.expectFill {
		return
	}
	source := &r.endpoints[att.source]
	source.fillLimit.inUse += delta
	if source.Tier != Edge { // a sibling's answer stays within the zone
		r.linkLimit.inUse += delta
	}
	if att.mayFetch {
		r.fetchLimit.inUse += delta
	}
}

// rescale adapts a limit to another number of routers; ratio is the old number divided by the new. A limit
// that more routers share shrinks at once. If fewer share it, it grows gradually as usual.
func (l *limit) rescale(ratio float64, routers int) {
	l.capacity *= math.Min(1, ratio)
	l.routers = routers
}

// SetFleetSize sets how many routers share the limits, in the zone and in all zones. It raises no limit,
// so that the sum of all routers' limits does not grow when many routers restart at once.
func (r *Router) SetFleetSize(zone, fleet int) {
	zoneRatio := float64(r.locality.ZoneRouters) / float64(zone)
	fleetRatio := float64(r.locality.FleetRouters) / float64(fleet)
	r.locality.ZoneRouters = zone
	r.locality.FleetRouters = fleet
	r.linkLimit.rescale(zoneRatio, zone)
	r.fetchLimit.rescale(fleetRatio, fleet)
	for i := range r.endpoints {
		r.endpoints[i].attemptLimit.rescale(zoneRatio, attemptLimitRouterFactor*zone)
		r.endpoints[i].fillLimit.rescale(fleetRatio, fleet)
	}
}

// consumeQuota counts a request against this router's equal share of its tenant's quota, or marks the
// request as over quota. Unused quota accumulates for up to one second, but at least to one request.
func (r *Router) consumeQuota(req *request) {
	tenant := int(req.Tenant)
	if tenant < 0 || tenant >= len(r.tenants) {
		return
	}
	rate := r.tenants[tenant].QuotaPerSecond / float64(r.locality.FleetRouters)
	tokens := r.quotaBuckets[tenant].Refill(seconds(r.now), rate, max(rate, 1))
	req.overQuota = tokens < 1
	if !req.overQuota {
		r.quotaBuckets[tenant].Take(1)
	}
}
