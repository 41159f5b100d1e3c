// Package service runs the decision module on sockets: it keeps the bytes of visits, carries out the module's
// errands, holds trips to their time limits and tells the module how they ended. It decides nothing.
package service

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/background/ageing"
	"threadrun/decide"
	"threadrun/internal/attempts"
	"threadrun/internal/bulletin"
	"threadrun/internal/deployment"
	"threadrun/internal/front"
	"threadrun/internal/mix"
	"threadrun/internal/sockets"
	"threadrun/internal/upkeep"
)

// Service is one router. All its methods but Run are called under the engine's lock.
type Service struct {
	engine *sockets.Engine
	log    *logrus.Logger
	router *decide.Router
	names  *deployment.Names
	pool   *attempts.Pool
	poll   *bulletin.Poll

	ground  sockets.Ground
	start   time.Time
	wall    time.Time     // at the start
	off     time.Duration // of the system's clock since, as logged last
	beat    time.Time     // the last one
	now     decide.Micros
	charges []charge // by the visit's place
	arrived *charge  // the visit that is arriving
	parked  charge
	ends    []ended // told to the module at the end of the callback, never from within its own calls
	told    int     // of them
	alarms  alarms
	turns   sockets.Turns           // the one timer
	armed   decide.Micros           // what it waits for
	behind  decide.Micros           // by so much its last call came late
	gone    []decide.VisitID        // whose clients were found to have gone; told to the module at the end of the callback
	marks   map[front.Mark]struct{} // of the visits in hand
	caches  map[string]decide.CacheID
	listed  []cache // by CacheID
	list    []decide.Listed
	front   func(now time.Time) // upkeep of the front
	upkeep  *upkeep.Upkeep      // background work; nil: none
	trace   *trace              // of each visit; nil: none
	leaving bool
	planted drains // see plant.go
}

// cache is what sockets need of one.
type cache struct {
	name    string
	boot    int64         // Unix ms, as listed
	started decide.Micros // the same on our clock
	removed bool
	changed bool // by the last list: it drains, is gone or has started anew
	mark    uint64
	tier    decide.Tier
	ours    bool // of this branch, or a parent
}

// run names a cache in one of its starts: what it held before is gone.
func (c *cache) run() uint64 { return mix.Pair(c.mark, uint64(c.boot)) }

// charge is what is held of one visit.
type charge struct {
	visit  decide.VisitID
	client front.Client
	no     uint64
	ask    front.Ask // Body and Have point into bytes
	bytes  []byte
	came   decide.Micros
	out    []out
}

// out is a trip under way.
type out struct {
	trip          decide.TripNo
	cache, source decide.CacheID
	sent          decide.Micros
	over          bool
}

// ended is a trip's end on its way to the module.
type ended struct {
	visit decide.VisitID
	rep   decide.Report
}

const (
	beatEvery = 20 * time.Millisecond

	stallLeast = 25_000                 // microseconds without a turn, from which on a client may have left in what was not read
	setLeast   = 100 * time.Millisecond // a clock that is slewed moves less between two lines than is worth one
)

// New makes a service that is not yet running; Attach is to follow.
func New(e *sockets.Engine, log *logrus.Logger) *Service {
	g := e.Ground()
	s := &Service{engine: e, log: log, ground: g, start: g.Now(), wall: g.Wall(), beat: g.Now(), caches: map[string]decide.CacheID{}, marks: map[front.Mark]struct{}{}}
	e.After = s.settle
	return s
}

// Attach gives the service its parts; front is the upkeep of its front.
func (s *Service) Attach(r *decide.Router, n *deployment.Names, y *attempts.Pool, p *bulletin.Poll,
	front func(now time.Time)) {
	s.router, s.names, s.pool, s.poll, s.front = r, n, y, p, front
	s.enter()
}

// clock is the Unix time at the start and the time that has run since: it never goes backwards and never stands.
func (s *Service) clock() decide.Micros {
	return decide.Micros(s.wall.UnixMicro() + s.ground.Now().Sub(s.start).Microseconds())
}

