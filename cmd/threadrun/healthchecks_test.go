package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Router processes share the health checks of caches; a fifth of their datagrams is lost. One router is killed: each
// cache is still checked, by one router at a time.
func TestSharedHealthChecksOverProcesses(t *testing.T) {
	const routers, edges, every, most = 3, 8, 250 * time.Millisecond, 6 * time.Second
	zone, err := testserver.NewZone(t.TempDir(), edges, routers, 0.2, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	spec := `, "probing": {"on": true, "shares": 32, "every_ms": 250, "spend": {"works_per_s": 200}}`
	var procs []*testserver.Process
	for i := range routers {
		program, environment := []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}
		p, err := zone.StartRouter(i, program, environment, testserver.ZoneSettings(routers), zone.OperatorFile(i, spec))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Kill()
		procs = append(procs, p)
	}
	logs := func() string {
		var all strings.Builder
		for _, p := range procs {
			text, _ := os.ReadFile(p.LogPath)
			all.Write(text)
		}
		return all.String()
	}
	until := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never: %s\n%s", what, logs())
			}
		}
	}
	endpoints := edges + 1 // and the parent
	shared := func() bool {
		a := zone.Probes.Stats(time.Now().Add(-time.Second), time.Now(), every, most)
		return zone.Probes.DistinctTargets(time.Now().Add(-time.Second)) == endpoints && a.Workers == endpoints &&
			a.Duplicates == 0
	}
	until("each cache checked by one router", shared)
	from := time.Now()
	procs[0].Kill()
	until("each cache checked by one router again", func() bool { return time.Since(from) > 3*time.Second && shared() })
	a := zone.Probes.Stats(from, time.Now(), every, most)
	if a.LongGaps > 0 || a.Tasks == 0 || a.Duplicates*5 > a.Tasks ||
		zone.Relay.Lost.Load() == 0 || zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%+v, the longest gap %v; %d datagrams lost", a, a.LongestGap, zone.Relay.Lost.Load())
	}
	if err := procs[1].Terminate(); err != nil {
		t.Errorf("a shutdown: %v", err)
	}
	until("the last router checks all", func() bool {
		return zone.Probes.DistinctTargets(time.Now().Add(-time.Second)) == endpoints
	})
	log := func() string {
		text, _ := os.ReadFile(procs[2].LogPath)
		return string(text)
	}
	until("the departure is known", func() bool { return strings.Contains(log(), "state=left") })
	if strings.Count(log(), "state=dead") != 1 {
		t.Errorf("the last router's log:\n%s", log())
	}
}
