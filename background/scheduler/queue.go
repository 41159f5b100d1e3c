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

// queuedJob is a job in hand.
type queuedJob struct {
	Job
	sequence uint64 // breaks ties: first come, first served
	state    JobState
	id       JobID // while it runs
	route    Route
}

// class is the state of one class.
type class struct {
	Class
	stats      Stats
	waiting    *btree.BTreeG[*queuedJob] // by NotBefore: Waiting and BackingOff
	ready      *btree.BTreeG[*queuedJob] // by Due
	account    account
	readySince Micros // has had ready jobs unserved
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

// selectQueued gathers the queued jobs that a test names.
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

// lastDue is the queued job that is due last, or nil.
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

// transition is the one place where a job changes its state and the queue that it stands in. An illegal change is
// ignored, as in package routing: background work must not stop the router.
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

// merge joins a job with one in hand of the same task: the sooner due counts, and the later expiry. A job that runs
// already goes on as it is: it does this one's work too.
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
	queue.Delete(x) // its order changes
	x.Due = min(x.Due, job.Due)
	x.Expires = max(x.Expires, job.Expires)
	x.SizeKB = max(x.SizeKB, job.SizeKB)
	if x.state == Waiting {
		x.NotBefore = min(x.NotBefore, job.NotBefore)
	}
	queue.Set(x)
}

// makeRoom drops the expired jobs of a class, else the one due last if that is later than the given time.
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

// dropExpired drops the queued jobs of a class that have expired.
func (s *Scheduler) dropExpired(c *class) {
	for _, x := range c.selectQueued(func(j *Job) bool { return j.Expires <= s.now }) {
		c.stats.DroppedExpired++
		s.transition(x, Finished)
	}
}

// requeue has a job wait again, unless it would expire meanwhile or the class is full.
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

// postpone puts a ready job off.
func (s *Scheduler) postpone(c *class, x *queuedJob, delay Micros) {
	c.stats.Postponed++
	x.NotBefore = s.now + delay
	s.transition(x, Waiting)
}