// own turns a Unix time in milliseconds into one on our clock. Should the system's have been set since the start, either may be the wrong one:
// the later of the two times counts, as a purge or a cold start taken for older than it is breaks a rule, and the other way round does not.
func (s *Service) own(unixMS int64) decide.Micros {
	now, at := s.clock(), decide.Micros(unixMS*1000)
	return min(max(now-decide.Micros(s.ground.Wall().UnixMicro())+at, at), now)
}

// clocks logs it when the system's clock was set. What others tell in its time is taken for the later of two from then on: see own.
func (s *Service) clocks(now time.Time) {
	off := s.ground.Wall().Sub(s.wall) - now.Sub(s.start)
	if by := off - s.off; by > setLeast || by < -setLeast {
		s.off = off
		s.log.WithFields(logrus.Fields{"by_ms": by.Milliseconds(), "since_start_ms": off.Milliseconds()}).Warn("clock: the system's clock was set")
	}
}

// enter begins every call of the module: the clock first.
func (s *Service) enter() {
	s.now = s.clock()
	s.router.Clock(s.now)
}

// Run starts the one timer: for the module's wakes, the trips' limits and the upkeep of connections.
func (s *Service) Run() {
	turns := s.ground.Turns(s.turn, func() {})
	s.engine.Do(func() { s.turns = turns })
	turns.Ring() // for an alarm that was set meanwhile
}

// turn is one call of the timer; it gives the span until the next.
func (s *Service) turn() (span time.Duration) {
	s.engine.Do(func() {
		s.behind = 0
		s.behind = s.unread()
		s.ring()
	})
	if plant == plantDrain {
		s.engine.Do(s.plantedDrains)
	}
	s.engine.Do(func() {
		if now := s.ground.Now(); now.Sub(s.beat) >= beatEvery {
			s.beat = now
			s.clocks(now)
			s.engine.Beat(now)
			s.pool.Beat(now)
			s.poll.Beat(now)
			s.front(now)
			if s.upkeep != nil {
				s.upkeep.Beat(now)
			}
		}
	})
	s.engine.Do(func() {
		next := s.clock() + decide.Micros(beatEvery.Microseconds())
		if len(s.alarms) > 0 {
			next = min(next, s.alarms[0].at)
		}
		s.armed = next
		span = max(time.Duration(next-s.clock())*time.Microsecond, 0)
	})
	return span
}

// unread is how long what is read now may have lain unread at most, as far as it can be known: while the timer got no turn, nothing
// else did.
func (s *Service) unread() decide.Micros {
	if s.armed == 0 {
		return 0
	}
	return max(s.behind, s.clock()-s.armed, 0)
}

// Stalled tells whether the router has just had no turn for long.
func (s *Service) Stalled() bool { return s.unread() >= stallLeast }

// ring does what is due.
func (s *Service) ring() {
	s.enter()
	woke := false
	for len(s.alarms) > 0 && s.alarms[0].at <= s.now {
		a := s.alarms.pop()
		if a.wake {
			woke = true
			continue
		}
		s.late(a.trip)
	}
	if woke {
		s.router.Woke()
	}
}

func (s *Service) alarm(a alarm) {
	s.alarms.push(a)
	if a.at < s.armed {
		s.armed = a.at
		if s.turns != nil {
			s.turns.Ring()
		}
	}
}

// settle tells the module of the ends that have come together, and of those that this brings.
func (s *Service) settle() {
	for s.told < len(s.ends) || len(s.gone) > 0 {
		if n := len(s.gone); n > 0 {
			v := s.gone[n-1]
			s.gone = s.gone[:n-1]
			s.Left(v)
			continue
		}
		e := s.ends[s.told]
		s.told++
		s.tell(e)
	}
	s.ends, s.told = s.ends[:0], 0
}

// tell reports one end. Should the module panic over it, that visit is answered and no other suffers.
func (s *Service) tell(e ended) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).Error("service: a trip's end")
			if c := s.charge(e.visit); c != nil {
				s.scrap(c)
			}
		}
	}()
	s.enter()
	s.router.TripEnded(e.visit, e.rep)
}

