package shardmap

import (
	"cmp"
	"slices"

	"threadrun/internal/hash"
)

// The key space is divided into 65,536 slots of 2^48 keys each. Maps built by Propose have ranges of complete slots,
// which are short when encoded; an operator's map may have any ranges.
const (
	slotBits  = 48
	slotCount = 1 << (64 - slotBits)
)

// unassigned is the owner index of a slot that has no owner yet.
const unassigned = int32(-1)

// planOwner is a present candidate, which the planned map names as an owner even if it gets no slots.
type planOwner struct {
	Owner
	Candidate
	slots  int // number of slots assigned to it
	target int // number of slots that it should have by its weight; the targets add up to slotCount
}

// plan assigns an owner to each slot, as an index into owners or unassigned.
type plan struct {
	owners   []planOwner   // sorted by ID
	index    map[Owner]int // indexes into owners
	slots    []int32
	replicas []int32 // per slot: first present replica in the base map, as an index into owners; nil: none are used
	next     int     // all owners before this index have reached their targets
}

// Propose returns the successor of base, which is nil for the first map, for the present candidates. Present owners
// keep their keys, except that owners above their targets give keys to owners below theirs. Keys of departed owners
// go to their replicas first. If most of the fleet is new, all keys are reassigned. The result depends only on the
// arguments. It is nil if no candidate is present.
func Propose(base *Map, candidates Candidates, version Version) *Map {
	p := newPlan(candidates)
	if len(p.owners) == 0 {
		return nil
	}
	if base != nil {
		p.inherit(base)
		if p.shouldRebuild(base) {
			p.clear()
		}
	}
	p.promoteReplicas()
	p.assignRemaining()
	p.rebalance()
	return p.buildMap(base, version)
}

// newPlan returns a plan for the present candidates in which all slots are unassigned. Without present candidates
// the plan has no owners and no slots.
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
	// Go maps are iterated in random order, but the same candidates must produce the same map.
	slices.SortFunc(p.owners, func(a, b planOwner) int { return cmp.Compare(a.ID, b.ID) })
	p.index = make(map[Owner]int, len(p.owners))
	remainder := slotCount
	for i := range p.owners {
		owner := &p.owners[i]
		p.index[owner.Owner] = i
		owner.target = slotCount * int(owner.Weight) / weight
		remainder -= owner.target
	}
	for i := range remainder {
		p.owners[i%len(p.owners)].target++
	}
	p.slots = make([]int32, slotCount)
	p.clear()
	return p
}

// clear makes all slots unassigned, and discards the replicas.
func (p *plan) clear() {
	for slot := range p.slots {
		p.slots[slot] = unassigned
	}
	for i := range p.owners {
		p.owners[i].slots = 0
	}
	p.replicas = nil
}

// inherit assigns each slot to its owner in base if that is still present, and records the slot's first present
// replica. A slot that base divides between several ranges, as an operator's map may do, gets the owner of the
// last range.
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

// firstPresent returns the first owner that is still present, as an index into the plan's owners, or unassigned.
// indexes are indexes into base.Owners, or NoOwner.
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

// shouldRebuild reports whether most keys must change owners anyway and most of the weight is new. All slots are
// then reassigned, in one range per owner: otherwise the kept fragments would multiply the number of ranges, and
// thus the size of a map of hundreds of routers.
func (p *plan) shouldRebuild(base *Map) bool {
	inBase := make(map[Owner]bool, len(base.Owners))
	for _, owner := range base.Owners {
		inBase[owner] = true
	}
	kept, newWeight, weight := 0, 0, 0
	for i := range p.owners {
		owner := &p.owners[i]
		kept += owner.slots
		weight += int(owner.Weight)
		if !inBase[owner.Owner] {
			newWeight += int(owner.Weight)
		}
	}
	return kept*2 < slotCount && newWeight*2 > weight
}

// promoteReplicas assigns each unassigned slot to its first present replica in the base map if that is below its
// target. A replica already has records of these keys.
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

// assignRemaining assigns the remaining slots to owners below their targets. It fills one owner after the other,
// so that neighboring slots form one range.
func (p *plan) assignRemaining() {
	for slot := range p.slots {
		if p.slots[slot] == unassigned {
			owner := p.nextBelowTarget()
			p.slots[slot] = owner
			p.owners[owner].slots++
		}
	}
}

// rebalance moves slots from owners above their targets to owners below theirs. Owners with a target of 0 keep
// their slots.
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

// buildMap converts the plan to a map with one range per run of slots of the same owner. It takes the term and the
// number from version; the digest is that of the new map's encoding.
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

// pickReplicas returns the replicas of the range that begins with first, the first replica from another zone than
// the owner if possible. The hash distributes an owner's ranges over many replicas, so that they share its keys
// when it dies.
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

// pickFrom returns the index of the first owner for which suitable returns true, skipping the one with the index
// excluded, or NoOwner. It searches all owners of the plan in order of their indexes, from start on and around the end.
func (p *plan) pickFrom(start, excluded int, suitable func(i int) bool) uint16 {
	for i := range p.owners {
		candidate := (start + i) % len(p.owners)
		if candidate != excluded && suitable(candidate) {
			return uint16(candidate)
		}
	}
	return NoOwner
}
