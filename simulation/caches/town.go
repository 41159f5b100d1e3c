// Package town plays caches of one branch, their parents and an origin on virtual time, for models of many routers: copies with their
// age, capacity, cold starts, fills that join, purges that each machine carries out in its own time. It is a stand-in as the public
// protocol page describes these machines; nothing of it decides for a router.
package caches

import (
	"cmp"
	"math"

	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/random"
	"threadrun/routing"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Clock are when things happen: the model's clock.
type Clock interface {
	Time() Micros
	At(at Micros, f func())
}

// Config is the size of a town.
type Config struct {
	Caches, Parents   int
	Concurrency       float64 // transfers that visits ask for at one time, all caches together
	SendTime          Micros  // the sending time of one object
	CacheObjects      int     // objects that a cache keeps
	FreshnessLifetime Micros
}

const (
	cacheCapacity       = 1.7 // times Load that caches can send together
	parentCapacity      = 0.7
	originCapacity      = 0.35
	maxQueue            = 200 * clock.Millisecond // of work that waits; beyond it a machine turns away
	processingTime      = 2 * clock.Millisecond
	cacheLatency        = clock.Millisecond
	parentLatency       = 6 * clock.Millisecond
	originLatency       = 20 * clock.Millisecond
	purgePropagation    = 2 * clock.Second // until a machine has carried a purge out
	parentObjectsFactor = 4                // times what a cache keeps

	// SlowStartInitialShare, Ramp, Multiple and Window say what a machine that has just started can bear.
	SlowStartInitialShare = 0.1
	SlowStartRamp         = 15 * clock.Second
	OverloadMultiple      = 2.0
	OverloadWindow        = 1500 * clock.Millisecond
)

// cachedCopy is a copy of an object.
type cachedCopy struct {
	generatedAt, lastUsed Micros
	rank                  int
}

// fill is one under way.
type fill struct {
	waiters []func(cachedCopy, routing.CacheStatus)
}

// Machine is a cache, a parent or the origin.
type Machine struct {
	Endpoint routing.Endpoint // Started by the town's own time; 0: long ago

	hierarchy    *Hierarchy
	concurrency  float64 // transfers at one time
	maxObjects   int     // objects kept
	copies       map[int]cachedCopy
	fills        map[int]*fill
	busyUntil    Micros // until when work is in hand
	starts       int    // starts
	coldRequests []Micros
	Overloaded   bool // asked for more than a cold one bears: it would have fallen over
}

// Hierarchy is all of them.
type Hierarchy struct {
	Machines      []*Machine // by decide.CacheID: caches, parents, the origin
	Fills         int        // that reached a parent, or the origin straight
	OriginFetches int        // that reached the origin
	Rejections    int        // visits and fills turned away
	Overloads     int        // cold machines that were asked for too much, once each start

	config   Config
	clock    Clock
	random   random.Source
	purgedAt map[int]Micros
}

// New makes a town whose machines have run for long and keep nothing yet.
func New(times Clock, seed uint32, plan Config) *Hierarchy {
	t := &Hierarchy{config: plan, clock: times, random: random.Source{Seed: seed}, purgedAt: map[int]Micros{}}
	add := func(tier routing.Tier, n int, room float64, keep int) {
		for range n {
			id := routing.EndpointID(len(t.Machines))
			zone := routing.ZoneID(1)
			if tier != routing.Edge {
				zone = 0
			}
			t.Machines = append(t.Machines, &Machine{hierarchy: t, concurrency: room * plan.Concurrency / float64(n), maxObjects: keep, copies: map[int]cachedCopy{},
				fills: map[int]*fill{}, Endpoint: routing.Endpoint{ID: id, NameHash: hash.Combine(uint64(id), 0x746f776e), Tier: tier, Zone: zone, Weight: 1}})
		}
	}
	add(routing.Edge, plan.Caches, cacheCapacity, plan.CacheObjects)
	add(routing.Parent, plan.Parents, parentCapacity, plan.CacheObjects*parentObjectsFactor)
	add(routing.Origin, 1, originCapacity, 0)
	return t
}

// Purge has all machines drop copies of an object that are older, each in its own time.
func (t *Hierarchy) Purge(object int) {
	at := t.clock.Time()
	t.purgedAt[object] = at
	for _, m := range t.Machines {
		t.clock.At(at+Micros(t.random.Float64()*float64(purgePropagation)), func() {
			if x, ok := m.copies[object]; ok && x.generatedAt <= at {
				delete(m.copies, object)
			}
		})
	}
}

// Restart has a share of the caches start anew; one seed picks the same ones whatever else happens.
func (t *Hierarchy) Restart(share float64) {
	order := make([]int, t.config.Caches)
	for i := range order {
		order[i] = i
	}
	picks := random.Source{Seed: t.random.Seed ^ 0x72657374}
	picks.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		t.Machines[i].Restart()
	}
}

