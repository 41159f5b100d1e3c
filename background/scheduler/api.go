package scheduler

import (
	"errors"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Ids.
type (
	// ClassID is a place in the list of classes.
	ClassID int
	// JobID names a chore that is out, from Next until Ended.
	JobID = arena.Handle
)

// Budget is what may be spent somewhere. A zero figure means that it is not bounded there.
type Budget struct {
	OperationsPerSecond float64 // a second
	KBPerSecond         float64 // a second
	Concurrent          int     // at a time
}

// Class is a kind of background work, as told at start.
type Class struct {
	Name        string
	Priority    int    // the higher goes first
	MaxQueued   int    // chores kept waiting, at least 1
	Budget      Budget // of the class, everywhere together
	MaxAttempts int    // for one chore, at least 1
	Backoff     Micros // after the first failure, by chance half of it at least; doubled for each further one
}

// PathBudgets are the allowances of background work at each place it touches, whatever its class.
type PathBudgets struct{ Cache, Parent, Link, Origin Budget }

// Job is a piece of background work.
type Job struct {
	Task      lease.Task // what may run twice, and nothing else can be had as one
	Class     ClassID
	NotBefore Micros // not before
	Due       Micros // best by then: the earliest goes first
	Expires   Micros // of no use from then on
	SizeKB    float64
	Submitted Micros // when it was handed in
	Attempts  int
}

// Route is where a chore goes: what it spends there counts. -1 names no cache and no parent.
type Route struct {
	Cache, Parent int32
	Link, Origin  bool
}

// Verdict is what the decision module says to a chore.
type Verdict uint8

const (
	Run      Verdict = iota
	Postpone         // not now: there is no room, or the place rests
	Discard          // it is of no use any more
)

// Result is how a chore ended.
type Result uint8

const (
	Succeeded Result = iota
	Failed
	Rejected // it never ran, for want of room: no failure
)

// JobState is where a chore stands.
type JobState uint8

const (
	Vacant JobState = iota
	Waiting
	Ready
	Running
	BackingOff // after a failure
	Finished
)

// BreakerState is how a class stands.
type BreakerState uint8

const (
	BreakerClosed   BreakerState = iota
	BreakerOpen                  // failures were many: nothing goes for a while
	BreakerHalfOpen              // one goes, and tells whether it may go on
)

var flowNames = [...]string{"open", "stopped", "trial"}

func (f BreakerState) String() string { return flowNames[f] }

// Errors of Put.
var (
	ErrInvalidTask  = errors.New("chores: not a piece of work that was let in")
	ErrUnknownClass = errors.New("chores: no such class")
	ErrExpired      = errors.New("chores: of no use any more")
	ErrQueueFull    = errors.New("chores: no room, and all that wait are due sooner")
)

// Stats counts what became of a class's chores.
type Stats struct {
	Submitted, Merged           uint64
	DroppedFull, DroppedExpired uint64 // dropped: for want of room, and past their use
	Started, Succeeded          uint64
	Failures, GivenUp           uint64 // failures, and chores given up after their last try
	Postponed, Rejected         uint64
	Discarded                   uint64
	Stops                       uint64
	Queued, Running, MaxQueued  int // waiting now, out now, and the most that ever waited
}
