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
	falsePositiveRate = 0.01       // share of the objects and groups not held that the filter reports as held
	minFilterKeys     = 8          // minimum number of keys for which a filter is sized
	groupSalt         = 0x67727570 // distinguishes groups from objects in the filter; part of the protocol
)

// Query describes the records that are requested from owners. A record matches if it satisfies all conditions.
type Query struct {
	Object    shardmap.Key    // 0: any object
	Group     directory.Group // 0: any group
	MinSizeKB uint32
	MaxSizeKB uint32 // 0: any size
	// CreatedBefore, if not 0, requests records of the group with only their copies created at this time or before,
	// including copies that a purge has invalidated. A summary does not describe copies, so MayMatch ignores this
	// condition.
	CreatedBefore Micros
}

// Summary describes the records that one incarnation of an owner could hold, as of one version.
type Summary struct {
	Owner     shardmap.Owner
	Map       shardmap.Digest // digest of the shard map under which it was made
	Version   uint32
	records   uint32             // number of records
	minSizeKB uint32             // half of the smallest size, because sizes may change before the next version
	maxSizeKB uint32             // double the largest size
	filter    *bloom.BloomFilter // over objects and groups
}

// newSummary returns a summary to which up to the given number of records will be added.
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

// filterKey returns the bytes that represent a key in the filter. It overwrites b, which must have space for 8
// bytes.
func filterKey(b []byte, k uint64) []byte { return binary.BigEndian.AppendUint64(b[:0], k) }

// groupKey returns the key of a group in the filter.
func groupKey(g directory.Group) uint64 { return hash.Combine(uint64(g), groupSalt) }

// add adds a record to the summary. The record's size may be anything between half and double of sizeKB.
func (s *Summary) add(r *directory.Record, sizeKB uint32) {
	var b [8]byte
	s.minSizeKB = min(s.minSizeKB, sizeKB/2)
	s.maxSizeKB = max(s.maxSizeKB, double(sizeKB))
	s.filter.Add(filterKey(b[:], uint64(r.Key)))
	if r.Group != 0 {
		s.filter.Add(filterKey(b[:], groupKey(r.Group)))
	}
}

// double returns twice a size, limited so that it does not overflow.
func double(sizeKB uint32) uint32 { return 2 * min(sizeKB, math.MaxUint32/2) }

// MayMatch reports whether the owner could hold a record that matches a query. False is certain for the records of
// this version; true may be wrong, because of the filter's false positives and because each condition is checked
// on its own.
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
