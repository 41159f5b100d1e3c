package backgroundwork

import (
	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/health"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/control"
	"threadrun/internal/peers"
)

// Stats contains counters since the start, and the state of the cluster as seen by this router.
type Stats struct {
	Membership       membership.Stats
	Leases           lease.Stats
	Refresh          refresh.Stats
	HealthReports    health.Stats
	RefreshJobs      scheduler.Stats
	HealthCheckJobs  scheduler.Stats
	Channel          peers.Stats
	Shards           shardmap.Stats
	ShardMap         *shardmap.Map // nil: none
	ShardMapState    shardmap.State
	Directory        control.DirectoryStatus
	RecoveredRecords uint64         // records recovered after the start and passed to the router
	LocatedCopies    uint64         // copies located by other routers and passed to the router
	FleetSize        fleetsize.Size // zero: not estimated
	LivePeers        int            // present routers, except this one
	HeldLeases       int            // leases held by this router, even while it is out of contact
}

// Stats returns the current counters and state.
func (m *Manager) Stats() Stats {
	snapshot := m.control.Snapshot()
	return Stats{
		Membership:       snapshot.MembershipStats,
		Leases:           snapshot.LeaseStats,
		Refresh:          m.refresh.Stats(),
		HealthReports:    m.health.Stats(),
		RefreshJobs:      m.scheduler.Stats(refreshJobs),
		HealthCheckJobs:  m.scheduler.Stats(healthCheckJobs),
		Channel:          snapshot.ChannelStats,
		Shards:           snapshot.ShardMapStats,
		ShardMap:         snapshot.ShardMap,
		ShardMapState:    snapshot.ShardMapState,
		Directory:        snapshot.Directory,
		RecoveredRecords: m.recoveredRecords,
		LocatedCopies:    m.locatedCopies,
		FleetSize:        snapshot.FleetSize,
		LivePeers:        len(snapshot.Peers),
		HeldLeases:       snapshot.HeldCount(),
	}
}
