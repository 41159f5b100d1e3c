package scheduler

import (
	"slices"

	"github.com/tidwall/btree"
)

// transitions lists the states that may follow each state. Ready returns to Waiting when a job is postponed, and
// Running when it is rejected.
var transitions = [...][]JobState{
	NotSubmitted: {Waiting},
	Waiting:      {Ready, Finished},
	Ready:        {Running, Waiting, Finished},
	Running:      {BackingOff, Waiting, Finished},
	BackingOff:   {Ready, Finished},
	Finished:     {},
}

// queuedJob is a job in the scheduler, queued or running.
type queuedJob struct {
	Job
	sequence uint64 // order of submission; breaks ties, so that keys are unique
	state    JobState
	id       JobID // 0 unless it is running
	route    Route // set when it starts
}

// class is the state of one class.
//
// Invariants: waiting contains exactly the jobs in the states Waiting and BackingOff, and ready those in the state
// Ready (see transition). A job's sort key (NotBefore in waiting, Due in ready) may change only while the job is in
// neither.
type class struct {
	Class
	stats   Stats
	waiting *btree.BTreeG[*queuedJob] // sorted by NotBefore
	ready   *btree.BTreeG[*queuedJob] // sorted by Due
	account account                   // of the class's own budget
	// readySince is when the ready queue last became non-empty or a job of the class last started. The class gains
	// priority from then on.
	readySince Micros
	breaker    breaker
}

// newClass returns the state of a class without jobs, and replaces limits below their minimum.
func newClass(now Micros, config Class) *class {
	config.MaxQueued = max(config.MaxQueued, 1)
	config.MaxAttempts = max(config.MaxAttempts, 1)
	options := btree.Options{NoLocks: true, Degree: 8}
	return &class{
		Class:      config,
		breaker:    breaker{nextOpenTime: minOpenTime},
		readySince: now,
		waiting:    btree.NewBTreeGOptions(byNotBefore, options),
		ready:      btree.NewBTreeGOptions(byDue, options),
	}
}

func byNotBefore(a, b *queuedJob) bool {
	return a.NotBefore < b.NotBefore || a.NotBefore == b.NotBefore && a.sequence < b.sequence
}

func byDue(a, b *queuedJob) bool {
	return a.Due < b.Due || a.Due == b.Due && a.sequence < b.sequence
}

// queued returns the number of jobs that are not running.
func (c *class) queued() int { return c.waiting.Len() + c.ready.Len() }

// selectQueued returns the queued jobs for which test returns true.
func (c *class) selectQueued(test func(*Job) bool) []*queuedJob {
	var selected []*queuedJob
	collect := func(job *queuedJob) bool {
		if test(&job.Job) {
			selected = append(selected, job)
		}
		return true
	}
	c.ready.Scan(collect)
	c.waiting.Scan(collect)
	return selected
}

// lastDue returns the queued job that is due last, or nil. It scans all waiting jobs, because they are sorted by
// NotBefore.
func (c *class) lastDue() *queuedJob {
	last, _ := c.ready.Max()
	c.waiting.Scan(func(job *queuedJob) bool {
		if last == nil || byDue(last, job) {
			last = job
		}
		return true
	})
	return last
}

// transition changes the state of a job and moves the job between queues. It is the only code that does so, except
// that merge removes a job from its queue while it changes the sort key. It ignores a transition that the table
// does not allow, like package routing, because a fault in background work must not stop the router.
func (s *Scheduler) transition(job *queuedJob, to JobState) {
	if !slices.Contains(transitions[job.state], to) {
		return
	}
	c := s.classes[job.Class]
	s.exitState(c, job)
	job.state = to
	s.enterState(c, job)
	c.stats.Queued = c.queued()
	c.stats.PeakQueued = max(c.stats.PeakQueued, c.queued())
}

// exitState removes a job from the collection of its current state.
func (s *Scheduler) exitState(c *class, job *queuedJob) {
	switch job.state {
	case Waiting, BackingOff:
		c.waiting.Delete(job)
	case Ready:
		c.ready.Delete(job)
	case Running:
		s.running.Free(job.id)
		job.id = 0
		s.runningJobs = slices.DeleteFunc(s.runningJobs, func(running *queuedJob) bool { return running == job })
	}
}

// enterState adds a job to the collection of its new state. A class whose ready queue was empty starts to gain
// priority now. A finished job is forgotten, so that its task may be submitted again.
func (s *Scheduler) enterState(c *class, job *queuedJob) {
	switch job.state {
	case Waiting, BackingOff:
		c.waiting.Set(job)
	case Ready:
		if c.ready.Len() == 0 {
			c.readySince = s.now
		}
		c.ready.Set(job)
	case Running:
		id, slot := s.running.Allocate()
		*slot = job
		job.id = id
		s.runningJobs = append(s.runningJobs, job)
	case Finished:
		delete(s.byTask, job.Task)
	}
}

// merge merges a job with the existing job of the same task, keeping the earlier due time and the later expiry. If
// the existing job is already running, it does the work of both. The back-off time of a failed job remains.
func (s *Scheduler) merge(existing *queuedJob, job Job) {
	c := s.classes[existing.Class]
	c.stats.Merged++
	if existing.state == Running {
		return
	}
	queue := c.waiting
	if existing.state == Ready {
		queue = c.ready
	}
	queue.Delete(existing) // its sort key changes
	existing.Due = min(existing.Due, job.Due)
	existing.Expires = max(existing.Expires, job.Expires)
	existing.SizeKB = max(existing.SizeKB, job.SizeKB)
	if existing.state == Waiting {
		existing.NotBefore = min(existing.NotBefore, job.NotBefore)
	}
	queue.Set(existing)
}

// freeQueueSlot makes space for a job that is due at the given time, and reports whether there is any. It drops the
// expired jobs of the class and, if the queue is still full, the job that is due last, provided that this job is
// due after the given time.
func (s *Scheduler) freeQueueSlot(c *class, due Micros) bool {
	s.dropExpired(c)
	if c.queued() < c.MaxQueued {
		return true
	}
	last := c.lastDue()
	if last == nil || last.Due <= due {
		return false
	}
	c.stats.DroppedFull++
	s.transition(last, Finished)
	return true
}

// dropExpired drops the expired jobs in a class's queues.
func (s *Scheduler) dropExpired(c *class) {
	for _, job := range c.selectQueued(func(j *Job) bool { return j.Expires <= s.now }) {
		c.stats.DroppedExpired++
		s.transition(job, Finished)
	}
}

// requeue queues a job that was running, in the state Waiting or BackingOff. It drops the job if it would expire
// before it may run again, or if the queue is full of jobs that are due sooner.
func (s *Scheduler) requeue(c *class, job *queuedJob, to JobState) {
	switch {
	case job.NotBefore >= job.Expires:
		c.stats.DroppedExpired++
		s.transition(job, Finished)
	case c.queued() >= c.MaxQueued && !s.freeQueueSlot(c, job.Due):
		c.stats.DroppedFull++
		s.transition(job, Finished)
	default:
		s.transition(job, to)
	}
}

// postpone moves a ready job back to the waiting jobs for a time.
func (s *Scheduler) postpone(c *class, job *queuedJob, delay Micros) {
	c.stats.Postponed++
	job.NotBefore = s.now + delay
	s.transition(job, Waiting)
}
