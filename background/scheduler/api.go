package scheduler

import (
	"errors"
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// ClassID is a place in the list of classes.
	ClassID int
	// JobID names a running job, from Next until Ended.
	JobID = arena.Handle
	// LogFunc takes a constant message and its fields, for each change of mode.
	LogFunc func(message string, attrs ...slog.Attr)
)

// Budget bounds what may be used somewhere. A zero figure is no bound.
type Budget struct {
	OperationsPerSecond float64
	KBPerSecond         float64
	Concurrent          int
}

// Class is a kind of background work, as configured.
type Class struct {
	Name        string
	Priority    int    // the higher goes first
	MaxQueued   int    // jobs kept waiting, at least 1
	Budget      Budget // of the class, everywhere together
	MaxAttempts int    // of one job, at least 1
	Backoff     Micros // after the first failure, jittered down to half; doubled for each further one
}

// PathBudgets bound the background work at each resource it touches, whatever its class.
type PathBudgets struct{ Cache, Parent, Link, Origin Budget }

// Job is a piece of background work.
type Job struct {
	Task      lease.Task // idempotent by construction
	Class     ClassID
	NotBefore Micros
	Due       Micros // the earliest due goes first
	Expires   Micros // of no use from then on
	SizeKB    float64
	Submitted Micros // set by Submit
	Attempts  int    // set by Next
}

// Route is where a job goes: it counts in the budgets of all that it names. -1 names no cache and no parent.
type Route struct {
	Cache, Parent int32
	Link, Origin  bool
}

// Verdict is what the routing decisions say to a job.
type Verdict uint8

// The verdicts.
const (
	Run      Verdict = iota
	Postpone         // not now: no capacity, or the cache is ejected
	Discard          // of no use any more
)

// Result is how a job ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	Failed
	Rejected // never ran, for want of capacity: no failure
)

// JobState is where a job stands.
type JobState uint8

// The states of a job; see transitions.
const (
	Vacant JobState = iota
	Waiting
	Ready
	Running
	BackingOff
	Finished
)

// Errors of Submit.
var (
	ErrInvalidTask  = errors.New("scheduler: invalid task")
	ErrUnknownClass = errors.New("scheduler: unknown class")
	ErrExpired      = errors.New("scheduler: job has expired")
	ErrQueueFull    = errors.New("scheduler: queue full of jobs that are due sooner")
)

// Stats counts what became of a class's jobs.
type Stats struct {
	Submitted, Merged           uint64
	DroppedFull, DroppedExpired uint64
	Started, Succeeded          uint64
	Failures                    uint64
	GivenUp                     uint64 // jobs that failed their last attempt
	Postponed, Rejected         uint64
	Discarded                   uint64
	BreakerOpenings             uint64 // how often the breaker opened
	Queued, Running             int    // now
	PeakQueued                  int    // the most that were ever queued
}
