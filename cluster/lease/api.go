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
	// ID numbers a duty, from 0, the same at every router.
	ID uint32
	// Term grows by one with each taking over of a duty.
	Term uint32
	// Holder names a member in one of its lives; 0 names nobody.
	Holder uint64
)

const holderBits = 48

// HolderOf names a member in one of its lives. What a router held is void once it has started anew.
func HolderOf(id membership.NodeID, life membership.Incarnation) Holder {
	return Holder(hash.Combine(uint64(id), uint64(life))&(1<<holderBits-1) | 1)
}

// Output takes what comes out. It is called only from within calls of Duties.
type Output interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Acquired(no ID, term Term)        // this router holds it from now on
	Released(no ID, term Term)        // it does so no more
	Note(line string)
}

// Balance bounds how uneven holders may get: none takes a duty that would bring it over Most times its part by
// weight, and one with less than Least of its part is handed some.
type Balance struct{ MaxShare, MinShare float64 }

// DefaultBalance leaves room for chance, so that few duties pass over the member that suits them best.
var DefaultBalance = Balance{MaxShare: 1.25, MinShare: 0.5}

// MaxPayload is the most that a datagram of this package takes.
const MaxPayload = 208

// MaxLeases is how many duties there may be.
const MaxLeases = 1 << 14

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("duties: unreadable datagram")

// ErrForeign is the error of a datagram of routers that share other duties: of another zone, or another number.
var ErrForeign = errors.New("duties: a datagram of other duties")

// Stats counts what has happened since the start.
type Stats struct {
	Acquired       uint64 // duties taken over, at the start included
	FromDead       uint64 // of them, from a holder that was dead or gone
	HandedOver     uint64 // of them, from a holder that handed them over
	Released       uint64 // to a higher term
	Conflicts      uint64 // of them, to one that had claimed while this router held it and had not handed it over
	Fenced         uint64 // times that this router stopped working for want of contact
	Sent, Received uint64
	RateLimited    uint64 // datagrams beyond the bound
	Foreign        uint64 // datagrams of other duties
	Unreadable     uint64
}
