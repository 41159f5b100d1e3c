package lease

import (
	"math"

	"threadrun/internal/clock"
)

const (
	rebalanceInterval   = 500 * clock.Millisecond // minimum time between two rounds of offers by this router
	rebalanceStableTime = 2 * clock.Second        // required time without a change of members
	// maxVacantDivisor suspends rebalancing while more than one in this many leases is vacant.
	maxVacantDivisor = 20
	offerTimeout     = 2 * clock.Second // time after an offer in which a claim of the lease is not a conflict
)

// rebalance offers leases to other members if this router has more than its limit, or others have less than their
// minimum; in the latter case, only a few at each rebalanceInterval. The receiver accepts an offer by claiming the
// lease; this router runs the tasks until it receives the claim, so that the lease is never without a holder.
func (mgr *Manager) rebalance() {
	self := mgr.byHolder[mgr.selfHolder]
	if mgr.vacantCount > len(mgr.table)/maxVacantDivisor || self == nil || !mgr.assignable(self) {
		return
	}
	if mgr.now-mgr.lastChange < rebalanceStableTime || mgr.now-mgr.lastRebalance < rebalanceInterval {
		return
	}
	mgr.lastRebalance = mgr.now
	mgr.planCapacity()
	if self.capacity < 0 {
		excess := -self.capacity
		self.capacity = 0
		mgr.offerLeases(excess)
		return
	}
	overTarget, missing := mgr.planMinimum()
	spare := self.load - int(math.Ceil(self.target))
	if spare > 0 && missing > 0 {
		// Each member above its target offers an equal part of the missing leases. This router is one of them, since
		// spare is positive, so overTarget is not 0.
		mgr.offerLeases(min(spare, missing/overTarget+1))
	}
}

// planMinimum sets each member's capacity to the number of leases that it lacks for its minimum. It returns the
// number of members above their targets and the sum of the missing leases. planCapacity must have set the targets.
func (mgr *Manager) planMinimum() (overTarget, missing int) {
	for _, p := range mgr.peers {
		if float64(p.load) > p.target {
			overTarget++
		}
		p.capacity = max(int(math.Ceil(p.target*mgr.balance.MinShare))-p.load, 0)
		missing += p.capacity
	}
	return overTarget, missing
}

// offerLeases offers up to count leases of this router, each to the best-ranked member with free capacity.
func (mgr *Manager) offerLeases(count int) {
	for i := range mgr.table {
		if count <= 0 || len(mgr.messages) >= maxMessages {
			return
		}
		r := &mgr.table[i]
		recentlyOffered := r.offeredAt > 0 && mgr.now-r.offeredAt < rebalanceInterval/2
		if r.holder != mgr.selfHolder || recentlyOffered {
			continue
		}
		best, _ := mgr.bestWithCapacity(ID(i))
		receiver := best[0]
		if receiver == nil || receiver.holder == mgr.selfHolder {
			continue
		}
		mgr.queueMessage(receiver, ID(i), offer)
		receiver.capacity--
		r.offeredAt = mgr.now
		count--
	}
}

// receiveOffer claims a lease that its holder offers, if this router has free capacity. It ignores an offer of a
// lease that the sender no longer holds, or when this router's tasks are suspended.
func (mgr *Manager) receiveOffer(sender, holder Holder, id ID, term Term) {
	self, from := mgr.byHolder[mgr.selfHolder], mgr.byHolder[sender]
	if holder != sender || from == nil || self == nil || !mgr.inContact {
		return
	}
	if !mgr.mergeClaim(id, term, holder) {
		return
	}
	mgr.planCapacity()
	if self.capacity <= 0 {
		return
	}
	mgr.claim(id)
	mgr.stats.HandedOver++
	mgr.queueMessage(from, id, claims)
}
