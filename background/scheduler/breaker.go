package scheduler

import (
	"log/slog"

	"threadrun/internal/clock"
)

const (
	maxConsecutiveFailures = 5   // consecutive failures that open the breaker
	maxFailureShare        = 0.5 // smoothed share of failures above which the breaker opens
	failureShareWeight     = 0.1 // weight of one result in the smoothed share

	// How long the breaker stays open, before jitter. The time starts at minOpenTime, doubles each time the breaker
	// opens again before it has closed, and is reset when it closes.
	minOpenTime = clock.Second
	maxOpenTime = 60 * clock.Second
)

// BreakerState is the state of a class's circuit breaker.
type BreakerState uint8

// The states of a breaker.
const (
	BreakerClosed   BreakerState = iota // jobs run
	BreakerOpen                         // many jobs have failed: no job of the class runs for some time
	BreakerHalfOpen                     // one job at a time runs; the next result closes or opens the breaker
)

var breakerNames = [...]string{"closed", "open", "half-open"}

// String returns the state's name for logs.
func (b BreakerState) String() string { return breakerNames[b] }

// breaker stops a class whose jobs fail, so that the class does not add to the load that makes them fail. Rejected
// jobs do not count.
type breaker struct {
	state               BreakerState
	openUntil           Micros  // end of the state BreakerOpen
	nextOpenTime        Micros  // how long the breaker stays open next time, before jitter
	failureShare        float64 // exponentially smoothed share of failures, 0 to 1
	consecutiveFailures int
}

// record updates the failure counts with a result. It does not change the state.
func (b *breaker) record(failed bool) {
	b.failureShare -= failureShareWeight * b.failureShare
	if !failed {
		b.consecutiveFailures = 0
		return
	}
	b.failureShare += failureShareWeight
	b.consecutiveFailures++
}

// mustOpen reports whether the result that was just recorded opens the breaker.
func (b *breaker) mustOpen(failed bool) bool {
	switch b.state {
	case BreakerHalfOpen:
		return failed
	case BreakerClosed:
		return failed && (b.consecutiveFailures >= maxConsecutiveFailures || b.failureShare > maxFailureShare)
	default:
		return false
	}
}

// breakerPermits reports whether a class's breaker permits a job to run. It half-opens a breaker whose open time
// has passed. A half-open breaker permits a job only when no other job of the class is running.
func (s *Scheduler) breakerPermits(c *class) bool {
	if c.breaker.state == BreakerOpen && s.now >= c.breaker.openUntil {
		c.breaker.state = BreakerHalfOpen
	}
	switch c.breaker.state {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		return c.account.running == 0
	default:
		return false
	}
}

// recordResult counts a result and opens or closes the class's breaker. Results that arrive while the breaker is
// open, which are those of jobs started before, are counted but change no state.
func (s *Scheduler) recordResult(c *class, failed bool) {
	b := &c.breaker
	b.record(failed)
	if b.mustOpen(failed) {
		s.openBreaker(c)
		return
	}
	if b.state == BreakerHalfOpen {
		b.state = BreakerClosed
		b.failureShare = 0
		b.nextOpenTime = minOpenTime
		s.log("scheduler: breaker closed", slog.String("class", c.Name))
	}
}

// openBreaker opens a closed or half-open breaker. The open time is jittered down to half, so that the breakers of
// several routers do not half-open at the same time.
func (s *Scheduler) openBreaker(c *class) {
	b := &c.breaker
	half := b.nextOpenTime / 2
	openTime := half + Micros(float64(half)*s.random.Float64())
	b.state = BreakerOpen
	b.openUntil = s.now + openTime
	b.nextOpenTime = min(2*b.nextOpenTime, maxOpenTime)
	c.stats.BreakerOpenings++
	s.log("scheduler: breaker opened",
		slog.String("class", c.Name),
		slog.Int64("open_ms", int64(openTime/clock.Millisecond)),
		slog.Int("consecutive_failures", b.consecutiveFailures),
		slog.Float64("failure_share", b.failureShare),
	)
}

// Breaker returns the state of a class's breaker.
func (s *Scheduler) Breaker(c ClassID) BreakerState { return s.classes[c].breaker.state }
