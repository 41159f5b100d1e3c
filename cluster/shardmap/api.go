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

// Owner is a router in one of its lives.
type Owner struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation
}

// MaxReplicas is how many standbys a range may have.
const MaxReplicas = 2

// NoOwner stands where there is no further standby.
const NoOwner = ^uint16(0)

// Range is a stretch of keys, both ends included. Keeper and standbys are places in the map's list of keepers.
type Range struct {
	First, Last Key
	Owner       uint16
	Replicas    [MaxReplicas]uint16
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
	Predecessor Digest // of the map that it follows; 0: none
	Owners      []Owner
	Ranges      []Range // by First
	text        []byte
}

// RangeOf finds the range of a key. The map must have been checked.
func (m *Map) RangeOf(k Key) *Range {
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

// OwnerIndex gives the place of a keeper in the map's list; Nobody: it is not there.
func (m *Map) OwnerIndex(k Owner) uint16 {
	for i := range m.Owners {
		if m.Owners[i] == k {
			return uint16(i)
		}
	}
	return NoOwner
}

// Candidate is what a router knows of another that could keep keys.
type Candidate struct {
	Incarnation membership.Incarnation
	Zone        uint16
	Weight      uint16
	Present     bool
	Address     netip.AddrPort
}

// Candidates is all of them.
type Candidates map[membership.NodeID]Candidate

// Bounds are what a map must keep to.
type Bounds struct {
	MaxImbalance float64 // no keeper has more than so many times its part by weight
	MaxMoved     float64 // share of all keys that may change keepers beyond what deaths, leavings and joinings account for
}

// DefaultBounds leave room for whole grains and for evening out.
var DefaultBounds = Bounds{MaxImbalance: 1.5, MaxMoved: 0.02}

// State is where a map stands at one router.
type State uint8

const (
	None      State = iota
	Proposed        // made here
	Fetching        // some pieces are here
	Complete        // all pieces are here, and its digest is right; who it names is not known well enough yet
	Validated       // every rule holds
	Prepared        // this router goes by it; what it gains it does not answer for yet
	Active          // all that are present go by it
	Retired
	Rejected
)

var stateNames = [...]string{"none", "proposed", "gathering", "whole", "checked", "prepared", "in force", "retired", "refused"}

func (s State) String() string { return stateNames[s] }

var follows = [...][]State{
	None: {Proposed, Fetching}, Proposed: {Validated, Rejected}, Fetching: {Complete, Rejected, Retired},
	Complete: {Validated, Rejected, Retired}, Validated: {Prepared, Retired}, Prepared: {Active, Retired}, Active: {Retired},
}

// Post takes what comes out. It is called only from within calls of Shards.
type Post interface {
	Send(to netip.AddrPort, b []byte)     // b is good within the call only
	MapChanged(m *Map, state State)       // the map that this router goes by, or its state, is another
	Acquired(first, last Key, from Owner) // this router answers for these from now on; from: who did so under the map before
	Lost(first, last Key, to Owner)
	RequestMember(mark membership.NodeID) // a map names this router as it is not known here: more is to be heard of it
	Note(line string)
}

// Stats counts what has happened since the start.
type Stats struct {
	Proposed, Adopted, Activated uint64
	Rejected                     uint64
	Sent, Received, RateLimited  uint64
	Unreadable                   uint64
	DigestMismatches             uint64 // pieces whose whole had another digest
}