// charge finds what is held of a visit, or nil.
func (s *Service) charge(v decide.VisitID) *charge {
	if at := v.Place(); at < len(s.charges) && s.charges[at].visit == v && s.charges[at].client != nil {
		return &s.charges[at]
	}
	return nil
}

// underWay finds a trip that has not ended, with its visit; o is nil if there is none.
func (s *Service) underWay(t attempts.AttemptID) (c *charge, o *out) {
	if c = s.charge(t.Visit); c == nil {
		return nil, nil
	}
	for i := range c.out {
		if c.out[i].trip == t.Trip && !c.out[i].over {
			return c, &c.out[i]
		}
	}
	return c, nil
}

// Ready tells whether clients may come: the first list is in, and the end is not near.
func (s *Service) Ready() bool { return len(s.listed) > 0 && !s.leaving }

// SetLeaving tells that the router is to end soon.
func (s *Service) SetLeaving() { s.leaving = true }

// UseCase finds a use case by its name.
func (s *Service) UseCase(name []byte) (decide.UseCaseID, bool) { return s.names.UseCase(name) }

// Tenant finds a tenant by its name.
func (s *Service) Tenant(name []byte) decide.TenantID { return s.names.Tenant(name) }

func asked(ask *front.Ask) decide.Asked {
	return decide.Asked{UseCase: ask.Case, Object: decide.ObjectID(mix.Name(string(ask.Object[:]))), Part: ask.Part,
		Group: ask.Group, Tenant: ask.Tenant, Left: ask.Patience, KB: ask.KB, Behind: ask.Behind, Gap: ask.Gap}
}

// Arrive takes a visit from a front. One that bears the mark of a visit in hand is not taken: caches know visits by
// their marks, and would take the one for the other.
func (s *Service) Arrive(from front.Client, no uint64, ask *front.Ask) bool {
	if _, open := s.marks[ask.Mark]; open {
		return false
	}
	p := &s.parked
	*p = charge{client: from, no: no, ask: *ask}
	if n := len(ask.Body) + len(ask.Have) + len(ask.Key); n > 0 {
		p.bytes = append(append(append(s.engine.Buffer(n), ask.Body...), ask.Have...), ask.Key...)
		rest := p.bytes[len(ask.Body):]
		p.ask.Body, p.ask.Have, p.ask.Key = p.bytes[:len(ask.Body)], rest[:len(ask.Have)], rest[len(ask.Have):]
	}
	s.arrived = p
	s.enter()
	a := asked(ask)
	if !a.Behind {
		a.Left = max(a.Left-s.unread(), 0)
	}
	s.router.Arrive(a)
	s.arrived = nil
	return true
}

// Left hears that a visit's client has gone.
func (s *Service) Left(v decide.VisitID) {
	c := s.charge(v)
	if c == nil {
		return
	}
	s.enter()
	s.trace.answer(c, "left", s.now)
	s.recallFrom(c, decide.Withdrawn, func(*out) bool { return true }) // no attempt begins once its client has gone
	s.router.Left(v)
}

// recall takes back the attempts that have not begun and that a test names. The module hears that they never ran, and decides anew.
func (s *Service) recall(test func(*charge, *out) bool) {
	if s.pool.Held() == 0 {
		return
	}
	for i := range s.charges {
		if c := &s.charges[i]; c.client != nil {
			s.recallFrom(c, decide.NeverSent, func(o *out) bool { return test(c, o) })
		}
	}
}

// recallFrom does so for the attempts of one request.
func (s *Service) recallFrom(c *charge, end decide.Ending, test func(*out) bool) {
	for i := range c.out {
		o := &c.out[i]
		if !o.over && test(o) && s.pool.Recall(attempts.AttemptID{Visit: c.visit, Trip: o.trip}, o.cache) {
			s.close(c, o, end, nil)
		}
	}
}

