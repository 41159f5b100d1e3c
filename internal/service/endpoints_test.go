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

// No requests may go to a draining or removed cache, and a cache that replaces another at its address must get new
// connections.
func TestDrainingAndReplacedEndpoints(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	for i := 0; i < 20; i++ {
		b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if len(b.caches["edge-1"].Requests()) == 0 || len(b.caches["edge-2"].Requests()) == 0 {
		t.Fatal("the objects are not distributed over the caches")
	}
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-1", "draining"))
	b.until("the list of caches", func() bool { return strings.Contains(b.logText(), "full=false") })
	before := len(b.caches["edge-1"].Requests())
	for i := 0; i < 20; i++ {
		b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if after := len(b.caches["edge-1"].Requests()); after != before {
		t.Errorf("%d requests to a draining cache", after-before)
	}
	// Another cache starts at the address of the removed one.
	b.caches["edge-3"] = b.caches["edge-1"]
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-1", "removed"), b.listLine("edge-3", "up"))
	b.until("a request to the new cache", func() bool {
		for i := 0; i < 20; i++ {
			b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
		}
		return len(b.caches["edge-3"].Requests()) > before
	})
	conns := map[net.Conn]int{}
	for i, g := range b.caches["edge-3"].Requests() {
		if first, ok := conns[g.Conn]; ok && first < before && i >= before {
			t.Fatal("a request to the new cache used a connection of the old one")
		} else if !ok {
			conns[g.Conn] = i
		}
	}
}

// Caches that are replaced repeatedly must not need more ids and pools than there are caches at a time. Without
// isReferenced, an id would be reused while an open request had an attempt at its old endpoint.
func TestReplacedCaches(t *testing.T) {
	hold := make(chan struct{})
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		if g.Fields["path"] != object {
			<-hold
		}
		return &testserver.Reply{Status: "data", Body: []byte("here")}
	})
	defer b.close()
	ids := func() (n, pools int) {
		b.server.engine.Do(func() { n, pools = len(b.server.proxy.endpoints), b.server.proxy.pool.Endpoints() })
		return n, pools
	}
	id := func(name string) (id routing.EndpointID) {
		b.until("heard of "+name, func() (ok bool) {
			b.server.engine.Do(func() { id, ok = b.server.proxy.endpointIDs[name] })
			return ok
		})
		return id
	}
	held := b.ask("page", "00000000000000bb", 5*time.Second, nil)
	b.until("the first request at a cache", func() bool { return len(b.edgeRequests()) == 1 })
	at := "edge-1"
	if len(b.caches[at].Requests()) == 0 {
		at = "edge-2"
	}
	was := id(at)
	last := at
	for i := range 30 {
		name := fmt.Sprint("later-", i)
		address := b.caches[at].Address() // the address of a removed cache
		b.discovery.AnnounceEndpoints(false, testserver.EndpointJSON(last, address, "branch", "cache", "removed", 0),
			testserver.EndpointJSON(name, address, "branch", "cache", "up", 0))
		if id(name) == was {
			t.Fatalf("%s has the id of %s, at which an open request had an attempt", name, at)
		}
		if a := b.wait(b.ask("page", object, time.Second, nil)); string(a.Body) != "here" {
			t.Fatalf("after %s: %+v", name, a)
		}
		last = name
	}
	if n, pools := ids(); n > 6 || pools > 6 {
		t.Errorf("%d ids and %d pools for 4 caches, one replaced 30 times", n, pools)
	}
	close(hold)
	if a := b.wait(held); string(a.Body) != "here" {
		t.Errorf("the first request: %+v", a)
	}
	address := b.caches[at].Address()
	b.discovery.AnnounceEndpoints(false, testserver.EndpointJSON("last", address, "branch", "cache", "up", 0))
	if got := id("last"); got != was {
		t.Errorf("the last cache has id %d, want the released id %d", got, was)
	}
}
