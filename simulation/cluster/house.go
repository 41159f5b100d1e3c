package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

// Service has each router's visits decided by the module itself, and sent to a town of caches, parents and an origin: what the fleet
// knows is then measured by what clients get.
type Service struct {
	Town   *caches.Town
	Rates  [2]float64 // fills at parents and fetches at the origin, a second, before the trouble
	Peaks  [2]int     // the most in one second after it
	Stale  int        // answers with a copy from before a purge that was told its router over half a second before the trip set out
	Twice  int        // second answers to one visit
	Served [2]Share   // before the trouble, and after it
	Full   *hdrhistogram.Histogram
	Never  int // groups of restarted routers that did not come to full service

	l      *Load
	houses map[*Node]*house
	last   [2]int
	quiet  int // seconds that Rates rest on
	groups []*group
	base   Share
}

// Share counts visits.
type Share struct{ Visits, InTime, Hits, Delivered int }

func (s *Share) add(o Share) {
	s.Visits, s.InTime, s.Hits, s.Delivered = s.Visits+o.Visits, s.InTime+o.InTime, s.Hits+o.Hits, s.Delivered+o.Delivered
}

// group is some routers that started at about one time. Few visits say little: they are taken together.
type group struct {
	began   Micros
	members int
	now     Share
	recent  []Share
	short   int // the last second whose share was short, from the start
	seconds int
}

const (
	groupLeast  = 20   // routers
	visitsLeast = 2500 // taken together: of fewer the shares move by more than what is looked for
	pace        = 3000.0
	objectKB    = 100.0
	sending     = Micros(33_333) // of one object at that pace
	patience    = 2 * clock.Second
	expected    = 300 * clock.Millisecond
	freshFor    = 40 * clock.Second
	keepsShare  = 0.6 // of the objects that fall to a cache, one-off ones left out
	quietFrom   = 20 * clock.Second
	purgeGrace  = 500 * clock.Millisecond
	routersEach = 3 // of them to a cache
)

// Serve has visits decided and served. It is called after Visits and before the first event.
func (l *Load) Serve(seed uint32) *Service {
	c := l.c
	cacheCount := max(len(c.Nodes)/routersEach, 4)
	s := &Service{l: l, houses: map[*Node]*house{}, Full: hdrhistogram.New(1, 600_000, 3)}
	s.Town = caches.New(c, seed, caches.Plan{Caches: cacheCount, Parents: max(cacheCount/6, 2), Fresh: freshFor,
		Load: float64(l.perS*len(c.Nodes)) * objectKB / pace, Work: sending,
		Keep: max(int(keepsShare*float64(len(l.sums))/float64(cacheCount)), 8)})
	l.Service = s
	return s
}

// Time is the model's.
func (c *Crowd) Time() Micros { return c.Now }

// house is a router's module in one of its lives.
type house struct {
	s      *Service
	n      *Node
	start  int
	r      *routing.Router
	visits map[routing.RequestID]*inHand
	at     *inHand // that is arriving
	told   map[int]told
	shared fleetsize.Size
	group  *group
}

// told is the last purge of an object that a router has been told of, and when.
type told struct{ purge, when Micros }

type inHand struct {
	object   int
	came     Micros
	trips    int
	open     map[routing.AttemptNumber]bool
	answered bool
}

// started gives a router that has started a module that knows nothing.
func (s *Service) started(n *Node) {
	c := s.l.c
	h := &house{s: s, n: n, start: n.start, visits: map[routing.RequestID]*inHand{}, told: map[int]told{}}
	s.houses[n] = h
	edge := routing.SlowStart{InitialShare: caches.Least, OverloadMultiple: caches.Multiple, Ramp: caches.Ramp, OverloadWindow: caches.Window}
	link := float64(s.l.perS*len(c.Nodes)) * objectKB * 0.6
	h.r = routing.New(routing.Config{
		Seed:     uint32(c.chance.Uint64()),
		Executor: h,
		Classes: []routing.Class{{Effect: routing.Idempotent, LatencyObjective: expected, SendTimeFactor: 2, PriorityWeight: 1,
			FreshnessLifetime: freshFor, Grace: freshFor / 4}},
		Locality: routing.Locality{Zone: 1, ZoneRouters: len(c.Nodes), FleetRouters: len(c.Nodes), StreamKBPerSecond: pace,
			LinkKBPerSecond: []float64{0, link}},
		Permissions:     routing.Permissions{MaxAttempts: 6, SiblingFills: true, JoinFills: true, FullCacheStatus: true},
		EdgeSlowStart:   edge,
		ParentSlowStart: edge,
		PurgeTiming:     routing.PurgeTiming{Propagation: 6 * clock.Second},
	})
	h.r.EnableSiblingLookup(c.Parts.Location)
	s.list(h)
	if s.l.trouble {
		if g := len(s.groups); g == 0 || s.groups[g-1].members >= groupLeast {
			s.groups = append(s.groups, &group{began: c.Now})
		}
		h.group = s.groups[len(s.groups)-1]
		h.group.members++
	}
}

