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

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Masks that are XORed into the node's seed, so that its cores draw independent random sequences. The values are
// arbitrary, but the recorded seeds of simulations depend on them.
const (
	shardMapSeedMask uint32 = 0x73686172
	mapLeaseSeedMask uint32 = 0x6d617070
	recoverySeedMask uint32 = 0x6261636b
)

// mapLeaseID is the only lease of its manager: the map lease, which gives the right to propose shard maps.
const (
	mapLeaseID = lease.ID(0)
	leaseCount = 1
)

// Features selects the functions of a node. A function is disabled if one that it needs is disabled.
type Features struct {
	ShardMap       bool           // follow shard maps
	Directory      bool           // store and report records; needs ShardMap
	Recovery       bool           // recover state from records after a restart; needs Directory
	Query          bool           // answer and make queries for records; needs Directory
	Location       bool           // locate copies and audit purges; needs Query
	ConfiguredSize fleetsize.Size // configured number of routers; the fleet size is estimated if Fleet is not 0
}

// Node is one router's participant in the cluster. It is not safe for concurrent use. The caller may read the
// exported cores between its calls, but must not change their state. A nil core means that its feature is
// disabled.
type Node struct {
	Membership *membership.Members
	FleetSize  *fleetsize.Estimator // nil: the fleet size is not estimated
	Shards     *shardmap.Manager    // nil: shard maps are not used
	Directory  *directory.Directory // nil: no records are stored
	Recovery   *recovery.Manager    // nil: state is not recovered
	Publisher  *summary.Publisher   // nil: queries are not answered
	Locator    *location.Locator    // nil: copies are not located

	// PurgesCaughtUp is set by the caller when all purges up to now have been received. Recovery waits for it.
	PurgesCaughtUp bool

	output      Output
	now         Micros         // time of the latest call of Tick, Receive, Query or Leave
	mapLease    *lease.Manager // one lease for all zones, held by the proposer of shard maps
	summaries   *summary.Reader
	coordinator *scatter.Coordinator
	auditor     *purgeaudit.Auditor

	results              []queryResult // completed queries whose results have not been delivered yet
	lastQuery            Micros        // time of this router's last query; 0: none
	lastOwnSummaryUpdate Micros
	summaryTokens        float64 // requests for summaries that may be sent now
	refreshIndex         int     // index into Owners of the map: the owner that refreshSummaries considered last
}

// New returns the Node of a router that has just started. The seed determines all random choices of the cores.
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
		now, inZoneZero(own), mapLeaseOutput{n}, seed^mapLeaseSeedMask, leaseCount, lease.DefaultBalance)
	if features.Directory {
		n.addDirectory(now, seed, features)
	}
	return n
}

// addDirectory adds the directory and the cores that depend on it, as far as features enables them.
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
	n.summaries = summary.NewReader(owner)
	n.coordinator = scatter.New(now, owner, queryOutput{n})
	if features.Location {
		n.Locator = location.New(now, locationOutput{n}, location.DefaultBounds)
		n.auditor = purgeaudit.New(now, purgeAuditOutput{n}, purgeaudit.DefaultBounds)
	}
}

// inZoneZero returns the member with zone 0. A lease manager shares its leases only between members of one zone,
// but all zones share the map lease.
func inZoneZero(m membership.Member) membership.Member {
	m.Zone = 0
	return m
}

// Tick ticks the cores, always in the same order. The caller must call it some tens of times per second.
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
		n.Recovery.Tick(now, contact, n.PurgesCaughtUp, n.eachPresentMember)
	}
}

// tickShardMap ticks the map lease and the shard map. This router may propose maps if it holds the lease and its
// recovery permits it.
func (n *Node) tickShardMap(now Micros, contact membership.Contact) {
	n.mapLease.Tick(now, contact)
	term, held := n.mapLease.MayRun(mapLeaseID, now)
	mayPropose := n.Recovery == nil || n.Recovery.Permissions().ProposeShardMap
	n.Shards.Tick(now, contact, held && mayPropose, term)
}

// eachPresentMember calls f for each other present router.
func (n *Node) eachPresentMember(f func(recovery.Peer)) {
	n.Membership.Each(func(m membership.Member) {
		if m.State.Present() {
			f(recovery.Peer{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
		}
	})
}

// HoldsMapLease reports whether this router holds the map lease and is in contact with the others, which makes it the
// proposer of shard maps.
func (n *Node) HoldsMapLease(now Micros) bool {
	if n.Shards == nil {
		return false
	}
	_, held := n.mapLease.MayRun(mapLeaseID, now)
	return held
}

// Locate requests the caches that hold an object. Output.CopiesLocated receives them later if any are found.
func (n *Node) Locate(now Micros, k shardmap.Key) {
	if n.Locator != nil {
		n.Locator.Request(now, k)
	}
}

// ObservePurge records a purge made at purgedAt: of a group, or of one object if g is 0. It passes the purge
// to the directory and the locator, and a group's purge to the auditor.
func (n *Node) ObservePurge(now Micros, k shardmap.Key, g directory.Group, purgedAt Micros) {
	if n.Directory != nil {
		n.Directory.ObservePurge(now, k, g, purgedAt)
	}
	if n.Locator == nil {
		return
	}
	n.Locator.ObservePurge(now, k, g != 0, purgedAt)
	if g != 0 {
		n.auditor.ObservePurge(now, g, purgedAt)
	}
}

// Leave announces to the other routers that this router is about to shut down, and passes the change of this
// router's own state to the other cores.
func (n *Node) Leave(now Micros) {
	n.now = now
	n.Membership.Leave(now)
	n.memberChanged(n.Membership.Self())
}

// memberChanged passes a member's new state to the cores that depend on it. The estimator of the fleet size
// receives only changes of other routers, because it always counts this router.
func (n *Node) memberChanged(m membership.Member) {
	if n.FleetSize != nil && m.ID != n.Membership.Self().ID {
		n.FleetSize.MemberChanged(n.now, m)
	}
	if n.Shards == nil {
		return
	}
	n.mapLease.MemberChanged(n.now, inZoneZero(m))
	n.Shards.MemberChanged(n.now, m)
}

// address returns the address of a router, or false if the router is not present or has no valid address.
func (n *Node) address(id membership.NodeID) (netip.AddrPort, bool) {
	c, ok := n.Shards.Candidate(id)
	return c.Address, ok && c.Present && c.Address.IsValid()
}
