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

// Features selects the functions of a node.
type Features struct {
	ShardMap       bool           // follow shard maps
	Directory      bool           // store and report records; needs ShardMap
	Recovery       bool           // recover state from records after a restart; needs Directory
	Query          bool           // answer and make queries for records; needs Directory
	Location       bool           // locate copies and audit purges; needs Query
	ConfiguredSize fleetsize.Size // if its Fleet is not 0, the fleet size is estimated
}

// Node is one router's participant in the cluster. It is not safe for concurrent use. The exported cores may be
// read by the caller; nil means that a feature is disabled.
type Node struct {
	Membership *membership.Members
	FleetSize  *fleetsize.Estimator // nil: the fleet size is not estimated
	Shards     *shardmap.Manager    // nil: shard maps are not used
	Directory  *directory.Directory // nil: no records are stored
	Recovery   *recovery.Manager    // nil: state is not recovered
	Publisher  *summary.Publisher   // nil: queries are not answered
	Locator    *location.Locator    // nil: copies are not located

	// PurgesCaughtUp is set by the caller when all purges up to now have been received.
	PurgesCaughtUp bool

	output      Output
	now         Micros
	mapLease    *lease.Manager // one lease for all zones, held by the proposer of shard maps
	summaries   *summary.Reader
	coordinator *scatter.Coordinator
	auditor     *purgeaudit.Auditor

	results              []queryResult // delivered after the call that completed them
	lastQuery            Micros        // time of this router's last query; 0: none
	lastOwnSummaryUpdate Micros
	summaryTokens        float64 // requests for summaries that may be sent now
	refreshIndex         int     // index in the map of the owner that refreshSummaries considered last
}

// New returns the Node of a router that has just started.
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

// addDirectory adds the directory and the cores that depend on it.
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

// inOneZone returns a member with zone 0, because one map lease is shared by all zones.
func inZoneZero(m membership.Member) membership.Member {
	m.Zone = 0
	return m
}

// Tick ticks the cores. The caller must call it some tens of times per second.
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

func (n *Node) tickShardMap(now Micros, contact membership.Contact) {
	n.mapLease.Tick(now, contact)
	term, held := n.mapLease.Holds(mapLeaseID, now)
	mayPropose := n.Recovery == nil || n.Recovery.Permissions().ProposeShardMap
	n.Shards.Tick(now, contact, held && mayPropose, term)
}

// eachPresent calls f for each present member.
func (n *Node) eachPresentMember(f func(recovery.Peer)) {
	n.Membership.Each(func(m membership.Member) {
		if m.State.Present() {
			f(recovery.Peer{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
		}
	})
}

// HoldsMapLease reports whether this router holds the map lease, and so is the proposer of shard maps.
func (n *Node) HoldsMapLease(now Micros) bool {
	if n.Shards == nil {
		return false
	}
	_, held := n.mapLease.Holds(mapLeaseID, now)
	return held
}

// Locate requests the caches that hold an object. Output.CopiesLocated receives the answer if copies are found.
func (n *Node) Locate(now Micros, k shardmap.Key) {
	if n.Locator != nil {
		n.Locator.Request(now, k)
	}
}

// ObservePurge records a purge of an object, or of a group if g is not 0, at the given time.
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

// Leave announces that this router is about to shut down.
func (n *Node) Leave(now Micros) {
	n.now = now
	n.Membership.Leave(now)
	n.memberChanged(n.Membership.Self())
}

// memberChanged passes a change of membership to the cores that depend on it.
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

// address returns the address of a present router, or false.
func (n *Node) address(id membership.NodeID) (netip.AddrPort, bool) {
	c, ok := n.Shards.Candidate(id)
	return c.Address, ok && c.Present && c.Address.IsValid()
}
