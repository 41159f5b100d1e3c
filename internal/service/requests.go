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
	visit  routing.RequestID
	client frontend.Client
	no     uint64
	ask    frontend.Request // Body and Have point into bytes
	bytes  []byte
	came   routing.Micros
	out    []attempt
}

// attempt is a trip under way.
type attempt struct {
	trip          routing.AttemptNumber
	cache, source routing.EndpointID
	sent          routing.Micros
	over          bool
}

// ended is a trip's end on its way to the module.
type ended struct {
	visit routing.RequestID
	rep   routing.AttemptResult
}

// settle tells the module of the ends that have come together, and of those that this brings.
func (s *Service) settle() {
	for s.told < len(s.ends) || len(s.gone) > 0 {
		if n := len(s.gone); n > 0 {
			v := s.gone[n-1]
			s.gone = s.gone[:n-1]
			s.ClientLeft(v)
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
	s.router.AttemptEnded(e.visit, e.rep)
}

// charge finds what is held of a visit, or nil.
func (s *Service) charge(v routing.RequestID) *request {
	if at := v.Index(); at < len(s.charges) && s.charges[at].visit == v && s.charges[at].client != nil {
		return &s.charges[at]
	}
	return nil
}

// underWay finds a trip that has not ended, with its visit; o is nil if there is none.
func (s *Service) underWay(t attempts.AttemptID) (c *request, o *attempt) {
	if c = s.charge(t.Request); c == nil {
		return nil, nil
	}
	for i := range c.out {
		if c.out[i].trip == t.Attempt && !c.out[i].over {
			return c, &c.out[i]
		}
	}
	return c, nil
}

func asked(ask *frontend.Request) routing.Request {
	return routing.Request{Class: ask.Class, Object: routing.ObjectID(hash.String(string(ask.Object[:]))), Part: ask.Part,
		Group: ask.Group, Tenant: ask.Tenant, Remaining: ask.Timeout, SizeKB: ask.SizeKB, Background: ask.Background, Gap: ask.RequestGap}
}

// Arrive takes a visit from a front. One that bears the mark of a visit in hand is not taken: caches know visits by
// their marks, and would take the one for the other.
func (s *Service) Arrive(from frontend.Client, no uint64, ask *frontend.Request) bool {
	if _, open := s.marks[ask.TraceID]; open {
		return false
	}
	p := &s.parked
	*p = request{client: from, no: no, ask: *ask}
	if n := len(ask.Body) + len(ask.CachedVersion) + len(ask.IdempotencyKey); n > 0 {
		p.bytes = append(append(append(s.engine.GetBuffer(n), ask.Body...), ask.CachedVersion...), ask.IdempotencyKey...)
		rest := p.bytes[len(ask.Body):]
		p.ask.Body, p.ask.CachedVersion, p.ask.IdempotencyKey = p.bytes[:len(ask.Body)], rest[:len(ask.CachedVersion)], rest[len(ask.CachedVersion):]
	}
	s.arrived = p
	s.enter()
	a := asked(ask)
	if !a.Background {
		a.Remaining = max(a.Remaining-s.unread(), 0)
	}
	s.router.RequestArrived(a)
	s.arrived = nil
	return true
}

// ClientLeft hears that a visit's client has gone.
func (s *Service) ClientLeft(v routing.RequestID) {
	c := s.charge(v)
	if c == nil {
		return
	}
	s.enter()
	s.trace.answer(c, "left", s.now)
	s.recallFrom(c, routing.Canceled, func(*attempt) bool { return true }) // no attempt begins once its client has gone
	s.router.ClientLeft(v)
}

// recall takes back the attempts that have not begun and that a test names. The module hears that they never ran, and decides anew.
func (s *Service) recall(test func(*request, *attempt) bool) {
	if s.pool.Queued() == 0 {
		return
	}
	for i := range s.charges {
		if c := &s.charges[i]; c.client != nil {
			s.recallFrom(c, routing.NotSent, func(o *attempt) bool { return test(c, o) })
		}
	}
}

// recallFrom does so for the attempts of one request.
func (s *Service) recallFrom(c *request, end routing.Outcome, test func(*attempt) bool) {
	for i := range c.out {
		o := &c.out[i]
		if !o.over && test(o) && s.pool.Withdraw(attempts.AttemptID{Request: c.visit, Attempt: o.trip}, o.cache) {
			s.close(c, o, end, nil)
		}
	}
}

// Accepted ties what has arrived to the module's name for it.
func (s *Service) Accepted(v routing.RequestID) {
	for len(s.charges) <= v.Index() {
		s.charges = append(s.charges, request{})
	}
	c := &s.charges[v.Index()]
	out := c.out[:0]
	*c = *s.arrived
	c.visit, c.came, c.out = v, s.now, out
	s.marks[c.ask.TraceID] = struct{}{}
	c.client.Assigned(c.no, v)
	s.trace.came(c, s.now)
}

// Forward carries out an errand.
func (s *Service) Forward(v routing.RequestID, e routing.ForwardPlan) {
	c := s.charge(v)
	n := routing.AttemptNumber(len(c.out))
	c.out = append(c.out, attempt{trip: n, cache: e.Cache, source: e.Source, sent: s.now})
	get := attempts.Request{Class: s.names.ClassNames[c.ask.Class], Object: c.ask.Object, ID: c.ask.TraceID, Part: c.ask.Part,
		Budget: e.Deadline - s.now, Rank: e.Rank, MaxAge: e.MaxAge, JoinFill: e.JoinFill, OnlyIfCached: e.OnlyIfCached, StaleWhileRevalidate: e.StaleWhileRevalidate,
		CachedVersion: c.ask.CachedVersion, IdempotencyKey: c.ask.IdempotencyKey}
	if e.Source != routing.NoEndpoint && e.Source != e.Cache {
		get.Source = s.listed[e.Source].name
	}
	t := attempts.AttemptID{Request: v, Attempt: n}
	if s.Stalled() && c.client.Canceled(c.no) { // no attempt begins for a client that has gone, told or not
		s.gone = append(s.gone, v)
		s.close(c, &c.out[n], routing.Canceled, nil)
		return
	}
	s.alarm(alarm{at: e.Deadline, trip: t})
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

// close notes the end of a trip for the module; e is what the pool told of it, if that told.
func (s *Service) close(c *request, o *attempt, end routing.Outcome, e *attempts.Result) {
	o.over = true
	now := s.clock()
	rep := routing.AttemptResult{Attempt: o.trip, Outcome: end, RequestDone: end == routing.Succeeded, Elapsed: max(now-o.sent, 0)}
	if e != nil {
		rep.CacheStatus = noted(e.Field("detail"))
		if rep.RequestDone && s.upkeep != nil {
			if ms, err := strconv.ParseInt(string(e.Field("made")), 10, 64); err == nil {
				rep.GeneratedAt = s.own(ms)
			}
			s.upkeep.RequestAnswered(objectKey(&c.ask), &c.ask, s.listed[o.cache].run(), rep.GeneratedAt)
		}
	}
	s.trace.ended(c, o, end, rep.CacheStatus, e, now)
	s.ends = append(s.ends, ended{c.visit, rep})
}

// AttemptEnded hears from the pool how a trip ended.
func (s *Service) AttemptEnded(t attempts.AttemptID, e *attempts.Result) {
	c, o := s.underWay(t)
	if o == nil {
		return
	}
	end := ending(e)
	if end == routing.Succeeded {
		c.client.Answer(c.no, e.Field("etag"), e.Body, e.Status == attempts.NotModified)
	}
	s.close(c, o, end, e)
	if end == routing.Succeeded {
		s.trace.answer(c, "delivered", s.clock())
	}
}

// Reject answers that trying again is harmless, and when to where the site lets clients be told.
func (s *Service) Reject(v routing.RequestID, comeback routing.Micros) {
	if c := s.charge(v); c != nil {
		c.client.Reject(c.no, comeback)
		s.trace.answer(c, "deferred", s.now)
	}
}

// Fail answers that the visit failed.
func (s *Service) Fail(v routing.RequestID) {
	if c := s.charge(v); c != nil {
		s.scrap(c)
	}
}

func (s *Service) scrap(c *request) {
	c.client.Fail(c.no)
	s.trace.answer(c, "scrapped", s.now)
}

// Release forgets a visit.
func (s *Service) Release(v routing.RequestID) {
	if c := s.charge(v); c != nil {
		delete(s.marks, c.ask.TraceID)
		s.engine.PutBuffer(c.bytes)
		*c = request{out: c.out[:0]}
	}
}
