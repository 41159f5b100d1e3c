package frontend

import (
	"threadrun/internal/clock"
	"threadrun/internal/msgpack"
)

// handleMessage handles one complete message. If it returns an error, the connection must be closed.
func (c *connection) handleMessage(message []byte) error {
	r := msgpack.Read(message)
	kind, err := readKind(&r)
	switch {
	case err != nil:
		return err
	case kind == kindNotification:
		c.handleNotification(message)
		return nil
	}
	return c.handleRequest(&r)
}

// readKind reads the start of a message: kindRequest or kindNotification, and the length that goes with it. Anything
// else is an error.
func readKind(r *msgpack.Reader) (kind uint64, err error) {
	length := r.Array()
	kind = r.Uint()
	isRequest := kind == kindRequest && length == requestLength
	isNotification := kind == kindNotification && length == notificationLength
	if r.Err() != nil || !isRequest && !isNotification {
		return 0, errNotRPC
	}
	return kind, nil
}

// handleNotification handles a cancellation. It ignores other notifications, and cancellations of requests that are
// not open, since the answer may have crossed the cancellation.
func (c *connection) handleNotification(message []byte) {
	r := msgpack.Read(message)
	id, ok := readCancellation(&r)
	if !ok {
		return
	}
	c.backlog.cancellationRead()
	for i := range c.openRequests {
		if c.openRequests[i].id == id {
			request := c.openRequests[i].request
			c.removeRequest(i)
			c.server.handler.ClientLeft(request)
			return
		}
	}
}

// handleRequest handles a request, whose id is the next value of r. It returns an error if the connection must be
// closed. Any other invalid request is answered with the reason for refusing it.
func (c *connection) handleRequest(r *msgpack.Reader) error {
	id := r.Uint()
	if r.Err() != nil {
		return errNotRPC
	}
	if c.hasOpenRequest(id) { // the client could not tell the answers to the two requests apart
		return errDuplicateID
	}
	method := r.Bytes()
	if r.Err() != nil {
		c.sendBadRequest(id, errUnknownMethod)
		return nil
	}
	if string(method) == methodProbe {
		c.sendReady(id)
		return nil
	}
	if !c.unreadSince.IsZero() {
		c.readSince++
	}
	if c.backlog.requestRead() {
		c.unreadFor = 0
	}
	if c.server.draining || c.clientHalfClosed { // the client may have disconnected, so no attempt may begin
		c.sendRejected(id)
		return nil
	}
	switch c.clientState(id, c.unreadFor) {
	case ClientWaits:
	case ClientGone: // no answer: the cancellation or the end of the connection is read next
		return nil
	case ClientUnknown: // the client may have left long ago, so no attempt may begin
		c.sendRejected(id)
		return nil
	}
	c.admit(id, method, r)
	return nil
}

// hasOpenRequest reports whether the client has an open request with the id.
func (c *connection) hasOpenRequest(id uint64) bool {
	for i := range c.openRequests {
		if c.openRequests[i].id == id {
			return true
		}
	}
	return false
}

// admit reads the rest of a request and passes it to the Handler, or answers with the reason for refusing it. The
// Request struct is reused for the next request, so the Handler copies what it keeps.
func (c *connection) admit(id uint64, method []byte, r *msgpack.Reader) {
	s := c.server
	request := &s.request
	*request = Request{UnreadFor: clock.FromDuration(max(c.unreadFor, c.waitedFor))}
	err := c.readRequest(r, method, request)
	if err == nil && len(c.openRequests) >= maxOpenRequests {
		err = errTooManyRequests
	}
	if err != nil {
		c.sendBadRequest(id, err)
		return
	}
	size := len(request.Body)
	if size > 0 && s.bodyBytes+size > s.limits.ClientBytes { // a flood of writes would fill the memory
		c.sendRejected(id)
		return
	}
	number := c.addRequest(id, request)
	if !s.handler.StartRequest(c, number, request) {
		c.removeRequest(len(c.openRequests) - 1)
		c.sendBadRequest(id, errDuplicateTraceID)
	}
}
