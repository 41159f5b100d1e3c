// Package tokenbucket is a token bucket on a clock of its caller's.
package tokenbucket

// Bucket holds tokens; the zero value is empty and starts its clock at the first Fill.
type Bucket struct {
	held  float64
	at    float64
	begun bool
}

// Fill adds what has come in since the last call, up to a brim, and gives what is held. Times are in seconds.
func (b *Bucket) Fill(now, rate, brim float64) float64 {
	if b.begun {
		b.held += rate * (now - b.at)
	}
	b.begun, b.at = true, now
	b.held = min(b.held, brim)
	return b.held
}

// Take takes tokens out, below zero if need be; a negative amount gives back.
func (b *Bucket) Take(n float64) { b.held -= n }
