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
	id        routing.RequestID
	client    frontend.Client
	number    uint64
	params    frontend.Request // Body and Have point into bytes
	buffer    []byte
	arrivedAt routing.Micros
	attempts  []attempt
}

// attempt is a trip under way.
type attempt struct {
	number           routing.AttemptNumber
	endpoint, source routing.EndpointID
	sentAt           routing.Micros
	ended            bool
}

// endedAttempt is a trip's end on its way to the module.
type endedAttempt struct {
	request routing.RequestID
	result  routing.AttemptResult
}

// deliverResults tells the module of the ends that have come together, and of those that this brings.
func (s *proxy) deliverResults() {
	for s.delivered < len(s.results) || len(s.clientsLeft) > 0 {
		if n := len(s.clientsLeft); n > 0 {
			v := s.clientsLeft[n-1]
			s.clientsLeft = s.clientsLeft[:n-1]
			s.ClientLeft(v)
			continue
		}
		e := s.results[s.delivered]
		s.delivered++
		s.deliverResult(e)
	}
	s.results, s.delivered = s.results[:0], 0
}

// deliverResult reports one end. Should the module panic over it, that visit is answered and no other suffers.
func (s *proxy) deliverResult(e endedAttempt) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).Error("service: a trip's end")
			if c := s.request(e.request); c != nil {
				s.fail(c)
			}
		}
	}()
	s.setRouterTime()
	s.router.AttemptEnded(e.request, e.result)
}

// request finds what is held of a visit, or nil.
func (s *proxy) request(v routing.RequestID) *request {
	if at := v.Index(); at < len(s.requests) && s.requests[at].id == v && s.requests[at].client != nil {
		return &s.requests[at]
	}
	return nil
}

// openAttempt finds a trip that has not ended, with its visit; o is nil if there is none.
func (s *proxy) openAttempt(t attempts.AttemptID) (c *request, o *attempt) {
	if c = s.request(t.Request); c == nil {
		return nil, nil
	}
	for i := range c.attempts {
		if c.attempts[i].number == t.Attempt && !c.attempts[i].ended {
			return c, &c.attempts[i]
		}
	}
	return c, nil
}

func routingRequest(ask *frontend.Request) routing.Request {
	return routing.Request{Class: ask.Class, Object: routing.ObjectID(hash.String(string(ask.Object[:]))), Part: ask.Part,
		Group: ask.Group, Tenant: ask.Tenant, Remaining: ask.Timeout, SizeKB: ask.SizeKB, Background: ask.Background, Gap: ask.RequestGap}
}

// Arrive takes a visit from a front. One that bears the mark of a visit in hand is not taken: caches know visits by
// their marks, and would take the one for the other.
func (s *proxy) Arrive(from frontend.Client, no uint64, ask *frontend.Request) bool {
	if _, open := s.openTraceIDs[ask.TraceID]; open {
		return false
	}
	p := &s.arriving
	*p = request{client: from, number: no, params: *ask}
	if n := len(ask.Body) + len(ask.CachedVersion) + len(ask.IdempotencyKey); n > 0 {
		p.buffer = append(append(append(s.engine.GetBuffer(n), ask.Body...), ask.CachedVersion...), ask.IdempotencyKey...)
		rest := p.buffer[len(ask.Body):]
		p.params.Body, p.params.CachedVersion, p.params.IdempotencyKey = p.buffer[:len(ask.Body)], rest[:len(ask.CachedVersion)], rest[len(ask.CachedVersion):]
	}
	s.arrived = p
	s.setRouterTime()
	a := routingRequest(ask)
	if !a.Background {
		a.Remaining = max(a.Remaining-s.maxUnreadAge(), 0)
	}
	s.router.RequestArrived(a)
	s.arrived = nil
	return true
}

// ClientLeft hears that a visit's client has gone.
func (s *proxy) ClientLeft(v routing.RequestID) {
	c := s.request(v)
	if c == nil {
		return
	}
	s.setRouterTime()
	s.requestLog.answered(c, "left", s.now)
	s.withdrawFrom(c, routing.Canceled, func(*attempt) bool { return true }) // no attempt begins once its client has gone
	s.router.ClientLeft(v)
}

// withdrawQueued takes back the attempts that have not begun and that a test names. The module hears that they never ran, and decides anew.
func (s *proxy) withdrawQueued(test func(*request, *attempt) bool) {
	if s.pool.Queued() == 0 {
		return
	}
	for i := range s.requests {
		if c := &s.requests[i]; c.client != nil {
			s.withdrawFrom(c, routing.NotSent, func(o *attempt) bool { return test(c, o) })
		}
	}
}

// withdrawFrom does so for the attempts of one request.
func (s *proxy) withdrawFrom(c *request, end routing.Outcome, test func(*attempt) bool) {
	for i := range c.attempts {
		o := &c.attempts[i]
		if !o.ended && test(o) && s.pool.Withdraw(attempts.AttemptID{Request: c.id, Attempt: o.number}, o.endpoint) {
			s.finishAttempt(c, o, end, nil)
		}
	}
}

