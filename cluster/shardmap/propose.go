package shardmap

import (
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	// proposeInterval is the minimum time between two proposals of a router.
	proposeInterval = clock.Second
	// maxActivation is how long a map may take to become active before its proposer proposes another one.
	maxActivation = 8 * clock.Second
	// stableTime is the required time without membership changes before a map is proposed, so that one map follows
	// several changes in short succession. maxStableWait limits the wait if the changes do not stop.
	stableTime    = 500 * clock.Millisecond
	maxStableWait = 6 * clock.Second
	// firstMapWait is how long after its start a proposer waits for the announcement of an existing map before it
	// proposes a first map.
	firstMapWait = 3 * clock.Second
)

// mayPropose reports whether this router, as the holder of the map lease, may propose maps now. A router that may
// not serve keys may propose only to resolve a conflict between two proposers, see hasRejectedHighest.
func (mgr *Manager) mayPropose(contact membership.Contact, stalled bool) bool {
	if !contact.Settled {
		return false
	}
	if mgr.inContact {
		return true
	}
	return mgr.hasRejectedHighest() && mgr.now-mgr.lastOutOfContact > contactRecovery &&
		contact.Proven(stalled)
}

// propose proposes and adopts the next map if a successor of the current one is due and nothing requires it to wait.
// term is the term of the map lease.
func (mgr *Manager) propose(term lease.Term) {
	base := mgr.predecessor()
	if mgr.proposalMustWait(base) {
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
	if mgr.now-mgr.lastCandidateChange < stableTime && mgr.now-mgr.outdatedSince < maxStableWait {
		return
	}
	mgr.lastProposedAt = mgr.now
	if !pinned {
		m = Propose(base, mgr.candidates, version)
	}
	if m != nil {
		mgr.submit(m, base, pinned)
	}
}

// proposalMustWait reports whether a new proposal must wait: until proposeInterval has passed, for the activation of
// the last proposal, for the fetch of a higher map, or for announcements of an existing map if this router knows none.
func (mgr *Manager) proposalMustWait(base *Map) bool {
	sinceProposal := mgr.now - mgr.lastProposedAt
	if sinceProposal < proposeInterval {
		return true
	}
	if mgr.state == Prepared && sinceProposal < maxActivation && !mgr.current.namesDeparted(mgr.candidates) {
		return true
	}
	if mgr.pending != nil && mgr.pending.Compare(mgr.currentVersion()) > 0 && mgr.pending.state != Complete {
		return true
	}
	return base == nil && mgr.now-mgr.startedAt < firstMapWait && mgr.candidates.presentCount() > 1 &&
		!mgr.noPeerHasMap()
}

// predecessor returns the map that the next map succeeds, or nil: the current map, or a higher one that is complete
// but not valid yet, for example because its owners have departed. A router that starts after a mass failure knows
// no other map. Without a predecessor the next map would move all keys.
func (mgr *Manager) predecessor() *Map {
	if p := mgr.pending; p != nil && p.state == Complete && p.Compare(mgr.currentVersion()) > 0 {
		return p.shardMap
	}
	return mgr.current
}

// nextVersion returns the version of the successor of base, without its digest, under the given term of the map
// lease. It is higher than the version of base and, if this router has rejected the highest announced map, than
// the version of that map.
func (mgr *Manager) nextVersion(base *Map, term lease.Term) Version {
	version := Version{Term: term, Number: 1}
	if base != nil {
		version.Term = max(term, base.Term)
		version.Number = base.Number + 1
	}
	if mgr.hasRejectedHighest() {
		// Skip a number: the followers of the rejected map accept its direct successor only if that names the rejected
		// map as its predecessor. See checkSuccession.
		version.Term = max(version.Term, mgr.highest.Term)
		version.Number = max(version.Number, mgr.highest.Number+2)
	}
	return version
}

// successorDue reports whether a new map is due: base is nil, or must be replaced because of the present routers or a
// rejected map. A newly pinned map replaces base in any case; see pinnedSuccessor.
func (mgr *Manager) successorDue(base *Map) bool {
	if base == nil || mgr.hasRejectedHighest() {
		return true
	}
	return base.NeedsSuccessor(mgr.candidates) && !mgr.matchesPin(base)
}

// submit validates a map proposed by this router by the same rules as a fetched one, and adopts or rejects it.
// pinned reports whether it is the operator's map.
func (mgr *Manager) submit(m, base *Map, pinned bool) {
	mgr.stats.Proposed++
	p := &pendingMap{Version: m.Version, shardMap: m, state: Proposed}
	if err := Validate(m, base, mgr.candidates, mgr.bounds); err != nil {
		if pinned { // the same successor is not proposed again; the next map is built by Propose
			mgr.rejectedPin = m.Digest
			mgr.output.Log("shardmap: the operator's map is not used", slog.String("map", m.String()))
		}
		mgr.reject(p, err)
		return
	}
	mgr.pending = p
	mgr.lastProposedDigest = m.Digest
	p.transition(Validated)
	mgr.adopt(p)
}

// noPeerHasMap reports whether all other present routers have announced that they follow no map.
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
