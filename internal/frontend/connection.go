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
	server     *Server
	conn       *transport.Conn
	received   transport.ReceiveBuffer
	open       []openRequest
	lastNumber RequestNumber // given to a request

	// While bytes are decoded.
	decoding   bool
	sawMessage bool   // a whole one, in the bytes that have just come
	following  []byte // bytes after the message that is being read
	clientDone bool   // the client has ended its sending with what is being read

	lastUsed     time.Time // the last bytes that came
	waitingSince time.Time // for the rest of a request, or for the first one; zero: not waiting
	lastProgress time.Time // last time that the client read, or had nothing to read
	lastSent     int64     // bytes the kernel had taken by then
	lastAnswer   time.Time
	closeReason  error // the connection is to end once nothing is open on it; nothing is read on it any more
}

// openRequest is a request that has no answer yet.
type openRequest struct {
	id        uint64        // the client's; it may come again once it is answered
	number    RequestNumber // the server's, never the same twice on a connection
	request   routing.RequestID
	bodyBytes int // held for it
}

// smallRequest is a size in bytes that no request without a body reaches. Unfinished requests up to it are always
// held.
const smallRequest = 4096

// arrivalTime is the time that an answer is given to arrive before its connection is closed.
const arrivalTime = 100 * time.Millisecond

// settled reports whether nothing is open on the connection and the last answer has had time to arrive. Closing
// earlier could destroy an answer on its way: the kernel sends a TCP reset if there are unread bytes.
func (c *connection) settled(now time.Time) bool {
	return c.idle() && now.Sub(c.lastAnswer) >= arrivalTime
}

// idle reports whether nothing is open and all answers are with the kernel.
func (c *connection) idle() bool { return len(c.open) == 0 && c.unread() == 0 }

// unread is the bytes of answers that the kernel has not taken.
func (c *connection) unread() int { return int(c.conn.Queued() - c.conn.Sent()) }

// Data reads the whole messages in what has come, in place, and keeps the rest.
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
	c.lastUsed = c.server.engine.Now()
	c.sawMessage = false
	c.clientDone = c.conn.AtEOF()
	c.decoding = true
	err := c.received.Decode(c.server.engine, b, c)
	c.decoding = false
	if err != nil {
		return err
	}
	unfinished := c.received.Len()
	switch { // only a whole message extends the time: otherwise a client could send a request byte by byte for ever
	case unfinished == 0:
		c.waitingSince = time.Time{}
	case c.sawMessage || c.waitingSince.IsZero():
		c.waitingSince = c.lastUsed
	}
	if unfinished > smallRequest && c.server.unfinishedBytes+unfinished > c.server.limits.ClientBytes {
		return errUnfinishedBytes // a flood of unfinished large requests would fill the memory
	}
	return nil
}

// Next reads the message that b begins with.
func (c *connection) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, maxMessage)
	if errors.Is(err, msgpack.ErrIncomplete) && len(b) < maxMessage {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.sawMessage = true
	c.following = b[size:]
	err = c.handleMessage(b[:size])
	c.following = nil
	return size, err
}

// Closed ends what is open on a connection that is gone.
func (c *connection) Closed(err error) {
	s := c.server
	delete(s.connections, c)
	s.unfinishedBytes -= c.received.Len()
	c.received.Release(s.engine)
	expected := errors.Is(err, errIdle) || errors.Is(err, errEvicted)
	if !expected && transport.IsLocalError(err) {
		s.logClosed(c, err)
	}
	open := c.open
	c.open = nil
	s.openRequests -= len(open)
	for _, o := range open {
		s.bodyBytes -= o.bodyBytes
		s.handler.ClientLeft(o.request)
	}
}

// Assigned notes the router's id for a request.
func (c *connection) Assigned(number RequestNumber, id routing.RequestID) {
	for i := range c.open {
		if c.open[i].number == number {
			c.open[i].request = id
		}
	}
}

// addOpen adds a request whose answer is owed from now on, and gives it its number.
func (c *connection) addOpen(id uint64, request *Request) RequestNumber {
	c.lastNumber++
	c.open = append(c.open, openRequest{id: id, number: c.lastNumber, bodyBytes: len(request.Body)})
	c.server.openRequests++
	c.server.bodyBytes += len(request.Body)
	return c.lastNumber
}

// removeOpen removes an open request.
func (c *connection) removeOpen(i int) {
	c.server.bodyBytes -= c.open[i].bodyBytes
	last := len(c.open) - 1
	c.open[i] = c.open[last]
	c.open = c.open[:last]
	c.server.openRequests--
}

// takeOpen removes an open request and gives the client's id of it.
func (c *connection) takeOpen(number RequestNumber) (id uint64, found bool) {
	for i := range c.open {
		if c.open[i].number == number {
			id = c.open[i].id
			c.removeOpen(i)
			return id, true
		}
	}
	return 0, false
}
