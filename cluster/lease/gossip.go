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
	ownClaimFactor  = 3  // times the logarithm of the members: how often an own claim is told
	relayReduction  = 6  // below the logarithm of the members: how often another's is
	roundRobinPeers = 40 // members up to which they are told in turn, and not at random

	maxMessages     = 512
	messageRepeats  = 3
	messageInterval = 100 * clock.Millisecond // between these repeats
	messageTimeout  = clock.Second
)

// message is a claim, query or offer for one member.
type message struct {
	to        membership.NodeID
	id        ID
	kind      messageKind
	remaining int // times that it is still to be sent
	due       Micros
}

// ownTransmissions is how often a claim of this router is told: to each member where they are few.
func (mgr *Manager) ownTransmissions() int {
	return min(len(mgr.peers), ownClaimFactor*bits.Len(uint(len(mgr.peers))))
}

// relayTransmissions is how often a claim of another router is told.
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

// gossip tells two members of the newest claims, at intervals.
func (mgr *Manager) gossip() {
	if len(mgr.gossipQueue) == 0 || mgr.now-mgr.lastGossip < gossipInterval || len(mgr.peers) < 2 {
		return
	}
	mgr.lastGossip = mgr.now
	slices.SortFunc(mgr.gossipQueue, func(a, b ID) int {
		x, y := &mgr.table[a], &mgr.table[b]
		return cmp.Or(
			cmp.Compare(y.transmissions, x.transmissions),
			cmp.Compare(x.holder, y.holder), // a datagram names each holder once
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

// pickPeer returns a member other than this router; nil: there is none. Few are taken in turn, so that each is told; of
// many a random one: were all routers to go through them in one order, the first would hear all and the last nothing.
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

// sendLater queues a message about a lease for one member; nil or this router: for nobody.
func (mgr *Manager) sendLater(to *peer, id ID, kind messageKind) {
	if to == nil || to.holder == mgr.selfHolder || len(mgr.messages) >= maxMessages {
		return
	}
	queued := func(msg message) bool { return msg.to == to.ID && msg.id == id && msg.kind == query }
	if kind == query && slices.ContainsFunc(mgr.messages, queued) {
		return
	}
	repeats := messageRepeats
	if kind == offer { // made again where it is still due
		repeats = 1
	}
	mgr.messages = append(mgr.messages, message{to.ID, id, kind, repeats, mgr.now})
}

// sendMessages sends the messages that are due, those for one member together.
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

// takeDue returns the leases that messages for a member are due about, valid until the next datagram is made.
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
