package lease

import (
	"errors"
	"log/slog"
	"net/netip"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Micros is a time or a duration in whole microseconds.
type Micros = clock.Micros

// ID numbers a lease, from 0, the same at every router.
type ID uint32

// Term grows by one with each claim of a lease.
type Term uint32

// Holder identifies one incarnation of a member. No member has 0.
type Holder uint64

const noHolder Holder = 0

const holderBits = 48

// HolderOf identifies one incarnation of a member. What a router held is void once it has started again.
func HolderOf(id membership.NodeID, incarnation membership.Incarnation) Holder {
	return Holder(hash.Combine(uint64(id), uint64(incarnation))&(1<<holderBits-1) | 1)
}

// MaxLeases is how many leases there may be.
const MaxLeases = 1 << 14

// ErrUnreadable is returned for a datagram that is not one of this package's.
var ErrUnreadable = errors.New("lease: unreadable datagram")

// ErrForeign is returned for a datagram about other leases: of another zone, or of another number of them.
var ErrForeign = errors.New("lease: datagram about other leases")

// Balance bounds the number of leases of a holder, as ratios to its share by weight: no member claims a lease that
// would bring it over MaxShare, and one with fewer than MinShare is offered some.
type Balance struct{ MaxShare, MinShare float64 }

// DefaultBalance leaves room for chance: few leases pass over the member that ranks first for them.
var DefaultBalance = Balance{MaxShare: 1.25, MinShare: 0.5}

// Output takes the results of a Manager's calls, within those calls.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// Acquired reports that this router holds a lease from now on.
	Acquired(id ID, term Term)
	// Released reports that this router does not hold a lease any more. Term is the one under which it did.
	Released(id ID, term Term)
	// Log writes a log line: a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Acquired       uint64 // leases claimed
	FromDead       uint64 // of these, from a holder that was dead or had left
	HandedOver     uint64 // of these, from a holder that runs: it leaves, or has offered them
	Released       uint64 // leases lost to a higher claim, or held by an earlier incarnation
	Conflicts      uint64 // of these, lost to a claim while this router ran and had not offered the lease
	Suspensions    uint64 // times that this router suspended its tasks for want of contact
	Sent, Received uint64 // datagrams
	RateLimited    uint64 // datagrams not sent
	Foreign        uint64 // datagrams about another number of leases
	Unreadable     uint64 // datagrams
}
