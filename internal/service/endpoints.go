package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/internal/discovery"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// endpoint is the proxy's record of a cache, a parent or the origin.
type endpoint struct {
	name              string
	nameHash          uint64
	startedUnixMillis int64          // start time according to the endpoint list; 0: long ago
	started           routing.Micros // the same time on the Router's clock; 0: long ago
	tier              routing.Tier
	address           string           // as listed
	entry             routing.Endpoint // as listed, in the Router's representation
	removed           bool             // from the endpoint list; the id may be assigned to another endpoint
	displaced         bool             // another endpoint is at its address: see addresses.go
	changed           bool             // the last update drained, removed, displaced or restarted it
	local             bool             // a cache of this zone, a parent or the origin
}

// incarnation returns an identifier of the endpoint since its last start. Records of its copies refer to the
// incarnation and not to the endpoint, because a restart loses the copies.
func (e *endpoint) incarnation() uint64 { return hash.Combine(e.nameHash, uint64(e.startedUnixMillis)) }

// endpointStates maps discovery's states to the Router's.
var endpointStates = [...]routing.EndpointState{
	discovery.Up:       routing.Up,
	discovery.Draining: routing.Draining,
	discovery.Removed:  routing.Removed,
}

// UpdateEndpoints implements discovery.Handler: it applies a complete endpoint list, or only the changed entries,
// and passes the update to the Router. Queued attempts at changed endpoints are withdrawn, and planned again.
func (p *proxy) UpdateEndpoints(complete bool, list []discovery.Endpoint) {
	p.beginUpdate(complete, list)
	p.endpointUpdate = p.endpointUpdate[:0]
	for i := range list {
		p.updateEndpoint(&list[i])
	}
	for id := range p.endpoints {
		if p.endpoints[id].gone() {
			p.pool.Remove(routing.EndpointID(id))
		}
	}
	p.log.WithFields(logrus.Fields{"full": complete, "endpoints": len(list)}).Info("endpoint list updated")
	p.failpoints.delayDrains(p.endpointUpdate)
	p.setRouterTime()
	p.router.UpdateEndpoints(p.endpointUpdate, complete)
	p.withdrawQueued(func(_ *request, a *attempt) bool { return p.hasChanged(a.endpoint) || p.hasChanged(a.source) })
}

// beginUpdate clears the changed flags of the last update. If the list is complete, it marks the endpoints that are
// missing from it as removed, and as changed if they were not removed before. It must end before the first entry is
// applied, so that assignID does not reuse the id of an endpoint that the list still contains.
func (p *proxy) beginUpdate(complete bool, list []discovery.Endpoint) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		e.changed = complete && !e.removed
		e.removed = e.removed || complete
	}
	if !complete {
		return
	}
	for i := range list {
		if id, known := p.endpointIDs[list[i].Name]; known {
			p.endpoints[id].removed = false
			p.endpoints[id].changed = false
		}
	}
}

// updateEndpoint applies one entry of an endpoint list, and appends it to p.endpointUpdate.
func (p *proxy) updateEndpoint(listed *discovery.Endpoint) {
	removed := listed.State == discovery.Removed
	id, known := p.endpointIDs[listed.Name]
	replaced := false
	if !known {
		if removed {
			return
		}
		id, replaced = p.assignID(listed.Name)
		p.log.WithFields(logrus.Fields{
			"id":      id,
			"name":    listed.Name,
			"address": listed.Address,
			"kind":    listed.Kind,
			"zone":    listed.Zone,
		}).Info("endpoint added")
	}
	e := &p.endpoints[id]
	restarted := replaced || e.startedUnixMillis != listed.StartedUnixMillis
	if restarted {
		e.started = p.startTime(listed)
	}
	zone := p.names.Zone(listed.Zone)
	e.startedUnixMillis = listed.StartedUnixMillis
	e.removed = removed
	e.changed = restarted || listed.State != discovery.Up
	e.nameHash = hash.String(listed.Name)
	e.tier = p.names.Tier(listed.Kind)
	e.local = e.tier != routing.Edge || zone == p.names.OwnZone
	e.entry = routing.Endpoint{
		ID:       id,
		NameHash: e.nameHash,
		Tier:     e.tier,
		Zone:     zone,
		Cell:     routing.CellID(listed.Cell),
		Weight:   listed.Weight,
		Started:  e.started,
		State:    endpointStates[listed.State],
		Replaced: replaced,
	}
	if !removed {
		e.displaced = e.displaced && !restarted && e.address == listed.Address
		e.address = listed.Address
		p.pool.SetAddress(id, listed.Address, restarted)
	}
	p.appendUpdate(id)
	if !e.gone() {
		p.claimAddress(id)
	}
}

// appendUpdate appends an endpoint to p.endpointUpdate. A displaced one counts as removed there.
func (p *proxy) appendUpdate(id routing.EndpointID) {
	e := &p.endpoints[id]
	entry := e.entry
	if e.displaced {
		entry.State = routing.Removed
	}
	p.endpointUpdate = append(p.endpointUpdate, entry)
	e.entry.Replaced = false // the Router has to learn that once
}

// startTime returns when a listed endpoint started, on the Router's clock. 0 means long ago.
func (p *proxy) startTime(listed *discovery.Endpoint) routing.Micros {
	if listed.StartedUnixMillis <= 0 {
		return 0
	}
	return p.fromUnixMillis(listed.StartedUnixMillis)
}

// hasChanged reports whether the last update drained, removed, displaced or restarted an endpoint. id may be
// NoEndpoint.
func (p *proxy) hasChanged(id routing.EndpointID) bool {
	return id != routing.NoEndpoint && p.endpoints[id].changed
}

// assignID assigns an id to a new endpoint, and creates its record. It reuses the id of a removed endpoint that no
// open request refers to, so that memory does not grow here, in the Router and in the pool with each replaced cache.
// replaced reports whether the id was reused.
func (p *proxy) assignID(name string) (id routing.EndpointID, replaced bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.removed || p.isReferenced(routing.EndpointID(i)) {
			continue
		}
		delete(p.endpointIDs, e.name)
		p.releaseAddress(routing.EndpointID(i))
		*e = endpoint{name: name}
		p.endpointIDs[name] = routing.EndpointID(i)
		return routing.EndpointID(i), true
	}
	id = routing.EndpointID(len(p.endpoints))
	p.endpointIDs[name] = id
	p.endpoints = append(p.endpoints, endpoint{name: name})
	return id, false
}

// isReferenced reports whether an attempt of an open request uses or used an endpoint as its cache or source. Ended
// attempts count, because the Router's decisions about a request depend on the endpoints of its earlier attempts.
func (p *proxy) isReferenced(id routing.EndpointID) bool {
	for i := range p.requests {
		for _, a := range p.requests[i].attempts {
			if a.endpoint == id || a.source == id {
				return true
			}
		}
	}
	return false
}

// WatchLost implements discovery.Handler: it reports to the Router that polls fail. The last endpoint list remains
// in use.
func (p *proxy) WatchLost() {
	p.setRouterTime()
	p.router.EndpointWatchLost()
}

// WatchRestored implements discovery.Handler. It does nothing, because the Router needs no report of it.
func (p *proxy) WatchRestored() {}
