package lease

import (
	"cmp"
	"math/bits"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	gossipInterval  = 100 * clock.Millisecond
	ownClaimFactor  = 3  // times the logarithm of the number of members: transmissions of an own claim
	relayReduction  = 6  // subtracted from that logarithm: transmissions of another router's claim
	roundRobinPeers = 40 // number of members up to which peers are picked in turn instead of at random

	maxMessages     = 512
	messageRepeats  = 3
	messageInterval = 100 * clock.Millisecond // time between repeats of a message
	messageTimeout  = clock.Second
)

// message is a claim, query or offer to one member.
type message struct {
	to        membership.NodeID
	id        ID
	kind      messageKind
	remaining int // transmissions left
	due       Micros
}

// ownTransmissions returns how often a claim of this router is gossiped: at most once per member.
func (mgr *Manager) ownTransmissions() int {
	return min(len(mgr.peers), ownClaimFactor*bits.Len(uint(len(mgr.peers))))
}

// relayTransmissions returns how often a claim of another router is gossiped.
func (mgr *Manager) relayTransmissions() int {
	return max(bits.Len(uint(len(mgr.peers)))-relayReduction, 1)
}

func (mgr *Manager) enqueueGossip(id ID, transmissions int) {
	r := &mgr.table[id]
	if r.transmissions <= 0 {
		mgr.gossipQueue = append(mgr.gossipQueue, id)
	}
	r.transmissions = max(r.transmissions, transmissions)
}

// gossip sends the newest claims to two members when it is due.
func (mgr *Manager) gossip() {
	if len(mgr.gossipQueue) == 0 || mgr.now-mgr.lastGossip < gossipInterval || len(mgr.peers) < 2 {
		return
	}
	mgr.lastGossip = mgr.now
	slices.SortFunc(mgr.gossipQueue, func(a, b ID) int {
		x, y := &mgr.table[a], &mgr.table[b]
		return cmp.Or(
			cmp.Compare(y.transmissions, x.transmissions),
			cmp.Compare(x.holder, y.holder), // a datagram contains each holder once
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

// pickPeer returns another member, or nil if there is none. Few members are picked in turn, so that each is
// reached. Many are picked at random: if all routers went through them in one order, the first members would
// receive everything and the last nothing.
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

// sendLater queues a message about a lease to one member. It does nothing if the member is nil or this router.
func (mgr *Manager) sendLater(to *peer, id ID, kind messageKind) {
	if to == nil || to.holder == mgr.selfHolder || len(mgr.messages) >= maxMessages {
		return
	}
	queued := func(msg message) bool { return msg.to == to.ID && msg.id == id && msg.kind == query }
	if kind == query && slices.ContainsFunc(mgr.messages, queued) {
		return
	}
	repeats := messageRepeats
	if kind == offer { // repeated if it is still needed
		repeats = 1
	}
	mgr.messages = append(mgr.messages, message{to.ID, id, kind, repeats, mgr.now})
}

// sendMessages sends the messages that are due, combining those to the same member.
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

// takeDue returns the leases of the messages to a member that are due. The slice is valid until the next use
// of scratch.
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
