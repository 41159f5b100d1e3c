package shardmap

// Bounds limit what a map may do.
type Bounds struct {
	MaxImbalance float64 // largest ratio of an owner's keys to its share by weight
	MaxMoved     float64 // share of all keys that may change owners beyond those of departed and new owners
}

// DefaultBounds leave room for whole slots and for rebalancing.
var DefaultBounds = Bounds{MaxImbalance: 1.5, MaxMoved: 0.02}

// Validate checks a map against every rule. Base is the map that this router follows, or nil. The error is a
// *ValidationError. The time is linear in the ranges of both maps and in the owners.
func Validate(m, base *Map, candidates Candidates, bounds Bounds) error {
	if err := ValidateCoverage(m.Ranges); err != nil {
		return err
	}
	if err := m.checkOwners(); err != nil {
		return err
	}
	if err := m.checkSuccession(base); err != nil {
		return err
	}
	if err := m.checkCandidates(candidates); err != nil {
		return err
	}
	if err := m.checkBalance(candidates, bounds); err != nil {
		return err
	}
	if base != nil && m.Predecessor == base.Digest {
		return m.checkMoved(base, candidates, bounds)
	}
	return nil
}

// ValidateCoverage checks that ranges cover every key exactly once, in time linear in the ranges. The error is a
// *ValidationError.
func ValidateCoverage(ranges []Range) error {
	if len(ranges) == 0 {
		return wholeMap(NoRanges)
	}
	if err := checkOrder(ranges); err != nil {
		return err
	}
	next := Key(0) // the first key that is not covered yet
	done := false  // no such key is left
	for i := range ranges {
		r := &ranges[i]
		switch {
		case r.Last < r.First: // first, as its ends mean nothing
			return inRange(EmptyRange, r, i)
		case done:
			return inRange(RangesOverlap, r, i)
		case r.First > next:
			return &ValidationError{CoverageGap, next, r.First - 1, i}
		case r.First < next:
			return &ValidationError{RangesOverlap, r.First, min(next-1, r.Last), i}
		}
		done = r.Last == LastKey
		next = r.Last + 1
	}
	if !done {
		return &ValidationError{TailUncovered, next, LastKey, len(ranges) - 1}
	}
	return nil
}

func checkOrder(ranges []Range) error {
	for i := 1; i < len(ranges); i++ {
		before, r := &ranges[i-1], &ranges[i]
		if r.First < before.First && before.First <= before.Last && r.First <= r.Last {
			return &ValidationError{RangesOutOfOrder, r.First, before.First, i}
		}
	}
	return nil
}

// checkOwners checks the owner and replica indexes of a map against its own list of owners.
func (m *Map) checkOwners() error {
	seen := make(map[Owner]bool, len(m.Owners))
	for _, owner := range m.Owners {
		if owner.ID == 0 || seen[owner] {
			return wholeMap(InvalidOwner)
		}
		seen[owner] = true
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if int(r.Owner) >= len(m.Owners) {
			return inRange(InvalidOwner, r, i)
		}
		for j, replica := range r.Replicas {
			switch {
			case replica == NoOwner:
			case int(replica) >= len(m.Owners):
				return inRange(InvalidOwner, r, i)
			case replica == r.Owner || j > 0 && replica == r.Replicas[j-1]:
				return inRange(ReplicaIsOwner, r, i)
			}
		}
	}
	return nil
}

// checkSuccession checks that a map follows the one that this router follows. A map that skips some, or was made
// beyond a network split, may; a second map with the number of the next one may not.
func (m *Map) checkSuccession(base *Map) error {
	switch {
	case base == nil, m.Term > base.Term:
		return nil
	case m.Compare(base.Version) <= 0:
		return wholeMap(NotSuccessor)
	case m.Number == base.Number+1 && m.Predecessor != base.Digest:
		return wholeMap(NotSuccessor)
	}
	return nil
}

