package membership

import (
	"math"
	"slices"
)

// gossipFactor: each change is sent this many times the logarithm of the number of members.
const gossipFactor = 3

// gossipTransmissions returns how often a change is sent.
func (m *Members) gossipTransmissions() int {
	return gossipFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// enqueueGossip queues the state of a member for gossip. New members are sent less often, because pulled lists
// contain them too.
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

// suppressRedundantGossip sends a state once less when another router has gossiped it too.
func (r *knownMember) suppressRedundantGossip(e *entry) {
	if r.transmissions > 0 && e.Incarnation == r.Incarnation && e.refutations == r.refutations && e.state == r.State {
		r.transmissions--
	}
}

// before reports whether gossip about r is sent before gossip about other: changes of suspicion before new members,
// and refutations before suspicions, whose timeouts are running.
func (r *knownMember) before(other *knownMember) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	if (r.State == Alive) != (other.State == Alive) {
		return r.State == Alive
	}
	return r.transmissions > other.transmissions
}

// gossip fills the datagram: first with the receiver's own state if the receiver must refute it, then with the
// changes that were sent least often.
func (d datagram) gossip(receiver *knownMember) datagram {
	m := d.m
	if receiver != nil && receiver.mustHearOfItself() {
		if receiver.oldIncarnation {
			d, _ = d.entry(receiver)
		} else {
			d, _ = d.gossipEntry(receiver)
		}
		receiver.oldIncarnation = false
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

func (r *knownMember) mustHearOfItself() bool {
	return r.State != Unknown && (r.State == Suspect || !r.State.Present() || r.oldIncarnation)
}

// nextGossip returns the member whose state goes next into the current datagram, or nil.
func (m *Members) nextGossip(receiver *knownMember) *knownMember {
	var best *knownMember
	for _, r := range m.gossipQueue {
		if r != receiver && r.lastDatagram != m.datagramNumber && (best == nil || r.before(best)) {
			best = r
		}
	}
	return best
}
