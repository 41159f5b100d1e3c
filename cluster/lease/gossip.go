package lease

import (
	"cmp"
	"math/bits"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// The number of times that a router gossips a claim grows with the logarithm of the number of members, which is
// computed as the bit length of that number.
const (
	gossipInterval  = 100 * clock.Millisecond
	ownClaimFactor  = 3  // transmissions of a claim of this router: this times the logarithm
	relayReduction  = 6  // transmissions of a claim of another router: the logarithm minus this, at least 1
	roundRobinPeers = 40 // number of members up to which peers are picked in turn instead of at random

	maxMessages          = 512                     // in the queue; further messages are dropped
	messageTransmissions = 3                       // transmissions of a claim or query
	messageInterval      = 100 * clock.Millisecond // time between the transmissions of a message
	messageTimeout       = clock.Second            // time after which an overdue message is dropped
)

// message is a queued claim, query or offer to one member about one lease. No reply confirms it, so claims and
// queries are transmitted several times.
type message struct {
	to        membership.NodeID
	id        ID
	kind      messageKind // claims, query or offer
	remaining int         // transmissions left
	due       Micros      // time of the next transmission
}

// ownTransmissions returns how often a claim of this router is gossiped: at most as often as there are members.
func (mgr *Manager) ownTransmissions() int {
	return min(len(mgr.peers), ownClaimFactor*bits.Len(uint(len(mgr.peers))))
}

// relayTransmissions returns how often a claim of another router is gossiped.
func (mgr *Manager) relayTransmissions() int {
	return max(bits.Len(uint(len(mgr.peers)))-relayReduction, 1)
}

// enqueueGossip queues the claim of a lease for at least the given number of transmissions.
func (mgr *Manager) enqueueGossip(id ID, transmissions int) {
	r := &mgr.table[id]
	if r.transmissions <= 0 {
		mgr.gossipQueue = append(mgr.gossipQueue, id)
	}
	r.transmissions = max(r.transmissions, transmissions)
}

// gossip sends queued claims to two members when it is due, beginning with those that have the most remaining
// transmissions, which are the newest.
func (mgr *Manager) gossip() {
	if len(mgr.gossipQueue) == 0 || mgr.now-mgr.lastGossip < gossipInterval || len(mgr.peers) < 2 {
		return
	}
	mgr.lastGossip = mgr.now
	slices.SortFunc(mgr.gossipQueue, func(a, b ID) int {
		x, y := &mgr.table[a], &mgr.table[b]
		return cmp.Or(
			cmp.Compare(y.transmissions, x.transmissions),
			cmp.Compare(x.holder, y.holder), // claims of one holder share a group header
			cmp.Compare(a, b),
		)
	})
	for range 2 {
		to := mgr.pickPeer()
		if to == nil {
			return
		}
		sent := mgr.sendClaims(claims, to.Address, mgr.gossipQueue)
		for _, id := range mgr.gossipQueue[:sent] {
			mgr.table[id].transmissions--
		}
		mgr.gossipQueue = slices.DeleteFunc(mgr.gossipQueue, func(id ID) bool {
			return mgr.table[id].transmissions <= 0
		})
		if len(mgr.gossipQueue) == 0 {
			return
		}
	}
}

// pickPeer returns another member, or nil if there is none. Up to roundRobinPeers members are picked in turn, so
// that each is reached. More members are picked at random: if all routers went through them in one order, the first
// members would receive every claim, and the last ones none.
func (mgr *Manager) pickPeer() *peer {
	n := len(mgr.peers)
	if n < 2 {
		return nil
	}
	mgr.nextPeer++
	if n > roundRobinPeers || mgr.nextPeer == 1 {
		mgr.nextPeer = mgr.random.IntN(n) + 1
	}
	p := mgr.peers[mgr.nextPeer%n]
	if p.holder == mgr.selfHolder {
		mgr.nextPeer++
		p = mgr.peers[mgr.nextPeer%n]
	}
	return p
}

// queueMessage queues a message about a lease to one member, for transmission by the next sendMessages. It does
// nothing if the member is nil or this router, if the queue is full, or if the same query is queued.
func (mgr *Manager) queueMessage(to *peer, id ID, kind messageKind) {
	if to == nil || to.holder == mgr.selfHolder || len(mgr.messages) >= maxMessages {
		return
	}
	isSameQuery := func(msg message) bool { return msg.to == to.ID && msg.id == id && msg.kind == query }
	if kind == query && slices.ContainsFunc(mgr.messages, isSameQuery) {
		return
	}
	transmissions := messageTransmissions
	if kind == offer { // rebalance offers the lease again if it is still needed
		transmissions = 1
	}
	mgr.messages = append(mgr.messages, message{to.ID, id, kind, transmissions, mgr.now})
}

// sendMessages sends the messages that are due, combining those of one kind to the same member into one datagram.
// It removes messages without remaining transmissions, and overdue ones, whose members are no longer present.
func (mgr *Manager) sendMessages() {
	if len(mgr.messages) == 0 {
		return
	}
	for _, p := range mgr.peers {
		for _, kind := range [...]messageKind{claims, query, offer} {
			due := mgr.takeDue(p.ID, kind)
			switch {
			case len(due) == 0:
			case kind == query:
				mgr.sendQuery(p.Address, due)
			default:
				mgr.sendClaims(kind, p.Address, due)
			}
		}
	}
	mgr.messages = slices.DeleteFunc(mgr.messages, func(msg message) bool {
		return msg.remaining <= 0 || mgr.now-msg.due > messageTimeout
	})
}

// takeDue returns the leases of the messages of a kind to a member that are due, at most maxClaims, and counts one
// transmission of each. The slice is valid until the next use of scratch.
func (mgr *Manager) takeDue(to membership.NodeID, kind messageKind) []ID {
	mgr.scratch = mgr.scratch[:0]
	for i := range mgr.messages {
		msg := &mgr.messages[i]
		if msg.to != to || msg.kind != kind || msg.due > mgr.now || msg.remaining <= 0 {
			continue
		}
		if len(mgr.scratch) >= maxClaims {
			break
		}
		mgr.scratch = append(mgr.scratch, msg.id)
		msg.remaining--
		msg.due = mgr.now + messageInterval
	}
	return mgr.scratch
}
