package shardmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
)

// While routers die, leave and join at random, each proposed map must be valid after the previous one, and must
// survive encoding.
func TestProposedMapsAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(rt, "routers")
		candidates := testCandidates(routers, rapid.IntRange(1, 3).Draw(rt, "zones"))
		var base *Map
		for n := range rapid.IntRange(1, 6).Draw(rt, "maps") {
			m := Propose(base, candidates, Version{Term: 1, Number: uint32(n + 1)})
			if m == nil {
				return
			}
			if err := Validate(m, base, candidates, DefaultBounds); err != nil {
				rt.Fatalf("map %d: %v", n, err)
			}
			decoded, err := decode(m.encoded)
			if err != nil || content(decoded) != content(m) {
				rt.Fatalf("decoded map differs: %v", err)
			}
			base = m
			for i, owner := range m.Owners {
				if rapid.IntRange(0, 3).Draw(rt, "fate") == 0 {
					candidate := candidates[owner.ID]
					candidate.Present = i%2 == 0
					if candidate.Present {
						candidate.Incarnation++
					}
					candidates[owner.ID] = candidate
				}
			}
			if rapid.Bool().Draw(rt, "join") {
				id := membership.NodeID(rapid.Uint64Min(1).Draw(rt, "id"))
				candidates[id] = Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
			}
		}
	})
}

func content(m *Map) string { return fmt.Sprint(m.Ranges, m.Owners, m.Version) }
