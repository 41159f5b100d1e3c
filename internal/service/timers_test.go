package service

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/routing"
)

// Timers must fire in the order of their times.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		for _, at := range rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "alarms") {
			h.Push(timer{at: routing.Micros(at)})
		}
		for last := routing.Micros(-1); len(h) > 0; {
			fired := h.Pop()
			if fired.at < last {
				t.Fatalf("the timer due at %d us fired after the one due at %d us", fired.at, last)
			}
			last = fired.at
		}
	})
}

// The process stalls again during the turn in which an earlier stall was noticed. The second stall must be noticed
// at the end of the turn.
func TestStallDuringATurn(t *testing.T) {
	b := openTestbed(t, nil)
	defer b.close()
	b.server.engine.Do(func() {
		p := b.server.proxy
		now := p.clockNow()
		p.nextTurnAt = now - 20*stallThreshold     // this turn was due during the first stall
		p.stallNoticedAt = now - 10*stallThreshold // the first stall ended and the second one began
		p.scheduleTurn()
		if p.stallNoticedAt < now {
			t.Errorf("a stall was last noticed %d us ago, want the second one noticed now", now-p.stallNoticedAt)
		}
	})
}
