// Package chores schedules background work: what goes next, when, and how much of it. Visits come first: all of it gives
// way at once when they are pressed. Free of I/O: time comes in as an argument.
//
// How it is called: New makes a scheduler. Put hands a chore in. Next, called often, gives the one to be done now, having
// asked where it would go; Ended tells how it ended. Pressed tells whether visits are late, limits have been cut or the
// router is in overload.
//
// How it is decided: among classes, the highest priority first, and what has waited long rises; within a class the
// earliest due first. Each chore must be afforded by its class and by each place that it touches, in work and in bytes.
// What is past its use is dropped and counted. A failure has its chore rest for a while, many have their class stop.
package scheduler

import (
	"fmt"
	"math"
	"slices"

	"github.com/tidwall/btree"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
	"threadrun/internal/random"
	"threadrun/internal/tokenbucket"
)

const (
	rises   = 5 * clock.Second // a class that has had ready work for so long unserved counts for one priority more
	looks   = 8                // chores that one call of Next looks at
	putOff  = 200 * clock.Millisecond
	lost    = 10 * clock.Second // past its use: an end that never comes
	accMost = 512               // places that accounts are kept for

	calmFirst, calmMost = 500 * clock.Millisecond, 8 * clock.Second
	calmForgets         = 10 * clock.Second

	stormLeast          = 5   // failures in a row of stormOf by share
	stormShare          = 0.5 // of late ends
	stormKeeps          = 0.1 // weight of one end
	stopFirst, stopMost = clock.Second, 60 * clock.Second

	brim = 1.0 // seconds of an allowance that may be spent at once
)

var follows = [...][]JobState{
	Vacant: {Waiting}, Waiting: {Ready, Finished}, Ready: {Running, Waiting, Finished}, Running: {BackingOff, Waiting, Finished},
	BackingOff: {Ready, Finished}, Finished: {},
}

// item is a chore in hand.
type item struct {
	Job
	no     uint64 // settles ties: what came first
	state  JobState
	ticket JobID
	route  Route
	sent   Micros
}

// class is what is held of one.
type class struct {
	Class
	tally   Stats
	waiting *btree.BTreeG[*item] // by From: Waiting and Resting
	ready   *btree.BTreeG[*item] // by Due
	account account
	since   Micros // has had ready work unserved
	flow    BreakerState
	until   Micros // stopped
	stop    Micros // how long the next time
	bad     float64
	run     int // failures in a row
}

// account is what was spent somewhere.
type account struct {
	works, kb tokenbucket.Bucket
	out       int
	used      Micros
}

// place names what an account is kept for.
type place struct {
	kind uint8
	id   int32
}

const (
	atCache uint8 = iota
	atParent
	atLink
	atOrigin
)

// Scheduler holds all background work of one router.
type Scheduler struct {
	now      Micros
	classes  []*class
	ways     [4]Budget
	accounts map[place]*account
	byWork   map[lease.Task]*item
	out      arena.Arena[*item]
	chance   random.Source
	count    uint64
	note     func(line string)
	outs     []*item
	pressed  bool
	held     bool   // work has given way
	eased    Micros // since then visits are not pressed
	hold     Micros // how long after that nothing goes yet
	yields   uint64
}

// New makes a scheduler; note takes a line for each change of mode.
func New(now Micros, seed uint32, classes []Class, ways PathBudgets, note func(line string)) *Scheduler {
	s := &Scheduler{now: now, ways: [4]Budget{ways.Cache, ways.Parent, ways.Link, ways.Origin}, note: note,
		accounts: map[place]*account{}, byWork: map[lease.Task]*item{}, chance: random.Source{Seed: seed},
		hold: calmFirst, eased: now - calmFirst}
	for _, c := range classes {
		c.MaxQueued, c.MaxAttempts = max(c.MaxQueued, 1), max(c.MaxAttempts, 1)
		s.classes = append(s.classes, &class{Class: c, stop: stopFirst, since: now,
			waiting: btree.NewBTreeGOptions(byFrom, btree.Options{NoLocks: true, Degree: 8}),
			ready:   btree.NewBTreeGOptions(byDue, btree.Options{NoLocks: true, Degree: 8})})
	}
	return s
}

