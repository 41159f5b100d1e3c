package routing

import "math"

// Concurrency limits: what is in flight to a cache, from a source, over the zone's link, from the origin. A
// limit grows by one for a limit's worth of results in time, and is cut by a share otherwise (AIMD).
const (
	initialAttemptLimit      = 20.0     // at a cache, for all routers of the zone
	initialFillLimit         = 16.0     // for each router
	initialLinkMultiple      = 2.0      // of the transfers that fill the zone's link
	attemptLimitSharerFactor = 2        // times the routers: attempts at caches take long to drain
	cutFactor                = 0.7      // what a cut leaves of a limit
	cutInterval              = 300 * ms // one cut for one incident
	unusedFactor             = 0.995    // for each good result that finds less than half of a limit in use
	independentSharers       = 2.5      // routers: so many may grow a limit at full speed
)

// limit bounds what is in flight.
type limit struct {
	capacity  float64
	sharers   int // routers that share what it bounds
	inUse     int
	lastCut   Micros
	notBefore Micros // with a capacity below 1: of the next attempt
}

func (r *Router) newAttemptLimit() limit {
	routers := r.locality.ZoneRouters
	return limit{capacity: initialAttemptLimit / float64(routers), sharers: attemptLimitSharerFactor * routers}
}

func (r *Router) newFillLimit() limit {
	return limit{capacity: initialFillLimit, sharers: r.locality.FleetRouters}
}

func (r *Router) newLinkLimit() limit {
	l := limit{capacity: initialFillLimit, sharers: r.locality.ZoneRouters}
	transfers := r.linkTransfers()
	if transfers > 0 {
		l.capacity = initialLinkMultiple * transfers / float64(r.locality.ZoneRouters)
	}
	return l
}

// available reports whether one more may go.
func (l *limit) available(now Micros) bool {
	if l.inUse == 0 && now >= l.notBefore {
		return true
	}
	return l.capacity >= 1 && float64(l.inUse) < l.capacity
}

// grow adds one for a limit's worth of good results, slower where many routers share it. A limit that is
// little used shrinks, so that it is near its use when load rises.
func (l *limit) grow() {
	if float64(l.inUse+1) <= l.capacity/2 {
		l.capacity *= unusedFactor
		return
	}
	slowdown := math.Max(float64(l.sharers)/independentSharers, 1)
	l.capacity += 1 / (slowdown * l.capacity)
}

// cut takes a share off, down to this router's part of one.
func (l *limit) cut(now Micros) {
	l.capacity = math.Max(1/float64(l.sharers), l.capacity*cutFactor)
	l.lastCut = now
}

// pace pauses after an attempt where the capacity is below one.
func (l *limit) pace(now, took Micros) {
	l.notBefore = now + Micros(float64(took)*math.Max(0, 1/l.capacity-1))
}

// adjustLimit moves a limit by the result of an attempt that counted in it.
func (r *Router) adjustLimit(l *limit, att *attempt, good bool) {
	switch {
	case good:
		l.grow()
	case r.now-l.lastCut >= cutInterval:
		l.cut(r.now)
		r.lastLimitCut = r.now
	}
	l.pace(r.now, r.now-att.sent)
}

// adjustFillLimits moves the limits behind a fill. A bad one that may have fetched cuts the fetch limit,
// one that did not cuts the link's.
func (r *Router) adjustFillLimits(att *attempt, mayFetch, good bool) {
	if mayFetch {
		r.adjustLimit(&r.fetchLimit, att, good)
	}
	if (good || !mayFetch) && r.endpoints[att.source].Tier != Edge {
		r.adjustLimit(&r.linkLimit, att, good)
	}
}

// countInFlight adds an attempt to the limits that it counts in (n = 1), or takes it off (n = -1).
func (r *Router) countInFlight(att *attempt, n int) {
	r.endpoints[att.cache].attemptLimit.inUse += n
	if !att.mayFill {
		return
	}
	source := &r.endpoints[att.source]
	source.fillLimit.inUse += n
	if source.Tier != Edge { // a sibling's bytes stay within the zone
		r.linkLimit.inUse += n
	}
	if att.mayFetch {
		r.fetchLimit.inUse += n
	}
}

// rescale shrinks a limit at once when more routers share it; where fewer do, it grows as always.
func (l *limit) rescale(ratio float64, sharers int) {
	l.capacity *= math.Min(1, ratio)
	l.sharers = sharers
}

// SetFleetSize sets how many routers share what limits bound: in the zone, and in all. It keeps the sum of
// the limits when many routers come back at once.
func (r *Router) SetFleetSize(zone, fleet int) {
	zoneRatio := float64(r.locality.ZoneRouters) / float64(zone)
	fleetRatio := float64(r.locality.FleetRouters) / float64(fleet)
	r.locality.ZoneRouters = zone
	r.locality.FleetRouters = fleet
	r.linkLimit.rescale(zoneRatio, zone)
	r.fetchLimit.rescale(fleetRatio, fleet)
	for i := range r.endpoints {
		r.endpoints[i].attemptLimit.rescale(zoneRatio, attemptLimitSharerFactor*zone)
		r.endpoints[i].fillLimit.rescale(fleetRatio, fleet)
	}
}

// chargeQuota counts a request against this router's even part of its tenant's quota.
func (r *Router) chargeQuota(req *request) {
	tenant := int(req.Tenant)
	if tenant < 0 || tenant >= len(r.tenants) {
		return
	}
	rate := r.tenants[tenant].QuotaPerSecond / float64(r.locality.FleetRouters)
	tokens := r.quotas[tenant].Refill(seconds(r.now), rate, max(rate, 1))
	req.overQuota = tokens < 1
	if !req.overQuota {
		r.quotas[tenant].Take(1)
	}
}
