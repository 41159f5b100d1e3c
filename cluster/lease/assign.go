package lease

import (
	"math"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	// planInterval is the minimum time between two plans while the members do not change.
	planInterval   = 100 * clock.Millisecond
	minPresentTime = clock.Second // time for which another member must have been present to be planned as a holder
	// fallbackClaimDelay is how long the second best member waits before it claims a vacant lease. Each further rank
	// adds twice this time: the member of rank n, counted from 0, claims after 2n-1 times fallbackClaimDelay.
	fallbackClaimDelay = 600 * clock.Millisecond
	// queryLead is how long before its own claim a member queries the best member, which may have claimed the lease.
	queryLead = 400 * clock.Millisecond
)

// assignable reports whether a member may be assigned further leases. Suspected members may, because most of them
// are running; if one is not, the next best member claims the leases planned for it.
func (mgr *Manager) assignable(p *peer) bool {
	return p.State != membership.Leaving && (p.holder == mgr.selfHolder || mgr.now-p.presentSince >= minPresentTime)
}

// assignableWeight returns the total weight of all assignable members.
func (mgr *Manager) assignableWeight() (weight float64) {
	for _, p := range mgr.peers {
		if mgr.assignable(p) {
			weight += float64(p.Weight)
		}
	}
	return weight
}

// planCapacity computes each member's target, and how many more leases it may hold: a negative capacity is the
// number of leases above the limit. Every assignable member may hold at least one lease.
func (mgr *Manager) planCapacity() {
	total := mgr.assignableWeight()
	for _, p := range mgr.peers {
		p.target = 0
		p.capacity = 0
		if mgr.assignable(p) {
			p.target = float64(len(mgr.table)) * float64(p.Weight) / total
			p.capacity = max(int(math.Ceil(p.target*mgr.balance.MaxShare)), 1) - p.load
		}
	}
}

// claimVacant claims the vacant leases that this router should hold. Routers with equal tables and members compute
// equal plans, so that one of them claims each lease without any agreement. Where their tables or members differ
// and the planned holder does not claim, the next best member does so after a delay.
func (mgr *Manager) claimVacant() {
	if mgr.vacantCount == 0 || !mgr.inContact || mgr.self.State != membership.Alive {
		return
	}
	if !mgr.planOutdated && mgr.now-mgr.lastPlan < planInterval {
		return
	}
	mgr.lastPlan = mgr.now
	mgr.planOutdated = false
	mgr.planCapacity()
	for i := range mgr.table {
		if mgr.table[i].vacant {
			mgr.assignVacant(ID(i))
		}
	}
}

// assignVacant plans the holder of a vacant lease, and claims the lease if that is this router, or if the members
// that rank before it have not claimed it in time. It reduces the planned holder's capacity for the leases that
// follow.
func (mgr *Manager) assignVacant(id ID) {
	best, rank := mgr.bestWithCapacity(id)
	if best[0] == nil {
		return
	}
	best[0].capacity--
	if rank == 0 {
		mgr.claimAndNotify(id, best[1], best[2])
		return
	}
	if rank < 0 {
		return
	}
	r := &mgr.table[id]
	wait := Micros(2*rank-1)*fallbackClaimDelay - (mgr.now - max(r.vacantSince, mgr.settledAt))
	if wait < queryLead { // the best member may have claimed the lease, and the datagram been lost
		mgr.queueMessage(best[0], id, query)
	}
	if wait <= 0 {
		mgr.byHolder[mgr.selfHolder].capacity--
		mgr.claimAndNotify(id, best[0], best[1])
	}
}

// claimAndNotify claims a vacant lease and sends the claim to next and afterNext, the best other members in the
// lease's ranking, which would claim it otherwise. It also sends the claim to the old holder if that is still
// present.
func (mgr *Manager) claimAndNotify(id ID, next, afterNext *peer) {
	r := &mgr.table[id]
	old := mgr.byHolder[r.holder]
	switch {
	case old != nil: // it is leaving, and runs the tasks until it receives the claim
		mgr.stats.HandedOver++
		mgr.queueMessage(old, id, claims)
	case r.term > 0:
		mgr.stats.FromDead++
	}
	mgr.claim(id)
	mgr.queueMessage(next, id, claims)
	mgr.queueMessage(afterNext, id, claims)
}

// bestWithCapacity returns the three best members with free capacity for a lease, nil where there are fewer. It
// also returns this router's rank among the ranked members with free capacity: 0 is the best, -1 means that this
// router is not ranked or has no capacity.
func (mgr *Manager) bestWithCapacity(id ID) (best [3]*peer, selfRank int) {
	n := 0
	selfRank = -1
	ranking := mgr.ranking(id)
	for _, p := range ranking.peers[:ranking.count] {
		if p.capacity <= 0 {
			continue
		}
		if p.holder == mgr.selfHolder {
			selfRank = n
		}
		if n < len(best) {
			best[n] = p
		}
		n++
	}
	return best, selfRank
}
