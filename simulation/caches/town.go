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

// Times are when things happen: the model's clock.
type Times interface {
	Time() Micros
	At(at Micros, f func())
}

// Plan is the size of a town.
type Plan struct {
	Caches, Parents int
	Load            float64 // transfers that visits ask for at one time, all caches together
	Work            Micros  // the sending time of one object
	Keep            int     // objects that a cache keeps
	Fresh           Micros
}

const (
	cacheRoom   = 1.7 // times Load that caches can send together
	parentRoom  = 0.7
	originRoom  = 0.35
	queueMost   = 200 * clock.Millisecond // of work that waits; beyond it a machine turns away
	thinking    = 2 * clock.Millisecond
	wayCache    = clock.Millisecond
	wayParent   = 6 * clock.Millisecond
	wayOrigin   = 20 * clock.Millisecond
	purgeMost   = 2 * clock.Second // until a machine has carried a purge out
	parentKeeps = 4                // times what a cache keeps

	// Least, Ramp, Multiple and Window say what a machine that has just started can bear.
	Least    = 0.1
	Ramp     = 15 * clock.Second
	Multiple = 2.0
	Window   = 1500 * clock.Millisecond
)

// copied is a copy of an object.
type copied struct {
	born, used Micros
	rank       int
}

// fill is one under way.
type fill struct {
	wait []func(copied, routing.CacheStatus)
}

// Machine is a cache, a parent or the origin.
type Machine struct {
	Listed routing.Endpoint // Started by the town's own time; 0: long ago

	town  *Town
	rate  float64 // transfers at one time
	most  int     // objects kept
	kept  map[int]copied
	fills map[int]*fill
	busy  Micros // until when work is in hand
	boot  int    // starts
	asked []Micros
	Fell  bool // asked for more than a cold one bears: it would have fallen over
}

// Town is all of them.
type Town struct {
	Machines []*Machine // by decide.CacheID: caches, parents, the origin
	Fills    int        // that reached a parent, or the origin straight
	Fetches  int        // that reached the origin
	Refused  int        // visits and fills turned away
	Fallen   int        // cold machines that were asked for too much, once each start

	plan   Plan
	times  Times
	chance random.Source
	purged map[int]Micros
}

// New makes a town whose machines have run for long and keep nothing yet.
func New(times Times, seed uint32, plan Plan) *Town {
	t := &Town{plan: plan, times: times, chance: random.Source{Seed: seed}, purged: map[int]Micros{}}
	add := func(tier routing.Tier, n int, room float64, keep int) {
		for range n {
			id := routing.EndpointID(len(t.Machines))
			zone := routing.ZoneID(1)
			if tier != routing.Edge {
				zone = 0
			}
			t.Machines = append(t.Machines, &Machine{town: t, rate: room * plan.Load / float64(n), most: keep, kept: map[int]copied{},
				fills: map[int]*fill{}, Listed: routing.Endpoint{ID: id, NameHash: hash.Combine(uint64(id), 0x746f776e), Tier: tier, Zone: zone, Weight: 1}})
		}
	}
	add(routing.Edge, plan.Caches, cacheRoom, plan.Keep)
	add(routing.Parent, plan.Parents, parentRoom, plan.Keep*parentKeeps)
	add(routing.Origin, 1, originRoom, 0)
	return t
}

// Purge has all machines drop copies of an object that are older, each in its own time.
func (t *Town) Purge(object int) {
	at := t.times.Time()
	t.purged[object] = at
	for _, m := range t.Machines {
		t.times.At(at+Micros(t.chance.Float64()*float64(purgeMost)), func() {
			if x, ok := m.kept[object]; ok && x.born <= at {
				delete(m.kept, object)
			}
		})
	}
}

// Restart has a share of the caches start anew; one seed picks the same ones whatever else happens.
func (t *Town) Restart(share float64) {
	order := make([]int, t.plan.Caches)
	for i := range order {
		order[i] = i
	}
	picks := random.Source{Seed: t.chance.Seed ^ 0x72657374}
	picks.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, i := range order[:int(share*float64(len(order))+0.5)] {
		t.Machines[i].Restart()
	}
}

