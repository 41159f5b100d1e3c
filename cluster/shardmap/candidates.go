package shardmap

import (
	"net/netip"

	"threadrun/cluster/membership"
)

// Candidate is this router's knowledge about a router that could own keys.
type Candidate struct {
	Incarnation membership.Incarnation
	Zone        uint16
	Weight      uint16 // its share of the keys relative to other routers' weights; at least 1
	Present     bool   // believed to be running, and not leaving
	Address     netip.AddrPort
}

// Candidates contains all known routers by ID, present or not.
type Candidates map[membership.NodeID]Candidate

// present reports whether a router is present in the incarnation that an owner names.
func (c Candidates) present(owner Owner) bool {
	candidate := c[owner.ID]
	return candidate.Present && candidate.Incarnation == owner.Incarnation
}

// departed reports whether an owner is known to be absent or replaced by a later incarnation. An owner that is
// unknown or of a later incarnation than the known one is neither present nor departed.
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

// NeedsSuccessor reports whether the present routers, in their current incarnations, differ from the map's owners.
func (m *Map) NeedsSuccessor(candidates Candidates) bool {
	isOwner := make(map[membership.NodeID]bool, len(m.Owners))
	for _, owner := range m.Owners {
		if !candidates.present(owner) {
			return true
		}
		isOwner[owner.ID] = true
	}
	for id, candidate := range candidates {
		if candidate.Present && !isOwner[id] {
			return true
		}
	}
	return false
}

// namesDeparted reports whether an owner of the map has departed. The proposer replaces such a map at once instead
// of waiting for its activation.
func (m *Map) namesDeparted(candidates Candidates) bool {
	for _, owner := range m.Owners {
		if candidates.departed(owner) {
			return true
		}
	}
	return false
}
