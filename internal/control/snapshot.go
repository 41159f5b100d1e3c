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

// maxSnapshotAge is the maximum age of a Snapshot from which leases are read. If the Snapshot is older, the control
// goroutine has stalled, and another router may have claimed this router's leases.
const maxSnapshotAge = 300 * clock.Millisecond

// Snapshot is the cluster state as seen by request handling. It is immutable.
type Snapshot struct {
	CreatedAt       Micros // time of Config.Clock
	Self            membership.Member
	InContact       bool                // in contact with the peers, so that the tasks of its leases may run here
	Peers           []membership.Member // present routers, except this one
	ShardMap        *shardmap.Map       // the map that this router follows; nil: none
	ShardMapState   shardmap.State
	MembershipStats membership.Stats
	LeaseStats      lease.Stats
	ShardMapStats   shardmap.Stats
	ChannelStats    peers.Stats
	Directory       DirectoryStatus
	FleetSize       fleetsize.Size // zero: not estimated
	leases          *leaseTable
}

// DirectoryStatus is the state of this router's part of the directory. It is zero if the directory is disabled.
type DirectoryStatus struct {
	Records       int // number of records stored here
	RecoveryState recovery.State
	Stats         directory.Stats
	RecoveryStats recovery.Stats
	LocationStats location.Stats
}

// leaseTable contains the holder of each lease, indexed by lease.ID. It is immutable, so that Snapshots can share it; a
// change of a holder makes a new table.
type leaseTable struct {
	heldHere  []bool           // this router holds the lease
	holders   []netip.AddrPort // invalid: no holder is known
	heldCount int              // number of leases held by this router
}

// MayRun reports whether this router may run the tasks of a lease at the given time: it holds the lease, InContact
// is set, and the Snapshot is at most maxSnapshotAge old.
func (s *Snapshot) MayRun(id lease.ID, now Micros) bool {
	recent := now-s.CreatedAt <= maxSnapshotAge
	return s.InContact && recent && int(id) < len(s.leases.heldHere) && s.leases.heldHere[id]
}

// LeaseHolder returns the address of a lease's holder. It returns false if no present router is known to hold it.
func (s *Snapshot) LeaseHolder(id lease.ID) (netip.AddrPort, bool) {
	if int(id) >= len(s.leases.holders) {
		return netip.AddrPort{}, false
	}
	holder := s.leases.holders[id]
	return holder, holder.IsValid()
}

// HeldCount returns the number of leases that this router holds, even while it is out of contact.
func (s *Snapshot) HeldCount() int { return s.leases.heldCount }

// publish makes a Snapshot of the current state and publishes it to request handling.
func (c *Controller) publish(now Micros) {
	c.updateLeaseTable()
	c.updatePeers()
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

// updateLeaseTable rebuilds the lease table if the holder of a lease has changed. A lease that is held under this
// router's address, but by an earlier incarnation of the router, has no holder in the table.
func (c *Controller) updateLeaseTable() {
	revision := c.leases.Revision()
	if c.leaseTable != nil && c.leaseRevision == revision {
		return
	}
	c.leaseRevision = revision
	self := c.node.Membership.Self().Address
	count := c.leases.Count()
	table := &leaseTable{
		heldHere:  make([]bool, count),
		holders:   make([]netip.AddrPort, count),
		heldCount: c.leases.HeldCount(),
	}
	for i := range count {
		id := lease.ID(i)
		holder, _, held := c.leases.Lookup(id)
		if !held {
			continue
		}
		table.heldHere[i] = c.leases.HeldHere(id)
		if holder != self || table.heldHere[i] {
			table.holders[i] = holder
		}
	}
	c.leaseTable = table
}

// updatePeers rebuilds the list of present routers if membership has changed. It makes a new list, because published
// Snapshots refer to the old one.
func (c *Controller) updatePeers() {
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
