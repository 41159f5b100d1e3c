package scheduler

import (
	"slices"

	"github.com/tidwall/btree"
)

// transitions lists the states that may follow each state.
var transitions = [...][]JobState{
	Vacant:     {Waiting},
	Waiting:    {Ready, Finished},
	Ready:      {Running, Waiting, Finished},
	Running:    {BackingOff, Waiting, Finished},
	BackingOff: {Ready, Finished},
	Finished:   {},
}

// queuedJob is a job in the scheduler, queued or running.
type queuedJob struct {
	Job
	sequence uint64 // breaks ties: first in, first out
	state    JobState
	id       JobID // set while it runs
	route    Route
}

// class is the state of one class.
// Invariant: waiting contains exactly the jobs in the states Waiting and BackingOff, and ready those in the state
// Ready (see transition). A job's sort key may change only while the job is in neither.
type class struct {
	Class
	stats      Stats
	waiting    *btree.BTreeG[*queuedJob] // sorted by NotBefore
	ready      *btree.BTreeG[*queuedJob] // sorted by Due
	account    account
	readySince Micros // since when ready jobs have not been served
	breaker    breaker
}

func newClass(now Micros, c Class) *class {
	c.MaxQueued = max(c.MaxQueued, 1)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	options := btree.Options{NoLocks: true, Degree: 8}
	return &class{
		Class:      c,
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

func (c *class) queued() int { return c.waiting.Len() + c.ready.Len() }

// selectQueued returns the queued jobs for which test returns true.
func (c *class) selectQueued(test func(*Job) bool) []*queuedJob {
	var selected []*queuedJob
	gather := func(job *queuedJob) bool {
		if test(&job.Job) {
			selected = append(selected, job)
		}
		return true
	}
	c.ready.Scan(gather)
	c.waiting.Scan(gather)
	return selected
}

// lastDue returns the queued job that is due last, or nil.
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

// transition changes the state of a job and moves it between queues. It is the only code that does so. It ignores
// an illegal change, like package routing, because background work must not stop the router.
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

// merge merges a job with a known job of the same task, keeping the earlier due time and the later expiry. If the
// known job is already running, it does the work of both.
func (s *Scheduler) merge(known *queuedJob, job Job) {
	c := s.classes[known.Class]
	c.stats.Merged++
	if known.state == Running {
		return
	}
	queue := c.waiting
	if known.state == Ready {
		queue = c.ready
	}
	queue.Delete(known) // its sort key changes
	known.Due = min(known.Due, job.Due)
	known.Expires = max(known.Expires, job.Expires)
	known.SizeKB = max(known.SizeKB, job.SizeKB)
	if known.state == Waiting {
		known.NotBefore = min(known.NotBefore, job.NotBefore)
	}
	queue.Set(known)
}

// makeRoom drops the expired jobs of a class. If the queue is still full, it drops the job that is due last, if
// that is due after the given time. It reports whether there is room.
func (s *Scheduler) makeRoom(c *class, due Micros) bool {
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

// requeue queues a job again, unless it would expire before it may run or the queue is full.
func (s *Scheduler) requeue(c *class, job *queuedJob, to JobState) {
	switch {
	case job.NotBefore >= job.Expires:
		c.stats.DroppedExpired++
		s.transition(job, Finished)
	case c.queued() >= c.MaxQueued && !s.makeRoom(c, job.Due):
		c.stats.DroppedFull++
		s.transition(job, Finished)
	default:
		s.transition(job, to)
	}
}

// postpone delays a ready job.
func (s *Scheduler) postpone(c *class, job *queuedJob, delay Micros) {
	c.stats.Postponed++
	job.NotBefore = s.now + delay
	s.transition(job, Waiting)
}
