package shardmap

import (
	"cmp"
	"slices"

	"threadrun/internal/hash"
)

// The key space is divided into slots of equal size. Maps built by Propose have ranges of complete slots; an
// operator's map may have any ranges.
const (
	slotBits  = 48
	slotCount = 1 << (64 - slotBits)
)

const unassigned = int32(-1)

// planOwner is a possible owner in a plan.
type planOwner struct {
	Owner
	Candidate
	slots  int // number of slots assigned to it
	target int // number of slots it should have by its weight
}

// plan assigns an owner to each slot, as an index into owners or unassigned.
type plan struct {
	owners   []planOwner // sorted by ID
	index    map[Owner]int
	slots    []int32
	replicas []int32 // per slot: the first present replica in the previous map, or unassigned; nil: no previous map
	next     int     // every owner before this index has reached its target
}

// Propose returns the map that follows base, which is nil for the first map, for the present candidates. Owners
// keep their keys; keys of departed owners go to their replicas first; owners below their targets get keys from
// owners above theirs. It returns nil if no candidate is present.
func Propose(base *Map, candidates Candidates, version Version) *Map {
	p := newPlan(candidates)
	if len(p.owners) == 0 {
		return nil
	}
	if base != nil {
		p.inherit(base)
		if p.mostlyNew(base) {
			p.clear()
		}
	}
	p.promoteReplicas()
	p.assignRest()
	p.rebalance()
	return p.buildMap(base, version)
}

func newPlan(candidates Candidates) *plan {
	p := &plan{}
	weight := 0
	for id, candidate := range candidates {
		if candidate.Present {
			owner := Owner{id, candidate.Incarnation}
			p.owners = append(p.owners, planOwner{Owner: owner, Candidate: candidate})
			weight += int(candidate.Weight)
		}
	}
	if len(p.owners) == 0 {
		return p
	}
	// Iteration over a Go map is random, but the result must be deterministic.
	slices.SortFunc(p.owners, func(a, b planOwner) int { return cmp.Compare(a.ID, b.ID) })
	p.index = make(map[Owner]int, len(p.owners))
	rest := slotCount
	for i := range p.owners {
		owner := &p.owners[i]
		p.index[owner.Owner] = i
		owner.target = slotCount * int(owner.Weight) / weight
		rest -= owner.target
	}
	for i := range rest {
		p.owners[i%len(p.owners)].target++
	}
	p.slots = make([]int32, slotCount)
	p.clear()
	return p
}

// clear makes all slots unassigned.
func (p *plan) clear() {
	for slot := range p.slots {
		p.slots[slot] = unassigned
	}
	for i := range p.owners {
		p.owners[i].slots = 0
	}
	p.replicas = nil
}

// inherit assigns the slots to their owners in base that are still present.
func (p *plan) inherit(base *Map) {
	p.replicas = make([]int32, slotCount)
	for i := range base.Ranges {
		r := &base.Ranges[i]
		owner := p.firstPresent(base, r.Owner)
		replica := p.firstPresent(base, r.Replicas[:]...)
		for slot := int(r.First >> slotBits); slot <= int(r.Last>>slotBits); slot++ {
			p.slots[slot], p.replicas[slot] = owner, replica
			if owner != unassigned {
				p.owners[owner].slots++
			}
		}
	}
}

// firstPresent returns the plan's index of the first given owner of base that is present, or unassigned.
func (p *plan) firstPresent(base *Map, indexes ...uint16) int32 {
	for _, index := range indexes {
		if index == NoOwner {
			continue
		}
		if i, present := p.index[base.Owners[index]]; present {
			return int32(i)
		}
	}
	return unassigned
}

// mostlyNew reports whether most keys change owners anyway and most of the weight is new. Then all slots are
// reassigned, in one range per owner, because the remaining fragments would multiply the size of a map of
// hundreds of routers.
func (p *plan) mostlyNew(base *Map) bool {
	named := make(map[Owner]bool, len(base.Owners))
	for _, owner := range base.Owners {
		named[owner] = true
	}
	kept, newWeight, weight := 0, 0, 0
	for i := range p.owners {
		owner := &p.owners[i]
		kept += owner.slots
		weight += int(owner.Weight)
		if !named[owner.Owner] {
			newWeight += int(owner.Weight)
		}
	}
	return kept*2 < slotCount && newWeight*2 > weight
}

