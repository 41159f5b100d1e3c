package shardmap

import (
	"cmp"
	"fmt"
	"sort"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in whole microseconds.
type Micros = clock.Micros

// Key is a position in the key space: the hash of an object. All 64 bits count.
type Key uint64

// LastKey is the highest key.
const LastKey = ^Key(0)

// Digest identifies a map by its content.
type Digest uint64

// Owner is one incarnation of a router.
type Owner struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation
}

// MaxReplicas is the number of replicas that a range may have.
const MaxReplicas = 2

// NoOwner is the index that stands where there is no further replica.
const NoOwner = ^uint16(0)

// Range is a range of keys, both ends included. Owner and Replicas are indexes into the map's Owners.
type Range struct {
	First, Last Key
	Owner       uint16
	Replicas    [MaxReplicas]uint16
}

// Version orders maps. The digest decides between two maps of one term and number, alike at every router.
type Version struct {
	Term   lease.Term // of the map lease, when the map was made
	Number uint32
	Digest Digest
}

// Compare is negative where v is below other, 0 where they are equal, and positive where it is above.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Number, other.Number),
		cmp.Compare(v.Digest, other.Digest),
	)
}

func (v Version) String() string {
	return fmt.Sprintf("%d.%d-%08x", v.Term, v.Number, uint32(v.Digest))
}

// Map assigns every key to an owner and its replicas. It never changes once made.
type Map struct {
	Version
	Predecessor Digest // of the map that this one follows; 0: none
	Owners      []Owner
	Ranges      []Range // ordered by First
	encoded     []byte
}

// RangeOf returns the range that holds a key. The map must be valid.
func (m *Map) RangeOf(key Key) *Range {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].Last >= key })
	return &m.Ranges[i]
}

// OwnerIndex returns the index of an owner in the map's Owners, or NoOwner.
func (m *Map) OwnerIndex(owner Owner) uint16 {
	for i := range m.Owners {
		if m.Owners[i] == owner {
			return uint16(i)
		}
	}
	return NoOwner
}

// sameAssignment reports whether two maps give the same ranges to the same owners, whatever their replicas.
func sameAssignment(a, b *Map) bool {
	if len(a.Ranges) != len(b.Ranges) {
		return false
	}
	for i := range a.Ranges {
		x, y := &a.Ranges[i], &b.Ranges[i]
		if x.First != y.First || x.Last != y.Last || a.Owners[x.Owner] != b.Owners[y.Owner] {
			return false
		}
	}
	return true
}
