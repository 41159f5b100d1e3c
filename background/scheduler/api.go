package scheduler

import (
	"errors"
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

type (
	// ClassID is an index into the list of classes.
	ClassID int
	// JobID identifies a running job, from Next until Ended.
	JobID = arena.Handle
	// LogFunc writes a log line with a constant message and its fields.
	LogFunc func(message string, attrs ...slog.Attr)
)

// Budget limits the use of a resource. A value of 0 means no limit.
type Budget struct {
	OperationsPerSecond float64
	KBPerSecond         float64
	Concurrent          int
}

// Class is a configured kind of background work.
type Class struct {
	Name        string
	Priority    int    // jobs with higher priority run first
	MaxQueued   int    // maximum number of queued jobs; at least 1
	Budget      Budget // for all jobs of the class together
	MaxAttempts int    // attempts per job; at least 1
	Backoff     Micros // after the first failure, doubled for each further one; jittered down to half
}

// PathBudgets limits background work of all classes on each resource that it uses.
type PathBudgets struct{ Cache, Parent, Link, Origin Budget }

// Job is a unit of background work.
type Job struct {
	Task      lease.Task // idempotent by construction
	Class     ClassID
	NotBefore Micros
	Due       Micros // jobs that are due earlier run first
	Expires   Micros // when it becomes useless
	SizeKB    float64
	Submitted Micros // set by Submit
	Attempts  int    // set by Next
}

// Route lists the resources that a job uses; it counts in the budgets of all of them. Cache or Parent is -1 if it
// uses none.
type Route struct {
	Cache, Parent int32
	Link, Origin  bool
}

// Verdict says whether a job may run, according to the routing decisions.
type Verdict uint8

// The verdicts.
const (
	Run      Verdict = iota
	Postpone         // not now: there is no capacity, or the cache is ejected
	Discard          // the job is useless
)

// Result says how a job ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	Failed
	Rejected // it did not run because there was no capacity; not a failure
)

// JobState is the state of a job.
type JobState uint8

// The states of a job. The transitions table defines their order.
const (
	Vacant JobState = iota
	Waiting
	Ready
	Running
	BackingOff
	Finished
)

// Errors returned by Submit.
var (
	ErrInvalidTask  = errors.New("scheduler: invalid task")
	ErrUnknownClass = errors.New("scheduler: unknown class")
	ErrExpired      = errors.New("scheduler: job has expired")
	ErrQueueFull    = errors.New("scheduler: queue full of jobs that are due sooner")
)

// Stats counts the jobs of a class.
type Stats struct {
	Submitted, Merged           uint64
	DroppedFull, DroppedExpired uint64
	Started, Succeeded          uint64
	Failures                    uint64
	GivenUp                     uint64 // jobs whose last attempt failed
	Postponed, Rejected         uint64
	Discarded                   uint64
	BreakerOpenings             uint64 // times that the breaker opened
	Queued, Running             int    // current numbers
	PeakQueued                  int    // maximum number of jobs ever queued
}