// Taken ties what has arrived to the module's name for it.
func (s *Service) Taken(v decide.VisitID) {
	for len(s.charges) <= v.Place() {
		s.charges = append(s.charges, charge{})
	}
	c := &s.charges[v.Place()]
	out := c.out[:0]
	*c = *s.arrived
	c.visit, c.came, c.out = v, s.now, out
	s.marks[c.ask.Mark] = struct{}{}
	c.client.Assigned(c.no, v)
	s.trace.came(c, s.now)
}

// Send carries out an errand.
func (s *Service) Send(v decide.VisitID, e decide.Errand) {
	c := s.charge(v)
	n := decide.TripNo(len(c.out))
	c.out = append(c.out, out{trip: n, cache: e.Cache, source: e.Source, sent: s.now})
	get := attempts.Request{Case: s.names.UseCases[c.ask.Case], Object: c.ask.Object, ID: c.ask.Mark, Part: c.ask.Part,
		Budget: e.Until - s.now, Rank: e.Rank, Oldest: e.Oldest, Join: e.Join, Held: e.HeldOnly, Renew: e.Renew,
		Have: c.ask.Have, Key: c.ask.Key}
	if e.Source != decide.NoCache && e.Source != e.Cache {
		get.Source = s.listed[e.Source].name
	}
	t := attempts.AttemptID{Visit: v, Trip: n}
	if s.Stalled() && c.client.Gone(c.no) { // no attempt begins for a client that has gone, told or not
		s.gone = append(s.gone, v)
		s.close(c, &c.out[n], decide.Withdrawn, nil)
		return
	}
	s.alarm(alarm{at: e.Until, trip: t})
	s.trace.sent(c, n, &e, s.now)
	s.pool.Send(t, e.Cache, &get, c.ask.Body)
}

// late ends a trip at its limit.
func (s *Service) late(t attempts.AttemptID) {
	c, o := s.underWay(t)
	if o == nil {
		return
	}
	s.close(c, o, silence(s.pool.Cancel(t, o.cache)), nil)
}

// Withdraw gives one trip up.
func (s *Service) Withdraw(v decide.VisitID, n decide.TripNo) {
	t := attempts.AttemptID{Visit: v, Trip: n}
	if c, o := s.underWay(t); o != nil {
		s.pool.Cancel(t, o.cache)
		s.close(c, o, decide.Withdrawn, nil)
	}
}

// close notes the end of a trip for the module; e is what the pool told of it, if that told.
func (s *Service) close(c *charge, o *out, end decide.Ending, e *attempts.End) {
	o.over = true
	now := s.clock()
	rep := decide.Report{Trip: o.trip, Ending: end, Over: end == decide.Delivered, Elapsed: max(now-o.sent, 0)}
	if e != nil {
		rep.Trace = noted(e.Field("detail"))
		if rep.Over && s.upkeep != nil {
			if ms, err := strconv.ParseInt(string(e.Field("made")), 10, 64); err == nil {
				rep.Made = s.own(ms)
			}
			s.upkeep.Visited(objectKey(&c.ask), &c.ask, s.listed[o.cache].run(), rep.Made)
		}
	}
	s.trace.ended(c, o, end, rep.Trace, e, now)
	s.ends = append(s.ends, ended{c.visit, rep})
}

// Ended hears from the pool how a trip ended.
func (s *Service) Ended(t attempts.AttemptID, e *attempts.End) {
	c, o := s.underWay(t)
	if o == nil {
		return
	}
	end := ending(e)
	if end == decide.Delivered {
		c.client.Deliver(c.no, e.Field("etag"), e.Body, e.Word == attempts.Unchanged)
	}
	s.close(c, o, end, e)
	if end == decide.Delivered {
		s.trace.answer(c, "delivered", s.clock())
	}
}

// Defer answers that trying again is harmless, and when to where the site lets clients be told.
func (s *Service) Defer(v decide.VisitID, comeback decide.Micros) {
	if c := s.charge(v); c != nil {
		c.client.Defer(c.no, comeback)
		s.trace.answer(c, "deferred", s.now)
	}
}

// Scrap answers that the visit failed.
func (s *Service) Scrap(v decide.VisitID) {
	if c := s.charge(v); c != nil {
		s.scrap(c)
	}
}

