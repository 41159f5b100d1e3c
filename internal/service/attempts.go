package service

import (
	"threadrun/internal/attempts"
	"threadrun/internal/frontend"
	"threadrun/routing"
)

// attempt is one attempt of an open request.
type attempt struct {
	number           routing.AttemptNumber
	endpoint, source routing.EndpointID
	startedAt        routing.Micros // when the Router planned it
	latestSend       routing.Micros // as in routing.ForwardPlan
	ended            bool           // its result has been queued for the Router
}

// Forward implements routing.Executor: it starts an attempt according to the Router's plan.
func (p *proxy) Forward(id routing.RequestID, plan routing.ForwardPlan) {
	r := p.request(id)
	number := routing.AttemptNumber(len(r.attempts))
	r.attempts = append(r.attempts, attempt{
		number:     number,
		endpoint:   plan.Cache,
		source:     plan.Source,
		startedAt:  p.now,
		latestSend: plan.LatestSend,
	})
	p.DetectStall()
	// If the process has stalled, the client may have left during the stall, without the front end knowing it yet.
	if state := r.client.State(r.number); state != frontend.ClientWaits {
		p.abandonUnsent(r, &r.attempts[number], state)
		return
	}
	attemptID := attempts.AttemptID{Request: id, Attempt: number}
	p.setTimer(timer{at: plan.Deadline, kind: attemptDeadline, attempt: attemptID})
	if plan.LatestSend < plan.Deadline {
		p.setTimer(timer{at: plan.LatestSend + 1, kind: attemptUnsent, attempt: attemptID})
	}
	p.requestLog.forwarded(r, number, &plan, p.now)
	outgoing := p.outgoingRequest(r, &plan)
	p.pool.Send(attemptID, plan.Cache, &outgoing, r.params.Body)
}

// MayBegin implements attempts.Handler: it reports whether an attempt may still be sent. If it is too late for that, or
// if its client may have left during a stall of the process, it ends the attempt and returns false.
func (p *proxy) MayBegin(id attempts.AttemptID) bool {
	p.DetectStall()
	r, a := p.openAttempt(id)
	if a == nil {
		return false
	}
	if p.clockNow() > a.latestSend {
		p.finishAttempt(r, a, routing.NotSent, nil)
		return false
	}
	state := r.client.State(r.number)
	if state != frontend.ClientWaits {
		p.abandonUnsent(r, a, state)
	}
	return state == frontend.ClientWaits
}

// abandonUnsent ends an attempt that has not been sent, and its request, because the client has left or may have
// left.
func (p *proxy) abandonUnsent(r *request, a *attempt, state frontend.ClientState) {
	if state == frontend.ClientGone {
		p.abandonedRequests = append(p.abandonedRequests, r.id)
		p.finishAttempt(r, a, routing.Canceled, nil)
		return
	}
	p.finishAttemptWithoutRetry(r, a, routing.NotSent)
}

// outgoingRequest converts a request and its plan to the representation of package attempts.
func (p *proxy) outgoingRequest(r *request, plan *routing.ForwardPlan) attempts.Request {
	outgoing := attempts.Request{
		Class:                p.names.ClassNames[r.params.Class],
		Object:               r.params.Object,
		ID:                   r.params.TraceID,
		Part:                 r.params.Part,
		Budget:               plan.Deadline - p.clockNow(), // not p.now: the process may have stalled since p.now was set
		Rank:                 plan.Rank,
		MaxAge:               plan.MaxAge,
		JoinFill:             plan.JoinFill,
		OnlyIfCached:         plan.OnlyIfCached,
		StaleWhileRevalidate: plan.StaleWhileRevalidate,
		CachedVersion:        r.params.CachedVersion,
		IdempotencyKey:       r.params.IdempotencyKey,
	}
	if plan.Source != routing.NoEndpoint && plan.Source != plan.Cache {
		outgoing.Source = p.endpoints[plan.Source].name
	}
	return outgoing
}

