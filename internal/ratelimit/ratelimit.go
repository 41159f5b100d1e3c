// Package ratelimit has token buckets on a clock of their caller's. A Limiter has a fixed rate and starts full: a burst
// is allowed at once, and a steady rate from then on. A Bucket's rate and size may change from refill to refill.
package ratelimit

import "threadrun/internal/clock"

// Limiter is a token bucket. It is not safe for concurrent use.
type Limiter struct {
	perSecond, burst float64
	tokens           float64
	refilled         clock.Micros
}

// New makes a limiter that is full. The rate is in events a second, the burst in events.
func New(now clock.Micros, perSecond, burst float64) Limiter {
	return Limiter{perSecond: perSecond, burst: burst, tokens: burst, refilled: now}
}

// Refill adds the tokens for the time since the last call.
func (l *Limiter) Refill(now clock.Micros) {
	l.tokens = min(l.tokens+(now-l.refilled).Seconds()*l.perSecond, l.burst)
	l.refilled = now
}

// Take takes the token of one event, and reports whether there was one.
func (l *Limiter) Take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Tokens is the number of events that may follow at once, as of the last Refill.
func (l *Limiter) Tokens() float64 { return l.tokens }
