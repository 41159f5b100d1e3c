package attempts

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/resp"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// Pool holds all connections.
type Pool struct {
	engine    *transport.Engine
	log       *logrus.Logger
	host      Handler
	endpoints []*endpoint
	most      int // connections in all
	each      int // to one cache
	streams   int // attempts on one connection, where there can be no more connections
	open      int
	connect   time.Duration
	idle      time.Duration
	ask       time.Duration // a cache that has said nothing for so long is asked whether it is there
	words     [4][]byte
	head      []byte // scratch for a request
	fields    []byte
	held      int // requests that are held back
	end       Result
	probes    []probe
	probed    uint64
}

// New makes an empty pool.
func New(e *transport.Engine, log *logrus.Logger, h Handler, most, each, streams int,
	connect, idle, ask time.Duration) *Pool {
	return &Pool{engine: e, log: log, host: h, most: most, each: each, streams: streams, connect: connect,
		idle: idle, ask: ask}
}

// endpoint is the connections to one cache.
type endpoint struct {
	address     string
	connections []*connection
	heard       time.Time // last byte on any of them
	asked       time.Time // a PING is out since
}

// SetAddress says where a cache is reached. A cache that moved or started anew gets new connections: the old ones may
// lead to what was there before.
func (y *Pool) SetAddress(c routing.EndpointID, address string, anew bool) {
	for len(y.endpoints) <= int(c) {
		y.endpoints = append(y.endpoints, nil)
	}
	p := y.endpoints[c]
	if p == nil {
		y.endpoints[c] = &endpoint{address: address}
		return
	}
	if p.address != address || anew {
		p.address = address
		y.retire(p)
	}
}

// Remove lets a cache's connections go as their attempts end.
func (y *Pool) Remove(c routing.EndpointID) {
	if int(c) < len(y.endpoints) && y.endpoints[c] != nil {
		y.retire(y.endpoints[c])
	}
}

func (y *Pool) retire(p *endpoint) {
	for i := len(p.connections) - 1; i >= 0; i-- {
		l := p.connections[i]
		l.closed = true
		l.sendBack()
		l.closeIfDone()
	}
}

// SetLimits changes how many connections there may be, in all and to one cache.
func (y *Pool) SetLimits(most, each int) { y.most, y.each = most, each }

// Endpoints counts the caches that have, or had, connections.
func (y *Pool) Endpoints() int { return len(y.endpoints) }

// Connections counts the connections.
func (y *Pool) Connections() int { return y.open }

// Queued counts the requests that are held back.
func (y *Pool) Queued() int { return y.held }

// choose takes an idle connection, else a new one, else the one with the fewest attempts.
func (p *endpoint) choose(y *Pool, id ID) *connection {
	var best *connection
	for _, l := range p.connections {
		if l.closed || len(l.open) >= y.streams || l.carries(id) {
			continue
		}
		if best == nil || l.rank() < best.rank() {
			best = l
		}
	}
	if best != nil && best.conn.Connected() && len(best.open) == 0 {
		return best
	}
	if len(p.connections) < y.each && y.open >= y.most {
		y.evictIdle()
	}
	if len(p.connections) < y.each && y.open < y.most {
		if len(p.connections) == 0 {
			p.heard, p.asked = y.engine.Now(), time.Time{}
		}
		l := &connection{pool: y, endpoint: p}
		l.conn = y.engine.Dial(p.address, y.connect, l)
		p.connections = append(p.connections, l)
		y.open++
		return l
	}
	return best
}

// evictIdle lets the connection go that has been idle longest: wards off a cache out of reach because others hold all
// descriptors.
func (y *Pool) evictIdle() {
	var oldest *connection
	for _, p := range y.endpoints {
		if p == nil {
			continue
		}
		for _, l := range p.connections {
			if len(l.open) == 0 && (oldest == nil || l.used.Before(oldest.used)) {
				oldest = l
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
}

// Tick closes what has been idle for long, and asks a cache that has said nothing for a while whether it is there:
// wards off sending requests into the connections of one that has vanished without a word.
func (y *Pool) Tick(now time.Time) {
	y.shown(Unreachable, now, func(p *probe) bool { return now.After(p.ends) })
	for _, p := range y.endpoints {
		if p == nil || len(p.connections) == 0 {
			continue
		}
		for i := len(p.connections) - 1; i >= 0; i-- {
			l := p.connections[i]
			l.flush()
			switch {
			case l.in.Len() > 0 && now.Sub(l.heard) > y.ask: // wards off waiting behind an answer that never ends
				l.conn.Fail(errStuck)
			case l.conn.Connected() && len(l.open) == 0 && now.Sub(l.used) > y.idle:
				l.close()
			}
		}
		switch {
		case !p.asked.IsZero() && now.Sub(p.asked) > y.connect:
			y.log.WithField("address", p.address).Warn("attempts: no word from a cache, its connections are let go")
			p.heard, p.asked = now, time.Time{}
			y.retire(p)
		case p.asked.IsZero() && now.Sub(p.heard) > y.ask:
			for _, l := range p.connections {
				if l.conn.Connected() && !l.closed {
					p.asked = now
					l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "PING"), "still"))
					break
				}
			}
		}
	}
}
