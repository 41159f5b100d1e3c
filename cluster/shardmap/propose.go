package shardmap

import (
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	proposeInterval = clock.Second
	// maxActivation is the time that a map has to become active before its proposer makes another.
	maxActivation = 8 * clock.Second
	// stableTime is the time without membership changes before a map is made; maxStableWait bounds the wait for it.
	stableTime    = 500 * clock.Millisecond
	maxStableWait = 6 * clock.Second
	// firstMapWait is the time after its start in which a lease holder asks for a map before it makes the first one.
	firstMapWait = 3 * clock.Second
)

// mayPropose reports whether the holder of the map lease may use it now.
func (mgr *Manager) mayPropose(contact membership.Contact, stopped bool) bool {
	if !contact.Settled {
		return false
	}
	if mgr.inContact {
		return true
	}
	return mgr.rejectedHighest() && mgr.now-mgr.lastOutOfContact > contactRecovery &&
		contact.Proven(stopped)
}

// propose makes the next map where one is due.
func (mgr *Manager) propose(term lease.Term) {
	base := mgr.predecessor()
	if mgr.awaitsMap(base) {
		return
	}
	version := mgr.nextVersion(base, term)
	m := mgr.pinnedSuccessor(base, version)
	pinned := m != nil
	if !pinned && !mgr.successorDue(base) {
		mgr.outdatedSince = 0
		return
	}
	if mgr.outdatedSince == 0 {
		mgr.outdatedSince = mgr.now
	}
	if mgr.now-mgr.lastChange < stableTime && mgr.now-mgr.outdatedSince < maxStableWait {
		return
	}
	mgr.lastProposal = mgr.now
	if !pinned {
		m = Propose(base, mgr.candidates, version)
	}
	if m != nil {
		mgr.submit(m, base, pinned)
	}
}

// awaitsMap reports whether a proposal has to wait: for the last one, for a map under way, or for word of a first
// map.
func (mgr *Manager) awaitsMap(base *Map) bool {
	sinceProposal := mgr.now - mgr.lastProposal
	if sinceProposal < proposeInterval {
		return true
	}
	if mgr.state == Prepared && sinceProposal < maxActivation && !mgr.current.namesDeparted(mgr.candidates) {
		return true
	}
	if mgr.pending != nil && mgr.pending.Compare(mgr.currentVersion()) > 0 && mgr.pending.state != Complete {
		return true
	}
	return base == nil && mgr.now-mgr.startedAt < firstMapWait && mgr.candidates.presentCount() > 1 && !mgr.noPeerHasMap()
}

// predecessor is the map that the next one follows: the current one, or a higher one that is complete and waits as it
// names departed owners. A router that starts after a mass failure knows no other; without it all keys would move.
func (mgr *Manager) predecessor() *Map {
	if p := mgr.pending; p != nil && p.state == Complete && p.Compare(mgr.currentVersion()) > 0 {
		return p.complete
	}
	return mgr.current
}

func (mgr *Manager) nextVersion(base *Map, term lease.Term) Version {
	version := Version{Term: term, Number: 1}
	if base != nil {
		version.Term = max(term, base.Term)
		version.Number = base.Number + 1
	}
	if mgr.rejectedHighest() { // not the number after either map: it would have to follow the rejected one
		version.Term = max(version.Term, mgr.highest.Term)
		version.Number = max(version.Number, mgr.highest.Number+2)
	}
	return version
}

// successorDue reports whether base has to be followed by another map.
func (mgr *Manager) successorDue(base *Map) bool {
	if base == nil || mgr.rejectedHighest() {
		return true
	}
	return base.NeedsSuccessor(mgr.candidates) && !mgr.matchesPin(base)
}

// submit checks a map made here as any other, and adopts it.
func (mgr *Manager) submit(m, base *Map, pinned bool) {
	mgr.stats.Proposed++
	p := &pendingMap{Version: m.Version, complete: m, state: Proposed}
	if err := Validate(m, base, mgr.candidates, mgr.bounds); err != nil {
		if pinned { // maps are made without it until the candidates change
			mgr.rejectedPin = m.Digest
			mgr.output.Log("shardmap: the operator's map is not used", slog.String("map", m.String()))
		}
		mgr.reject(p, err)
		return
	}
	mgr.pending = p
	mgr.lastProposed = m.Digest
	p.transition(Validated)
	mgr.adopt(p)
}

// noPeerHasMap reports whether all routers present have said that they follow no map.
func (mgr *Manager) noPeerHasMap() bool {
	for id, candidate := range mgr.candidates {
		if !candidate.Present || id == mgr.self.ID {
			continue
		}
		peer, known := mgr.peerVersions[id]
		if !known || peer.Version != (Version{}) {
			return false
		}
	}
	return true
}
