package service

import (
	"strconv"
	"time"

	"threadrun/background/refresh"
	"threadrun/internal/attempts"
	"threadrun/internal/frontend"
	"threadrun/routing"
)

// Router is the router, for background work; its clock is set.
func (p *proxy) Router() *routing.Router {
	p.setRouterTime()
	return p.router
}

// Now is the router's clock, for background work.
func (p *proxy) Now() routing.Micros { return p.clockNow() }

// PlanBackground plans where a background request would be forwarded now; false: nowhere.
func (p *proxy) PlanBackground(params *frontend.Request) (routing.ForwardPlan, bool) {
	return p.Router().PlanBackground(routingRequest(params))
}

// EachEndpoint calls f for the caches of this zone, the parents and the origin.
func (p *proxy) EachEndpoint(f func(id routing.EndpointID, nameHash uint64, tier routing.Tier)) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.removed && e.local {
			f(routing.EndpointID(i), e.nameHash, e.tier)
		}
	}
}

// EndpointNamed finds an endpoint that EachEndpoint names by its incarnation; NoEndpoint if it is removed or has
// restarted.
func (p *proxy) EndpointNamed(incarnation uint64) routing.EndpointID {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.removed && e.local && e.incarnation() == incarnation {
			return routing.EndpointID(i)
		}
	}
	return routing.NoEndpoint
}

// Tier gives an endpoint's tier.
func (p *proxy) Tier(id routing.EndpointID) routing.Tier { return p.endpoints[id].tier }

// Probe begins a health check of an endpoint; its number is 0 if there is no connection to use.
func (p *proxy) Probe(id routing.EndpointID, timeout time.Duration) uint64 {
	return p.pool.Probe(id, timeout)
}

// ProbeEnded is called by the pool with the result of a health check.
func (p *proxy) ProbeEnded(number uint64, result attempts.ProbeResult, elapsed time.Duration) {
	if p.background != nil {
		p.background.ProbeEnded(number, result != attempts.Inconclusive, result == attempts.Alive, elapsed)
	}
}

// LocateCopies has other routers asked which caches hold the request's object.
func (p *proxy) LocateCopies(id routing.RequestID) {
	r := p.request(id)
	if r == nil || p.background == nil {
		return
	}
	p.background.Locate(objectKey(&r.params))
}

// SuggestRefresh passes a copy on to background work that is worth refreshing before freshUntil, a time on the
// router's clock; gap is the time between requests for the object.
func (p *proxy) SuggestRefresh(id routing.RequestID, freshUntil, gap routing.Micros) {
	r := p.request(id)
	if r == nil || p.background == nil {
		return
	}
	object, err := strconv.ParseUint(string(r.params.Object[:]), 16, 64)
	if err != nil {
		return
	}
	p.background.ConsiderRefresh(refresh.Copy{
		Class:      int(r.params.Class),
		Object:     object,
		Part:       r.params.Part,
		Group:      int(r.params.Group),
		SizeKB:     r.params.SizeKB,
		FreshUntil: freshUntil,
		RequestGap: gap,
	})
}
