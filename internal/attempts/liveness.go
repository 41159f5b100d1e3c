package attempts

import (
	"errors"
	"time"
)

var errIncompleteResponse = errors.New("peer stopped sending in the middle of a response")

// Tick closes connections that are idle, or on which a response has stopped in the middle; ends health checks
// that have timed out; and checks the liveness of endpoints from which no byte has arrived for
// Config.LivenessCheckAfter. It must be called some tens of times per second.
func (p *Pool) Tick(now time.Time) {
	p.endHealthChecks(Unreachable, now, func(h *healthCheck) bool { return now.After(h.deadline) })
	for _, e := range p.endpoints {
		if e == nil || len(e.connections) == 0 {
			continue
		}
		e.tickConnections(now)
		e.checkLiveness(now)
	}
}

func (e *endpoint) tickConnections(now time.Time) {
	for i := len(e.connections) - 1; i >= 0; i-- {
		c := e.connections[i]
		c.flush()
		responseStopped := c.received.Len() > 0 && now.Sub(c.lastReceived) > e.pool.config.LivenessCheckAfter
		idle := c.conn.Connected() && len(c.attempts) == 0 && now.Sub(c.lastUsed) > e.pool.config.IdleTimeout
		switch {
		case responseStopped: // further responses on this connection are queued behind the incomplete one
			c.conn.Fail(errIncompleteResponse)
		case idle:
			c.close()
		}
	}
}

// checkLiveness sends a PING when no byte has arrived for Config.LivenessCheckAfter, and retires the connections
// if nothing arrives within Config.ConnectTimeout after it: requests sent to a cache that disappeared without
// closing its connections would stay unanswered until their deadlines.
func (e *endpoint) checkLiveness(now time.Time) {
	p := e.pool
	switch {
	case e.pingSent.IsZero() && now.Sub(e.lastReceived) > p.config.LivenessCheckAfter:
		e.ping(now)
	case !e.pingSent.IsZero() && now.Sub(e.pingSent) > p.config.ConnectTimeout:
		p.log.WithField("address", e.address).Warn("attempts: cache does not respond, closing its connections")
		e.lastReceived = now
		e.pingSent = time.Time{}
		e.retireConnections()
	}
}

// ping sends a PING on the first usable connection, if there is one.
func (e *endpoint) ping(now time.Time) {
	for _, c := range e.connections {
		if c.conn.Connected() && !c.retired {
			e.pingSent = now
			c.conn.Send(encodeCommand(commandPing, livenessTag))
			return
		}
	}
}