// enter sets the module's clock before each call; nil: this life is over.
func (h *house) enter() *routing.Router {
	if !h.n.Up || h.n.start != h.start {
		return nil
	}
	h.r.SetTime(h.n.clock())
	return h.r
}

// list tells a router of all machines.
func (s *Service) list(h *house) {
	r := h.enter()
	if r == nil {
		return
	}
	var all []routing.Endpoint
	for _, m := range s.Town.Machines {
		x := m.Listed
		if x.Started > 0 {
			x.Started += h.n.skew
		}
		all = append(all, x)
	}
	r.UpdateEndpoints(all, true)
}

// Restart has a share of the caches start anew with nothing kept; routers are told a second later.
func (s *Service) Restart(share float64) {
	c := s.l.c
	s.Town.Restart(share)
	c.At(c.Now+clock.Second, func() {
		for _, n := range c.Nodes {
			if h := s.houses[n]; h != nil {
				s.list(h)
			}
		}
	})
}

func objectID(o int) routing.ObjectID { return routing.ObjectID(key(o)) }

// visit hands a visit to a router's module.
func (s *Service) visit(n *Node, o int) {
	h := s.houses[n]
	r := h.enter()
	if r == nil {
		return
	}
	if p := n.Tier.FleetSize; p != nil && p.Size() != h.shared {
		h.shared = p.Size()
		r.SetFleetSize(h.shared.Zone, h.shared.Fleet)
	}
	h.at = &inHand{object: o, came: s.l.c.Now, open: map[routing.AttemptNumber]bool{}}
	s.count(h, Share{Visits: 1})
	r.RequestArrived(routing.Request{Object: objectID(o), Remaining: patience, SizeKB: objectKB, Tenant: -1, Group: routing.GroupID(int(groupOf(o)))})
}

func (s *Service) count(h *house, x Share) {
	at := 0
	if s.l.trouble {
		at = 1
	}
	s.Served[at].add(x)
	if s.l.c.Now > quietFrom && !s.l.trouble {
		s.base.add(x)
	}
	if h.group != nil {
		h.group.now.add(x)
	}
}

// purged tells a router's module of a purge that was a while ago.
func (s *Service) purged(n *Node, o int, at Micros) {
	if h := s.houses[n]; h != nil {
		if r := h.enter(); r != nil {
			r.Purged(objectID(o), 0, false, s.l.c.Now-at)
			h.told[o] = told{at, s.l.c.Now}
		}
	}
}

// recalled teaches a router's module a row that it has got back.
func (s *Service) recalled(n *Node, o int, row directory.Record) {
	if h := s.houses[n]; h != nil {
		if r := h.enter(); r != nil {
			r.LearnGap(hash.Combine(uint64(objectID(o)), 0), row.RequestGap)
		}
	}
}

// held teaches it where a copy lies.
func (s *Service) held(n *Node, k shardmap.Key, copies []directory.Copy) {
	h := s.houses[n]
	if h == nil {
		return
	}
	if r := h.enter(); r != nil {
		for _, x := range copies {
			for _, m := range s.Town.Machines {
				if runOf(m) == x.Cache {
					r.CopyLocated(hash.Combine(uint64(k), 0), m.Listed.ID, x.CreatedAt)
				}
			}
		}
	}
}

// runOf names a machine in one of its starts.
func runOf(m *caches.Machine) directory.CacheInstance {
	return directory.CacheInstance(hash.Combine(m.Listed.NameHash, uint64(m.Listed.Started)))
}

// Accepted ties what arrives to the module's name for it.
func (h *house) Accepted(v routing.RequestID) { h.visits[v] = h.at }

// Forward has a trip go to a machine, and ends it at its limit.
func (h *house) Forward(v routing.RequestID, e routing.ForwardPlan) {
	c := h.s.l.c
	x := h.visits[v]
	no := routing.AttemptNumber(x.trips)
	x.trips++
	x.open[no] = true
	sent := c.Now
	end := func(rep routing.AttemptResult) {
		if !x.open[no] {
			return
		}
		if r := h.enter(); r != nil {
			delete(x.open, no)
			rep.Attempt, rep.Elapsed, rep.RequestDone = no, c.Now-sent, rep.Outcome == routing.Succeeded
			r.AttemptEnded(v, rep)
		}
	}
	c.At(e.Deadline-h.n.skew, func() { end(routing.AttemptResult{Outcome: routing.TimedOut}) })
	h.s.Town.Trip(x.object, e, func(a caches.Answer) {
		rep := routing.AttemptResult{Outcome: a.Ending, CacheStatus: a.Trace}
		if a.Ending == routing.Succeeded {
			if !x.open[no] || h.enter() == nil {
				return
			}
			rep.GeneratedAt = a.Born + h.n.skew
			h.delivered(x, &e, a, sent)
		}
		end(rep)
	})
}

