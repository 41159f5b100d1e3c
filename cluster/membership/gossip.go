package membership

import (
	"math"
	"slices"
)

// gossipFactor times the logarithm of the members is how often a change is told.
const gossipFactor = 3

// gossipTransmissions is how often a change is told.
func (m *Members) gossipTransmissions() int {
	return gossipFactor * int(math.Ceil(math.Log2(float64(len(m.records)+2))))
}

// enqueueGossip makes the state of a member be told to others. New members are told less often, as the lists that
// members pull from one another tell of them too.
func (m *Members) enqueueGossip(r *record, urgent bool) {
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

// heardAgain makes a state be told less often where others tell it too.
func (r *record) heardAgain(e *entry) {
	if r.transmissions > 0 && e.Incarnation == r.Incarnation && e.refutations == r.refutations && e.state == r.State {
		r.transmissions--
	}
}

// before reports whether gossip of one member goes before that of another: suspicions and their ends before new
// members, refutations before suspicions, as a timeout runs.
func (r *record) before(other *record) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	if (r.State == Alive) != (other.State == Alive) {
		return r.State == Alive
	}
	return r.transmissions > other.transmissions
}

// gossip fills the datagram: first with what its receiver must know of itself, then with what was told least.
func (d datagram) gossip(receiver *record) datagram {
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
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *record) bool { return r.transmissions <= 0 })
	return d
}

func (r *record) mustHearOfItself() bool {
	return r.State != Unknown && (r.State == Suspect || !r.State.Present() || r.oldIncarnation)
}

// nextGossip returns what goes next into the current datagram; nil: nothing.
func (m *Members) nextGossip(receiver *record) *record {
	var best *record
	for _, r := range m.gossipQueue {
		if r != receiver && r.lastDatagram != m.datagramNumber && (best == nil || r.before(best)) {
			best = r
		}
	}
	return best
}