// Restart has a machine start anew with nothing kept: it is cold.
func (m *Machine) Restart() {
	m.starts++
	m.copies, m.fills, m.busyUntil, m.coldRequests, m.Overloaded = map[int]cachedCopy{}, map[int]*fill{}, 0, nil, false
	m.Endpoint.Started = m.hierarchy.clock.Time()
}

// availableShare is the share of its rate that a machine can give now.
func (m *Machine) availableShare() float64 {
	if m.Endpoint.Started == 0 {
		return 1
	}
	return min(SlowStartInitialShare+(1-SlowStartInitialShare)*float64(m.hierarchy.clock.Time()-m.Endpoint.Started)/float64(SlowStartRamp), 1)
}

// countRequest counts a request, and notes when a cold machine was asked for more than the rule on cold starts allows it.
func (m *Machine) countRequest() {
	part := m.availableShare()
	if part >= 1 || m.Endpoint.Tier == routing.Origin {
		return
	}
	now := m.hierarchy.clock.Time()
	m.coldRequests = append(m.coldRequests, now)
	for len(m.coldRequests) > 0 && now-m.coldRequests[0] > OverloadWindow {
		m.coldRequests = m.coldRequests[1:]
	}
	n := OverloadMultiple * part * m.concurrency * float64(OverloadWindow) / float64(m.hierarchy.config.SendTime)
	if float64(len(m.coldRequests)) > n+3*math.Sqrt(n)+3 && !m.Overloaded {
		m.Overloaded = true
		m.hierarchy.Overloads++
	}
}

// send takes a piece of work in; not ok: it is turned away.
func (m *Machine) send(work Micros) (done Micros, ok bool) {
	now := m.hierarchy.clock.Time()
	m.busyUntil = max(m.busyUntil, now)
	if m.busyUntil-now > maxQueue {
		m.hierarchy.Rejections++
		return 0, false
	}
	m.busyUntil += Micros(float64(work) / (m.concurrency * m.availableShare()))
	return max(m.busyUntil, now+work) + processingTime, true
}

// lookup gives a copy that a machine keeps, if it is young enough. It sets its rank anew; 0 leaves it.
func (m *Machine) lookup(object int, oldest Micros, rank int) (cachedCopy, bool) {
	x, ok := m.copies[object]
	now := m.hierarchy.clock.Time()
	if !ok || oldest > 0 && now-x.generatedAt > oldest {
		return x, false
	}
	x.lastUsed = now
	if rank > 0 {
		x.rank = rank
	}
	m.copies[object] = x
	return x, true
}

// store keeps a copy. Where there is no room the lowest rank goes first, in a rank what was used longest ago; a new copy pushes out its own
// rank or lower.
func (m *Machine) store(object int, x cachedCopy, rank int) {
	if at, purged := m.hierarchy.purgedAt[object]; purged && x.generatedAt <= at && m.hierarchy.clock.Time()-at > purgePropagation {
		return
	}
	x.lastUsed, x.rank = m.hierarchy.clock.Time(), rank
	m.copies[object] = x
	if len(m.copies) <= m.maxObjects {
		return
	}
	out, last := -1, cachedCopy{rank: math.MaxInt, lastUsed: math.MaxInt64}
	for o, y := range m.copies { // the least of all: the order does not matter
		if cmp.Or(cmp.Compare(y.rank, last.rank), cmp.Compare(y.lastUsed, last.lastUsed), cmp.Compare(o, out)) < 0 {
			out, last = o, y
		}
	}
	delete(m.copies, out)
}

// Answer is how a trip ended.
type Answer struct {
	Outcome     routing.Outcome
	CacheStatus routing.CacheStatus
	GeneratedAt Micros // of the copy
}

// Attempt has a visit's trip go to a cache. Answer is called once, unless the machine starts anew meanwhile: then it ends as Broken.
func (t *Hierarchy) Attempt(object int, e routing.ForwardPlan, answer func(Answer)) {
	m := t.Machines[e.Cache]
	boot := m.starts
	reply := func(at Micros, a Answer) {
		t.clock.At(at+cacheLatency, func() {
			if m.starts != boot {
				a = Answer{Outcome: routing.ConnectionLost}
			}
			answer(a)
		})
	}
	t.clock.At(t.clock.Time()+cacheLatency, func() { m.serve(object, e, reply) })
}

