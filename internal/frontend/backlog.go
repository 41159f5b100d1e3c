package frontend

import "time"

const (
	// If no bytes arrive for catchUpPause, the client has sent everything that it could not send during a stall. A
	// client that waits because the receive buffer is full continues to send once it learns that the buffer was
	// emptied, so catchUpPause must be longer than the RTT.
	catchUpPause = 50 * time.Millisecond
	// acceptDelay is how long after a stall the server may still accept connections that were opened during it.
	acceptDelay = 200 * time.Millisecond
	// maxUnseenCancelAge is how long ago, at most, a client may have canceled a request or disconnected without the
	// server's knowledge when an attempt of the request begins.
	maxUnseenCancelAge = 80 * time.Millisecond
	// maxBehind is the same for a client whose bytes are read more slowly than it sends them. It leaves time for what
	// was unread before the first read, and until the attempt begins.
	maxBehind = 50 * time.Millisecond
)

// backlog tracks which of a connection's bytes may have been sent during a stall, which is a time when the process did
// not run and read nothing. Clients continue to send during a stall: the kernel receives their bytes until the receive
// buffer is full, and the client's kernel, or the client itself, keeps the rest and sends it once the buffer has been
// read. A request that is read after a stall may therefore be as old as the stall, and its client may have canceled it
// or disconnected since.
//
// A backlog ends when the first of these conditions holds:
//   - The receive buffer was not full, and all bytes that the kernel had received by the end of the stall have been
//     decoded.
//   - The receive buffer may have been full, no bytes have arrived for catchUpPause, and the last message was complete.
//   - A request was read that would have exceeded maxOpenRequests unless the client had received an answer that was
//     sent after the stall. The client must therefore have sent the request after the stall.
type backlog struct {
	stallStart     time.Time // start of the stall; zero: there is no backlog
	undecodedBytes int       // number of bytes that were received by the end of the stall and are not decoded yet
	// moreMayFollow is whether the undecoded bytes may be followed by more bytes that were sent during the stall,
	// because the receive buffer may have been full, or because the end of the connection is unread.
	moreMayFollow bool
	lastRead      time.Time // when bytes were last read, or the end of the stall
	// openIfUnanswered is the number of requests that the client had open when it sent the last request that was read, if
	// it had not yet received an answer that was sent after the stall.
	openIfUnanswered int
}

// begin records a stall that began at stallStart and ends now. undecodedBytes is the number of received bytes that are
// not decoded yet, moreMayFollow is as in backlog, and openRequests is the number of open requests. A backlog of an
// earlier stall that has not ended keeps its start, since the bytes may have been sent during either stall.
func (b *backlog) begin(stallStart, now time.Time, undecodedBytes int, moreMayFollow bool, openRequests int) {
	if !b.active() {
		b.stallStart = stallStart
	}
	b.undecodedBytes = undecodedBytes
	b.moreMayFollow = b.moreMayFollow || moreMayFollow
	b.lastRead = now
	b.openIfUnanswered = openRequests
}

// active reports whether the bytes that are decoded next may have been sent during a stall.
func (b *backlog) active() bool { return !b.stallStart.IsZero() }

// bytesArrived must be called after bytes were read and before they are decoded. betweenMessages is whether the bytes
// read earlier ended with a complete message.
func (b *backlog) bytesArrived(now time.Time, betweenMessages bool) {
	if b.moreMayFollow && betweenMessages && now.Sub(b.lastRead) >= catchUpPause {
		*b = backlog{}
	}
	b.lastRead = now
}

// bytesDecoded must be called with the size of each message, before the message is handled, and with the size of each
// part of a message that is discarded. It returns how long ago, at most, the last of these bytes was sent, or 0 if it
// was sent after the stall.
func (b *backlog) bytesDecoded(size int, now time.Time) time.Duration {
	if !b.active() {
		return 0
	}
	sentDuringStall := b.moreMayFollow || b.undecodedBytes >= size
	stallStart := b.stallStart
	b.undecodedBytes -= size
	if b.undecodedBytes <= 0 && !b.moreMayFollow {
		*b = backlog{}
	}
	if !sentDuringStall {
		return 0
	}
	return now.Sub(stallStart)
}

// requestRead must be called for each request, before it is handled. It reports whether the client must have received
// an answer that was sent after the stall before it sent the request. In that case the backlog ends.
func (b *backlog) requestRead() (afterStall bool) {
	if !b.moreMayFollow {
		return false
	}
	b.openIfUnanswered++
	if b.openIfUnanswered <= maxOpenRequests {
		return false
	}
	*b = backlog{}
	return true
}

// cancellationRead must be called for each cancellation. The client has one fewer open request after it.
func (b *backlog) cancellationRead() { b.openIfUnanswered-- }

// beginBacklog begins a backlog if the connection has unread bytes, or if its end is unread. It extends a backlog that
// has not ended. The stall lasted from since until now.
func (c *connection) beginBacklog(since, now time.Time) {
	c.search = cancellationSearch{} // what has arrived during the stall was not searched
	unread, full, ended := c.conn.CountUnread(c.unhandled)
	if unread == 0 && !ended && !c.backlog.active() {
		return
	}
	c.backlog.begin(since, now, c.received.Len()+unread, full || ended, len(c.openRequests))
}

// clientState returns whether the client still waits for the answer to a request. unseenFor is the longest time for
// which a cancellation or the end of the connection can have gone unread.
func (c *connection) clientState(id uint64, unseenFor time.Duration) ClientState {
	switch {
	case c.fallenBehind(c.lastActive):
		return ClientUnknown
	case unseenFor <= 0:
		return ClientWaits
	case c.cancellationPending(id):
		return ClientGone
	case c.backlog.moreMayFollow && unseenFor > maxUnseenCancelAge:
		return ClientUnknown
	}
	return ClientWaits
}

// fallenBehind reports whether there have been unread bytes behind each read for so long that the client may have left
// more than maxBehind ago: its end follows behind bytes that it may not even have been able to send yet. It
// applies to a client that has sent more meanwhile than it may have open.
func (c *connection) fallenBehind(now time.Time) bool {
	return c.readSince > maxOpenRequests && now.Sub(c.unreadSince) > maxBehind
}
