package control

import (
	"github.com/sirupsen/logrus"

	"threadrun/cluster/fleetsize"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Config configures a Controller.
type Config struct {
	Self            membership.Identity // identity of this router
	Seed            uint32              // seed of the cores' random numbers
	Peers           []membership.Peer   // routers known at the start
	Leases          int                 // number of leases that the routers share
	ShardMap        bool                // assign keys to owners by a shard map
	Directory       bool                // store records and recover them after a restart; needs ShardMap
	Locations       bool                // locate copies at other caches; needs Directory
	SnapshotDir     string              // directory for snapshots of the records; empty: no snapshots
	StaticFleetSize fleetsize.Size      // configured size; zero: the fleet size is not estimated
	Clock           func() Micros       // wall time, as exchanged with other routers
	Runtime         transport.Runtime
	Log             *logrus.Logger
}
