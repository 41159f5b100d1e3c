package shardmap

import "fmt"

// Rule is one that a map can break.
type Rule uint8

const (
	NoRanges Rule = iota + 1
	EmptyRange
	OutOfOrder
	Gap
	Overlap
	LastUncovered
	NoSuchKeeper // a place that the list of keepers has not, or a keeper named twice
	UnknownKeeper
	PastLife
	AbsentKeeper
	StandbyKeeps // the standby is the keeper, or stands twice
	StandbyNear  // the standby is in the keeper's zone, and there are others
	Uneven
	NotSuccessor
	TooMuchMoved
)

var ruleNames = [...]string{NoRanges: "no ranges", EmptyRange: "an empty range", OutOfOrder: "ranges out of order", Gap: "a gap",
	Overlap: "an overlap", LastUncovered: "the last keys are not covered", NoSuchKeeper: "a keeper that is not listed once",
	UnknownKeeper: "an unknown keeper", PastLife: "a keeper of another life", AbsentKeeper: "a keeper that is not there",
	StandbyKeeps: "a standby that keeps or stands twice", StandbyNear: "a standby in the keeper's zone",
	Uneven: "a keeper with too much", NotSuccessor: "not a successor of the map in force", TooMuchMoved: "too many keys moved"}

func (r Rule) String() string { return ruleNames[r] }

// Passing tells whether the rule may be kept a moment later, once more is heard of the routers that a map names.
func (r Rule) Passing() bool {
	return r == UnknownKeeper || r == AbsentKeeper || r == PastLife || r == StandbyNear
}

// Refusal is why a map is not taken: the rule and the keys at fault, first and last.
type Refusal struct {
	Rule        Rule
	First, Last Key
	Place       int // of the range; -1: none
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%v, keys %016x to %016x", r.Rule, uint64(r.First), uint64(r.Last))
}

// Cover checks that ranges cover every key exactly once. It is linear in them.
func Cover(ranges []Range) *Refusal {
	if len(ranges) == 0 {
		return &Refusal{NoRanges, 0, LastKey, -1}
	}
	for i := 1; i < len(ranges); i++ {
		if a, b := &ranges[i-1], &ranges[i]; b.First < a.First && a.First <= a.Last && b.First <= b.Last {
			return &Refusal{OutOfOrder, b.First, a.First, i}
		}
	}
	next, done := Key(0), false // the first key that is not covered yet; done: none is left
	for i := range ranges {
		r := &ranges[i]
		switch {
		case r.Last < r.First: // said before all else: its ends mean nothing
			return &Refusal{EmptyRange, r.First, r.Last, i}
		case done:
			return &Refusal{Overlap, r.First, r.Last, i}
		case r.First > next:
			return &Refusal{Gap, next, r.First - 1, i}
		case r.First < next:
			return &Refusal{Overlap, r.First, min(next-1, r.Last), i}
		}
		if done = r.Last == LastKey; !done {
			next = r.Last + 1
		}
	}
	if !done {
		return &Refusal{LastUncovered, next, LastKey, len(ranges) - 1}
	}
	return nil
}

