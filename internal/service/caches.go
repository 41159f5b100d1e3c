package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/discovery"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// cache is what sockets need of one.
type cache struct {
	name    string
	boot    int64          // Unix ms, as listed
	started routing.Micros // the same on our clock
	removed bool
	changed bool // by the last list: it drains, is gone or has started anew
	mark    uint64
	tier    routing.Tier
	ours    bool // of this branch, or a parent
}

// run names a cache in one of its starts: what it held before is gone.
func (c *cache) run() uint64 { return hash.Combine(c.mark, uint64(c.boot)) }

// UpdateEndpoints takes a list of caches from the bulletin.
func (s *Service) UpdateEndpoints(whole bool, list []discovery.Endpoint) {
	s.list = s.list[:0]
	for i := range s.listed {
		s.listed[i].changed = false
	}
	if whole {
		for i := range s.listed {
			s.listed[i].changed = !s.listed[i].removed
			s.listed[i].removed = true
		}
		for _, x := range list { // before any id of one that stays could go to another
			if id, ok := s.caches[x.Name]; ok {
				s.listed[id].removed, s.listed[id].changed = false, false
			}
		}
	}
	for _, x := range list {
		id, ok := s.caches[x.Name]
		another := false
		if !ok && x.State == discovery.Removed {
			continue
		} else if !ok {
			id, another = s.number(x.Name)
			s.log.WithFields(logrus.Fields{"cache": id, "uid": x.Name, "endpoint": x.Address, "kind": x.Kind}).
				Info("cache listed")
		}
		c := &s.listed[id]
		anew := another || c.boot != x.StartedUnixMillis
		if anew {
			c.started = 0
			if x.StartedUnixMillis > 0 {
				c.started = s.own(x.StartedUnixMillis)
			}
		}
		c.boot, c.removed = x.StartedUnixMillis, x.State == discovery.Removed
		c.changed = anew || x.State != discovery.Up
		c.mark, c.tier = hash.String(x.Name), s.names.Tier(x.Kind)
		c.ours = c.tier != routing.Edge || s.names.Zone(x.Zone) == s.names.OwnZone
		if x.State != discovery.Removed {
			s.pool.SetAddress(id, x.Address, anew)
		}
		s.list = append(s.list, routing.Endpoint{ID: id, NameHash: c.mark, Tier: c.tier,
			Zone: s.names.Zone(x.Zone), Cell: routing.CellID(x.Cell), Weight: x.Weight,
			Started: c.started, State: standings[x.State], Replaced: another})
	}
	for id, c := range s.listed {
		if c.removed {
			s.pool.Remove(routing.EndpointID(id))
		}
	}
	s.log.WithFields(logrus.Fields{"whole": whole, "lines": len(list)}).Info("list of caches")
	if plant == plantDrain {
		s.planted.hold(s.list)
	}
	s.enter()
	s.router.UpdateEndpoints(s.list, whole)
	s.recall(func(_ *request, o *attempt) bool { return s.changed(o.cache) || s.changed(o.source) })
}

// changed tells whether the list that came last says that a cache is not up, or has started anew.
func (s *Service) changed(id routing.EndpointID) bool {
	return id != routing.NoEndpoint && s.listed[id].changed
}

// number gives a new cache its id, if it can that of one that is gone: else a long day's replacements would fill the
// memory, here, in the module and in the pool.
func (s *Service) number(name string) (id routing.EndpointID, another bool) {
	for i := range s.listed {
		if c := &s.listed[i]; c.removed && !s.refers(routing.EndpointID(i)) {
			delete(s.caches, c.name)
			*c = cache{name: name}
			s.caches[name] = routing.EndpointID(i)
			return routing.EndpointID(i), true
		}
	}
	s.caches[name] = routing.EndpointID(len(s.listed))
	s.listed = append(s.listed, cache{name: name})
	return s.caches[name], false
}

// refers tells whether a visit in hand has been at a cache, or had it as its source, be that trip over or not: the
// module goes by where a visit has been.
func (s *Service) refers(id routing.EndpointID) bool {
	for i := range s.charges {
		for _, o := range s.charges[i].out {
			if o.cache == id || o.source == id {
				return true
			}
		}
	}
	return false
}

var standings = [...]routing.EndpointState{routing.Up, routing.Draining, routing.Removed}

// Purge takes a purge from the bulletin.
func (s *Service) Purge(object string, whole bool, group int, issued int64) {
	if plant == plantPurge && s.underWayOf(object) {
		return
	}
	s.enter()
	ago := max(s.now-s.own(issued), 0)
	s.router.Purged(routing.ObjectID(hash.String(object)), routing.GroupID(group), whole, ago)
	s.recall(func(c *request, _ *attempt) bool { // its accepted age was reckoned before the purge
		return whole && c.ask.Group == routing.GroupID(group) || !whole && string(c.ask.Object[:]) == object
	})
	if s.upkeep != nil {
		s.upkeep.Purged(hash.String(object), group, whole, s.now-ago)
	}
}

// CaughtUp hears that a poll of the bulletin was answered.
func (s *Service) CaughtUp() {
	if plant == plantDrain {
		s.planted.told(s.clock())
	}
	if s.upkeep != nil {
		s.upkeep.PurgesCaughtUp()
	}
}

// EachEndpoint lists the caches of this branch, and parents and the origin.
func (s *Service) EachEndpoint(f func(id routing.EndpointID, mark uint64, tier routing.Tier)) {
	for i := range s.listed {
		if c := &s.listed[i]; !c.removed && c.ours {
			f(routing.EndpointID(i), c.mark, c.tier)
		}
	}
}

// EndpointNamed finds a cache of this branch by its name in one of its starts; NoCache if it is gone, or has started anew.
func (s *Service) EndpointNamed(name uint64) routing.EndpointID {
	for i := range s.listed {
		if c := &s.listed[i]; !c.removed && c.ours && c.run() == name {
			return routing.EndpointID(i)
		}
	}
	return routing.NoEndpoint
}

// Tier tells what a cache is.
func (s *Service) Tier(id routing.EndpointID) routing.Tier { return s.listed[id].tier }

// Probe asks a cache whether it is there.
func (s *Service) Probe(id routing.EndpointID, limit time.Duration) uint64 {
	return s.pool.Probe(id, limit)
}

// ProbeEnded hears from the pool what a probe showed.
func (s *Service) ProbeEnded(no uint64, what attempts.ProbeResult, took time.Duration) {
	if s.upkeep != nil {
		s.upkeep.ProbeEnded(no, what != attempts.Inconclusive, what == attempts.Alive, took)
	}
}

// WatchLost hears that the bulletin is out of reach.
func (s *Service) WatchLost() {
	s.enter()
	s.router.EndpointWatchLost()
}

// WatchRestored hears that the bulletin is back; its events have been told already.
func (s *Service) WatchRestored() {}
