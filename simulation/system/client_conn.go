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
	dialTimeout      = time.Second
	probeInterval    = 100 * ms
	crossingTime     = 60 * ms  // a request sent more recently may cross the close of its connection on the network
	cancelSlack      = 200 * ms // after a request's deadline, until the client cancels it
	minRetryAfter    = 100 * ms // least delay of a retry
	maxRetryJitterMs = 400      // milliseconds; upper bound of the random addition to minRetryAfter
)

// clientConn is a client's connection to a router.
type clientConn struct {
	clients     *clients
	router      *router
	incarnation int // of the router's process that the connection was opened to
	conn        *transport.Conn
	input       transport.ReceiveBuffer
	bytesRead   int64
	lastID      uint64
	open        []*clientRequest // requests that wait for their answers
	ready       bool             // the router has answered a probe with yes
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
	retries  int  // number of times that the request was sent before
	settled  bool // it no longer waits for its answer
}

// retry returns a retry of the request, for the client to send.
func (r *clientRequest) retry() *clientRequest {
	retry := *r
	retry.retries++
	retry.settled = false
	return &retry
}

func (r *clientRequest) idempotent() bool { return classes[r.class].effect == invariants.Idempotent }

// probe asks the router whether it is ready, and repeats this each probeInterval until the answer is yes.
func (c *clientConn) probe() {
	if c.closed || c.ready {
		return
	}
	c.lastID++
	c.conn.Send(encodeProbe(c.lastID))
	c.clients.host.After(probeInterval, c.probe)
}

// send sends a request. The client cancels it cancelSlack after its deadline, or earlier under faults.ClientsCancel.
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

// reportDroppedRequests reports to the checker the requests that a router's process leaves unanswered at the end of
// its shutdown. It omits requests so recent that they may have crossed the close of their connection on the network.
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

// processEnded reports whether the router process that the connection was opened to has ended.
func (c *clientConn) processEnded() bool {
	return c.router.incarnation != c.incarnation || !c.router.host.Running()
}

// cancel cancels an open request. The checker learns only of cancels before the request's deadline.
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

// cancelAndRetry cancels an open request and retries it at once, if it is idempotent and has retries left.
func (c *clientConn) cancelAndRetry(r *clientRequest) {
	if r.settled {
		return
	}
	c.cancel(r)
	if r.retries < maxRetries && r.idempotent() {
		c.clients.send(c.router, r.retry())
	}
}

// settle marks a request as one that no longer waits for its answer.
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
	// The checker takes an answer as sent when the router wrote its last byte.
	writtenAt := network.WrittenAt(c.conn.Socket(), c.bytesRead+int64(size)-1)
	c.bytesRead += int64(size)
	return size, c.receive(b[:size], writtenAt)
}

// receive handles one answer, whose last byte the router wrote at writtenAt.
func (c *clientConn) receive(b []byte, writtenAt Micros) error {
	s := c.clients.sim
	a, ok := decodeAnswer(b)
	if !ok {
		s.addProblem("a client received a message that is not an answer")
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
		Kind: invariants.AnswerReceived, Router: c.router.id(), Outcome: a.outcome, SentAt: writtenAt,
	}
	r := c.openRequest(a.id)
	if r == nil { // the answer crossed a cancel, or the request was already answered
		if received.Request, ok = c.settled[a.id]; !ok {
			s.addProblem("a client received an answer to request %d, which it has not sent", a.id)
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

// openRequest returns the open request with an id, or nil.
func (c *clientConn) openRequest(id uint64) *clientRequest {
	for _, r := range c.open {
		if r.id == id {
			return r
		}
	}
	return nil
}

// scheduleRetry schedules a retry of a request that was rejected, or that failed and is idempotent, if it has
// retries left.
func (c *clientConn) scheduleRetry(r *clientRequest, outcome invariants.Outcome) {
	if r.retries >= maxRetries {
		return
	}
	if outcome != invariants.Rejected && (outcome != invariants.Failed || !r.idempotent()) {
		return
	}
	retry := r.retry()
	retryAfter := minRetryAfter + Micros(c.clients.random.IntN(maxRetryJitterMs))*ms
	c.clients.host.After(retryAfter, func() { c.clients.send(c.router, retry) })
}

// Closed ends all open requests. It reports each of them to the checker: as a ConnectionFault if an injected fault
// may have ended the connection, or else as ConnectionDropped by the router.
func (c *clientConn) Closed(err error) {
	c.closed = true
	routerConns := &c.clients.connections[c.router.index]
	*routerConns = removeItem(*routerConns, c)
	byFault := c.processEnded() || !c.ready ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
	open := c.open
	c.open = nil
	s := c.clients.sim
	for _, r := range open {
		r.settled = true
		kind := invariants.ConnectionDropped
		if byFault || s.world.Now()-r.sentAt < crossingTime {
			kind = invariants.ConnectionFault
		}
		s.observe(invariants.Event{Kind: kind, Request: r.request})
	}
}
