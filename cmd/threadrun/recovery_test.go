package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"threadrun/internal/snapshot"
	"threadrun/internal/testserver"
)

// recoveredLine has the records that were fetched from other routers and those that were restored from the snapshot.
var recoveredLine = regexp.MustCompile(`"recovery: state changed" records=(\d+) restored=(\d+) .*state=recovered`)

// restoredLine has the records that were read from the snapshot.
var restoredLine = regexp.MustCompile(`"recovery: the saved state can be used" records=(\d+)`)

// Five router processes lose a tenth of their datagrams, and each serves forty pages. Three are killed at once and
// restart: each fetches records from the two others, and serves. Then all are killed at once: each starts without
// records. Every request gets one answer.
func TestRecoveryOverProcesses(t *testing.T) {
	const routers, objects = 5, 40
	zone, err := testserver.NewZone(t.TempDir(), 3, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, routers, `, "shards": {"on": true}, "rows": {"on": true}`)
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("full at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	for range 3 { // objects are reported again every five seconds: request gaps are known by then
		for i := range routers {
			c.request(i, objects)
		}
		time.Sleep(3 * time.Second)
	}
	for i := range 3 {
		c.processes[i].Kill()
	}
	for i := range 3 {
		c.start(i)
	}
	for i := range 3 {
		c.until("full again", i, func() bool { return recoveredLine.MatchString(c.log(i)) })
		n, _ := strconv.Atoi(recoveredLine.FindStringSubmatch(c.log(i))[1])
		if n < objects/2 {
			t.Errorf("router %d recovered %d records of %d objects\n%s", i, n, objects, c.log(i))
		}
		c.request(i, objects)
	}
	for i := range routers {
		c.processes[i].Kill()
	}
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("full with nothing left", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
		if m := recoveredLine.FindStringSubmatch(c.log(i)); m != nil && m[1] != "0" {
			t.Errorf("router %d recovered %s records that no router had\n%s", i, m[1], c.log(i))
		}
	}
	for i := range routers { // only now: a router that has served has records, which the others may fetch
		c.request(i, objects)
	}
	if zone.Relay.Oversized.Load() > 0 || zone.Relay.Lost.Load() == 0 {
		t.Errorf("%d datagrams too long, %d lost", zone.Relay.Oversized.Load(), zone.Relay.Lost.Load())
	}
}

// Four router processes keep snapshots of their records. All are killed, and one snapshot is truncated: the other three
// are restored after the restart, the damaged one is logged once and renamed, and every request gets one answer. One
// router is killed again during the recovery.
func TestSnapshotsOverProcesses(t *testing.T) {
	const routers, objects = 4, 40
	zone, err := testserver.NewZone(t.TempDir(), 3, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	dir := t.TempDir()
	c := newCluster(t, zone, routers, `, "shards": {"on": true}, "rows": {"on": true, "dir": "`+dir+`"}`)
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("full at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	for range 3 { // request gaps are known by then
		for i := range routers {
			c.request(i, objects)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(6 * time.Second) // for a snapshot of what was reported last
	for i := range routers {
		c.processes[i].Kill()
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.db"))
	if len(files) != routers {
		t.Fatalf("snapshots: %v", files)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files[0], text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range routers {
		c.start(i)
	}
	time.Sleep(500 * time.Millisecond)
	c.processes[0].Kill() // during the recovery
	torn := strings.Count(c.log(0), snapshot.ErrDamaged.Error())
	c.start(0)
	for i := range routers {
		c.until("full again", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
		c.request(i, objects)
	}
	restored := 0
	for i := range routers {
		if m := restoredLine.FindStringSubmatch(c.log(i)); m != nil {
			if n, _ := strconv.Atoi(m[1]); n < objects/2 {
				t.Errorf("router %d read %d records of %d objects\n%s", i, n, objects, c.log(i))
			}
			restored++
		}
		torn += strings.Count(c.log(i), snapshot.ErrDamaged.Error())
	}
	aside, _ := filepath.Glob(filepath.Join(dir, "*.aside"))
	if len(aside) != 1 || restored < routers-1 || torn != 1 {
		t.Errorf("aside %v, %d restored records, a torn snapshot logged %d times", aside, restored, torn)
	}
}
