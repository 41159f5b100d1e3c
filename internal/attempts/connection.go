package attempts

import (
	"errors"
	"syscall"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/resp"
	"threadrun/internal/transport"
)

var errRetired = errors.New("connection accepts no more requests")

// maxCanceled is the number of canceled attempts after which a connection accepts no more requests. It bounds the
// list of ids whose late responses the connection must recognize.
const maxCanceled = 64

var lineEnd = []byte("\r\n")

// attempt is one attempt on a connection. Its request is queued until the connection is established and has no
// unsent bytes. A queued request can be withdrawn; none of its bytes is sent then.
type attempt struct {
	id          AttemptID
	request     Request
	body        []byte
	queuedAt    time.Time
	written     bool  // the request was passed to the connection
	startOffset int64 // offset of the request's first byte among all bytes passed to the connection
	endOffset   int64 // offset after its last byte, without the line end
}

// connection is one connection to an endpoint, which several attempts can share. It implements transport.Connector
// and transport.Decoder.
type connection struct {
	pool         *Pool
	endpoint     *endpoint
	conn         *transport.Conn
	retired      bool // accepts no new attempts
	attempts     []attempt
	canceledIDs  []ID // ids of canceled attempts whose responses may still arrive
	received     transport.ReceiveBuffer
	lastUsed     time.Time // time of the last byte received, or the last attempt or health check assigned to it
	lastReceived time.Time // time of the last byte received
}

// Connected sends the requests that were queued while the connection was being established.
func (c *connection) Connected() { c.flush() }

// Data handles received bytes: it ends the attempts whose responses are complete, then sends queued requests.
func (c *connection) Data(b []byte) error {
	now := c.pool.engine.Now()
	c.lastReceived = now
	c.lastUsed = now
	c.endpoint.lastReceived = now
	c.endpoint.pingSent = time.Time{}
	if err := c.received.Decode(c.pool.engine, b, c); err != nil {
		return err
	}
	c.flush()
	c.closeIfDrained()
	return nil
}

// Closed ends all attempts, and reports the proven progress of each.
func (c *connection) Closed(err error) {
	reset := errors.Is(err, syscall.ECONNRESET)
	failures := make([]*Error, len(c.attempts))
	for i := range c.attempts {
		progress := c.progress(&c.attempts[i])
		if progress == NotConnected && reset {
			progress = NotSent // a reset proves that the peer was reachable
		}
		failures[i] = &Error{progress, err}
	}
	if !c.conn.Connected() && !reset {
		c.endHealthChecks(Unreachable)
	}
	ended := c.attempts
	for i := range ended {
		if !ended[i].written {
			c.pool.queuedCount--
		}
	}
	c.attempts = nil
	c.detach()
	for i := range ended {
		c.pool.handler.AttemptEnded(ended[i].id, &Result{Err: failures[i]})
	}
}

// Next handles the response at the start of b. It returns the size of the response in bytes, or 0 if it is
// incomplete.
func (c *connection) Next(b []byte) (int, error) {
	elements := c.pool.elements[:]
	count, size, err := resp.Parse(b, elements, maxElementSize)
	switch {
	case errors.Is(err, resp.ErrIncomplete):
		return 0, nil
	case err != nil:
		return 0, err
	case count < 2:
		return 0, resp.ErrMalformed
	}
	c.handleResponse(elements[:count])
	return size, nil
}

// handleResponse ends the attempt or the health check that a response belongs to. It ignores late, duplicate and
// unknown responses.
func (c *connection) handleResponse(elements [][]byte) {
	if len(c.pool.healthChecks) > 0 && string(elements[1]) == pingReply {
		c.pool.endHealthChecks(Alive, c.lastReceived, func(h *healthCheck) bool { return h.tag == string(elements[0]) })
	}
	for i := range c.attempts {
		if string(c.attempts[i].request.ID[:]) != string(elements[0]) {
			continue
		}
		id := c.attempts[i].id
		result := &c.pool.result
		*result = Result{Status: parseStatus(elements[1], len(elements))}
		if len(elements) > 2 {
			result.Fields = elements[2]
		}
		if len(elements) > 3 {
			result.Body = elements[3]
		}
		c.remove(i)
		c.pool.handler.AttemptEnded(id, result)
		return
	}
}

// flush writes queued requests in order, for as long as the connection has no unsent bytes. It withdraws those for
// which Handler.MayBegin returns false: what allowed them may have changed while they were queued.
func (c *connection) flush() {
	for i := 0; i < len(c.attempts) && c.conn.Flushed(); {
		a := &c.attempts[i]
		switch {
		case a.written:
			i++
		case !c.pool.handler.MayBegin(a.id):
			c.withdraw(i)
		default:
			c.write(a)
			i++
		}
	}
}

