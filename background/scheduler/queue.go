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
	gather := func(x *queuedJob) bool {
		if test(&x.Job) {
			selected = append(selected, x)
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
	c.waiting.Scan(func(x *queuedJob) bool {
		if last == nil || byDue(last, x) {
			last = x
		}
		return true
	})
	return last
}

// transition changes the state of a job and moves it between queues. It is the only code that does so. It ignores
// an illegal change, like package routing, because background work must not stop the router.
func (s *Scheduler) transition(x *queuedJob, to JobState) {
	if !slices.Contains(transitions[x.state], to) {
		return
	}
	c := s.classes[x.Class]
	s.exitState(c, x)
	x.state = to
	s.enterState(c, x)
	c.stats.Queued = c.queued()
	c.stats.PeakQueued = max(c.stats.PeakQueued, c.queued())
}

func (s *Scheduler) exitState(c *class, x *queuedJob) {
	switch x.state {
	case Waiting, BackingOff:
		c.waiting.Delete(x)
	case Ready:
		c.ready.Delete(x)
	case Running:
		s.running.Free(x.id)
		x.id = 0
		s.runningJobs = slices.DeleteFunc(s.runningJobs, func(o *queuedJob) bool { return o == x })
	}
}

func (s *Scheduler) enterState(c *class, x *queuedJob) {
	switch x.state {
	case Waiting, BackingOff:
		c.waiting.Set(x)
	case Ready:
		if c.ready.Len() == 0 {
			c.readySince = s.now
		}
		c.ready.Set(x)
	case Running:
		id, slot := s.running.Allocate()
		*slot = x
		x.id = id
		s.runningJobs = append(s.runningJobs, x)
	case Finished:
		delete(s.byTask, x.Task)
	}
}

// merge merges a job with a known job of the same task, keeping the earlier due time and the later expiry. If the
// known job is already running, it does the work of both.
func (s *Scheduler) merge(x *queuedJob, job Job) {
	c := s.classes[x.Class]
	c.stats.Merged++
	if x.state == Running {
		return
	}
	queue := c.waiting
	if x.state == Ready {
		queue = c.ready
	}
	queue.Delete(x) // its sort key changes
	x.Due = min(x.Due, job.Due)
	x.Expires = max(x.Expires, job.Expires)
	x.SizeKB = max(x.SizeKB, job.SizeKB)
	if x.state == Waiting {
		x.NotBefore = min(x.NotBefore, job.NotBefore)
	}
	queue.Set(x)
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
	for _, x := range c.selectQueued(func(j *Job) bool { return j.Expires <= s.now }) {
		c.stats.DroppedExpired++
		s.transition(x, Finished)
	}
}

// requeue queues a job again, unless it would expire before it may run or the queue is full.
func (s *Scheduler) requeue(c *class, x *queuedJob, to JobState) {
	switch {
	case x.NotBefore >= x.Expires:
		c.stats.DroppedExpired++
		s.transition(x, Finished)
	case c.queued() >= c.MaxQueued && !s.makeRoom(c, x.Due):
		c.stats.DroppedFull++
		s.transition(x, Finished)
	default:
		s.transition(x, to)
	}
}

// postpone delays a ready job.
func (s *Scheduler) postpone(c *class, x *queuedJob, delay Micros) {
	c.stats.Postponed++
	x.NotBefore = s.now + delay
	s.transition(x, Waiting)
}
