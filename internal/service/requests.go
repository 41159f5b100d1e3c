package service

import (
	"strconv"

	"threadrun/internal/attempts"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// request is what is held of one visit.
type request struct {
	visit  routing.VisitID
	client frontend.Client
	no     uint64
	ask    frontend.Request // Body and Have point into bytes
	bytes  []byte
	came   routing.Micros
	out    []attempt
}

// attempt is a trip under way.
type attempt struct {
	trip          routing.TripNo
	cache, source routing.CacheID
	sent          routing.Micros
	over          bool
}

// ended is a trip's end on its way to the module.
type ended struct {
	visit routing.VisitID
	rep   routing.Report
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
func (s *Service) charge(v routing.VisitID) *request {
	if at := v.Place(); at < len(s.charges) && s.charges[at].visit == v && s.charges[at].client != nil {
		return &s.charges[at]
	}
	return nil
}

// underWay finds a trip that has not ended, with its visit; o is nil if there is none.
func (s *Service) underWay(t attempts.AttemptID) (c *request, o *attempt) {
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

func asked(ask *frontend.Request) routing.Asked {
	return routing.Asked{UseCase: ask.Case, Object: routing.ObjectID(hash.Name(string(ask.Object[:]))), Part: ask.Part,
		Group: ask.Group, Tenant: ask.Tenant, Left: ask.Patience, KB: ask.KB, Behind: ask.Behind, Gap: ask.Gap}
}

// Arrive takes a visit from a front. One that bears the mark of a visit in hand is not taken: caches know visits by
// their marks, and would take the one for the other.
func (s *Service) Arrive(from frontend.Client, no uint64, ask *frontend.Request) bool {
	if _, open := s.marks[ask.Mark]; open {
		return false
	}
	p := &s.parked
	*p = request{client: from, no: no, ask: *ask}
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
func (s *Service) Left(v routing.VisitID) {
	c := s.charge(v)
	if c == nil {
		return
	}
	s.enter()
	s.trace.answer(c, "left", s.now)
	s.recallFrom(c, routing.Withdrawn, func(*attempt) bool { return true }) // no attempt begins once its client has gone
	s.router.Left(v)
}

// recall takes back the attempts that have not begun and that a test names. The module hears that they never ran, and decides anew.
func (s *Service) recall(test func(*request, *attempt) bool) {
	if s.pool.Held() == 0 {
		return
	}
	for i := range s.charges {
		if c := &s.charges[i]; c.client != nil {
			s.recallFrom(c, routing.NeverSent, func(o *attempt) bool { return test(c, o) })
		}
	}
}

// recallFrom does so for the attempts of one request.
func (s *Service) recallFrom(c *request, end routing.Ending, test func(*attempt) bool) {
	for i := range c.out {
		o := &c.out[i]
		if !o.over && test(o) && s.pool.Recall(attempts.AttemptID{Visit: c.visit, Trip: o.trip}, o.cache) {
			s.close(c, o, end, nil)
		}
	}
}

// Taken ties what has arrived to the module's name for it.
func (s *Service) Taken(v routing.VisitID) {
	for len(s.charges) <= v.Place() {
		s.charges = append(s.charges, request{})
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
func (s *Service) Send(v routing.VisitID, e routing.Errand) {
	c := s.charge(v)
	n := routing.TripNo(len(c.out))
	c.out = append(c.out, attempt{trip: n, cache: e.Cache, source: e.Source, sent: s.now})
	get := attempts.Request{Case: s.names.UseCases[c.ask.Case], Object: c.ask.Object, ID: c.ask.Mark, Part: c.ask.Part,
		Budget: e.Until - s.now, Rank: e.Rank, Oldest: e.Oldest, Join: e.Join, Held: e.HeldOnly, Renew: e.Renew,
		Have: c.ask.Have, Key: c.ask.Key}
	if e.Source != routing.NoCache && e.Source != e.Cache {
		get.Source = s.listed[e.Source].name
	}
	t := attempts.AttemptID{Visit: v, Trip: n}
	if s.Stalled() && c.client.Gone(c.no) { // no attempt begins for a client that has gone, told or not
		s.gone = append(s.gone, v)
		s.close(c, &c.out[n], routing.Withdrawn, nil)
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
func (s *Service) Withdraw(v routing.VisitID, n routing.TripNo) {
	t := attempts.AttemptID{Visit: v, Trip: n}
	if c, o := s.underWay(t); o != nil {
		s.pool.Cancel(t, o.cache)
		s.close(c, o, routing.Withdrawn, nil)
	}
}

// close notes the end of a trip for the module; e is what the pool told of it, if that told.
func (s *Service) close(c *request, o *attempt, end routing.Ending, e *attempts.End) {
	o.over = true
	now := s.clock()
	rep := routing.Report{Trip: o.trip, Ending: end, Over: end == routing.Delivered, Elapsed: max(now-o.sent, 0)}
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
	if end == routing.Delivered {
		c.client.Answer(c.no, e.Field("etag"), e.Body, e.Word == attempts.Unchanged)
	}
	s.close(c, o, end, e)
	if end == routing.Delivered {
		s.trace.answer(c, "delivered", s.clock())
	}
}

// Defer answers that trying again is harmless, and when to where the site lets clients be told.
func (s *Service) Defer(v routing.VisitID, comeback routing.Micros) {
	if c := s.charge(v); c != nil {
		c.client.Reject(c.no, comeback)
		s.trace.answer(c, "deferred", s.now)
	}
}

// Scrap answers that the visit failed.
func (s *Service) Scrap(v routing.VisitID) {
	if c := s.charge(v); c != nil {
		s.scrap(c)
	}
}

func (s *Service) scrap(c *request) {
	c.client.Fail(c.no)
	s.trace.answer(c, "scrapped", s.now)
}

// Release forgets a visit.
func (s *Service) Release(v routing.VisitID) {
	if c := s.charge(v); c != nil {
		delete(s.marks, c.ask.Mark)
		s.engine.Done(c.bytes)
		*c = request{out: c.out[:0]}
	}
}
