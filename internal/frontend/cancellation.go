package frontend

import (
	"time"

	"threadrun/internal/msgpack"
)

const maxPeek = 1 << 16 // maximum number of bytes that are peeked at for a search

// State implements Client. Outside of a backlog it does not search the unread bytes, which are about to be read.
func (c *connection) State(number RequestNumber) ClientState {
	if c.fallenBehind(c.server.engine.Now()) {
		return ClientUnknown
	}
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

// peekInterval is how old the result of a search may be: a cancellation that arrives later is found up to this time
// after its arrival.
const peekInterval = 10 * time.Millisecond

// cancellationSearch is what a search of a connection's undecoded bytes has found. A later search continues where it
// ended, so that each byte is searched once, however many requests are looked up. Offsets count the bytes received on
// the connection.
type cancellationSearch struct {
	searchedAt time.Time
	end        int64            // offset of the first byte that was not searched
	canceled   map[uint64]int64 // offset behind the last cancellation found, by the id of the request that it cancels
	ended      bool             // the end of the connection follows
}

// cancellationPending reports whether the bytes that are not decoded yet contain the cancellation of a request, or
// whether the end of the connection follows them.
func (c *connection) cancellationPending(id uint64) bool {
	now := c.server.engine.Now()
	search := &c.search
	if search.end <= c.decodedBytes || now.Sub(search.searchedAt) >= peekInterval {
		c.searchUndecoded(now)
	}
	return search.ended || search.canceled[id] > c.decodedBytes
}

// searchUndecoded searches the undecoded bytes from where the last search ended.
func (c *connection) searchUndecoded(now time.Time) {
	s, search := c.server, &c.search
	buffered := c.received.Bytes()
	if c.decoding {
		buffered = c.undecoded
	}
	undecoded := s.ensureSearchBuffer(len(buffered))
	size := copy(undecoded, buffered)
	n, _ := c.conn.Peek(undecoded[size : size+maxPeek])
	undecoded = c.afterDiscarded(undecoded[:size+n])
	begin := c.decodedBytes + int64(size+n-len(undecoded))
	search.searchedAt = now
	_, search.ended = c.conn.LookAhead()
	search.forgetDecoded(c.decodedBytes)
	if skip := search.end - begin; skip > 0 {
		undecoded = undecoded[min(skip, int64(len(undecoded))):]
		begin = search.end
	}
	search.advance(undecoded, begin)
	s.searchedBytes += search.end - begin
}

// advance searches the complete messages at the start of b, which begins at an offset.
func (search *cancellationSearch) advance(b []byte, offset int64) {
	search.end = offset
	for len(b) > 0 {
		size, err := msgpack.Size(b, maxMessage)
		if err != nil || size == 0 {
			return
		}
		search.end += int64(size)
		r := msgpack.Read(b[:size])
		if id, ok := readCancellation(&r); ok {
			search.add(id)
		}
		b = b[size:]
	}
}

// add records that a cancellation ends where the search has arrived.
func (search *cancellationSearch) add(id uint64) {
	if search.canceled == nil {
		search.canceled = map[uint64]int64{}
	}
	search.canceled[id] = search.end
}

// forgetDecoded removes the cancellations that have been decoded.
func (search *cancellationSearch) forgetDecoded(decodedBytes int64) {
	for id, end := range search.canceled {
		if end <= decodedBytes {
			delete(search.canceled, id)
		}
	}
}

// bytesDecoded must be called with the size of each message, before the message is handled, and with the size of each
// part of a message that is discarded. It returns how long ago, at most, the last of these bytes was sent, or 0 if it
// was not sent during a stall.
func (c *connection) bytesDecoded(size int, now time.Time) time.Duration {
	c.decodedBytes += int64(size)
	unreadFor := c.backlog.bytesDecoded(size, now)
	if !c.backlog.active() {
		c.search = cancellationSearch{} // frees its memory
	}
	return unreadFor
}

// ensureSearchBuffer returns a buffer for a number of buffered bytes followed by maxPeek unread bytes. It allocates
// searchBuffer on first use, which is after the first stall, and a larger one for the rest of a large message.
func (s *Server) ensureSearchBuffer(buffered int) []byte {
	if buffered > maxPeek {
		return make([]byte, buffered+maxPeek)
	}
	if s.searchBuffer == nil {
		s.searchBuffer = make([]byte, 2*maxPeek)
	}
	return s.searchBuffer
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
