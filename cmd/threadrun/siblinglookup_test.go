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

// Four router processes share records of cached objects. A tenth of their datagrams is lost, some are duplicated, and
// all are delayed. While one cache drains, three routers have objects filled into the other caches. Then some objects
// are purged, and the drained cache restarts without copies. The fourth router has received no requests for the
// objects, and a slow fill occupies the link to the parent. It must query the other routers and fill a share of the
// objects from sibling caches. No draining cache may be named as a source, no copy from before a purge may be served,
// and each request must get one answer, also while an owner of records is paused. At the end, the audit of a purge of
// the objects' group must find at least half of the objects.
func TestSiblingLookupOverProcesses(t *testing.T) {
	const routers, objects, slowObject = 4, 100, 0xfff
	zone, err := testserver.NewZone(t.TempDir(), 4, routers, 0.1, func(c *testserver.Cache) {
		c.Delay = func(g *testserver.CacheRequest) {
			if g.Fields["path"] == objectName(slowObject) && g.Fields["src"] != "" {
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
		c.waitUntil("recovered at the start", i, func() bool { return strings.Contains(c.log(i), "state=recovered") })
	}
	zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-0", "draining", 0))
	time.Sleep(time.Second)
	for range 3 {
		for i := 1; i < routers; i++ {
			c.request(i, objects)
		}
		time.Sleep(3 * time.Second)
	}
	purgedAt := map[int]time.Time{} // by object
	for k := 0; k < objects; k += 5 {
		purgedAt[k] = time.Now()
		zone.Purge(objectName(k), purgedAt[k])
	}
	zone.Caches["edge-0"].Clear()
	zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-0", "up", time.Now().Add(-2*time.Second).UnixMilli()))
	time.Sleep(1500 * time.Millisecond)
	earlierRequests := len(zone.Caches["edge-0"].Requests()) // to the restarted cache, before those that are checked

	fromSibling, withoutSource, failed := 0, 0, 0
	for half := range 2 { // in the second half of the objects, edge-1 drains and router 3 is paused
		if half == 1 {
			zone.Discovery.AnnounceEndpoints(false, zone.EndpointJSON("edge-1", "draining", 0))
			time.Sleep(time.Second)
			earlierRequests = len(zone.Caches["edge-0"].Requests())
			_ = c.processes[3].Process.Signal(syscall.SIGSTOP)
			defer func() { _ = c.processes[3].Process.Signal(syscall.SIGCONT) }()
		}
		client, err := c.processes[0].Client(20 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		c.lastTraceID++
		_, slowAnswer := client.Send("page",
			testserver.RequestParams(c.lastTraceID, objectName(slowObject+half), 3*time.Second), nil)
		time.Sleep(100 * time.Millisecond)
		slowTraceID := c.lastTraceID
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
				} else if at, purged := purgedAt[k]; purged && testserver.CreatedBefore(string(a.Body), at) {
					t.Errorf("object %d: %q after a purge at %v", k, a.Body, at)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("object %d: no answer\n%s", k, c.log(0))
			}
		}
		<-slowAnswer
		time.Sleep(50 * time.Millisecond)
		if len(client.Unexpected) > 0 {
			t.Fatalf("%d requests got a second answer", len(client.Unexpected))
		}
		client.Close()
		for _, g := range zone.Caches["edge-0"].Requests()[earlierRequests:] {
			source := g.Fields["src"]
			if source == "edge-1" && half == 1 {
				t.Errorf("a draining cache is named as source: %v", g.Fields)
			}
			if half == 0 && g.ID > fmt.Sprintf("%016x", slowTraceID) {
				if strings.HasPrefix(source, "edge-") {
					fromSibling++
				} else if source == "" {
					withoutSource++
				}
			}
		}
	}
	if withoutSource < 4 || fromSibling < withoutSource/4 {
		t.Errorf("%d requests without a source at the empty cache, %d fills from siblings, %d of %d requests failed\n%s",
			withoutSource, fromSibling, failed, objects, c.log(0))
	}
	_ = c.processes[3].Process.Signal(syscall.SIGCONT)
	found := 0
	pollInterval := 50 * time.Millisecond
	for end := time.Now().Add(60 * time.Second); found == 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("no router reports the purge audit of the group\n%s", c.log(1))
		}
		// Only one of the routers audits the purge of a group. An audit may be incomplete, because datagrams are
		// lost: the purge is announced again until a complete audit has found objects.
		zone.Discovery.Announce(fmt.Sprintf(`"recall":{"lot":7,"issued":%d}`, time.Now().UnixMilli()))
		for next := time.Now().Add(8 * time.Second); found == 0 && time.Now().Before(next); time.Sleep(pollInterval) {
			for i := range routers {
				for _, m := range purgeAuditLine.FindAllStringSubmatch(c.log(i), -1) {
					found, _ = strconv.Atoi(m[1])
				}
			}
		}
	}
	if found < objects/2 {
		t.Errorf("the audit of a purge of the objects' group found %d objects, want at least %d", found, objects/2)
	}
	if zone.Relay.Oversized.Load() > 0 {
		t.Errorf("%d datagrams too long", zone.Relay.Oversized.Load())
	}
}

// purgeAuditLine matches the log line of a purge audit of group 7. Its submatch is the number of objects of which a
// cache holds a copy from before the purge.
var purgeAuditLine = regexp.MustCompile(
	`purge audit: copies older than the purge" caches=\d+ complete=true group=7 max_per_cache=\d+ objects=(\d+)`)

// objectName returns the name of object k, which consists of 16 hexadecimal digits.
func objectName(k int) string { return fmt.Sprintf("%016x", 0x1000+k) }
