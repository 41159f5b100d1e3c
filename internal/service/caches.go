package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/discovery"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// endpoint is what sockets need of one.
type endpoint struct {
	name              string
	startedUnixMillis int64          // Unix ms, as listed
	started           routing.Micros // the same on our clock
	removed           bool
	changed           bool // by the last list: it drains, is gone or has started anew
	nameHash          uint64
	tier              routing.Tier
	eligible          bool // of this branch, or a parent
}

// incarnation names a cache in one of its starts: what it held before is gone.
func (c *endpoint) incarnation() uint64 { return hash.Combine(c.nameHash, uint64(c.startedUnixMillis)) }

// UpdateEndpoints takes a list of caches from the bulletin.
func (s *proxy) UpdateEndpoints(whole bool, list []discovery.Endpoint) {
	s.endpointUpdate = s.endpointUpdate[:0]
	for i := range s.endpoints {
		s.endpoints[i].changed = false
	}
	if whole {
		for i := range s.endpoints {
			s.endpoints[i].changed = !s.endpoints[i].removed
			s.endpoints[i].removed = true
		}
		for _, x := range list { // before any id of one that stays could go to another
			if id, ok := s.endpointIDs[x.Name]; ok {
				s.endpoints[id].removed, s.endpoints[id].changed = false, false
			}
		}
	}
	for _, x := range list {
		id, ok := s.endpointIDs[x.Name]
		another := false
		if !ok && x.State == discovery.Removed {
			continue
		} else if !ok {
			id, another = s.assignID(x.Name)
			s.log.WithFields(logrus.Fields{"cache": id, "uid": x.Name, "endpoint": x.Address, "kind": x.Kind}).
				Info("cache listed")
		}
		c := &s.endpoints[id]
		anew := another || c.startedUnixMillis != x.StartedUnixMillis
		if anew {
			c.started = 0
			if x.StartedUnixMillis > 0 {
				c.started = s.fromUnixMillis(x.StartedUnixMillis)
			}
		}
		c.startedUnixMillis, c.removed = x.StartedUnixMillis, x.State == discovery.Removed
		c.changed = anew || x.State != discovery.Up
		c.nameHash, c.tier = hash.String(x.Name), s.names.Tier(x.Kind)
		c.eligible = c.tier != routing.Edge || s.names.Zone(x.Zone) == s.names.OwnZone
		if x.State != discovery.Removed {
			s.pool.SetAddress(id, x.Address, anew)
		}
		s.endpointUpdate = append(s.endpointUpdate, routing.Endpoint{ID: id, NameHash: c.nameHash, Tier: c.tier,
			Zone: s.names.Zone(x.Zone), Cell: routing.CellID(x.Cell), Weight: x.Weight,
			Started: c.started, State: endpointStates[x.State], Replaced: another})
	}
	for id, c := range s.endpoints {
		if c.removed {
			s.pool.Remove(routing.EndpointID(id))
		}
	}
	s.log.WithFields(logrus.Fields{"whole": whole, "lines": len(list)}).Info("list of caches")
	if plant == plantDrain {
		s.failpoints.hold(s.endpointUpdate)
	}
	s.setRouterTime()
	s.router.UpdateEndpoints(s.endpointUpdate, whole)
	s.withdrawQueued(func(_ *request, o *attempt) bool { return s.hasChanged(o.endpoint) || s.hasChanged(o.source) })
}

// hasChanged tells whether the list that came last says that a cache is not up, or has started anew.
func (s *proxy) hasChanged(id routing.EndpointID) bool {
	return id != routing.NoEndpoint && s.endpoints[id].changed
}

// assignID gives a new cache its id, if it can that of one that is gone: else a long day's replacements would fill the
// memory, here, in the module and in the pool.
func (s *proxy) assignID(name string) (id routing.EndpointID, another bool) {
	for i := range s.endpoints {
		if c := &s.endpoints[i]; c.removed && !s.isReferenced(routing.EndpointID(i)) {
			delete(s.endpointIDs, c.name)
			*c = endpoint{name: name}
			s.endpointIDs[name] = routing.EndpointID(i)
			return routing.EndpointID(i), true
		}
	}
	s.endpointIDs[name] = routing.EndpointID(len(s.endpoints))
	s.endpoints = append(s.endpoints, endpoint{name: name})
	return s.endpointIDs[name], false
}

// isReferenced tells whether a visit in hand has been at a cache, or had it as its source, be that trip over or not: the
// module goes by where a visit has been.
func (s *proxy) isReferenced(id routing.EndpointID) bool {
	for i := range s.requests {
		for _, o := range s.requests[i].attempts {
			if o.endpoint == id || o.source == id {
				return true
			}
		}
	}
	return false
}

var endpointStates = [...]routing.EndpointState{routing.Up, routing.Draining, routing.Removed}

// Purge takes a purge from the bulletin.
func (s *proxy) Purge(object string, whole bool, group int, issued int64) {
	if plant == plantPurge && s.underWayOf(object) {
		return
	}
	s.setRouterTime()
	ago := max(s.now-s.fromUnixMillis(issued), 0)
	s.router.Purged(routing.ObjectID(hash.String(object)), routing.GroupID(group), whole, ago)
	s.withdrawQueued(func(c *request, _ *attempt) bool { // its accepted age was reckoned before the purge
		return whole && c.params.Group == routing.GroupID(group) || !whole && string(c.params.Object[:]) == object
	})
	if s.background != nil {
		s.background.Purged(hash.String(object), group, whole, s.now-ago)
	}
}

// CaughtUp hears that a poll of the bulletin was answered.
func (s *proxy) CaughtUp() {
	if plant == plantDrain {
		s.failpoints.told(s.clockNow())
	}
	if s.background != nil {
		s.background.PurgesCaughtUp()
	}
}

// EachEndpoint lists the caches of this branch, and parents and the origin.
func (s *proxy) EachEndpoint(f func(id routing.EndpointID, mark uint64, tier routing.Tier)) {
	for i := range s.endpoints {
		if c := &s.endpoints[i]; !c.removed && c.eligible {
			f(routing.EndpointID(i), c.nameHash, c.tier)
		}
	}
}

// EndpointNamed finds a cache of this branch by its name in one of its starts; NoCache if it is gone, or has started anew.
func (s *proxy) EndpointNamed(name uint64) routing.EndpointID {
	for i := range s.endpoints {
		if c := &s.endpoints[i]; !c.removed && c.eligible && c.incarnation() == name {
			return routing.EndpointID(i)
		}
	}
	return routing.NoEndpoint
}

// Tier tells what a cache is.
func (s *proxy) Tier(id routing.EndpointID) routing.Tier { return s.endpoints[id].tier }

// Probe asks a cache whether it is there.
func (s *proxy) Probe(id routing.EndpointID, limit time.Duration) uint64 {
	return s.pool.Probe(id, limit)
}

// ProbeEnded hears from the pool what a probe showed.
func (s *proxy) ProbeEnded(no uint64, what attempts.ProbeResult, took time.Duration) {
	if s.background != nil {
		s.background.ProbeEnded(no, what != attempts.Inconclusive, what == attempts.Alive, took)
	}
}

// WatchLost hears that the bulletin is out of reach.
func (s *proxy) WatchLost() {
	s.setRouterTime()
	s.router.EndpointWatchLost()
}

// WatchRestored hears that the bulletin is back; its events have been told already.
func (s *proxy) WatchRestored() {}
