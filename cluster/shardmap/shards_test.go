package shardmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 400) }

// covered is the independent checker: it counts, at each key where anything could change and at both its neighbours, how many
// ranges hold it.
func covered(ranges []Range) bool {
	at := map[Key]bool{0: true, LastKey: true}
	for _, r := range ranges {
		if r.Last < r.First {
			return false
		}
		for _, k := range []Key{r.First, r.Last} {
			at[k-1], at[k], at[k+1] = true, true, true // over the wrap too
		}
	}
	for k := range at {
		n := 0
		for _, r := range ranges {
			if r.First <= k && k <= r.Last {
				n++
			}
		}
		if n != 1 {
			return false
		}
	}
	for i := 1; i < len(ranges); i++ {
		if ranges[i].First < ranges[i-1].First {
			return false // every key once, but a search would miss some
		}
	}
	return len(ranges) > 0
}

// Ranges that cover all keys, spoilt in one way or none: what is said is what a count of keys says, and the keys named are at fault.
func TestCoverAgainstACount(t *testing.T) {
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "ranges")
		var ranges []Range
		first := Key(0)
		for i := range n {
			left := LastKey - first
			last := first + Key(rapid.Uint64Range(0, uint64(left)/2).Draw(rt, "span"))
			if i == n-1 || left == 0 {
				last = LastKey
			}
			if ranges = append(ranges, Range{First: first, Last: last}); last == LastKey {
				break
			}
			first = last + 1
		}
		i := rapid.IntRange(0, len(ranges)-1).Draw(rt, "at")
		by := Key(rapid.SampledFrom([]uint64{1, 2, 1 << 20}).Draw(rt, "by"))
		switch rapid.IntRange(0, 8).Draw(rt, "fault") {
		case 0:
			ranges[i].First += by
		case 1:
			ranges[i].First -= by
		case 2:
			ranges[i].Last -= by
		case 3:
			ranges[i].Last += by
		case 4:
			j := rapid.IntRange(0, len(ranges)-1).Draw(rt, "with")
			ranges[i], ranges[j] = ranges[j], ranges[i]
		case 5:
			ranges = append(ranges[:i], ranges[i+1:]...)
		case 6:
			ranges = append(ranges[:i+1], ranges[i:]...)
		}
		why := ValidateCoverage(ranges)
		if (why == nil) != covered(ranges) {
			rt.Fatalf("%v says %v", ranges, why)
		}
		if why == nil {
			return
		}
		refused++
		if why.Rule == CoverageGap || why.Rule == TailUncovered || why.Rule == RangesOverlap {
			for _, k := range []Key{why.First, why.Last} {
				n := 0
				for _, r := range ranges {
					if r.First <= k && k <= r.Last {
						n++
					}
				}
				if n == 1 || (n == 0) == (why.Rule == RangesOverlap) {
					rt.Fatalf("%v: key %x is held %d times", why, uint64(k), n)
				}
			}
		}
	})
	if refused < 50 {
		t.Errorf("%d refused", refused)
	}
}

// roster is n routers in so many zones, all there.
func roster(n, zones int) Candidates {
	who := Candidates{}
	for i := range n {
		who[membership.NodeID(i+1)*0x9e3779b97f4a7c15] = Candidate{Incarnation: 7, Zone: uint16(i % zones), Weight: 2, Present: true}
	}
	return who
}

