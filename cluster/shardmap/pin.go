package shardmap

import "threadrun/cluster/membership"

// Pin makes this router propose the operator's map whenever all its owners are present; nil ranges remove the
// operator's map. Pin performs the checks that do not depend on candidates; the others follow when the map is
// proposed. The error is a *ValidationError.
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

// NewPinnedMap returns an operator's map, whose owners have no incarnations, after checking it for consistency. The
// error is a *ValidationError.
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

// pinnedSuccessor returns the operator's map as the successor of base. It returns nil if there is none, if one of
// its owners is absent, or if the map was rejected or is already followed.
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

// matchesPin reports whether m is the operator's map and all its owners are present. Candidates that the operator's
// map does not name get no keys.
func (mgr *Manager) matchesPin(m *Map) bool {
	if mgr.pinnedMap == nil || m.namesDeparted(mgr.candidates) {
		return false
	}
	return sameAssignment(mgr.withIncarnations(mgr.pinnedMap), m)
}

// withIncarnations returns a copy of an operator's map with the owners' current incarnations.
func (mgr *Manager) withIncarnations(pinned *Map) *Map {
	m := &Map{Ranges: pinned.Ranges}
	for _, owner := range pinned.Owners {
		m.Owners = append(m.Owners, Owner{owner.ID, mgr.candidates[owner.ID].Incarnation})
	}
	return m
}
