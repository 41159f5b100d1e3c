package directory

import (
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// CacheInstance names one start of a cache; a later start of the same cache has another name.
	CacheInstance uint64
	// Group numbers a group of objects that are purged together; 0: none.
	Group uint64
)

// MaxCopies is how many caches a record may name.
const MaxCopies = 3

// UnknownGap stands for the request gap of an object that was seen once. It is the greatest gap there is.
const UnknownGap = 60 * clock.Minute

// Copy says that a cache was seen to hold an object. Times are on the clock of the router that has the record.
type Copy struct {
	Cache     CacheInstance
	LastSeen  Micros
	CreatedAt Micros // when the copy came from the origin; a later purge makes it invalid
}

// Record is what is known of one object. A router starts its own estimate of the request gap from it
// (algorithm 1 of the paper, see routing/freshness.go).
type Record struct {
	Key              shardmap.Key // the object's hash
	Group            Group
	Class            uint8
	SizeKB           uint32
	RequestGap       Micros // between requests at one router, from the rate of all routers that report
	UpdatesPerSecond float32
	LastRequest      Micros
	UpdatedAt        Micros // of the newest report in it
	Reports          uint8  // merged into it; in a router's own report, the requests since its last one. 255 at most
	Copies           [MaxCopies]Copy
}

// addCopy enters a copy: the newer sight of one cache wins, then the copies that were seen last stay.
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