func (m *Machine) serve(object int, e routing.ForwardPlan, reply func(Micros, Answer)) {
	t := m.hierarchy
	now := t.clock.Time()
	m.countRequest()
	oldest := e.MaxAge
	if oldest == 0 {
		oldest = t.config.FreshnessLifetime
	}
	if x, ok := m.lookup(object, oldest, e.Rank); ok || m.Endpoint.Tier == routing.Origin {
		if m.Endpoint.Tier == routing.Origin {
			t.OriginFetches++
			x.generatedAt = now
		}
		done, ok := m.send(t.config.SendTime)
		if !ok {
			reply(now, Answer{Outcome: routing.Rejected})
			return
		}
		trace := routing.Hit
		if t.config.FreshnessLifetime > 0 && now-x.generatedAt > t.config.FreshnessLifetime {
			trace = routing.Stale
		}
		reply(done, Answer{routing.Succeeded, trace, x.generatedAt})
		return
	}
	if e.Source == e.Cache || e.Source == routing.NoEndpoint {
		reply(now+processingTime, Answer{Outcome: routing.CacheMiss})
		return
	}
	m.fillFrom(object, oldest, e, func(x cachedCopy, trace routing.CacheStatus) {
		now := t.clock.Time()
		if !trace.IsFill() && trace != routing.JoinedFill {
			end := routing.Failed
			if trace == routing.SourceMiss {
				end = routing.CacheMiss
			}
			reply(now, Answer{end, trace, 0})
			return
		}
		done, ok := m.send(t.config.SendTime)
		if !ok {
			reply(now, Answer{Outcome: routing.Rejected})
			return
		}
		reply(done, Answer{routing.Succeeded, trace, x.generatedAt})
	})
}

// fillFrom has an object fetched from a source, by one fill for all who ask meanwhile.
func (m *Machine) fillFrom(object int, oldest Micros, e routing.ForwardPlan, then func(cachedCopy, routing.CacheStatus)) {
	t := m.hierarchy
	if f := m.fills[object]; f != nil && e.JoinFill {
		f.waiters = append(f.waiters, then)
		return
	}
	f := &fill{}
	m.fills[object] = f
	boot := m.starts
	end := func(at Micros, x cachedCopy, trace routing.CacheStatus) {
		t.clock.At(at, func() {
			if m.starts == boot {
				if m.fills[object] == f {
					delete(m.fills, object)
				}
				if trace.IsFill() && e.Rank > 0 {
					m.store(object, x, e.Rank)
				}
			}
			then(x, trace)
			if trace.IsFill() {
				trace = routing.JoinedFill
			}
			for _, w := range f.waiters {
				w(x, trace)
			}
		})
	}
	src := t.Machines[e.Source]
	t.clock.At(t.clock.Time()+parentLatency, func() { src.sourceFill(object, oldest, e.OnlyIfCached, end) })
}

// sourceFill gives a copy to a machine that fills.
func (m *Machine) sourceFill(object int, oldest Micros, heldOnly bool, end func(Micros, cachedCopy, routing.CacheStatus)) {
	t := m.hierarchy
	now := t.clock.Time()
	if m.Endpoint.Tier != routing.Edge {
		t.Fills++
	}
	m.countRequest()
	x, ok := m.lookup(object, oldest, 0)
	switch {
	case m.Endpoint.Tier == routing.Origin:
		t.fetchFromOrigin(func(at Micros, born Micros, ok bool) {
			if !ok {
				end(at, cachedCopy{}, routing.SourceRejected)
				return
			}
			end(at, cachedCopy{generatedAt: born}, routing.FilledFromOrigin)
		})
	case ok:
		done, ok := m.send(t.config.SendTime / 2) // fills go at twice the pace
		if !ok {
			end(now+parentLatency, cachedCopy{}, routing.SourceRejected)
			return
		}
		end(done+parentLatency, x, routing.Filled)
	case heldOnly || m.Endpoint.Tier == routing.Edge:
		end(now+parentLatency, cachedCopy{}, routing.SourceMiss)
	default:
		if f := m.fills[object]; f != nil {
			f.waiters = append(f.waiters, func(x cachedCopy, trace routing.CacheStatus) { end(t.clock.Time()+parentLatency, x, trace) })
			return
		}
		f := &fill{}
		m.fills[object] = f
		boot := m.starts
		t.fetchFromOrigin(func(at Micros, born Micros, ok bool) {
			t.clock.At(at, func() {
				x, trace := cachedCopy{generatedAt: born}, routing.FilledFromOrigin
				if !ok {
					trace = routing.OriginFailed
				} else if m.starts == boot {
					m.store(object, x, 1)
				}
				if m.starts == boot {
					delete(m.fills, object)
				}
				end(t.clock.Time()+parentLatency, x, trace)
				for _, w := range f.waiters {
					w(x, trace)
				}
			})
		})
	}
}

// fetchFromOrigin asks the origin.
func (t *Hierarchy) fetchFromOrigin(then func(at, born Micros, ok bool)) {
	o := t.Machines[len(t.Machines)-1]
	t.clock.At(t.clock.Time()+originLatency, func() {
		t.OriginFetches++
		done, ok := o.send(t.config.SendTime / 2)
		if !ok {
			done = t.clock.Time()
		}
		then(done+originLatency, t.clock.Time(), ok)
	})
}
