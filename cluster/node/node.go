package node

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/location"
	"threadrun/cluster/membership"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// XORed into the node's seed, so that its cores draw independent random sequences. The values are arbitrary, but the
// kept seeds of the simulations depend on them.
const (
	shardMapSeedMask uint32 = 0x73686172
	mapLeaseSeedMask uint32 = 0x6d617070
	recoverySeedMask uint32 = 0x6261636b
)

// mapLeaseID is the map lease, the only one of its manager: the right to propose shard maps.
const (
	mapLeaseID = lease.ID(0)
	leaseCount = 1
)

// Features says what a node takes part in.
type Features struct {
	ShardMap       bool           // it goes by shard maps
	Directory      bool           // it holds records and reports them; needs ShardMap
	Recovery       bool           // it recovers its state from records after a restart; needs Directory
	Query          bool           // it answers queries for records, and may make them; needs Directory
	Location       bool           // it locates copies and audits purges; needs Query
	ConfiguredSize fleetsize.Size // that the settings name; the fleet is counted. Zero: it is not
}

// Node is one router's part in the cluster.
type Node struct {
	Membership *membership.Members
	FleetSize  *fleetsize.Estimator // nil: the fleet is not counted
	Shards     *shardmap.Manager    // nil: there is no shard map
	Directory  *directory.Directory // nil: no records are held
	Recovery   *recovery.Manager    // nil: this router starts with nothing
	Publisher  *summary.Publisher   // nil: there are no queries
	Locator    *location.Locator    // nil: no copies are located

	// PurgesCaughtUp is set by the owner of the node: all purges up to now have been received.
	PurgesCaughtUp bool

	output      Output
	now         Micros
	mapLease    *lease.Manager // one lease over all zones: to propose shard maps
	summaries   *summary.Reader
	coordinator *scatter.Coordinator
	auditor     *purgeaudit.Auditor

	results       []queryResult // delivered once the call that brought them is over
	lastQuery     Micros        // of this router's own; 0: none
	lastPublish   Micros
	summaryTokens float64 // requests for summaries that may be sent now
	nextOwner     int     // whose summary was asked for last, by its index in the map
}

// New makes the part of a router that has just started.
func New(
	now Micros, self membership.Identity, output Output, seed uint32,
	timing membership.Timing, suspicion membership.Suspicion, features Features,
) *Node {
	n := &Node{output: output, now: now}
	n.Membership = membership.New(now, self, membershipOutput{n}, seed, timing, suspicion)
	own := n.Membership.Self()
	if features.ConfiguredSize.Fleet > 0 {
		n.FleetSize = fleetsize.New(now, own.Zone, features.ConfiguredSize, fleetSizeOutput{n}, fleetsize.DefaultTiming)
	}
	if !features.ShardMap {
		return n
	}
	n.Shards = shardmap.New(now, own, shardMapOutput{n}, seed^shardMapSeedMask, shardmap.DefaultBounds)
	n.mapLease = lease.New(
		now, inOneZone(own), mapLeaseOutput{n}, seed^mapLeaseSeedMask, leaseCount, lease.DefaultBalance)
	if features.Directory {
		n.addDirectory(now, seed, features)
	}
	return n
}

// addDirectory adds the records and what rests on them.
func (n *Node) addDirectory(now Micros, seed uint32, features Features) {
	own := n.Membership.Self()
	owner := shardmap.Owner{ID: own.ID, Incarnation: own.Incarnation}
	n.Directory = directory.New(now, owner, directoryOutput{n}, directory.DefaultBounds, n.address)
	if features.Recovery {
		n.Recovery = recovery.New(now, owner, recoveryOutput{n}, n.Directory, seed^recoverySeedMask, recovery.DefaultBounds)
	}
	if !features.Query {
		return
	}
	n.Publisher = summary.NewPublisher(owner)
	n.summaries = summary.NewReader()
	n.coordinator = scatter.New(now, owner, queryOutput{n})
	if features.Location {
		n.Locator = location.New(now, locationOutput{n}, location.DefaultBounds)
		n.auditor = purgeaudit.New(now, purgeAuditOutput{n}, purgeaudit.DefaultBounds)
	}
}

// inOneZone puts a member into the one zone that the map lease is balanced over.
func inOneZone(m membership.Member) membership.Member {
	m.Zone = 0
	return m
}

// Tick does what is due.
func (n *Node) Tick(now Micros) {
	refill := (now - n.now).Seconds() * summaryRequestsPerSecond
	n.summaryTokens = min(n.summaryTokens+refill, summaryRequestsPerSecond)
	n.now = now
	n.Membership.Tick(now)
	contact := n.Membership.Contact()
	if n.FleetSize != nil {
		n.FleetSize.Tick(now, contact)
	}
	if n.Shards == nil {
		return
	}
	n.tickShardMap(now, contact)
	if n.Directory != nil {
		n.Directory.Tick(now)
	}
	if n.coordinator != nil {
		n.tickQueries(now)
	}
	if n.Recovery != nil {
		n.Recovery.Tick(now, contact, n.PurgesCaughtUp, n.eachPresent)
	}
}

func (n *Node) tickShardMap(now Micros, contact membership.Contact) {
	n.mapLease.Tick(now, contact)
	term, held := n.mapLease.Holds(mapLeaseID, now)
	mayPropose := n.Recovery == nil || n.Recovery.Permissions().ProposeShardMap
	n.Shards.Tick(now, contact, held && mayPropose, term)
}

// eachPresent calls f for each member that is present.
func (n *Node) eachPresent(f func(recovery.Peer)) {
	n.Membership.Each(func(m membership.Member) {
		if m.State.Present() {
			f(recovery.Peer{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
		}
	})
}

// HoldsMapLease reports whether this router holds the map lease, which makes it the proposer of shard maps.
func (n *Node) HoldsMapLease(now Micros) bool {
	if n.Shards == nil {
		return false
	}
	_, held := n.mapLease.Holds(mapLeaseID, now)
	return held
}

// Locate asks which caches hold an object; Output.CopiesLocated gives the answer if there is one.
func (n *Node) Locate(now Micros, k shardmap.Key) {
	if n.Locator != nil {
		n.Locator.Request(now, k)
	}
}

// ObservePurge takes a purge of an object, or of a group if g is not 0, made at the given time.
func (n *Node) ObservePurge(now Micros, k shardmap.Key, g directory.Group, at Micros) {
	if n.Directory != nil {
		n.Directory.ObservePurge(now, k, g, at)
	}
	if n.Locator == nil {
		return
	}
	n.Locator.ObservePurge(now, k, g != 0, at)
	if g != 0 {
		n.auditor.ObservePurge(now, g, at)
	}
}

// Leave announces that this router is to shut down.
func (n *Node) Leave(now Micros) {
	n.now = now
	n.Membership.Leave(now)
	n.memberChanged(n.Membership.Self())
}

// memberChanged hands a change of membership on to those that go by it.
func (n *Node) memberChanged(m membership.Member) {
	if n.FleetSize != nil && m.ID != n.Membership.Self().ID {
		n.FleetSize.MemberChanged(n.now, m)
	}
	if n.Shards == nil {
		return
	}
	n.mapLease.MemberChanged(n.now, inOneZone(m))
	n.Shards.MemberChanged(n.now, m)
}

// address reports where a router that is present is reached.
func (n *Node) address(id membership.NodeID) (netip.AddrPort, bool) {
	c, ok := n.Shards.Candidate(id)
	return c.Address, ok && c.Present && c.Address.IsValid()
}
