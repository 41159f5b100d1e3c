package routing

import (
	"math"

	"threadrun/internal/ratelimit"
)

// Slow start: each router sends an endpoint that has just started only a part of the load that it can carry
// without overload, so that all routers together do not overload it.
//
// Load is sending time per second, a utilization: 2.0 means that two answers are being sent at any time
// on average. A router's allowance for an endpoint is the sending time that it may use there in one
// overload window. Slow-start budgets are token buckets that hold seconds of sending time, and refill at
// a rate in seconds per second.
const (
	steadyAllowanceShare = 0.9      // share of the allowance that is used at a steady rate
	burstAllowanceShare  = 0.2      // greatest share of the allowance that may be used at once
	burstDeviations      = 2.0      // see withinSlowStartBudget
	tokenValidShare      = 0.1      // share of the overload window for which a token remains valid
	unweightedShare      = 0.7      // factor of the rate if weights are unknown and routers exceed manyRouters
	minimumWarmLoad      = 2.0      // assumed load of a warm endpoint if nothing is known
	warmLoadGain         = 0.05     // weight of one tick in the smoothed load, when the load rises
	warmLoadDecayFactor  = 0.2      // multiplies warmLoadGain when the load falls, which an incident may cause
	tickInterval         = 250 * ms // interval of updateWarmLoad
)

// defaultWeight is the weight of an endpoint whose list entry has none.
const defaultWeight = 1.0

// inSlowStart reports whether an endpoint has started so recently that its load is limited.
func (r *Router) inSlowStart(ep *endpoint) bool {
	return ep.Tier != Origin && ep.Started > 0 && r.now-ep.Started < r.slowStart[ep.Tier].Ramp
}

// withinSlowStartBudget reports whether slow start permits sending the request to an endpoint. It
// refills this router's budget for the endpoint, but does not take the cost of the request from it: see
// consumeSlowStartBudgets. If the bucket is too small for one request, hasValidToken decides.
func (r *Router) withinSlowStartBudget(ep *endpoint, req *request) bool {
	if !r.inSlowStart(ep) {
		return true
	}
	cost := r.slowStartCost(req, ep)
	if ep.budgetStart != ep.Started {
		r.resetSlowStartBudget(ep, cost)
	}
	rate, routers := r.slowStartRate(ep)
	allowance := rate * seconds(r.slowStart[ep.Tier].OverloadWindow)
	requests := allowance * routers / cost // number that all routers may send in one overload window
	// The bursts of all routers together may exceed the share that is not steady by burstDeviations standard
	// deviations of the number of requests. Its standard deviation is about its square root.
	burst := allowance *
		math.Min(burstAllowanceShare, 1-steadyAllowanceShare+burstDeviations/math.Sqrt(requests))
	if burst >= cost {
		return ep.slowStartBudget.Refill(seconds(r.now), rate*steadyAllowanceShare, burst) >= cost
	}
	return r.hasValidToken(ep, rate, allowance, cost)
}

// resetSlowStartBudget sets a budget to a random level, so that the first requests of all routers do not
// coincide.
func (r *Router) resetSlowStartBudget(ep *endpoint, cost float64) {
	ep.budgetStart = ep.Started
	ep.slowStartBudget = ratelimit.Bucket{}
	ep.slowStartBudget.Take(-r.random() * cost)
}

// slowStartRate returns the load (seconds of sending per second) that this router may send to an endpoint
// now, and how many routers share the endpoint.
func (r *Router) slowStartRate(ep *endpoint) (rate, routers float64) {
	settings := &r.slowStart[ep.Tier]
	age, ramp := float64(r.now-ep.Started), float64(settings.Ramp)
	rampedShare := settings.InitialShare + (1-settings.InitialShare)*age/ramp
	least := r.leastWarmLoad(ep)
	routers = float64(r.locality.ZoneRouters)
	if ep.Tier == Parent {
		routers = float64(r.locality.FleetRouters)
	}
	rate = settings.OverloadMultiple * rampedShare * math.Max(r.warmLoad[ep.Tier]*ep.Weight, least/routers)
	weightKnown := ep.Weight != defaultWeight
	if !weightKnown && float64(r.locality.ZoneRouters) > manyRouters { // the endpoint may be the smallest
		rate *= unweightedShare
	}
	return rate, routers
}

