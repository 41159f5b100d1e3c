package system

import (
	"errors"
	"io"
	"syscall"
	"time"

	"threadrun/internal/msgpack"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	dialTimeout   = time.Second
	probeInterval = 100 * ms
	crossingTime  = 60 * ms // a request younger than this may have crossed the close of its connection
	cancelSlack   = 200 * ms
	minRetryAfter = 100 * ms
	retrySpread   = 400 // ms
)

// clientConn is a client's connection to a router.
type clientConn struct {
	clients     *clients
	router      *router
	incarnation int // of the router
	conn        *transport.Conn
	input       transport.ReceiveBuffer
	bytesRead   int64
	lastID      uint64
	open        []*clientRequest
	ready       bool // a probe was answered with yes
	closed      bool
	settled     map[uint64]invariants.RequestID // requests that no longer wait for an answer, by id
}

// clientRequest is a request that waits for its answer.
type clientRequest struct {
	id       uint64 // within its connection
	request  invariants.RequestID
	sentAt   Micros
	deadline Micros
	class    int
	object   int
	retries  int // before this one
	settled  bool
}

// retry returns the retry of a request.
func (r *clientRequest) retry() *clientRequest {
	retry := *r
	retry.retries++
	retry.settled = false
	return &retry
}

func (r *clientRequest) idempotent() bool { return classes[r.class].effect == invariants.Idempotent }

func (c *clientConn) probe() {
	if c.closed || c.ready {
		return
	}
	c.lastID++
	c.conn.Send(encodeProbe(c.lastID))
	c.clients.host.After(probeInterval, c.probe)
}

// send sends a request. The client cancels it at its deadline, or sooner under faults.ClientsCancel.
func (c *clientConn) send(r *clientRequest) {
	cs := c.clients
	s := cs.sim
	cs.lastRequest++
	r.request = invariants.RequestID(cs.lastRequest<<20 | cs.random.Uint64()&0xfffff)
	r.sentAt = s.world.Now()
	timeout := classes[r.class].timeouts[cs.random.IntN(3)]
	r.deadline = r.sentAt + timeout
	c.lastID++
	r.id = c.lastID
	c.open = append(c.open, r)
	b := encodeRequest(r, s.groupOf(r.object), cs.largeWrites > 0)
	s.observe(invariants.Event{
		Kind: invariants.RequestSent, Request: r.request, Router: c.router.id(), Effect: classes[r.class].effect,
		Deadline: r.deadline, Object: uint64(r.object), Group: s.groupOf(r.object),
	})
	c.conn.Send(b)
	if c.processEnded() {
		s.observe(invariants.Event{Kind: invariants.ConnectionFault, Request: r.request})
	}
	cs.host.After(timeout+cancelSlack, func() { c.cancel(r) })
	if cs.canceling > 0 && cs.random.Float64() < cs.cancelShare {
		cs.host.After(Micros(cs.random.IntN(int(maxCancelDelay))), func() { c.cancelAndRetry(r) })
	}
}

// reportDroppedRequests reports the requests that a router's process has taken and not answered at the end of its
// shutdown, except those that crossed the end of their connection.
func (c *clients) reportDroppedRequests(r *router) {
	for _, conn := range c.connections[r.index] {
		if conn.incarnation != r.incarnation {
			continue
		}
		for _, request := range conn.open {
			if c.sim.world.Now()-request.sentAt >= crossingTime {
				c.sim.observe(invariants.Event{Kind: invariants.ConnectionDropped, Request: request.request})
			}
		}
	}
}

// processEnded reports whether the router's process has ended.
func (c *clientConn) processEnded() bool {
	return c.router.incarnation != c.incarnation || !c.router.host.Running()
}

// cancel stops waiting for an answer.
func (c *clientConn) cancel(r *clientRequest) {
	if r.settled {
		return
	}
	c.settle(r)
	c.conn.Send(encodeCancel(r.id))
	s := c.clients.sim
	if s.world.Now() < r.deadline {
		s.observe(invariants.Event{Kind: invariants.ClientLeft, Request: r.request})
	}
}

func (c *clientConn) cancelAndRetry(r *clientRequest) {
	if r.settled {
		return
	}
	c.cancel(r)
	if r.retries < maxRetries && r.idempotent() {
		c.clients.send(c.router, r.retry())
	}
}

func (c *clientConn) settle(r *clientRequest) {
	r.settled = true
	c.settled[r.id] = r.request
	c.open = removeItem(c.open, r)
}

// Data handles data from the router.
func (c *clientConn) Data(b []byte) error { return c.input.Decode(c.clients.engine, b, c) }

// Next handles the answer at the beginning of b.
func (c *clientConn) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, maxMessage)
	if errors.Is(err, msgpack.ErrIncomplete) {
		return 0, nil
	}
	if err != nil {
		c.clients.sim.addProblem("a client can't parse an answer: %v", err)
		return 0, err
	}
	// An answer is complete with its last byte.
	writtenAt := network.WrittenAt(c.conn.Socket(), c.bytesRead+int64(size)-1)
	c.bytesRead += int64(size)
	return size, c.receive(b[:size], writtenAt)
}

func (c *clientConn) receive(b []byte, writtenAt Micros) error {
	s := c.clients.sim
	a, ok := decodeAnswer(b)
	if !ok {
		s.addProblem("a client got a message that is no answer")
		return io.ErrUnexpectedEOF
	}
	if a.probe {
		if a.ready && !c.ready {
			c.ready = true
			c.router.becameReady()
		}
		return nil
	}
	received := invariants.Event{
		Kind: invariants.ResponseReceived, Router: c.router.id(), Outcome: a.outcome, SentAt: writtenAt,
	}
	r := c.openRequest(a.id)
	if r == nil { // it crossed a cancel, or is a second answer
		if received.Request, ok = c.settled[a.id]; !ok {
			s.addProblem("an answer to a request that was not sent")
		}
		s.observe(received)
		return nil
	}
	c.settle(r)
	received.Request = r.request
	s.observe(received)
	c.scheduleRetry(r, a.outcome)
	return nil
}

func (c *clientConn) openRequest(id uint64) *clientRequest {
	for _, r := range c.open {
		if r.id == id {
			return r
		}
	}
	return nil
}

// scheduleRetry schedules a retry of a request that was rejected, or has failed and is idempotent.
func (c *clientConn) scheduleRetry(r *clientRequest, outcome invariants.Outcome) {
	if r.retries >= maxRetries {
		return
	}
	if outcome != invariants.Rejected && (outcome != invariants.Failed || !r.idempotent()) {
		return
	}
	retry := r.retry()
	retryAfter := minRetryAfter + Micros(c.clients.random.IntN(retrySpread))*ms
	c.clients.host.After(retryAfter, func() { c.clients.send(c.router, retry) })
}

// Closed reports each open request to the checker: whether a fault ended its connection, or the router.
func (c *clientConn) Closed(err error) {
	c.closed = true
	toRouter := &c.clients.connections[c.router.index]
	*toRouter = removeItem(*toRouter, c)
	fault := c.processEnded() || !c.ready ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
	open := c.open
	c.open = nil
	s := c.clients.sim
	for _, r := range open {
		r.settled = true
		kind := invariants.ConnectionDropped
		if fault || s.world.Now()-r.sentAt < crossingTime {
			kind = invariants.ConnectionFault
		}
		s.observe(invariants.Event{Kind: kind, Request: r.request})
	}
}
