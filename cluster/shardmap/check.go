package shardmap

import "fmt"

// Rule is one that a map can break.
type Rule uint8

const (
	NoRanges Rule = iota + 1
	EmptyRange
	RangesOutOfOrder
	CoverageGap
	RangesOverlap
	TailUncovered
	InvalidOwner // a place that the list of keepers has not, or a keeper named twice
	UnknownOwner
	StaleIncarnation
	AbsentOwner
	ReplicaIsOwner     // the standby is the keeper, or stands twice
	ReplicaInOwnerZone // the standby is in the keeper's zone, and there are others
	Unbalanced
	NotSuccessor
	TooManyMoved
)

var ruleNames = [...]string{NoRanges: "no ranges", EmptyRange: "an empty range", RangesOutOfOrder: "ranges out of order", CoverageGap: "a gap",
	RangesOverlap: "an overlap", TailUncovered: "the last keys are not covered", InvalidOwner: "a keeper that is not listed once",
	UnknownOwner: "an unknown keeper", StaleIncarnation: "a keeper of another life", AbsentOwner: "a keeper that is not there",
	ReplicaIsOwner: "a standby that keeps or stands twice", ReplicaInOwnerZone: "a standby in the keeper's zone",
	Unbalanced: "a keeper with too much", NotSuccessor: "not a successor of the map in force", TooManyMoved: "too many keys moved"}

func (r Rule) String() string { return ruleNames[r] }

// Transient tells whether the rule may be kept a moment later, once more is heard of the routers that a map names.
func (r Rule) Transient() bool {
	return r == UnknownOwner || r == AbsentOwner || r == StaleIncarnation || r == ReplicaInOwnerZone
}

// ValidationError is why a map is not taken: the rule and the keys at fault, first and last.
type ValidationError struct {
	Rule        Rule
	First, Last Key
	RangeIndex  int // of the range; -1: none
}

func (r *ValidationError) Error() string {
	return fmt.Sprintf("%v, keys %016x to %016x", r.Rule, uint64(r.First), uint64(r.Last))
}

// ValidateCoverage checks that ranges cover every key exactly once. It is linear in them.
func ValidateCoverage(ranges []Range) *ValidationError {
	if len(ranges) == 0 {
		return &ValidationError{NoRanges, 0, LastKey, -1}
	}
	for i := 1; i < len(ranges); i++ {
		if a, b := &ranges[i-1], &ranges[i]; b.First < a.First && a.First <= a.Last && b.First <= b.Last {
			return &ValidationError{RangesOutOfOrder, b.First, a.First, i}
		}
	}
	next, done := Key(0), false // the first key that is not covered yet; done: none is left
	for i := range ranges {
		r := &ranges[i]
		switch {
		case r.Last < r.First: // said before all else: its ends mean nothing
			return &ValidationError{EmptyRange, r.First, r.Last, i}
		case done:
			return &ValidationError{RangesOverlap, r.First, r.Last, i}
		case r.First > next:
			return &ValidationError{CoverageGap, next, r.First - 1, i}
		case r.First < next:
			return &ValidationError{RangesOverlap, r.First, min(next-1, r.Last), i}
		}
		if done = r.Last == LastKey; !done {
			next = r.Last + 1
		}
	}
	if !done {
		return &ValidationError{TailUncovered, next, LastKey, len(ranges) - 1}
	}
	return nil
}

// Validate says why a map can't follow base, or nil. Base is the map that this router goes by, or nil. It is linear in the ranges
// of both and in the keepers.
func Validate(m, base *Map, who Candidates, bounds Bounds) *ValidationError {
	if at := ValidateCoverage(m.Ranges); at != nil {
		return at
	}
	if at := m.named(); at != nil {
		return at
	}
	if at := m.follows(base); at != nil {
		return at
	}
	if at := m.seated(who); at != nil {
		return at
	}
	if at := m.even(who, bounds); at != nil {
		return at
	}
	if base != nil && m.Predecessor == base.Digest {
		return m.moved(base, who, bounds)
	}
	return nil
}