func byFrom(a, b *item) bool {
	return a.NotBefore < b.NotBefore || a.NotBefore == b.NotBefore && a.no < b.no
}

func byDue(a, b *item) bool { return a.Due < b.Due || a.Due == b.Due && a.no < b.no }

// move is the one place where a chore changes its state, and the lists that it stands on.
func (s *Scheduler) move(x *item, to JobState) bool {
	for _, f := range follows[x.state] {
		if f != to {
			continue
		}
		c := s.classes[x.Class]
		switch x.state {
		case Waiting, BackingOff:
			c.waiting.Delete(x)
		case Ready:
			c.ready.Delete(x)
		case Running:
			s.out.Free(x.ticket)
			x.ticket = 0
			s.outs = slices.DeleteFunc(s.outs, func(o *item) bool { return o == x })
		}
		x.state = to
		switch to {
		case Waiting, BackingOff:
			c.waiting.Set(x)
		case Ready:
			if c.ready.Len() == 0 {
				c.since = s.now
			}
			c.ready.Set(x)
		case Running:
			var at **item
			x.ticket, at = s.out.Allocate()
			*at = x
			s.outs = append(s.outs, x)
		case Finished:
			delete(s.byWork, x.Task)
		}
		c.tally.Queued, c.tally.MaxQueued = c.held(), max(c.tally.MaxQueued, c.held())
		return true
	}
	return false
}

func (c *class) held() int { return c.waiting.Len() + c.ready.Len() }

// Submit hands a chore in. One whose work is in hand already is merged with that: the sooner due counts, and the longer use.
func (s *Scheduler) Submit(now Micros, c Job) error {
	s.now = max(s.now, now)
	switch {
	case !c.Task.Valid():
		return ErrInvalidTask
	case c.Class < 0 || int(c.Class) >= len(s.classes):
		return ErrUnknownClass
	case c.Expires <= s.now || c.NotBefore >= c.Expires:
		return ErrExpired
	}
	k := s.classes[c.Class]
	k.tally.Submitted++
	if x := s.byWork[c.Task]; x != nil {
		s.merge(x, c)
		return nil
	}
	if k.held() >= k.MaxQueued && !s.makeRoom(k, c.Due) {
		k.tally.DroppedFull++
		return ErrQueueFull
	}
	s.count++
	x := &item{Job: c, no: s.count}
	x.Submitted, x.Attempts = s.now, 0
	s.byWork[c.Task] = x
	s.move(x, Waiting)
	return nil
}

// merge joins a chore with one in hand. One that is out already goes on as it is: it does this one's work too.
func (s *Scheduler) merge(x *item, c Job) {
	s.classes[x.Class].tally.Merged++
	if x.state == Running {
		return
	}
	k, state := s.classes[x.Class], x.state
	if state == Ready {
		k.ready.Delete(x)
	} else {
		k.waiting.Delete(x)
	}
	x.Due, x.Expires, x.SizeKB = min(x.Due, c.Due), max(x.Expires, c.Expires), max(x.SizeKB, c.SizeKB)
	if state == Waiting {
		x.NotBefore = min(x.NotBefore, c.NotBefore)
	}
	if state == Ready {
		k.ready.Set(x)
	} else {
		k.waiting.Set(x)
	}
}

// makeRoom drops what is past its use, else what is due last, if that is later than what comes.
func (s *Scheduler) makeRoom(k *class, due Micros) bool {
	s.dropExpired(k)
	if k.held() < k.MaxQueued {
		return true
	}
	last, _ := k.ready.Max()
	k.waiting.Scan(func(x *item) bool {
		if last == nil || byDue(last, x) {
			last = x
		}
		return true
	})
	if last == nil || last.Due <= due {
		return false
	}
	k.tally.DroppedFull++
	s.move(last, Finished)
	return true
}

