package routing

import (
	"math"

	"threadrun/internal/ratelimit"
)

// Slow start: each router sends an endpoint that has just started a part of what it bears without overload,
// so that all routers may do so at once.
//
// Load is sending time per second, a utilization: 2.0 are two answers in sending at any time on average.
// Rates and burst sizes of slow-start budgets are in the same measure: seconds of sending time a second,
// and seconds.
const (
	steadyShare         = 0.9  // of an endpoint's allowance, as a steady rate
	burstShare          = 0.2  // of one window's allowance, at once
	burstDeviations     = 2.0  // standard deviations of a window's requests, in the bursts of all routers
	turnValidShare      = 0.1  // of the overload window, in which a turn for a single request is valid
	unweightedShare     = 0.7  // of the allowance where many routers burst and weights are unknown
	minimumWarmLoad     = 2.0  // load (see above) where nothing is known
	warmLoadGain        = 0.05 // weight of one tick in the smoothed load, when the load rises
	warmLoadDecayFactor = 0.2  // of that gain when the load falls: in an incident they answer less than they can
	tickInterval        = 250 * ms
)

// defaultWeight is that of an endpoint whose list entry has none.
const defaultWeight = 1.0

// inSlowStart reports whether an endpoint has just started.
func (r *Router) inSlowStart(ep *endpoint) bool {
	return ep.Tier != Origin && ep.Started > 0 && r.now-ep.Started < r.slowStart[ep.Tier].Ramp
}

// withinSlowStartBudget reports whether an endpoint may be sent a request, as far as slow start goes. Each
// router has a token bucket for each endpoint, in seconds of sending; one that may burst no whole request
// takes turns. The call has effects: it refills the bucket, and a turn that it finds is used up whether or
// not the request is then forwarded.
func (r *Router) withinSlowStartBudget(ep *endpoint, req *request) bool {
	if !r.inSlowStart(ep) {
		return true
	}
	cost := r.slowStartCost(req, ep)
	if ep.budgetStart != ep.Started {
		r.startBudget(ep, cost)
	}
	rate, sharers := r.slowStartRate(ep)
	window := rate * seconds(r.slowStart[ep.Tier].OverloadWindow)
	requests := window * sharers / cost // of all routers, in one window
	burst := window * math.Min(burstShare, 1-steadyShare+burstDeviations/math.Sqrt(requests))
	if burst >= cost {
		return ep.slowStartBudget.Refill(seconds(r.now), rate*steadyShare, burst) >= cost
	}
	return r.takeTurn(ep, rate, window, cost)
}

// startBudget begins a budget at a random level: else the first requests of all routers would come at once.
func (r *Router) startBudget(ep *endpoint, cost float64) {
	ep.budgetStart = ep.Started
	ep.slowStartBudget = ratelimit.Bucket{}
	ep.slowStartBudget.Take(-r.random() * cost)
}

// slowStartRate is what this router may send an endpoint now, as a load (sending time per second), and how
// many routers share the endpoint.
func (r *Router) slowStartRate(ep *endpoint) (rate, sharers float64) {
	settings := &r.slowStart[ep.Tier]
	age, ramp := float64(r.now-ep.Started), float64(settings.Ramp)
	rampedShare := settings.InitialShare + (1-settings.InitialShare)*age/ramp
	least := r.leastWarmLoad(ep)
	sharers = float64(r.locality.ZoneRouters)
	if ep.Tier == Parent {
		sharers = float64(r.locality.FleetRouters)
	}
	rate = settings.OverloadMultiple * rampedShare * math.Max(r.warmLoad[ep.Tier]*ep.Weight, least/sharers)
	weightKnown := ep.Weight != defaultWeight
	if !weightKnown && float64(r.locality.ZoneRouters) > independentSharers { // it may be the smallest
		rate *= unweightedShare
	}
	return rate, sharers
}

// leastWarmLoad is the load of a warm endpoint where nothing is known: a zone's caches together, and any
// one parent, bear what the zone's link carries, as a link is narrower than what stands at its ends.
func (r *Router) leastWarmLoad(ep *endpoint) float64 {
	if ep.Tier == Parent {
		return math.Max(minimumWarmLoad, r.linkTransfers())
	}
	return math.Max(minimumWarmLoad, r.linkTransfers()*ep.Weight/r.zoneWeight)
}

// takeTurn serves a router whose part of a window is less than one request. A turn that is not taken within
// a moment is void: else all routers would have one in hand after a silence, and take it at once.
func (r *Router) takeTurn(ep *endpoint, rate, window, cost float64) bool {
	tokens := math.Max(ep.slowStartBudget.Refill(seconds(r.now), rate*steadyShare, math.Inf(1)), 0)
	sinceTurn := math.Mod(tokens, cost)
	hasTurn := tokens >= cost && sinceTurn <= window*steadyShare*turnValidShare
	ep.slowStartBudget.Take(tokens - sinceTurn)
	if hasTurn {
		ep.slowStartBudget.Take(-cost)
	}
	return hasTurn
}

// chargeSlowStart counts an attempt in the budgets of its cache and of a source that may fill.
func (r *Router) chargeSlowStart(req *request, att *attempt) {
	for _, id := range [2]EndpointID{att.cache, att.source} {
		ep := &r.endpoints[id]
		if r.inSlowStart(ep) && (id == att.cache || att.mayFill) {
			ep.slowStartBudget.Take(r.slowStartCost(req, ep))
		}
	}
}

// slowStartCost is what a request takes of a slow-start budget, in seconds: no less than the mean of what
// warm endpoints answered, as an endpoint bears a number of requests whatever their size.
func (r *Router) slowStartCost(req *request, ep *endpoint) float64 {
	if ep.Tier == Origin {
		return r.cost(req)
	}
	return math.Max(r.cost(req), r.warmCost[ep.Tier])
}

// recordWarmWork counts what a warm endpoint answered.
func (r *Router) recordWarmWork(ep *endpoint, req *request) {
	if ep.Tier == Origin || r.inSlowStart(ep) {
		return
	}
	cost := r.cost(req)
	r.tickWork[ep.Tier] += cost
	smooth(&r.warmCost[ep.Tier], cost, smoothingFactor)
}

// updateWarmLoad moves the load of a tier's warm endpoints by what they answered in the last tick. Where
// none is warm, the last known load stays.
func (r *Router) updateWarmLoad(tier Tier, ids []EndpointID) {
	warmWeight := 0.0
	for _, id := range ids {
		ep := &r.endpoints[id]
		if ep.ejectedUntil <= r.now && !r.inSlowStart(ep) {
			warmWeight += ep.Weight
		}
	}
	if warmWeight > 0 {
		change := r.tickWork[tier]/seconds(tickInterval)/warmWeight - r.warmLoad[tier]
		if change < 0 {
			change *= warmLoadDecayFactor
		}
		r.warmLoad[tier] += warmLoadGain * change
	}
	r.tickWork[tier] = 0
}
