package scheduler

import (
	"errors"

	"threadrun/cluster/lease"
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Ids.
type (
	// ClassID is a place in the list of classes.
	ClassID int
	// Ticket names a chore that is out, from Next until Ended.
	Ticket = arena.Handle
)

// Allowance is what may be spent somewhere. A zero figure means that it is not bounded there.
type Allowance struct {
	Works float64 // a second
	KB    float64 // a second
	Out   int     // at a time
}

// Class is a kind of background work, as told at start.
type Class struct {
	Name     string
	Priority int       // the higher goes first
	Most     int       // chores kept waiting, at least 1
	Spend    Allowance // of the class, everywhere together
	Tries    int       // for one chore, at least 1
	Backoff  Micros    // after the first failure, by chance half of it at least; doubled for each further one
}

// Ways are the allowances of background work at each place it touches, whatever its class.
type Ways struct{ Cache, Parent, Link, Origin Allowance }

// Chore is a piece of background work.
type Chore struct {
	Work  lease.Work // what may run twice, and nothing else can be had as one
	Class ClassID
	From  Micros // not before
	Due   Micros // best by then: the earliest goes first
	Until Micros // of no use from then on
	KB    float64
	Put   Micros // when it was handed in
	Tried int
}

// Route is where a chore goes: what it spends there counts. -1 names no cache and no parent.
type Route struct {
	Cache, Parent int32
	Link, Origin  bool
}

// Answer is what the decision module says to a chore.
type Answer uint8

const (
	Go    Answer = iota
	Later        // not now: there is no room, or the place rests
	Never        // it is of no use any more
)

// Result is how a chore ended.
type Result uint8

const (
	Done Result = iota
	Failed
	TurnedAway // it never ran, for want of room: no failure
)

// State is where a chore stands.
type State uint8

const (
	Vacant State = iota
	Waiting
	Ready
	Out
	Resting // after a failure
	Over
)

// Flow is how a class stands.
type Flow uint8

const (
	Open    Flow = iota
	Stopped      // failures were many: nothing goes for a while
	Trial        // one goes, and tells whether it may go on
)

var flowNames = [...]string{"open", "stopped", "trial"}

func (f Flow) String() string { return flowNames[f] }

// Errors of Put.
var (
	ErrNotWork = errors.New("chores: not a piece of work that was let in")
	ErrClass   = errors.New("chores: no such class")
	ErrPast    = errors.New("chores: of no use any more")
	ErrFull    = errors.New("chores: no room, and all that wait are due sooner")
)

// Tally counts what became of a class's chores.
type Tally struct {
	Put, Merged             uint64
	Full, Late              uint64 // dropped: for want of room, and past their use
	Sent, Done              uint64
	Failures, Given         uint64 // failures, and chores given up after their last try
	PutOff, TurnedAway      uint64
	Useless                 uint64
	Storms                  uint64
	Waits, Outs, MostWaited int // waiting now, out now, and the most that ever waited
}