// dropExpired drops what is past its use.
func (s *Scheduler) dropExpired(k *class) {
	var past []*item
	gather := func(x *item) bool {
		if x.Expires <= s.now {
			past = append(past, x)
		}
		return true
	}
	k.ready.Scan(gather)
	k.waiting.Scan(gather)
	for _, x := range past {
		k.tally.DroppedExpired++
		s.move(x, Finished)
	}
}

// SetPressure tells whether visits are pressed. Work gives way at once, and comes back only after a while of ease: the longer,
// the more often they were pressed of late.
func (s *Scheduler) SetPressure(now Micros, pressed bool) {
	s.now = max(s.now, now)
	if pressed && !s.held {
		if s.hold *= 2; s.now-s.eased > s.hold+calmForgets {
			s.hold = calmFirst
		}
		s.hold = min(s.hold, calmMost)
		s.held = true
		s.yields++
		s.note(fmt.Sprintf("chores: visits are pressed, background work waits; %d wait", s.Queued()))
	}
	if s.pressed && !pressed {
		s.eased = s.now
	}
	s.pressed = pressed
}

// gives tells whether work gives way, and takes it up again once visits have been at ease for long enough.
func (s *Scheduler) gives() bool {
	if s.held && !s.pressed && s.now-s.eased >= s.hold {
		s.held = false
		s.note(fmt.Sprintf("chores: visits at ease for %dms, background work goes on; %d wait", s.hold/clock.Millisecond,
			s.Queued()))
	}
	return s.held
}

// Yields tells how often work has given way.
func (s *Scheduler) Yields() uint64 { return s.yields }

// Queued counts the chores that wait.
func (s *Scheduler) Queued() (n int) {
	for _, c := range s.classes {
		n += c.held()
	}
	return n
}

// Next gives the chore that goes now, if any does. Where is asked where one would go; it is asked no more than a few times
// a call, and what it sends to must follow at once.
func (s *Scheduler) Next(now Micros, where func(*Job) (Route, Verdict)) (JobID, Job, Route, bool) {
	s.now = max(s.now, now)
	if s.gives() {
		return 0, Job{}, Route{}, false
	}
	for range looks {
		c := s.pick()
		if c == nil {
			break
		}
		x, _ := c.ready.Min()
		if x.Expires <= s.now {
			c.tally.DroppedExpired++
			s.move(x, Finished)
			continue
		}
		route, answer := where(&x.Job)
		switch {
		case answer == Discard:
			c.tally.Discarded++
			s.move(x, Finished)
		case answer == Postpone:
			s.later(c, x, putOff+Micros(float64(putOff)*s.chance.Float64()))
		default:
			if wait := s.wait(c, x, route); wait > 0 {
				s.later(c, x, wait)
				continue
			}
			s.spend(c, x, route, 1)
			x.route, x.sent = route, s.now
			x.Attempts++
			c.since = s.now
			c.tally.Started++
			s.move(x, Running)
			return x.ticket, x.Job, route, true
		}
	}
	return 0, Job{}, Route{}, false
}

// later puts a chore off.
func (s *Scheduler) later(c *class, x *item, wait Micros) {
	c.tally.Postponed++
	x.NotBefore = s.now + wait
	s.move(x, Waiting)
}

// pick takes the class that goes next, having made ready what may go by now.
func (s *Scheduler) pick() (best *class) {
	most := math.Inf(-1)
	for _, c := range s.classes {
		for {
			x, ok := c.waiting.Min()
			if !ok || x.NotBefore > s.now {
				break
			}
			s.move(x, Ready)
		}
		if c.ready.Len() == 0 || !s.flows(c) {
			continue
		}
		if c.Budget.Concurrent > 0 && c.account.out >= c.Budget.Concurrent {
			continue
		}
		if c.account.short(s.now, c.Budget, 0) > 0 {
			continue
		}
		if worth := float64(c.Priority) + float64(s.now-c.since)/float64(rises); worth > most {
			best, most = c, worth
		}
	}
	return best
}

