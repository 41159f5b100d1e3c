package service

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
	"threadrun/routing"
)

// A draining or removed cache must get no requests. A cache that replaces another at the same address must get new
// connections, because the old ones may lead to its predecessor.
func TestDrainingAndReplacedEndpoints(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	for i := 0; i < 20; i++ {
		b.wait(b.send("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if len(b.caches["edge-1"].Requests()) == 0 || len(b.caches["edge-2"].Requests()) == 0 {
		t.Fatalf("%d requests at edge-1 and %d at edge-2, want some at both", len(b.caches["edge-1"].Requests()),
			len(b.caches["edge-2"].Requests()))
	}
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-1", "draining"))
	b.until("the endpoint list is updated", func() bool { return strings.Contains(b.logText(), "full=false") })
	before := len(b.caches["edge-1"].Requests())
	for i := 0; i < 20; i++ {
		b.wait(b.send("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if after := len(b.caches["edge-1"].Requests()); after != before {
		t.Errorf("%d requests to a draining cache, want none", after-before)
	}
	// edge-1 is removed, and edge-3 starts at its address.
	b.caches["edge-3"] = b.caches["edge-1"]
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-1", "removed"), b.listLine("edge-3", "up"))
	b.until("a request to the new cache", func() bool {
		for i := 0; i < 20; i++ {
			b.wait(b.send("page", fmt.Sprintf("%016x", i), time.Second, nil))
		}
		return len(b.caches["edge-3"].Requests()) > before
	})
	firstOn := map[net.Conn]int{} // index of the first request on each connection
	for i, g := range b.caches["edge-3"].Requests() {
		if first, ok := firstOn[g.Conn]; ok && first < before && i >= before {
			t.Fatal("a request to the new cache used a connection of the old one")
		} else if !ok {
			firstOn[g.Conn] = i
		}
	}
}

// A cache is replaced 30 times. Its ids and connection pools must be reused, so that their number does not grow,
// but not the id of an endpoint at which an open request has an attempt. See isReferenced.
func TestReplacedCaches(t *testing.T) {
	release := make(chan struct{})
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		if g.Fields["path"] != object {
			<-release
		}
		return &testserver.Reply{Status: "data", Body: []byte("here")}
	})
	defer b.close()
	ids := func() (n, pools int) {
		b.server.engine.Do(func() { n, pools = len(b.server.proxy.endpoints), b.server.proxy.pool.EndpointCount() })
		return n, pools
	}
	id := func(name string) (id routing.EndpointID) {
		b.until("an id for "+name, func() (known bool) {
			b.server.engine.Do(func() { id, known = b.server.proxy.endpointIDs[name] })
			return known
		})
		return id
	}
	first := b.send("page", "00000000000000bb", 5*time.Second, nil)
	b.until("the first request is at a cache", func() bool { return len(b.edgeRequests()) == 1 })
	busy := "edge-1" // has the first request
	if len(b.caches[busy].Requests()) == 0 {
		busy = "edge-2"
	}
	busyID := id(busy)
	last := busy // the cache that is replaced next
	for i := range 30 {
		name := fmt.Sprint("later-", i)
		address := b.caches[busy].Address() // the address of a removed cache
		b.discovery.AnnounceEndpoints(false, testserver.EndpointJSON(last, address, "branch", "cache", "removed", 0),
			testserver.EndpointJSON(name, address, "branch", "cache", "up", 0))
		if id(name) == busyID {
			t.Fatalf("%s has the id of %s, at which an open request has an attempt", name, busy)
		}
		if a := b.wait(b.send("page", object, time.Second, nil)); string(a.Body) != "here" {
			t.Fatalf("request after %s replaced %s: %s; want body \"here\"", name, last, describe(a))
		}
		last = name
	}
	if n, pools := ids(); n > 6 || pools > 6 {
		t.Errorf("%d ids and %d pools for 4 endpoints, one replaced 30 times; want at most 6 of each", n, pools)
	}
	close(release)
	if a := b.wait(first); string(a.Body) != "here" {
		t.Errorf("the first request: %s; want body \"here\"", describe(a))
	}
	address := b.caches[busy].Address()
	b.discovery.AnnounceEndpoints(false, testserver.EndpointJSON("last", address, "branch", "cache", "up", 0))
	if got := id("last"); got != busyID {
		t.Errorf("the last cache has id %d, want the released id %d", got, busyID)
	}
}

// Guards against two entries of the list that lead to one process: if a cache has started at the address of one that
// has gone and is still listed, that one must not be used, or the new cache would get twice what its slow start
// permits.
func TestEarlierEndpointAtAnAddressIsNotUsed(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	p := b.server.proxy
	address := b.caches["edge-1"].Address()
	started := time.Now().UnixMilli()
	old := testserver.EndpointJSON("edge-1", address, "branch", "cache", "up", 0)
	successor := testserver.EndpointJSON("edge-3", address, "branch", "cache", "up", started)
	elsewhere := testserver.EndpointJSON("edge-1", "127.0.0.1:1", "branch", "cache", "up", 0)
	later := testserver.EndpointJSON("edge-1", address, "branch", "cache", "up", started+1)
	others := []string{b.listLine("edge-2", "up"), b.listLine("parent", "up"), b.listLine("origin", "up")}
	used := func(name string) (used bool) {
		b.server.engine.Do(func() {
			id, known := p.endpointIDs[name]
			p.EachEndpoint(func(other routing.EndpointID, _ uint64, _ routing.Tier) { used = used || known && other == id })
		})
		return used
	}
	updates := strings.Count(b.logText(), "endpoint list updated")
	for _, step := range []struct {
		name       string
		complete   bool
		entries    []string
		old, newer bool // which of the two must be used
	}{
		{"the successor is listed", false, []string{successor}, false, true},
		{"the old one is listed again", false, []string{old}, false, true},
		{"a complete list has both", true, append([]string{successor, old}, others...), false, true},
		{"the old one has another address", false, []string{elsewhere}, true, true},
		{"and its former address again", false, []string{old}, false, true},
		{"it has started at that address later", false, []string{later}, true, false},
		{"the successor is removed", false, []string{strings.Replace(successor, `"up"`, `"removed"`, 1)}, true, false},
	} {
		b.discovery.AnnounceEndpoints(step.complete, step.entries...)
		updates++
		b.until("the endpoint list is updated", func() bool {
			return strings.Count(b.logText(), "endpoint list updated") == updates
		})
		if used("edge-1") != step.old || used("edge-3") != step.newer {
			t.Errorf("%s: the old one is used: %v, the successor: %v; want %v and %v", step.name, used("edge-1"),
				used("edge-3"), step.old, step.newer)
		}
	}
}
