package service

import (
	"threadrun/internal/attempts"
	"threadrun/internal/minheap"
	"threadrun/routing"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	attemptDeadline timerKind = iota // ends the attempt
	attemptUnsent                    // withdraws the attempt if it has not been sent
	routerTimer                      // set by Executor.SetTimer; belongs to no attempt
)

// timer is a timer of an attempt or of the Router.
type timer struct {
	at      routing.Micros
	kind    timerKind
	attempt attempts.AttemptID
}

// Before reports whether t is due before other.
func (t *timer) Before(other *timer) bool { return t.at < other.at }

// timerHeap contains the timers that have not fired, earliest first. A timer is not removed when its attempt ends;
// it does nothing when it fires.
type timerHeap = minheap.Heap[timer, *timer]
