package shardmap

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed and the number of the random cases.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 400) }

// rangesHolding returns the number of ranges that contain a key.
func rangesHolding(ranges []Range, key Key) (n int) {
	for _, r := range ranges {
		if r.First <= key && key <= r.Last {
			n++
		}
	}
	return n
}

// coversEachKeyOnce is an independent implementation of ValidateCoverage in quadratic time. It counts the ranges
// that contain a key, for the first and the last key of each range and the neighbors of both: the count changes
// nowhere else.
func coversEachKeyOnce(ranges []Range) bool {
	keys := map[Key]bool{0: true, LastKey: true}
	for _, r := range ranges {
		if r.Last < r.First {
			return false
		}
		for _, key := range []Key{r.First, r.Last} {
			keys[key-1], keys[key], keys[key+1] = true, true, true // may wrap around
		}
	}
	for key := range keys {
		if rangesHolding(ranges, key) != 1 {
			return false
		}
	}
	// Unsorted ranges can contain every key once, but Map.RangeOf would not find the range of each key.
	ordered := slices.IsSortedFunc(ranges, func(a, b Range) int {
		switch {
		case a.First < b.First:
			return -1
		case a.First > b.First:
			return 1
		}
		return 0
	})
	return ordered && len(ranges) > 0
}

// drawRanges draws one to eight ranges that cover every key exactly once.
func drawRanges(rt *rapid.T) []Range {
	n := rapid.IntRange(1, 8).Draw(rt, "ranges")
	var ranges []Range
	first := Key(0)
	for i := range n {
		left := LastKey - first
		last := first + Key(rapid.Uint64Range(0, uint64(left)/2).Draw(rt, "length"))
		if i == n-1 || left == 0 {
			last = LastKey
		}
		ranges = append(ranges, Range{First: first, Last: last})
		if last == LastKey {
			break
		}
		first = last + 1
	}
	return ranges
}

// damageRanges applies one random fault, or none, to ranges: it shifts an end, or exchanges, removes or repeats a
// range.
func damageRanges(rt *rapid.T, ranges []Range) []Range {
	i := rapid.IntRange(0, len(ranges)-1).Draw(rt, "index")
	offset := Key(rapid.SampledFrom([]uint64{1, 2, 1 << 20}).Draw(rt, "by"))
	switch rapid.IntRange(0, 8).Draw(rt, "fault") {
	case 0:
		ranges[i].First += offset
	case 1:
		ranges[i].First -= offset
	case 2:
		ranges[i].Last -= offset
	case 3:
		ranges[i].Last += offset
	case 4:
		j := rapid.IntRange(0, len(ranges)-1).Draw(rt, "with")
		ranges[i], ranges[j] = ranges[j], ranges[i]
	case 5:
		ranges = append(ranges[:i], ranges[i+1:]...)
	case 6:
		ranges = append(ranges[:i+1], ranges[i:]...)
	}
	return ranges
}

// TestCoverageAgainstCount checks that ValidateCoverage accepts the same ranges as coversEachKeyOnce, and that the
// keys that it reports for a gap or an overlap are covered by no range or by several.
func TestCoverageAgainstCount(t *testing.T) {
	rejected := 0
	rapid.Check(t, func(rt *rapid.T) {
		ranges := damageRanges(rt, drawRanges(rt))
		err := ValidateCoverage(ranges)
		if (err == nil) != coversEachKeyOnce(ranges) {
			rt.Fatalf("%v: ValidateCoverage returned %v, want no error: %v", ranges, err, coversEachKeyOnce(ranges))
		}
		if err == nil {
			return
		}
		rejected++
		var invalid *ValidationError
		if !errors.As(err, &invalid) {
			rt.Fatalf("error of type %T, want *ValidationError", err)
		}
		if invalid.Rule != CoverageGap && invalid.Rule != TailUncovered && invalid.Rule != RangesOverlap {
			return
		}
		for _, key := range []Key{invalid.First, invalid.Last} {
			n := rangesHolding(ranges, key)
			if n == 1 || (n == 0) == (invalid.Rule == RangesOverlap) {
				rt.Fatalf("%v: %d ranges contain key %x, want none in a gap and several in an overlap", err, n, uint64(key))
			}
		}
	})
	if rejected < 50 {
		t.Errorf("%d maps were rejected, want at least 50", rejected)
	}
}

// testCandidates returns n present routers in the given number of zones.
func testCandidates(n, zones int) Candidates {
	candidates := Candidates{}
	for i := range n {
		id := membership.NodeID(i+1) * 0x9e3779b97f4a7c15
		candidates[id] = Candidate{Incarnation: 7, Zone: uint16(i % zones), Weight: 2, Present: true}
	}
	return candidates
}