// Accepted ties what has arrived to the module's name for it.
func (s *proxy) Accepted(v routing.RequestID) {
	for len(s.requests) <= v.Index() {
		s.requests = append(s.requests, request{})
	}
	c := &s.requests[v.Index()]
	out := c.attempts[:0]
	*c = *s.arrived
	c.id, c.arrivedAt, c.attempts = v, s.now, out
	s.openTraceIDs[c.params.TraceID] = struct{}{}
	c.client.Assigned(c.number, v)
	s.requestLog.arrived(c, s.now)
}

// Forward carries out an errand.
func (s *proxy) Forward(v routing.RequestID, e routing.ForwardPlan) {
	c := s.request(v)
	n := routing.AttemptNumber(len(c.attempts))
	c.attempts = append(c.attempts, attempt{number: n, endpoint: e.Cache, source: e.Source, sentAt: s.now})
	get := attempts.Request{Class: s.names.ClassNames[c.params.Class], Object: c.params.Object, ID: c.params.TraceID, Part: c.params.Part,
		Budget: e.Deadline - s.now, Rank: e.Rank, MaxAge: e.MaxAge, JoinFill: e.JoinFill, OnlyIfCached: e.OnlyIfCached, StaleWhileRevalidate: e.StaleWhileRevalidate,
		CachedVersion: c.params.CachedVersion, IdempotencyKey: c.params.IdempotencyKey}
	if e.Source != routing.NoEndpoint && e.Source != e.Cache {
		get.Source = s.endpoints[e.Source].name
	}
	t := attempts.AttemptID{Request: v, Attempt: n}
	if s.Stalled() && c.client.Canceled(c.number) { // no attempt begins for a client that has gone, told or not
		s.clientsLeft = append(s.clientsLeft, v)
		s.finishAttempt(c, &c.attempts[n], routing.Canceled, nil)
		return
	}
	s.setTimer(timer{at: e.Deadline, attempt: t})
	s.requestLog.forwarded(c, n, &e, s.now)
	s.pool.Send(t, e.Cache, &get, c.params.Body)
}

// attemptTimedOut ends a trip at its limit.
func (s *proxy) attemptTimedOut(t attempts.AttemptID) {
	c, o := s.openAttempt(t)
	if o == nil {
		return
	}
	s.finishAttempt(c, o, timeoutOutcome(s.pool.Cancel(t, o.endpoint)), nil)
}

// Cancel gives one trip up.
func (s *proxy) Cancel(v routing.RequestID, n routing.AttemptNumber) {
	t := attempts.AttemptID{Request: v, Attempt: n}
	if c, o := s.openAttempt(t); o != nil {
		s.pool.Cancel(t, o.endpoint)
		s.finishAttempt(c, o, routing.Canceled, nil)
	}
}

// finishAttempt notes the end of a trip for the module; e is what the pool told of it, if that told.
func (s *proxy) finishAttempt(c *request, o *attempt, end routing.Outcome, e *attempts.Result) {
	o.ended = true
	now := s.clockNow()
	rep := routing.AttemptResult{Attempt: o.number, Outcome: end, RequestDone: end == routing.Succeeded, Elapsed: max(now-o.sentAt, 0)}
	if e != nil {
		rep.CacheStatus = cacheStatusOf(e.Field("detail"))
		if rep.RequestDone && s.background != nil {
			if ms, err := strconv.ParseInt(string(e.Field("made")), 10, 64); err == nil {
				rep.GeneratedAt = s.fromUnixMillis(ms)
			}
			s.background.RequestAnswered(objectKey(&c.params), &c.params, s.endpoints[o.endpoint].incarnation(), rep.GeneratedAt)
		}
	}
	s.requestLog.attemptEnded(c, o, end, rep.CacheStatus, e, now)
	s.results = append(s.results, endedAttempt{c.id, rep})
}

// AttemptEnded hears from the pool how a trip ended.
func (s *proxy) AttemptEnded(t attempts.AttemptID, e *attempts.Result) {
	c, o := s.openAttempt(t)
	if o == nil {
		return
	}
	end := outcomeOf(e)
	if end == routing.Succeeded {
		c.client.Answer(c.number, e.Field("etag"), e.Body, e.Status == attempts.NotModified)
	}
	s.finishAttempt(c, o, end, e)
	if end == routing.Succeeded {
		s.requestLog.answered(c, "delivered", s.clockNow())
	}
}

// Reject answers that trying again is harmless, and when to where the site lets clients be told.
func (s *proxy) Reject(v routing.RequestID, comeback routing.Micros) {
	if c := s.request(v); c != nil {
		c.client.Reject(c.number, comeback)
		s.requestLog.answered(c, "deferred", s.now)
	}
}

// Fail answers that the visit failed.
func (s *proxy) Fail(v routing.RequestID) {
	if c := s.request(v); c != nil {
		s.fail(c)
	}
}

func (s *proxy) fail(c *request) {
	c.client.Fail(c.number)
	s.requestLog.answered(c, "scrapped", s.now)
}

// Release forgets a visit.
func (s *proxy) Release(v routing.RequestID) {
	if c := s.request(v); c != nil {
		delete(s.openTraceIDs, c.params.TraceID)
		s.engine.PutBuffer(c.buffer)
		*c = request{attempts: c.attempts[:0]}
	}
}
