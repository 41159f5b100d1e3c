package lease

import (
	"errors"
	"log/slog"
	"net/netip"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// ID identifies a lease. IDs count from 0 and are identical at all routers of a zone.
type ID uint32

// Term orders the claims of one lease. It starts at 0, for a lease that was never claimed, and each claim increases
// it by one. Routers that claim a lease at the same time use the same term; outranks then decides between them.
type Term uint32

// Holder identifies one incarnation of a member. It has holderBits bits. 0 identifies no member.
type Holder uint64

const noHolder Holder = 0

const holderBits = 48

// HolderOf returns the Holder of one incarnation of a member: a hash whose lowest bit is set, so that it never
// equals noHolder. A router that restarts is a new holder and loses its leases.
func HolderOf(id membership.NodeID, incarnation membership.Incarnation) Holder {
	return Holder(hash.Combine(uint64(id), uint64(incarnation))&(1<<holderBits-1) | 1)
}

// MaxLeases is the maximum number of leases.
const MaxLeases = 1 << 14

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("lease: unreadable datagram")

// ErrForeign is returned for a datagram from another zone, or from a router with a different number of leases.
var ErrForeign = errors.New("lease: datagram from another zone or with a different number of leases")

// Balance limits the number of leases of a holder. Both limits are multiples of the number that its weight entitles
// it to: no member claims a lease that would put it above MaxShare, and members below MinShare are offered leases.
type Balance struct{ MaxShare, MinShare float64 }

// DefaultBalance leaves enough slack that few leases go to a member other than the one that ranks first for them.
var DefaultBalance = Balance{MaxShare: 1.25, MinShare: 0.5}

// Output receives the results of a Manager's calls. The Manager calls it only from within its own methods.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// Acquired reports that this router holds a lease from now on.
	Acquired(id ID, term Term)
	// Released reports that this router no longer holds a lease. term is the term under which it held it.
	Released(id ID, term Term)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Acquired       uint64 // leases claimed by this router
	FromDead       uint64 // of Acquired: from a holder that was dead, had left or had restarted
	HandedOver     uint64 // of Acquired: from a running holder that is leaving or has offered the lease
	Released       uint64 // leases lost to a higher claim, or held in an earlier incarnation
	Conflicts      uint64 // of Released: lost to a claim although this router was neither leaving nor had offered them
	Suspensions    uint64 // times that this router suspended its tasks because it was out of contact
	Sent, Received uint64 // datagrams
	RateLimited    uint64 // datagrams dropped by the rate limit
	Foreign        uint64 // datagrams from this zone with a different number of leases
	Unreadable     uint64 // datagrams that do not follow the encoding
}
