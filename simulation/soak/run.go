package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"threadrun/internal/testserver"
)

const (
	routers             = 3
	caches              = 4
	cacheServiceTime    = 20 * time.Millisecond  // of each answer
	slowDelay           = 300 * time.Millisecond // of the answers of a slow cache
	hangDelay           = 10 * time.Second       // longer than all timeouts of clients
	clientsPerRouter    = 3
	meanRequestInterval = 40 * time.Millisecond
	settleTime          = 2 * time.Second // after Length, before descriptors are counted
	maxDescriptorGrowth = 40              // of a router, from before the faults until after them
	maxGrowthKB         = 64 << 10
)

// Settings are the parameters of a soak.
type Settings struct {
	Command     []string // starts a router
	Environment []string // variables added to a router's environment, as KEY=VALUE
	Length      time.Duration
	Cluster     bool   // the routers form a cluster with membership, shard maps and shared records
	KeepDir     string // directory to which scripts and logs of failed seeds are copied; empty: none
}

// Result is the result of one seed.
type Result struct {
	Seed          uint64
	Requests      int
	Failures      []string
	Restarts      int
	ReadyTimes    []time.Duration // of each start: until the router was ready
	ShutdownTimes []time.Duration // of each shutdown: from SIGTERM until the process ended
	PeakKB        int             // highest resident memory of a router
	Descriptors   int             // highest number of descriptors of a router
}

// run is the run of one seed.
type run struct {
	Settings
	dir      string
	recorder *recorder
	zone     *environment
	routers  []*router

	mu     sync.Mutex // guards result
	result Result
}

// Run runs one seed. Files are created in dir. It returns an error if the environment or a router can't be
// started, or if the files of a failed seed can't be kept; failures of the check are in the result.
func Run(settings Settings, seed uint64, dir string) (*Result, error) {
	r := &run{Settings: settings, dir: dir, recorder: newRecorder(), result: Result{Seed: seed}}
	zone, err := newEnvironment(dir, routers, r.recorder)
	if err != nil {
		return nil, err
	}
	defer zone.close()
	r.zone = zone
	defer func() {
		for _, router := range r.routers {
			router.process.Kill()
		}
	}()
	if err := r.startRouters(); err != nil {
		return nil, err
	}
	steps := drawScript(seed, settings.Length)
	r.play(seed, steps)
	r.result.Restarts = len(r.result.ReadyTimes) - routers
	r.result.Requests = r.recorder.requests
	r.result.Failures = r.recorder.finish()
	if settings.KeepDir != "" && len(r.result.Failures) > 0 {
		err = r.saveFailures(seed, steps)
	}
	return &r.result, err
}

// startRouters writes the routers' files and starts the routers, one after another.
func (r *run) startRouters() error {
	for i := range routers {
		address, err := testserver.FreeTCP()
		if err != nil {
			return err
		}
		router := &router{run: r, number: i, address: address, crashed: map[int]bool{}}
		router.configPath = filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))
		router.operatorPath = filepath.Join(r.dir, fmt.Sprintf("operator-%d.jsonc", i))
		if err := os.WriteFile(router.configPath, []byte(r.configuration(router, pollWait)), 0o600); err != nil {
			return err
		}
		operatorFile := "{}"
		if r.Cluster {
			operatorFile = r.zone.OperatorFile(i, `, "presence": {"on": true}, "shards": {"on": true}, "rows": {"on": true}`)
		}
		if err := os.WriteFile(router.operatorPath, []byte(operatorFile), 0o600); err != nil {
			return err
		}
		r.routers = append(r.routers, router)
		if router.start(); router.process == nil {
			return fmt.Errorf("router %d did not start", i)
		}
	}
	return nil
}

// pollWait is the "wait_ms" in testserver.ConfigurationOf, in milliseconds.
const pollWait = 400

// configuration returns the deployment file of a router, with the address of its own discovery server and with
// wait as the "wait_ms" of polls, in milliseconds.
func (r *run) configuration(router *router, wait int) string {
	text := testserver.ConfigurationOf(router.address, r.zone.Discovery, testserver.ZoneSettings(routers))
	text = strings.Replace(text, r.zone.Discovery.Address(), r.zone.addresses[router.number], 1)
	return strings.Replace(text, `"wait_ms":400`, fmt.Sprintf(`"wait_ms":%d`, wait), 1)
}

