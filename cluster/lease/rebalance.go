package lease

import (
	"math"

	"threadrun/internal/clock"
)

const (
	rebalanceInterval = 500 * clock.Millisecond
	rebalanceAfter    = 2 * clock.Second // without a change of members
	// vacantFraction: with more than one in so many leases vacant there is nothing to rebalance.
	vacantFraction = 20
	offerTimeout   = 2 * clock.Second // in which a claim of an offered lease is no conflict
)

// rebalance offers leases to others where this router has too many, or others have far too few. It moves a few at a
// time: an offer is taken up by a claim, and until this router hears of the claim it works on.
func (mgr *Manager) rebalance() {
	self := mgr.byHolder[mgr.selfHolder]
	if mgr.vacantCount > len(mgr.table)/vacantFraction || self == nil || !mgr.assignable(self) {
		return
	}
	if mgr.now-mgr.lastChange < rebalanceAfter || mgr.now-mgr.lastRebalance < rebalanceInterval {
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
	above, missing := mgr.planMinimum()
	spare := self.load - int(math.Ceil(self.target))
	if spare > 0 && missing > 0 {
		// Each member above its target gives a part of what is missing.
		mgr.offerLeases(min(spare, missing/above+1))
	}
}

// planMinimum plans to bring each member to its minimum. It returns how many members are above their targets, and how
// many leases are missing.
func (mgr *Manager) planMinimum() (above, missing int) {
	for _, p := range mgr.peers {
		if float64(p.load) > p.target {
			above++
		}
		p.capacity = max(int(math.Ceil(p.target*mgr.balance.MinShare))-p.load, 0)
		missing += p.capacity
	}
	return above, missing
}

// offerLeases offers a number of leases to the best members with room.
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
		best, _ := mgr.bestWithRoom(ID(i))
		receiver := best[0]
		if receiver == nil || receiver.holder == mgr.selfHolder {
			continue
		}
		mgr.sendLater(receiver, ID(i), offer)
		receiver.capacity--
		r.offeredAt = mgr.now
		count--
	}
}

// receiveOffer claims a lease that its holder offers, if this router has room.
func (mgr *Manager) receiveOffer(sender, holder Holder, id ID, term Term) {
	self, from := mgr.byHolder[mgr.selfHolder], mgr.byHolder[sender]
	if holder != sender || from == nil || self == nil || !mgr.inContact {
		return
	}
	if !mgr.merge(id, term, holder) {
		return
	}
	mgr.planCapacity()
	if self.capacity <= 0 {
		return
	}
	mgr.claim(id)
	mgr.stats.HandedOver++
	mgr.sendLater(from, id, claims)
}