// flows tells whether a class may send: one that was stopped sends a single chore, and goes by how that ends.
func (s *Scheduler) flows(c *class) bool {
	if c.flow == BreakerOpen && s.now >= c.until {
		c.flow = BreakerHalfOpen
	}
	return c.flow == BreakerClosed || c.flow == BreakerHalfOpen && c.account.out == 0
}

// at lists the places of a route.
func (r Route) at(f func(place)) {
	if r.Cache >= 0 {
		f(place{atCache, r.Cache})
	}
	if r.Parent >= 0 {
		f(place{atParent, r.Parent})
	}
	if r.Link {
		f(place{atLink, 0})
	}
	if r.Origin {
		f(place{atOrigin, 0})
	}
}

// wait is how long a chore must wait until its class and all places on its way afford it.
func (s *Scheduler) wait(c *class, x *item, r Route) (most Micros) {
	most = c.account.short(s.now, c.Budget, x.SizeKB)
	r.at(func(p place) {
		way := s.ways[p.kind]
		a := s.account(p)
		most = max(most, a.short(s.now, way, x.SizeKB))
		if way.Concurrent > 0 && a.out >= way.Concurrent {
			most = max(most, putOff)
		}
	})
	return most
}

// account finds what was spent at a place. Those not used for long make room for others.
func (s *Scheduler) account(p place) *account {
	a := s.accounts[p]
	if a == nil {
		if len(s.accounts) >= accMost {
			for q, o := range s.accounts { // the order does not matter: each goes by its own age
				if o.out == 0 && s.now-o.used > 2*clock.Second {
					delete(s.accounts, q)
				}
			}
		}
		a = &account{}
		s.accounts[p] = a
	}
	return a
}

// spend enters a chore in the accounts it counts in, or, with -1, takes it out of what is out there.
func (s *Scheduler) spend(c *class, x *item, r Route, n int) {
	take := func(a *account) {
		if a.out += n; n > 0 {
			a.used = s.now
			a.works.Take(1)
			a.kb.Take(x.SizeKB)
		}
	}
	take(&c.account)
	r.at(func(p place) { take(s.account(p)) })
}

// short is how long until an allowance holds enough. A chore larger than a second's bytes goes once a second's are there.
func (a *account) short(now Micros, w Budget, kb float64) (most Micros) {
	t := now.Seconds()
	if w.OperationsPerSecond > 0 {
		top := math.Max(w.OperationsPerSecond*brim, 1)
		if held := a.works.Refill(t, w.OperationsPerSecond, top); held < 1 {
			most = micros((1 - held) / w.OperationsPerSecond)
		}
	}
	if w.KBPerSecond > 0 {
		top := w.KBPerSecond * brim
		if need := math.Min(kb, top); a.kb.Refill(t, w.KBPerSecond, top) < need {
			most = max(most, micros((need-a.kb.Refill(t, w.KBPerSecond, top))/w.KBPerSecond))
		}
	}
	return most
}

func micros(seconds float64) Micros { return Micros(math.Ceil(seconds * float64(clock.Second))) }

// Ended tells how a chore ended.
func (s *Scheduler) Ended(now Micros, t JobID, r Result) {
	s.now = max(s.now, now)
	at := s.out.Get(t)
	if at == nil {
		return
	}
	x := *at
	c := s.classes[x.Class]
	s.spend(c, x, x.route, -1)
	if r == Rejected {
		c.tally.Rejected++
		x.Attempts--
		x.NotBefore = s.now + putOff + Micros(float64(putOff)*s.chance.Float64())
		s.back(c, x, Waiting)
		return
	}
	s.weigh(c, r == Failed)
	if r == Succeeded {
		c.tally.Succeeded++
		s.move(x, Finished)
		return
	}
	c.tally.Failures++
	if x.Attempts >= c.MaxAttempts {
		c.tally.GivenUp++
		s.move(x, Finished)
		return
	}
	x.NotBefore = s.now + Micros(float64(c.Backoff<<(x.Attempts-1))*(0.5+0.5*s.chance.Float64()))
	s.back(c, x, BackingOff)
}

