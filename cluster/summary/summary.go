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

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

const (
	falsePositiveRate = 0.01       // share of objects that an owner appears to hold but does not
	minFilterKeys     = 8          // minimum number of keys for which a filter is sized
	groupSalt         = 0x67727570 // distinguishes groups from objects in the filter
)

// Query describes the records that are requested from owners.
type Query struct {
	Object    shardmap.Key // 0: any object
	Group     directory.Group
	MinSizeKB uint32
	MaxSizeKB uint32 // 0: any size
	// CreatedBefore, if not 0, requests records of the group with only their copies created before this time,
	// including copies that a purge has invalidated.
	CreatedBefore Micros
}

// Summary describes one version of the records that an owner could hold.
type Summary struct {
	Owner     shardmap.Owner
	Map       shardmap.Digest // digest of the shard map under which it was made
	Version   uint32
	records   uint32
	minSizeKB uint32
	maxSizeKB uint32
	filter    *bloom.BloomFilter // over objects and groups
}

func newSummary(owner shardmap.Owner, m shardmap.Digest, version uint32, records int) *Summary {
	// Each record has up to two keys: its object and its group.
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

// filterKey returns the bytes to add to the filter. It reuses the space of b.
func filterKey(b []byte, k uint64) []byte { return binary.BigEndian.AppendUint64(b[:0], k) }

func groupKey(g directory.Group) uint64 { return hash.Combine(uint64(g), groupSalt) }

// add adds a record to the summary. The record's size may change to between half and double of sizeKB.
func (s *Summary) add(r *directory.Record, sizeKB uint32) {
	var b [8]byte
	s.minSizeKB = min(s.minSizeKB, sizeKB/2)
	s.maxSizeKB = max(s.maxSizeKB, double(sizeKB))
	s.filter.Add(filterKey(b[:], uint64(r.Key)))
	if r.Group != 0 {
		s.filter.Add(filterKey(b[:], groupKey(r.Group)))
	}
}

// double returns twice a size, limited to the maximum value.
func double(sizeKB uint32) uint32 { return 2 * min(sizeKB, math.MaxUint32/2) }

// MayMatch reports whether the owner could hold a record that matches a query.
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