// promoteReplicas assigns each unassigned slot to its replica in the previous map if that is below its target.
func (p *plan) promoteReplicas() {
	for slot, replica := range p.replicas {
		if p.slots[slot] != unassigned || replica == unassigned {
			continue
		}
		owner := &p.owners[replica]
		if owner.slots < owner.target {
			p.slots[slot] = replica
			owner.slots++
		}
	}
}

// assignRest assigns the remaining slots to owners below their targets, neighboring slots to the same owner.
func (p *plan) assignRest() {
	for slot := range p.slots {
		if p.slots[slot] == unassigned {
			owner := p.nextBelowTarget()
			p.slots[slot] = owner
			p.owners[owner].slots++
		}
	}
}

// rebalance moves slots from owners above their targets to owners below theirs.
func (p *plan) rebalance() {
	for slot := range p.slots {
		from := &p.owners[p.slots[slot]]
		if from.slots <= from.target || from.target == 0 {
			continue
		}
		i := p.nextBelowTarget()
		to := &p.owners[i]
		if to.slots < to.target {
			from.slots--
			to.slots++
			p.slots[slot] = i
		}
	}
}

// nextBelowTarget returns the index of the next owner below its target, or of the last owner if there is none.
func (p *plan) nextBelowTarget() int32 {
	for p.next < len(p.owners) && p.owners[p.next].slots >= p.owners[p.next].target {
		p.next++
	}
	return int32(min(p.next, len(p.owners)-1))
}

// buildMap converts the plan to a map whose ranges are as long as possible.
func (p *plan) buildMap(base *Map, version Version) *Map {
	m := &Map{Version: Version{Term: version.Term, Number: version.Number}}
	if base != nil {
		m.Predecessor = base.Digest
	}
	for i := range p.owners {
		m.Owners = append(m.Owners, p.owners[i].Owner)
	}
	for slot := 0; slot < len(p.slots); {
		owner := p.slots[slot]
		end := slot
		for end < len(p.slots) && p.slots[end] == owner {
			end++
		}
		first := Key(slot) << slotBits
		m.Ranges = append(m.Ranges, Range{
			First:    first,
			Last:     Key(end-1)<<slotBits | (1<<slotBits - 1),
			Owner:    uint16(owner),
			Replicas: p.pickReplicas(int(owner), first),
		})
		slot = end
	}
	m.encode()
	return m
}

// pickReplicas returns the replicas of a range, the first from another zone if possible. The hash distributes an
// owner's ranges over many replicas, which share its keys after its death.
func (p *plan) pickReplicas(owner int, first Key) [MaxReplicas]uint16 {
	replicas := [MaxReplicas]uint16{NoOwner, NoOwner}
	count := len(p.owners)
	if count < 2 {
		return replicas
	}
	start := int(hash.Combine(uint64(first), uint64(p.owners[owner].ID)) % uint64(count))
	zone := p.owners[owner].Zone
	replicas[0] = p.pickFrom(start, owner, func(i int) bool { return p.owners[i].Zone != zone })
	if replicas[0] == NoOwner {
		replicas[0] = p.pickFrom(start, owner, func(int) bool { return true })
	}
	replicas[1] = p.pickFrom(start+1, owner, func(i int) bool { return uint16(i) != replicas[0] })
	return replicas
}

// pickFrom returns the first suitable candidate from index start on, other than owner, or NoOwner.
func (p *plan) pickFrom(start, owner int, suitable func(i int) bool) uint16 {
	for i := range p.owners {
		candidate := (start + i) % len(p.owners)
		if candidate != owner && suitable(candidate) {
			return uint16(candidate)
		}
	}
	return NoOwner
}
