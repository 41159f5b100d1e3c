package invariants

import "fmt"

// Rule 5: once a router was notified of a purge and the grace is over, no attempt that it sends is answered from a copy
// older than the purge.

// checkPurges reports an attempt that was answered from a copy older than the last purge of its object.
func (c *Checker) checkPurges(a *attempt) {
	for i := len(c.notices) - 1; i >= 0; i-- {
		purge := &c.notices[i]
		if !purge.covers(a.request.sent) || purge.EffectiveAt <= a.ended.EffectiveAt {
			continue
		}
		at, known := c.notifiedAt(a.received.Router, purge.Number)
		if !known || a.received.SentAt <= at+c.settings.PurgeGrace+c.settings.Slack {
			continue
		}
		reason := fmt.Sprintf("a copy from before a purge, %.3fs after that was known", (a.received.SentAt - at).Seconds())
		c.violate(5, a.ended.At, a.request.sent.Request, reason, *purge, a.request.sent, a.received, *a.ended)
		return
	}
}

// covers reports whether a notice is a purge of a request's object.
func (e *Event) covers(request Event) bool {
	if e.Kind != Purged {
		return false
	}
	if e.WholeGroup {
		return e.Group == request.Group
	}
	return e.Object == request.Object
}