// play runs the clients and injects the faults of the script. It then compares the routers' descriptors with those
// before the faults, and checks the routers' logs.
func (r *run) play(seed uint64, s script) {
	began := time.Now()
	stop := make(chan struct{})
	var lastID atomic.Uint64
	var clients, faults sync.WaitGroup
	for _, router := range r.routers {
		for i := range clientsPerRouter {
			random := rand.New(rand.NewPCG(seed, uint64(router.number*clientsPerRouter+i)))
			interval := meanRequestInterval/2 + time.Duration(random.Int64N(int64(meanRequestInterval)))
			c := &client{recorder: r.recorder, router: router, random: random, interval: interval, lastID: &lastID}
			clients.Go(func() { c.run(stop) })
		}
	}
	time.Sleep(quietStart / 2)
	before := make([]int, routers)
	for i, router := range r.routers {
		_, before[i] = router.usage()
	}
	for _, step := range s {
		time.Sleep(time.Until(began.Add(step.at)))
		faults.Go(func() { r.inject(step) })
		r.recordUsage()
	}
	faults.Wait()
	time.Sleep(time.Until(began.Add(r.Length)))
	time.Sleep(settleTime)
	for i, router := range r.routers {
		if _, now := router.usage(); now > before[i]+maxDescriptorGrowth {
			r.recorder.addProblem("router %d has %d descriptors, %d before the faults", i, now, before[i])
		}
	}
	r.recordUsage()
	close(stop)
	clients.Wait()
	for _, router := range r.routers {
		router.checkLogs()
	}
}

// inject injects the fault of one step. It returns when a fault of a router is over; faults of caches and of
// discovery end by themselves after their span.
func (r *run) inject(s step) {
	router := r.routers[s.target%routers]
	cache := s.target % caches
	switch s.kind {
	case reloadSame:
		router.reload("")
	case reloadChanged:
		router.reload(r.configuration(router, pollWait/2))
	case reloadInvalid:
		router.reload("{")
	case pause:
		router.pause(s.span / 2)
	case terminate:
		router.terminate()
	case terminateAll:
		var all sync.WaitGroup
		for _, other := range r.routers[1:] {
			all.Go(other.terminate)
		}
		all.Wait()
	case crash:
		router.crash()
	case slowCache:
		r.delayReplies(cache, slowDelay, s.span)
	case hangCaches:
		for i := range caches / 2 {
			r.delayReplies(i, hangDelay, s.span)
		}
	case resetCache:
		r.zone.Caches[r.zone.CacheNames[cache]].CloseConnections(true)
	case drainCache:
		r.zone.drain(cache, s.span)
	case purgeObject:
		r.zone.purge(s.target)
	case silentPolls:
		r.zone.silentUntil.Store(time.Now().Add(s.span / 2).UnixNano())
	}
}

// delayReplies delays the answers of a cache for a span.
func (r *run) delayReplies(cache int, by, span time.Duration) {
	r.zone.extraDelay[cache].Store(int64(by))
	time.AfterFunc(span, func() { r.zone.extraDelay[cache].Store(0) })
}

// recordReady records the time from the start of a process until it was ready.
func (r *run) recordReady(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.ReadyTimes = append(r.result.ReadyTimes, took)
}

// recordShutdown records the time from SIGTERM until the process ended.
func (r *run) recordShutdown(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.ShutdownTimes = append(r.result.ShutdownTimes, took)
}

// recordUsage updates the peaks of the routers' memory and descriptors.
func (r *run) recordUsage() {
	for _, router := range r.routers {
		kb, descriptors := router.usage()
		r.mu.Lock()
		r.result.PeakKB = max(r.result.PeakKB, kb)
		r.result.Descriptors = max(r.result.Descriptors, descriptors)
		r.mu.Unlock()
	}
}

// saveFailures writes the script and the failures to a directory under KeepDir, and copies the routers' logs there.
func (r *run) saveFailures(seed uint64, s script) error {
	dir := filepath.Join(r.KeepDir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	text := s.String() + "\n\n" + strings.Join(r.result.Failures, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(dir, "failures"), []byte(text), 0o600); err != nil {
		return err
	}
	for _, router := range r.routers {
		for _, path := range router.logs {
			log, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, filepath.Base(path)), log, 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}
