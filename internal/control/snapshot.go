package control

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/location"
	"threadrun/cluster/membership"
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
)

// maxSnapshotAge is the maximum age of a snapshot for checking leases. An older one means that the control
// goroutine has stalled.
const maxSnapshotAge = 300 * clock.Millisecond

// Snapshot is the cluster state as visible to request handling. It is immutable after it was published.
type Snapshot struct {
	CreatedAt       Micros
	Self            membership.Member
	InContact       bool                // this router may run the tasks of its leases
	Peers           []membership.Member // present routers, except this one
	ShardMap        *shardmap.Map       // nil: none
	ShardMapState   shardmap.State
	MembershipStats membership.Stats
	LeaseStats      lease.Stats
	ShardMapStats   shardmap.Stats
	ChannelStats    peers.Stats
	Directory       DirectoryStatus
	FleetSize       fleetsize.Size // zero: not estimated
	leases          *leaseTable
}

// DirectoryStatus is the state of this router's part of the directory.
type DirectoryStatus struct {
	Records       int
	RecoveryState recovery.State
	Stats         directory.Stats
	RecoveryStats recovery.Stats
	LocationStats location.Stats
}

// leaseTable lists the holders of leases. It is immutable and rebuilt after each change.
type leaseTable struct {
	mine    []bool
	holders []netip.AddrPort // invalid: no holder is known
	held    int              // number of leases held by this router
}

// HoldsLease reports whether this router holds a lease at the given time.
func (s *Snapshot) HoldsLease(id lease.ID, now Micros) bool {
	fresh := now-s.CreatedAt <= maxSnapshotAge
	return s.InContact && fresh && int(id) < len(s.leases.mine) && s.leases.mine[id]
}

// LeaseHolder returns the address of the known holder of a lease, or false.
func (s *Snapshot) LeaseHolder(id lease.ID) (netip.AddrPort, bool) {
	if int(id) >= len(s.leases.holders) {
		return netip.AddrPort{}, false
	}
	holder := s.leases.holders[id]
	return holder, holder.IsValid()
}

// HeldLeases returns the number of leases that this router holds.
func (s *Snapshot) HeldLeases() int { return s.leases.held }

// publish publishes a snapshot of the current state.
func (c *Controller) publish(now Micros) {
	c.refreshLeaseTable()
	c.refreshPeers()
	s := &Snapshot{
		CreatedAt:       now,
		Self:            c.node.Membership.Self(),
		InContact:       c.leases.InContact(),
		Peers:           c.peers,
		MembershipStats: c.node.Membership.Stats(),
		LeaseStats:      c.leases.Stats(),
		leases:          c.leaseTable,
	}
	if shards := c.node.Shards; shards != nil {
		s.ShardMap, s.ShardMapState = shards.Map()
		s.ShardMapStats = shards.Stats()
	}
	if records := c.node.Directory; records != nil {
		s.Directory.Records = records.Len()
		s.Directory.Stats = records.Stats()
		s.Directory.RecoveryState = c.node.Recovery.State()
		s.Directory.RecoveryStats = c.node.Recovery.Stats()
	}
	if locator := c.node.Locator; locator != nil {
		s.Directory.LocationStats = locator.Stats()
	}
	if size := c.node.FleetSize; size != nil {
		s.FleetSize = size.Size()
	}
	if c.channel != nil {
		s.ChannelStats = c.channel.Stats()
	}
	c.snapshot.Store(s)
}

// refreshLeaseTable rebuilds the lease table if the holder of a lease has changed.
func (c *Controller) refreshLeaseTable() {
	revision := c.leases.Revision()
	if c.leaseTable != nil && c.leaseRevision == revision {
		return
	}
	c.leaseRevision = revision
	self := c.node.Membership.Self().Address
	count := c.leases.Count()
	table := &leaseTable{
		mine:    make([]bool, count),
		holders: make([]netip.AddrPort, count),
		held:    c.leases.HeldCount(),
	}
	for i := range count {
		id := lease.ID(i)
		holder, _, held := c.leases.Lookup(id)
		if !held {
			continue
		}
		table.mine[i] = c.leases.AssignedHere(id)
		if holder != self || table.mine[i] {
			table.holders[i] = holder
		}
	}
	c.leaseTable = table
}

// refreshPeers rebuilds the list of present routers if membership has changed.
func (c *Controller) refreshPeers() {
	if !c.peersChanged {
		return
	}
	c.peersChanged = false
	c.peers = nil
	c.node.Membership.Each(func(m membership.Member) {
		if m.State.Present() {
			c.peers = append(c.peers, m)
		}
	})
}