// Restart has a machine start anew with nothing kept: it is cold.
func (m *Machine) Restart() {
	m.boot++
	m.kept, m.fills, m.busy, m.asked, m.Fell = map[int]copied{}, map[int]*fill{}, 0, nil, false
	m.Listed.Started = m.town.times.Time()
}

// part is the share of its rate that a machine can give now.
func (m *Machine) part() float64 {
	if m.Listed.Started == 0 {
		return 1
	}
	return min(Least+(1-Least)*float64(m.town.times.Time()-m.Listed.Started)/float64(Ramp), 1)
}

// bears counts a request, and notes when a cold machine was asked for more than the rule on cold starts allows it.
func (m *Machine) bears() {
	part := m.part()
	if part >= 1 || m.Listed.Tier == routing.Origin {
		return
	}
	now := m.town.times.Time()
	m.asked = append(m.asked, now)
	for len(m.asked) > 0 && now-m.asked[0] > Window {
		m.asked = m.asked[1:]
	}
	n := Multiple * part * m.rate * float64(Window) / float64(m.town.plan.Work)
	if float64(len(m.asked)) > n+3*math.Sqrt(n)+3 && !m.Fell {
		m.Fell = true
		m.town.Fallen++
	}
}

// take takes a piece of work in; not ok: it is turned away.
func (m *Machine) take(work Micros) (done Micros, ok bool) {
	now := m.town.times.Time()
	m.busy = max(m.busy, now)
	if m.busy-now > queueMost {
		m.town.Refused++
		return 0, false
	}
	m.busy += Micros(float64(work) / (m.rate * m.part()))
	return max(m.busy, now+work) + thinking, true
}

// good gives a copy that a machine keeps, if it is young enough. It sets its rank anew; 0 leaves it.
func (m *Machine) good(object int, oldest Micros, rank int) (copied, bool) {
	x, ok := m.kept[object]
	now := m.town.times.Time()
	if !ok || oldest > 0 && now-x.born > oldest {
		return x, false
	}
	x.used = now
	if rank > 0 {
		x.rank = rank
	}
	m.kept[object] = x
	return x, true
}

// keep keeps a copy. Where there is no room the lowest rank goes first, in a rank what was used longest ago; a new copy pushes out its own
// rank or lower.
func (m *Machine) keep(object int, x copied, rank int) {
	if at, purged := m.town.purged[object]; purged && x.born <= at && m.town.times.Time()-at > purgeMost {
		return
	}
	x.used, x.rank = m.town.times.Time(), rank
	m.kept[object] = x
	if len(m.kept) <= m.most {
		return
	}
	out, last := -1, copied{rank: math.MaxInt, used: math.MaxInt64}
	for o, y := range m.kept { // the least of all: the order does not matter
		if cmp.Or(cmp.Compare(y.rank, last.rank), cmp.Compare(y.used, last.used), cmp.Compare(o, out)) < 0 {
			out, last = o, y
		}
	}
	delete(m.kept, out)
}

// Answer is how a trip ended.
type Answer struct {
	Ending routing.Outcome
	Trace  routing.CacheStatus
	Born   Micros // of the copy
}

// Trip has a visit's trip go to a cache. Answer is called once, unless the machine starts anew meanwhile: then it ends as Broken.
func (t *Town) Trip(object int, e routing.ForwardPlan, answer func(Answer)) {
	m := t.Machines[e.Cache]
	boot := m.boot
	reply := func(at Micros, a Answer) {
		t.times.At(at+wayCache, func() {
			if m.boot != boot {
				a = Answer{Ending: routing.ConnectionLost}
			}
			answer(a)
		})
	}
	t.times.At(t.times.Time()+wayCache, func() { m.trip(object, e, reply) })
}

