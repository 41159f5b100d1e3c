package service

import (
	"threadrun/internal/attempts"
	"threadrun/internal/minheap"
	"threadrun/routing"
)

// timer is a time at which something is due: an attempt's deadline, or the router's timer.
type timer struct {
	at        routing.Micros
	attempt   attempts.AttemptID
	forRouter bool
}

// Before reports whether t is due before other.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timerHeap contains timers, earliest first. Timers are never removed early: a timer whose attempt has ended does
// nothing when it fires.
type timerHeap = minheap.Heap[timer, *timer]
