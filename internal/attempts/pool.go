package attempts

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
	"threadrun/routing"
)

var (
	errNoAddress    = errors.New("endpoint has no address")
	errNoConnection = errors.New("no connection available")
)

// Handler receives the ends of attempts and health checks. Its methods must not call methods of the Pool.
type Handler interface {
	// AttemptEnded handles the end of an attempt. result is valid only during the call.
	AttemptEnded(id AttemptID, result *Result)
	// MayBegin is called right before the request of an attempt is written, and reports whether it may still be sent. If
	// not, the attempt is withdrawn, and AttemptEnded is not called for it.
	MayBegin(id AttemptID) bool
	// HealthCheckEnded handles the end of the health check with a number returned by Pool.StartHealthCheck.
	HealthCheckEnded(number uint64, result HealthCheckResult, took time.Duration)
}

// Config limits a pool's connections.
type Config struct {
	MaxConnections           int           // to all endpoints
	MaxPerEndpoint           int           // to one endpoint
	MaxAttemptsPerConnection int           // attempts share a connection only if no new one can be opened
	ConnectTimeout           time.Duration // also limits the wait for the response to a liveness PING
	IdleTimeout              time.Duration // time after which a connection without attempts is closed
	LivenessCheckAfter       time.Duration // time without a received byte after which an endpoint's liveness is checked
}

// Pool holds the connections to all endpoints. It is guarded by the engine's lock.
//
// Invariant: connectionCount is the number of connections to all endpoints, and queuedCount is the number of their
// attempts whose requests are not written.
type Pool struct {
	engine          *transport.Engine
	log             *logrus.Logger
	handler         Handler
	config          Config
	endpoints       []*endpoint // indexed by routing.EndpointID; nil: unknown
	connectionCount int
	queuedCount     int
	healthChecks    []healthCheck
	lastHealthCheck uint64                      // number of the last health check that was started
	head, fields    []byte                      // scratch space for encoding a request
	elements        [maxResponseElements][]byte // scratch space for parsing a response
	result          Result                      // scratch space for the result passed to the handler
}

// New returns a Pool without endpoints.
func New(engine *transport.Engine, log *logrus.Logger, handler Handler, config Config) *Pool {
	return &Pool{engine: engine, log: log, handler: handler, config: config}
}

// SetLimits changes the maximum number of connections to all endpoints and to each endpoint.
func (p *Pool) SetLimits(maxConnections, maxPerEndpoint int) {
	p.config.MaxConnections = maxConnections
	p.config.MaxPerEndpoint = maxPerEndpoint
}

// EndpointCount returns the number of endpoints that have, or had, an address.
func (p *Pool) EndpointCount() int { return len(p.endpoints) }

// ConnectionCount returns the number of connections.
func (p *Pool) ConnectionCount() int { return p.connectionCount }

// QueuedCount returns the number of requests that wait for their connection.
func (p *Pool) QueuedCount() int { return p.queuedCount }

// SetAddress sets the address of an endpoint. If the address has changed or the endpoint restarted, the existing
// connections accept no new attempts, because they may lead to the previous instance.
func (p *Pool) SetAddress(id routing.EndpointID, address string, restarted bool) {
	for len(p.endpoints) <= int(id) {
		p.endpoints = append(p.endpoints, nil)
	}
	e := p.endpoints[id]
	if e == nil {
		p.endpoints[id] = &endpoint{pool: p, address: address}
		return
	}
	if e.address != address || restarted {
		e.address = address
		e.retireConnections()
	}
}

// Remove closes each connection of an endpoint when the attempts already written on it have ended. Queued attempts
// end at once as not sent. The endpoint keeps its address.
func (p *Pool) Remove(id routing.EndpointID) {
	if e := p.endpoint(id); e != nil {
		e.retireConnections()
	}
}

// endpoint returns an endpoint, or nil if it is unknown.
func (p *Pool) endpoint(id routing.EndpointID) *endpoint {
	if int(id) >= len(p.endpoints) {
		return nil
	}
	return p.endpoints[id]
}

// Send starts an attempt. Its request is written at once, or queued until its connection is established and has no
// unsent bytes. The memory that request and body refer to must not change until the attempt has ended. If no
// connection is available, Send calls Handler.AttemptEnded before it returns.
func (p *Pool) Send(id AttemptID, to routing.EndpointID, request *Request, body []byte) {
	e := p.endpoint(to)
	if e == nil {
		p.handler.AttemptEnded(id, &Result{Err: &Error{NotConnected, errNoAddress}})
		return
	}
	c := e.chooseConnection(request.ID)
	if c == nil {
		// The progress is not NotConnected, which would mean that a connect to the endpoint failed.
		p.handler.AttemptEnded(id, &Result{Err: &Error{NotSent, errNoConnection}})
		return
	}
	c.lastUsed = p.engine.Now()
	c.attempts = append(c.attempts, attempt{id: id, request: *request, body: body, queuedAt: c.lastUsed})
	p.queuedCount++
	c.flush()
}

// Withdraw ends an attempt whose request is still queued, and reports whether it did. None of the request's bytes
// is sent, and the Handler is not called for it.
func (p *Pool) Withdraw(id AttemptID, from routing.EndpointID) bool {
	c, i := p.find(id, from)
	if c == nil || c.attempts[i].written {
		return false
	}
	c.withdraw(i)
	return true
}

// Cancel ends an attempt and returns its final progress. The Handler is not called for the attempt. Cancel returns
// NotConnected for an attempt that is unknown or has ended.
func (p *Pool) Cancel(id AttemptID, at routing.EndpointID) Progress {
	c, i := p.find(id, at)
	if c == nil {
		return NotConnected
	}
	a := c.attempts[i]
	if !a.written {
		progress := c.progress(&a)
		c.withdraw(i)
		return progress
	}
	c.remove(i)
	if len(c.attempts) == 0 && c.conn.Sent() < a.endOffset {
		// Close the connection before computing the progress, so that no more buffered bytes are sent.
		c.close()
		return c.progress(&a)
	}
	return c.cancelWritten(&a)
}

// find returns the connection of an open attempt and the attempt's index, or nil.
func (p *Pool) find(id AttemptID, at routing.EndpointID) (*connection, int) {
	e := p.endpoint(at)
	if e == nil {
		return nil, 0
	}
	for _, c := range e.connections {
		for i := range c.attempts {
			if c.attempts[i].id == id {
				return c, i
			}
		}
	}
	return nil, 0
}

// closeLongestIdle closes the connection without attempts that was used least recently, if there is one, to make
// room for a new connection within Config.MaxConnections.
func (p *Pool) closeLongestIdle() {
	var longest *connection
	for _, e := range p.endpoints {
		if e == nil {
			continue
		}
		for _, c := range e.connections {
			if len(c.attempts) == 0 && (longest == nil || c.lastUsed.Before(longest.lastUsed)) {
				longest = c
			}
		}
	}
	if longest != nil {
		longest.close()
	}
}
