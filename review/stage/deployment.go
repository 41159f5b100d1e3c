package stage

import (
	"fmt"

	"threadrun/internal/testserver"
)

// Deployment is a small deployment without its routers: discovery, caches in one branch, two parents and the origin.
type Deployment struct {
	Discovery *testserver.Discovery
	Caches    []*Cache
	Parents   []*Cache
}

// AnyPort is a loopback address for which the system selects a free port.
const AnyPort = "127.0.0.1:0"

// StartDeployment starts a deployment. handle answers the requests of all caches of the branch. The parents and the
// origin answer nothing: the caches of a case don't fill from them over sockets.
func (s *Stage) StartDeployment(caches int, handle func(*Request)) (*Deployment, error) {
	discovery, err := testserver.StartDiscovery(AnyPort)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Discovery: discovery}
	var entries []string
	start := func(name, zone, kind string, handle func(*Request)) (*Cache, error) {
		c, err := StartCache(name, handle)
		if err == nil {
			entries = append(entries, Entry(c, zone, kind, "up"))
		}
		return c, err
	}
	for i := range caches {
		c, err := start(fmt.Sprintf("s-%d", i+1), "branch", "cache", handle)
		if err != nil {
			return nil, err
		}
		d.Caches = append(d.Caches, c)
	}
	for i := range 2 {
		c, err := start(fmt.Sprintf("u-%d", i+1), "hub", "parent", func(*Request) {})
		if err != nil {
			return nil, err
		}
		d.Parents = append(d.Parents, c)
	}
	if _, err := start("origin", "hub", "origin", func(*Request) {}); err != nil {
		return nil, err
	}
	discovery.AnnounceEndpoints(true, entries...)
	return d, nil
}
