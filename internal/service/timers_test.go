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

// Guards against timers that are held back for as long as the loop is late: a router under so much load that each turn
// counts as a stall would give no final answer to requests whose caches hang.
func TestTimersFireWhileEveryTurnIsLate(t *testing.T) {
	b := openTestbed(t, nil)
	defer b.close()
	p := b.server.proxy
	p.loop.Stop(testTimeout) // the test makes the turns
	due := func() (due bool) {
		b.server.engine.Do(func() { due = len(p.timers) > 0 && p.timers[0].at == 1 })
		return due
	}
	b.server.engine.Do(func() { p.timers.Push(timer{at: 1, kind: attemptDeadline}) })
	const turns = 2 * maxTurnsHeldBack
	for range turns {
		b.server.engine.Do(func() {
			p.nextTurnAt = p.clockNow() - 2*stallThreshold
			p.stallNoticedAt = p.nextTurnAt
		})
		p.turn()
	}
	if due() {
		t.Errorf("a timer that is due has not fired in %d turns that were late", turns)
	}
}
