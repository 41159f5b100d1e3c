package attempts

import "time"

// endpoint holds the connections to one cache, parent or origin.
type endpoint struct {
	pool         *Pool
	address      string
	connections  []*connection
	lastReceived time.Time // time of the last byte received; a first dial and a failed liveness check set it too
	pingSent     time.Time // time when the unanswered liveness PING was sent; zero: none
}

// chooseConnection returns the connection for a request or, with a zero id, for a health check: an established
// connection without attempts; otherwise a new connection if the limits allow it; otherwise the least loaded one.
// It returns nil if no connection is available.
func (e *endpoint) chooseConnection(id ID) *connection {
	p := e.pool
	best := e.leastLoaded(id)
	if best != nil && best.conn.Connected() && len(best.attempts) == 0 {
		return best
	}
	if len(e.connections) >= p.config.MaxPerEndpoint {
		return best
	}
	if p.connectionCount >= p.config.MaxConnections {
		p.closeLongestIdle()
	}
	if p.connectionCount >= p.config.MaxConnections {
		return best
	}
	return e.dial()
}

// leastLoaded returns the least loaded connection that can accept a request with this id, or nil.
func (e *endpoint) leastLoaded(id ID) *connection {
	var best *connection
	for _, c := range e.connections {
		if c.retired || len(c.attempts) >= e.pool.config.MaxAttemptsPerConnection || c.responsePending(id) {
			continue
		}
		if best == nil || c.load() < best.load() {
			best = c
		}
	}
	return best
}

// dial adds a new connection. If it is the endpoint's only one, the time without received bytes is measured from
// now.
func (e *endpoint) dial() *connection {
	p := e.pool
	if len(e.connections) == 0 {
		e.lastReceived = p.engine.Now()
		e.pingSent = time.Time{}
	}
	c := &connection{pool: p, endpoint: e}
	c.conn = p.engine.Dial(e.address, p.config.ConnectTimeout, c)
	e.connections = append(e.connections, c)
	p.connectionCount++
	return c
}

// retireConnections makes all connections accept no new attempts. Queued attempts end at once as not sent; each
// connection is closed when the attempts already written have ended.
func (e *endpoint) retireConnections() {
	for i := len(e.connections) - 1; i >= 0; i-- {
		c := e.connections[i]
		c.retired = true
		c.endQueued()
		c.closeIfDrained()
	}
}

func (e *endpoint) removeConnection(c *connection) {
	for i, other := range e.connections {
		if other == c {
			e.connections = append(e.connections[:i], e.connections[i+1:]...)
			e.pool.connectionCount--
			return
		}
	}
}
