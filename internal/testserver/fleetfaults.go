package testserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	purgeInterval    = 700 * time.Millisecond
	pauseTime        = 3 * time.Second  // time from SIGSTOP to SIGCONT
	downTime         = time.Second      // time from a kill to the restart
	summaryDelay     = 11 * time.Second // until summaries, updated every 10 s, contain all records
	referenceTimeout = 30 * time.Second
	queryTimeout     = time.Second
)

// injectFaults kills the first routers at the same time and restarts them after downTime, and pauses the next
// routers for pauseTime. It adds the goroutines that wait for the recovery of the restarted routers to wait.
func (f *fleet) injectFaults(wait *sync.WaitGroup) {
	f.mu.Lock()
	killed := min(f.Killed, f.Routers)
	for i := range killed {
		f.incarnations[i]++
		_ = f.processes[i].Process.Kill()
	}
	paused := f.processes[killed:min(f.Killed+f.Paused, f.Routers)]
	for _, process := range paused {
		_ = process.Process.Signal(syscall.SIGSTOP)
	}
	f.mu.Unlock()
	time.AfterFunc(pauseTime, func() {
		for _, process := range paused {
			_ = process.Process.Signal(syscall.SIGCONT)
		}
	})
	time.Sleep(downTime)
	for i := range killed {
		f.restart(i, wait)
	}
}

// restart starts a router that was killed, and measures the time until its recovery in a goroutine, which it adds to
// wait.
func (f *fleet) restart(i int, wait *sync.WaitGroup) {
	f.mu.Lock()
	_ = f.processes[i].Wait() // returns an error, because the process was killed
	process, err := f.start(i)
	if err == nil {
		f.processes[i] = process
	}
	f.mu.Unlock()
	startedAt := time.Now()
	wait.Add(1)
	go func() {
		defer wait.Done()
		recovered := err == nil && f.waitRecovered(i, fleetRecoveryTimeout)
		f.mu.Lock()
		defer f.mu.Unlock()
		if !recovered {
			f.stats.NeverRecovered++
			return
		}
		_ = f.stats.RecoveryTime.RecordValue(max(time.Since(startedAt).Milliseconds(), 1))
	}()
}

// purgeLoop announces a purge of a random object once per purgeInterval until end. Unlike after Zone.Purge, the caches
// keep the purged copies: only the accepted age that the routers send with a request prevents their use.
func (f *fleet) purgeLoop(end time.Time) {
	random := rand.New(rand.NewPCG(f.Seed, 5))
	for time.Now().Before(end) {
		time.Sleep(purgeInterval)
		object := random.IntN(f.Objects)
		now := time.Now()
		f.mu.Lock()
		f.purges[object] = now
		f.mu.Unlock()
		f.zone.Discovery.AnnouncePurge(objectName(object), now)
	}
}

func objectName(object int) string { return fmt.Sprintf("%016x", 0x1000+object) }

// runQueries queries records: in the first third with all routers running, in the second third while the first
// router is paused, and in the last third after that router was resumed and the last router was killed.
func (f *fleet) runQueries() error {
	client := f.stats.Queries
	time.Sleep(summaryDelay)
	if _, err := client.TakeReference(referenceTimeout); err != nil {
		return err
	}
	for n := range f.Queries {
		switch n {
		case f.Queries / 3:
			_ = f.processes[0].Process.Signal(syscall.SIGSTOP)
		case f.Queries * 2 / 3:
			_ = f.processes[0].Process.Signal(syscall.SIGCONT)
			_ = f.processes[f.Routers-1].Process.Kill()
		}
		if err := client.Query(n, queryTimeout); err != nil {
			return err
		}
	}
	return nil
}
