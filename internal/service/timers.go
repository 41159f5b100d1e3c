package service

import (
	"threadrun/internal/attempts"
	"threadrun/internal/minheap"
	"threadrun/routing"
)

// timer is the deadline of an attempt, or a timer of the Router.
type timer struct {
	at        routing.Micros
	attempt   attempts.AttemptID
	forRouter bool // set by Executor.SetTimer; attempt is unused
}

// Before reports whether t is due before other.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timerHeap contains the timers that have not fired, earliest first. A timer is not removed when its attempt ends;
// it does nothing when it fires.
type timerHeap = minheap.Heap[timer, *timer]
