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
	// At schedules a call.
	At(at Micros, f func())
}

// Config is the size of a hierarchy.
type Config struct {
	Caches, Parents   int
	Concurrency       float64 // transfers that requests need at one time, of all caches together
	SendTime          Micros  // of one object
	CacheObjects      int     // that a cache keeps
	FreshnessLifetime Micros  // 0: copies don't become stale
}

// Capacities are in transfers at one time, as multiples of Config.Concurrency, of all machines of a tier together.
const (
	cacheCapacity  = 1.7
	parentCapacity = 0.7
	originCapacity = 0.35

	parentObjectsFactor = 4 // times what a cache keeps
)

// The latencies are one way, between a machine and the one that asks it.
const (
	cacheLatency  = clock.Millisecond
	parentLatency = 6 * clock.Millisecond
	originLatency = 20 * clock.Millisecond
)

// purgePropagation is the longest until a machine has carried out a purge.
const purgePropagation = 2 * clock.Second

// Seeds of values that must not depend on one another.
const (
	nameSeed    = 0x746f776e
	restartSeed = 0x72657374
)

// Hierarchy is the caches, their parents and the origin.
type Hierarchy struct {
	Machines      []*Machine // by routing.EndpointID: caches, parents, the origin
	Fills         int        // that reached a parent, or the origin directly
	OriginFetches int
	Rejections    int // of attempts and fills
	Overloads     int // of cold machines, at most one for each start

	config   Config
	clock    Clock
	random   random.Source
	purgedAt map[int]Micros // by object
}

// New makes a hierarchy whose machines are warm and keep no copies yet.
func New(clock Clock, seed uint32, config Config) *Hierarchy {
	h := &Hierarchy{
		config:   config,
		clock:    clock,
		random:   random.Source{Seed: seed},
		purgedAt: map[int]Micros{},
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
		})
	}
}

// Purge has all machines drop their copies of an object up to now, each in its own time.
func (h *Hierarchy) Purge(object int) {
	purgedAt := h.clock.Time()
	h.purgedAt[object] = purgedAt
	for _, m := range h.Machines {
		delay := Micros(h.random.Float64() * float64(purgePropagation))
		h.clock.At(purgedAt+delay, func() { m.drop(object, purgedAt) })
	}
}

// Restart has a share of the caches restart. The seed alone decides which, whatever else has happened.
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
