package main

import (
	"fmt"
	"time"

	"threadrun/internal/testserver"
)

// Addresses in example/config.json.
const (
	routerAddress    = "127.0.0.1:9090"
	discoveryAddress = "127.0.0.1:7070"
)

// freshnessLifetime is the freshness lifetime of the class in example/config.json.
const freshnessLifetime = time.Minute

const (
	className  = "page"
	originName = "origin"
)

// endpoint is an entry of the endpoint list.
type endpoint struct{ name, address, zone, kind string }

var endpoints = []endpoint{
	{name: "cache-1", address: "127.0.0.1:9201", zone: "branch", kind: "cache"},
	{name: "cache-2", address: "127.0.0.1:9202", zone: "branch", kind: "cache"},
	{name: "parent", address: "127.0.0.1:9300", zone: "hub", kind: "parent"},
	{name: originName, address: "127.0.0.1:9400", zone: "hub", kind: "origin"},
}

// deployment contains the servers that the router communicates with, and a log of the caches' replies.
type deployment struct {
	discovery *testserver.Discovery
	caches    map[string]*testserver.Cache
	replies   *replyLog
}

// startDeployment starts the servers and announces the endpoint list.
func startDeployment() (*deployment, error) {
	discovery, err := testserver.StartDiscovery(discoveryAddress)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		discovery: discovery,
		caches:    map[string]*testserver.Cache{},
		replies:   &replyLog{byRequest: map[string]reply{}},
	}
	var list []string
	for _, e := range endpoints {
		d.caches[e.name], err = testserver.StartCache(e.name, e.address, d.configure)
		if err != nil {
			return nil, err
		}
		list = append(list, testserver.EndpointJSON(e.name, e.address, e.zone, e.kind, "up", 0))
	}
	discovery.AnnounceEndpoints(true, list...)
	return d, nil
}

// configure sets the fields of a cache before it accepts connections.
func (d *deployment) configure(c *testserver.Cache) {
	c.IsOrigin = c.Name == originName
	c.FindSource = func(name string) *testserver.Cache { return d.caches[name] }
	c.FreshnessLifetime = map[string]time.Duration{className: freshnessLifetime}
	c.ObserveReply = func(request *testserver.CacheRequest, status string, age time.Duration) {
		d.replies.record(request.ID, reply{
			cache:  c.Name,
			source: request.Fields["src"],
			status: status,
			age:    age,
		})
	}
}

// printRequests prints the requests that the servers have received from the router, with their fields in the cache
// protocol.
func (d *deployment) printRequests() {
	for _, e := range endpoints {
		for _, request := range d.caches[e.name].Requests() {
			fmt.Println(e.name, "received:", request.Fields)
		}
	}
}
