package directory

import (
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

type (
	// CacheInstance identifies one start of a cache; a later start of the same cache has a different one. 0: none.
	CacheInstance uint64
	// Group identifies a group of objects that are purged together; 0: none.
	Group uint64
)

// MaxCopies is the maximum number of copies in a record.
const MaxCopies = 3

// UnknownGap is the request gap of an object that was requested only once. It is the maximum gap.
const UnknownGap = 60 * clock.Minute

// Copy records that a cache was observed to hold an object. Times are on the clock of the router that stores the
// record.
type Copy struct {
	Cache     CacheInstance // 0: the copy is missing, and the other fields are 0
	LastSeen  Micros        // when a router last observed that the cache holds the copy
	CreatedAt Micros        // when the origin created the copy; a later purge invalidates it
}

// Record is what the routers know about one object. A router initializes its own estimates of the request gap and
// the update rate from it (algorithm 1 of the paper, see routing/freshness.go). Times are on the clock of the
// router that stores the record.
type Record struct {
	Key              shardmap.Key // hash of the object
	Group            Group
	Class            uint8 // class of the object's requests
	SizeKB           uint32
	RequestGap       Micros  // time between requests at one router, from the rate of all reporting routers
	UpdatesPerSecond float32 // estimated rate at which the object changes at its origin
	LastRequest      Micros
	UpdatedAt        Micros          // time of the newest merged report
	Reports          uint8           // merged reports; in a router's report, its requests since the last one; at most 255
	Copies           [MaxCopies]Copy // in no particular order, at most one per cache
}

// addCopy adds a copy to a record. The most recent observation of each cache wins. If there are copies at more than
// MaxCopies caches, the most recently seen ones remain.
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
