package service

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadrun/internal/testserver"
	"threadrun/routing"
)

// Timers must fire in the order of their times.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q timerQueue
		for _, at := range rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "alarms") {
			q.Push(timer{at: routing.Micros(at)})
		}
		for last := routing.Micros(-1); len(q.Heap) > 0; {
			fired := q.Pop()
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
		b.server.engine.Do(func() { due = len(p.timers.Heap) > 0 && p.timers.Heap[0].at == 1 })
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

// Guards against timers that outlive their attempts: clients that state a timeout of days would make the memory grow
// with each request, although each is answered at once.
func TestTimersOfEndedAttemptsAreRemoved(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	const batch = 30
	for range 3 * minTimersToPrune / batch {
		var answers []<-chan *testserver.Answer
		for range batch {
			answers = append(answers, b.send("page", object, 999_999_999*time.Millisecond, nil))
		}
		for _, answer := range answers {
			b.wait(answer)
		}
	}
	b.server.engine.Do(func() {
		if n := len(b.server.proxy.timers.Heap); n > minTimersToPrune {
			t.Errorf("%d timers are left, and no request is open", n)
		}
	})
}
