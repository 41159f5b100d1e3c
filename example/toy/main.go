// Command toy is a deployment for trying out the router: a discovery server, two caches, a parent and an origin on
// the loopback interface, at the addresses in example/config.json, and a client that requests an object, purges it
// and requests it again.
package main

import (
	"fmt"
	"log"
	"time"

	"threadrun/internal/testserver"
)

const (
	router = "127.0.0.1:9090"
	object = "7f3a9c21e0b4d655"
)

func main() {
	discovery, err := testserver.StartDiscovery("127.0.0.1:7070")
	if err != nil {
		log.Fatal(err)
	}
	caches := map[string]*testserver.Cache{}
	var lines []string
	for _, c := range []struct{ name, address, zone, kind string }{
		{"cache-1", "127.0.0.1:9201", "branch", "cache"}, {"cache-2", "127.0.0.1:9202", "branch", "cache"},
		{"parent", "127.0.0.1:9300", "hub", "parent"}, {"origin", "127.0.0.1:9400", "hub", "origin"},
	} {
		open, err := testserver.StartCache(c.name, c.address, func(cache *testserver.Cache) {
			cache.IsOrigin = c.name == "origin"
			cache.Peer = func(name string) *testserver.Cache { return caches[name] }
		})
		if err != nil {
			log.Fatal(err)
		}
		caches[c.name] = open
		lines = append(lines, testserver.EndpointJSON(c.name, c.address, c.zone, c.kind, "up", 0))
	}
	discovery.AnnounceEndpoints(true, lines...)
	fmt.Println("the deployment is up; waiting for the router at", router)

	var client *testserver.Client
	for ; client == nil; time.Sleep(200 * time.Millisecond) {
		client, _ = testserver.Connect(router)
	}
	trace := uint64(time.Now().UnixNano())
	ask := func(what string) {
		trace++
		_, answer := client.Send("page", testserver.RequestParams(trace, object, 2*time.Second), nil)
		select {
		case a := <-answer:
			fmt.Printf("%-18s error %q, body %q, tag %s\n", what, a.Error, a.Body, a.Fields["ver"])
		case <-client.Closed():
			log.Fatal("the router closed the connection")
		}
	}
	ask("first, filled:")
	time.Sleep(50 * time.Millisecond)
	ask("again, a hit:")
	discovery.AnnouncePurge(object, time.Now())
	fmt.Println("purged")
	time.Sleep(100 * time.Millisecond)
	ask("after the purge:")
	for _, name := range []string{"cache-1", "cache-2"} {
		for _, g := range caches[name].Requests() {
			fmt.Println(name, "was asked:", g.Fields)
		}
	}
	fmt.Println("the deployment stays up; end it with an interrupt")
	select {}
}
