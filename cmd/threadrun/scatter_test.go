package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Five router processes hold records of 40 objects, and a sixth member queries them. A tenth of all datagrams is lost,
// some are duplicated, and all are delayed. One router is paused and resumed, one is killed and restarts without
// records, and one can send but not receive. No answer that is marked complete may lack a record whose owner is still
// the same, and answers must be complete while all routers are present.
func TestScatterOverProcesses(t *testing.T) {
	const routers = 5
	zone, err := testserver.NewZone(t.TempDir(), 3, routers+1, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	zone.Relay.SetFaults(0.1, 30*time.Millisecond)
	c := newCluster(t, zone, routers, `, "shards": {"on": true}, "rows": {"on": true}`)
	client, err := zone.QueryClient(routers)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.waitUntil("recovered at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	for range 2 {
		for i := range routers {
			c.request(i, 40)
		}
		time.Sleep(5500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second) // summaries, which are updated every 10 s, contain all records from now on
	records, err := client.TakeReference(30 * time.Second)
	if err != nil {
		t.Fatalf("%v\n%s", err, c.log(0))
	}
	if records < 40 || client.OwnerCount() < 4 {
		t.Fatalf("%d records with %d owners, want at least 40 with 4", records, client.OwnerCount())
	}
	queries := 0
	query := func(situation string, n int) (complete int) {
		t.Helper()
		before := client.Complete
		for range n {
			queries++
			if err := client.Query(queries, 1500*time.Millisecond); err != nil {
				t.Fatalf("%s: %v", situation, err)
			}
		}
		if client.MissedRecords+client.FalselyComplete > 0 {
			t.Fatalf("%s: %d records are missing from %d answers that were marked complete", situation,
				client.MissedRecords, client.FalselyComplete)
		}
		return client.Complete - before
	}
	if complete := query("all present", 12); complete < 6 {
		t.Errorf("%d of 12 answers are complete while all routers are present, want at least 6", complete)
	}
	_ = c.processes[1].Process.Signal(syscall.SIGSTOP)
	query("one paused", 6)
	_ = c.processes[1].Process.Signal(syscall.SIGCONT)
	c.processes[2].Kill()
	query("one killed, one resumed", 4)
	c.start(2)
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(3), true)
	}
	query("one does not receive", 4)
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(3), false)
	}
	for end := time.Now().Add(30 * time.Second); query("all present again", 1) == 0; {
		if time.Now().After(end) {
			t.Fatal("no answer is complete after all routers are present again")
		}
	}
	if zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%d datagrams too long", zone.Relay.Oversized.Load())
	}
}
