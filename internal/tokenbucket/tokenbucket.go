// Package tokenbucket is a token bucket on a clock of its caller's.
package tokenbucket

// Bucket holds tokens; the zero value is empty and starts its clock at the first Fill.
type Bucket struct {
	tokens  float64
	last    float64
	started bool
}

// Refill adds what has come in since the last call, up to a brim, and gives what is held. Times are in seconds.
func (b *Bucket) Refill(now, rate, brim float64) float64 {
	if b.started {
		b.tokens += rate * (now - b.last)
	}
	b.started, b.last = true, now
	b.tokens = min(b.tokens, brim)
	return b.tokens
}

// Take takes tokens out, below zero if need be; a negative amount gives back.
func (b *Bucket) Take(n float64) { b.tokens -= n }
