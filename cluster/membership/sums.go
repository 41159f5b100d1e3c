package membership

import (
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// Sums mend what news does not bring. The members are cut into parts by the start of their marks; each ping bears the sums of some
// parts in turn, and its answer tells of the members of those that the one asked holds otherwise. After a mass restart hundreds
// of pieces of news are dropped at once, told too seldom to reach all; asked for page by page the last ones came 30 s late.
const (
	partitionBits = 7
	sumsPerPing   = 4  // parts that one ping bears the sums of
	sumSize       = 2  // of each: of two lists that differ one in 65,536 passes, and another ping asks anew
	gossipReserve = 56 // bytes of an answer that stay for news
	noSums        = 0xff
)

type partition uint8

const partitions = 1 << partitionBits

// partitionSums are those of some parts, and which the first is.
type partitionSums struct {
	first partition
	sums  [sumsPerPing]uint16
}

// partitionSum is that of one part: of who is present in which life, this router among them, alike wherever the same is known.
func (m *Members) partitionSum(p partition) (x uint16) {
	if partitionOf(m.self.ID) == p && m.state != Left {
		x ^= memberSum(m.self.ID, m.self.Incarnation)
	}
	m.eachInPartition(p, func(r *record) {
		if r.State.Present() {
			x ^= memberSum(r.ID, r.Incarnation)
		}
	})
	return x
}

func partitionOf(id NodeID) partition { return partition(uint64(id) >> (64 - partitionBits)) }

func memberSum(id NodeID, life Incarnation) uint16 {
	return uint16(hash.Combine(uint64(id), uint64(life)))
}

func (m *Members) eachInPartition(p partition, f func(*record)) {
	at, _ := m.search(NodeID(uint64(p) << (64 - partitionBits)))
	for ; at < len(m.all) && partitionOf(m.all[at].ID) == p; at++ {
		f(m.all[at])
	}
}

// sums adds those of the next parts to a ping.
func (d datagram) sums() datagram {
	m := d.m
	if m.splitHealedAt > 0 && m.now-m.splitHealedAt < splitRecovery { // what a split did is refuted by news, which needs the room
		d.size = len(append(m.buffer[:d.size], noSums))
		return d
	}
	b := append(m.buffer[:d.size], byte(m.nextPartition))
	for i := range partition(sumsPerPing) {
		b = octets.AppendWord(b, uint64(m.partitionSum((m.nextPartition+i)%partitions)), sumSize)
	}
	m.nextPartition = (m.nextPartition + sumsPerPing) % partitions
	d.size = len(b)
	return d
}

func readSums(r *octets.Reader) (s partitionSums) {
	if s.first = partition(r.Byte()); s.first == noSums {
		return s
	}
	for i := range s.sums {
		s.sums[i] = uint16(r.Word(sumSize))
	}
	r.Bad = r.Bad || s.first >= partitions
	return s
}

// repairs tells the sender of a ping of the members of parts that it holds otherwise, from one by chance on: what finds no room comes
// with another answer.
func (d datagram) repairs(s *partitionSums, to *record) datagram {
	m := d.m
	if m.differing = m.differing[:0]; s.first == noSums {
		return d
	}
	for i, x := range s.sums {
		if p := (s.first + partition(i)) % partitions; m.partitionSum(p) != x {
			m.eachInPartition(p, func(r *record) {
				if r != to && (r.State == Alive || r.State == Leaving) { // accusations go round as news, once each
					m.differing = append(m.differing, r)
				}
			})
		}
	}
	n := len(m.differing)
	if n == 0 {
		return d
	}
	at := m.random.IntN(n)
	for i := range n {
		next, fits := d.entry(m.differing[(at+i)%n])
		if !fits || next.size > MaxPayload-gossipReserve {
			break
		}
		m.stats.Repaired++
		d = next
	}
	return d
}
