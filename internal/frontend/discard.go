package frontend

import "threadrun/internal/msgpack"

// discardedMessage is a message that has arrived in part and whose bytes are not stored, because the incomplete
// requests of all clients exceed Limits.ClientBytes. The rest is skipped as it arrives. Then a request is rejected, so
// that it gets its answer, and the messages behind it are handled as usual.
type discardedMessage struct {
	rest      msgpack.Skipper
	isRequest bool
	id        uint64 // the client's id of a request
}

// discardIncomplete replaces the stored part of an incomplete message by a discardedMessage. The part must contain the
// message's kind and id. An error means that the connection must be closed.
func (c *connection) discardIncomplete() error {
	stored := c.received.Bytes()
	r := msgpack.Read(stored)
	kind, err := readKind(&r)
	if err != nil {
		return err
	}
	message := &discardedMessage{rest: msgpack.NewSkipper(maxMessage), isRequest: kind == kindRequest}
	if message.isRequest {
		message.id = r.Uint()
	}
	if r.Err() != nil {
		return errNotRPC
	}
	if _, _, err := message.rest.Skip(stored); err != nil {
		return err
	}
	c.backlog.bytesDecoded(len(stored), c.lastActive)
	c.received.Release(c.server.engine)
	c.discarded = message
	c.server.memoryLimitReached()
	return nil
}

// skipDiscarded skips the rest of the discarded message, if there is one, and returns the bytes behind it. A request
// that is complete is rejected.
func (c *connection) skipDiscarded(b []byte) (behind []byte, err error) {
	if c.discarded == nil {
		return b, nil
	}
	n, complete, err := c.discarded.rest.Skip(b)
	if err != nil {
		return nil, err
	}
	c.backlog.bytesDecoded(n, c.lastActive)
	if !complete {
		return nil, nil
	}
	message := c.discarded
	c.discarded = nil
	c.sawMessage = true
	if !message.isRequest {
		return b[n:], nil
	}
	if c.hasOpenRequest(message.id) {
		return nil, errDuplicateID
	}
	c.backlog.requestRead()
	c.sendRejected(message.id)
	return b[n:], nil
}

// behindDiscarded returns the part of unread bytes that follows the discarded message.
func (c *connection) behindDiscarded(unread []byte) []byte {
	if c.discarded == nil {
		return unread
	}
	rest := c.discarded.rest // a copy: the bytes are skipped when they are read
	n, complete, err := rest.Skip(unread)
	if err != nil || !complete {
		return nil
	}
	return unread[n:]
}

// partlyReceived reports whether a message has arrived in part, stored or discarded.
func (c *connection) partlyReceived() bool { return c.received.Len() > 0 || c.discarded != nil }

// memoryLimitReached records that a message was discarded, and logs it once each time the limit is reached.
func (s *Server) memoryLimitReached() {
	if s.atMemoryLimit {
		return
	}
	s.atMemoryLimit = true
	s.log.WithField("bytes", s.incompleteBytes).Warn("incomplete requests reached the memory limit, rejecting large ones")
}
