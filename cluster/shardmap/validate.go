package shardmap

// Bounds limits the imbalance and the movement of keys that a map may cause.
type Bounds struct {
	MaxImbalance float64 // maximum ratio of an owner's share of the keys to its share of the weight
	MaxMoved     float64 // share of all keys, 0 to 1, that may leave present owners in addition to the share of new owners
}

// DefaultBounds are the bounds used in production. They leave slack for rounding to complete slots and for
// rebalancing.
var DefaultBounds = Bounds{MaxImbalance: 1.5, MaxMoved: 0.02}

// Validate validates a map against every rule, and returns the first violation as a *ValidationError. base is the
// map that this router follows, or nil. The movement of keys is limited only for a direct successor of base. The
// time is linear in the number of ranges of both maps and of owners.
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

// ValidateCoverage validates that ranges are sorted and cover every key exactly once, in time linear in the number
// of ranges. The error is a *ValidationError.
func ValidateCoverage(ranges []Range) error {
	if len(ranges) == 0 {
		return mapError(NoRanges)
	}
	if err := checkOrder(ranges); err != nil {
		return err
	}
	next := Key(0)          // lowest key not covered by the ranges before; not valid if lastKeyCovered
	lastKeyCovered := false // all keys are covered, and next has wrapped around to 0
	for i := range ranges {
		r := &ranges[i]
		switch {
		case r.Last < r.First: // must come first: the other cases assume First <= Last
			return rangeError(EmptyRange, r, i)
		case lastKeyCovered:
			return rangeError(RangesOverlap, r, i)
		case r.First > next:
			return &ValidationError{CoverageGap, next, r.First - 1, i}
		case r.First < next:
			return &ValidationError{RangesOverlap, r.First, min(next-1, r.Last), i}
		}
		lastKeyCovered = r.Last == LastKey
		next = r.Last + 1
	}
	if !lastKeyCovered {
		return &ValidationError{TailUncovered, next, LastKey, len(ranges) - 1}
	}
	return nil
}

// checkOrder validates that the ranges are sorted by their first keys. It ignores empty ranges, which are reported
// as such by ValidateCoverage.
func checkOrder(ranges []Range) error {
	for i := 1; i < len(ranges); i++ {
		before, r := &ranges[i-1], &ranges[i]
		if r.First < before.First && before.First <= before.Last && r.First <= r.Last {
			return &ValidationError{RangesOutOfOrder, r.First, before.First, i}
		}
	}
	return nil
}

// checkOwners validates the list of owners, and the owner and replica indexes of all ranges against it.
func (m *Map) checkOwners() error {
	listed := make(map[Owner]bool, len(m.Owners))
	for _, owner := range m.Owners {
		if owner.ID == 0 || listed[owner] {
			return mapError(InvalidOwner)
		}
		listed[owner] = true
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if int(r.Owner) >= len(m.Owners) {
			return rangeError(InvalidOwner, r, i)
		}
		for j, replica := range r.Replicas {
			switch {
			case replica == NoOwner:
			case int(replica) >= len(m.Owners):
				return rangeError(InvalidOwner, r, i)
			case replica == r.Owner || j > 0 && replica == r.Replicas[j-1]:
				return rangeError(ReplicaIsOwner, r, i)
			}
		}
	}
	return nil
}

// checkSuccession validates that this map may replace base at a router that follows base. A map of a later term may
// always do so. A map of the same term must have a higher version; it may skip numbers, or come from the other side of
// a network partition, but with the next number after base it must name base as its predecessor.
func (m *Map) checkSuccession(base *Map) error {
	switch {
	case base == nil, m.Term > base.Term:
		return nil
	case m.Compare(base.Version) <= 0:
		return mapError(NotSuccessor)
	case m.Number == base.Number+1 && m.Predecessor != base.Digest:
		return mapError(NotSuccessor)
	}
	return nil
}

// checkCandidates validates the owners and replicas of all ranges against the known candidates: none may be
// unknown, absent or restarted, and the first replica must be in another zone than the owner if the owners have
// several zones.
func (m *Map) checkCandidates(candidates Candidates) error {
	multipleZones := m.zoneCount(candidates) > 1
	for i := range m.Ranges {
		r := &m.Ranges[i]
		for _, index := range [...]uint16{r.Owner, r.Replicas[0], r.Replicas[1]} {
			if index == NoOwner {
				continue
			}
			if rule := m.ownerViolation(index, candidates); rule != 0 {
				return rangeError(rule, r, i)
			}
			owner := m.Owners[index]
			if index != r.Replicas[0] || !multipleZones || !candidates.present(owner) {
				continue
			}
			if candidates[owner.ID].Zone == candidates[m.Owners[r.Owner].ID].Zone {
				return rangeError(ReplicaInOwnerZone, r, i)
			}
		}
	}
	return nil
}

// ownerViolation returns the rule that the map breaks by naming the owner with an index, or 0. An incarnation later
// than the known one breaks no rule: the map's proposer knows about a restart that this router has not learned about
// yet.
func (m *Map) ownerViolation(index uint16, candidates Candidates) Rule {
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

// zoneCount returns the number of zones of the owners that are present, or whose named incarnation is later than the
// known one.
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

// keyShare returns the share of all keys, 0 to 1, between first and last, both included.
func keyShare(first, last Key) float64 { return (float64(last-first) + 1) / (1 << 64) }

// checkBalance validates that no owner has more keys than its share by weight times Bounds.MaxImbalance. One extra
// slot is always permitted, because shares are rounded to complete slots.
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
			return rangeError(Unbalanced, r, i)
		}
	}
	return nil
}

// checkMoved validates that no more keys than permitted move away from owners that are still present. It walks the
// sorted ranges of both maps in parallel.
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

// allowedMoves returns the share of all keys that may move away from owners that are still present:
// Bounds.MaxMoved, and the largest share that new owners may have by their weights and Bounds.MaxImbalance. An
// owner without keys in base counts as new.
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
