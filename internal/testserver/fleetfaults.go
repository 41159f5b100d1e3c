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
	stallTime        = 3 * time.Second
	downTime         = time.Second      // time from a kill to the restart
	summaryDelay     = 11 * time.Second // time after which summaries include all records
	referenceTimeout = 30 * time.Second
	queryTimeout     = time.Second
)

// injectFaults kills the first routers at the same time and restarts them, and stops the next ones for stallTime.
// wait is used to wait for their recovery.
func (x *fleet) injectFaults(wait *sync.WaitGroup) {
	x.mu.Lock()
	killed := min(x.Killed, x.Routers)
	for i := range killed {
		x.incarnations[i]++
		_ = x.processes[i].Process.Kill()
	}
	stalled := x.processes[killed:min(x.Killed+x.Stalled, x.Routers)]
	for _, process := range stalled {
		_ = process.Process.Signal(syscall.SIGSTOP)
	}
	x.mu.Unlock()
	time.AfterFunc(stallTime, func() {
		for _, process := range stalled {
			_ = process.Process.Signal(syscall.SIGCONT)
		}
	})
	time.Sleep(downTime)
	for i := range killed {
		x.restart(i, wait)
	}
}

// restart starts a router that was killed, and measures its recovery.
func (x *fleet) restart(i int, wait *sync.WaitGroup) {
	x.mu.Lock()
	_ = x.processes[i].Wait() // the error is that it was killed
	process, err := x.start(i)
	if err == nil {
		x.processes[i] = process
	}
	x.mu.Unlock()
	began := time.Now()
	wait.Add(1)
	go func() {
		defer wait.Done()
		recovered := err == nil && x.waitRecovered(i, fleetReadyTimeout)
		x.mu.Lock()
		defer x.mu.Unlock()
		if !recovered {
			x.stats.NeverRecovered++
			return
		}
		_ = x.stats.RecoveryTime.RecordValue(max(time.Since(began).Milliseconds(), 1))
	}()
}

// purgeLoop announces a purge of a random object once per purgeInterval.
func (x *fleet) purgeLoop(end time.Time) {
	random := rand.New(rand.NewPCG(x.Seed, 5))
	for time.Now().Before(end) {
		time.Sleep(purgeInterval)
		object := random.IntN(x.Objects)
		now := time.Now()
		x.mu.Lock()
		x.purges[object] = now
		x.mu.Unlock()
		x.zone.Discovery.AnnouncePurge(objectName(object), now)
	}
}

func objectName(object int) string { return fmt.Sprintf("%016x", 0x1000+object) }

// runQueries queries records, first while the first router is stopped, then after it continues and the last one is
// killed.
func (x *fleet) runQueries() error {
	client := x.stats.Queries
	time.Sleep(summaryDelay)
	if _, err := client.TakeReference(referenceTimeout); err != nil {
		return err
	}
	for n := range x.Queries {
		switch n {
		case x.Queries / 3:
			_ = x.processes[0].Process.Signal(syscall.SIGSTOP)
		case x.Queries * 2 / 3:
			_ = x.processes[0].Process.Signal(syscall.SIGCONT)
			_ = x.processes[x.Routers-1].Process.Kill()
		}
		if err := client.Query(n, queryTimeout); err != nil {
			return err
		}
	}
	return nil
}
