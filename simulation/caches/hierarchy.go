package caches

import (
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/random"
	"threadrun/routing"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Clock is the virtual time of a simulation.
type Clock interface {
	Time() Micros
	// At schedules a call of f.
	At(at Micros, f func())
}

// Config is the size of a hierarchy.
type Config struct {
	Caches, Parents   int
	Concurrency       float64 // mean number of concurrent transfers that the load needs
	SendTime          Micros  // of one object
	CacheObjects      int     // that a cache keeps
	FreshnessLifetime Micros  // 0: copies don't become stale
}

// Capacities of the tiers, in concurrent transfers, as multiples of Config.Concurrency.
const (
	cacheCapacity  = 1.7
	parentCapacity = 0.7
	originCapacity = 0.35

	parentObjectsFactor = 4 // objects that a parent keeps, over those that a cache keeps
)

// One-way latencies between a machine and its clients.
const (
	cacheLatency  = clock.Millisecond
	parentLatency = 6 * clock.Millisecond
	originLatency = 20 * clock.Millisecond
)

// purgePropagation is the longest time until a machine has carried out a purge.
const purgePropagation = 2 * clock.Second

// Seeds of independent random values.
const (
	nameSeed    = 0x746f776e
	restartSeed = 0x72657374
)

// Hierarchy is the caches, their parents and the origin.
type Hierarchy struct {
	Machines      []*Machine // by routing.EndpointID: caches, parents, the origin
	Fills         int        // that reached a parent, or the origin directly
	OriginFetches int        // requests that reached the origin
	Rejections    int        // of attempts and fills
	Overloads     int        // of cold machines, at most one per start

	config Config
	clock  Clock
	random random.Source
}

// New returns a hierarchy whose machines are warm and have no copies yet.
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

// Purge makes all machines drop the copies of an object generated up to now, each after a random delay of at most
// purgePropagation.
func (h *Hierarchy) Purge(object int) {
	purgedAt := h.clock.Time()
	for _, m := range h.Machines {
		delay := Micros(h.random.Float64() * float64(purgePropagation))
		h.clock.At(purgedAt+delay, func() { m.drop(object, purgedAt) })
	}
}

// Restart restarts a share of the caches. Which ones depends only on the seed.
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
