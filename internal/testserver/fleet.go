package testserver

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/shardmap"
)

// FleetRun runs the router processes of one zone under a load of requests and purges, while some are killed and
// others paused (SIGSTOP) and resumed. It observes all clients, caches and owners of keys, and counts violations.
type FleetRun struct {
	Routers, Killed, Paused int           // numbers of all routers, and of those killed and paused
	Loss                    float64       // share of datagrams that are lost
	Delay                   time.Duration // maximum delay of a datagram
	Seconds                 float64       // duration of the load; faults are injected after a third of it
	Objects                 int
	RequestInterval         time.Duration // time between two requests to one router
	// Queries is the number of queries for records of cached objects that an additional member makes after the load.
	// The second third is made while one router is paused, and the last third after another was killed.
	Queries int
	Seed    uint64
}

// FleetStats contains the results of a FleetRun.
type FleetStats struct {
	Requests, Writes    int                     // requests sent, and the non-idempotent ones among them
	Unanswered          int                     // requests without an answer from a router that was not killed
	Duplicates          int                     // second answers, and writes that caches received more than once
	CheckedForStaleness int                     // answers that were compared with a purge
	Stale               int                     // copies from before a purge announced at least staleAfter earlier
	DoubleOwners        int                     // see OwnershipProbe.DoubleOwners
	NeverRecovered      int                     // routers that did not recover after a restart
	Rejected            int                     // answers with any error
	Queries             *QueryClient            // the client that made the queries and counted the results; nil: none
	Interrupted         int                     // requests to routers that were killed before they answered
	RecoveryTime        *hdrhistogram.Histogram // time from a restart to the router's recovery, in milliseconds
	OversizedDatagrams  int64                   // see Relay.Oversized
}

const (
	fleetCaches          = 4
	fleetDuplication     = 0.05 // share of datagrams that are duplicated
	fleetRecoveryTimeout = 60 * time.Second
	recoveryPollPeriod   = 20 * time.Millisecond
	probedKeyCount       = 16 // number of keys whose ownership is observed

	recoveredField = "state=recovered" // in the log line of a router that has finished the recovery of its records

	// fleetOperatorMembers are the members that Zone.OperatorFile adds to a router's operator's file.
	fleetOperatorMembers = `, "shards": {"on": true}, "rows": {"on": true}, "asking": {"on": true},
			"presence": {"on": true}`
)

// fleet is a FleetRun in progress. During the load, mu guards the fields below it, except lastID.
type fleet struct {
	*FleetRun
	zone         *Zone
	command      []string
	environment  []string
	mu           sync.Mutex
	processes    []*Process
	incarnations []int // per router: number of times it was killed
	stats        FleetStats
	lastID       atomic.Uint64
	purges       map[int]time.Time // time of the last purge, by object
	violations   []string
}

// Run runs the fleet. It returns the results and a description of each violation. command and environment start a
// router; files are created in dir. Run returns an error if a router, the query client or the ownership probe does
// not start, or if a query fails.
func (f *FleetRun) Run(dir string, command, environment []string) (FleetStats, []string, error) {
	members := f.Routers
	if f.Queries > 0 {
		members++
	}
	zone, err := NewZone(dir, fleetCaches, members, f.Loss, nil)
	if err != nil {
		return FleetStats{}, nil, err
	}
	defer zone.Close()
	zone.Relay.SetFaults(fleetDuplication, f.Delay)
	run := &fleet{
		FleetRun:     f,
		zone:         zone,
		command:      command,
		environment:  environment,
		processes:    make([]*Process, f.Routers),
		incarnations: make([]int, f.Routers),
		stats:        FleetStats{RecoveryTime: hdrhistogram.New(1, 600_000, 3)},
		purges:       map[int]time.Time{},
	}
	defer run.killAll()
	if f.Queries > 0 {
		client, err := zone.QueryClient(f.Routers)
		if err != nil {
			return run.stats, nil, err
		}
		defer client.Close()
		run.stats.Queries = client
	}
	if err := run.startAll(); err != nil {
		return run.stats, nil, err
	}
	probe, err := zone.OwnershipProbe(evenlySpacedKeys())
	if err != nil {
		return run.stats, nil, err
	}
	defer probe.Close()
	run.runLoad()
	run.countDuplicateWrites()
	if f.Queries > 0 {
		if err := run.runQueries(); err != nil {
			return run.stats, run.violations, err
		}
	}
	run.stats.DoubleOwners = probe.DoubleOwners()
	run.stats.OversizedDatagrams = zone.Relay.Oversized.Load()
	return run.stats, run.violations, nil
}

// evenlySpacedKeys returns the lowest key, the highest key, and keys at equal distances between them.
func evenlySpacedKeys() []shardmap.Key {
	keys := []shardmap.Key{0, shardmap.LastKey}
	for i := range probedKeyCount - 2 {
		keys = append(keys, shardmap.Key(i+1)*0x1111111111111111)
	}
	return keys
}

// start starts router i.
func (f *fleet) start(i int) (*Process, error) {
	operatorFile := f.zone.OperatorFile(i, fleetOperatorMembers)
	return f.zone.StartRouter(i, f.command, f.environment, ZoneSettings(f.Routers), operatorFile)
}

// startAll starts all routers and waits until they have finished the recovery of their records.
func (f *fleet) startAll() error {
	for i := range f.processes {
		process, err := f.start(i)
		if err != nil {
			return err
		}
		f.processes[i] = process
	}
	for i := range f.processes {
		if !f.waitRecovered(i, fleetRecoveryTimeout) {
			return fmt.Errorf("router %d did not recover within %s:\n%s", i, fleetRecoveryTimeout, f.processes[i].logText())
		}
	}
	return nil
}

func (f *fleet) killAll() {
	for _, process := range f.processes {
		if process != nil {
			process.Kill()
		}
	}
}

// waitRecovered waits until a router has finished the recovery of its records, and reports whether it has within the
// timeout.
func (f *fleet) waitRecovered(i int, timeout time.Duration) bool {
	f.mu.Lock()
	process := f.processes[i]
	f.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(recoveryPollPeriod) {
		if strings.Contains(process.logText(), recoveredField) {
			return true
		}
	}
	return false
}

// runLoad sends requests to all routers, purges objects, and injects faults after a third of the time. It waits
// for the last answers and for the recovery of all routers that were restarted.
func (f *fleet) runLoad() {
	end := time.Now().Add(time.Duration(f.Seconds * float64(time.Second)))
	var wait sync.WaitGroup
	for i := range f.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.load(i, end)
		}()
	}
	go f.purgeLoop(end)
	time.Sleep(time.Duration(f.Seconds / 3 * float64(time.Second)))
	f.injectFaults(&wait)
	wait.Wait()
}
