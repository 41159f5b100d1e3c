package lease

import (
	"errors"
	"net/netip"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Ids.
type (
	// No numbers a duty, from 0, the same at every router.
	No uint32
	// Term grows by one with each taking over of a duty.
	Term uint32
	// Holder names a member in one of its lives; 0 names nobody.
	Holder uint64
)

const holderBits = 48

// HolderOf names a member in one of its lives. What a router held is void once it has started anew.
func HolderOf(id membership.Mark, life membership.Life) Holder {
	return Holder(hash.Pair(uint64(id), uint64(life))&(1<<holderBits-1) | 1)
}

// Post takes what comes out. It is called only from within calls of Duties.
type Post interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Took(no No, term Term)            // this router holds it from now on
	Yielded(no No, term Term)         // it does so no more
	Note(line string)
}

// Evenness bounds how uneven holders may get: none takes a duty that would bring it over Most times its part by
// weight, and one with less than Least of its part is handed some.
type Evenness struct{ Most, Least float64 }

// OrdinaryEvenness leaves room for chance, so that few duties pass over the member that suits them best.
var OrdinaryEvenness = Evenness{Most: 1.25, Least: 0.5}

// Room is the most that a datagram of this package takes.
const Room = 208

// Most is how many duties there may be.
const Most = 1 << 14

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("duties: unreadable datagram")

// ErrElsewhere is the error of a datagram of routers that share other duties: of another zone, or another number.
var ErrElsewhere = errors.New("duties: a datagram of other duties")

// Tally counts what has happened since the start.
type Tally struct {
	Taken       uint64 // duties taken over, at the start included
	FromDead    uint64 // of them, from a holder that was dead or gone
	Handed      uint64 // of them, from a holder that handed them over
	Yielded     uint64 // to a higher term
	Conflicts   uint64 // of them, to one that had claimed while this router held it and had not handed it over
	Fenced      uint64 // times that this router stopped working for want of contact
	Sent, Heard uint64
	Held        uint64 // datagrams beyond the bound
	Foreign     uint64 // datagrams of other duties
	Unreadable  uint64
}
