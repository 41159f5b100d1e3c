package membership

import (
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// The members are divided into partitions by the first bits of their IDs. Each ping carries the sums of the next
// few partitions; its ack contains members of the partitions whose sums differ. This repairs what gossip misses:
// after a mass restart of hundreds of routers each change is gossiped too few times to reach all routers.
const (
	partitionBits = 7
	partitions    = 1 << partitionBits
	sumsPerPing   = 4
	sumSize       = 2    // in bytes; one in 65,536 pairs of different lists has equal sums
	gossipReserve = 56   // bytes of an ack that repairs must not use, so that gossip fits
	noSums        = 0xff // sent instead of the first partition if the ping carries no sums
)

// partition is the index of a partition.
type partition uint8

// partitionSums holds the sums of successive partitions.
type partitionSums struct {
	first partition
	sums  [sumsPerPing]uint16
}

func partitionOf(id NodeID) partition { return partition(uint64(id) >> (64 - partitionBits)) }

func memberSum(id NodeID, incarnation Incarnation) uint16 {
	return uint16(hash.Combine(uint64(id), uint64(incarnation)))
}

// partitionSum returns the sum over the IDs and incarnations of the present members of a partition, this router
// included.
func (m *Members) partitionSum(p partition) (sum uint16) {
	if partitionOf(m.self.ID) == p && m.state != Left {
		sum ^= memberSum(m.self.ID, m.self.Incarnation)
	}
	m.eachInPartition(p, func(r *knownMember) {
		if r.State.Present() {
			sum ^= memberSum(r.ID, r.Incarnation)
		}
	})
	return sum
}

func (m *Members) eachInPartition(p partition, f func(*knownMember)) {
	i, _ := m.search(NodeID(uint64(p) << (64 - partitionBits)))
	for ; i < len(m.members) && partitionOf(m.members[i].ID) == p; i++ {
		f(m.members[i])
	}
}

// sums appends the sums of the next partitions to a ping.
func (d datagram) sums() datagram {
	m := d.m
	if m.splitHealedAt > 0 && m.now-m.splitHealedAt < splitRecovery { // refutations need the space
		return d.bytes(noSums)
	}
	d = d.bytes(byte(m.nextPartition))
	for i := range partition(sumsPerPing) {
		sum := m.partitionSum((m.nextPartition + i) % partitions)
		d.size = len(octets.AppendWord(m.buffer[:d.size], uint64(sum), sumSize))
	}
	m.nextPartition = (m.nextPartition + sumsPerPing) % partitions
	return d
}

func readSums(r *octets.Reader) (s partitionSums) {
	s.first = partition(r.Byte())
	if s.first == noSums {
		return s
	}
	for i := range s.sums {
		s.sums[i] = uint16(r.Word(sumSize))
	}
	r.Bad = r.Bad || s.first >= partitions
	return s
}

// repairs appends to an ack the members of partitions whose sums differ, starting with a random one. Later acks
// carry those that do not fit.
func (d datagram) repairs(s *partitionSums, receiver *knownMember) datagram {
	m := d.m
	m.findDiffering(s, receiver)
	n := len(m.differing)
	if n == 0 {
		return d
	}
	start := m.random.IntN(n)
	for i := range n {
		next, fits := d.entry(m.differing[(start+i)%n])
		if !fits || next.size > MaxPayload-gossipReserve {
			break
		}
		m.stats.Repaired++
		d = next
	}
	return d
}

// findDiffering collects the members of partitions whose sums differ. It omits suspects, since accusations spread
// by gossip only.
func (m *Members) findDiffering(s *partitionSums, receiver *knownMember) {
	m.differing = m.differing[:0]
	if s.first == noSums {
		return
	}
	for i, sum := range s.sums {
		p := (s.first + partition(i)) % partitions
		if m.partitionSum(p) == sum {
			continue
		}
		m.eachInPartition(p, func(r *knownMember) {
			if r != receiver && (r.State == Alive || r.State == Leaving) {
				m.differing = append(m.differing, r)
			}
		})
	}
}
