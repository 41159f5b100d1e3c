package frontend

import (
	"errors"
	"time"

	"threadrun/internal/msgpack"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// connection is one client's connection.
type connection struct {
	server       *Server
	conn         *transport.Conn
	received     transport.ReceiveBuffer
	open         []openRequest
	sawMessage   bool      // a whole message, in what has just come
	following    []byte    // what has come behind the message that is being read
	decoding     bool      // messages are being read
	lastNumber   uint64    // number given to a request
	lastUsed     time.Time // last request
	waitingSince time.Time // it owes the rest of a request since, or its first; zero: it owes none
	lastProgress time.Time // last time that the client read, or had nothing to read
	lastSent     int64

	clientDone  bool      // the client has ended its sending with what is being read
	lastAnswer  time.Time // last answer
	closeReason error     // what the connection ends for once nothing is owed on it; nothing is read on it any more
}

// settled tells whether nothing is owed on the connection and the last answer has had time to arrive: ending it sooner could meet
// bytes that lie unread with a reset, which takes what is still on its way along.
func (c *connection) settled(now time.Time) bool {
	return len(c.open) == 0 && c.unread() == 0 && now.Sub(c.lastAnswer) >= arrivalTime
}

func (c *connection) unread() int { return int(c.conn.Queued() - c.conn.Sent()) }

type openRequest struct {
	id        uint64 // the client's; it may come again once it is answered
	number    uint64 // ours, never the same twice on a connection
	request   routing.RequestID
	bodyBytes int // bytes that are held for it
}

// Data takes requests, whole ones in place.
func (c *connection) Data(b []byte) error {
	if c.closeReason != nil {
		return nil
	}
	c.server.unfinishedBytes -= c.received.Len()
	err := c.decode(b)
	if err != nil {
		c.received.Release(c.server.engine)
	}
	c.server.unfinishedBytes += c.received.Len()
	if err != nil && !c.settled(c.lastUsed) { // what was read before still gets its answer
		c.closeReason = err
		return nil
	}
	return err
}

func (c *connection) decode(b []byte) error {
	c.lastUsed, c.sawMessage = c.server.engine.Now(), false
	c.clientDone = c.conn.AtEOF()
	c.decoding = true
	err := c.received.Decode(c.server.engine, b, c)
	c.decoding = false
	if err != nil {
		return err
	}
	switch { // bytes alone buy no time: wards off clients that say a request drop by drop
	case c.received.Len() == 0:
		c.waitingSince = time.Time{}
	case c.sawMessage || c.waitingSince.IsZero():
		c.waitingSince = c.lastUsed
	}
	if n := c.received.Len(); n > freeRequestBytes && c.server.unfinishedBytes+n > c.server.room { // wards off a flood of halves of large requests
		return errUnfinishedBytes
	}
	return nil
}

// Next reads the message that b begins with.
func (c *connection) Next(b []byte) (int, error) {
	n, err := msgpack.Size(b, maxMessage)
	if errors.Is(err, msgpack.ErrShort) && len(b) < maxMessage {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.sawMessage, c.following = true, b[n:]
	err = c.handleMessage(b[:n])
	c.following = nil
	return n, err
}

func (c *connection) handleMessage(b []byte) error {
	r := msgpack.Read(b)
	n := r.Array()
	kind := r.Uint()
	switch {
	case r.Err() != nil:
		return errNotRPC
	case kind == kindNotification && n == 3:
		again := msgpack.Read(b)
		if id, ok := readCancellation(&again); ok {
			c.cancelRequest(id)
		}
		return nil // other notifications are nobody's
	case kind != kindRequest || n != 4:
		return errNotRPC
	}
	id := r.Uint()
	if r.Err() != nil {
		return errNotRPC
	}
	for i := range c.open { // wards off two answers that the client can't tell apart
		if c.open[i].id == id {
			return errDuplicateID
		}
	}
	method := r.Bytes()
	if r.Err() != nil {
		c.sendBadRequest(id, errUnknownMethod)
		return nil
	}
	if string(method) == "probe" {
		c.sendReady(id)
		return nil
	}
	if c.server.handler.Stalled() && c.cancellationPending(id) {
		return nil // nothing is owed any more
	}
	if c.clientDone { // none of it has gone anywhere, and no attempt may begin for a client that may be gone
		c.sendError(id, "Shed", "why", "")
		return nil
	}
	ask := &c.server.request
	*ask = Request{}
	err := c.readRequest(&r, method, ask)
	if err == nil && len(c.open) >= maxOpenRequests {
		err = errTooManyRequests
	}
	if err != nil {
		c.sendBadRequest(id, err)
		return nil
	}
	if n := len(ask.Body); n > 0 && c.server.bodyBytes+n > c.server.room { // wards off a flood of writes that fills the memory
		c.sendError(id, "Shed", "why", "") // none of it has gone anywhere
		return nil
	}
	c.lastNumber++
	c.open = append(c.open, openRequest{id: id, number: c.lastNumber, bodyBytes: len(ask.Body)})
	c.server.openRequests++
	c.server.bodyBytes += len(ask.Body)
	if !c.server.handler.Arrive(c, c.lastNumber, ask) {
		c.removeOpen(len(c.open) - 1)
		c.sendBadRequest(id, errDuplicateTraceID)
	}
	return nil
}

// Canceled tells whether the client has cancelled a request, or closed its connection, in what was not read yet.
func (c *connection) Canceled(no uint64) bool {
	for i := range c.open {
		if c.open[i].number == no {
			return c.cancellationPending(c.open[i].id)
		}
	}
	return false
}

// cancellationPending looks at what lies unread for a cancellation of a request, or the connection's end.
func (c *connection) cancellationPending(id uint64) bool {
	f := c.server
	if f.peekBuffer == nil {
		f.peekBuffer = make([]byte, maxPeek)
	}
	n, ended := c.conn.Peek(f.peekBuffer)
	before := c.received.Bytes()
	if c.decoding {
		before = c.following
	}
	if len(before) == 0 {
		return ended || containsCancellation(f.peekBuffer[:n], id)
	}
	return ended || containsCancellation(append(append([]byte(nil), before...), f.peekBuffer[:n]...), id)
}

// containsCancellation tells whether one of the whole messages in b cancels a request.
func containsCancellation(b []byte, id uint64) bool {
	for len(b) > 0 {
		n, err := msgpack.Size(b, maxMessage)
		if err != nil || n == 0 {
			return false
		}
		r := msgpack.Read(b[:n])
		if of, ok := readCancellation(&r); ok && of == id {
			return true
		}
		b = b[n:]
	}
	return false
}

// readCancellation reads a message that cancels a request.
func readCancellation(r *msgpack.Reader) (id uint64, ok bool) {
	if r.Array() != 3 || r.Uint() != kindNotification || string(r.Bytes()) != "giveUp" || r.Array() < 1 {
		return 0, false
	}
	id = r.Uint()
	return id, r.Err() == nil
}

// cancelRequest ends what is owed for one request.
func (c *connection) cancelRequest(id uint64) {
	for i := range c.open {
		if c.open[i].id == id {
			v := c.open[i].request
			c.removeOpen(i)
			c.server.handler.ClientLeft(v)
			return
		}
	}
}

// Closed ends what is owed on a connection that is gone.
func (c *connection) Closed(err error) {
	delete(c.server.connections, c)
	c.server.unfinishedBytes -= c.received.Len()
	c.received.Release(c.server.engine)
	if !errors.Is(err, errIdle) && !errors.Is(err, errEvicted) && transport.IsLocalError(err) {
		c.server.logClosed(c, err)
	}
	open := c.open
	c.open = nil
	c.server.openRequests -= len(open)
	for _, o := range open {
		c.server.bodyBytes -= o.bodyBytes
		c.server.handler.ClientLeft(o.request)
	}
}

// Assigned ties the router's name for a request to its request.
func (c *connection) Assigned(no uint64, v routing.RequestID) {
	for i := range c.open {
		if c.open[i].number == no {
			c.open[i].request = v
		}
	}
}

func (c *connection) removeOpen(i int) {
	c.server.bodyBytes -= c.open[i].bodyBytes
	c.open[i] = c.open[len(c.open)-1]
	c.open = c.open[:len(c.open)-1]
	c.server.openRequests--
}
