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
	// ClassID is an index into the list of classes passed to New.
	ClassID int
	// JobID identifies a running job, from Next until Ended.
	JobID = arena.Handle
	// LogFunc writes a log line with a constant message and its fields.
	LogFunc func(message string, attrs ...slog.Attr)
)

// Budget limits the use of a resource, or of all resources by a class. A value of 0 means no limit.
type Budget struct {
	OperationsPerSecond float64 // started jobs
	KBPerSecond         float64 // sizes of started jobs
	Concurrent          int     // jobs running at a time
}

// Class is a configured kind of background work.
type Class struct {
	Name        string
	Priority    int    // classes with a higher priority run first; see priorityAging
	MaxQueued   int    // maximum number of queued jobs, not counting running ones; raised to 1 if lower
	Budget      Budget // for all jobs of the class together
	MaxAttempts int    // attempts per job, not counting rejected ones; raised to 1 if lower
	Backoff     Micros // maximum delay after the first failure, doubled for each further one; jittered down to half
}

// ResourceBudgets limits the background work of all classes together on the resources of its routes: each cache and
// each parent has a budget of its own; all jobs share the network link into the zone and the origin.
type ResourceBudgets struct{ Cache, Parent, Link, Origin Budget }

// Job is a unit of background work.
type Job struct {
	Task      lease.Task // idempotent by construction: running it twice does no harm
	Class     ClassID
	NotBefore Micros  // earliest start; changes when the job is postponed or backs off
	Due       Micros  // jobs with an earlier Due run first; a job may run later than its Due
	Expires   Micros  // when the job becomes useless; it is not started from then on
	SizeKB    float64 // expected transfer, consumed from budgets when the job starts
	Submitted Micros  // set by Submit
	Attempts  int     // number of starts, not counting rejected ones; set by the Scheduler
}

// Route lists the resources that a job uses; the job counts in the budgets of all of them. Cache or Parent is -1 if
// the job uses none.
type Route struct {
	Cache, Parent int32
	Link, Origin  bool
}

// Verdict says whether a job may run, according to the caller's routing decision. Budgets are checked afterward.
type Verdict uint8

// The verdicts.
const (
	Run      Verdict = iota
	Postpone         // not now: there is no capacity, or the cache is ejected; the job is considered again later
	Discard          // the job is useless and dropped
)

// Result says how a job ended.
type Result uint8

// The results.
const (
	Succeeded Result = iota
	Failed           // the job backs off, unless this was its last attempt
	Rejected         // the job did not run because there was no capacity; not a failure, and not counted as an attempt
)

// JobState is the state of a job.
type JobState uint8

// The states of a job. The transitions table defines their order.
const (
	NotSubmitted JobState = iota // the zero value, before Submit has queued the job
	Waiting                      // for its NotBefore
	Ready                        // its NotBefore has passed
	Running                      // from Next until Ended, or until it counts as lost
	BackingOff                   // after a failure, waiting for its NotBefore
	Finished                     // succeeded or dropped; the Scheduler no longer knows the job
)

// Errors returned by Submit.
var (
	ErrInvalidTask  = errors.New("scheduler: invalid task")
	ErrUnknownClass = errors.New("scheduler: unknown class")
	ErrExpired      = errors.New("scheduler: job has expired") // or would expire before its NotBefore
	ErrQueueFull    = errors.New("scheduler: queue full of jobs that are due sooner")
)

// Stats counts the jobs of a class.
type Stats struct {
	Submitted, Merged           uint64 // Submitted counts valid jobs, including merged ones and those dropped at once
	DroppedFull, DroppedExpired uint64 // DroppedExpired includes running jobs that count as lost
	Started, Succeeded          uint64 // Started counts each attempt
	Failures                    uint64 // failed attempts
	GivenUp                     uint64 // jobs whose last attempt failed
	Postponed, Rejected         uint64 // Postponed counts delays by a verdict or a budget, Rejected results
	Discarded                   uint64 // by a verdict
	BreakerOpenings             uint64 // times that the breaker opened
	Queued, Running             int    // current numbers
	PeakQueued                  int    // maximum number of jobs queued at a time since the start
}
