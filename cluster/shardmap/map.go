package shardmap

import (
	"cmp"
	"fmt"
	"sort"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Key is a position in the key space: the 64-bit hash of an object.
type Key uint64

// LastKey is the highest key.
const LastKey = ^Key(0)

// Digest identifies a map: it is the xxHash64 of the map's encoding. 0 means no map.
type Digest uint64

// Owner identifies one incarnation of a router. A restarted router is another Owner, so it serves no keys until a
// map names its new incarnation.
type Owner struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation
}

// MaxReplicas is the maximum number of replicas of a range, not counting the owner.
const MaxReplicas = 2

// NoOwner is the owner index that stands for a missing replica or an owner that a map does not name.
const NoOwner = ^uint16(0)

// Range assigns a range of keys, both ends included, to an owner and its replicas, as indexes into Map.Owners.
// If the owner departs, the first replica that is present becomes the owner, unless it already has its share of the
// keys. A missing replica is NoOwner.
type Range struct {
	First, Last Key
	Owner       uint16
	Replicas    [MaxReplicas]uint16
}

// Version orders maps by term, then number. At equal terms and numbers the digest decides, so that all routers
// prefer the same map. The zero Version means no map.
type Version struct {
	Term   lease.Term // term of the map lease when the map was proposed; not lower than the predecessor's
	Number uint32     // greater than the predecessor's; the first map has 1
	Digest Digest
}

// Compare returns a negative number if v is lower than other, 0 if they are equal, and a positive number otherwise.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Number, other.Number),
		cmp.Compare(v.Digest, other.Digest),
	)
}

// String returns the version for logs: the term, the number and the low 32 bits of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d.%d-%08x", v.Term, v.Number, uint32(v.Digest))
}

// Map assigns each key to an owner and its replicas. A Map is immutable after encode or decode, and may be shared.
type Map struct {
	Version
	Predecessor Digest // digest of the map that this one succeeds; 0: none
	Owners      []Owner
	Ranges      []Range // sorted by First; cover every key exactly once if the map is valid
	encoded     []byte  // encoded form, of which Version.Digest is the hash; sent to peers in pieces
}

// RangeOf returns the range that contains a key. It panics if no range does, so the map must be valid.
func (m *Map) RangeOf(key Key) *Range {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].Last >= key })
	return &m.Ranges[i]
}

// OwnerIndex returns the index of an owner in Owners, or NoOwner if the map does not name it.
func (m *Map) OwnerIndex(owner Owner) uint16 {
	for i := range m.Owners {
		if m.Owners[i] == owner {
			return uint16(i)
		}
	}
	return NoOwner
}

// sameAssignment reports whether two maps assign the same ranges to the same owners, ignoring replicas.
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
