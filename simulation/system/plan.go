package system

import (
	"threadrun/internal/clock"
	"threadrun/simulation/faults"
)

// Micros is a time or a span in microseconds.
type Micros = clock.Micros

const ms = clock.Millisecond

// What the settings of a deployment promise, and what the checker holds the routers to.
const (
	freshFor             = 20 * clock.Second // copies are fresh
	drainGrace           = 500 * ms
	purgeGrace           = 500 * ms
	purgeTakes           = 3000 * ms // until each machine has carried a purge out
	clockSlack           = 50 * ms   // by which a router's view may be late
	coldInitialShare     = 0.2       // of its rate, right after a cold start
	coldWarmUp           = 6 * clock.Second
	coldOverloadMultiple = 3.0
	coldOverloadWindow   = 1000 * ms
)

// What machines can do.
const (
	transfersPerCache = 2.2  // at a time
	objectKB          = 1000 // of each object
	transferRate      = 3000 // KB a second
	transferSeconds   = float64(objectKB) / transferRate
)

// Plan is the size of a deployment, and how it is run.
type Plan struct {
	faults.Topology
	Settle       Micros  // that requests go on beyond the time of scripts, to see the deployment recover
	RequestRate  float64 // a second, at each router
	OperatorFile string  // its text; KEY stands for the path of the key file, LISTEN and PEERS for addresses
	KeyFile      string  // a path

	// OnLog is called for the routers' log entries, but for those of requests. It may be nil.
	OnLog func(at Micros, router int, message string, fields map[string]any)
}

// DefaultPlan is three routers in front of twelve caches.
func DefaultPlan(keyFile string) Plan {
	topology := faults.Topology{
		Routers: 3, Caches: 12, Parents: 2, Objects: 120, Groups: 8,
		Until: 30 * clock.Second,
	}
	return Plan{Topology: topology, RequestRate: 10, KeyFile: keyFile}
}

// ClusterOperatorFile is an operator's file that switches on all that routers can share.
const ClusterOperatorFile = `{"members": {"on": true, "key_file": "KEY", "listen": "LISTEN", "peers": PEERS},
 "shards": {"on": true}, "rows": {"on": true}, "presence": {"on": true}, "asking": {"on": true},
 "renewing": {"on": true}, "probing": {"on": true}}`

// requestsEnd is when clients send their last requests.
func (p *Plan) requestsEnd() Micros { return p.Until + p.Settle }
