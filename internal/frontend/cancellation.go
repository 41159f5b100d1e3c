package frontend

import "threadrun/internal/msgpack"

const maxPeek = 1 << 16 // number of unread bytes that are searched for a cancellation

// Canceled reports whether the bytes not read yet show that the client has canceled a request or closed its
// connection.
func (c *connection) Canceled(number RequestNumber) bool {
	for i := range c.openRequests {
		if c.openRequests[i].number == number {
			return c.cancellationPending(c.openRequests[i].id)
		}
	}
	return false
}

// cancellationPending searches the unread bytes for the cancellation of a request, or for the end of the
// connection.
func (c *connection) cancellationPending(id uint64) bool {
	s := c.server
	if s.peekBuffer == nil {
		s.peekBuffer = make([]byte, maxPeek)
	}
	n, ended := c.conn.Peek(s.peekBuffer)
	if ended {
		return true
	}
	peeked := s.peekBuffer[:n]
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

// containsCancellation reports whether one of the complete messages in b cancels a request.
func containsCancellation(b []byte, id uint64) bool {
	for len(b) > 0 {
		size, err := msgpack.Size(b, maxMessage)
		if err != nil || size == 0 {
			return false
		}
		r := msgpack.Read(b[:size])
		if canceled, ok := readCancellation(&r); ok && canceled == id {
			return true
		}
		b = b[size:]
	}
	return false
}

// readCancellation returns the id of the request that a message cancels, or false if the message is no
// cancellation.
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
