package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Four router processes; a tenth of their datagrams is lost, some are duplicated, all are delayed. While one cache was
// draining, three routers had objects filled into the other caches; then the drained cache restarts without copies. The
// fourth router has never seen the objects, and a slow fill occupies the link to the parent: it queries the others, and
// fills from sibling caches. No draining cache is named as a source, no copy from before a purge is served, and each
// request gets one answer, also while an owner of records is paused.
func TestSiblingLookupOverProcesses(t *testing.T) {
	const routers, objects, slow = 4, 100, 0xfff
	zone, err := testserver.NewZone(t.TempDir(), 4, routers, 0.1, func(c *testserver.Cache) {
		c.Delay = func(g *testserver.CacheRequest) {
			if g.Fields["path"] == objectName(slow) && g.Fields["src"] != "" {
				time.Sleep(2500 * time.Millisecond)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	zone.Relay.SetFaults(0.1, 20*time.Millisecond)
	c := newCluster(t, zone, routers, `, "shards": {"on": true}, "rows": {"on": true}, "asking": {"on": true}`)
	c.settings = testserver.ZoneSettings(routers)
	c.settings = strings.Replace(c.settings, `"pipe_kb_per_s":[0,90000]`, `"pipe_kb_per_s":[0,3000]`, 1)
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("full at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-0", "draining", 0))
	time.Sleep(time.Second)
	for range 3 {
		for i := 1; i < routers; i++ {
			c.request(i, objects)
		}
		time.Sleep(3 * time.Second)
	}
	purged := map[int]time.Time{}
	for k := 0; k < objects; k += 5 {
		purged[k] = time.Now()
		zone.Purge(objectName(k), purged[k])
	}
	zone.Caches["edge-0"].Clear()
	zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-0", "up", time.Now().Add(-2*time.Second).UnixMilli()))
	time.Sleep(1500 * time.Millisecond)
	before := len(zone.Caches["edge-0"].Requests())

	fromSibling, missed, failed := 0, 0, 0
	for half := range 2 {
		if half == 1 {
			zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-1", "draining", 0))
			time.Sleep(time.Second)
			before = len(zone.Caches["edge-0"].Requests())
			_ = c.processes[3].Process.Signal(syscall.SIGSTOP)
			defer func() { _ = c.processes[3].Process.Signal(syscall.SIGCONT) }()
		}
		client, err := c.processes[0].Client(20 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		c.lastTraceID++
		_, hung := client.Send("page", testserver.RequestParams(c.lastTraceID, objectName(slow+half), 3*time.Second), nil)
		time.Sleep(100 * time.Millisecond)
		first := c.lastTraceID
		answers := map[int]<-chan *testserver.Answer{}
		for k := half; k < objects; k += 2 {
			c.lastTraceID++
			_, answers[k] = client.Send("page", testserver.RequestParams(c.lastTraceID, objectName(k), 2*time.Second), nil)
			time.Sleep(20 * time.Millisecond)
		}
		for k, ch := range answers {
			select {
			case a := <-ch:
				if a.Error != "" {
					failed++
				} else if at, ok := purged[k]; ok && testserver.MadeBefore(string(a.Body), at) {
					t.Errorf("object %d: %q after a purge at %v", k, a.Body, at)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("object %d: no answer\n%s", k, c.log(0))
			}
		}
		<-hung
		time.Sleep(50 * time.Millisecond)
		if len(client.Unexpected) > 0 {
			t.Fatalf("second answers: %v", client.Unexpected)
		}
		client.Close()
		for _, g := range zone.Caches["edge-0"].Requests()[before:] {
			src := g.Fields["src"]
			if src == "edge-1" && half == 1 {
				t.Errorf("a draining cache is named as source: %v", g.Fields)
			}
			if half == 0 && g.ID > fmt.Sprintf("%016x", first) {
				if strings.HasPrefix(src, "edge-") {
					fromSibling++
				} else if src == "" {
					missed++
				}
			}
		}
	}
	if missed < 4 || fromSibling < missed/4 {
		t.Errorf("%d requests missed at the empty cache, %d were filled from a sibling, %d of %d failed\n%s", missed,
			fromSibling, failed, objects, c.log(0))
	}
	_ = c.processes[3].Process.Signal(syscall.SIGCONT)
	found := 0
	pause := 50 * time.Millisecond
	for end := time.Now().Add(60 * time.Second); found == 0; time.Sleep(pause) { // one router audits a group's purge
		if time.Now().After(end) {
			t.Fatalf("no router reports the purge audit of the group\n%s", c.log(1))
		}
		zone.Discovery.Announce(fmt.Sprintf(`"recall":{"lot":7,"issued":%d}`, time.Now().UnixMilli()))
		for wait := time.Now().Add(8 * time.Second); found == 0 && time.Now().Before(wait); time.Sleep(pause) {
			for i := range routers {
				for _, m := range purgeAuditLine.FindAllStringSubmatch(c.log(i), -1) {
					found, _ = strconv.Atoi(m[1])
				}
			}
		}
	}
	if found < objects/2 {
		t.Errorf("the audit of a purge of the group that all objects are of found %d", found)
	}
	if zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%d datagrams too long", zone.Relay.Oversized.Load())
	}
}

var purgeAuditLine = regexp.MustCompile(
	`purge audit: copies older than the purge" caches=\d+ complete=true group=7 max_per_cache=\d+ objects=(\d+)`)

func objectName(k int) string { return fmt.Sprintf("%016x", 0x1000+k) }