// TestValidateEachRule applies one fault at a time to a valid map. Validate must reject the map with the matching
// rule.
func TestValidateEachRule(t *testing.T) {
	noReplicas := [MaxReplicas]uint16{NoOwner, NoOwner}
	candidates := testCandidates(12, 3)
	base := Propose(nil, candidates, Version{Term: 1, Number: 1})
	if err := Validate(base, nil, candidates, DefaultBounds); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		rule   Rule
		damage func(m *Map, candidates Candidates)
	}{
		{"a range begins late", CoverageGap, func(m *Map, _ Candidates) { m.Ranges[3].First++ }},
		{"a range begins early", RangesOverlap, func(m *Map, _ Candidates) { m.Ranges[3].First-- }},
		{"the last key is missing", TailUncovered, func(m *Map, _ Candidates) { m.Ranges[len(m.Ranges)-1].Last-- }},
		{"the first key is missing", CoverageGap, func(m *Map, _ Candidates) { m.Ranges[0].First++ }},
		{"a range is empty", EmptyRange, func(m *Map, _ Candidates) { m.Ranges[2].Last = m.Ranges[2].First - 1 }},
		{"two ranges are exchanged", RangesOutOfOrder, func(m *Map, _ Candidates) {
			m.Ranges[2], m.Ranges[1] = m.Ranges[1], m.Ranges[2]
		}},
		{"there are no ranges", NoRanges, func(m *Map, _ Candidates) { m.Ranges = nil }},
		{"an index without an owner", InvalidOwner, func(m *Map, _ Candidates) { m.Ranges[1].Owner = 99 }},
		{"an owner is listed twice", InvalidOwner, func(m *Map, _ Candidates) { m.Owners[1] = m.Owners[0] }},
		{"the first replica is the owner", ReplicaIsOwner, func(m *Map, _ Candidates) {
			m.Ranges[1].Replicas[0] = m.Ranges[1].Owner
		}},
		{"both replicas are the same router", ReplicaIsOwner, func(m *Map, _ Candidates) {
			m.Ranges[1].Replicas[1] = m.Ranges[1].Replicas[0]
		}},
		{"an owner is unknown", UnknownOwner, func(m *Map, candidates Candidates) {
			delete(candidates, m.Owners[m.Ranges[4].Owner].ID)
		}},
		{"an owner has restarted", StaleIncarnation, func(m *Map, _ Candidates) {
			m.Owners[m.Ranges[4].Owner].Incarnation--
		}},
		{"an owner is absent", AbsentOwner, func(m *Map, candidates Candidates) {
			id := m.Owners[m.Ranges[4].Owner].ID
			candidate := candidates[id]
			candidate.Present = false
			candidates[id] = candidate
		}},
		{"a replica is in the owner's zone", ReplicaInOwnerZone, func(m *Map, candidates Candidates) {
			r := &m.Ranges[4]
			zone := candidates[m.Owners[r.Owner].ID].Zone
			for i, owner := range m.Owners {
				if uint16(i) != r.Owner && uint16(i) != r.Replicas[1] && candidates[owner.ID].Zone == zone {
					r.Replicas[0] = uint16(i)
				}
			}
		}},
		{"an owner has four ranges", Unbalanced, func(m *Map, _ Candidates) {
			for i := range 4 {
				m.Ranges[i].Owner = m.Ranges[0].Owner
				m.Ranges[i].Replicas = noReplicas
			}
		}},
		{"another predecessor", NotSuccessor, func(m *Map, _ Candidates) { m.Predecessor++ }},
		{"a lower number", NotSuccessor, func(m *Map, _ Candidates) { m.Number = 0 }},
		{"all keys change owners", TooManyMoved, func(m *Map, _ Candidates) {
			before := slices.Clone(m.Ranges)
			for i := range m.Ranges {
				m.Ranges[i].Owner = before[(i+2)%len(before)].Owner
				m.Ranges[i].Replicas = noReplicas
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidates := testCandidates(12, 3)
			m := Propose(base, candidates, Version{Term: 1, Number: 2})
			if err := Validate(m, base, candidates, DefaultBounds); err != nil {
				t.Fatalf("before the fault: %v", err)
			}
			c.damage(m, candidates)
			err := Validate(m, base, candidates, DefaultBounds)
			var invalid *ValidationError
			if !errors.As(err, &invalid) || invalid.Rule != c.rule {
				t.Errorf("want rule %v, got %v", c.rule, err)
			}
		})
	}
}

// BenchmarkValidate reports the time of Validate per range, which must not grow with the number of ranges:
// validation takes linear time.
func BenchmarkValidate(b *testing.B) {
	for _, n := range []int{1024, 4096, 16384} {
		candidates := testCandidates(300, 3)
		m := Propose(nil, candidates, Version{Term: 1, Number: 1})
		m.Ranges = nil
		width := ^Key(0)/Key(n) + 1
		for i := range n {
			m.Ranges = append(m.Ranges, Range{
				First:    Key(i) * width,
				Last:     Key(i+1)*width - 1,
				Owner:    uint16(i % len(m.Owners)),
				Replicas: [MaxReplicas]uint16{NoOwner, NoOwner},
			})
		}
		next := &Map{
			Version:     Version{Term: 2, Number: 2},
			Predecessor: m.Digest,
			Owners:      m.Owners,
			Ranges:      m.Ranges,
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				if err := Validate(next, m, candidates, DefaultBounds); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/range")
		})
	}
}
