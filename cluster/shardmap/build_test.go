package shardmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
)

// TestProposedMapsAreValid lets routers depart, restart and join at random. Each proposed map must be a valid
// successor of the previous one, and must be the same after encoding and decoding.
func TestProposedMapsAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(rt, "routers")
		candidates := testCandidates(routers, rapid.IntRange(1, 3).Draw(rt, "zones"))
		var base *Map
		for n := range rapid.IntRange(1, 6).Draw(rt, "maps") {
			m := Propose(base, candidates, Version{Term: 1, Number: uint32(n + 1)})
			if m == nil { // no router is present
				return
			}
			if err := Validate(m, base, candidates, DefaultBounds); err != nil {
				rt.Fatalf("proposed map %d is invalid: %v", n, err)
			}
			decoded, err := decode(m.encoded)
			if err != nil || content(decoded) != content(m) {
				rt.Fatalf("map %d: encoded and decoded with error %v, want the same map", n, err)
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

// content returns the fields of a map for comparison. The digest in Version covers Predecessor.
func content(m *Map) string { return fmt.Sprint(m.Ranges, m.Owners, m.Version) }
