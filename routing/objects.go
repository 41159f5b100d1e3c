package routing

import (
	"math"

	"threadrun/internal/lru"
)

// objectStats is what is learned of one part of an object.
type objectStats struct {
	gap              float64 // smoothed seconds between requests; 0: unknown
	purgeRate        float64 // smoothed purges a second
	lastRequest      Micros
	lastFetch        Micros
	purgesSinceFetch int
	everPurged       bool
	holder           EndpointID // where a copy was last seen, or NoEndpoint
	holderStarted    Micros     // the holder's start at that time
	cachedAt         Micros
	keepTime         Micros  // how long the copy is worth keeping
	sendTime         float64 // in seconds, where clients give no size; 0: unknown
}

// objectTable holds the statistics of the objects requested last.
type objectTable struct {
	entries       *lru.Map[objectStats]
	missShare     float64 // smoothed share of copies that were missing within their keep time
	alpha         float64 // price of keeping a copy: see recordExpectedHit
	largestGap    float64 // in seconds
	typicalLogGap float64 // smoothed logarithm of the gap, over requests
}

// forgetHolder drops what was learned of the copies at an endpoint that is gone.
func (t *objectTable) forgetHolder(id EndpointID) {
	t.entries.Each(func(stats *objectStats) {
		if stats.holder == id {
			stats.holder = NoEndpoint
		}
	})
}

func (t *objectTable) refreshLargestGap() {
	t.largestGap = 0
	t.entries.Each(func(stats *objectStats) { t.largestGap = math.Max(t.largestGap, stats.gap) })
}
