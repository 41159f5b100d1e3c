package directory

import (
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

type (
	// CacheInstance identifies one start of a cache; a later start of the same cache has a different one.
	CacheInstance uint64
	// Group identifies a group of objects that are purged together; 0: none.
	Group uint64
)

// MaxCopies is the maximum number of copies in a record.
const MaxCopies = 3

// UnknownGap is the request gap of an object that was requested only once. It is the maximum gap.
const UnknownGap = 60 * clock.Minute

// Copy records that a cache was seen to hold an object. Times are on the clock of the router that stores the
// record.
type Copy struct {
	Cache     CacheInstance
	LastSeen  Micros
	CreatedAt Micros // when the origin generated the copy; a later purge invalidates it
}

// Record is the knowledge about one object. A router initializes its own estimate of the request gap from it
// (algorithm 1 of the paper, see routing/freshness.go).
type Record struct {
	Key              shardmap.Key // hash of the object
	Group            Group
	Class            uint8
	SizeKB           uint32
	RequestGap       Micros // time between requests at one router, from the rate of all reporting routers
	UpdatesPerSecond float32
	LastRequest      Micros
	UpdatedAt        Micros // time of the newest merged report
	Reports          uint8  // merged reports; in a router's report, its requests since the last one; at most 255
	Copies           [MaxCopies]Copy
}

// addCopy adds a copy to a record: the most recent observation of each cache wins, and of all caches the most recently
// seen remain.
func addCopy(r *Record, c Copy) {
	oldest := 0
	for i := range r.Copies {
		if r.Copies[i].Cache == c.Cache {
			if c.LastSeen >= r.Copies[i].LastSeen {
				r.Copies[i] = c
			}
			return
		}
		if r.Copies[i].LastSeen < r.Copies[oldest].LastSeen {
			oldest = i
		}
	}
	if r.Copies[oldest].Cache == 0 || r.Copies[oldest].LastSeen < c.LastSeen {
		r.Copies[oldest] = c
	}
}
