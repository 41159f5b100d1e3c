package routing

import (
	"math"

	"threadrun/internal/ewma"
	"threadrun/internal/ratelimit"
)

// endpoint is the state of a cache, a parent or the origin.
type endpoint struct {
	Endpoint               // Started may be later than in the endpoint list: see eject
	listed          bool   // in the endpoint list, and not removed
	listedStart     Micros // start time according to the endpoint list
	attemptLimit    limit  // bounds attempts sent to it
	fillLimit       limit  // bounds attempts that are expected to fill from it
	slowStartBudget ratelimit.Bucket
	budgetStart     Micros // value of Started for which the slow-start budget was initialized

	ejections      int // number since the last success
	ejectedUntil   Micros
	ejectedAt      Micros
	failures       int    // number since the last success
	lastDisconnect Micros // when a lost connection was last counted in failures
	lastSuccess    Micros
	presumedDead   bool

	lateShare      ewma.Average // share of late results: see recordLateness
	fillLatency    ewma.Average // time of a fill beyond its sending time, in microseconds
	fillExpectedBy Micros       // end of the latency objective of the first fill in flight from it; 0: none
}

func (ep *endpoint) idle() bool { return ep.attemptLimit.inUse+ep.fillLimit.inUse == 0 }

func (r *Router) newEndpoint() endpoint {
	return endpoint{attemptLimit: r.newAttemptLimit(), fillLimit: r.newFillLimit()}
}

// UpdateEndpoints applies an endpoint list: the complete list, or only the entries that have changed. The
// first call starts the ticks and the subscription to the list.
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

// EndpointWatchLost reports that the subscription to the endpoint list was lost; the last list stays in use.
func (r *Router) EndpointWatchLost() { r.watchLost = true }

// updateEndpoint applies one entry of the endpoint list. A new start time means that the process has
// restarted.
func (r *Router) updateEndpoint(entry Endpoint) {
	for len(r.endpoints) <= int(entry.ID) {
		r.endpoints = append(r.endpoints, r.newEndpoint())
	}
	ep := &r.endpoints[entry.ID]
	switch {
	case entry.Replaced:
		*ep = r.newEndpoint()
		ep.listedStart = entry.Started
		r.objects.clearHolder(entry.ID)
	case entry.Started != ep.listedStart:
		r.resetEndpoint(ep)
		ep.listedStart = entry.Started
	default:
		entry.Started = ep.Started // may be later than in the list: see eject
	}
	ep.Endpoint = entry
	ep.listed = entry.State != Removed
	if ep.Weight <= 0 || math.IsNaN(ep.Weight) {
		ep.Weight = defaultWeight
	}
}

// resetEndpoint discards the statistics of a process that has restarted, except its fill latency, and
// keeps the count of attempts in flight.
func (r *Router) resetEndpoint(ep *endpoint) {
	old := *ep
	*ep = r.newEndpoint()
	ep.attemptLimit.inUse = old.attemptLimit.inUse
	ep.fillLimit.inUse = old.fillLimit.inUse
	ep.fillLatency = old.fillLatency
}

// indexEndpoints rebuilds the lists of the zone's caches and the parents, finds the origin, and updates the weights of
// the zone.
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
	r.recordZoneWeight()
}

// listedEndpoint returns an endpoint if it is listed, or nil.
func (r *Router) listedEndpoint(id EndpointID) *endpoint {
	if int(id) >= len(r.endpoints) || !r.endpoints[id].listed {
		return nil
	}
	return &r.endpoints[id]
}