// AttemptEnded implements attempts.Handler: it passes a successful answer to the client, and queues the result for
// the Router. Results of attempts that have already ended are ignored.
func (p *proxy) AttemptEnded(id attempts.AttemptID, result *attempts.Result) {
	p.DetectStall()
	r, a := p.openAttempt(id)
	if a == nil {
		return
	}
	outcome := outcomeOf(result)
	if outcome != routing.Succeeded {
		p.finishAttempt(r, a, outcome, result)
		return
	}
	r.client.Answer(r.number, result.Version(), result.Body, result.Status == attempts.NotModified)
	p.finishAttempt(r, a, outcome, result)
	p.requestLog.finished(r, "answered", p.clockNow())
}

// attemptTimedOut cancels an attempt that has reached its deadline. It does nothing if the attempt has ended.
func (p *proxy) attemptTimedOut(id attempts.AttemptID) {
	r, a := p.openAttempt(id)
	if a == nil {
		return
	}
	progress := p.pool.Cancel(id, a.endpoint)
	p.finishAttempt(r, a, timeoutOutcome(progress), nil)
}

// withdrawUnsent withdraws an attempt whose latest time to be sent has passed. It does nothing if the attempt was sent.
func (p *proxy) withdrawUnsent(id attempts.AttemptID) {
	if r := p.request(id.Request); r != nil {
		p.withdrawFrom(r, routing.NotSent, func(a *attempt) bool { return a.number == id.Attempt })
	}
}

// openAttempt returns an attempt and its request. The attempt is nil if it has ended. Both are nil if the request was
// released.
func (p *proxy) openAttempt(id attempts.AttemptID) (*request, *attempt) {
	r := p.request(id.Request)
	if r == nil {
		return nil, nil
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.number == id.Attempt && !a.ended {
			return r, a
		}
	}
	return r, nil
}

// finishAttempt queues a report of an attempt's end for the Router. result is nil if the attempt was canceled or
// withdrawn, so that it has ended with neither a response nor an error.
func (p *proxy) finishAttempt(r *request, a *attempt, outcome routing.Outcome, result *attempts.Result) {
	a.ended = true
	now := p.clockNow()
	p.rememberRun(r, outcome, now)
	report := routing.AttemptResult{
		Attempt:     a.number,
		Outcome:     outcome,
		RequestDone: outcome == routing.Succeeded,
		Elapsed:     max(now-a.startedAt, 0),
		Delayed:     a.startedAt < p.stallNoticedAt,
	}
	if result != nil {
		report.CacheStatus = result.CacheStatus()
		if report.RequestDone && p.background != nil {
			report.CreatedAt = p.createdAt(result)
			cache := p.endpoints[a.endpoint].incarnation()
			p.background.RequestAnswered(objectKey(&r.params), &r.params, cache, report.CreatedAt)
		}
	}
	p.requestLog.attemptEnded(r, a, outcome, report.CacheStatus, result, now)
	p.results = append(p.results, endedAttempt{r.id, report})
}

// createdAt returns when the origin created the copy in a response, on the Router's clock, or 0 if that is
// unknown.
func (p *proxy) createdAt(result *attempts.Result) routing.Micros {
	unixMillis, known := result.CreatedUnixMillis()
	if !known {
		return 0
	}
	return p.fromUnixMillis(unixMillis)
}

// withdrawQueued withdraws the attempts that are queued in the pool and for which match returns true. They are
// reported to the Router as not sent, so that it plans them again.
func (p *proxy) withdrawQueued(match func(*request, *attempt) bool) {
	if p.pool.QueuedCount() == 0 {
		return
	}
	for i := range p.requests {
		r := &p.requests[i]
		if r.client != nil {
			p.withdrawFrom(r, routing.NotSent, func(a *attempt) bool { return match(r, a) })
		}
	}
}

// withdrawFrom withdraws the attempts of one request that are queued in the pool and for which match returns true.
// They are reported to the Router with the given outcome.
func (p *proxy) withdrawFrom(r *request, outcome routing.Outcome, match func(*attempt) bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.ended || !match(a) {
			continue
		}
		if p.pool.Withdraw(attempts.AttemptID{Request: r.id, Attempt: a.number}, a.endpoint) {
			p.finishAttempt(r, a, outcome, nil)
		}
	}
}
