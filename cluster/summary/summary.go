package summary

import (
	"encoding/binary"
	"math"

	"github.com/bits-and-blooms/bloom/v3"

	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	falsePositiveRate = 0.01       // share of the objects that an owner does not hold
	minFilterKeys     = 8          // that a filter is made for
	groupSalt         = 0x67727570 // keeps groups apart from objects in the filter
)

// Query is what may be asked of an owner.
type Query struct {
	Object    shardmap.Key // 0: any
	Group     directory.Group
	MinSizeKB uint32
	MaxSizeKB uint32 // 0: any
	// CreatedBefore, if it is not 0, asks for the records of the group with copies made by then, also those that a purge
	// has made invalid, and no other copies.
	CreatedBefore Micros
}

// Summary is what an owner could hold, at one version.
type Summary struct {
	Owner     shardmap.Owner
	Map       shardmap.Digest // of the shard map that it is made under
	Version   uint32
	records   uint32
	minSizeKB uint32
	maxSizeKB uint32
	filter    *bloom.BloomFilter // over objects and groups alike
}

func newSummary(owner shardmap.Owner, m shardmap.Digest, version uint32, records int) *Summary {
	// Each record has up to two keys, its object and its group.
	keys := uint(max(2*records, minFilterKeys))
	return &Summary{
		Owner:     owner,
		Map:       m,
		Version:   version,
		records:   uint32(records),
		minSizeKB: math.MaxUint32,
		filter:    bloom.NewWithEstimates(keys, falsePositiveRate),
	}
}

// filterKey returns what goes into the filter, in the space of b.
func filterKey(b []byte, k uint64) []byte { return binary.BigEndian.AppendUint64(b[:0], k) }

func groupKey(g directory.Group) uint64 { return hash.Combine(uint64(g), groupSalt) }

// add enters a record, of a size between half and double of the given one.
func (s *Summary) add(r *directory.Record, sizeKB uint32) {
	var b [8]byte
	s.minSizeKB = min(s.minSizeKB, sizeKB/2)
	s.maxSizeKB = max(s.maxSizeKB, double(sizeKB))
	s.filter.Add(filterKey(b[:], uint64(r.Key)))
	if r.Group != 0 {
		s.filter.Add(filterKey(b[:], groupKey(r.Group)))
	}
}

// double returns twice a size, less if that is too great a number.
func double(sizeKB uint32) uint32 { return 2 * min(sizeKB, math.MaxUint32/2) }

// MayMatch reports whether the owner could hold a record that a query asks for.
func (s *Summary) MayMatch(q *Query) bool {
	if s.records == 0 {
		return false
	}
	var b [8]byte
	if q.Object != 0 && !s.filter.Test(filterKey(b[:], uint64(q.Object))) {
		return false
	}
	if q.Group != 0 && !s.filter.Test(filterKey(b[:], groupKey(q.Group))) {
		return false
	}
	return (q.MaxSizeKB == 0 || s.minSizeKB <= q.MaxSizeKB) && s.maxSizeKB >= q.MinSizeKB
}
