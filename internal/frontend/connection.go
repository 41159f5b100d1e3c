package frontend

import (
	"errors"
	"time"

	"threadrun/internal/msgpack"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// connection is the connection of a client. It implements transport.Handler for the bytes that arrive, and Client for
// the answers. It is guarded by the engine's lock.
type connection struct {
	server       *Server
	conn         *transport.Conn
	serial       uint64 // number of the connection, in the order in which they were accepted
	received     transport.ReceiveBuffer
	discarded    *discardedMessage // the message being received, if its bytes are not stored; nil: none
	backlog      backlog
	search       cancellationSearch // reset when the backlog ends
	decodedBytes int64              // number of received bytes that were decoded, or skipped in a discarded message
	openRequests []openRequest
	lastNumber   RequestNumber // number that was last assigned to a request

	// State that is used while bytes are decoded.
	decoding         bool
	sawMessage       bool          // the bytes being decoded contained a complete message
	undecoded        []byte        // the bytes after the message being handled
	unhandled        int           // number of bytes passed to Data and not yet to the decoder: see beginBacklog
	unreadFor        time.Duration // longest time for which the message being handled can have been unread
	waitedFor        time.Duration // longest time for which it can have waited behind other unread bytes
	clientHalfClosed bool          // the client has closed its sending side, perhaps behind further unread bytes

	unreadSince          time.Time // since when there have been unread bytes behind each read; zero: there are none
	readSince            int       // number of requests read since unreadSince
	lastActive           time.Time // when bytes last arrived, or the connection was accepted
	hasReceived          bool      // bytes have arrived
	awaitingRequestSince time.Time // since when the rest of a request, or the first request, is awaited; zero: not awaited
	lastProgress         time.Time // when Tick last found that the client had read something, or had nothing to read
	sentAtProgress       int64     // number of sent bytes that the kernel had accepted at lastProgress
	lastAnswer           time.Time // when the last answer was sent
	writeClosed          bool      // the sending side is closed, and received bytes are dropped: see CloseIdle
	closeReason          error     // if set: close for this reason as soon as safeToClose; received bytes are dropped
}

// openRequest is a request that has not been answered yet.
type openRequest struct {
	id        uint64            // the client's id, which the client may reuse after the answer
	number    RequestNumber     // the server's number, unique on the connection
	request   routing.RequestID // the router's id, set by IDAssigned
	bodyBytes int               // size of the stored body
}

// maxSmallRequest is a size in bytes that no request without a body exceeds. Incomplete requests up to this size are
// stored even if Limits.ClientBytes is exceeded; larger ones are discarded then: see limitIncompleteBytes.
const maxSmallRequest = 4096

// answerTransitTime is how long a connection stays open after the last answer, so that the answer can arrive.
const answerTransitTime = 100 * time.Millisecond

// safeToClose reports whether no request is open and the last answer has had time to arrive. Closing earlier could
// destroy an answer in transit, because the kernel sends a TCP reset if there are unread bytes.
func (c *connection) safeToClose(now time.Time) bool {
	return c.idle() && now.Sub(c.lastAnswer) >= answerTransitTime
}

// idle reports whether no request is open and the kernel has accepted all answers.
func (c *connection) idle() bool { return len(c.openRequests) == 0 && c.unsentBytes() == 0 }

// unsentBytes returns the number of bytes of answers that the kernel has not accepted. The number grows while answers
// are sent and the client does not read.
func (c *connection) unsentBytes() int { return int(c.conn.Enqueued() - c.conn.Sent()) }

// Data implements transport.Handler. It handles the complete messages in the received bytes in place, and stores the
// rest. After an error, for example an invalid message, all further bytes are dropped, and the connection is closed as
// soon as the requests that were read earlier have been answered.
func (c *connection) Data(b []byte) error {
	if c.closeReason != nil || c.writeClosed {
		return nil
	}
	c.unhandled = len(b)
	c.server.handler.DetectStall()
	c.unhandled = 0
	c.server.incompleteBytes -= c.received.Len()
	err := c.decode(b)
	if err != nil {
		c.received.Release(c.server.engine)
		c.discarded = nil
	}
	c.server.incompleteBytes += c.received.Len()
	if err != nil {
		return c.closeWhenAnswered(err)
	}
	c.server.limitIncompleteBytes()
	return nil
}

// closeWhenAnswered returns the reason if the connection is to be closed at once. Otherwise it makes the connection
// drop all further bytes and close later: requests that were read earlier still get their answers.
func (c *connection) closeWhenAnswered(reason error) error {
	if c.safeToClose(c.lastActive) {
		return reason
	}
	c.closeReason = reason
	return nil
}

// decode decodes received bytes, and returns an error if the connection must be closed. It updates
// awaitingRequestSince.
func (c *connection) decode(b []byte) error {
	c.lookAhead()
	c.lastActive = c.server.engine.Now()
	c.hasReceived = true
	c.backlog.bytesArrived(c.lastActive, !c.partlyReceived())
	c.sawMessage = false
	c.decoding = true
	c.server.gathered = c.server.gathered[:0]
	err := c.decodeMessages(b)
	c.decoding = false
	c.sendGathered()
	if err != nil {
		return err
	}
	switch { // only a complete message restarts the time: otherwise a client could send one byte at a time forever
	case !c.partlyReceived():
		c.awaitingRequestSince = time.Time{}
	case c.sawMessage || c.awaitingRequestSince.IsZero():
		c.awaitingRequestSince = c.lastActive
	}
	return nil
}

// lookAhead updates what is known of the bytes behind those that are about to be decoded.
func (c *connection) lookAhead() {
	now := c.server.engine.Now()
	c.waitedFor = 0
	if !c.unreadSince.IsZero() {
		c.waitedFor = now.Sub(c.unreadSince)
	}
	var unread bool
	unread, c.clientHalfClosed = c.conn.LookAhead()
	c.noteUnread(unread, now)
}

// noteUnread updates unreadSince, given whether there are unread bytes behind those that are about to be decoded.
func (c *connection) noteUnread(unread bool, now time.Time) {
	switch {
	case !unread:
		c.unreadSince = time.Time{}
		c.readSince = 0
	case !c.hasReceived:
		c.unreadSince = c.lastActive // since it was accepted
	case c.unreadSince.IsZero():
		c.unreadSince = now
	}
}

// decodeMessages handles the complete messages in the stored bytes followed by b, and stores or skips the rest.
func (c *connection) decodeMessages(b []byte) error {
	b, err := c.skipDiscarded(b)
	if err != nil {
		return err
	}
	return c.received.Decode(c.server.engine, b, c)
}

// Next implements transport.Decoder. It handles the message at the start of b, and returns its size, or 0 if it is
// incomplete.
func (c *connection) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, maxMessage)
	if errors.Is(err, msgpack.ErrIncomplete) && len(b) < maxMessage {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.sawMessage = true
	c.undecoded = b[size:]
	c.unreadFor = c.bytesDecoded(size, c.lastActive)
	err = c.handleMessage(b[:size])
	c.undecoded = nil
	return size, err
}

