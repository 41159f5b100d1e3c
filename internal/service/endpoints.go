package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/internal/discovery"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// endpoint is what the proxy holds of a cache, a parent or the origin.
type endpoint struct {
	name              string
	nameHash          uint64
	startedUnixMillis int64          // as listed; 0: long ago
	started           routing.Micros // the same on the router's clock
	tier              routing.Tier
	removed           bool
	changed           bool // by the last update: it drains, is removed or has restarted
	local             bool // a cache of this zone, or a parent or the origin
}

// incarnation names an endpoint in one of its starts: what it held before is gone.
func (e *endpoint) incarnation() uint64 { return hash.Combine(e.nameHash, uint64(e.startedUnixMillis)) }

// endpointStates maps discovery's states to the router's.
var endpointStates = [...]routing.EndpointState{
	discovery.Up:       routing.Up,
	discovery.Draining: routing.Draining,
	discovery.Removed:  routing.Removed,
}

// UpdateEndpoints takes a complete endpoint list, or only its changes, and passes it on to the router.
func (p *proxy) UpdateEndpoints(complete bool, list []discovery.Endpoint) {
	p.beginUpdate(complete, list)
	p.endpointUpdate = p.endpointUpdate[:0]
	for i := range list {
		p.updateEndpoint(&list[i])
	}
	for id := range p.endpoints {
		if p.endpoints[id].removed {
			p.pool.Remove(routing.EndpointID(id))
		}
	}
	p.log.WithFields(logrus.Fields{"whole": complete, "endpoints": len(list)}).Info("endpoint list updated")
	p.failpoints.delayDrains(p.endpointUpdate)
	p.setRouterTime()
	p.router.UpdateEndpoints(p.endpointUpdate, complete)
	p.withdrawQueued(func(_ *request, a *attempt) bool { return p.hasChanged(a.endpoint) || p.hasChanged(a.source) })
}

// beginUpdate marks the endpoints that a complete list does not name as removed, before an id of one that stays could
// be given to another.
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

// updateEndpoint applies one entry of a list.
func (p *proxy) updateEndpoint(listed *discovery.Endpoint) {
	removed := listed.State == discovery.Removed
	id, known := p.endpointIDs[listed.Name]
	replaced := false
	if !known {
		if removed {
			return
		}
		id, replaced = p.assignID(listed.Name)
		p.log.WithFields(logrus.Fields{"id": id, "name": listed.Name, "address": listed.Address, "kind": listed.Kind}).
			Info("endpoint added")
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
	if !removed {
		p.pool.SetAddress(id, listed.Address, restarted)
	}
	p.endpointUpdate = append(p.endpointUpdate, routing.Endpoint{
		ID:       id,
		NameHash: e.nameHash,
		Tier:     e.tier,
		Zone:     zone,
		Cell:     routing.CellID(listed.Cell),
		Weight:   listed.Weight,
		Started:  e.started,
		State:    endpointStates[listed.State],
		Replaced: replaced,
	})
}

// startTime is when a listed endpoint started, on the router's clock; 0: long ago.
func (p *proxy) startTime(listed *discovery.Endpoint) routing.Micros {
	if listed.StartedUnixMillis <= 0 {
		return 0
	}
	return p.fromUnixMillis(listed.StartedUnixMillis)
}

// hasChanged reports whether the last update says that an endpoint is not up, or has restarted.
func (p *proxy) hasChanged(id routing.EndpointID) bool {
	return id != routing.NoEndpoint && p.endpoints[id].changed
}

// assignID gives a new endpoint its id: that of one that is removed, where nothing refers to it any more. Without
// this, memory would grow here, in the router and in the pool with each cache that is replaced.
func (p *proxy) assignID(name string) (id routing.EndpointID, replaced bool) {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.removed || p.isReferenced(routing.EndpointID(i)) {
			continue
		}
		delete(p.endpointIDs, e.name)
		*e = endpoint{name: name}
		p.endpointIDs[name] = routing.EndpointID(i)
		return routing.EndpointID(i), true
	}
	id = routing.EndpointID(len(p.endpoints))
	p.endpointIDs[name] = id
	p.endpoints = append(p.endpoints, endpoint{name: name})
	return id, false
}

// isReferenced reports whether a request in hand has been at an endpoint or had it as its source, whether that
// attempt has ended or not: the router goes by where a request has been.
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

// WatchLost is called when the endpoint watch loses contact; the last list stays in use.
func (p *proxy) WatchLost() {
	p.setRouterTime()
	p.router.EndpointWatchLost()
}

// WatchRestored is called when the watch has contact again, after its events.
func (p *proxy) WatchRestored() {}
