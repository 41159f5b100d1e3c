package membership

import (
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// The members are divided into buckets by the first bits of their IDs. Each ping contains the sums of the next
// sumsPerPing buckets; its ack contains members of the buckets whose sums differ. The sum of a bucket is a checksum of
// the IDs and incarnations of its members, see bucketSum. This repairs what gossip misses: after a mass restart of
// hundreds of routers each change is gossiped too few times to reach all routers.
const (
	bucketBits    = 7
	buckets       = 1 << bucketBits
	sumsPerPing   = 4
	sumSize       = 2    // in bytes; one in 65,536 pairs of different lists has equal sums
	gossipReserve = 56   // bytes of an ack that repairs must not use, so that gossip fits
	noSums        = 0xff // sent instead of the first bucket if the ping contains no sums
)

// bucket is the index of a bucket, below buckets, or noSums.
type bucket uint8

// bucketSums holds the sums of successive buckets, beginning with first. The bucket after the last one is bucket 0.
type bucketSums struct {
	first bucket
	sums  [sumsPerPing]uint16
}

// bucketOf returns the bucket of an ID: its first bucketBits bits.
func bucketOf(id NodeID) bucket { return bucket(uint64(id) >> (64 - bucketBits)) }

// memberSum returns the hash by which one member contributes to the sum of its bucket.
func memberSum(id NodeID, incarnation Incarnation) uint16 {
	return uint16(hash.Combine(uint64(id), uint64(incarnation)))
}

// bucketSum returns the exclusive or of memberSum over the present members of a bucket, including this router. It
// does not distinguish the states of present members.
func (m *Members) bucketSum(b bucket) (sum uint16) {
	if bucketOf(m.self.ID) == b && m.state != Left {
		sum ^= memberSum(m.self.ID, m.self.Incarnation)
	}
	m.eachInBucket(b, func(r *knownMember) {
		if r.State.Present() {
			sum ^= memberSum(r.ID, r.Incarnation)
		}
	})
	return sum
}

// eachInBucket calls f for each known member of a bucket, in the order of their IDs.
func (m *Members) eachInBucket(b bucket, f func(*knownMember)) {
	i, _ := m.search(NodeID(uint64(b) << (64 - bucketBits)))
	for ; i < len(m.members) && bucketOf(m.members[i].ID) == b; i++ {
		f(m.members[i])
	}
}

// sums appends the sums of the next buckets to a ping. Successive pings contain all buckets in turn.
func (d datagram) sums() datagram {
	m := d.m
	if m.partitionHealedAt > 0 && m.now-m.partitionHealedAt < partitionRecovery {
		// After a network partition, the gossip of refutations needs the space.
		return d.bytes(noSums)
	}
	d = d.bytes(byte(m.nextBucket))
	for i := range bucket(sumsPerPing) {
		sum := m.bucketSum((m.nextBucket + i) % buckets)
		d.size = len(octets.AppendUint(m.buffer[:d.size], uint64(sum), sumSize))
	}
	m.nextBucket = (m.nextBucket + sumsPerPing) % buckets
	return d
}

// readSums decodes the sums of a ping. It sets r.Bad if the first bucket does not exist.
func readSums(r *octets.Reader) (s bucketSums) {
	s.first = bucket(r.Byte())
	if s.first == noSums {
		return s
	}
	for i := range s.sums {
		s.sums[i] = uint16(r.Uint(sumSize))
	}
	r.Bad = r.Bad || s.first >= buckets
	return s
}

// repairs appends to an ack the members of buckets whose sums differ, beginning at a random one, so that members
// that do not fit have a chance to be sent in a later ack.
func (d datagram) repairs(s *bucketSums, receiver *knownMember) datagram {
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

// findDiffering collects in m.differing the present members of buckets whose sums differ. It omits suspects, since
// accusations spread by gossip only, and the receiver itself.
func (m *Members) findDiffering(s *bucketSums, receiver *knownMember) {
	m.differing = m.differing[:0]
	if s.first == noSums {
		return
	}
	for i, sum := range s.sums {
		b := (s.first + bucket(i)) % buckets
		if m.bucketSum(b) == sum {
			continue
		}
		m.eachInBucket(b, func(r *knownMember) {
			if r != receiver && (r.State == Alive || r.State == Leaving) {
				m.differing = append(m.differing, r)
			}
		})
	}
}