// Closed implements transport.Handler. It releases the memory of the connection, and calls Handler.ClientLeft for each
// open request.
func (c *connection) Closed(err error) {
	s := c.server
	delete(s.connections, c)
	s.incompleteBytes -= c.received.Len()
	c.received.Release(s.engine)
	expected := errors.Is(err, errIdle) || errors.Is(err, errEvicted)
	if !expected && transport.IsLocalError(err) {
		s.logClosed(c, err)
	}
	open := c.openRequests
	c.openRequests = nil
	s.openRequestCount -= len(open)
	for _, o := range open {
		s.bodyBytes -= o.bodyBytes
		s.handler.ClientLeft(o.request)
	}
}

// IDAssigned implements Client. It stores the router's id of a request, which is passed to Handler.ClientLeft if the
// client leaves.
func (c *connection) IDAssigned(number RequestNumber, id routing.RequestID) {
	for i := range c.openRequests {
		if c.openRequests[i].number == number {
			c.openRequests[i].request = id
		}
	}
}

// addRequest adds an open request, which must later be answered or removed, and returns its number.
func (c *connection) addRequest(id uint64, request *Request) RequestNumber {
	c.lastNumber++
	c.openRequests = append(c.openRequests, openRequest{id: id, number: c.lastNumber, bodyBytes: len(request.Body)})
	c.server.openRequestCount++
	c.server.bodyBytes += len(request.Body)
	return c.lastNumber
}

// removeRequest removes the open request at index i. It changes the order of the others.
func (c *connection) removeRequest(i int) {
	c.server.bodyBytes -= c.openRequests[i].bodyBytes
	last := len(c.openRequests) - 1
	c.openRequests[i] = c.openRequests[last]
	c.openRequests = c.openRequests[:last]
	c.server.openRequestCount--
}

// popRequest removes the open request with a number and returns the client's id for it. found is false if the request
// is not open, because it was answered or canceled.
func (c *connection) popRequest(number RequestNumber) (id uint64, found bool) {
	for i := range c.openRequests {
		if c.openRequests[i].number == number {
			id = c.openRequests[i].id
			c.removeRequest(i)
			return id, true
		}
	}
	return 0, false
}
