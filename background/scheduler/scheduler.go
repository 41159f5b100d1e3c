package scheduler

import (
	"math"
	"slices"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const (
	priorityAging  = 5 * clock.Second        // time after which a class with ready jobs, none started, gains 1 priority
	maxCandidates  = 8                       // number of jobs that one call of Next considers
	postponeDelay  = 200 * clock.Millisecond // minimum delay of a job for which there is no capacity
	lostJobTimeout = 10 * clock.Second       // time after its expiry at which a running job counts as lost
)

// Scheduler schedules all background work of one router. It is not safe for concurrent use.
//
// Invariants: byTask contains every job that is queued or running, so that each task has at most one job. running
// and runningJobs contain the same jobs, those in the state Running.
type Scheduler struct {
	now         Micros                // latest time passed by the caller; never goes back
	classes     []*class              // indexed by ClassID
	budgets     [resourceKinds]Budget // limits of each single resource, by kind
	accounts    map[resource]*account // created on first use; idle ones are removed
	byTask      map[lease.Task]*queuedJob
	running     arena.Arena[*queuedJob] // by JobID
	runningJobs []*queuedJob            // in order of their start, for sweeps
	random      random.Source
	sequence    uint64 // of the last submitted job
	log         LogFunc
	pressure    pressure
}

// New returns a Scheduler without jobs. Job.Class is an index into classes. seed determines the jitter of delays
// and should differ between routers.
func New(now Micros, seed uint32, classes []Class, budgets ResourceBudgets, log LogFunc) *Scheduler {
	s := &Scheduler{
		now:      now,
		budgets:  budgetsByKind(budgets),
		log:      log,
		accounts: map[resource]*account{},
		byTask:   map[lease.Task]*queuedJob{},
		random:   random.Source{Seed: seed},
		pressure: pressure{holdOff: minHoldOff, relievedAt: now - minHoldOff},
	}
	for _, c := range classes {
		s.classes = append(s.classes, newClass(now, c))
	}
	return s
}

// Submit adds a job. If there is already a job for the task, the two are merged. If the queue of the class is full,
// the job that is due last is dropped, which may be the submitted one. The errors are ErrInvalidTask,
// ErrUnknownClass, ErrExpired and ErrQueueFull.
func (s *Scheduler) Submit(now Micros, job Job) error {
	s.now = max(s.now, now)
	switch {
	case !job.Task.Valid():
		return ErrInvalidTask
	case job.Class < 0 || int(job.Class) >= len(s.classes):
		return ErrUnknownClass
	case job.Expires <= s.now || job.NotBefore >= job.Expires:
		return ErrExpired
	}
	c := s.classes[job.Class]
	c.stats.Submitted++
	if queued := s.byTask[job.Task]; queued != nil {
		s.merge(queued, job)
		return nil
	}
	if c.queued() >= c.MaxQueued && !s.freeQueueSlot(c, job.Due) {
		c.stats.DroppedFull++
		return ErrQueueFull
	}
	s.sequence++
	queued := &queuedJob{Job: job, sequence: s.sequence}
	queued.Submitted = s.now
	queued.Attempts = 0
	s.byTask[job.Task] = queued
	s.transition(queued, Waiting)
	return nil
}

// Next returns the job to run now, or false if there is none. routeOf returns the route of a job and whether the
// job may run. It is called at most maxCandidates times, and must not call the Scheduler. The caller must start the
// job at once, and report its end with Ended under the returned id.
func (s *Scheduler) Next(now Micros, routeOf func(*Job) (Route, Verdict)) (JobID, Job, Route, bool) {
	s.now = max(s.now, now)
	if s.updateYielding() {
		return 0, Job{}, Route{}, false
	}
	for range maxCandidates {
		c := s.pickClass()
		if c == nil {
			break
		}
		next, _ := c.ready.Min()
		if next.Expires <= s.now {
			c.stats.DroppedExpired++
			s.transition(next, Finished)
			continue
		}
		route, verdict := routeOf(&next.Job)
		if s.start(c, next, route, verdict) {
			return next.id, next.Job, route, true
		}
	}
	return 0, Job{}, Route{}, false
}

// start starts a ready job if the verdict and the budgets permit it, and reports whether it did. Otherwise it
// postpones or drops the job.
func (s *Scheduler) start(c *class, job *queuedJob, route Route, verdict Verdict) bool {
	switch verdict {
	case Discard:
		c.stats.Discarded++
		s.transition(job, Finished)
		return false
	case Postpone:
		s.postpone(c, job, s.jitteredDelay())
		return false
	}
	if wait := s.budgetWait(c, job, route); wait > 0 {
		s.postpone(c, job, wait)
		return false
	}
	s.consumeBudgets(c, job, route)
	job.route = route
	job.Attempts++
	c.readySince = s.now
	c.stats.Started++
	s.transition(job, Running)
	return true
}

// jitteredDelay returns a delay of one to two times postponeDelay, so that postponed jobs do not become ready at
// the same time.
func (s *Scheduler) jitteredDelay() Micros {
	return postponeDelay + Micros(float64(postponeDelay)*s.random.Float64())
}

// pickClass returns the class whose job runs next, or nil if no class can start a job. Of classes with equal
// priority, the first one wins.
func (s *Scheduler) pickClass() *class {
	var selected *class
	highestPriority := math.Inf(-1)
	for _, c := range s.classes {
		s.promote(c)
		if !s.canStart(c) {
			continue
		}
		priority := float64(c.Priority) + float64(s.now-c.readySince)/float64(priorityAging)
		if priority > highestPriority {
			selected = c
			highestPriority = priority
		}
	}
	return selected
}

// promote moves waiting jobs whose NotBefore has passed to the ready queue.
func (s *Scheduler) promote(c *class) {
	for {
		job, ok := c.waiting.Min()
		if !ok || job.NotBefore > s.now {
			return
		}
		s.transition(job, Ready)
	}
}

// canStart reports whether a class has a ready job, and its breaker and budget permit starting one. The size of the
// job is checked later, by start.
func (s *Scheduler) canStart(c *class) bool {
	if c.ready.Len() == 0 || !s.breakerPermits(c) {
		return false
	}
	if c.Budget.Concurrent > 0 && c.account.running >= c.Budget.Concurrent {
		return false
	}
	return c.account.shortfall(s.now, c.Budget, 0) == 0
}

// Ended reports the result of a running job. A rejected job waits for a short time, and a failed one backs off,
// unless that was its last attempt. Ids of jobs that are no longer running are ignored, such as those of jobs that
// counted as lost.
func (s *Scheduler) Ended(now Micros, id JobID, result Result) {
	s.now = max(s.now, now)
	slot := s.running.Get(id)
	if slot == nil {
		return
	}
	job := *slot
	c := s.classes[job.Class]
	s.releaseConcurrency(c, job)
	if result == Rejected {
		c.stats.Rejected++
		job.Attempts--
		job.NotBefore = s.now + s.jitteredDelay()
		s.requeue(c, job, Waiting)
		return
	}
	s.recordResult(c, result == Failed)
	if result == Succeeded {
		c.stats.Succeeded++
		s.transition(job, Finished)
		return
	}
	c.stats.Failures++
	if job.Attempts >= c.MaxAttempts {
		c.stats.GivenUp++
		s.transition(job, Finished)
		return
	}
	job.NotBefore = s.now + s.backoff(c, job.Attempts)
	s.requeue(c, job, BackingOff)
}

// backoff returns how long a job waits after the given number of attempts, which is at least 1: the class's
// back-off time, doubled for each attempt after the first and jittered down to half.
func (s *Scheduler) backoff(c *class, attempts int) Micros {
	return Micros(float64(c.Backoff<<(attempts-1)) * (0.5 + 0.5*s.random.Float64()))
}

// Sweep drops expired jobs, and running jobs whose end was not reported in time and which therefore count as lost.
// Call it about once per second.
func (s *Scheduler) Sweep(now Micros) {
	s.now = max(s.now, now)
	for _, c := range s.classes {
		s.dropExpired(c)
	}
	for _, job := range slices.Clone(s.runningJobs) {
		if s.now-job.Expires <= lostJobTimeout {
			continue
		}
		c := s.classes[job.Class]
		s.releaseConcurrency(c, job)
		c.stats.DroppedExpired++
		s.transition(job, Finished)
	}
}

// SetBudget changes the budget of a class. Running jobs and what has been consumed still count.
func (s *Scheduler) SetBudget(c ClassID, b Budget) { s.classes[c].Budget = b }

// SetResourceBudgets changes the budgets of the resources. Running jobs and what has been consumed still count.
func (s *Scheduler) SetResourceBudgets(p ResourceBudgets) { s.budgets = budgetsByKind(p) }

// Contains reports whether there is a queued or running job for a task.
func (s *Scheduler) Contains(t lease.Task) bool { return s.byTask[t] != nil }

// QueuedCount returns the number of queued jobs of all classes, not counting running ones.
func (s *Scheduler) QueuedCount() int {
	n := 0
	for _, c := range s.classes {
		n += c.queued()
	}
	return n
}

// Stats returns counts of the jobs of a class.
func (s *Scheduler) Stats(c ClassID) Stats {
	stats := s.classes[c].stats
	stats.Queued = s.classes[c].queued()
	stats.Running = s.classes[c].account.running
	return stats
}