// checkCandidates checks the owners and replicas against what is known of them.
func (m *Map) checkCandidates(candidates Candidates) error {
	manyZones := m.zoneCount(candidates) > 1
	for i := range m.Ranges {
		r := &m.Ranges[i]
		for _, index := range [...]uint16{r.Owner, r.Replicas[0], r.Replicas[1]} {
			if index == NoOwner {
				continue
			}
			if rule := m.brokenBy(index, candidates); rule != 0 {
				return inRange(rule, r, i)
			}
			owner := m.Owners[index]
			if index != r.Replicas[0] || !manyZones || !candidates.present(owner) {
				continue
			}
			if candidates[owner.ID].Zone == candidates[m.Owners[r.Owner].ID].Zone {
				return inRange(ReplicaInOwnerZone, r, i)
			}
		}
	}
	return nil
}

// brokenBy returns the rule that naming an owner breaks; 0: none. An incarnation later than the one known here breaks
// none: the map's maker has heard of a start that this router has not heard of yet.
func (m *Map) brokenBy(index uint16, candidates Candidates) Rule {
	owner := m.Owners[index]
	candidate, known := candidates[owner.ID]
	switch {
	case !known:
		return UnknownOwner
	case candidate.Incarnation > owner.Incarnation:
		return StaleIncarnation
	case candidate.Incarnation == owner.Incarnation && !candidate.Present:
		return AbsentOwner
	}
	return 0
}

// zoneCount counts the zones of the owners that run, as far as known here.
func (m *Map) zoneCount(candidates Candidates) int {
	zones := map[uint16]bool{}
	for _, owner := range m.Owners {
		candidate, known := candidates[owner.ID]
		if known && (candidates.present(owner) || candidate.Incarnation < owner.Incarnation) {
			zones[candidate.Zone] = true
		}
	}
	return len(zones)
}

// keyShare is the share that a range has of all keys.
func keyShare(first, last Key) float64 { return (float64(last-first) + 1) / (1 << 64) }

// checkBalance checks that no owner has too many keys for its weight. One slot is never too much.
func (m *Map) checkBalance(candidates Candidates, bounds Bounds) error {
	total := 0.0
	for _, owner := range m.Owners {
		total += float64(candidates[owner.ID].Weight)
	}
	owned := make([]float64, len(m.Owners)) // share of all keys
	for i := range m.Ranges {
		r := &m.Ranges[i]
		owned[r.Owner] += keyShare(r.First, r.Last)
		share := float64(candidates[m.Owners[r.Owner].ID].Weight) / max(total, 1)
		if owned[r.Owner] > share*bounds.MaxImbalance+1.0/slotCount {
			return inRange(Unbalanced, r, i)
		}
	}
	return nil
}

// checkMoved checks that keys keep their owners, but for those of departed owners and the share of new ones. It walks
// both maps side by side.
func (m *Map) checkMoved(base *Map, candidates Candidates, bounds Bounds) error {
	allowed := m.allowedMoves(base, candidates, bounds)
	moved := 0.0
	for i, j := 0, 0; i < len(m.Ranges) && j < len(base.Ranges); {
		r, old := &m.Ranges[i], &base.Ranges[j]
		first, last := max(r.First, old.First), min(r.Last, old.Last)
		oldOwner := base.Owners[old.Owner]
		if oldOwner != m.Owners[r.Owner] && candidates.present(oldOwner) {
			moved += keyShare(first, last)
			if moved > allowed {
				return &ValidationError{TooManyMoved, first, last, i}
			}
		}
		if r.Last == last {
			i++
		}
		if old.Last == last {
			j++
		}
	}
	return nil
}

// allowedMoves is the share of all keys that may leave owners that are still present.
func (m *Map) allowedMoves(base *Map, candidates Candidates, bounds Bounds) float64 {
	hadKeys := make(map[Owner]bool, len(base.Owners))
	for i := range base.Ranges {
		hadKeys[base.Owners[base.Ranges[i].Owner]] = true
	}
	totalWeight, newWeight := 0.0, 0.0
	for _, owner := range m.Owners {
		weight := float64(candidates[owner.ID].Weight)
		totalWeight += weight
		if !hadKeys[owner] {
			newWeight += weight
		}
	}
	return bounds.MaxMoved + bounds.MaxImbalance*newWeight/max(totalWeight, 1)
}