// named checks what a map says of keepers against itself.
func (m *Map) named() *ValidationError {
	seen := make(map[Owner]bool, len(m.Owners))
	for _, k := range m.Owners {
		if k.ID == 0 || seen[k] {
			return &ValidationError{InvalidOwner, 0, LastKey, -1}
		}
		seen[k] = true
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if int(r.Owner) >= len(m.Owners) {
			return &ValidationError{InvalidOwner, r.First, r.Last, i}
		}
		for j, s := range r.Replicas {
			switch {
			case s == NoOwner:
			case int(s) >= len(m.Owners):
				return &ValidationError{InvalidOwner, r.First, r.Last, i}
			case s == r.Owner || j > 0 && s == r.Replicas[j-1]:
				return &ValidationError{ReplicaIsOwner, r.First, r.Last, i}
			}
		}
	}
	return nil
}

// follows checks that a map comes after the one that this router goes by. One that skips some, or was made beyond a split, does;
// a second one in the place of the next does not.
func (m *Map) follows(base *Map) *ValidationError {
	switch {
	case base == nil, m.Term > base.Term:
		return nil
	case m.Compare(base.Version) <= 0, m.Number == base.Number+1 && m.Predecessor != base.Digest:
		return &ValidationError{NotSuccessor, 0, LastKey, -1}
	}
	return nil
}

// seated checks keepers against what is known of them.
func (m *Map) seated(who Candidates) *ValidationError {
	zones := map[uint16]bool{}
	for _, k := range m.Owners {
		if s, ok := who[k.ID]; ok && (s.Present && s.Incarnation == k.Incarnation || s.Incarnation < k.Incarnation) {
			zones[s.Zone] = true
		}
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		for _, at := range [...]uint16{r.Owner, r.Replicas[0], r.Replicas[1]} {
			if at == NoOwner {
				continue
			}
			k := m.Owners[at]
			s, ok := who[k.ID]
			rule := Rule(0)
			switch {
			case !ok:
				rule = UnknownOwner
			case s.Incarnation > k.Incarnation:
				rule = StaleIncarnation
			case s.Incarnation < k.Incarnation: // its maker has heard of a later start than this router has: that is news, no fault
			case !s.Present:
				rule = AbsentOwner
			case at == r.Replicas[0] && len(zones) > 1 && s.Zone == who[m.Owners[r.Owner].ID].Zone:
				rule = ReplicaInOwnerZone
			}
			if rule != 0 {
				return &ValidationError{rule, r.First, r.Last, i}
			}
		}
	}
	return nil
}

// span is how many keys a range has, as a share of all.
func span(first, last Key) float64 { return (float64(last-first) + 1) / (1 << 64) }

// even checks that no keeper has too much for its weight. A grain is never too much.
func (m *Map) even(who Candidates, bounds Bounds) *ValidationError {
	load, total := make([]float64, len(m.Owners)), 0.0
	for _, k := range m.Owners {
		total += float64(who[k.ID].Weight)
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		load[r.Owner] += span(r.First, r.Last)
		part := float64(who[m.Owners[r.Owner].ID].Weight) / max(total, 1)
		if load[r.Owner] > part*bounds.MaxImbalance+1.0/grains {
			return &ValidationError{Unbalanced, r.First, r.Last, i}
		}
	}
	return nil
}

// moved checks that keys stay where they are, but for those whose keeper is gone and a newcomer's part. It walks both maps side by
// side.
func (m *Map) moved(base *Map, who Candidates, bounds Bounds) *ValidationError {
	had := make(map[Owner]bool, len(base.Owners))
	for i := range base.Ranges {
		had[base.Owners[base.Ranges[i].Owner]] = true
	}
	total, fresh := 0.0, 0.0
	for _, k := range m.Owners {
		w := float64(who[k.ID].Weight)
		if total += w; !had[k] {
			fresh += w
		}
	}
	allowed := bounds.MaxMoved + bounds.MaxImbalance*fresh/max(total, 1)
	moved := 0.0
	for i, j := 0, 0; i < len(m.Ranges) && j < len(base.Ranges); {
		a, b := &m.Ranges[i], &base.Ranges[j]
		first, last := max(a.First, b.First), min(a.Last, b.Last)
		if from := base.Owners[b.Owner]; from != m.Owners[a.Owner] {
			if s := who[from.ID]; s.Present && s.Incarnation == from.Incarnation {
				if moved += span(first, last); moved > allowed {
					return &ValidationError{TooManyMoved, first, last, i}
				}
			}
		}
		if a.Last == last {
			i++
		}
		if b.Last == last {
			j++
		}
	}
	return nil
}
