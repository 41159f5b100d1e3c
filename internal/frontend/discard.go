package frontend

import "threadrun/internal/msgpack"

// discardedMessage is a message that has arrived in part and whose bytes are not stored, because the incomplete
// requests of all clients exceeded Limits.ClientBytes. The rest is skipped as it arrives. Then a request is rejected,
// so that it gets its answer, and the messages behind it are handled as usual.
type discardedMessage struct {
	rest      msgpack.Skipper
	isRequest bool
	id        uint64 // the client's id of a request
	bytes     int    // number of bytes that have arrived
}

// limitIncompleteBytes discards the largest incomplete messages until the stored bytes of all are within
// Limits.ClientBytes. Those of up to maxSmallRequest bytes are kept. So a flood of large messages does not fill the
// memory, and those who send them go without before others do.
func (s *Server) limitIncompleteBytes() {
	for s.incompleteBytes > s.limits.ClientBytes {
		c := s.largestIncomplete()
		if c == nil {
			return
		}
		s.logMemoryLimit()
		s.incompleteBytes -= c.received.Len()
		err := c.discardIncomplete()
		c.received.Release(s.engine)
		if err == nil {
			continue
		}
		if err = c.closeWhenAnswered(err); err != nil {
			c.conn.Fail(err)
		}
	}
}

// largestIncomplete returns the connection that stores the most bytes of an incomplete message, and more than
// maxSmallRequest, or nil if there is none. Among connections with as many bytes it is the last that was accepted.
func (s *Server) largestIncomplete() *connection {
	var largest *connection
	for c := range s.connections {
		size := c.received.Len()
		if size <= maxSmallRequest {
			continue
		}
		if largest == nil || size > largest.received.Len() ||
			size == largest.received.Len() && c.serial > largest.serial {
			largest = c
		}
	}
	return largest
}

// discardIncomplete begins to discard the message of which a part is stored, which the caller must release. The part
// must contain the message's kind and id. An error means that the message is invalid.
func (c *connection) discardIncomplete() error {
	stored := c.received.Bytes()
	r := msgpack.Read(stored)
	kind, err := readKind(&r)
	if err != nil {
		return err
	}
	message := &discardedMessage{
		rest:      msgpack.NewSkipper(maxMessage),
		isRequest: kind == kindRequest,
		bytes:     len(stored),
	}
	if message.isRequest {
		message.id = r.Uint()
	}
	if r.Err() != nil {
		return errNotRPC
	}
	if _, _, err := message.rest.Skip(stored); err != nil {
		return err
	}
	c.bytesDecoded(len(stored), c.server.engine.Now())
	c.discarded = message
	return nil
}

// skipDiscarded skips the rest of the discarded message, if there is one, and returns the bytes after it. A request
// that is complete is rejected.
func (c *connection) skipDiscarded(b []byte) (following []byte, err error) {
	if c.discarded == nil {
		return b, nil
	}
	n, complete, err := c.discarded.rest.Skip(b)
	if err != nil {
		return nil, err
	}
	c.bytesDecoded(n, c.lastActive)
	c.discarded.bytes += n
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

// afterDiscarded returns the part of unread bytes that follows the discarded message.
func (c *connection) afterDiscarded(unread []byte) []byte {
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

// logMemoryLimit logs that a message is about to be discarded, once each time the limit is reached.
func (s *Server) logMemoryLimit() {
	if s.atMemoryLimit {
		return
	}
	s.atMemoryLimit = true
	s.log.WithField("bytes", s.incompleteBytes).Warn("incomplete requests reached the memory limit, rejecting large ones")
}
