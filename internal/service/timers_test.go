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
				t.Fatalf("the timer of %d fired after that of %d", fired.at, last)
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
		p.nextTurnAt = now - 20*stallThreshold
		p.stallNoticedAt = now - 10*stallThreshold // the second stall began then
		p.scheduleTurn()
		if p.stallNoticedAt < now {
			t.Error("the second stall was not noticed")
		}
	})
}
