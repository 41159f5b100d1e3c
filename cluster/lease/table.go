package lease

import "threadrun/cluster/membership"

// leaseEntry is this router's knowledge about one lease.
type leaseEntry struct {
	term          Term // 0: never claimed
	holder        Holder
	vacant        bool // no present member holds it, or its holder is leaving
	vacantSince   Micros
	transmissions int    // remaining gossip transmissions of the claim; above 0: in Manager.gossipQueue
	offeredAt     Micros // when this router last offered it to another; 0: never
}

// outranks reports whether the claim of holder a wins over that of holder b at equal terms. The result is the same
// at every router, because it depends only on the lease and the holders.
func outranks(id ID, a, b Holder) bool {
	x, y := rankHash(id, a), rankHash(id, b)
	return x > y || x == y && a > b
}

// claim claims a lease for this router with the next term, and queues the claim for gossip.
func (mgr *Manager) claim(id ID) {
	r := &mgr.table[id]
	mgr.setHolder(id, r.term+1, mgr.selfHolder)
	mgr.enqueueGossip(id, mgr.ownTransmissions())
	mgr.stats.Acquired++
	mgr.output.Acquired(id, r.term)
}

// setHolder changes the term and holder of a lease, and all values derived from them. It is the only code that
// changes them; it does not check the order of terms.
func (mgr *Manager) setHolder(id ID, term Term, holder Holder) {
	r := &mgr.table[id]
	mgr.revision++
	if p := mgr.byHolder[r.holder]; p != nil {
		p.load--
	}
	mgr.toggleSum(id)
	r.term = term
	r.holder = holder
	mgr.toggleSum(id)
	p := mgr.byHolder[holder]
	if p != nil {
		p.load++
	}
	mgr.setVacant(r, p == nil || p.State == membership.Leaving)
}

// setVacant marks a lease as vacant since now, or as not vacant. It does nothing if the lease is marked so already.
func (mgr *Manager) setVacant(r *leaseEntry, vacant bool) {
	switch {
	case vacant && !r.vacant:
		r.vacant = true
		r.vacantSince = mgr.now
		mgr.vacantCount++
	case !vacant && r.vacant:
		r.vacant = false
		mgr.vacantCount--
	}
}

// recountHolder updates the load and the vacant leases of a holder that has started, ended or announced its
// departure, or whose weight has changed.
func (mgr *Manager) recountHolder(holder Holder) {
	if holder == noHolder {
		return
	}
	p := mgr.byHolder[holder]
	load := 0
	for i := range mgr.table {
		if r := &mgr.table[i]; r.holder == holder {
			load++
			mgr.setVacant(r, p == nil || p.State == membership.Leaving)
		}
	}
	if p != nil {
		p.load = load
	}
}

// mergeClaim merges a claim into the table, and reports whether that claim is now the current one. It returns
// false if the table contains a claim that wins over it; the router that sent the losing claim then needs the
// winning one.
func (mgr *Manager) mergeClaim(id ID, term Term, holder Holder) bool {
	r := &mgr.table[id]
	if term == r.term && holder == r.holder {
		return true
	}
	if term < r.term || term == r.term && !outranks(id, holder, r.holder) {
		return false
	}
	released := r.holder == mgr.selfHolder
	releasedTerm := r.term
	if released {
		mgr.countRelease(r)
	}
	mgr.setHolder(id, term, holder)
	mgr.enqueueGossip(id, mgr.relayTransmissions())
	mgr.lastNewClaim = mgr.now
	if released {
		mgr.output.Released(id, releasedTerm)
	}
	return true
}

// countRelease counts a lease of this router that another router has claimed. The claim is a conflict unless it was
// expected: this router is leaving, or has offered the lease within offerTimeout.
func (mgr *Manager) countRelease(r *leaseEntry) {
	mgr.stats.Released++
	offered := r.offeredAt > 0 && mgr.now-r.offeredAt <= offerTimeout
	if mgr.self.State == membership.Alive && !offered {
		mgr.stats.Conflicts++
	}
}
