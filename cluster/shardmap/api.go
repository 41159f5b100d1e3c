package shardmap

import (
	"cmp"
	"fmt"
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// Key is a place in the key space: an object's hash. All 64 bits count.
	Key uint64
	// Digest names a map by what it says.
	Digest uint64
)

// LastKey is the last of all keys.
const LastKey = ^Key(0)

// Keeper is a router in one of its lives.
type Keeper struct {
	Mark membership.Mark
	Life membership.Life
}

// StandbyMost is how many standbys a range may have.
const StandbyMost = 2

// Nobody stands where there is no further standby.
const Nobody = ^uint16(0)

// Range is a stretch of keys, both ends included. Keeper and standbys are places in the map's list of keepers.
type Range struct {
	First, Last Key
	Keeper      uint16
	Standby     [StandbyMost]uint16
}

// Version orders maps. Of two with one term and number the digest decides, alike at every router.
type Version struct {
	Term   lease.Term // of the duty to make maps, when it was made
	Number uint32
	Digest Digest
}

// Compare orders versions.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Term, o.Term), cmp.Compare(v.Number, o.Number), cmp.Compare(v.Digest, o.Digest))
}

func (v Version) String() string {
	return fmt.Sprintf("%d.%d-%08x", v.Term, v.Number, uint32(v.Digest))
}

// Map says who keeps what. It is never changed once made.
type Map struct {
	Version
	Before  Digest // of the map that it follows; 0: none
	Keepers []Keeper
	Ranges  []Range // by First
	text    []byte
}

// At finds the range of a key. The map must have been checked.
func (m *Map) At(k Key) *Range {
	lo, hi := 0, len(m.Ranges)
	for lo < hi {
		if mid := int(uint(lo+hi) >> 1); m.Ranges[mid].Last < k {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return &m.Ranges[lo]
}

// Place gives the place of a keeper in the map's list; Nobody: it is not there.
func (m *Map) Place(k Keeper) uint16 {
	for i := range m.Keepers {
		if m.Keepers[i] == k {
			return uint16(i)
		}
	}
	return Nobody
}

// Seat is what a router knows of another that could keep keys.
type Seat struct {
	Life    membership.Life
	Zone    uint16
	Weight  uint16
	Present bool
	Address netip.AddrPort
}

// Roster is all of them.
type Roster map[membership.Mark]Seat

// Bounds are what a map must keep to.
type Bounds struct {
	Uneven float64 // no keeper has more than so many times its part by weight
	Moved  float64 // share of all keys that may change keepers beyond what deaths, leavings and joinings account for
}

// OrdinaryBounds leave room for whole grains and for evening out.
var OrdinaryBounds = Bounds{Uneven: 1.5, Moved: 0.02}

// State is where a map stands at one router.
type State uint8

const (
	None      State = iota
	Proposed        // made here
	Gathering       // some pieces are here
	Whole           // all pieces are here, and its digest is right; who it names is not known well enough yet
	Checked         // every rule holds
	Prepared        // this router goes by it; what it gains it does not answer for yet
	InForce         // all that are present go by it
	Retired
	Refused
)

var stateNames = [...]string{"none", "proposed", "gathering", "whole", "checked", "prepared", "in force", "retired", "refused"}

func (s State) String() string { return stateNames[s] }

var follows = [...][]State{
	None: {Proposed, Gathering}, Proposed: {Checked, Refused}, Gathering: {Whole, Refused, Retired},
	Whole: {Checked, Refused, Retired}, Checked: {Prepared, Retired}, Prepared: {InForce, Retired}, InForce: {Retired},
}

// Post takes what comes out. It is called only from within calls of Shards.
type Post interface {
	Send(to netip.AddrPort, b []byte)    // b is good within the call only
	Moved(m *Map, state State)           // the map that this router goes by, or its state, is another
	Gained(first, last Key, from Keeper) // this router answers for these from now on; from: who did so under the map before
	Lost(first, last Key, to Keeper)
	Seek(mark membership.Mark) // a map names this router as it is not known here: more is to be heard of it
	Note(line string)
}

// Tally counts what has happened since the start.
type Tally struct {
	Proposed, Adopted, InForce uint64
	Refused                    uint64
	Sent, Heard, Held          uint64
	Unreadable                 uint64
	Mixed                      uint64 // pieces whose whole had another digest
}
