package service

import (
	"time"

	"threadrun/internal/attempts"
	"threadrun/routing"
)

// The stages of a shutdown, measured from its start, follow the platform's schedule: clients open connections until
// 0.4 s after the signal and send requests on them for 0.2 s more. The process is killed after 0.7 s plus the
// longest timeout of a request, of which at most maxTimeout counts.
const (
	requestPeriod  = 650 * time.Millisecond  // requests read later are rejected
	minDrainPeriod = 800 * time.Millisecond  // the router listens at least until then
	giveUpDelay    = 550 * time.Millisecond  // open requests get their final answer this long after the longest timeout
	flushPeriod    = 50 * time.Millisecond   // maximum time after giving up for clients to read their answers
	maxTimeout     = 3000 * time.Millisecond // longest timeout of a request that a shutdown waits for
)

const (
	// idlePeriod is how long the front end must have been drained before the shutdown ends. If open requests were
	// given up, it is how long their final answers have to arrive.
	idlePeriod           = 40 * time.Millisecond
	handoverTimeout      = 1500 * time.Millisecond // maximum time for other routers to claim this router's leases
	departurePeriod      = 40 * time.Millisecond   // time to send the announcement: two ticks of package control
	shutdownPollInterval = 5 * time.Millisecond
)

// Shutdown drains the router and returns when it is drained. The router continues to serve until clients have had
// time to leave. After that it rejects new requests and closes connections without an open request. The drain ends
// when all requests are answered, the kernel has accepted every answer, and other routers hold this router's
// leases, but in any case before the platform kills the process.
func (s *Server) Shutdown() {
	for done := s.BeginShutdown(); !done(); {
		time.Sleep(shutdownPollInterval)
	}
}

// BeginShutdown starts to drain the router. The caller must call done a few hundred times per second until it
// returns true.
func (s *Server) BeginShutdown() (done func() bool) {
	background := s.proxy.background
	s.engine.Do(func() {
		s.proxy.draining = true
		if background != nil {
			background.Leave()
		}
	})
	now := s.engine.Runtime().Now()
	longestTimeout := s.proxy.names.MaxTimeout.Duration()
	if longestTimeout <= 0 || longestTimeout > maxTimeout {
		longestTimeout = maxTimeout
	}
	d := &drain{server: s, startedAt: now, lastBusyAt: now, giveUpAfter: longestTimeout + giveUpDelay}
	return d.step
}

// drain is a shutdown in progress.
type drain struct {
	server      *Server
	startedAt   time.Time
	lastBusyAt  time.Time     // when the front end was last found not to be drained
	announcedAt time.Time     // when the departure was announced to peers; zero: not yet
	giveUpAfter time.Duration // time after the start at which open requests are given up
	gaveUp      bool          // open requests have been given up
}

// step advances the drain and reports whether it is done. When the router is drained, step announces the departure
// to the peers, and stops background work departurePeriod later.
func (d *drain) step() bool {
	now := d.server.engine.Runtime().Now()
	background := d.server.proxy.background
	if !d.announcedAt.IsZero() {
		if now.Sub(d.announcedAt) < departurePeriod {
			return false
		}
		background.Stop()
		return true
	}
	d.stopServing(now)
	if !d.isDrained(now) {
		return false
	}
	if background == nil {
		return true
	}
	d.announcedAt = now
	background.EndMembership()
	return false
}

// stopServing stops serving in stages: it rejects new requests after requestPeriod, accepts no connections after
// minDrainPeriod, and gives up the requests that are still open after giveUpAfter.
func (d *drain) stopServing(now time.Time) {
	elapsed := now.Sub(d.startedAt)
	if elapsed < requestPeriod {
		return
	}
	if elapsed >= minDrainPeriod {
		d.server.engine.StopListening()
	}
	d.server.engine.Do(func() {
		d.server.frontend.Drain()
		d.server.frontend.CloseIdle(now)
	})
	if elapsed >= d.giveUpAfter && !d.gaveUp {
		d.gaveUp = true
		d.server.engine.Do(d.server.proxy.giveUpOpenRequests)
	}
}

// isDrained reports whether the router can end: the front end has been drained for idlePeriod, minDrainPeriod is over,
// and the leases are handed over or handoverTimeout is over. If open requests were given up, the router can end after
// idlePeriod if the kernel has accepted all answers, and after flushPeriod in any case.
func (d *drain) isDrained(now time.Time) bool {
	idle, flushed, handedOver := false, false, true
	d.server.engine.Do(func() {
		idle = d.server.frontend.Drained(now)
		flushed = d.server.frontend.Flushed()
		background := d.server.proxy.background
		handedOver = background == nil || background.LeasesHandedOver() || now.Sub(d.startedAt) > handoverTimeout
	})
	if d.gaveUp {
		sinceGiveUp := now.Sub(d.startedAt) - d.giveUpAfter
		return flushed && sinceGiveUp > idlePeriod || sinceGiveUp > flushPeriod
	}
	if !idle {
		d.lastBusyAt = now
		return false
	}
	return handedOver && now.Sub(d.startedAt) > minDrainPeriod && now.Sub(d.lastBusyAt) > idlePeriod
}

// giveUpOpenRequests gives each open request its final answer, and cancels its attempts. A request without an
// attempt in flight is answered at once, any other by the Router when it receives the results of its canceled
// attempts.
func (p *proxy) giveUpOpenRequests() {
	p.setRouterTime()
	for i := range p.requests {
		if r := &p.requests[i]; r.client != nil {
			p.router.GiveUp(r.id)
		}
	}
	for i := range p.requests {
		r := &p.requests[i]
		for j := range r.attempts {
			a := &r.attempts[j]
			if r.client == nil || a.ended {
				continue
			}
			progress := p.pool.Cancel(attempts.AttemptID{Request: r.id, Attempt: a.number}, a.endpoint)
			p.finishAttemptWithoutRetry(r, a, timeoutOutcome(progress))
		}
	}
}

// finishAttemptWithoutRetry queues the result of an attempt that got no answer. The Router does not retry the
// request after it, but gives it its final answer.
func (p *proxy) finishAttemptWithoutRetry(r *request, a *attempt, outcome routing.Outcome) {
	p.finishAttempt(r, a, outcome, nil)
	p.results[len(p.results)-1].result.NoRetry = true
}
