package shardmap

import (
	"log/slog"
	"slices"

	"threadrun/internal/clock"
)

const (
	// maxRejected is the number of rejected maps that are remembered.
	maxRejected = 16
	// rejectionTime is how long a rejected map is not fetched again. After it the map may be valid, because more is
	// known about its owners. It is also how long the announcement of a higher version counts in isBehind.
	rejectionTime = 5 * clock.Second
)

// keyRange is a range of keys that this router may answer for, both ends included.
type keyRange struct{ first, last Key }

// rejectedMap records a map that broke a rule, and when it was rejected.
type rejectedMap struct {
	Digest
	at Micros
}

// tryAdopt validates the complete pending map, and adopts or rejects it. A map that breaks only a transient rule
// stays pending: it may become valid when this router learns more about the map's owners. A map that is no longer
// higher than the current one is retired.
func (mgr *Manager) tryAdopt() {
	p := mgr.pending
	p.lastValidation = mgr.now
	if p.Compare(mgr.currentVersion()) <= 0 {
		mgr.retirePending()
		return
	}
	err := Validate(p.shardMap, mgr.current, mgr.candidates, mgr.bounds)
	switch {
	case err == nil:
		p.transition(Validated)
		mgr.adopt(p)
	case isTransient(err):
		mgr.requestUnknownOwner(p.shardMap)
	default:
		mgr.reject(p, err)
	}
}

// requestUnknownOwner asks other routers about the first owner of a map that this router does not know as present in
// the incarnation that the map names.
func (mgr *Manager) requestUnknownOwner(m *Map) {
	for _, owner := range m.Owners {
		if !mgr.candidates.present(owner) {
			mgr.output.RequestMember(owner.ID)
			return
		}
	}
}

// adopt makes this router follow a valid map in state Prepared. The router stops serving the ranges assigned to
// others at once, but serves the ranges that it gains only after activate: until every present router follows the
// map, their previous owners may still serve them. From here on the state of the map is held in mgr.state rather
// than in the pendingMap, and changes without transition.
func (mgr *Manager) adopt(p *pendingMap) {
	p.transition(Prepared)
	mgr.pending = nil
	mgr.laterTermAnnouncedAt = 0
	mgr.stats.Adopted++
	m := p.shardMap
	mgr.current = m
	mgr.state = Prepared
	mgr.confirmed = make([]byte, (len(m.Owners)+7)/8)
	if i := m.OwnerIndex(mgr.selfOwner()); i != NoOwner {
		mgr.confirmed[i/8] |= 1 << (i % 8)
	}
	if !mgr.InContact(mgr.now) {
		// Other routers may have served this router's keys meanwhile, under a map that it never followed.
		mgr.served = nil
	}
	mgr.dropReassignedRanges(m)
	mgr.lastAnnounced = min(mgr.lastAnnounced, mgr.now)
	mgr.output.MapChanged(m, Prepared)
}

// dropReassignedRanges reduces the served ranges to the keys that a map assigns to this router. Both lists are
// sorted, so they are walked in parallel.
func (mgr *Manager) dropReassignedRanges(m *Map) {
	before := mgr.served
	mgr.served = nil
	self := m.OwnerIndex(mgr.selfOwner())
	start := 0
	for _, old := range before {
		for start < len(m.Ranges) && m.Ranges[start].Last < old.first {
			start++
		}
		for i := start; i < len(m.Ranges) && m.Ranges[i].First <= old.last; i++ {
			r := &m.Ranges[i]
			if r.Owner == self {
				mgr.served = append(mgr.served, keyRange{max(r.First, old.first), min(r.Last, old.last)})
			}
		}
	}
}

// activate makes the current map Active once every present router is known to follow it. From then on this router
// serves all ranges that the map assigns to it, since no other router serves them under an earlier map.
func (mgr *Manager) activate() {
	if mgr.state != Prepared || mgr.current == nil || !mgr.allConfirmed() {
		return
	}
	mgr.state = Active
	mgr.stats.Activated++
	m := mgr.current
	self := m.OwnerIndex(mgr.selfOwner())
	mgr.served = nil
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Owner == self {
			mgr.served = append(mgr.served, keyRange{r.First, r.Last})
		}
	}
	mgr.output.MapChanged(m, Active)
	mgr.output.Log("shardmap: map active",
		slog.String("map", m.String()),
		slog.Int("owners", len(m.Owners)),
		slog.Int("ranges", len(m.Ranges)),
		slog.Int("ranges_owned", len(mgr.served)),
	)
}

// allConfirmed reports whether every present router is known to follow the current map. A present router that the
// map does not name serves no keys under this map, but may serve keys under another one: it prevents activation
// only if it has announced another map.
func (mgr *Manager) allConfirmed() bool {
	m := mgr.current
	present := 0
	for i, owner := range m.Owners {
		if !mgr.candidates.present(owner) {
			continue
		}
		present++
		if mgr.confirmed[i/8]&(1<<(i%8)) == 0 {
			return false
		}
	}
	for id, peer := range mgr.peerVersions {
		owner := Owner{id, peer.incarnation}
		if peer.Version == m.Version || peer.Version == (Version{}) || !mgr.candidates.present(owner) {
			continue
		}
		if m.OwnerIndex(owner) == NoOwner {
			return false
		}
	}
	return present > 0
}

// reject drops a map that breaks a rule, and records it so that it is not fetched again for rejectionTime.
func (mgr *Manager) reject(p *pendingMap, err error) {
	mgr.stats.Rejected++
	mgr.output.Log("shardmap: map rejected", slog.String("map", p.String()), slog.Any("error", err))
	p.transition(Rejected)
	mgr.rejected = append(mgr.rejected, rejectedMap{p.Digest, mgr.now})
	if len(mgr.rejected) > maxRejected {
		mgr.rejected = mgr.rejected[1:]
	}
	if mgr.pending == p {
		mgr.pending = nil
	}
}

// recentlyRejected reports whether the map with a digest was rejected within rejectionTime.
func (mgr *Manager) recentlyRejected(digest Digest) bool {
	return slices.ContainsFunc(mgr.rejected, func(r rejectedMap) bool {
		return r.Digest == digest && mgr.now-r.at < rejectionTime
	})
}

// retirePending drops the pending map without recording it as rejected, so it may be fetched again at once.
func (mgr *Manager) retirePending() {
	mgr.pending.transition(Retired)
	mgr.pending = nil
}