// back has a chore wait again, unless that would be past its use or the class is full.
func (s *Scheduler) back(c *class, x *item, to JobState) {
	switch {
	case x.NotBefore >= x.Expires:
		c.tally.DroppedExpired++
		s.move(x, Finished)
	case c.held() >= c.MaxQueued && !s.makeRoom(c, x.Due):
		c.tally.DroppedFull++
		s.move(x, Finished)
	default:
		s.move(x, to)
	}
}

// weigh counts an end: a storm of failures stops the class, so that it does not make worse what it suffers from.
func (s *Scheduler) weigh(c *class, bad bool) {
	c.bad -= stormKeeps * c.bad
	if bad {
		c.bad += stormKeeps
		c.run++
	} else {
		c.run = 0
	}
	switch {
	case c.flow == BreakerHalfOpen && !bad:
		c.flow, c.bad, c.stop = BreakerClosed, 0, stopFirst
		s.note(fmt.Sprintf("chores: %s goes on", c.Name))
	case c.flow == BreakerHalfOpen, c.flow == BreakerClosed && bad && (c.run >= stormLeast || c.bad > stormShare):
		c.flow, c.until = BreakerOpen, s.now+c.stop/2+Micros(float64(c.stop/2)*s.chance.Float64())
		c.tally.Stops++
		s.note(fmt.Sprintf("chores: %s stops for %dms, %d failures in a row, share %.2f", c.Name,
			(c.until-s.now)/clock.Millisecond, c.run, c.bad))
		c.stop = min(2*c.stop, stopMost)
	}
}

// Sweep drops what is past its use and what never came back. It is called now and then.
func (s *Scheduler) Sweep(now Micros) {
	s.now = max(s.now, now)
	for _, c := range s.classes {
		s.dropExpired(c)
	}
	for _, x := range slices.Clone(s.outs) {
		if s.now-x.Expires > lost {
			c := s.classes[x.Class]
			s.spend(c, x, x.route, -1)
			c.tally.DroppedExpired++
			s.move(x, Finished)
		}
	}
}

// Drop forgets all chores that a test names: of a duty that another router holds now, say.
func (s *Scheduler) Drop(now Micros, test func(*Job) bool) (n int) {
	s.now = max(s.now, now)
	for _, c := range s.classes {
		var gone []*item
		gather := func(x *item) bool {
			if test(&x.Job) {
				gone = append(gone, x)
			}
			return true
		}
		c.ready.Scan(gather)
		c.waiting.Scan(gather)
		for _, x := range gone {
			s.move(x, Finished)
		}
		n += len(gone)
	}
	return n
}

// SetBudget changes what a class may spend.
func (s *Scheduler) SetBudget(c ClassID, a Budget) { s.classes[c].Budget = a }

// SetPathBudgets changes what may be spent at each place.
func (s *Scheduler) SetPathBudgets(w PathBudgets) {
	s.ways = [4]Budget{w.Cache, w.Parent, w.Link, w.Origin}
}

// Contains tells whether a piece of work is in hand.
func (s *Scheduler) Contains(w lease.Task) bool { return s.byWork[w] != nil }

// Breaker tells how a class stands.
func (s *Scheduler) Breaker(c ClassID) BreakerState { return s.classes[c].flow }

// Stats counts what became of a class's chores.
func (s *Scheduler) Stats(c ClassID) Stats {
	t := s.classes[c].tally
	t.Queued, t.Running = s.classes[c].held(), s.classes[c].account.out
	return t
}
