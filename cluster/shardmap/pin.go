package shardmap

import "threadrun/cluster/membership"

// Pin makes this router propose the operator's map whenever all its owners are present and this router is the
// proposer; nil ranges remove the operator's map. Pin performs the checks that do not depend on candidates; the
// other checks follow when the map is proposed. On an error, which is a *ValidationError, the previous pin stays
// in force.
func (mgr *Manager) Pin(ranges []Range, owners []membership.NodeID) error {
	if ranges == nil {
		mgr.pinnedMap = nil
		return nil
	}
	m, err := NewPinnedMap(ranges, owners)
	if err != nil {
		return err
	}
	mgr.pinnedMap = m
	mgr.rejectedPin = 0
	return nil
}

// NewPinnedMap returns an operator's map after validating its coverage and its owner indexes. Its owners have no
// incarnations, and it has no version. The error is a *ValidationError.
func NewPinnedMap(ranges []Range, owners []membership.NodeID) (*Map, error) {
	m := &Map{Ranges: ranges}
	for _, id := range owners {
		m.Owners = append(m.Owners, Owner{ID: id})
	}
	if err := ValidateCoverage(ranges); err != nil {
		return nil, err
	}
	if err := m.checkOwners(); err != nil {
		return nil, err
	}
	return m, nil
}

// pinnedSuccessor returns the operator's map as the successor of base, under the given version. It returns nil if no
// map is pinned, if one of its owners is absent, if exactly this successor was rejected before, or if base already
// has the same assignment.
func (mgr *Manager) pinnedSuccessor(base *Map, version Version) *Map {
	if mgr.pinnedMap == nil {
		return nil
	}
	for _, owner := range mgr.pinnedMap.Owners {
		if !mgr.candidates[owner.ID].Present {
			return nil
		}
	}
	m := mgr.withIncarnations(mgr.pinnedMap)
	m.Version = version
	if base != nil {
		m.Predecessor = base.Digest
	}
	m.encode()
	if mgr.rejectedPin == m.Digest || base != nil && sameAssignment(m, base) {
		return nil
	}
	return m
}

// matchesPin reports whether m has the operator's assignment and no owner of m has departed. Such a map needs no
// successor when other routers join: candidates that the operator's map does not name get no keys.
func (mgr *Manager) matchesPin(m *Map) bool {
	if mgr.pinnedMap == nil || m.namesDeparted(mgr.candidates) {
		return false
	}
	return sameAssignment(mgr.withIncarnations(mgr.pinnedMap), m)
}

// withIncarnations returns a copy of an operator's map that names the owners' current incarnations.
func (mgr *Manager) withIncarnations(pinned *Map) *Map {
	m := &Map{Ranges: pinned.Ranges}
	for _, owner := range pinned.Owners {
		m.Owners = append(m.Owners, Owner{owner.ID, mgr.candidates[owner.ID].Incarnation})
	}
	return m
}