// leastWarmLoad returns the least load that a warm endpoint is assumed to carry. The caches of a complete
// zone together, and any one parent, can carry the full load of the zone's link, because the link has less
// capacity than the endpoints on either side of it. The caches that are listed now may be a small part of
// the zone, as when a lost zone returns one cache at a time.
func (r *Router) leastWarmLoad(ep *endpoint) float64 {
	if ep.Tier == Parent {
		return math.Max(minimumWarmLoad, r.linkTransfers())
	}
	zoneWeight := math.Max(r.zoneWeight, r.completeZoneWeight)
	return math.Max(minimumWarmLoad, r.linkTransfers()*ep.Weight/zoneWeight)
}

// recordZoneWeight raises completeZoneWeight to the weight of the caches that are up and warm. Draining
// caches and those in slow start do not count: while caches are replaced, the zone would count twice.
func (r *Router) recordZoneWeight() {
	warmWeight := 0.0
	for _, id := range r.zoneCaches {
		ep := &r.endpoints[id]
		if ep.State == Up && !r.inSlowStart(ep) {
			warmWeight += ep.Weight
		}
	}
	r.completeZoneWeight = math.Max(r.completeZoneWeight, warmWeight)
}

// hasValidToken reports whether a router whose bucket is too small for one request may send one. The
// router gets a token each time the budget has accrued the cost of a request, and holds at most one. An
// unused token expires quickly, and is then removed from the budget: otherwise all routers would keep
// one while there are no requests, and then use them at once.
func (r *Router) hasValidToken(ep *endpoint, rate, allowance, cost float64) bool {
	accrued := math.Max(ep.slowStartBudget.Refill(seconds(r.now), rate*steadyAllowanceShare, math.Inf(1)), 0)
	sinceToken := math.Mod(accrued, cost)
	valid := accrued >= cost && sinceToken <= allowance*steadyAllowanceShare*tokenValidShare
	ep.slowStartBudget.Take(accrued - sinceToken)
	if valid {
		ep.slowStartBudget.Take(-cost)
	}
	return valid
}

// consumeSlowStartBudgets takes the cost of an attempt from the budgets of its cache, and of its source if a
// fill is expected.
func (r *Router) consumeSlowStartBudgets(req *request, att *attempt) {
	for _, id := range [2]EndpointID{att.cache, att.source} {
		ep := &r.endpoints[id]
		if r.inSlowStart(ep) && (id == att.cache || att.expectFill) {
			ep.slowStartBudget.Take(r.slowStartCost(req, ep))
		}
	}
}

// slowStartCost returns what a request takes from a slow-start budget, in seconds. It is at least the mean
// of requests that warm endpoints answered, because the number of requests that an endpoint can carry is
// limited whatever their size.
func (r *Router) slowStartCost(req *request, ep *endpoint) float64 {
	if ep.Tier == Origin {
		return r.cost(req)
	}
	return math.Max(r.cost(req), r.meanWarmSendTime[ep.Tier])
}

// recordWarmSendTime adds an answered request to the load of its tier, unless the endpoint is in slow start.
func (r *Router) recordWarmSendTime(ep *endpoint, req *request) {
	if ep.Tier == Origin || r.inSlowStart(ep) {
		return
	}
	cost := r.cost(req)
	r.tickSendTime[ep.Tier] += cost
	smooth(&r.meanWarmSendTime[ep.Tier], cost, smoothingFactor)
}

// updateWarmLoad updates the smoothed load of a tier's warm endpoints with the requests they answered
// since the last tick. If no endpoint is warm, the last known load remains.
func (r *Router) updateWarmLoad(tier Tier, ids []EndpointID) {
	warmWeight := 0.0
	for _, id := range ids {
		ep := &r.endpoints[id]
		if ep.ejectedUntil <= r.now && !r.inSlowStart(ep) {
			warmWeight += ep.Weight
		}
	}
	if warmWeight > 0 {
		change := r.tickSendTime[tier]/seconds(tickInterval)/warmWeight - r.warmLoad[tier]
		if change < 0 {
			change *= warmLoadDecayFactor
		}
		r.warmLoad[tier] += warmLoadGain * change
	}
	r.tickSendTime[tier] = 0
}
