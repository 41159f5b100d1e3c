package shardmap

import (
	"cmp"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/hash"
)

// Keys are given out in grains: a map by this package has ranges of whole grains, one by an operator may have any.
const (
	grainBits = 48
	grains    = 1 << (64 - grainBits)
)

// planOwner is a router that is to keep keys, in a plan being made.
type planOwner struct {
	Owner
	Candidate
	has, part int // grains
}

// Propose makes the map that follows base (nil: there is none) for the routers that are present: who has keys keeps them, those of
// routers that are gone go to their standbys first, and who has too little gets some of those that have too much. Nil: nobody is.
func Propose(base *Map, who Candidates, term Version) *Map {
	var all []planOwner
	weight := 0
	for mark, s := range who {
		if s.Present {
			all = append(all, planOwner{Owner: Owner{mark, s.Incarnation}, Candidate: s})
			weight += int(s.Weight)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b planOwner) int { return cmp.Compare(a.ID, b.ID) }) // a map's order leaks into nothing
	place := make(map[Owner]int, len(all))
	rest := grains
	for i := range all {
		place[all[i].Owner] = i
		all[i].part = grains * int(all[i].Weight) / weight
		rest -= all[i].part
	}
	for i := 0; rest > 0; i++ {
		all[i%len(all)].part++
		rest--
	}
	plan := make([]int32, grains) // who has each grain
	for g := range plan {
		plan[g] = -1
	}
	var heirs []int32
	if base != nil {
		heirs = make([]int32, grains)
		for i := range base.Ranges {
			r := &base.Ranges[i]
			keeper, heir := int32(-1), int32(-1)
			if at, ok := place[base.Owners[r.Owner]]; ok {
				keeper = int32(at)
			}
			for j := len(r.Replicas) - 1; j >= 0; j-- {
				if s := r.Replicas[j]; s != NoOwner {
					if at, ok := place[base.Owners[s]]; ok {
						heir = int32(at)
					}
				}
			}
			for g := int(r.First >> grainBits); g <= int(r.Last>>grainBits); g++ {
				if plan[g], heirs[g] = keeper, heir; keeper >= 0 {
					all[keeper].has++
				}
			}
		}
	}
	if base != nil && fragile(base, all) {
		for g := range plan {
			plan[g], heirs = -1, nil
		}
		for i := range all {
			all[i].has = 0
		}
	}
	give(all, plan, heirs)
	return build(all, plan, base, term)
}

// fragile tells whether most keys change hands in any case, to newcomers: then they are given out anew, in one piece to each. Kept in
// the pieces that are left, a map of hundreds of routers takes several times the datagrams, and comes late just then.
func fragile(base *Map, all []planOwner) bool {
	named := make(map[Owner]bool, len(base.Owners))
	for _, k := range base.Owners {
		named[k] = true
	}
	kept, fresh, weight := 0, 0, 0
	for i := range all {
		kept += all[i].has
		if weight += int(all[i].Weight); !named[all[i].Owner] {
			fresh += int(all[i].Weight)
		}
	}
	return kept*2 < grains && fresh*2 > weight
}

// give has each grain without a keeper go to its heir, if that has room, else to whoever has room; then whoever is far above
// its part gives some away.
func give(all []planOwner, plan, heirs []int32) {
	for g := range plan {
		if plan[g] < 0 && heirs != nil && heirs[g] >= 0 && all[heirs[g]].has < all[heirs[g]].part {
			plan[g] = heirs[g]
			all[heirs[g]].has++
		}
	}
	next := 0
	room := func() int32 { // the next that has less than its part: neighbours go to one
		for next < len(all) && all[next].has >= all[next].part {
			next++
		}
		return int32(min(next, len(all)-1))
	}
	for g := range plan {
		if plan[g] < 0 {
			to := room()
			plan[g] = to
			all[to].has++
		}
	}
	for g := range plan {
		from := &all[plan[g]]
		if from.has <= from.part || from.part == 0 {
			continue
		}
		if to := room(); all[to].has < all[to].part {
			from.has--
			all[to].has++
			plan[g] = to
		}
	}
}

// build makes a map of a plan: ranges as long as can be, standbys from other zones where there are any.
func build(all []planOwner, plan []int32, base *Map, v Version) *Map {
	m := &Map{Version: Version{Term: v.Term, Number: v.Number}}
	if base != nil {
		m.Predecessor = base.Digest
	}
	for i := range all {
		m.Owners = append(m.Owners, all[i].Owner)
	}
	for g := 0; g < len(plan); {
		end := g
		for end < len(plan) && plan[end] == plan[g] {
			end++
		}
		first := Key(g) << grainBits
		r := Range{First: first, Last: Key(end-1)<<grainBits | (1<<grainBits - 1), Owner: uint16(plan[g]),
			Replicas: standbys(all, int(plan[g]), first)}
		m.Ranges = append(m.Ranges, r)
		g = end
	}
	m.seal()
	return m
}

// standbys picks those who stand by a range, by lot: a keeper's ranges go to many when it dies.
func standbys(all []planOwner, keeper int, first Key) [MaxReplicas]uint16 {
	out := [MaxReplicas]uint16{NoOwner, NoOwner}
	n := len(all)
	if n < 2 {
		return out
	}
	at := int(hash.Combine(uint64(first), uint64(all[keeper].ID)) % uint64(n))
	pick := func(ok func(i int) bool) uint16 {
		for i := range n {
			if j := (at + i) % n; j != keeper && ok(j) {
				return uint16(j)
			}
		}
		return NoOwner
	}
	zone := all[keeper].Zone
	if out[0] = pick(func(i int) bool { return all[i].Zone != zone }); out[0] == NoOwner {
		out[0] = pick(func(int) bool { return true })
	}
	at++
	out[1] = pick(func(i int) bool { return uint16(i) != out[0] })
	return out
}

// NeedsSuccessor tells whether the routers that are present differ from those that a map names so that another is due.
func (m *Map) NeedsSuccessor(who Candidates) bool {
	named := make(map[membership.NodeID]membership.Incarnation, len(m.Owners))
	for _, k := range m.Owners {
		if s := who[k.ID]; !s.Present || s.Incarnation != k.Incarnation {
			return true
		}
		named[k.ID] = k.Incarnation
	}
	for mark, s := range who {
		if _, ok := named[mark]; s.Present && !ok {
			return true
		}
	}
	return false
}
