package shardmap

import (
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	proposeInterval = clock.Second
	// maxActivation is how long a map may take to become active before its proposer makes another.
	maxActivation = 8 * clock.Second
	// stableTime is the required time without membership changes before a map is made; maxStableWait limits the
	// wait.
	stableTime    = 500 * clock.Millisecond
	maxStableWait = 6 * clock.Second
	// firstMapWait is how long after its start a proposer waits for an existing map before it makes the first one.
	firstMapWait = 3 * clock.Second
)

// mayPropose reports whether the holder of the map lease may propose maps now.
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

// propose proposes the next map if one is due.
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

// awaitsMap reports whether a proposal must wait: for the last proposal, for a map being fetched, or for news of an
// existing first map.
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

// predecessor returns the map that the next one follows: the current map, or a higher one that is complete but
// names departed owners. A router that starts after a mass failure knows no other map; without it all keys would
// move.
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
	if mgr.rejectedHighest() { // skip a number: the direct successor would have to follow the rejected map
		version.Term = max(version.Term, mgr.highest.Term)
		version.Number = max(version.Number, mgr.highest.Number+2)
	}
	return version
}

// successorDue reports whether base must be replaced by another map.
func (mgr *Manager) successorDue(base *Map) bool {
	if base == nil || mgr.rejectedHighest() {
		return true
	}
	return base.NeedsSuccessor(mgr.candidates) && !mgr.matchesPin(base)
}

// submit validates a map proposed by this router like any other, and adopts it.
func (mgr *Manager) submit(m, base *Map, pinned bool) {
	mgr.stats.Proposed++
	p := &pendingMap{Version: m.Version, complete: m, state: Proposed}
	if err := Validate(m, base, mgr.candidates, mgr.bounds); err != nil {
		if pinned { // maps are built without it until the candidates change
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

// noPeerHasMap reports whether all present routers have announced that they follow no map.
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
