package bed

import (
	"fmt"

	"threadrun/internal/testserver"
)

// Zone and kinds of the servers, as in the cases' settings.
const (
	cacheZone  = "edge-1"
	sourceZone = "main-trunk"
)

// Servers are the servers of a small deployment: discovery, the caches of one zone, and the addresses of a parent and
// the origin, at which nothing listens: only caches connect to them.
type Servers struct {
	Discovery *testserver.Discovery
	Caches    []*testserver.Cache
}

// StartServers starts discovery and caches with the given names, whose replies come from answer, and announces them
// with a parent and the origin.
func StartServers(names []string, answer func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply) (
	*Servers, error) {
	discovery, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Servers{Discovery: discovery}
	var list []string
	for _, name := range names {
		cache, err := testserver.StartCache(name, "127.0.0.1:0", func(c *testserver.Cache) {
			c.Answer = func(g *testserver.CacheRequest) *testserver.Reply { return answer(c, g) }
		})
		if err != nil {
			return nil, err
		}
		s.Caches = append(s.Caches, cache)
		list = append(list, s.Entry(cache, "up"))
	}
	for _, name := range []string{"parent", "origin"} {
		address, err := testserver.FreeTCP()
		if err != nil {
			return nil, err
		}
		list = append(list, testserver.EndpointJSON(name, address, sourceZone, name, "up", 0))
	}
	discovery.AnnounceEndpoints(true, list...)
	return s, nil
}

// Entry returns a cache's entry in the endpoint list.
func (s *Servers) Entry(cache *testserver.Cache, state string) string {
	return testserver.EndpointJSON(cache.Name, cache.Address(), cacheZone, "standard", state, 0)
}

// StartRouterFor starts a router that knows the servers, at a free address, with config.json in the case's folder.
func (b *Bed) StartRouterFor(s *Servers, name string) (*Router, error) {
	listen, err := testserver.FreeTCP()
	if err != nil {
		return nil, err
	}
	configuration, err := b.Configuration("config.json", listen, s.Discovery.Address(), s.Discovery.InitialEvents())
	if err != nil {
		return nil, err
	}
	r, err := b.StartRouter(name, listen, configuration)
	if err != nil {
		return nil, fmt.Errorf("starting router %s: %w", name, err)
	}
	return r, nil
}
