// Package rules watches whether routers keep the five rules, from what clients, machines and the bulletin see. It is free of I/O: it takes one
// stream of events and tells of each breach, with what it rests on.
//
// What a router says of itself is no ground for a verdict: each event is told by the other side of what happened.
package invariants

import (
	"fmt"

	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Visit names one request of one client.
type Visit uint64

// Router names a router, through all its lives.
type Router int

// Machine names a cache, a parent or the origin, through all its starts; None is none.
type Machine int

// None is no machine.
const None Machine = -1

// Trip names one trip that has come to a machine.
type Trip uint64

// Effect says what it means that a visit runs twice.
type Effect uint8

const (
	Harmless Effect = iota
	Stamped
	OneShot
)

// Word is the end of a visit or a trip.
type Word uint8

const (
	Silent    Word = iota // there was no answer: given up, or its connection ended
	Delivered             // with a copy, or having run
	Deferred              // of a visit: trying again is harmless
	Scrapped              // of a visit: it failed
	Unrun                 // of a trip: it was answered in a way that proves that it did not run
	Failed                // of a trip: it may have run
)

var words = [...]string{"silent", "delivered", "deferred", "scrapped", "unrun", "failed"}

func (w Word) String() string { return words[w] }

// What is a kind of event.
type What uint8

const (
	Asked    What = iota // a client's whole request was written: Visit, Router, Effect, Until, Object, Group
	Answered             // its answer came whole: Visit, Router, Word, Sent: when it was written, At: when it came
	Left                 // its client stopped waiting: Visit
	Excused              // its connection ended by a fault that is not the router's: Visit
	Dropped              // its connection ended, by the router: Visit
	Came                 // a trip came whole: Visit, Router, Machine, Source, Trip, Sent: when its first byte was written, Budget: the deadline passed on
	Ended                // it ended: Trip, Word, Made of the copy, Sent: when that was written, or its giving up
	Ran                  // it had its effect: Visit, Trip, Machine
	Filled               // a fill came to a machine: Machine, Router that it is for
	Listed               // the bulletin tells of a machine: No, Machine, Open, Made: its start if that is late
	Purged               // the bulletin tells of a purge: No, Object or, with Whole, Group, Made: when it was issued
	Told                 // a router has the bulletin's events up to No: Router
	Started              // a machine has begun to run, cold: Machine
	Died                 // a router's process ended: Router
	Halted               // it gets no turn: Router
	Resumed
	Muted  // the bulletin is out of everyone's reach
	Spoke  // it is so no more
	Parted // a router's network is gone: what was written to it comes late, and it can't know
	Rejoined
)

var whats = [...]string{"asked", "answered", "left", "excused", "dropped", "came", "ended", "ran", "filled", "listed", "purged", "told",
	"started", "died", "halted", "resumed", "muted", "spoke", "parted", "rejoined"}

func (w What) String() string { return whats[w] }

// Event is one thing that happened. At is when; the other members count where the kind says so.
type Event struct {
	At      Micros
	What    What
	Visit   Visit
	Router  Router
	Machine Machine
	Source  Machine
	Trip    Trip
	Effect  Effect
	Word    Word
	Until   Micros
	Budget  Micros
	Sent    Micros
	Made    Micros
	Object  uint64
	Group   int
	No      int
	Open    bool
	Whole   bool
}

func (e Event) String() string {
	s := fmt.Sprintf("%.3fs %s", e.At.Seconds(), e.What)
	if e.Visit != 0 {
		s += fmt.Sprintf(" visit %016x", uint64(e.Visit))
	}
	switch e.What {
	case Asked:
		s += fmt.Sprintf(" router %d until %.3fs", e.Router, e.Until.Seconds())
	case Answered:
		s += fmt.Sprintf(" router %d %s, written %.3fs", e.Router, e.Word, e.Sent.Seconds())
	case Came:
		s += fmt.Sprintf(" trip %d router %d machine %d source %d, written %.3fs", e.Trip, e.Router, e.Machine, e.Source, e.Sent.Seconds())
	case Ended:
		s += fmt.Sprintf(" trip %d %s at %.3fs", e.Trip, e.Word, e.Sent.Seconds())
		if e.Made > 0 {
			s += fmt.Sprintf(", made %.3fs", e.Made.Seconds())
		}
	case Ran:
		s += fmt.Sprintf(" trip %d machine %d", e.Trip, e.Machine)
	case Listed:
		s += fmt.Sprintf(" no %d machine %d open %v", e.No, e.Machine, e.Open)
	case Purged:
		s += fmt.Sprintf(" no %d issued %.3fs", e.No, e.Made.Seconds())
	case Told:
		s += fmt.Sprintf(" router %d no %d", e.Router, e.No)
	case Filled, Started:
		s += fmt.Sprintf(" machine %d", e.Machine)
	case Died, Halted, Resumed, Parted, Rejoined:
		s += fmt.Sprintf(" router %d", e.Router)
	}
	return s
}

// Breach is a rule that was broken.
type Breach struct {
	Rule   int
	At     Micros
	Visit  Visit // 0: of none
	Why    string
	Events []Event // that it rests on
}

func (b Breach) String() string {
	s := fmt.Sprintf("rule %d at %.3fs: %s", b.Rule, b.At.Seconds(), b.Why)
	for _, e := range b.Events {
		s += "\n  " + e.String()
	}
	return s
}
