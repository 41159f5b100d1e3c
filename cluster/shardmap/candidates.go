package shardmap

import (
	"net/netip"

	"threadrun/cluster/membership"
)

// Candidate is what a router knows of a router that could own keys.
type Candidate struct {
	Incarnation membership.Incarnation
	Zone        uint16
	Weight      uint16 // its share of the keys relative to the others' weights
	Present     bool   // taken to run, and not about to leave
	Address     netip.AddrPort
}

// Candidates holds all known routers.
type Candidates map[membership.NodeID]Candidate

// present tells whether an owner runs in the incarnation in which a map names it.
func (c Candidates) present(owner Owner) bool {
	candidate := c[owner.ID]
	return candidate.Present && candidate.Incarnation == owner.Incarnation
}

// departed tells whether an owner has ended, or runs in a later incarnation.
func (c Candidates) departed(owner Owner) bool {
	candidate := c[owner.ID]
	if candidate.Incarnation == owner.Incarnation {
		return !candidate.Present
	}
	return candidate.Incarnation > owner.Incarnation
}

// presentCount counts the routers that are present.
func (c Candidates) presentCount() (n int) {
	for _, candidate := range c {
		if candidate.Present {
			n++
		}
	}
	return n
}

// NeedsSuccessor tells whether the routers present differ from the owners that a map names.
func (m *Map) NeedsSuccessor(candidates Candidates) bool {
	named := make(map[membership.NodeID]bool, len(m.Owners))
	for _, owner := range m.Owners {
		if !candidates.present(owner) {
			return true
		}
		named[owner.ID] = true
	}
	for id, candidate := range candidates {
		if candidate.Present && !named[id] {
			return true
		}
	}
	return false
}

// namesDeparted tells whether a map names an owner that has departed: it can't become active, and is not waited for.
func (m *Map) namesDeparted(candidates Candidates) bool {
	for _, owner := range m.Owners {
		if candidates.departed(owner) {
			return true
		}
	}
	return false
}
