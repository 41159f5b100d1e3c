package shardmap

import (
	"log/slog"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	maxRejected   = 16
	rejectionTime = 5 * clock.Second // after which a rejected map is fetched again, since more may be known by then
)

// keyRange is a range of keys that this router serves, both ends included.
type keyRange struct{ first, last Key }

// rejectedMap records a map that broke a rule, and when it was rejected.
type rejectedMap struct {
	Digest
	at Micros
}

// tryAdopt validates the complete pending map and adopts it. A map whose owners are not known well enough stays
// pending.
func (mgr *Manager) tryAdopt() {
	p := mgr.pending
	p.lastCheck = mgr.now
	if p.Compare(mgr.currentVersion()) <= 0 {
		mgr.retirePending()
		return
	}
	err := Validate(p.complete, mgr.current, mgr.candidates, mgr.bounds)
	switch {
	case err == nil:
		p.transition(Validated)
		mgr.adopt(p)
	case isTransient(err):
		mgr.requestUnknownOwner(p.complete)
	default:
		mgr.reject(p, err)
	}
}

// requestUnknownOwner requests information about the first owner of a map that is not present in the named
// incarnation.
func (mgr *Manager) requestUnknownOwner(m *Map) {
	for _, owner := range m.Owners {
		if !mgr.candidates.present(owner) {
			mgr.output.RequestMember(owner.ID)
			return
		}
	}
}

// adopt makes this router follow a valid map. It stops serving the ranges assigned to others at once. The state of
// the followed map (Prepared, then Active) is set here and in activate, not by transition.
func (mgr *Manager) adopt(p *pendingMap) {
	p.transition(Prepared)
	mgr.pending = nil
	mgr.laterTermAt = 0
	mgr.stats.Adopted++
	m := p.complete
	mgr.current = m
	mgr.state = Prepared
	mgr.confirmed = make([]byte, (len(m.Owners)+7)/8)
	if i := m.OwnerIndex(mgr.selfOwner()); i != NoOwner {
		mgr.confirmed[i/8] |= 1 << (i % 8)
	}
	if !mgr.inContact || mgr.now-mgr.lastTick > membership.MaxTickGap {
		// Other routers may have served its keys meanwhile, under a map that this router never followed.
		mgr.served = nil
	}
	mgr.stopServingOthers(m)
	mgr.lastAnnounced = min(mgr.lastAnnounced, mgr.now)
	mgr.output.MapChanged(m, Prepared)
}

// stopServingOthers removes from the served ranges those that a map assigns to others.
func (mgr *Manager) stopServingOthers(m *Map) {
	before := mgr.served
	mgr.served = nil
	self := m.OwnerIndex(mgr.selfOwner())
	start := 0
	for _, held := range before {
		for start < len(m.Ranges) && m.Ranges[start].Last < held.first {
			start++
		}
		for i := start; i < len(m.Ranges) && m.Ranges[i].First <= held.last; i++ {
			r := &m.Ranges[i]
			if r.Owner == self {
				mgr.served = append(mgr.served, keyRange{max(r.First, held.first), min(r.Last, held.last)})
			}
		}
	}
}

// activate activates the current map and serves all ranges it assigns to this router, as soon as every present
// router is known to follow it.
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

// allConfirmed reports whether every present router is known to follow the current map. A router that the map does
// not name can't serve under it; it counts only if it announced another map.
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

// reject drops a map that breaks a rule, and remembers it for rejectionTime.
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

func (mgr *Manager) recentlyRejected(digest Digest) bool {
	return slices.ContainsFunc(mgr.rejected, func(r rejectedMap) bool {
		return r.Digest == digest && mgr.now-r.at < rejectionTime
	})
}

// retirePending drops the pending map without marking it as rejected.
func (mgr *Manager) retirePending() {
	mgr.pending.transition(Retired)
	mgr.pending = nil
}
