// Package ratelimit provides token buckets that use the caller's clock. A Limiter has a fixed rate and starts full: it
// permits a burst at once, and a steady rate afterward. The rate and size of a Bucket may change with each refill.
package ratelimit

import "threadrun/internal/clock"

// Limiter is a token bucket with a fixed rate. It is not safe for concurrent use.
type Limiter struct {
	perSecond, burst float64 // rate in tokens per second, and size in tokens
	tokens           float64
	lastRefill       clock.Micros
}

// New returns a full Limiter that permits perSecond events per second, and up to burst events at once.
func New(now clock.Micros, perSecond, burst float64) Limiter {
	return Limiter{perSecond: perSecond, burst: burst, tokens: burst, lastRefill: now}
}

// Refill adds the tokens for the time since the last call. The number of tokens does not exceed the burst.
func (l *Limiter) Refill(now clock.Micros) {
	l.tokens = min(l.tokens+(now-l.lastRefill).Seconds()*l.perSecond, l.burst)
	l.lastRefill = now
}

// Take removes the token for one event, and reports whether there was one.
func (l *Limiter) Take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Tokens returns the number of tokens at the last Refill, less those removed by Take since.
func (l *Limiter) Tokens() float64 { return l.tokens }
