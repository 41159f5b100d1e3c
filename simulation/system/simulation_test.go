package system

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
)

// keyFile writes a key file and returns its path.
func keyFile(t testing.TB) string {
	path := filepath.Join(t.TempDir(), "peers.key")
	if err := os.WriteFile(path, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// readScript reads a script of testdata and its seed, which is in a comment of the script.
func readScript(t testing.TB, path string) (seed uint64, script faults.Script) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		_, _ = fmt.Sscanf(line, "# seed %d", &seed)
	}
	if script, err = faults.Parse(string(text)); err != nil || seed == 0 {
		t.Fatalf("%s: seed %d, %v", path, seed, err)
	}
	return seed, script
}

// The first hundred seeds find no failure, and play enough requests and combinations of faults to be meaningful.
func TestHundredSeeds(t *testing.T) {
	campaign := Campaign{FirstSeed: 1, LastSeed: seeds, Jobs: 6, Plan: DefaultPlan(keyFile(t))}
	report, err := campaign.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Failed {
		t.Errorf("seed %d, clustered %v: %s\n%s", f.Seed, f.Clustered, f.Detail, f.Script)
	}
	share, neverReady := report.DrainPurgeSlowOriginShare, report.Coverage.NeverReady
	if report.Requests < 500*seeds || neverReady > 0 || seeds == 100 && share < 0.05 {
		t.Errorf("share of scripts with drain, purge and slow origin: %v; %d requests, %d routers not ready",
			share, report.Requests, neverReady)
	}
}

// A request that a client sends while its router is paused keeps its deadline. In these seeds the router's receive
// buffer is full, so that the request is still in the client's send buffer when the router resumes, and the router
// reads it later than in the first turn of its event loop after the pause.
func TestDeadlineOfRequestsSentDuringAPause(t *testing.T) {
	campaign := Campaign{OperatorFile: OperatorFileOf, Plan: DefaultPlan(keyFile(t))}
	for _, seed := range []uint64{1610, 1614, 2451} {
		campaign.FirstSeed, campaign.LastSeed = seed, seed
		report, err := campaign.Run()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range report.Failed {
			t.Errorf("seed %d: %s\n%s", f.Seed, f.Detail, f.Script)
		}
	}
}

// Overlapping faults of one kind last until the last one of them ends.
func TestOverlappingFaultsOfOneKind(t *testing.T) {
	script, err := faults.Parse(`5s cache-0 hangs for 2s
5s way router-0 router-1 lossy x0.2 for 2s
6s cache-0 hangs for 3s
6s way router-0 router-1 lossy x0.1 for 3s`)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(1, DefaultPlan(keyFile(t)), script)
	if err != nil {
		t.Fatal(err)
	}
	cache := s.machineInSlot("cache-0").host
	link := s.world.Link(s.host("router-0"), s.host("router-1"))
	for _, check := range []struct {
		at     Micros
		active bool
	}{{6500 * ms, true}, {8000 * ms, true}, {9500 * ms, false}} {
		s.world.At(check.at, func() {
			if cache.HangConnects != check.active || link.LossShare > 0 != check.active {
				t.Errorf("at %s: hangs %v, loses %v", check.at.Duration(), cache.HangConnects, link.LossShare)
			}
		})
	}
	if _, err := s.Run(); err != nil {
		t.Fatal(err)
	}
}

// logCounter counts a router's log entries by message.
type logCounter map[string]int

func (logCounter) Fault(Micros, faults.Line, bool) {}
func (logCounter) End(Micros)                      {}
func (l logCounter) Entry(e LogEntry)              { l[e.Message]++ }

// After a pause, a router reads what it received in the meantime before it handles timeouts. Otherwise it would
// eject caches that have answered, and count a discovery watch that was answered as lost.
func TestPauseCausesNoFalseTimeouts(t *testing.T) {
	script, err := faults.Parse(`5s router-0 stops for 0.5s
8s router-0 stops for 1s
12s router-0 stops for 2s
17s router-0 stops for 4s`)
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint32(1); seed <= 10; seed++ {
		plan := DefaultPlan(keyFile(t))
		log := logCounter{}
		plan.Log = log
		s, err := New(seed, plan, script)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Run(); err != nil {
			t.Fatal(err)
		}
		if log["endpoint ejected"] > 0 || log["discovery: watch lost"] > 0 ||
			log["the process did not run for some time"] < 4 {
			t.Errorf("seed %d: number of log entries by message: %v", seed, log)
		}
	}
}

