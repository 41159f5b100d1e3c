package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Three router processes share the health checks of the caches and the parent. A fifth of their datagrams is lost. One
// router is killed, and then one is shut down. Each endpoint must still be checked, by one router at a time, and the
// last router must log one death and one departure.
func TestSharedHealthChecksOverProcesses(t *testing.T) {
	const routers, caches, interval, maxGap = 3, 8, 250 * time.Millisecond, 6 * time.Second
	zone, err := testserver.NewZone(t.TempDir(), caches, routers, 0.2, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	operatorMembers := `, "probing": {"on": true, "shares": 32, "every_ms": 250, "spend": {"works_per_s": 200}}`
	var processes []*testserver.Process
	for i := range routers {
		program, environment := []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}
		p, err := zone.StartRouter(i, program, environment, testserver.ZoneSettings(routers),
			zone.OperatorFile(i, operatorMembers))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Kill()
		processes = append(processes, p)
	}
	logs := func() string {
		var all strings.Builder
		for _, p := range processes {
			text, _ := os.ReadFile(p.LogPath)
			all.Write(text)
		}
		return all.String()
	}
	waitUntil := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for: %s\n%s", what, logs())
			}
		}
	}
	endpoints := caches + 1 // the caches and the parent; routers don't check the origin
	// A router has one connection to each endpoint: with as many connections as endpoints, one router checks each.
	checkedByOneRouter := func() bool {
		stats := zone.HealthChecks.Stats(time.Now().Add(-time.Second), time.Now(), interval, maxGap)
		return zone.HealthChecks.DistinctTargets(time.Now().Add(-time.Second)) == endpoints &&
			stats.Connections == endpoints && stats.Duplicates == 0
	}
	waitUntil("each endpoint is checked by one router", checkedByOneRouter)
	killedAt := time.Now()
	processes[0].Kill()
	waitUntil("each endpoint is checked by one router after one was killed", func() bool {
		return time.Since(killedAt) > 3*time.Second && checkedByOneRouter()
	})
	stats := zone.HealthChecks.Stats(killedAt, time.Now(), interval, maxGap)
	if stats.LongGaps > 0 || stats.Tasks == 0 || stats.Duplicates*5 > stats.Tasks ||
		zone.Relay.Lost.Load() == 0 || zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%+v, longest gap %v; %d datagrams lost, %d too long",
			stats, stats.LongestGap, zone.Relay.Lost.Load(), zone.Relay.Oversized.Load())
	}
	if err := processes[1].Terminate(); err != nil {
		t.Errorf("shutdown of a router: %v", err)
	}
	waitUntil("the last router checks all endpoints", func() bool {
		return zone.HealthChecks.DistinctTargets(time.Now().Add(-time.Second)) == endpoints
	})
	log := func() string {
		text, _ := os.ReadFile(processes[2].LogPath)
		return string(text)
	}
	waitUntil("the last router logs the departure", func() bool { return strings.Contains(log(), "state=left") })
	if strings.Count(log(), "state=dead") != 1 {
		t.Errorf("the last router must log the death of one router:\n%s", log())
	}
}
