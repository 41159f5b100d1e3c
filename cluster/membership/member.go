package membership

import (
	"net/netip"
	"slices"

	"threadrun/internal/clock"
)

// Micros is a time or a duration in whole microseconds.
type Micros = clock.Micros

// NodeID identifies a router: a well-mixed hash of its address, the same at every router. No router has 0.
type NodeID uint64

const noNode NodeID = 0

// Incarnation identifies one start of a router; a later start has a greater one.
type Incarnation uint64

// Refutations counts the suspicions that a member has refuted within one incarnation.
type Refutations uint32

// State is what a router believes of a member.
type State uint8

// The states of a member. The numbers are part of the protocol between routers.
const (
	Unknown State = iota // configured, never heard of
	Alive
	Suspect // suspected dead, not believed dead yet
	Leaving // has announced its departure, and still works
	Dead
	Left // has departed as announced
)

var stateNames = [...]string{
	Unknown: "unknown",
	Alive:   "alive",
	Suspect: "suspect",
	Leaving: "leaving",
	Dead:    "dead",
	Left:    "left",
}

func (s State) String() string { return stateNames[s] }

// Present tells whether a member in this state is taken to run.
func (s State) Present() bool { return s == Alive || s == Suspect || s == Leaving }

// transitions lists the states that may follow each state within one incarnation. A new incarnation may begin in any
// state, as Alive.
var transitions = [...][]State{
	Unknown: {Alive, Suspect, Leaving},
	Alive:   {Suspect, Leaving, Left},
	Suspect: {Alive, Leaving, Dead, Left},
	Leaving: {Alive, Left},
	Dead:    {Alive, Suspect, Leaving, Left},
	Left:    {Alive},
}

// mayBecome tells whether a state may follow within one incarnation.
func (s State) mayBecome(next State) bool { return slices.Contains(transitions[s], next) }

// Identity is what a router tells its peers of itself.
type Identity struct {
	ID          NodeID
	Address     netip.AddrPort
	Zone        uint16
	Weight      uint16 // its share of shared work relative to the others' weights
	Incarnation Incarnation
}

// Peer is a router that the configuration names. One whose ID is 0 is a seed: only its address is known.
type Peer struct {
	ID      NodeID
	Address netip.AddrPort
}

// Member is what a router believes of another.
type Member struct {
	Identity
	State State
	Since Micros // of the state, on the believing router's clock
}

// Contact is how a router stands to the others.
type Contact struct {
	SinceAck Micros // since the last datagram left that is known to have been answered
	Alone    bool   // no other router is taken to run
	Settled  bool   // this router has run long enough to know the others
}