// A script with a target that the deployment does not have is an error. This guards against scripts whose faults
// silently have no effect, such as purges of unknown groups.
func TestUnknownTargets(t *testing.T) {
	plan := DefaultPlan(keyFile(t))
	for _, c := range []struct {
		line  string
		known bool
	}{
		{"1s purge object-0", true}, {"1s purge object-119", true}, {"1s purge object-120", false},
		{"1s purge object-5zz", false}, {"1s purge group-0", true}, {"1s purge group-7", true},
		{"1s purge group-8", false}, {"1s purge group-foo", false}, {"1s cache-11 dies for 1s", true},
		{"1s cache-12 dies for 1s", false}, {"1s router-3 stops for 1s", false},
	} {
		script, err := faults.Parse(c.line)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = New(1, plan, script); errors.Is(err, errUnknownTarget) == c.known {
			t.Errorf("%s: New returned %v; want an unknown target: %v", c.line, err, !c.known)
		}
	}
}

// The same seed gives the same history, regardless of how many simulations run concurrently.
func TestOneSeedOneHistory(t *testing.T) {
	hashes := map[string]int{}
	for _, jobs := range []int{1, 2, 5} {
		campaign := Campaign{FirstSeed: 1, LastSeed: max(seeds/8, 2), Jobs: jobs, Plan: DefaultPlan(keyFile(t)), Search: true}
		report, err := campaign.Run()
		if err != nil {
			t.Fatal(err)
		}
		hashes[report.Hash]++
	}
	if len(hashes) != 1 {
		t.Errorf("the same seeds have different histories, by hash: %v", hashes)
	}
}

// The scripts in testdata pass. Each of them reproduces a failure that was fixed, or shows the effect of a
// failpoint, which is off here.
func TestKeptScripts(t *testing.T) {
	if raceEnabled {
		t.Skip("run without the race detector")
	}
	paths, _ := filepath.Glob("testdata/*.faults")
	if len(paths) == 0 {
		t.Fatal("testdata contains no scripts")
	}
	campaign := Campaign{OperatorFile: OperatorFileOf, Plan: DefaultPlan(keyFile(t))}
	campaign.Plan.Settle = 20_000_000 // checks recovery: routers must find one another again
	for _, path := range paths {
		seed, s := readScript(t, path)
		for _, seed := range []uint64{seed, seed + 1, seed + 2} {
			r, err := campaign.run(seed, s)
			if err != nil {
				t.Fatal(err)
			}
			if r.Failed() {
				t.Errorf("%s, seed %d: %s", path, seed, r.Kind())
			}
		}
	}
}

