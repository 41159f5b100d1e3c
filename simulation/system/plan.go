package system

import (
	"threadrun/internal/clock"
	"threadrun/simulation/faults"
)

// Micros is a time or a span in microseconds.
type Micros = clock.Micros

const ms = clock.Millisecond

// Limits in the settings of a deployment, which the checker enforces.
const (
	freshFor             = 20 * clock.Second // freshness lifetime of copies
	drainGrace           = 500 * ms
	purgeGrace           = 500 * ms
	purgeTakes           = 3000 * ms // until all machines have carried out a purge
	clockSlack           = 50 * ms   // by which a router may be late
	coldInitialShare     = 0.2       // of a machine's rate, at its start
	coldWarmUp           = 6 * clock.Second
	coldOverloadMultiple = 3.0
	coldOverloadWindow   = 1000 * ms
)

// The capacity of machines.
const (
	transfersPerCache = 2.2  // concurrent ones
	objectKB          = 1000 // size of each object
	transferRate      = 3000 // KB a second
	transferSeconds   = float64(objectKB) / transferRate
)

// Plan is the size of a deployment and the parameters of its run.
type Plan struct {
	faults.Topology
	Settle       Micros  // for which requests continue after the end of scripts, to check recovery
	RequestRate  float64 // a second, at each router
	OperatorFile string  // its text, with KEY for the path of the key file, and LISTEN and PEERS for addresses
	KeyFile      string  // a path
	Log          RunLog  // may be nil; it doesn't change the history
}

// RunLog receives what happens during a run, to print it. Calls are sorted by time.
type RunLog interface {
	// Fault is called for each line of the script at its time. applied is false if the line was skipped.
	Fault(at Micros, line faults.Line, applied bool)
	// Entry is called for each log entry of a router.
	Entry(e LogEntry)
	// End is called at the end of the run.
	End(at Micros)
}

// LogEntry is a log entry of a router.
type LogEntry struct {
	At        Micros
	Router    int
	Message   string
	Fields    map[string]any
	OfRequest bool // it belongs to the request log
}

// DefaultPlan returns a plan of three routers and twelve caches.
func DefaultPlan(keyFile string) Plan {
	topology := faults.Topology{
		Routers: 3, Caches: 12, Parents: 2, Objects: 120, Groups: 8,
		Until: 30 * clock.Second,
	}
	return Plan{Topology: topology, RequestRate: 10, KeyFile: keyFile}
}

// ClusterOperatorFile is an operator's file that enables everything that routers can share.
const ClusterOperatorFile = `{"members": {"on": true, "key_file": "KEY", "listen": "LISTEN", "peers": PEERS},
 "shards": {"on": true}, "rows": {"on": true}, "presence": {"on": true}, "asking": {"on": true},
 "renewing": {"on": true}, "probing": {"on": true}}`

// requestsEnd returns when clients send their last requests.
func (p *Plan) requestsEnd() Micros { return p.Until + p.Settle }
