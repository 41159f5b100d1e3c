package service

import (
	"strconv"
	"time"

	"threadrun/background/refresh"
	"threadrun/internal/attempts"
	"threadrun/internal/frontend"
	"threadrun/routing"
)

// Router implements backgroundwork.Host: it sets the Router's time and returns the Router.
func (p *proxy) Router() *routing.Router {
	p.setRouterTime()
	return p.router
}

// Now implements backgroundwork.Host: it returns the current time on the Router's clock.
func (p *proxy) Now() routing.Micros { return p.clockNow() }

// PlanBackground implements backgroundwork.Host: it returns where a background request would be forwarded now, or
// false if it may not be forwarded now.
func (p *proxy) PlanBackground(params *frontend.Request) (routing.ForwardPlan, bool) {
	return p.Router().PlanBackground(routingRequest(params))
}

// EachEndpoint implements backgroundwork.Host: it calls f for the caches of this zone, the parents and the origin.
func (p *proxy) EachEndpoint(f func(id routing.EndpointID, nameHash uint64, tier routing.Tier)) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.gone() && e.local {
			f(routing.EndpointID(i), e.nameHash, e.tier)
		}
	}
}

// EndpointByIncarnation implements backgroundwork.Host: it returns the endpoint with the given incarnation, if it
// is one of those that EachEndpoint passes to f. It returns NoEndpoint if the endpoint was removed or has restarted.
func (p *proxy) EndpointByIncarnation(incarnation uint64) routing.EndpointID {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.gone() && e.local && e.incarnation() == incarnation {
			return routing.EndpointID(i)
		}
	}
	return routing.NoEndpoint
}

// Tier implements backgroundwork.Host: it returns an endpoint's tier.
func (p *proxy) Tier(id routing.EndpointID) routing.Tier { return p.endpoints[id].tier }

// StartHealthCheck implements backgroundwork.Host: it starts a health check of an endpoint and returns the
// check's number, or 0 if no connection is available.
func (p *proxy) StartHealthCheck(id routing.EndpointID, timeout time.Duration) uint64 {
	return p.pool.StartHealthCheck(id, timeout)
}

// HealthCheckEnded implements attempts.Handler: it passes the result of a health check to background work.
func (p *proxy) HealthCheckEnded(number uint64, result attempts.HealthCheckResult, elapsed time.Duration) {
	if p.background != nil {
		p.background.HealthCheckEnded(number, result != attempts.Inconclusive, result == attempts.Alive, elapsed)
	}
}

// LocateCopies implements routing.Executor: it asks other routers which caches hold the request's object.
func (p *proxy) LocateCopies(id routing.RequestID) {
	r := p.request(id)
	if r == nil || p.background == nil {
		return
	}
	p.background.Locate(objectKey(&r.params))
}

// SuggestRefresh implements routing.Executor: it passes a copy that is worth refreshing before freshUntil to
// background work. freshUntil is a time on the Router's clock, and gap is the mean time between requests for the
// object.
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