// Scripts of hard cases find no failure, and reach the situation that the case is about.
func TestHardCases(t *testing.T) {
	if raceEnabled {
		t.Skip("run without the race detector")
	}
	for _, c := range []struct{ name, script, situation string }{
		{"a drain, a purge and a slow origin while a router restarts", `12s router-1 leaves for 1s
12.35s drain cache-4 for 5s
12.6s purge group-5
12.7s origin slow x4 for 9s`, "drain+purge"},
		{"a second drain while the first is announced", `10s list in pieces for 4s
10.1s drain cache-2 for 6s
10.2s drain cache-3 for 6s
10.25s purge object-3
10.3s purge object-3`, "drain+list in pieces"},
		{"an endpoint list that is late and fragmented", `8s list late for 3s
8s list in pieces for 8s
8.5s remove cache-1 for 4s
9s purge group-2
9.5s cache-5 dies for 1s`, "late list+purge"},
		{"answers truncated until the attempts time out", `9s cache-0 halves for 5s
9s cache-1 halves for 5s
9.5s parent-0 halves for 3s
10s clients crowd x2 for 3s`, "halves: "},
		{"clients that cancel and retry", `8s clients leave x0.9 for 8s
9s origin slow x10 for 5s
9.5s cache-3 slow x8 for 6s`, "leave: client left"},
		{"clients that cancel during slow connects", slowConnects() + "8s clients leave x0.9 for 12s\n",
			"leave+narrow: client left"},
		{"clients that cancel while routers are paused", `8s clients leave x0.9 for 12s
8.2s router-0 stops for 0.4s
8.9s router-1 stops for 0.4s
9.5s router-2 stops for 0.4s
10.1s router-0 stops for 0.3s
10.7s router-1 stops for 0.5s
11.5s router-2 stops for 0.3s
12s cache-1 refuses for 5s
12.2s cache-2 refuses for 5s
12.4s cache-4 refuses for 5s
12.9s router-0 stops for 0.4s
13.7s router-1 stops for 0.4s
14.6s router-2 stops for 0.4s`, "leave+stops router: client left"},
		{"a holder of leases that crashes", `8s router-0 stops for 2s
8.2s router-1 dies for 2s
8.4s cache-2 dies for 3s
11s router-2 dies for 1s`, "dies router"},
		{"descriptors at their limit", `8s router-0 full for 6s
8.5s way router-0 cache-1 reset used x8
9s cache-2 hangs for 4s
9s clients crowd x3 for 4s`, "full router"},
		{"memory at its limit", `8s clients heavy for 9s
9s clients crowd x5 for 6s
9.5s parent-0 slow x8 for 5s
10s parent-1 slow x8 for 5s
10.5s way router-1 cache-1 narrow for 4s`, "crowd+heavy: answered rejected"},
		{"a pause and then a clock jump", `8s router-2 stops for 4s
9s purge group-1
9.5s drain cache-7 for 6s
12s router-2 leaps for 3s
13s purge group-3
13.5s drain cache-8 for 4s`, "log: system clock was set"},
		{"links cut one way, throttled and lossy", `8s way router-0 cache-1 cut for 4s
8.5s way cache-2 router-1 cut for 4s
9s way router-2 cache-3 narrow for 5s
9s way router-0 router-1 lossy x0.9 for 6s
10s way parent-0 router-0 narrow for 3s`, "cut: "},
	} {
		s, err := faults.Parse(c.script)
		if err != nil {
			t.Fatal(err)
		}
		campaign := Campaign{OperatorFile: OperatorFileOf, Plan: DefaultPlan(keyFile(t))}
		for seed := uint64(1); seed <= 4; seed++ {
			r, err := campaign.run(seed, s)
			if err != nil {
				t.Fatal(err)
			}
			if r.Failed() {
				t.Errorf("%s, seed %d: %s\n%v", c.name, seed, r.Kind(), append(r.Problems, fmt.Sprint(r.Violations)))
			}
			if !strings.Contains(strings.Join(r.Situations, "\n"), c.situation) {
				t.Errorf("%s, seed %d: no %q in\n%s", c.name, seed, c.situation, strings.Join(r.Situations, "\n"))
			}
			if r.Stats.Succeeded < 500 {
				t.Errorf("%s, seed %d: fewer than 500 requests succeeded: %+v", c.name, seed, r.Stats)
			}
		}
	}
}

// slowConnects returns a script that throttles the links from all routers to all caches, which delays connects, and
// resets the idle connections on these links each second.
func slowConnects() string {
	var b strings.Builder
	for router := range 3 {
		for cache := range 12 {
			fmt.Fprintf(&b, "8s way router-%d cache-%d narrow for 12s\n", router, cache)
			for at := 9; at < 19; at++ {
				fmt.Fprintf(&b, "%ds way router-%d cache-%d reset idle x8\n", at, router, cache)
			}
		}
	}
	return b.String()
}

// The checker finds a violation: it is told that a router was notified of a drain, but the router was not and still
// sends attempts to the drained cache.
func TestViolationIsFound(t *testing.T) {
	sim, err := New(5, DefaultPlan(keyFile(t)), nil)
	if err != nil {
		t.Fatal(err)
	}
	announced := false
	sim.world.At(8_000_000, func() {
		announced = true
		number := len(sim.discovery.events) + 1
		drained := sim.machines[0].id
		// These events reach only the checker; the router is not notified.
		sim.observe(invariants.Event{Kind: invariants.EndpointListed, Number: number, Machine: drained})
		sim.checker.Observe(invariants.Event{Kind: invariants.Notified, At: sim.world.Now(), Router: 0, Number: number})
	})
	r, err := sim.Run()
	if err != nil || !announced {
		t.Fatal(err)
	}
	if len(r.Violations) == 0 || r.Violations[0].Rule != 3 {
		t.Errorf("no violation of rule 3 at first: %v", r.Violations)
	}
}
