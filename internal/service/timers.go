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

// minTimersToPrune is the number of timers below which those of ended attempts are left to fire.
const minTimersToPrune = 1024

// timerQueue contains the timers that have not fired, earliest first. A timer whose attempt ends stays until it fires,
// and does nothing then, or until a later push removes it. So the number of timers is at most minTimersToPrune, or
// about twice the number that belong to attempts in progress or to the Router, whatever the times of the others are.
type timerQueue struct {
	minheap.Heap[timer, *timer]
	pruneAt int // number of timers at which push removes those that are not needed
}

// push adds a timer. needed reports whether the attempt of a timer is still in progress.
func (q *timerQueue) push(t timer, needed func(*timer) bool) {
	if len(q.Heap) >= max(q.pruneAt, minTimersToPrune) {
		q.Filter(needed)
		q.pruneAt = 2 * len(q.Heap)
	}
	q.Push(t)
}

// needsTimer reports whether a timer has an effect when it fires.
func (p *proxy) needsTimer(t *timer) bool {
	if t.kind == routerTimer {
		return true
	}
	_, a := p.openAttempt(t.attempt)
	return a != nil
}
