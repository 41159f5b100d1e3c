package invariants

import "fmt"

// Rule 5: once a router has been notified of a purge and Settings.PurgeGrace has passed, no attempt that it sends is
// answered from a copy older than the purge.

// checkPurges reports an attempt that was answered from a copy older than a purge of its object, if the router should
// have known the purge when it sent the attempt. Of several such purges, it reports the last one.
func (c *Checker) checkPurges(a *attempt) {
	for i := len(c.notices) - 1; i >= 0; i-- {
		purge := &c.notices[i]
		if !purge.covers(a.request.sent) || purge.EffectiveAt <= a.ended.EffectiveAt {
			continue
		}
		at, ok := c.notifiedAt(a.received.Router, purge.Number)
		if !ok || a.received.SentAt <= at+c.settings.PurgeGrace+c.settings.Slack {
			continue
		}
		reason := fmt.Sprintf("a copy from before a purge, %.3fs after the router was notified",
			(a.received.SentAt - at).Seconds())
		c.report(5, a.ended.At, a.request.sent.Request, reason, *purge, a.request.sent, a.received, *a.ended)
		return
	}
}

// covers reports whether a notice is a purge of a request's object or of the object's group.
func (e *Event) covers(request Event) bool {
	if e.Kind != Purged {
		return false
	}
	if e.WholeGroup {
		return e.Group == request.Group
	}
	return e.Object == request.Object
}
