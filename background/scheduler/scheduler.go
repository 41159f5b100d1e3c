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
	priorityAging  = 5 * clock.Second // a class whose ready jobs were unserved for so long counts for one priority more
	maxCandidates  = 8                // jobs that one call of Next considers
	postponeDelay  = 200 * clock.Millisecond
	lostJobTimeout = 10 * clock.Second // past its expiry: its end is not to be expected any more
)

// Scheduler holds all background work of one router. It is not safe for concurrent use.
type Scheduler struct {
	now         Micros
	classes     []*class
	budgets     [resourceKinds]Budget
	accounts    map[resource]*account
	byTask      map[lease.Task]*queuedJob
	running     arena.Arena[*queuedJob]
	runningJobs []*queuedJob
	random      random.Source
	sequence    uint64
	log         LogFunc
	pressure    pressure
}

// New makes a scheduler.
func New(now Micros, seed uint32, classes []Class, budgets PathBudgets, log LogFunc) *Scheduler {
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

// Submit hands a job in. One whose task is in hand already is merged with that. Its errors are ErrInvalidTask,
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
	if x := s.byTask[job.Task]; x != nil {
		s.merge(x, job)
		return nil
	}
	if c.queued() >= c.MaxQueued && !s.makeRoom(c, job.Due) {
		c.stats.DroppedFull++
		return ErrQueueFull
	}
	s.sequence++
	x := &queuedJob{Job: job, sequence: s.sequence}
	x.Submitted = s.now
	x.Attempts = 0
	s.byTask[job.Task] = x
	s.transition(x, Waiting)
	return nil
}

// Next returns the job to be run now, if there is one. The function where tells where a job would go; it is called a
// few times at most. A job that Next gives must start at once.
func (s *Scheduler) Next(now Micros, where func(*Job) (Route, Verdict)) (JobID, Job, Route, bool) {
	s.now = max(s.now, now)
	if s.mustYield() {
		return 0, Job{}, Route{}, false
	}
	for range maxCandidates {
		c := s.pickClass()
		if c == nil {
			break
		}
		x, _ := c.ready.Min()
		if x.Expires <= s.now {
			c.stats.DroppedExpired++
			s.transition(x, Finished)
			continue
		}
		route, verdict := where(&x.Job)
		if s.start(c, x, route, verdict) {
			return x.id, x.Job, route, true
		}
	}
	return 0, Job{}, Route{}, false
}

// start starts a ready job if the verdict and the budgets allow; else it is put off or dropped.
func (s *Scheduler) start(c *class, x *queuedJob, route Route, verdict Verdict) bool {
	switch verdict {
	case Discard:
		c.stats.Discarded++
		s.transition(x, Finished)
		return false
	case Postpone:
		s.postpone(c, x, s.postponement())
		return false
	}
	if wait := s.waitFor(c, x, route); wait > 0 {
		s.postpone(c, x, wait)
		return false
	}
	s.reserve(c, x, route)
	x.route = route
	x.Attempts++
	c.readySince = s.now
	c.stats.Started++
	s.transition(x, Running)
	return true
}

// postponement is the delay of a job that is not wanted now, jittered so that jobs do not return in step.
func (s *Scheduler) postponement() Micros {
	return postponeDelay + Micros(float64(postponeDelay)*s.random.Float64())
}

// pickClass returns the class that goes next, or nil.
func (s *Scheduler) pickClass() *class {
	var best *class
	highest := math.Inf(-1)
	for _, c := range s.classes {
		s.promote(c)
		if !s.canStart(c) {
			continue
		}
		priority := float64(c.Priority) + float64(s.now-c.readySince)/float64(priorityAging)
		if priority > highest {
			best = c
			highest = priority
		}
	}
	return best
}

// promote makes ready what may go by now.
func (s *Scheduler) promote(c *class) {
	for {
		x, ok := c.waiting.Min()
		if !ok || x.NotBefore > s.now {
			return
		}
		s.transition(x, Ready)
	}
}

// canStart reports whether a class has a ready job that its breaker and its budget allow.
func (s *Scheduler) canStart(c *class) bool {
	if c.ready.Len() == 0 || !s.mayRun(c) {
		return false
	}
	if c.Budget.Concurrent > 0 && c.account.running >= c.Budget.Concurrent {
		return false
	}
	return c.account.shortfall(s.now, c.Budget, 0) == 0
}

// Ended reports how a job ended. An id that is not running any more is ignored.
func (s *Scheduler) Ended(now Micros, id JobID, result Result) {
	s.now = max(s.now, now)
	slot := s.running.Get(id)
	if slot == nil {
		return
	}
	x := *slot
	c := s.classes[x.Class]
	s.release(c, x)
	if result == Rejected {
		c.stats.Rejected++
		x.Attempts--
		x.NotBefore = s.now + s.postponement()
		s.requeue(c, x, Waiting)
		return
	}
	s.recordResult(c, result == Failed)
	if result == Succeeded {
		c.stats.Succeeded++
		s.transition(x, Finished)
		return
	}
	c.stats.Failures++
	if x.Attempts >= c.MaxAttempts {
		c.stats.GivenUp++
		s.transition(x, Finished)
		return
	}
	x.NotBefore = s.now + s.backoff(c, x.Attempts)
	s.requeue(c, x, BackingOff)
}

// backoff is how long a job waits after its so many attempts have failed.
func (s *Scheduler) backoff(c *class, attempts int) Micros {
	return Micros(float64(c.Backoff<<(attempts-1)) * (0.5 + 0.5*s.random.Float64()))
}

// Sweep drops what has expired, and running jobs whose end never came. It is called now and then.
func (s *Scheduler) Sweep(now Micros) {
	s.now = max(s.now, now)
	for _, c := range s.classes {
		s.dropExpired(c)
	}
	for _, x := range slices.Clone(s.runningJobs) {
		if s.now-x.Expires <= lostJobTimeout {
			continue
		}
		c := s.classes[x.Class]
		s.release(c, x)
		c.stats.DroppedExpired++
		s.transition(x, Finished)
	}
}

// SetBudget changes the budget of a class.
func (s *Scheduler) SetBudget(c ClassID, b Budget) { s.classes[c].Budget = b }

// SetPathBudgets changes the budgets of the resources.
func (s *Scheduler) SetPathBudgets(p PathBudgets) { s.budgets = budgetsByKind(p) }

// Contains reports whether a task is in hand.
func (s *Scheduler) Contains(t lease.Task) bool { return s.byTask[t] != nil }

// Queued counts the jobs that wait, of all classes.
func (s *Scheduler) Queued() int {
	n := 0
	for _, c := range s.classes {
		n += c.queued()
	}
	return n
}

// Stats counts what became of a class's jobs.
func (s *Scheduler) Stats(c ClassID) Stats {
	stats := s.classes[c].stats
	stats.Queued = s.classes[c].queued()
	stats.Running = s.classes[c].account.running
	return stats
}
