package ratelimit

// Bucket is a token bucket whose rate and size are passed to each refill, since they may change. It starts empty,
// and may be charged more tokens than it holds, which later refills pay back. Its clock starts at the first Refill.
// It is not safe for concurrent use.
type Bucket struct {
	tokens  float64
	last    float64
	started bool
}

// Refill adds the tokens for the time since the last call, up to limit, and returns the number of tokens. now is in
// seconds, rate in tokens per second.
func (b *Bucket) Refill(now, rate, limit float64) float64 {
	if b.started {
		b.tokens += rate * (now - b.last)
	}
	b.started, b.last = true, now
	b.tokens = min(b.tokens, limit)
	return b.tokens
}

// Take removes tokens, if necessary to a negative number. A negative argument adds tokens.
func (b *Bucket) Take(tokens float64) { b.tokens -= tokens }