// delivered counts an answer.
func (h *house) delivered(x *inHand, e *routing.ForwardPlan, a caches.Answer, sent Micros) {
	s, c := h.s, h.s.l.c
	if x.answered {
		s.Twice++
		return
	}
	x.answered = true
	d := Share{Delivered: 1}
	if c.Now-x.came <= expected+2*sending {
		d.InTime = 1
	}
	if a.Trace == routing.Hit || a.Trace == routing.Stale {
		d.Hits = 1
	}
	s.count(h, d)
	o := x.object
	if p, ok := h.told[o]; ok && sent-p.when > purgeGrace && a.Born <= p.purge {
		s.Stale++
	}
	if rows := h.n.Tier.Directory; rows != nil && o < len(s.l.sums) {
		now := h.n.clock()
		rows.ObserveRequest(now, directory.Record{Key: key(o), SizeKB: uint32(o), Group: groupOf(o),
			Copies: [directory.MaxCopies]directory.Copy{{Cache: runOf(s.Town.Machines[e.Cache]), LastSeen: now, CreatedAt: a.Born + h.n.skew}}})
	}
}

func (h *house) answer(v routing.RequestID) {
	if x := h.visits[v]; x.answered {
		h.s.Twice++
	} else {
		x.answered = true
	}
}

// Reject answers that trying again is harmless.
func (h *house) Reject(v routing.RequestID, _ routing.Micros) { h.answer(v) }

// Fail answers that the visit failed.
func (h *house) Fail(v routing.RequestID) { h.answer(v) }

// Release forgets a visit.
func (h *house) Release(v routing.RequestID) { delete(h.visits, v) }

// SetTimer has the module called at a time.
func (h *house) SetTimer(at routing.Micros) {
	h.s.l.c.At(at-h.n.skew, func() {
		if r := h.enter(); r != nil {
			r.TimerFired()
		}
	})
}

// WatchEndpoints has nothing to do.
func (h *house) WatchEndpoints() {}

// LocateCopies has others asked.
func (h *house) LocateCopies(v routing.RequestID) {
	h.n.Tier.Locate(h.n.clock(), key(h.visits[v].object))
}

// SuggestRefresh has nothing to do: nothing is renewed ahead.
func (h *house) SuggestRefresh(routing.RequestID, routing.Micros, routing.Micros) {}

// Log has nothing to do.
func (h *house) Log(string, ...routing.Field) {}

// each closes a second.
func (s *Service) each() {
	now := [2]int{s.Town.Fills, s.Town.Fetches}
	for i := range now {
		d := now[i] - s.last[i]
		if s.l.trouble {
			s.Peaks[i] = max(s.Peaks[i], d)
		} else if s.l.c.Now > quietFrom {
			s.Rates[i] += (float64(d) - s.Rates[i]) / float64(s.quiet+1)
		}
	}
	if s.l.c.Now > quietFrom {
		s.quiet++
	}
	s.last = now
	for _, g := range s.groups {
		g.seconds++
		g.recent = append(g.recent, g.now)
		for len(g.recent) > 1+visitsLeast/(g.members*s.l.perS) {
			g.recent = g.recent[1:]
		}
		g.now = Share{}
		var x Share
		for _, y := range g.recent {
			x.add(y)
		}
		if short(x.InTime, x.Visits, s.base.InTime, s.base.Visits) || short(x.Hits, x.Visits, s.base.Hits, s.base.Visits) {
			g.short = g.seconds
		}
	}
}

// short tells whether a share is below 0.95 of what it was.
func short(n, of, was, wasOf int) bool {
	return float64(n)*float64(wasOf) < fullShare*float64(was)*float64(of)
}

// Close times all groups: full service is the first second from which on the shares stay.
func (s *Service) Close() {
	for _, g := range s.groups {
		if g.short >= g.seconds {
			s.Never++
			continue
		}
		_ = s.Full.RecordValue(int64(g.short+1) * int64(clock.Second/clock.Millisecond))
	}
	s.groups = nil
}

// InTime is the share of visits in time, and Hit that of hits.
func (s *Share) InTimeShare() float64 { return float64(s.InTime) / float64(max(s.Visits, 1)) }

// HitShare is the share of visits that were hits.
func (s *Share) HitShare() float64 { return float64(s.Hits) / float64(max(s.Visits, 1)) }
