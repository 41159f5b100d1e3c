package frontend

import "threadrun/internal/msgpack"

const maxPeek = 1 << 16 // bytes

// Canceled reports whether the client has canceled a request, or closed its connection, in what was not read yet.
func (c *connection) Canceled(number RequestNumber) bool {
	for i := range c.open {
		if c.open[i].number == number {
			return c.cancellationPending(c.open[i].id)
		}
	}
	return false
}

// cancellationPending searches the unread bytes for a cancellation of a request, or the connection's end.
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
	before := c.received.Bytes()
	if c.decoding {
		before = c.following
	}
	if len(before) == 0 {
		return containsCancellation(peeked, id)
	}
	unread := make([]byte, 0, len(before)+len(peeked))
	unread = append(unread, before...)
	unread = append(unread, peeked...)
	return containsCancellation(unread, id)
}

// containsCancellation reports whether one of the whole messages in b cancels a request.
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

// readCancellation reads a message that cancels a request.
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
