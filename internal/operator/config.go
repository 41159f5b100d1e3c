package operator

import (
	"net/netip"
	"time"

	"threadrun/cluster/shardmap"
)

// Membership configures how routers find each other: key "members".
type Membership struct {
	Enabled bool
	Listen  netip.AddrPort   // where datagrams are received; invalid: according to the deployment
	Address netip.AddrPort   // where peers reach this router; invalid: where it listens
	Peers   []netip.AddrPort // addresses of all routers; empty: according to the deployment
	Seeds   []netip.AddrPort // addresses of some routers, from which this router learns the others
	Weight  int              // this router's share of shared work, relative to other routers' weights
	KeyFile string           // path of the file with the keys that the routers share
}

// Budget limits the resources used by background work. A value of 0 means no limit.
type Budget struct {
	OperationsPerSecond float64
	KBPerSecond         float64
	Concurrent          int // operations at the same time
}

// Refresh configures the refresh of copies before they become stale: key "renewing".
type Refresh struct {
	Enabled    bool
	LeaseCount int // number of leases that divide the work, identical at all routers
	Budget     Budget
	MaxQueued  int // maximum number of copies that wait for their refresh
}

// HealthChecks configures health checks of caches: key "probing".
type HealthChecks struct {
	Enabled    bool
	LeaseCount int           // number of leases that divide the work, identical at all routers
	Interval   time.Duration // time between two checks of a cache by any router
	Timeout    time.Duration // time after which a cache that has not responded counts as unreachable
	Budget     Budget
}

// ShardMap configures the assignment of record keys to owners: key "shards".
type ShardMap struct {
	Enabled      bool
	PinnedRanges []shardmap.Range // the operator's map, which replaces computed maps; nil: none
	PinnedOwners []netip.AddrPort // addresses of the owners, to which the ranges refer by index
}

// Directory configures the records of cached objects: key "rows".
type Directory struct {
	Enabled     bool
	SnapshotDir string // directory for snapshot files of the records; empty: none are written
}

// ResourceBudgets limits background work of all kinds together at each cache, at each parent, on the network link
// into the zone and at the origin: key "background".
type ResourceBudgets struct{ Cache, Parent, Link, Origin Budget }

// File is a validated operator's file. All features are disabled by default.
type File struct {
	Membership        Membership
	Refresh           Refresh
	HealthChecks      HealthChecks
	ShardMap          ShardMap
	Directory         Directory
	SiblingLookup     bool // key "asking": ask other routers which caches hold an object
	DynamicFleetSize  bool // key "presence": limits depend on the running routers instead of the configured number
	BackgroundBudgets ResourceBudgets
	TraceRequests     bool // key "trace.visits": log each step of each request

	path  string         // for errors
	lines map[string]int // line numbers of the keys that are checked against the deployment, by full key
}
