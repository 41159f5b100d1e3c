package caches

import (
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/random"
	"threadrun/routing"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Clock provides the virtual time of a simulation.
type Clock interface {
	// Time returns the current time.
	Time() Micros
	// At schedules a call of f at a time that is not in the past.
	At(at Micros, f func())
}

// Config holds the size, capacity and freshness lifetime of a hierarchy.
type Config struct {
	Caches, Parents   int
	Concurrency       float64 // mean number of concurrent transfers that the expected load needs
	SendTime          Micros  // duration of the transfer of one object to a client
	CacheObjects      int     // number of objects that a cache can keep
	FreshnessLifetime Micros  // 0: copies don't become stale
}

// Capacities of the tiers, in concurrent transfers, as multiples of Config.Concurrency.
const (
	cacheCapacity  = 1.7
	parentCapacity = 0.7
	originCapacity = 0.35

	parentObjectsFactor = 4 // number of objects that a parent can keep, as a multiple of Config.CacheObjects
)

// One-way latencies between a machine of a tier and the clients of that machine.
const (
	cacheLatency  = clock.Millisecond
	parentLatency = 6 * clock.Millisecond
	originLatency = 20 * clock.Millisecond
)

// purgePropagation is the maximum time from a purge until a machine has carried it out.
const purgePropagation = 2 * clock.Second

// Seeds that keep the names of machines and the choice of restarted caches independent of other random values.
const (
	nameSeed    = 0x746f776e
	restartSeed = 0x72657374
)

// Hierarchy is a simulated zone of caches with their parents and the origin, and counters of its load.
type Hierarchy struct {
	Machines      []*Machine // by routing.EndpointID: first the caches, then the parents and the origin
	Fills         int        // number of fills requested from a parent, or from the origin directly
	OriginFetches int        // number of requests that reached the origin
	Rejections    int        // number of transfers rejected because a machine's queue was too long
	Overloads     int        // number of overloads of cold machines, at most one per restart

	config Config
	clock  Clock
	random random.Source
}

// New returns a hierarchy whose machines have their full capacity and no copies.
func New(clock Clock, seed uint32, config Config) *Hierarchy {
	h := &Hierarchy{
		config: config,
		clock:  clock,
		random: random.Source{Seed: seed},
	}
	h.addTier(routing.Edge, config.Caches, cacheCapacity, config.CacheObjects)
	h.addTier(routing.Parent, config.Parents, parentCapacity, config.CacheObjects*parentObjectsFactor)
	h.addTier(routing.Origin, 1, originCapacity, 0)
	return h
}

// addTier adds the machines of a tier, which share a capacity given as a multiple of Config.Concurrency. Caches are in
// zone 1, parents and the origin in zone 0.
func (h *Hierarchy) addTier(tier routing.Tier, machines int, capacity float64, maxObjects int) {
	zone := routing.ZoneID(1)
	if tier != routing.Edge {
		zone = 0
	}
	for range machines {
		id := routing.EndpointID(len(h.Machines))
		h.Machines = append(h.Machines, &Machine{
			Endpoint: routing.Endpoint{
				ID:       id,
				NameHash: hash.Combine(uint64(id), nameSeed),
				Tier:     tier,
				Zone:     zone,
				Weight:   1,
			},
			hierarchy:   h,
			concurrency: capacity * h.config.Concurrency / float64(machines),
			maxObjects:  maxObjects,
			copies:      map[int]cachedCopy{},
			fills:       map[int]*fill{},
			purgedAt:    map[int]Micros{},
		})
	}
}

// Purge makes all machines drop the copies of an object created up to now, each after a random delay of at most
// purgePropagation.
func (h *Hierarchy) Purge(object int) {
	purgedAt := h.clock.Time()
	for _, m := range h.Machines {
		delay := Micros(h.random.Float64() * float64(purgePropagation))
		h.clock.At(purgedAt+delay, func() { m.applyPurge(object, purgedAt) })
	}
}

// Restart restarts a share of the caches. The choice of caches depends only on the seed, the share and the number of
// caches.
func (h *Hierarchy) Restart(share float64) {
	order := make([]int, h.config.Caches)
	for i := range order {
		order[i] = i
	}
	source := random.Source{Seed: h.random.Seed ^ restartSeed}
	source.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		h.Machines[i].Restart()
	}
}

func (h *Hierarchy) origin() *Machine { return h.Machines[len(h.Machines)-1] }
