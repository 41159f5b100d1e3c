package routing

import (
	"math"

	"threadrun/internal/ewma"
	"threadrun/internal/ratelimit"
)

// endpoint is what the router knows of a cache, a parent or the origin.
type endpoint struct {
	Endpoint               // Started may be later than the list has it: see eject
	listed          bool   // on the endpoint list, and not removed
	listedStart     Micros // its start, by the list
	attemptLimit    limit  // attempts sent to it
	fillLimit       limit  // attempts that name it as source and may fill
	slowStartBudget ratelimit.Bucket
	budgetStart     Micros // the start that the slow-start budget was made for

	ejections      int // since the last success
	ejectedUntil   Micros
	ejectedAt      Micros
	failures       int // since the last success
	lastDisconnect Micros
	lastSuccess    Micros
	presumedDead   bool

	lateShare   ewma.Average // of its attempts that show how quick it is
	fillLatency ewma.Average // microseconds that a fill from it takes beyond its sending time
	silentAfter Micros       // when the first attempt that may fill from it passes its objective; 0: none is out
}

func (ep *endpoint) idle() bool { return ep.attemptLimit.inUse+ep.fillLimit.inUse == 0 }

func (r *Router) newEndpoint() endpoint {
	return endpoint{attemptLimit: r.newAttemptLimit(), fillLimit: r.newFillLimit()}
}

// UpdateEndpoints takes an endpoint list: the complete list, or only what has changed.
func (r *Router) UpdateEndpoints(list []Endpoint, complete bool) {
	if complete {
		for i := range r.endpoints {
			r.endpoints[i].listed = false
		}
	}
	for _, entry := range list {
		r.updateEndpoint(entry)
	}
	r.indexEndpoints()
	if r.nextTick > 0 {
		return
	}
	r.scheduleTick()
	if r.permissions.WatchEndpoints {
		r.executor.WatchEndpoints()
	}
}

// EndpointWatchLost reports that the subscription to the endpoint list dropped. The list in hand stays.
func (r *Router) EndpointWatchLost() { r.watchLost = true }

func (r *Router) updateEndpoint(entry Endpoint) {
	for len(r.endpoints) <= int(entry.ID) {
		r.endpoints = append(r.endpoints, r.newEndpoint())
	}
	ep := &r.endpoints[entry.ID]
	switch {
	case entry.Replaced:
		*ep = r.newEndpoint()
		ep.listedStart = entry.Started
		r.objects.forgetHolder(entry.ID)
	case entry.Started != ep.listedStart:
		r.resetEndpoint(ep)
		ep.listedStart = entry.Started
	default:
		entry.Started = ep.Started
	}
	ep.Endpoint = entry
	ep.listed = entry.State != Removed
	if ep.Weight <= 0 || math.IsNaN(ep.Weight) {
		ep.Weight = defaultWeight
	}
}

// resetEndpoint forgets what was learned of a process that has restarted, but not what is in flight to it.
func (r *Router) resetEndpoint(ep *endpoint) {
	old := *ep
	*ep = r.newEndpoint()
	ep.attemptLimit.inUse = old.attemptLimit.inUse
	ep.fillLimit.inUse = old.fillLimit.inUse
	ep.fillLatency = old.fillLatency
}

// indexEndpoints finds the zone's caches, the parents and the origin on the list.
func (r *Router) indexEndpoints() {
	r.zoneCaches = r.zoneCaches[:0]
	r.parents = r.parents[:0]
	r.origin = NoEndpoint
	r.zoneWeight = 0
	for i := range r.endpoints {
		ep := &r.endpoints[i]
		switch {
		case !ep.listed:
		case ep.Tier == Parent:
			r.parents = append(r.parents, ep.ID)
		case ep.Tier == Origin:
			r.origin = ep.ID
		case ep.Zone == r.locality.Zone:
			r.zoneCaches = append(r.zoneCaches, ep.ID)
			r.zoneWeight += ep.Weight
		}
	}
}

// listedEndpoint returns a listed endpoint, or nil.
func (r *Router) listedEndpoint(id EndpointID) *endpoint {
	if int(id) >= len(r.endpoints) || !r.endpoints[id].listed {
		return nil
	}
	return &r.endpoints[id]
}
