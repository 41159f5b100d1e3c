package operator

import (
	"net/netip"
	"time"

	"threadrun/cluster/shardmap"
)

// Membership says how routers know one another: key members.
type Membership struct {
	Enabled bool
	Listen  netip.AddrPort   // where datagrams are received; not valid: as the deployment says
	Address netip.AddrPort   // where others reach this router; not valid: where it listens
	Peers   []netip.AddrPort // all routers
	Seeds   []netip.AddrPort // some routers, from which the others are learned
	Weight  int              // this router's part of shared work, against others'
	KeyFile string
}

// Budget bounds what background work uses somewhere; a zero figure is no bound.
type Budget struct {
	OperationsPerSecond float64
	KBPerSecond         float64
	Concurrent          int
}

// Refresh says how copies are refreshed ahead: key renewing.
type Refresh struct {
	Enabled    bool
	Partitions int // leases that the work is divided into, alike at all routers
	Budget     Budget
	MaxQueued  int // copies
}

// HealthChecks says how caches are probed: key probing.
type HealthChecks struct {
	Enabled    bool
	Partitions int           // leases that the work is divided into, alike at all routers
	Interval   time.Duration // between probes of one cache, by all routers together
	Timeout    time.Duration
	Budget     Budget
}

// ShardMap says who owns which keys: key shards.
type ShardMap struct {
	Enabled      bool
	PinnedRanges []shardmap.Range // a map that the operator has written; nil: none
	PinnedOwners []netip.AddrPort // the addresses that the ranges refer to
}

// Directory says how records of cached objects are kept: key rows.
type Directory struct {
	Enabled     bool
	SnapshotDir string // where a snapshot is kept; empty: nowhere
}

// PathBudgets bound background work of all kinds at each place: key background.
type PathBudgets struct{ Cache, Parent, Link, Origin Budget }

// File is an operator's file, read and checked. Everything that can be enabled is off by default.
type File struct {
	Membership        Membership
	Refresh           Refresh
	HealthChecks      HealthChecks
	ShardMap          ShardMap
	Directory         Directory
	SiblingLookup     bool // asking: others are asked which caches hold an object
	DynamicFleetSize  bool // presence: limits follow the routers that are there, not those that the settings name
	BackgroundBudgets PathBudgets
	TraceRequests     bool // trace.visits: a log line for each step of each request

	path  string
	lines map[string]int // of the keys that are checked against the deployment
}
