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

// FleetRun runs router processes of one zone through deaths and stalls, under a load of requests and purges, and
// counts what an observer sees who knows all clients, caches and owners.
type FleetRun struct {
	Routers, Killed, Stalled int
	Loss                     float64       // share of the datagrams that are lost
	Delay                    time.Duration // at most, of a datagram
	Seconds                  float64       // of load; routers are killed after a third of it
	Objects                  int
	RequestInterval          time.Duration // between two requests at one router
	// Queries are asked by one more member once the load has ended, while one router is stopped and then one killed.
	Queries int
	Seed    uint64
}

// FleetStats are the results of a FleetRun.
type FleetStats struct {
	Requests, Writes    int
	Unanswered          int // requests without an answer at a router that ran throughout
	Duplicates          int // second answers, and non-idempotent requests that caches got more than once
	CheckedForStaleness int // answers that were compared with a purge
	Stale               int // answers with a copy from before a purge that was announced staleAfter earlier
	DoubleOwners        int // see OwnershipProbe.DoubleOwners
	NeverRecovered      int // routers that did not recover after a restart
	Rejected            int
	Queries             *QueryClient            // with the results of its queries; nil: none
	Interrupted         int                     // requests whose router was killed before the answer
	RecoveryTime        *hdrhistogram.Histogram // ms from a restart until the router has recovered
	OversizedDatagrams  int64
}

const (
	fleetCaches        = 4
	fleetDuplication   = 0.05 // share of the datagrams that arrive twice
	fleetReadyTimeout  = 60 * time.Second
	recoveryPollPeriod = 20 * time.Millisecond
	probedKeys         = 16 // of the shard map

	recoveredField   = "state=recovered" // in the log line of a router that has recovered
	fleetOperatorKey = `, "shards": {"on": true}, "rows": {"on": true}, "asking": {"on": true},
			"presence": {"on": true}`
)

// fleet is a FleetRun under way.
type fleet struct {
	*FleetRun
	zone         *Zone
	command      []string
	environment  []string
	mu           sync.Mutex
	processes    []*Process
	incarnations []int // of each router: how often it was killed
	stats        FleetStats
	lastID       atomic.Uint64
	purges       map[int]time.Time // the last one, by object
	problems     []string
}

// Run runs the fleet and gives, besides the results, a line on each thing that must not happen and did. command and
// environment start a router; files go into dir. An error is that a router or the query client does not start.
func (f *FleetRun) Run(dir string, command, environment []string) (FleetStats, []string, error) {
	members := f.Routers
	if f.Queries > 0 {
		members++
	}
	zone, err := NewBranch(dir, fleetCaches, members, f.Loss, nil)
	if err != nil {
		return FleetStats{}, nil, err
	}
	defer zone.Close()
	zone.Relay.SetFaults(fleetDuplication, f.Delay)
	x := &fleet{
		FleetRun:     f,
		zone:         zone,
		command:      command,
		environment:  environment,
		processes:    make([]*Process, f.Routers),
		incarnations: make([]int, f.Routers),
		stats:        FleetStats{RecoveryTime: hdrhistogram.New(1, 600_000, 3)},
		purges:       map[int]time.Time{},
	}
	defer x.killAll()
	if f.Queries > 0 {
		client, err := zone.QueryClient(f.Routers)
		if err != nil {
			return x.stats, nil, err
		}
		defer client.Close()
		x.stats.Queries = client
	}
	if err := x.startAll(); err != nil {
		return x.stats, nil, err
	}
	owners, err := zone.OwnershipProbe(evenKeys())
	if err != nil {
		return x.stats, nil, err
	}
	defer owners.Close()
	x.runLoad()
	x.countDuplicateWrites()
	if f.Queries > 0 {
		if err := x.runQueries(); err != nil {
			return x.stats, x.problems, err
		}
	}
	x.stats.DoubleOwners = owners.DoubleOwners()
	x.stats.OversizedDatagrams = zone.Relay.Oversized.Load()
	return x.stats, x.problems, nil
}

// evenKeys are the least key, the greatest and others at even distances.
func evenKeys() []shardmap.Key {
	keys := []shardmap.Key{0, shardmap.LastKey}
	for i := range probedKeys - 2 {
		keys = append(keys, shardmap.Key(i+1)*0x1111111111111111)
	}
	return keys
}

func (x *fleet) start(i int) (*Process, error) {
	operatorFile := x.zone.OperatorFile(i, fleetOperatorKey)
	return x.zone.StartRouter(i, x.command, x.environment, ZoneSettings(x.Routers), operatorFile)
}

// startAll starts all routers and waits until they have recovered.
func (x *fleet) startAll() error {
	for i := range x.processes {
		process, err := x.start(i)
		if err != nil {
			return err
		}
		x.processes[i] = process
	}
	for i := range x.processes {
		if !x.waitRecovered(i, fleetReadyTimeout) {
			return fmt.Errorf("router %d is not ready:\n%s", i, x.processes[i].logText())
		}
	}
	return nil
}

func (x *fleet) killAll() {
	for _, process := range x.processes {
		if process != nil {
			process.Kill()
		}
	}
}

// waitRecovered reports whether a router recovers within a time.
func (x *fleet) waitRecovered(i int, timeout time.Duration) bool {
	x.mu.Lock()
	process := x.processes[i]
	x.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(recoveryPollPeriod) {
		if strings.Contains(process.logText(), recoveredField) {
			return true
		}
	}
	return false
}

// runLoad sends requests to all routers and purges objects, and injects the faults after a third of the time.
func (x *fleet) runLoad() {
	end := time.Now().Add(time.Duration(x.Seconds * float64(time.Second)))
	var wait sync.WaitGroup
	for i := range x.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			x.load(i, end)
		}()
	}
	go x.purgeLoop(end)
	time.Sleep(time.Duration(x.Seconds / 3 * float64(time.Second)))
	x.injectFaults(&wait)
	wait.Wait()
}
