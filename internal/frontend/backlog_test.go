package frontend

import (
	"testing"
	"time"
)

// stallEnd is when the stall of the tests ends.
var stallEnd = time.Unix(1_800_000_000, 0)

const stallLength = time.Second

// newBacklog returns the backlog of a connection at stallEnd. See backlog.begin for the parameters.
func newBacklog(received int, full bool, open int) backlog {
	var b backlog
	b.begin(stallEnd.Add(-stallLength), stallEnd, received, full, open)
	return b
}

// If the receive buffer was not full during a stall, exactly the messages whose last byte had been received by the end
// of the stall must count as sent during it.
func TestBacklogOfABufferThatWasNotFull(t *testing.T) {
	b := newBacklog(250, false, 0)
	now := stallEnd.Add(time.Millisecond)
	for i, want := range []time.Duration{stallLength + time.Millisecond, stallLength + time.Millisecond, 0, 0} {
		b.bytesArrived(now, true)
		if got := b.bytesDecoded(100, now); got != want {
			t.Errorf("message %d: unread for %s, want %s", i, got, want)
		}
	}
	if b.active() {
		t.Error("the backlog has not ended after all bytes of the stall were decoded")
	}
}

// If the receive buffer was full during a stall, bytes must count as sent during it until none have arrived for
// catchUpPause after a complete message.
func TestBacklogBehindAFullBuffer(t *testing.T) {
	b := newBacklog(100, true, 0)
	now := stallEnd
	for _, step := range []struct {
		pause           time.Duration // since the previous bytes
		betweenMessages bool
		duringStall     bool // the bytes may have been sent during the stall
	}{{0, true, true}, {10 * time.Millisecond, true, true}, {catchUpPause - 1, true, true},
		{catchUpPause, false, true}, {catchUpPause, true, false}, {0, true, false}} {
		now = now.Add(step.pause)
		b.bytesArrived(now, step.betweenMessages)
		if got := b.bytesDecoded(100, now); (got > 0) != step.duringStall ||
			step.duringStall && got != now.Sub(stallEnd)+stallLength {
			t.Errorf("%s after the end of the stall: unread for %s, want %s if it may have been sent during the stall (%v), "+
				"or else 0", now.Sub(stallEnd), got, now.Sub(stallEnd)+stallLength, step.duringStall)
		}
	}
}

// A request must end the backlog if it would exceed the limit on open requests of a client that has received no answer
// since the stall. Requests that were open at the end of the stall count toward the limit, canceled ones do not.
func TestBacklogEndsWithAnAnswerReceived(t *testing.T) {
	const open, canceled = 5, 3
	b := newBacklog(100, true, open)
	for range canceled {
		b.cancellationRead()
	}
	for i := 1; i <= maxOpenRequests-open+canceled; i++ {
		if b.requestRead() || !b.active() {
			t.Fatalf("the backlog was ended by request %d, which the client may have sent during the stall", i)
		}
	}
	if !b.requestRead() || b.active() {
		t.Error("the backlog was not ended by a request that the client sent after it had received an answer")
	}
}

// If a second stall begins before the backlog of the first has ended, the bytes that are read after it must count as
// sent since the start of the first stall: the client may have been unable to send them earlier.
func TestBacklogOfTwoStalls(t *testing.T) {
	b := newBacklog(100, true, 0)
	secondEnd := stallEnd.Add(3 * stallLength)
	b.begin(stallEnd.Add(2*stallLength), secondEnd, 50, false, 0)
	b.bytesArrived(secondEnd, true)
	if got := b.bytesDecoded(100, secondEnd); got != 4*stallLength {
		t.Errorf("unread for %s, want %s", got, 4*stallLength)
	}
}

// Guards against attempts for a client that has left behind more than the router has read: after maxBehind, a client
// that has sent more requests than it may have open must count as one that may have left. One that has not must not,
// and none must once nothing is unread.
func TestClientThatIsReadTooSlowly(t *testing.T) {
	for _, step := range []struct {
		requests int
		unread   bool
		behind   time.Duration
		want     bool
	}{
		{maxOpenRequests + 1, true, maxBehind, false},
		{maxOpenRequests + 1, true, maxBehind + 1, true},
		{maxOpenRequests, true, time.Second, false},
		{maxOpenRequests + 1, false, time.Second, false},
	} {
		c := &connection{readSince: step.requests, unreadSince: stallEnd}
		if !step.unread {
			c.noteUnread(false, stallEnd)
		}
		if got := c.fallenBehind(stallEnd.Add(step.behind)); got != step.want {
			t.Errorf("%d requests, unread bytes: %v, %s behind: %v, want %v", step.requests, step.unread, step.behind, got,
				step.want)
		}
	}
}
