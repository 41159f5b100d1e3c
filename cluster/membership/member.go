package membership

import (
	"net/netip"
	"slices"

	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// NodeID identifies a router: a well-mixed hash of its address, identical at every router. 0 identifies no router.
type NodeID uint64

const noNode NodeID = 0

// Incarnation identifies one start of a router. Later starts have greater incarnations. A running router takes a
// greater one if others know a later incarnation than its own.
type Incarnation uint64

// Refutations counts the suspicions that a member has refuted within one incarnation, and its announcements of a
// departure. Of two reports about an incarnation, the one with more refutations is newer.
type Refutations uint32

// State is the state of a member as a router believes it to be.
type State uint8

// The states of a member. The numbers are part of the protocol between routers.
const (
	Unknown State = iota // configured, but no report about it was received
	Alive
	Suspect // accused of being dead, but not yet declared dead
	Leaving // has announced its departure, but still works
	Dead    // declared dead after an unrefuted suspicion
	Left    // has departed as announced
)

var stateNames = [...]string{
	Unknown: "unknown",
	Alive:   "alive",
	Suspect: "suspect",
	Leaving: "leaving",
	Dead:    "dead",
	Left:    "left",
}

// String returns the state's name for logs.
func (s State) String() string { return stateNames[s] }

// Present reports whether a member in this state is believed to be running.
func (s State) Present() bool { return s == Alive || s == Suspect || s == Leaving }

// transitions lists the states that may follow each state within one incarnation. A new incarnation may begin after
// any state. Dead members may return, because a network partition that separated them may heal.
var transitions = [...][]State{
	Unknown: {Alive, Suspect, Leaving},
	Alive:   {Suspect, Leaving, Left},
	Suspect: {Alive, Leaving, Dead, Left},
	Leaving: {Alive, Left},
	Dead:    {Alive, Suspect, Leaving, Left},
	Left:    {Alive},
}

// mayBecome reports whether next may follow s within one incarnation.
func (s State) mayBecome(next State) bool { return slices.Contains(transitions[s], next) }

// Identity is what a router reports about itself. Only Incarnation changes while the router runs.
type Identity struct {
	ID          NodeID
	Address     netip.AddrPort
	Zone        uint16
	Weight      uint16 // its share of shared work, relative to other routers' weights
	Incarnation Incarnation
}

// Peer is a router named by the configuration. If its ID is 0 it is a seed: only its address is known.
type Peer struct {
	ID      NodeID
	Address netip.AddrPort
}

// firstNumberBits is the number of bits of FirstNumber: few enough that the encoded numbers are short.
const firstNumberBits = 28

// FirstNumber returns the number from which a router counts the requests that it sends to others. It differs from that
// of an earlier process at the same address, which has the same ID, so that late answers to that process are not taken
// for answers to this one.
func FirstNumber(id NodeID, incarnation Incarnation) uint32 {
	return uint32(hash.Combine(uint64(id), uint64(incarnation)) & (1<<firstNumberBits - 1))
}

// Member is the identity of a router, and its state as the router that keeps the Member believes it to be.
type Member struct {
	Identity
	State State
	Since Micros // when State last changed, by the clock of the router that keeps this Member
}
