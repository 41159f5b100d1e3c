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

// recoveredLine matches the log line of a router that has recovered. Its submatches are the number of records that
// were fetched from other routers, and the number that was restored from the snapshot.
var recoveredLine = regexp.MustCompile(`"recovery: state changed" records=(\d+) restored=(\d+) .*state=recovered`)

// restoredLine matches the log line of a router that has read a snapshot. Its submatch is the number of records.
var restoredLine = regexp.MustCompile(`"recovery: the saved state can be used" records=(\d+)`)

// Five router processes serve requests for 40 objects each. A tenth of their datagrams is lost. Three routers are
// killed at the same time and restarted: each must fetch records from the other two. Then all are killed at the same
// time and restarted: each must start without records. Every request must get one answer.
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
		c.waitUntil("recovered at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	// The last round begins 6 s after the first. Routers report an object again after 5 s, then with its request gap.
	for range 3 {
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
		c.waitUntil("recovered after the kill", i, func() bool { return recoveredLine.MatchString(c.log(i)) })
		n, _ := strconv.Atoi(recoveredLine.FindStringSubmatch(c.log(i))[1])
		if n < objects/2 {
			t.Errorf("router %d fetched %d records of %d objects\n%s", i, n, objects, c.log(i))
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
		c.waitUntil("recovered without records", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
		if m := recoveredLine.FindStringSubmatch(c.log(i)); m != nil && m[1] != "0" {
			t.Errorf("router %d fetched %s records, although no router had any\n%s", i, m[1], c.log(i))
		}
	}
	for i := range routers { // not earlier: a router that has served requests has records, which the others may fetch
		c.request(i, objects)
	}
	if zone.Relay.Oversized.Load() > 0 || zone.Relay.Lost.Load() == 0 {
		t.Errorf("%d datagrams too long, %d lost", zone.Relay.Oversized.Load(), zone.Relay.Lost.Load())
	}
}

// Four router processes keep snapshots of their records. All are killed, one snapshot is truncated, and all are
// restarted; one router is killed again during its recovery. The other three snapshots must be restored, the truncated
// one must be logged once and renamed, and every request must get one answer.
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
		c.waitUntil("recovered at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	for range 3 { // as in TestRecoveryOverProcesses, until the records contain request gaps
		for i := range routers {
			c.request(i, objects)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(6 * time.Second) // until a snapshot contains the records that were reported last
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
	// The log is read before the restart, which begins a new one.
	damaged := strings.Count(c.log(0), snapshot.ErrDamaged.Error())
	c.start(0)
	for i := range routers {
		c.waitUntil("recovered after the kill", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
		c.request(i, objects)
	}
	restored := 0
	for i := range routers {
		if m := restoredLine.FindStringSubmatch(c.log(i)); m != nil {
			if n, _ := strconv.Atoi(m[1]); n < objects/2 {
				t.Errorf("router %d restored %d records of %d objects\n%s", i, n, objects, c.log(i))
			}
			restored++
		}
		damaged += strings.Count(c.log(i), snapshot.ErrDamaged.Error())
	}
	renamed, _ := filepath.Glob(filepath.Join(dir, "*.aside"))
	if len(renamed) != 1 || restored < routers-1 || damaged != 1 {
		t.Errorf("renamed snapshots %v, %d routers restored one, a damaged one was logged %d times; want 1, at least %d, 1",
			renamed, restored, damaged, routers-1)
	}
}