func (s *Service) scrap(c *charge) {
	c.client.Scrap(c.no)
	s.trace.answer(c, "scrapped", s.now)
}

// Release forgets a visit.
func (s *Service) Release(v decide.VisitID) {
	if c := s.charge(v); c != nil {
		delete(s.marks, c.ask.Mark)
		s.engine.Done(c.bytes)
		*c = charge{out: c.out[:0]}
	}
}

// Wake arms the timer.
func (s *Service) Wake(at decide.Micros) { s.alarm(alarm{at: at, wake: true}) }

// Follow has nothing to do: the bulletin is always followed.
func (s *Service) Follow() {}

// Seek has others asked who holds a copy.
func (s *Service) Seek(v decide.VisitID) {
	if c := s.charge(v); c != nil && s.upkeep != nil {
		s.upkeep.Seek(objectKey(&c.ask))
	}
}

// objectKey is the object's part as the module and rows name it.
func objectKey(ask *front.Ask) uint64 {
	return mix.Pair(mix.Name(string(ask.Object[:])), uint64(ask.Part))
}

// Ageing passes a copy on that is worth renewing.
func (s *Service) Ageing(v decide.VisitID, until, gap decide.Micros) {
	c := s.charge(v)
	if c == nil || s.upkeep == nil {
		return
	}
	object, err := strconv.ParseUint(string(c.ask.Object[:]), 16, 64)
	if err == nil {
		s.upkeep.Saw(ageing.Copy{UseCase: int(c.ask.Case), Object: object, Part: c.ask.Part, Group: int(c.ask.Group),
			KB: c.ask.KB, Until: until, Gap: gap})
	}
}

// Note logs a change of mode.
func (s *Service) Note(line string) { s.log.Info("decide: " + line) }

// Roster takes a list of caches from the bulletin.
func (s *Service) Roster(whole bool, list []bulletin.Entry) {
	s.list = s.list[:0]
	for i := range s.listed {
		s.listed[i].changed = false
	}
	if whole {
		for i := range s.listed {
			s.listed[i].changed = !s.listed[i].removed
			s.listed[i].removed = true
		}
		for _, x := range list { // before any id of one that stays could go to another
			if id, ok := s.caches[x.Name]; ok {
				s.listed[id].removed, s.listed[id].changed = false, false
			}
		}
	}
	for _, x := range list {
		id, ok := s.caches[x.Name]
		another := false
		if !ok && x.State == bulletin.Removed {
			continue
		} else if !ok {
			id, another = s.number(x.Name)
			s.log.WithFields(logrus.Fields{"cache": id, "uid": x.Name, "endpoint": x.Address, "kind": x.Kind}).
				Info("cache listed")
		}
		c := &s.listed[id]
		anew := another || c.boot != x.Started
		if anew {
			c.started = 0
			if x.Started > 0 {
				c.started = s.own(x.Started)
			}
		}
		c.boot, c.removed = x.Started, x.State == bulletin.Removed
		c.changed = anew || x.State != bulletin.Up
		c.mark, c.tier = mix.Name(x.Name), s.names.Tier(x.Kind)
		c.ours = c.tier != decide.Edge || s.names.Zone(x.Zone) == s.names.Own
		if x.State != bulletin.Removed {
			s.pool.SetAddress(id, x.Address, anew)
		}
		s.list = append(s.list, decide.Listed{ID: id, Mark: c.mark, Tier: c.tier,
			Zone: s.names.Zone(x.Zone), Cell: decide.CellID(x.Cell), Weight: x.Weight,
			Started: c.started, Standing: standings[x.State], Anew: another})
	}
	for id, c := range s.listed {
		if c.removed {
			s.pool.Remove(decide.CacheID(id))
		}
	}
	s.log.WithFields(logrus.Fields{"whole": whole, "lines": len(list)}).Info("list of caches")
	if plant == plantDrain {
		s.planted.hold(s.list)
	}
	s.enter()
	s.router.List(s.list, whole)
	s.recall(func(_ *charge, o *out) bool { return s.changed(o.cache) || s.changed(o.source) })
}

