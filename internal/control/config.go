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

// Config is what a Controller is made of.
type Config struct {
	Self            membership.Identity // this router
	Seed            uint32              // of the cores' random numbers
	Peers           []membership.Peer   // known at the start
	Leases          int                 // that routers share
	ShardMap        bool                // keys are assigned to owners
	Directory       bool                // records are kept, and recovered after a restart; needs ShardMap
	Locations       bool                // other routers are asked where objects are cached; needs Directory
	SnapshotDir     string              // where a snapshot of the records is kept; empty: none is
	StaticFleetSize fleetsize.Size      // by the settings; zero: live routers are not counted
	Clock           func() Micros       // wall time, as routers tell one another
	Runtime         transport.Runtime
	Log             *logrus.Logger
}
