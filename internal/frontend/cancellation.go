package frontend

import "threadrun/internal/msgpack"

const maxPeek = 1 << 16 // maximum number of unread bytes that are searched for a cancellation

// State implements Client. Outside of a backlog it does not search the unread bytes, which are about to be read.
func (c *connection) State(number RequestNumber) ClientState {
	if !c.backlog.active() {
		return ClientWaits
	}
	for i := range c.openRequests {
		if c.openRequests[i].number == number {
			return c.clientState(c.openRequests[i].id, c.server.engine.Now().Sub(c.backlog.stallStart))
		}
	}
	return ClientWaits
}

// cancellationPending reports whether the bytes that are not decoded yet contain the cancellation of a request, or
// whether the end of the connection follows them.
func (c *connection) cancellationPending(id uint64) bool {
	s := c.server
	n, ended := c.conn.Peek(s.ensurePeekBuffer())
	if ended {
		return true
	}
	peeked := c.afterDiscarded(s.peekBuffer[:n])
	buffered := c.received.Bytes()
	if c.decoding {
		buffered = c.undecoded
	}
	if len(buffered) == 0 {
		return containsCancellation(peeked, id)
	}
	unread := make([]byte, 0, len(buffered)+len(peeked))
	unread = append(unread, buffered...)
	unread = append(unread, peeked...)
	return containsCancellation(unread, id)
}

// ensurePeekBuffer returns peekBuffer. It allocates the buffer on first use, which is after the first stall.
func (s *Server) ensurePeekBuffer() []byte {
	if s.peekBuffer == nil {
		s.peekBuffer = make([]byte, maxPeek)
	}
	return s.peekBuffer
}

// containsCancellation reports whether one of the complete messages at the start of b cancels the request with the id.
func containsCancellation(b []byte, id uint64) bool {
	for len(b) > 0 {
		size, err := msgpack.Size(b, maxMessage)
		if err != nil || size == 0 {
			return false
		}
		r := msgpack.Read(b[:size])
		if canceledID, ok := readCancellation(&r); ok && canceledID == id {
			return true
		}
		b = b[size:]
	}
	return false
}

// readCancellation returns the id of the request that a message cancels, or false if the message is not a cancellation.
func readCancellation(r *msgpack.Reader) (id uint64, ok bool) {
	if r.Array() != notificationLength || r.Uint() != kindNotification {
		return 0, false
	}
	if string(r.Bytes()) != methodCancel || r.Array() < 1 {
		return 0, false
	}
	id = r.Uint()
	return id, r.Err() == nil
}
