package membership

import (
	"math"
	"slices"
)

// gossipFactor is the number of transmissions of a change per doubling of the number of members.
const gossipFactor = 3

// gossipTransmissions returns how many times this router sends a change by gossip.
func (m *Members) gossipTransmissions() int {
	return gossipFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// enqueueGossip queues the state of a member for gossip. New members and incarnations, which are not urgent, are sent
// fewer times, because pulled lists contain them too.
func (m *Members) enqueueGossip(r *knownMember, urgent bool) {
	if r.transmissions <= 0 {
		m.gossipQueue = append(m.gossipQueue, r)
		r.urgent = false
	}
	r.urgent = r.urgent || urgent
	r.transmissions = m.gossipTransmissions()
	if !r.urgent {
		r.transmissions /= gossipFactor
	}
}

// suppressRedundantGossip removes one transmission of the member's state if the entry shows that another router
// gossips the same state.
func (r *knownMember) suppressRedundantGossip(e *entry) {
	if r.transmissions > 0 && e.Incarnation == r.Incarnation && e.refutations == r.refutations && e.state == r.State {
		r.transmissions--
	}
}

// gossipedBefore reports whether gossip about r is sent before gossip about other. Urgent changes come before new
// members and incarnations. Refutations come before suspicions, because a refutation must arrive before the timeout of
// the suspicion ends. Otherwise the state with more remaining transmissions comes first.
func (r *knownMember) gossipedBefore(other *knownMember) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	if (r.State == Alive) != (other.State == Alive) {
		return r.State == Alive
	}
	return r.transmissions > other.transmissions
}

// gossip fills the rest of the datagram: first with the receiver's own state if needsOwnState, then with queued
// changes, and counts one transmission of each of these. receiver may be nil if it is not a known member.
func (d datagram) gossip(receiver *knownMember) datagram {
	m := d.m
	if receiver != nil && receiver.needsOwnState() {
		if receiver.sentOldIncarnation {
			d, _ = d.entry(receiver)
		} else {
			d, _ = d.gossipEntry(receiver)
		}
		receiver.sentOldIncarnation = false
	}
	for {
		next := m.nextGossip(receiver)
		if next == nil {
			break
		}
		var fits bool
		d, fits = d.gossipEntry(next)
		if !fits {
			break
		}
		next.lastDatagram = m.datagramNumber
		next.transmissions--
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *knownMember) bool { return r.transmissions <= 0 })
	return d
}

// needsOwnState reports whether the member must be sent its own state: it is suspected or believed to have ended,
// which it must refute, or it has sent an earlier incarnation than the known one.
func (r *knownMember) needsOwnState() bool {
	return r.State != Unknown && (r.State == Suspect || !r.State.Present() || r.sentOldIncarnation)
}

// nextGossip returns the member whose state goes next into the current datagram, or nil. It skips the receiver, and
// members that the datagram contains already.
func (m *Members) nextGossip(receiver *knownMember) *knownMember {
	var best *knownMember
	for _, r := range m.gossipQueue {
		if r != receiver && r.lastDatagram != m.datagramNumber && (best == nil || r.gossipedBefore(best)) {
			best = r
		}
	}
	return best
}
