// Package ratelimit provides token buckets that use the caller's clock. A Limiter has a fixed rate and starts full:
// it permits a burst at once, and a steady rate afterward. A Bucket's rate and size may change with each refill.
package ratelimit

import "threadrun/internal/clock"

// Limiter is a token bucket with a fixed rate. It is not safe for concurrent use.
type Limiter struct {
	perSecond, burst float64
	tokens           float64
	refilled         clock.Micros
}

// New returns a full Limiter. perSecond is in events per second, burst in events.
func New(now clock.Micros, perSecond, burst float64) Limiter {
	return Limiter{perSecond: perSecond, burst: burst, tokens: burst, refilled: now}
}

// Refill adds the tokens for the time since the last call.
func (l *Limiter) Refill(now clock.Micros) {
	l.tokens = min(l.tokens+(now-l.refilled).Seconds()*l.perSecond, l.burst)
	l.refilled = now
}

// Take takes the token for one event, and reports whether there was one.
func (l *Limiter) Take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Tokens returns the number of tokens at the last Refill, less those taken since.
func (l *Limiter) Tokens() float64 { return l.tokens }
