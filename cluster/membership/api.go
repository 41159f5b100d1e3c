package membership

import (
	"net/netip"

	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Ids.
type (
	// Mark names a member: a well-mixed hash of its name, the same at every router. 0 names nobody.
	Mark uint64
	// Life names one start of a member; a later start has a greater one.
	Life uint64
	// Incarnation counts how often a member has refuted a suspicion within one life.
	Incarnation uint32
)

// State is what is held of a member. Suspect is one whose death is suspected but not yet believed.
type State uint8

const (
	Unheard State = iota // told of at the start, never heard of
	Alive
	Suspect
	Leaving // has told that it will go, and works on
	Dead
	Left // has gone as it had told
)

var stateNames = [...]string{"unheard", "alive", "suspect", "leaving", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// Present tells whether a member in this state is taken to run.
func (s State) Present() bool { return s == Alive || s == Suspect || s == Leaving }

// follows are the changes of state that one life allows. A new life may begin in any state, as Alive.
var follows = [...][]State{
	Unheard: {Alive, Suspect, Leaving}, Alive: {Suspect, Leaving, Left}, Suspect: {Alive, Leaving, Dead, Left},
	Leaving: {Alive, Left}, Dead: {Alive, Suspect, Leaving, Left}, Left: {Alive},
}

// Self is a router as it tells its peers of itself.
type Self struct {
	Mark    Mark
	Address netip.AddrPort
	Zone    uint16
	Weight  uint16 // its part of shared work, against that of others
	Life    Life
}

// Peer is a router that is told of at the start. One whose Mark is 0 is a seed: only its address is known.
type Peer struct {
	Mark    Mark
	Address netip.AddrPort
}

// Member is what is held of a router.
type Member struct {
	Self
	State State
	Since Micros // of the state, on the clock of who holds it
}

// Standing is how a router stands to the others.
type Standing struct {
	Silence Micros // since the last of its datagrams left that is known to have been answered
	Alone   bool   // no other is taken to run
	Settled bool   // it has been there for long enough to know who is
}

// Post takes what comes out. It is called only from within calls of Members.
type Post interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Changed(m Member)
	Note(line string)
}

// Pace is how members are probed.
type Pace struct {
	Probe   Micros // one member is probed in so long
	Answer  Micros // an answer is awaited for so long before it is asked again
	Tries   int    // with the last one helpers are asked to probe it for us
	Helpers int
}

// Doubt is how long a suspect has to refute: Most for an accusation by one, Least once Accusers have come to it each
// by itself.
type Doubt struct {
	Least, Most Micros
	Accusers    int
}

// Ordinary figures, for routers some milliseconds apart.
var (
	OrdinaryPace  = Pace{Probe: 150 * clock.Millisecond, Answer: 75 * clock.Millisecond, Tries: 3, Helpers: 3}
	OrdinaryDoubt = Doubt{Least: 700 * clock.Millisecond, Most: 2400 * clock.Millisecond, Accusers: 3}
)

// Room is the most that a datagram of this package takes; what carries it may add to that.
const Room = 208

// Tally counts what happened since the start.
type Tally struct {
	Sent, Heard         uint64 // datagrams
	Held                uint64 // that would have gone beyond the bound on datagrams a second
	Unreadable          uint64
	Suspicions, Refuted uint64 // of others; and of ourselves
	Deaths, Departures  uint64
	Stalls              uint64 // times that this router itself was stopped for a while
	Crowded             uint64 // members that found no room in the table
	Mended              uint64 // members told of because a ping's sums showed them held otherwise
}
