package routing

import (
	"math"

	"threadrun/internal/lru"
)

// objectStats holds the statistics of one part of an object.
type objectStats struct {
	gap             float64 // smoothed time between requests, in seconds; 0: unknown
	purgeRate       float64 // smoothed purges per second
	lastRequest     Micros
	lastFill        Micros
	purgesSinceFill int // 0 or 1: several purges between two fills count as one
	everPurged      bool
	holder          EndpointID // cache last known to hold a copy, or NoEndpoint
	holderStarted   Micros     // start time of the holder when it was recorded
	cachedAt        Micros     // when the copy was filled or created, or first known to be at the holder
	keepTime        Micros     // how long the copy is worth keeping
	sendTime        float64    // in seconds, learned if clients give no size; 0: unknown
}

// objectTable holds the statistics of the most recently requested objects.
type objectTable struct {
	entries       *lru.Map[objectStats]
	missShare     float64 // smoothed share of expected hits that were misses
	alpha         float64 // price of keeping a copy: see recordExpectedHit
	largestGap    float64 // largest gap of all entries, in seconds; recomputed about once per second
	typicalLogGap float64 // smoothed logarithm of the gap, one sample per request
}

// clearHolder removes an endpoint as the holder of copies. It is called when the endpoint's id is reused.
func (t *objectTable) clearHolder(id EndpointID) {
	t.entries.Each(func(stats *objectStats) {
		if stats.holder == id {
			stats.holder = NoEndpoint
		}
	})
}

// recomputeLargestGap accounts for entries that were removed from the table, and for gaps that have become
// smaller.
func (t *objectTable) recomputeLargestGap() {
	t.largestGap = 0
	t.entries.Each(func(stats *objectStats) { t.largestGap = math.Max(t.largestGap, stats.gap) })
}
