package ratelimit

// Bucket is a token bucket whose rate and size are given at each refill, as they may change. It starts empty, and may
// be charged more than it holds: the debt is paid by later refills. The zero value starts its clock at the first
// Refill. It is not safe for concurrent use.
type Bucket struct {
	tokens  float64
	last    float64
	started bool
}

// Refill adds the tokens for the time since the last call, up to a limit, and returns how many there are. now is in
// seconds, rate in tokens a second.
func (b *Bucket) Refill(now, rate, limit float64) float64 {
	if b.started {
		b.tokens += rate * (now - b.last)
	}
	b.started, b.last = true, now
	b.tokens = min(b.tokens, limit)
	return b.tokens
}

// Take takes tokens, below zero if need be; a negative number gives tokens back.
func (b *Bucket) Take(tokens float64) { b.tokens -= tokens }
