package deployment

import (
	"time"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// ResourceLimits holds the limits that the platform sets on the process.
type ResourceLimits struct {
	Cores       float64 // CPU cores
	MemoryMB    int     // memory in MiB
	Descriptors int     // open file descriptors
}

const (
	defaultCores       = 1
	minCores           = 0.01
	defaultMemoryMB    = 192
	minMemoryMB        = 16
	defaultDescriptors = 1024
	minDescriptors     = 64
)

// Limits reads the resource limits from the optional object 'limits'.
func (f *File) Limits() (ResourceLimits, error) {
	r := &reader{}
	limits := ResourceLimits{
		Cores:       r.number(f.root, "limits.cores", defaultCores, minCores),
		MemoryMB:    int(r.number(f.root, "limits.memory_mb", defaultMemoryMB, minMemoryMB)),
		Descriptors: int(r.number(f.root, "limits.sockets", defaultDescriptors, minDescriptors)),
	}
	return limits, f.Wrap(r.err)
}

// ConnectionLimits limits connections, and memory used for clients.
type ConnectionLimits struct {
	Clients     int // number of client connections
	Endpoints   int // number of connections to caches, parents and the origin
	PerEndpoint int // number of connections to one endpoint
	UnreadBytes int // bytes of answers that one client may leave unread
	// ClientBytes limits the bytes stored for all clients. It applies separately to unfinished requests, to request
	// bodies and to unread answers.
	ClientBytes int
	ClientIdle  time.Duration // time after which an idle client connection is closed
}

const (
	bytesPerMB = 1 << 20
	// clientMemoryDivisor divides the memory limit to give ClientBytes.
	clientMemoryDivisor = 10
	// By default, clients and endpoints may each use two fifths of the descriptors. The rest is for peers, files and
	// spare connections.
	descriptorNumerator   = 2
	descriptorDenominator = 5

	defaultPerEndpoint  = 48
	minUnreadBytes      = 1 << 18
	defaultClientIdleMS = 30_000
	minClientIdleMS     = 1000
)

// ConnectionLimits reads the optional object 'pools'. Its defaults depend on the resource limits.
func (f *File) ConnectionLimits() (ConnectionLimits, error) {
	resources, err := f.Limits()
	if err != nil {
		return ConnectionLimits{}, err
	}
	clientBytes := resources.MemoryMB * bytesPerMB / clientMemoryDivisor
	connections := float64(resources.Descriptors * descriptorNumerator / descriptorDenominator)
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

// WatchTimeouts configures the watch of the endpoint list: how long the discovery server may hold a poll, and how
// much longer than that the poll may take.
type WatchTimeouts struct{ Wait, Slack time.Duration }

const (
	defaultWatchWaitMS  = 1500
	defaultWatchSlackMS = 500
	minWatchTimeoutMS   = 50
)

// WatchTimeouts reads the optional object 'polls'.
func (f *File) WatchTimeouts() (WatchTimeouts, error) {
	r := &reader{}
	timeouts := WatchTimeouts{
		Wait:  r.duration(f.root, "polls.wait_ms", defaultWatchWaitMS, minWatchTimeoutMS),
		Slack: r.duration(f.root, "polls.slack_ms", defaultWatchSlackMS, minWatchTimeoutMS),
	}
	return timeouts, f.Wrap(r.err)
}

// CacheConnections configures connections to caches.
type CacheConnections struct {
	ConnectTimeout routing.Micros
	IdleTimeout    routing.Micros // time after which a cache closes an idle connection
	Streams        int            // number of concurrent attempts per connection
}

// ReadCacheConnections reads the configuration of connections to caches from the settings. The timeouts are
// mandatory.
func ReadCacheConnections(settings *fastjson.Value) (CacheConnections, error) {
	const minTimeoutMS = 1
	r := &reader{}
	connections := CacheConnections{
		ConnectTimeout: r.millis(settings, "limits.connect_timeout", minTimeoutMS),
		IdleTimeout:    r.millis(settings, "limits.conn_idle", minTimeoutMS),
		Streams:        int(r.number(settings, "limits.streams_per_conn", 1, 1)),
	}
	return connections, r.err
}
