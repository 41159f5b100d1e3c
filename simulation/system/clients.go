package system

import (
	"math"

	"threadrun/internal/clock"
	"threadrun/internal/random"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	clientTick      = 20 * ms  // interval of the ticks of the clients' engine
	maxConnections  = 4        // to each router
	maxOpenRequests = 24       // on each connection
	maxRetries      = 2        // of each request
	maxCancelDelay  = 250 * ms // after sending a request, for cancels under faults.ClientsCancel

	// Shares of writes without and with an idempotency key among the requests. The raised ones apply under
	// faults.LargeWrites.
	writeShare            = 0.12
	keyedWriteShare       = 0.08
	raisedWriteShare      = 0.6
	raisedKeyedWriteShare = 0.4

	// objectSkew makes objects of low numbers popular: of the 120 objects of DefaultPlan, the first gets about one
	// request in thirty, well within the capacity of its cache.
	objectSkew = 1.4
)

// clients simulates all clients. They probe each router after its start, send requests, and cancel and retry some.
type clients struct {
	sim            *Simulation
	host           *network.Host
	engine         *transport.Engine
	random         random.Source
	lastRequest    uint64
	connections    [][]*clientConn // by router
	nextConnection []int           // by router; connections are used in turn

	// Active faults and their parameters.
	surging         activeFaults
	surgeFactor     float64 // of the request rate
	hotObjectActive activeFaults
	hotObject       int
	canceling       activeFaults
	cancelShare     float64 // of the requests
	largeWrites     activeFaults
}

// class is a class of requests, as in Simulation.settings.
type class struct {
	name     string
	effect   invariants.Effect
	timeouts [3]Micros // one is drawn for each request
}

// Indices in classes.
const (
	classRead = iota
	classWrite
	classKeyedWrite
)

var classes = [...]class{
	classRead:       {"page", invariants.Idempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	classWrite:      {"order", invariants.NonIdempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	classKeyedWrite: {"mark", invariants.Keyed, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
}

// start starts the clients' host, and the requests to each router.
func (c *clients) start() {
	c.engine = transport.NewWithRuntime(c.host.Start(), c.sim.discardLog)
	c.connections = make([][]*clientConn, len(c.sim.routers))
	c.nextConnection = make([]int, len(c.sim.routers))
	for _, r := range c.sim.routers {
		c.scheduleRequest(r)
	}
	c.host.After(clientTick, c.tick)
}

func (c *clients) tick() {
	c.engine.Do(func() { c.engine.Tick(c.engine.Now()) })
	c.host.After(clientTick, c.tick)
}

// connect opens a connection to a router's current process, and sends probes on it until the router is ready.
func (c *clients) connect(r *router) {
	if len(c.connections[r.index]) >= maxConnections || !r.acceptsClients {
		return
	}
	conn := &clientConn{clients: c, router: r, incarnation: r.incarnation, settled: map[uint64]invariants.RequestID{}}
	c.connections[r.index] = append(c.connections[r.index], conn)
	c.engine.Do(func() { conn.conn = c.engine.Dial(r.address, dialTimeout, conn) })
	conn.probe()
}

// scheduleRequest schedules the next request to a router, which in turn schedules the one after it. The intervals
// are exponentially distributed.
func (c *clients) scheduleRequest(r *router) {
	rate := c.sim.plan.RequestRate
	if c.surging > 0 {
		rate *= c.surgeFactor
	}
	interval := Micros(-math.Log(1-c.random.Float64())/rate*float64(clock.Second)) + 1
	c.host.After(interval, func() {
		if c.sim.world.Now() < c.sim.plan.requestsEnd() {
			c.scheduleRequest(r)
		}
		if len(c.connections[r.index]) < maxConnections {
			c.connect(r)
		}
		object := c.drawObject()
		c.send(r, &clientRequest{object: object, class: c.drawClass()})
	})
}

// drawObject draws the object of a request. Under faults.HotObject, half of the requests are for the hot one.
func (c *clients) drawObject() int {
	if c.hotObjectActive > 0 && c.random.IntN(2) == 0 {
		return c.hotObject
	}
	objects := c.sim.plan.Objects
	return min(int(float64(objects)*math.Pow(c.random.Float64(), objectSkew)), objects-1)
}

// drawClass draws the class of a request.
func (c *clients) drawClass() int {
	writes, keyed := writeShare, keyedWriteShare
	if c.largeWrites > 0 {
		writes, keyed = raisedWriteShare, raisedKeyedWriteShare
	}
	switch x := c.random.Float64(); {
	case x < writes:
		return classWrite
	case x < writes+keyed:
		return classKeyedWrite
	default:
		return classRead
	}
}

// send sends a request to a router over a connection that is ready and has room. If there is no such connection, the
// request is discarded.
func (c *clients) send(r *router, request *clientRequest) {
	all := c.connections[r.index]
	for range all {
		c.nextConnection[r.index]++
		conn := all[c.nextConnection[r.index]%len(all)]
		if conn.ready && !conn.closed && len(conn.open) < maxOpenRequests {
			conn.send(request)
			return
		}
	}
}
