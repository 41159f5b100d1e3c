package frontend

import "time"

const (
	// catchUpPause is the time without new bytes after which a client that could not send has nothing left to send: it
	// sends on as soon as it learns that the receive buffer was emptied, so this is longer than the RTT.
	catchUpPause = 50 * time.Millisecond
	// acceptDelay is how long after a stall connections are accepted that were opened during it.
	acceptDelay = 200 * time.Millisecond
	// maxLeaveAge is how long ago a client may have left without notice when an attempt of its request begins.
	maxLeaveAge = 80 * time.Millisecond
)

// backlog tells which of a connection's bytes may have been sent during a stall of the process, when nothing was read.
// The client does not stop sending then: the kernel receives the bytes until its buffer is full, and the client's
// kernel, or the client, keeps the rest and sends it when the buffer has been read.
//
// A backlog ends at the first of:
//   - all bytes that the kernel had received by the end of the stall have been decoded, if the buffer was not full;
//   - no bytes have arrived for catchUpPause, and the last message was complete;
//   - a request was read that the client can have sent only after it received an answer from after the stall, since a
//     client has at most maxOpenRequests open requests.
type backlog struct {
	since    time.Time // start of the stall; zero: there is no backlog
	received int       // bytes received by the end of the stall and not decoded yet
	full     bool      // the receive buffer may have been full, so that further bytes of that time follow
	lastRead time.Time // when bytes were read last, or the end of the stall
	// unconfirmed is the number of requests that the client had open when it sent the last one, unless it had received
	// an answer from after the stall by then.
	unconfirmed int
}

// begin records that a stall ends now. received is the number of bytes that are not decoded, full whether there may be
// more, and open the number of open requests. The backlog of an earlier stall continues.
func (b *backlog) begin(since, now time.Time, received int, full bool, open int) {
	if !b.active() {
		b.since = since
	}
	b.received = received
	b.full = b.full || full
	b.lastRead = now
	b.unconfirmed = open
}

// active reports whether bytes that are decoded next may have been sent during a stall.
func (b *backlog) active() bool { return !b.since.IsZero() }

// bytesArrived must be called when bytes were read, before they are decoded. betweenMessages reports whether the last
// message was complete.
func (b *backlog) bytesArrived(now time.Time, betweenMessages bool) {
	if b.full && betweenMessages && now.Sub(b.lastRead) >= catchUpPause {
		*b = backlog{}
	}
	b.lastRead = now
}

// decoded must be called for each message, before it is handled. It returns how long ago the last byte of the message
// may have been sent, or 0 if it was sent after the stall.
func (b *backlog) decoded(size int, now time.Time) time.Duration {
	if !b.active() {
		return 0
	}
	sentDuringStall := b.full || b.received >= size
	since := b.since
	b.received -= size
	if b.received <= 0 && !b.full {
		*b = backlog{}
	}
	if !sentDuringStall {
		return 0
	}
	return now.Sub(since)
}

// requestRead must be called for each request, before it is handled. It reports whether the client sent it after it had
// received an answer from after the stall, which ends the backlog.
func (b *backlog) requestRead() (afterStall bool) {
	if !b.full {
		return false
	}
	b.unconfirmed++
	if b.unconfirmed <= maxOpenRequests {
		return false
	}
	*b = backlog{}
	return true
}

// cancellationRead must be called for each cancellation, after which its client has one open request less.
func (b *backlog) cancellationRead() { b.unconfirmed-- }

// beginBacklog begins a backlog if the connection has unread bytes or its end is unread.
func (c *connection) beginBacklog(since, now time.Time) {
	unread, full, ended := c.conn.PeekUnread(c.server.peek(), c.unhandled)
	if unread == 0 && !ended && !c.backlog.active() {
		return
	}
	c.backlog.begin(since, now, c.received.Len()+unread, full || ended, len(c.openRequests))
}

// stateAfterStall returns whether the client of a request has left, given for how long at most it may have left
// unnoticed.
func (c *connection) stateAfterStall(id uint64, unnoticed time.Duration) ClientState {
	switch {
	case unnoticed <= 0:
		return ClientWaits
	case c.cancellationPending(id):
		return ClientGone
	case c.backlog.full && unnoticed > maxLeaveAge:
		return ClientUnknown
	}
	return ClientWaits
}
