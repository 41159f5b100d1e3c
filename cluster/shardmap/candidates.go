package shardmap

import (
	"net/netip"

	"threadrun/cluster/membership"
)

// Candidate is the state of a router that could own keys.
type Candidate struct {
	Incarnation membership.Incarnation
	Zone        uint16
	Weight      uint16 // its share of the keys, relative to other routers' weights
	Present     bool   // believed to be running, and not leaving
	Address     netip.AddrPort
}

// Candidates contains all known routers by ID.
type Candidates map[membership.NodeID]Candidate

// present reports whether an owner is running in the named incarnation.
func (c Candidates) present(owner Owner) bool {
	candidate := c[owner.ID]
	return candidate.Present && candidate.Incarnation == owner.Incarnation
}

// departed reports whether an owner has ended, or is running in a later incarnation.
func (c Candidates) departed(owner Owner) bool {
	candidate := c[owner.ID]
	if candidate.Incarnation == owner.Incarnation {
		return !candidate.Present
	}
	return candidate.Incarnation > owner.Incarnation
}

// presentCount returns the number of present routers.
func (c Candidates) presentCount() (n int) {
	for _, candidate := range c {
		if candidate.Present {
			n++
		}
	}
	return n
}

// NeedsSuccessor reports whether the present routers differ from the map's owners.
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

// namesDeparted reports whether an owner of the map has departed. Such a map can't become active.
func (m *Map) namesDeparted(candidates Candidates) bool {
	for _, owner := range m.Owners {
		if candidates.departed(owner) {
			return true
		}
	}
	return false
}
