package service

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/routing"
)

func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		for _, at := range rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "alarms") {
			h.Push(timer{at: routing.Micros(at)})
		}
		for last := routing.Micros(-1); len(h) > 0; {
			a := h.Pop()
			if a.at < last {
				t.Fatalf("%d after %d", a.at, last)
			}
			last = a.at
		}
	})
}