// changed tells whether the list that came last says that a cache is not up, or has started anew.
func (s *Service) changed(id decide.CacheID) bool {
	return id != decide.NoCache && s.listed[id].changed
}

// number gives a new cache its id, if it can that of one that is gone: else a long day's replacements would fill the
// memory, here, in the module and in the pool.
func (s *Service) number(name string) (id decide.CacheID, another bool) {
	for i := range s.listed {
		if c := &s.listed[i]; c.removed && !s.refers(decide.CacheID(i)) {
			delete(s.caches, c.name)
			*c = cache{name: name}
			s.caches[name] = decide.CacheID(i)
			return decide.CacheID(i), true
		}
	}
	s.caches[name] = decide.CacheID(len(s.listed))
	s.listed = append(s.listed, cache{name: name})
	return s.caches[name], false
}

// refers tells whether a visit in hand has been at a cache, or had it as its source, be that trip over or not: the
// module goes by where a visit has been.
func (s *Service) refers(id decide.CacheID) bool {
	for i := range s.charges {
		for _, o := range s.charges[i].out {
			if o.cache == id || o.source == id {
				return true
			}
		}
	}
	return false
}

var standings = [...]decide.Standing{decide.Up, decide.Draining, decide.Gone}

// Recalled takes a purge from the bulletin.
func (s *Service) Recalled(object string, whole bool, group int, issued int64) {
	if plant == plantPurge && s.underWayOf(object) {
		return
	}
	s.enter()
	ago := max(s.now-s.own(issued), 0)
	s.router.Purged(decide.ObjectID(mix.Name(object)), decide.GroupID(group), whole, ago)
	s.recall(func(c *charge, _ *out) bool { // its accepted age was reckoned before the purge
		return whole && c.ask.Group == decide.GroupID(group) || !whole && string(c.ask.Object[:]) == object
	})
	if s.upkeep != nil {
		s.upkeep.Purged(mix.Name(object), group, whole, s.now-ago)
	}
}

// Told hears that a poll of the bulletin was answered.
func (s *Service) Told() {
	if plant == plantDrain {
		s.planted.told(s.clock())
	}
	if s.upkeep != nil {
		s.upkeep.Caught()
	}
}

// Now is the router's clock, for background work.
func (s *Service) Now() decide.Micros { return s.clock() }

// Router is the module, for background work; its clock is set.
func (s *Service) Router() *decide.Router {
	s.enter()
	return s.router
}

// Way tells where background work would go now.
func (s *Service) Way(ask *front.Ask) (decide.Errand, bool) { return s.Router().Way(asked(ask)) }

// Caches lists the caches of this branch, and parents and the origin.
func (s *Service) Caches(f func(id decide.CacheID, mark uint64, tier decide.Tier)) {
	for i := range s.listed {
		if c := &s.listed[i]; !c.removed && c.ours {
			f(decide.CacheID(i), c.mark, c.tier)
		}
	}
}

// Bears finds a cache of this branch by its name in one of its starts; NoCache if it is gone, or has started anew.
func (s *Service) Bears(name uint64) decide.CacheID {
	for i := range s.listed {
		if c := &s.listed[i]; !c.removed && c.ours && c.run() == name {
			return decide.CacheID(i)
		}
	}
	return decide.NoCache
}

// Tier tells what a cache is.
func (s *Service) Tier(id decide.CacheID) decide.Tier { return s.listed[id].tier }

// Probe asks a cache whether it is there.
func (s *Service) Probe(id decide.CacheID, limit time.Duration) uint64 {
	return s.pool.Probe(id, limit)
}

// Probed hears from the pool what a probe showed.
func (s *Service) Probed(no uint64, what attempts.ProbeResult, took time.Duration) {
	if s.upkeep != nil {
		s.upkeep.Probed(no, what != attempts.Unclear, what == attempts.There, took)
	}
}

// Lost hears that the bulletin is out of reach.
func (s *Service) Lost() {
	s.enter()
	s.router.ListLost()
}

// Found hears that the bulletin is back; its events have been told already.
func (s *Service) Found() {}
