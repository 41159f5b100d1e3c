package invariants

// Rule 2: no effect happens twice. A non-idempotent request gets another attempt, or a rejection, only if every earlier
// attempt is known not to have run; a keyed one only while its repeat is recognized. Attempts don't overlap unless
// hedging is allowed.

// countMayHaveRun counts an attempt that may have run, or one that is proven not to have.
func (c *Checker) countMayHaveRun(r *request, change int) {
	r.mayHaveRun += change
	if change < 0 || r.sent.Effect != NonIdempotent {
		return
	}
	if r.mayHaveRun > 1 {
		last := r.attempts[len(r.attempts)-1]
		c.violate(2, last.received.At, r.sent.Request,
			"a non-idempotent request again, and an earlier attempt may have run", r.history()...)
	}
	c.checkRejectionSafe(r)
}

// checkRejectionSafe reports a rejected request that may have run: its client may retry it.
func (c *Checker) checkRejectionSafe(r *request) {
	if r.rejected && r.sent.Effect == NonIdempotent && r.mayHaveRun > 0 {
		c.violate(2, r.response.At, r.sent.Request, "rejected, and it may have run", r.history()...)
	}
}

// checkKeyWindow reports an attempt of a keyed request after the window of an earlier one that may have run.
func (c *Checker) checkKeyWindow(r *request, e Event) {
	if r.sent.Effect != Keyed {
		return
	}
	for _, earlier := range r.attempts {
		if earlier.ended != nil && earlier.ended.Outcome == NotRun {
			continue
		}
		if e.SentAt > earlier.received.SentAt+c.settings.KeyWindow+c.settings.Slack {
			c.violate(2, e.At, e.Request, "a keyed request again after its window", append(r.history(), e)...)
		}
	}
}

// checkOverlap reports overlapping attempts of a request. An attempt lasts from its complete receipt until its end was
// written.
func (c *Checker) checkOverlap(a *attempt) {
	for _, other := range a.request.attempts {
		if other == a || other.ended == nil {
			continue
		}
		bothSince := max(other.received.At, a.received.At)
		firstEnd := min(other.ended.SentAt, a.ended.SentAt)
		if bothSince < firstEnd {
			c.violate(2, a.ended.At, a.request.sent.Request, "two attempts at a time", a.request.history()...)
		}
	}
}

// executed records that an attempt had its effect.
func (c *Checker) executed(e Event) {
	c.stats.Executions++
	r := c.requests[e.Request]
	if r == nil {
		return
	}
	r.executions = append(r.executions, e)
	if len(r.executions) > 1 && r.sent.Effect == NonIdempotent {
		c.violate(2, e.At, e.Request, "its effect happened twice", append(r.history(), r.executions...)...)
	}
}
