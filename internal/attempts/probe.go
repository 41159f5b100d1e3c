package attempts

import (
	"strconv"
	"time"

	"threadrun/routing"
)

// HealthCheckResult is the result of a health check of a cache.
type HealthCheckResult uint8

// Results of a health check.
const (
	Inconclusive HealthCheckResult = iota // the connection was closed for a reason that says nothing about the cache
	Alive                                 // the cache responded
	Unreachable                           // the connect failed, or no response arrived in time
)

// healthCheck is a health check in progress.
type healthCheck struct {
	number     uint64
	tag        string // sent with the PING; the response begins with it
	connection *connection
	sent       time.Time
	deadline   time.Time
}

// StartHealthCheck starts a health check of a cache and returns its number, with which Handler.HealthCheckEnded will
// be called. It returns 0 if no connection is available; the Handler is not called then.
func (p *Pool) StartHealthCheck(id routing.EndpointID, timeout time.Duration) uint64 {
	e := p.endpoint(id)
	if e == nil {
		return 0
	}
	c := e.chooseConnection(ID{})
	if c == nil {
		return 0
	}
	p.lastHealthCheck++
	now := p.engine.Now()
	started := healthCheck{
		number:     p.lastHealthCheck,
		tag:        healthCheckTag + strconv.FormatUint(p.lastHealthCheck, 10),
		connection: c,
		sent:       now,
		deadline:   now.Add(timeout),
	}
	p.healthChecks = append(p.healthChecks, started)
	c.conn.Send(encodeCommand(commandPing, started.tag))
	c.lastUsed = now
	return started.number
}

// endHealthChecks ends the health checks for which match returns true.
func (p *Pool) endHealthChecks(result HealthCheckResult, now time.Time, match func(*healthCheck) bool) {
	for i := 0; i < len(p.healthChecks); {
		ended := p.healthChecks[i]
		if !match(&ended) {
			i++
			continue
		}
		p.healthChecks = append(p.healthChecks[:i], p.healthChecks[i+1:]...)
		p.handler.HealthCheckEnded(ended.number, result, now.Sub(ended.sent))
	}
}
