package invariants

import (
	"cmp"
	"fmt"
	"slices"
)

// Rule 1: each request that a running router has accepted gets exactly one final answer, before its deadline. No
// attempt is sent for it after the answer or after its client has left. The deadline passed on to caches is the
// client's.

// requestSent records a request.
func (c *Checker) requestSent(e Event) {
	c.stats.Requests++
	r := &request{sent: e}
	c.requests[e.Request] = r
	c.router(e.Router).open[r] = struct{}{}
	i, _ := slices.BinarySearchFunc(c.byDeadline, e.Deadline, func(o *request, deadline Micros) int {
		if o.sent.Deadline <= deadline {
			return -1
		}
		return 1
	})
	c.byDeadline = slices.Insert(c.byDeadline, i, r)
}

// checkUnanswered reports requests that have no answer although more than Settings.LostAfter has passed since their
// deadlines. It excuses requests whose router was paused since they were sent.
func (c *Checker) checkUnanswered(now Micros) {
	checked := 0
	for ; checked < len(c.byDeadline); checked++ {
		r := c.byDeadline[checked]
		lostAt := r.sent.Deadline + c.settings.LostAfter
		if lostAt >= now {
			break
		}
		if r.connectionEnded || r.answer != nil || r.clientLeft != nil {
			continue
		}
		if c.router(r.sent.Router).pausedSince(r.sent.At) {
			c.stats.Excused++
			continue
		}
		c.report(1, lostAt, r.sent.Request, "no answer", r.history()...)
	}
	c.byDeadline = slices.Delete(c.byDeadline, 0, checked)
}

// answerReceived checks that an answer belongs to a request, is the only one and is in time. An answer that is sent
// more than Settings.Slack after its client has left is a violation, unless the router was paused since.
func (c *Checker) answerReceived(e Event) {
	r := c.requests[e.Request]
	if r == nil {
		c.report(1, e.At, e.Request, "an answer to an unknown request", e)
		return
	}
	if r.answer != nil {
		c.report(1, e.At, e.Request, "a second answer", append(r.history(), e)...)
		return
	}
	r.answer = &e
	router := c.router(e.Router)
	if r.clientLeft != nil {
		if e.SentAt > r.clientLeft.At+c.settings.Slack && !router.pausedSince(r.clientLeft.At) {
			c.report(1, e.At, e.Request, "answered after its client had left", append(r.history(), *r.clientLeft)...)
		}
		return
	}
	delete(router.open, r)
	c.countAnswer(e.Outcome)
	if e.SentAt > r.sent.Deadline+c.settings.Slack && !router.pausedSince(r.sent.At) {
		late := e.SentAt - r.sent.Deadline
		c.report(1, e.At, e.Request, fmt.Sprintf("answered %.3fs late", late.Seconds()), r.history()...)
	}
	if e.Outcome == Rejected {
		r.rejected = true
		c.checkRejectionSafe(r)
	}
}

func (c *Checker) countAnswer(o Outcome) {
	switch o {
	case Succeeded:
		c.stats.Succeeded++
	case Rejected:
		c.stats.Rejected++
	default:
		c.stats.Failed++
	}
}

// requestAbandoned handles the events after which a request needs no answer or can't get one: its client has left, or
// its connection has ended. If the router ended the connection without having been paused, that is a violation.
func (c *Checker) requestAbandoned(e Event) {
	r := c.requests[e.Request]
	if r == nil || r.answer != nil || r.connectionEnded || r.clientLeft != nil {
		return
	}
	router := c.router(r.sent.Router)
	delete(router.open, r)
	switch e.Kind {
	case ClientLeft:
		c.stats.ClientsLeft++
		r.clientLeft = &e
	case ConnectionFault:
		c.stats.Excused++
		r.connectionEnded = true
	default:
		r.connectionEnded = true
		if !router.pausedSince(r.sent.At) {
			c.report(1, e.At, e.Request, "its connection was ended without an answer", append(r.history(), e)...)
		}
	}
}

// checkAttemptWanted reports an attempt that begins after the final answer, or more than Settings.AbandonGrace after
// the client has left. A router that was paused is not excused, because it must read from the client's connection
// before it sends an attempt. A router that was partitioned is excused, because it could not learn that the client had
// left.
func (c *Checker) checkAttemptWanted(r *request, e Event) {
	if r.answer != nil && e.SentAt > r.answer.SentAt {
		c.report(1, e.At, e.Request, "an attempt after the final answer", append(r.history(), e)...)
	}
	if r.clientLeft == nil || c.router(e.Router).partitionedSince(r.clientLeft.At) {
		return
	}
	if e.SentAt > r.clientLeft.At+c.settings.AbandonGrace+c.settings.Slack {
		reason := fmt.Sprintf("an attempt began %.3fs after its client had left", (e.SentAt - r.clientLeft.At).Seconds())
		c.report(1, e.At, e.Request, reason, append(r.history(), *r.clientLeft, e)...)
	}
}

// checkDeadlinePassedOn reports an attempt whose deadline is later than the client's. It excuses a router that was
// partitioned since the request was sent, because it may have received the request late.
func (c *Checker) checkDeadlinePassedOn(r *request, e Event) {
	if c.router(e.Router).partitionedSince(r.sent.At) {
		return
	}
	if e.SentAt+e.Timeout > r.sent.Deadline+c.settings.DeadlineSlack {
		past := e.SentAt + e.Timeout - r.sent.Deadline
		reason := fmt.Sprintf("the deadline passed on is %.3fs later than the client's", past.Seconds())
		c.report(1, e.At, e.Request, reason, append(r.history(), e)...)
	}
}

// history returns the events of a request, its attempts and its answer, sorted by time.
func (r *request) history() []Event {
	events := []Event{r.sent}
	for _, a := range r.attempts {
		events = append(events, a.received)
		if a.ended != nil {
			events = append(events, *a.ended)
		}
	}
	if r.answer != nil {
		events = append(events, *r.answer)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
