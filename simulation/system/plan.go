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
	drainGrace           = 500 * ms          // after a router was notified of a drain
	purgeGrace           = 500 * ms          // after a router was notified of a purge
	purgeTakes           = 3000 * ms         // until all machines have carried out a purge
	clockSlack           = 50 * ms           // tolerance of each time limit
	coldInitialShare     = 0.2               // of a machine's rate, right after its start
	coldWarmUp           = 6 * clock.Second  // from a machine's start to its full rate
	coldOverloadMultiple = 3.0               // of the current rate; a higher load overloads a machine that warms up
	coldOverloadWindow   = 1000 * ms         // over which the load is averaged
)

// The capacity of machines.
const (
	transfersPerCache = 2.2  // concurrent transfers of objects at transferRate
	objectKB          = 1000 // size of each object
	transferRate      = 3000 // KB a second
	transferSeconds   = float64(objectKB) / transferRate
)

// Plan is the size of a deployment and the parameters of its run.
type Plan struct {
	faults.Topology
	Settle       Micros  // how long requests continue after the end of the script, to check recovery
	RequestRate  float64 // a second, at each router
	KeyWindow    Micros  // time for which machines recognize repeats of a keyed request
	OperatorFile string  // text of the file, with KEY for KeyFile, and LISTEN and PEERS for addresses; may be empty
	KeyFile      string  // path of the routers' shared key
	Log          RunLog  // may be nil; it does not influence the run
}

// RunLog receives the faults of a run and the log entries of its routers. Calls are in the order of virtual time.
type RunLog interface {
	// Fault is called for each line of the script at the line's time. applied is false if the target's state did not
	// allow the fault.
	Fault(at Micros, line faults.Line, applied bool)
	// Entry is called for each log entry of a router.
	Entry(e LogEntry)
	// End is called once, at the end of the run.
	End(at Micros)
}

// LogEntry is a log entry of a router.
type LogEntry struct {
	At        Micros
	Router    int // its index
	Message   string
	Fields    map[string]any
	OfRequest bool // it belongs to the request log
}

// DefaultPlan returns a plan of three routers and twelve caches, without an operator's file.
func DefaultPlan(keyFile string) Plan {
	topology := faults.Topology{
		Routers: 3, Caches: 12, Parents: 2, Objects: 120, Groups: 8,
		Until: 30 * clock.Second,
	}
	return Plan{Topology: topology, RequestRate: 10, KeyWindow: 5 * clock.Second, KeyFile: keyFile}
}

// ClusterOperatorFile is the text of an operator's file that enables everything that routers can share. See
// Plan.OperatorFile for KEY, LISTEN and PEERS.
const ClusterOperatorFile = `{"members": {"on": true, "key_file": "KEY", "listen": "LISTEN", "peers": PEERS},
 "shards": {"on": true}, "rows": {"on": true}, "presence": {"on": true}, "asking": {"on": true},
 "renewing": {"on": true}, "probing": {"on": true}}`

// requestsEnd returns when clients send their last requests.
func (p *Plan) requestsEnd() Micros { return p.Until + p.Settle }