// write sends a request with the remainder of its time budget. A request whose budget has run out stays queued:
// the caller of Pool.Send is about to cancel it at its deadline.
func (c *connection) write(a *attempt) {
	p := c.pool
	request := a.request
	waited := p.engine.Now().Sub(a.queuedAt)
	request.Budget -= clock.FromDuration(waited)
	if request.Budget <= 0 {
		return
	}
	p.head, p.fields = AppendRequest(p.head[:0], &request, len(a.body), p.fields)
	a.startOffset = c.conn.Enqueued()
	c.conn.Send(p.head, a.body, lineEnd)
	// The line end does not count: a cache that trusts the encoded lengths may run a request before the line end
	// arrives.
	a.endOffset = c.conn.Enqueued() - int64(len(lineEnd))
	a.written = true
	p.queuedCount--
}

// progress returns how far an attempt has progressed, by the bytes that the kernel has accepted.
func (c *connection) progress(a *attempt) Progress {
	sent := c.conn.Sent()
	switch {
	case !c.conn.Connected():
		return NotConnected
	case !a.written || sent <= a.startOffset:
		return NotSent
	case sent < a.endOffset:
		return PartlySent
	case c.received.Len() > 0:
		return ResponseStarted
	}
	return Sent
}

// load returns the number of attempts, plus one if the connection is not established yet.
func (c *connection) load() int {
	if c.conn.Connected() {
		return len(c.attempts)
	}
	return len(c.attempts) + 1
}

// responsePending reports whether the response to a request with this id may still arrive on this connection. A
// second attempt of the request must use another connection: all attempts of a request share its id, so the
// response to the first would be taken for the response to the second.
func (c *connection) responsePending(id ID) bool {
	for i := range c.attempts {
		if c.attempts[i].request.ID == id {
			return true
		}
	}
	for _, canceled := range c.canceledIDs {
		if canceled == id {
			return true
		}
	}
	return false
}

// withdraw removes a queued attempt. It closes a connection that is not established yet if no other attempt uses
// it.
func (c *connection) withdraw(i int) {
	c.remove(i)
	c.closeIfDrained()
	if len(c.attempts) == 0 && !c.conn.Connected() && !c.retired {
		c.close()
	}
}

// cancelWritten cancels an attempt whose request was written. Bytes of the request that are still buffered will be
// sent, since other attempts use the connection; so the progress is at least Sent.
func (c *connection) cancelWritten(a *attempt) Progress {
	progress := max(c.progress(a), Sent)
	c.canceledIDs = append(c.canceledIDs, a.request.ID)
	unresponsive := c.lastReceived.Before(a.queuedAt) // nothing received since it was queued: maybe a dead connection
	responseIncomplete := c.received.Len() > 0        // all further responses are queued behind the incomplete one
	if len(c.canceledIDs) >= maxCanceled || unresponsive || responseIncomplete {
		c.retired = true
	}
	c.conn.Send(encodeCommand(commandCancel, a.request.ID[:]))
	c.endQueued()
	c.closeIfDrained()
	return progress
}

// endQueued ends the queued attempts of a retired connection as not sent. It does nothing if the connection is not
// retired.
func (c *connection) endQueued() {
	for i := 0; c.retired && i < len(c.attempts); {
		if c.attempts[i].written {
			i++
			continue
		}
		id := c.attempts[i].id
		c.remove(i)
		c.pool.handler.AttemptEnded(id, &Result{Err: &Error{NotSent, errRetired}})
	}
}

func (c *connection) remove(i int) {
	if !c.attempts[i].written {
		c.pool.queuedCount--
	}
	c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
}

// closeIfDrained closes a retired connection that has no attempts left.
func (c *connection) closeIfDrained() {
	if c.retired && len(c.attempts) == 0 {
		c.close()
	}
}

// close closes the connection, which must have no attempts, and ends its health checks as inconclusive.
func (c *connection) close() {
	c.conn.Close()
	c.detach()
}

// detach removes the connection from its pool, releases its receive buffer, and ends its health checks as
// inconclusive.
func (c *connection) detach() {
	c.retired = true
	c.endpoint.removeConnection(c)
	c.received.Release(c.pool.engine)
	c.endHealthChecks(Inconclusive)
}

// endHealthChecks ends the health checks on this connection.
func (c *connection) endHealthChecks(result HealthCheckResult) {
	if len(c.pool.healthChecks) > 0 {
		c.pool.endHealthChecks(result, c.pool.engine.Now(), func(h *healthCheck) bool { return h.connection == c })
	}
}
