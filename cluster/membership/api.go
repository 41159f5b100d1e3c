package membership

import (
	"net/netip"

	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Ids.
type (
	// NodeID names a member: a well-mixed hash of its name, the same at every router. 0 names nobody.
	NodeID uint64
	// Incarnation names one start of a member; a later start has a greater one.
	Incarnation uint64
	// Refutations counts how often a member has refuted a suspicion within one life.
	Refutations uint32
)

// State is what is held of a member. Suspect is one whose death is suspected but not yet believed.
type State uint8

const (
	Unknown State = iota // told of at the start, never heard of
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
	Unknown: {Alive, Suspect, Leaving}, Alive: {Suspect, Leaving, Left}, Suspect: {Alive, Leaving, Dead, Left},
	Leaving: {Alive, Left}, Dead: {Alive, Suspect, Leaving, Left}, Left: {Alive},
}

// Identity is a router as it tells its peers of itself.
type Identity struct {
	ID          NodeID
	Address     netip.AddrPort
	Zone        uint16
	Weight      uint16 // its part of shared work, against that of others
	Incarnation Incarnation
}

// Peer is a router that is told of at the start. One whose Mark is 0 is a seed: only its address is known.
type Peer struct {
	ID      NodeID
	Address netip.AddrPort
}

// Member is what is held of a router.
type Member struct {
	Identity
	State State
	Since Micros // of the state, on the clock of who holds it
}

// Contact is how a router stands to the others.
type Contact struct {
	SinceAck Micros // since the last of its datagrams left that is known to have been answered
	Alone    bool   // no other is taken to run
	Settled  bool   // it has been there for long enough to know who is
}

// Post takes what comes out. It is called only from within calls of Members.
type Post interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Changed(m Member)
	Note(line string)
}

// Timing is how members are probed.
type Timing struct {
	ProbeInterval  Micros // one member is probed in so long
	AckTimeout     Micros // an answer is awaited for so long before it is asked again
	Attempts       int    // with the last one helpers are asked to probe it for us
	IndirectProbes int
}

// Suspicion is how long a suspect has to refute: Most for an accusation by one, Least once Accusers have come to it each
// by itself.
type Suspicion struct {
	MinTimeout, MaxTimeout Micros
	Confirmations          int
}

// Ordinary figures, for routers some milliseconds apart.
var (
	DefaultTiming    = Timing{ProbeInterval: 150 * clock.Millisecond, AckTimeout: 75 * clock.Millisecond, Attempts: 3, IndirectProbes: 3}
	DefaultSuspicion = Suspicion{MinTimeout: 700 * clock.Millisecond, MaxTimeout: 2400 * clock.Millisecond, Confirmations: 3}
)

// MaxPayload is the most that a datagram of this package takes; what carries it may add to that.
const MaxPayload = 208

// Stats counts what happened since the start.
type Stats struct {
	Sent, Received      uint64 // datagrams
	RateLimited         uint64 // that would have gone beyond the bound on datagrams a second
	Unreadable          uint64
	Suspicions, Refuted uint64 // of others; and of ourselves
	Deaths, Departures  uint64
	Stalls              uint64 // times that this router itself was stopped for a while
	TableFull           uint64 // members that found no room in the table
	Repaired            uint64 // members told of because a ping's sums showed them held otherwise
}
