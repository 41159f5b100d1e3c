package ratelimit

import (
	"testing"

	"threadrun/internal/clock"
)

// The burst must be permitted at once, then events at the rate, and after a long pause no more than the burst.
func TestLimiter(t *testing.T) {
	l := New(0, 10, 3)
	for _, step := range []struct {
		name    string
		now     clock.Micros
		allowed int
	}{
		{"the burst", 0, 3},
		{"before the next token", 50 * clock.Millisecond, 0},
		{"one token", 100 * clock.Millisecond, 1},
		{"two tokens", 300 * clock.Millisecond, 2},
		{"a long pause", 100 * clock.Second, 3},
	} {
		allowed := 0
		l.Refill(step.now)
		for l.Take() {
			allowed++
		}
		if allowed != step.allowed {
			t.Errorf("%s: %d allowed, want %d", step.name, allowed, step.allowed)
		}
		if l.Tokens() >= 1 {
			t.Errorf("%s: %v tokens left", step.name, l.Tokens())
		}
	}
}
