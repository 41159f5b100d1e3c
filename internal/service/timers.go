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

// Before orders timers by time.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timerHeap holds the earliest timer first. Timers are never removed: one that is no longer needed finds its attempt
// ended.
type timerHeap = minheap.Heap[timer, *timer]
