package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"threadrun/internal/testserver"
	"threadrun/simulation/invariants"
)

const (
	requestGroup   = 7                     // the object group that testserver.RequestParams sets
	crossingTime   = 60 * time.Millisecond // a request sent within this time before a connection ends may be lost
	writeShare     = 0.1                   // share of the requests that are non-idempotent
	cancelShare    = 0.1                   // share of the requests that are canceled, unless the answer comes first
	pieceShare     = 0.1                   // share of the requests that are written in two pieces
	burstShare     = 0.03                  // share of the intervals that end with burstSize requests instead of one
	burstSize      = 16
	pieceDelay     = 5 * time.Millisecond // between the two pieces
	maxCancelDelay = 300 * time.Millisecond
	reconnectDelay = 50 * time.Millisecond
)

// timeouts are the request timeouts of which clients draw one for each request.
var timeouts = [...]time.Duration{2 * time.Second, 1500 * time.Millisecond, 900 * time.Millisecond}

// objectName returns the id of an object as it is written in requests.
func objectName(object int) string { return fmt.Sprintf("%016x", 0x1000+object) }

// client connects to a router, sends requests at an interval until the connection ends, and reconnects.
type client struct {
	recorder *recorder
	router   *router
	random   *rand.Rand
	interval time.Duration  // between two requests, or bursts of requests
	lastID   *atomic.Uint64 // id of the last request, shared by all clients
	pending  sync.WaitGroup // requests that wait for an answer
}

// run sends requests until stop is closed. It returns when each request has an answer, or none can come any more.
func (c *client) run(stop <-chan struct{}) {
	defer c.pending.Wait()
	for {
		incarnation := c.router.currentIncarnation()
		conn, err := testserver.Connect(c.router.address)
		if err == nil {
			c.sendUntilClosed(conn, incarnation, stop)
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// sendUntilClosed sends requests on a connection until the connection ends or stop is closed. In the latter case it
// waits for the pending requests.
func (c *client) sendUntilClosed(conn *testserver.Client, incarnation int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.pending.Wait()
			return
		case <-conn.Closed():
			return
		case <-time.After(c.interval):
		}
		count := 1
		if c.random.Float64() < burstShare {
			count = burstSize
		}
		for range count {
			c.send(conn, incarnation)
		}
	}
}

// send sends a request, and starts a goroutine that waits for its answer and may cancel the request.
func (c *client) send(conn *testserver.Client, incarnation int) {
	trace := uint64(c.router.number)<<routerShift | c.lastID.Add(1)
	object := c.random.IntN(objectCount)
	timeout := timeouts[c.random.IntN(len(timeouts))]
	sent := invariants.Event{
		Kind: invariants.RequestSent, Request: invariants.RequestID(trace), Router: routerOf(trace),
		Deadline: micros(timeout), Object: uint64(object), Group: requestGroup,
	}
	method := "page"
	var body []byte
	if c.random.Float64() < writeShare {
		method = "order"
		body = []byte("one")
		sent.Effect = invariants.NonIdempotent
	}
	c.recorder.observe(sent)
	fields := testserver.RequestParams(trace, objectName(object), timeout)
	pause := time.Duration(0)
	if c.random.Float64() < pieceShare {
		pause = pieceDelay
	}
	id, answers := conn.SendInPieces(method, fields, body, pause)
	pending := pendingRequest{client: c, conn: conn, request: invariants.RequestID(trace), incarnation: incarnation,
		id: id, sentAt: time.Now(), timeout: timeout}
	if c.random.Float64() < cancelShare {
		pending.cancelAfter = time.Duration(c.random.Int64N(int64(maxCancelDelay)))
	}
	c.pending.Go(func() { pending.awaitAnswer(answers) })
}

// pendingRequest is a request without an answer so far.
type pendingRequest struct {
	client      *client
	conn        *testserver.Client
	request     invariants.RequestID
	incarnation int    // of the router to which the client connected
	id          uint64 // on the connection
	sentAt      time.Time
	timeout     time.Duration
	cancelAfter time.Duration // 0: never
}

// awaitAnswer records the answer, that the client canceled the request, or that the connection ended. If none of
// these happens until a second after the checker counts the request as lost, it records nothing.
func (w *pendingRequest) awaitAnswer(answers <-chan *testserver.Answer) {
	var cancel <-chan time.Time
	if w.cancelAfter > 0 {
		cancel = time.After(w.cancelAfter)
	}
	lost := time.After(w.timeout + lostAfter.Duration() + time.Second)
	select {
	case a := <-answers:
		w.recordAnswer(a)
	case <-cancel:
		w.client.recorder.observe(invariants.Event{Kind: invariants.ClientLeft, Request: w.request})
		w.conn.Cancel(w.id)
	case <-lost: // the checker reports the request
	case <-w.conn.Closed():
		ended := time.Now()
		select { // the answer may have arrived just before the connection ended
		case a := <-answers:
			w.recordAnswer(a)
		default:
			w.recordConnectionEnd(ended)
		}
	}
}

func (w *pendingRequest) recordAnswer(a *testserver.Answer) {
	outcome := invariants.Failed
	switch a.Error {
	case "":
		outcome = invariants.Succeeded
	case "Shed":
		outcome = invariants.Rejected
	}
	w.client.recorder.observe(invariants.Event{
		Kind: invariants.AnswerReceived, Request: w.request, Router: invariants.RouterID(w.client.router.number),
		Outcome: outcome,
	})
}

// recordConnectionEnd records that the connection ended before an answer. That counts as an injected fault if the
// script killed the router, or if the request was sent less than crossingTime before: the router may not have
// received it.
func (w *pendingRequest) recordConnectionEnd(ended time.Time) {
	kind := invariants.ConnectionDropped
	if w.client.router.wasCrashed(w.incarnation) || ended.Sub(w.sentAt) < crossingTime {
		kind = invariants.ConnectionFault
	}
	w.client.recorder.observe(invariants.Event{Kind: kind, Request: w.request})
}