// Check says why a map can't follow base, or nil. Base is the map that this router goes by, or nil. It is linear in the ranges
// of both and in the keepers.
func Check(m, base *Map, who Roster, bounds Bounds) *Refusal {
	if at := Cover(m.Ranges); at != nil {
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
	if base != nil && m.Before == base.Digest {
		return m.moved(base, who, bounds)
	}
	return nil
}

// named checks what a map says of keepers against itself.
func (m *Map) named() *Refusal {
	seen := make(map[Keeper]bool, len(m.Keepers))
	for _, k := range m.Keepers {
		if k.Mark == 0 || seen[k] {
			return &Refusal{NoSuchKeeper, 0, LastKey, -1}
		}
		seen[k] = true
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if int(r.Keeper) >= len(m.Keepers) {
			return &Refusal{NoSuchKeeper, r.First, r.Last, i}
		}
		for j, s := range r.Standby {
			switch {
			case s == Nobody:
			case int(s) >= len(m.Keepers):
				return &Refusal{NoSuchKeeper, r.First, r.Last, i}
			case s == r.Keeper || j > 0 && s == r.Standby[j-1]:
				return &Refusal{StandbyKeeps, r.First, r.Last, i}
			}
		}
	}
	return nil
}

// follows checks that a map comes after the one that this router goes by. One that skips some, or was made beyond a split, does;
// a second one in the place of the next does not.
func (m *Map) follows(base *Map) *Refusal {
	switch {
	case base == nil, m.Term > base.Term:
		return nil
	case m.Compare(base.Version) <= 0, m.Number == base.Number+1 && m.Before != base.Digest:
		return &Refusal{NotSuccessor, 0, LastKey, -1}
	}
	return nil
}

// seated checks keepers against what is known of them.
func (m *Map) seated(who Roster) *Refusal {
	zones := map[uint16]bool{}
	for _, k := range m.Keepers {
		if s, ok := who[k.Mark]; ok && (s.Present && s.Life == k.Life || s.Life < k.Life) {
			zones[s.Zone] = true
		}
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		for _, at := range [...]uint16{r.Keeper, r.Standby[0], r.Standby[1]} {
			if at == Nobody {
				continue
			}
			k := m.Keepers[at]
			s, ok := who[k.Mark]
			rule := Rule(0)
			switch {
			case !ok:
				rule = UnknownKeeper
			case s.Life > k.Life:
				rule = PastLife
			case s.Life < k.Life: // its maker has heard of a later start than this router has: that is news, no fault
			case !s.Present:
				rule = AbsentKeeper
			case at == r.Standby[0] && len(zones) > 1 && s.Zone == who[m.Keepers[r.Keeper].Mark].Zone:
				rule = StandbyNear
			}
			if rule != 0 {
				return &Refusal{rule, r.First, r.Last, i}
			}
		}
	}
	return nil
}

// span is how many keys a range has, as a share of all.
func span(first, last Key) float64 { return (float64(last-first) + 1) / (1 << 64) }

// even checks that no keeper has too much for its weight. A grain is never too much.
func (m *Map) even(who Roster, bounds Bounds) *Refusal {
	load, total := make([]float64, len(m.Keepers)), 0.0
	for _, k := range m.Keepers {
		total += float64(who[k.Mark].Weight)
	}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		load[r.Keeper] += span(r.First, r.Last)
		part := float64(who[m.Keepers[r.Keeper].Mark].Weight) / max(total, 1)
		if load[r.Keeper] > part*bounds.Uneven+1.0/grains {
			return &Refusal{Uneven, r.First, r.Last, i}
		}
	}
	return nil
}

// moved checks that keys stay where they are, but for those whose keeper is gone and a newcomer's part. It walks both maps side by
// side.
func (m *Map) moved(base *Map, who Roster, bounds Bounds) *Refusal {
	had := make(map[Keeper]bool, len(base.Keepers))
	for i := range base.Ranges {
		had[base.Keepers[base.Ranges[i].Keeper]] = true
	}
	total, fresh := 0.0, 0.0
	for _, k := range m.Keepers {
		w := float64(who[k.Mark].Weight)
		if total += w; !had[k] {
			fresh += w
		}
	}
	allowed := bounds.Moved + bounds.Uneven*fresh/max(total, 1)
	moved := 0.0
	for i, j := 0, 0; i < len(m.Ranges) && j < len(base.Ranges); {
		a, b := &m.Ranges[i], &base.Ranges[j]
		first, last := max(a.First, b.First), min(a.Last, b.Last)
		if from := base.Keepers[b.Keeper]; from != m.Keepers[a.Keeper] {
			if s := who[from.Mark]; s.Present && s.Life == from.Life {
				if moved += span(first, last); moved > allowed {
					return &Refusal{TooMuchMoved, first, last, i}
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
