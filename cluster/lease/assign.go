package lease

import (
	"math"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	planInterval   = 100 * clock.Millisecond
	minPresentTime = clock.Second // that a member must have been present to be given leases
	// standInDelay is the time until the second best member claims a vacant lease; each further one waits twice as long
	// more.
	standInDelay = 600 * clock.Millisecond
	// queryLead is how long before that the best member is asked whether it has claimed the lease.
	queryLead = 400 * clock.Millisecond
)

// eligible reports whether a member may be given leases. A suspect may: most suspects run, and for one that does not
// the next best member stands in.
func (mgr *Manager) eligible(p *peer) bool {
	return p.State != membership.Leaving && (p.holder == mgr.selfHolder || mgr.now-p.since >= minPresentTime)
}

// eligibleWeight is the weight of all members that may be given leases.
func (mgr *Manager) eligibleWeight() (weight float64) {
	for _, p := range mgr.peers {
		if mgr.eligible(p) {
			weight += float64(p.Weight)
		}
	}
	return weight
}

// planCapacity works out how many leases each member may take.
func (mgr *Manager) planCapacity() {
	total := mgr.eligibleWeight()
	for _, p := range mgr.peers {
		p.target = 0
		p.capacity = 0
		if mgr.eligible(p) {
			p.target = float64(len(mgr.table)) * float64(p.Weight) / total
			p.capacity = max(int(math.Ceil(p.target*mgr.balance.MaxShare)), 1) - p.load
		}
	}
}

// claimVacant claims the vacant leases that are this router's to claim. Each router makes the same plan of the same
// table and members; where these differ, the next best member stands in after a while.
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

// assignVacant plans who takes a vacant lease, and claims it where that is this router.
func (mgr *Manager) assignVacant(id ID) {
	best, rank := mgr.bestWithRoom(id)
	if best[0] == nil {
		return
	}
	best[0].capacity--
	if rank == 0 {
		mgr.takeVacant(id, best[1], best[2])
		return
	}
	if rank < 0 {
		return
	}
	r := &mgr.table[id]
	wait := Micros(2*rank-1)*standInDelay - (mgr.now - max(r.vacantSince, mgr.settledAt))
	if wait < queryLead { // it may have claimed the lease, and the claim was lost
		mgr.sendLater(best[0], id, query)
	}
	if wait <= 0 {
		mgr.byHolder[mgr.selfHolder].capacity--
		mgr.takeVacant(id, best[0], best[1])
	}
}

// takeVacant claims a vacant lease, and tells those who would otherwise claim it or work on.
func (mgr *Manager) takeVacant(id ID, next, afterNext *peer) {
	r := &mgr.table[id]
	old := mgr.byHolder[r.holder]
	switch {
	case old != nil: // it is leaving, and works until it hears of the claim
		mgr.stats.HandedOver++
		mgr.sendLater(old, id, claims)
	case r.term > 0:
		mgr.stats.FromDead++
	}
	mgr.claim(id)
	mgr.sendLater(next, id, claims)
	mgr.sendLater(afterNext, id, claims)
}

// bestWithRoom returns the three best members for a lease that have room, and this router's rank among all that have
// room: 0 is the best, -1 stands for none.
func (mgr *Manager) bestWithRoom(id ID) (best [3]*peer, selfRank int) {
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
