package attempts

import (
	"errors"
	"time"
)

var errStuckResponse = errors.New("incomplete answer stalled")

// Tick closes connections that are idle or stuck, ends probes without an answer in time, and checks endpoints that
// have been silent for some time. The caller must call it some tens of times per second.
func (p *Pool) Tick(now time.Time) {
	p.endProbes(Unreachable, now, func(pr *probe) bool { return now.After(pr.deadline) })
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
		stuck := c.received.Len() > 0 && now.Sub(c.lastHeard) > e.pool.config.LivenessCheckAfter
		idle := c.conn.Connected() && len(c.attempts) == 0 && now.Sub(c.lastUsed) > e.pool.config.IdleTimeout
		switch {
		case stuck: // other attempts would wait for an answer that never ends
			c.conn.Fail(errStuckResponse)
		case idle:
			c.close()
		}
	}
}

// checkLiveness sends a PING after a silence, and retires the connections if no answer arrives: a cache that
// disappeared without closing them would swallow requests.
func (e *endpoint) checkLiveness(now time.Time) {
	p := e.pool
	switch {
	case e.pingSent.IsZero() && now.Sub(e.lastHeard) > p.config.LivenessCheckAfter:
		e.ping(now)
	case !e.pingSent.IsZero() && now.Sub(e.pingSent) > p.config.ConnectTimeout:
		p.log.WithField("address", e.address).Warn("attempts: cache does not respond, closing its connections")
		e.lastHeard = now
		e.pingSent = time.Time{}
		e.retireConnections()
	}
}

func (e *endpoint) ping(now time.Time) {
	for _, c := range e.connections {
		if c.conn.Connected() && !c.retired {
			e.pingSent = now
			c.conn.Send(command(commandPing, livenessTag))
			return
		}
	}
}