// One fault of each kind, put into a good map: refused under its own rule, with the keys.
func TestEachRule(t *testing.T) {
	who := roster(12, 3)
	base := Propose(nil, who, Version{Term: 1, Number: 1})
	if why := Validate(base, nil, who, DefaultBounds); why != nil {
		t.Fatal(why)
	}
	for _, c := range []struct {
		rule  Rule
		spoil func(m *Map, who Candidates)
	}{
		{CoverageGap, func(m *Map, _ Candidates) { m.Ranges[3].First++ }},
		{RangesOverlap, func(m *Map, _ Candidates) { m.Ranges[3].First-- }},
		{TailUncovered, func(m *Map, _ Candidates) { m.Ranges[len(m.Ranges)-1].Last-- }},
		{CoverageGap, func(m *Map, _ Candidates) { m.Ranges[0].First++ }},
		{EmptyRange, func(m *Map, _ Candidates) { m.Ranges[2].Last = m.Ranges[2].First - 1 }},
		{RangesOutOfOrder, func(m *Map, _ Candidates) { m.Ranges[2], m.Ranges[1] = m.Ranges[1], m.Ranges[2] }},
		{NoRanges, func(m *Map, _ Candidates) { m.Ranges = nil }},
		{InvalidOwner, func(m *Map, _ Candidates) { m.Ranges[1].Owner = 99 }},
		{InvalidOwner, func(m *Map, _ Candidates) { m.Owners[1] = m.Owners[0] }},
		{ReplicaIsOwner, func(m *Map, _ Candidates) { m.Ranges[1].Replicas[0] = m.Ranges[1].Owner }},
		{ReplicaIsOwner, func(m *Map, _ Candidates) { m.Ranges[1].Replicas[1] = m.Ranges[1].Replicas[0] }},
		{UnknownOwner, func(m *Map, who Candidates) { delete(who, m.Owners[m.Ranges[4].Owner].ID) }},
		{StaleIncarnation, func(m *Map, _ Candidates) { m.Owners[m.Ranges[4].Owner].Incarnation-- }},
		{AbsentOwner, func(m *Map, who Candidates) {
			k := m.Owners[m.Ranges[4].Owner].ID
			s := who[k]
			s.Present = false
			who[k] = s
		}},
		{ReplicaInOwnerZone, func(m *Map, who Candidates) {
			r := &m.Ranges[4]
			for i, k := range m.Owners {
				if uint16(i) != r.Owner && uint16(i) != r.Replicas[1] && who[k.ID].Zone == who[m.Owners[r.Owner].ID].Zone {
					r.Replicas[0] = uint16(i)
				}
			}
		}},
		{Unbalanced, func(m *Map, _ Candidates) {
			for i := range 4 {
				m.Ranges[i].Owner = m.Ranges[0].Owner
				m.Ranges[i].Replicas = [2]uint16{NoOwner, NoOwner}
			}
		}},
		{NotSuccessor, func(m *Map, _ Candidates) { m.Predecessor++ }},
		{NotSuccessor, func(m *Map, _ Candidates) { m.Number = 0 }},
		{TooManyMoved, func(m *Map, _ Candidates) {
			was := append([]Range(nil), m.Ranges...)
			for i := range m.Ranges {
				m.Ranges[i].Owner = was[(i+2)%len(was)].Owner
				m.Ranges[i].Replicas = [2]uint16{NoOwner, NoOwner}
			}
		}},
	} {
		who := roster(12, 3)
		m := Propose(base, who, Version{Term: 1, Number: 2})
		if why := Validate(m, base, who, DefaultBounds); why != nil {
			t.Fatalf("the good one: %v", why)
		}
		c.spoil(m, who)
		if why := Validate(m, base, who, DefaultBounds); why == nil || why.Rule != c.rule {
			t.Errorf("%v wanted, %v", c.rule, why)
		}
	}
}

// Routers die, go and join at random: each map that is proposed is one that all take, and one router's keys are moved once.
func TestProposalsAreTaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		who := roster(rapid.IntRange(1, 40).Draw(rt, "routers"), rapid.IntRange(1, 3).Draw(rt, "zones"))
		var base *Map
		for n := range rapid.IntRange(1, 6).Draw(rt, "maps") {
			m := Propose(base, who, Version{Term: 1, Number: uint32(n + 1)})
			if m == nil {
				return
			}
			if why := Validate(m, base, who, DefaultBounds); why != nil {
				rt.Fatalf("map %d: %v", n, why)
			}
			if back, err := read(m.text); err != nil || fmt.Sprint(back.Ranges, back.Owners, back.Version) != fmt.Sprint(m.Ranges, m.Owners, m.Version) {
				rt.Fatalf("read back: %v", err)
			}
			base = m
			for i, k := range m.Owners {
				if rapid.IntRange(0, 3).Draw(rt, "fate") == 0 {
					s := who[k.ID]
					if s.Present = i%2 == 0; s.Present {
						s.Incarnation++
					}
					who[k.ID] = s
				}
			}
			if rapid.Bool().Draw(rt, "join") {
				who[membership.NodeID(rapid.Uint64Min(1).Draw(rt, "mark"))] = Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
			}
		}
	})
}

// Any bytes: read or refused, never more than that.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		who := roster(5, 2)
		m := Propose(nil, who, Version{Term: 1, Number: 1})
		text := append([]byte(nil), m.text...)
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			text[rapid.IntRange(0, len(text)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		text = text[:rapid.IntRange(0, len(text)).Draw(rt, "length")]
		if x, err := read(text); err == nil {
			if x.Digest == m.Digest && string(text) != string(m.text) {
				rt.Fatal("another text under one digest")
			}
			if why := Validate(x, nil, who, DefaultBounds); why == nil && !covered(x.Ranges) {
				rt.Fatal("taken, and not covered")
			}
		}
	})
}

// Checking is linear in the ranges: twice the ranges take about twice as long.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1024, 4096, 16384} {
		who := roster(300, 3)
		m := Propose(nil, who, Version{Term: 1, Number: 1})
		m.Ranges = nil
		for i := range n {
			width := ^Key(0)/Key(n) + 1
			m.Ranges = append(m.Ranges, Range{First: Key(i) * width, Last: Key(i+1)*width - 1, Owner: uint16(i % len(m.Owners)),
				Replicas: [2]uint16{NoOwner, NoOwner}})
		}
		next := &Map{Version: Version{Term: 2, Number: 2}, Predecessor: m.Digest, Owners: m.Owners, Ranges: m.Ranges}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				if why := Validate(next, m, who, DefaultBounds); why != nil {
					b.Fatal(why)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/range")
		})
	}
}