func (m *Machine) trip(object int, e routing.ForwardPlan, reply func(Micros, Answer)) {
	t := m.town
	now := t.times.Time()
	m.bears()
	oldest := e.MaxAge
	if oldest == 0 {
		oldest = t.plan.Fresh
	}
	if x, ok := m.good(object, oldest, e.Rank); ok || m.Listed.Tier == routing.Origin {
		if m.Listed.Tier == routing.Origin {
			t.Fetches++
			x.born = now
		}
		done, ok := m.take(t.plan.Work)
		if !ok {
			reply(now, Answer{Ending: routing.Rejected})
			return
		}
		trace := routing.Hit
		if t.plan.Fresh > 0 && now-x.born > t.plan.Fresh {
			trace = routing.Stale
		}
		reply(done, Answer{routing.Succeeded, trace, x.born})
		return
	}
	if e.Source == e.Cache || e.Source == routing.NoEndpoint {
		reply(now+thinking, Answer{Ending: routing.CacheMiss})
		return
	}
	m.filled(object, oldest, e, func(x copied, trace routing.CacheStatus) {
		now := t.times.Time()
		if !trace.IsFill() && trace != routing.JoinedFill {
			end := routing.Failed
			if trace == routing.SourceMiss {
				end = routing.CacheMiss
			}
			reply(now, Answer{end, trace, 0})
			return
		}
		done, ok := m.take(t.plan.Work)
		if !ok {
			reply(now, Answer{Ending: routing.Rejected})
			return
		}
		reply(done, Answer{routing.Succeeded, trace, x.born})
	})
}

// filled has an object fetched from a source, by one fill for all who ask meanwhile.
func (m *Machine) filled(object int, oldest Micros, e routing.ForwardPlan, then func(copied, routing.CacheStatus)) {
	t := m.town
	if f := m.fills[object]; f != nil && e.JoinFill {
		f.wait = append(f.wait, then)
		return
	}
	f := &fill{}
	m.fills[object] = f
	boot := m.boot
	end := func(at Micros, x copied, trace routing.CacheStatus) {
		t.times.At(at, func() {
			if m.boot == boot {
				if m.fills[object] == f {
					delete(m.fills, object)
				}
				if trace.IsFill() && e.Rank > 0 {
					m.keep(object, x, e.Rank)
				}
			}
			then(x, trace)
			if trace.IsFill() {
				trace = routing.JoinedFill
			}
			for _, w := range f.wait {
				w(x, trace)
			}
		})
	}
	src := t.Machines[e.Source]
	t.times.At(t.times.Time()+wayParent, func() { src.give(object, oldest, e.OnlyIfCached, end) })
}

// give gives a copy to a machine that fills.
func (m *Machine) give(object int, oldest Micros, heldOnly bool, end func(Micros, copied, routing.CacheStatus)) {
	t := m.town
	now := t.times.Time()
	if m.Listed.Tier != routing.Edge {
		t.Fills++
	}
	m.bears()
	x, ok := m.good(object, oldest, 0)
	switch {
	case m.Listed.Tier == routing.Origin:
		t.fetch(func(at Micros, born Micros, ok bool) {
			if !ok {
				end(at, copied{}, routing.SourceRejected)
				return
			}
			end(at, copied{born: born}, routing.FilledFromOrigin)
		})
	case ok:
		done, ok := m.take(t.plan.Work / 2) // fills go at twice the pace
		if !ok {
			end(now+wayParent, copied{}, routing.SourceRejected)
			return
		}
		end(done+wayParent, x, routing.Filled)
	case heldOnly || m.Listed.Tier == routing.Edge:
		end(now+wayParent, copied{}, routing.SourceMiss)
	default:
		if f := m.fills[object]; f != nil {
			f.wait = append(f.wait, func(x copied, trace routing.CacheStatus) { end(t.times.Time()+wayParent, x, trace) })
			return
		}
		f := &fill{}
		m.fills[object] = f
		boot := m.boot
		t.fetch(func(at Micros, born Micros, ok bool) {
			t.times.At(at, func() {
				x, trace := copied{born: born}, routing.FilledFromOrigin
				if !ok {
					trace = routing.OriginFailed
				} else if m.boot == boot {
					m.keep(object, x, 1)
				}
				if m.boot == boot {
					delete(m.fills, object)
				}
				end(t.times.Time()+wayParent, x, trace)
				for _, w := range f.wait {
					w(x, trace)
				}
			})
		})
	}
}

// fetch asks the origin.
func (t *Town) fetch(then func(at, born Micros, ok bool)) {
	o := t.Machines[len(t.Machines)-1]
	t.times.At(t.times.Time()+wayOrigin, func() {
		t.Fetches++
		done, ok := o.take(t.plan.Work / 2)
		if !ok {
			done = t.times.Time()
		}
		then(done+wayOrigin, t.times.Time(), ok)
	})
}
