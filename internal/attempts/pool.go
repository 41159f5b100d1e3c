package attempts

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
	"threadrun/routing"
)

var (
	errNoAddress    = errors.New("no address")
	errNoConnection = errors.New("no connection available")
)

// Handler hears how attempts and probes end. It must not call back into the pool.
type Handler interface {
	AttemptEnded(id AttemptID, result *Result)
	ProbeEnded(number uint64, result ProbeResult, took time.Duration)
}

// Config bounds a pool's connections.
type Config struct {
	MaxConnections     int           // in all
	MaxPerEndpoint     int           // to one endpoint
	MaxAttempts        int           // on one connection, where there can be no more connections
	ConnectTimeout     time.Duration // also for the answer to a liveness check
	IdleTimeout        time.Duration // until a connection without attempts is closed
	LivenessCheckAfter time.Duration // without a byte from an endpoint
}

// Pool holds the connections to all endpoints.
type Pool struct {
	engine       *transport.Engine
	log          *logrus.Logger
	handler      Handler
	config       Config
	endpoints    []*endpoint // by routing.EndpointID; nil: not known
	connections  int
	queued       int // requests that wait for their connection
	probes       []probe
	lastProbe    uint64
	head, fields []byte // scratch for a request
	words        [responseWords][]byte
	result       Result // scratch for an answer
}

// New makes an empty pool.
func New(engine *transport.Engine, log *logrus.Logger, handler Handler, config Config) *Pool {
	return &Pool{engine: engine, log: log, handler: handler, config: config}
}

// SetLimits changes how many connections there may be, in all and to one endpoint.
func (p *Pool) SetLimits(maxConnections, maxPerEndpoint int) {
	p.config.MaxConnections = maxConnections
	p.config.MaxPerEndpoint = maxPerEndpoint
}

// Endpoints counts the endpoints that have, or had, an address.
func (p *Pool) Endpoints() int { return len(p.endpoints) }

// Connections counts the connections.
func (p *Pool) Connections() int { return p.connections }

// Queued counts the requests that wait for their connection.
func (p *Pool) Queued() int { return p.queued }

// SetAddress says where an endpoint is reached. One that moved or restarted gets new connections: the old ones may
// lead to what was there before.
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

// Remove closes an endpoint's connections as their attempts end.
func (p *Pool) Remove(id routing.EndpointID) {
	if e := p.endpoint(id); e != nil {
		e.retireConnections()
	}
}

// endpoint gives an endpoint; nil: it is not known.
func (p *Pool) endpoint(id routing.EndpointID) *endpoint {
	if int(id) >= len(p.endpoints) {
		return nil
	}
	return p.endpoints[id]
}

// Send starts an attempt, at once or as soon as its connection takes it. What request and body point to must stay as
// it is until the attempt has ended. Without a connection to be had, the Handler is called before Send returns.
func (p *Pool) Send(id AttemptID, to routing.EndpointID, request *Request, body []byte) {
	e := p.endpoint(to)
	if e == nil {
		p.handler.AttemptEnded(id, &Result{Err: &Error{NotConnected, errNoAddress}})
		return
	}
	c := e.choose(request.ID)
	if c == nil {
		p.handler.AttemptEnded(id, &Result{Err: &Error{NotConnected, errNoConnection}})
		return
	}
	c.lastUsed = p.engine.Now()
	c.attempts = append(c.attempts, attempt{id: id, request: *request, body: body, queuedAt: c.lastUsed})
	p.queued++
	c.flush()
}

// Withdraw takes an attempt back if nothing of its request has gone out; the Handler hears nothing of it then.
func (p *Pool) Withdraw(id AttemptID, from routing.EndpointID) bool {
	c, i := p.find(id, from)
	if c == nil || c.attempts[i].written {
		return false
	}
	c.withdraw(i)
	return true
}

// Cancel ends an attempt and tells how far it has come, for good; the Handler hears nothing of it.
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
		// Closed before it is measured: what waits in the buffer must neither follow later nor be written meanwhile.
		c.close()
		return c.progress(&a)
	}
	return c.cancelWritten(&a)
}

// find finds an open attempt and its place on the connection; nil: there is none.
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

// closeLongestIdle frees a descriptor, so that an endpoint without a connection can still be reached.
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
