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
	Self            membership.Identity // identity of this router; its incarnation is the time of this start
	Seed            uint32              // seed of the cores' random numbers; should differ between routers
	Peers           []membership.Peer   // routers known at the start
	Leases          int                 // number of leases that the routers of a zone divide; identical at all of them
	ShardMap        bool                // assign keys to owners by a shard map
	Directory       bool                // store records of cached objects and recover them after a restart; needs ShardMap
	SiblingLookup   bool                // ask other routers which caches hold an object; needs Directory
	SnapshotDir     string              // directory for snapshot files of the records; empty: none are written
	StaticFleetSize fleetsize.Size      // configured size; zero: the fleet size is not estimated
	Clock           func() Micros       // time since the Unix epoch, as exchanged with other routers; never goes back
	Runtime         transport.Runtime
	Log             *logrus.Logger
}
