package routing

import (
	"hash/crc32"
	"math"

	"threadrun/internal/arena"
	"threadrun/internal/ewma"
	"threadrun/internal/lru"
	"threadrun/internal/ratelimit"
	"threadrun/internal/rendezvous"
)

// Router holds all routing state of one instance and makes its decisions. It is not safe for concurrent use.
type Router struct {
	now      Micros
	executor Executor

	classes     []Class
	tenants     []Tenant
	locality    Locality
	permissions Permissions
	slowStart   [2]SlowStart // indexed by Tier: Edge, Parent
	purgeTiming PurgeTiming

	requests     arena.Arena[request]
	queue        []RequestID        // in the order in which they were queued
	quotaBuckets []ratelimit.Bucket // indexed by TenantID
	objects      objectTable
	purgeTimes   map[uint64]Micros // time of the last purge, by object or group

	endpoints  []endpoint
	zoneCaches []EndpointID
	parents    []EndpointID
	origin     EndpointID
	zoneWeight float64 // sum of the weights of the zone's caches
	// completeZoneWeight is the greatest weight that the zone's warm caches have had together.
	completeZoneWeight float64
	ranking            rendezvous.Ranking[EndpointID]
	nameHash           func(EndpointID) uint64
	watchLost          bool // the subscription to the endpoint list must be renewed

	fetchLimit   limit  // fills that may lead to a fetch from the origin
	linkLimit    limit  // fills that use the zone's link
	lastLimitCut Micros // time of the last cut of any limit by adjustLimit

	classSendTimes []float64 // mean sending time by class, in seconds; 0: unknown

	// Statistics of the warm endpoints of each tier: those that are not in slow start.
	warmLoad         [2]float64 // this router's smoothed load on them per unit of weight, in seconds per second
	tickSendTime     [2]float64 // sending time of the requests answered since the last tick, in seconds
	meanWarmSendTime [2]float64 // mean sending time of an answered request, in seconds

	fastestAttempt   Micros       // shortest time of any attempt
	lateShare        ewma.Average // share of late results: see recordLateness
	lateSuccessShare ewma.Average // share of late results among attempts that succeeded
	lastFill         Micros       // time of the last successful fill from any source
	overloadShare    ewma.Average // share of attempts that were rejected or timed out
	overloaded       bool

	refreshAhead  bool
	siblingLookup bool
	nextTick      Micros // 0 until the first endpoint list
	seed, draws   uint32 // draws is the number of random numbers drawn
}

// New returns a Router. The Router keeps the slices of the configuration, which must not change afterward.
func New(c Config) *Router {
	r := &Router{
		executor:       c.Executor,
		classes:        c.Classes,
		tenants:        c.Tenants,
		locality:       c.Locality,
		permissions:    c.Permissions,
		slowStart:      [2]SlowStart{Edge: c.EdgeSlowStart, Parent: c.ParentSlowStart},
		purgeTiming:    c.PurgeTiming,
		quotaBuckets:   make([]ratelimit.Bucket, len(c.Tenants)),
		objects:        objectTable{entries: lru.New[objectStats](maxObjects)},
		purgeTimes:     map[uint64]Micros{},
		origin:         NoEndpoint,
		classSendTimes: make([]float64, len(c.Classes)),
		fastestAttempt: initialFastestAttempt,
		seed:           c.Seed,
	}
	r.locality.ZoneRouters = max(r.locality.ZoneRouters, 1)
	r.locality.FleetRouters = max(r.locality.FleetRouters, 1)
	r.nameHash = func(id EndpointID) uint64 { return r.endpoints[id].NameHash }
	r.linkLimit = r.newLinkLimit()
	r.fetchLimit = r.newFillLimit()
	return r
}

// SetTime sets the current time. Time must never go back.
func (r *Router) SetTime(now Micros) { r.now = now }

// FleetSize returns how many routers share this router's limits: in its zone, and in all zones.
func (r *Router) FleetSize() (zone, fleet int) {
	return r.locality.ZoneRouters, r.locality.FleetRouters
}

// TimerFired handles a timer set by Executor.SetTimer: it admits queued requests, and updates the
// statistics of warm endpoints at each tick.
func (r *Router) TimerFired() {
	r.admitQueued()
	if r.now < r.nextTick {
		return
	}
	r.scheduleTick()
	r.recordZoneWeight()
	r.updateWarmLoad(Edge, r.zoneCaches)
	r.updateWarmLoad(Parent, r.parents)
	if r.now%second < tickInterval {
		r.maintain()
	}
}

func (r *Router) scheduleTick() {
	r.nextTick = r.now + tickInterval
	r.executor.SetTimer(r.nextTick)
}

// maintain renews a lost subscription, recomputes the largest gap and removes expired purges. TimerFired
// calls it about once per second.
func (r *Router) maintain() {
	if r.watchLost {
		r.watchLost = false
		r.executor.WatchEndpoints()
	}
	r.objects.recomputeLargestGap()
	r.removeExpiredPurges()
}

// random returns a pseudo-random number in [0, 1).
func (r *Router) random() float64 {
	r.draws++
	seed := [8]byte{byte(r.seed >> 24), byte(r.seed >> 16), byte(r.seed >> 8), byte(r.seed),
		byte(r.draws >> 24), byte(r.draws >> 16), byte(r.draws >> 8), byte(r.draws)}
	return float64(crc32.ChecksumIEEE(seed[:])) / (1 << 32)
}

// maxDuration is used in place of an infinite duration.
const maxDuration = 1_000_000_000 * second

func seconds(t Micros) float64 { return t.Seconds() }

// micros converts seconds to Micros; an infinite duration becomes maxDuration.
func micros(s float64) Micros {
	if s > seconds(maxDuration) {
		return maxDuration
	}
	return Micros(math.Round(s * float64(second)))
}

// smooth updates an exponentially smoothed mean with one sample. A mean of 0 has no samples yet, and the
// first sample becomes the first estimate.
func smooth(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}
