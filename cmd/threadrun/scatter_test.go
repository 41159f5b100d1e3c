package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Five router processes hold records of forty pages, and a sixth member queries them; a tenth of all datagrams is lost,
// some are duplicated, all are delayed. One router is paused and resumed, one is killed and restarts without records,
// one can send but not receive. No answer marked complete lacks a record that has not moved, and with all routers
// present answers are complete.
func TestScatterOverProcesses(t *testing.T) {
	const routers = 5
	zone, err := testserver.NewZone(t.TempDir(), 3, routers+1, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	zone.Relay.SetFaults(0.1, 30*time.Millisecond)
	c := newCluster(t, zone, routers, `, "shards": {"on": true}, "rows": {"on": true}`)
	a, err := zone.QueryClient(routers)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("full at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	for range 2 {
		for i := range routers {
			c.request(i, 40)
		}
		time.Sleep(5500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second) // summaries fetched from now on contain all records
	n, err := a.TakeReference(30 * time.Second)
	if err != nil {
		t.Fatalf("%v\n%s", err, c.log(0))
	}
	if n < 40 || a.ResponderCount() < 4 {
		t.Fatalf("%d records with %d owners", n, a.ResponderCount())
	}
	asks := 0
	ask := func(what string, n int) (complete int) {
		t.Helper()
		was := a.Complete
		for range n {
			asks++
			if err := a.Query(asks, 1500*time.Millisecond); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
		}
		if a.MissedRecords+a.FalselyComplete > 0 {
			t.Fatalf("%s: %d records missed by %d answers that were marked complete", what, a.MissedRecords, a.FalselyComplete)
		}
		return a.Complete - was
	}
	if got := ask("all there", 12); got < 6 {
		t.Errorf("%d of 12 complete with all there", got)
	}
	_ = c.processes[1].Process.Signal(syscall.SIGSTOP)
	ask("one stopped", 6)
	_ = c.processes[1].Process.Signal(syscall.SIGCONT)
	c.processes[2].Kill()
	ask("one killed, one continues", 4)
	c.start(2)
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(3), true)
	}
	ask("one does not receive", 4)
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(3), false)
	}
	for end := time.Now().Add(30 * time.Second); ask("all back", 1) == 0; {
		if time.Now().After(end) {
			t.Fatal("no complete answer any more")
		}
	}
	if zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%d datagrams too long", zone.Relay.Oversized.Load())
	}
}
