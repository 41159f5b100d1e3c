package deployment

import (
	"time"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// ResourceLimits is what the platform lets the process use.
type ResourceLimits struct {
	Cores       float64
	MemoryMB    int
	Descriptors int
}

// Limits reads the resource limits.
func (f *File) Limits() (ResourceLimits, error) {
	r := &reader{}
	limits := ResourceLimits{
		Cores:       r.number(f.root, "limits.cores", 1, 0.01),
		MemoryMB:    int(r.number(f.root, "limits.memory_mb", 192, 16)),
		Descriptors: int(r.number(f.root, "limits.sockets", 1024, 64)),
	}
	return limits, f.Wrap(r.err)
}

// ConnectionLimits bounds connections and what is held for clients.
type ConnectionLimits struct {
	Clients     int           // connections of clients
	Endpoints   int           // connections to caches, parents and the origin in all
	PerEndpoint int           // connections to one of them
	UnreadBytes int           // that one client may leave unread
	ClientBytes int           // held for all clients, of each kind: unfinished requests, bodies, unread answers
	ClientIdle  time.Duration // after which an idle client's connection is closed
}

const (
	memoryShareDivisor    = 10 // ClientBytes is this part of the memory
	defaultPerEndpoint    = 48
	minUnreadBytes        = 1 << 18
	defaultClientIdleMS   = 30_000
	minClientIdleMS       = 1000
	defaultWatchHoldMS    = 1500
	defaultWatchSlackMS   = 500
	minWatchTimeoutMS     = 50
	bytesPerMB            = 1 << 20
	clientDescriptorParts = 2 // of descriptorParts: the clients' share of all descriptors, and the endpoints'
	descriptorParts       = 5
)

// ConnectionLimits reads the optional object 'pools', whose defaults come from the resource limits.
func (f *File) ConnectionLimits() (ConnectionLimits, error) {
	resources, err := f.Limits()
	if err != nil {
		return ConnectionLimits{}, err
	}
	clientBytes := resources.MemoryMB * bytesPerMB / memoryShareDivisor
	connections := float64(resources.Descriptors * clientDescriptorParts / descriptorParts)
	r := &reader{}
	limits := ConnectionLimits{
		Clients:     int(r.number(f.root, "pools.clients", connections, 1)),
		Endpoints:   int(r.number(f.root, "pools.caches", connections, 1)),
		PerEndpoint: int(r.number(f.root, "pools.each_cache", defaultPerEndpoint, 1)),
		UnreadBytes: int(r.number(f.root, "pools.unread_bytes", float64(clientBytes/2), minUnreadBytes)),
		ClientBytes: clientBytes,
		ClientIdle:  r.duration(f.root, "pools.client_idle_ms", defaultClientIdleMS, minClientIdleMS),
	}
	return limits, f.Wrap(r.err)
}

// WatchTimeouts are the endpoint watch's: how long one request may be held, and how much longer it may take.
type WatchTimeouts struct{ Hold, Slack time.Duration }

// WatchTimeouts reads the optional object 'polls'.
func (f *File) WatchTimeouts() (WatchTimeouts, error) {
	r := &reader{}
	timeouts := WatchTimeouts{
		Hold:  r.duration(f.root, "polls.wait_ms", defaultWatchHoldMS, minWatchTimeoutMS),
		Slack: r.duration(f.root, "polls.slack_ms", defaultWatchSlackMS, minWatchTimeoutMS),
	}
	return timeouts, f.Wrap(r.err)
}

// CacheConnections is what the settings say of connections to caches.
type CacheConnections struct {
	ConnectTimeout routing.Micros
	IdleTimeout    routing.Micros // after which the cache closes an idle one
	Streams        int            // attempts that one connection carries at a time
}

// ReadCacheConnections reads them from the settings.
func ReadCacheConnections(settings *fastjson.Value) (CacheConnections, error) {
	r := &reader{}
	connections := CacheConnections{
		ConnectTimeout: r.millis(settings, "limits.connect_timeout", 1),
		IdleTimeout:    r.millis(settings, "limits.conn_idle", 1),
		Streams:        int(r.number(settings, "limits.streams_per_conn", 1, 1)),
	}
	return connections, r.err
}
