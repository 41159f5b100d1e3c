package ratelimit

// Bucket is a token bucket whose rate and size may change, and are therefore passed to each Refill. It is empty at the
// first Refill and gains tokens from then on. Take may make the number of tokens negative. A Bucket is not safe for
// concurrent use.
type Bucket struct {
	tokens     float64
	lastRefill float64 // in seconds
	started    bool    // Refill was called
}

// Refill adds the tokens for the time since the last call, up to a total of limit, and returns the number of tokens.
// now is in seconds, rate in tokens per second.
func (b *Bucket) Refill(now, rate, limit float64) float64 {
	if b.started {
		b.tokens += rate * (now - b.lastRefill)
	}
	b.started, b.lastRefill = true, now
	b.tokens = min(b.tokens, limit)
	return b.tokens
}

// Take removes tokens, even if there are fewer. A negative argument adds tokens.
func (b *Bucket) Take(tokens float64) { b.tokens -= tokens }
