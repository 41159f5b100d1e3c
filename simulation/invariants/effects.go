package invariants

// Rule 2: no effect happens twice. A non-idempotent request gets another attempt, or a rejection, only if every earlier
// attempt is known not to have run. A keyed request gets another attempt only within Settings.KeyWindow, in which
// machines recognize repeats. Attempts of a request don't overlap unless hedging is allowed.

// addPossibleRuns adds change to the number of attempts that may have run: 1 for an attempt that was received, -1 for
// one that is proven not to have run. For a non-idempotent request, it reports an attempt if an earlier one may have
// run, or if the request has been rejected.
func (c *Checker) addPossibleRuns(r *request, change int) {
	r.possibleRuns += change
	if change < 0 || r.sent.Effect != NonIdempotent {
		return
	}
	if r.possibleRuns > 1 {
		last := r.attempts[len(r.attempts)-1]
		c.report(2, last.received.At, r.sent.Request,
			"another attempt of a non-idempotent request, although an earlier one may have run", r.history()...)
	}
	c.checkRejectionSafe(r)
}

// checkRejectionSafe reports a rejected non-idempotent request that may have run. Clients retry rejected requests, so
// its effect could happen twice.
func (c *Checker) checkRejectionSafe(r *request) {
	if r.rejected && r.sent.Effect == NonIdempotent && r.possibleRuns > 0 {
		c.report(2, r.answer.At, r.sent.Request, "rejected, although it may have run", r.history()...)
	}
}

// checkKeyWindow reports an attempt of a keyed request that was sent more than Settings.KeyWindow after an earlier one
// that may have run.
func (c *Checker) checkKeyWindow(r *request, e Event) {
	if r.sent.Effect != Keyed {
		return
	}
	for _, earlier := range r.attempts {
		if earlier.ended != nil && earlier.ended.Outcome == NotRun {
			continue
		}
		if e.SentAt > earlier.received.SentAt+c.settings.KeyWindow+c.settings.Slack {
			c.report(2, e.At, e.Request, "another attempt of a keyed request after its key window", append(r.history(), e)...)
		}
	}
}

// checkOverlap reports attempts of the same request that overlap with an attempt that has ended. An attempt lasts from
// its complete receipt until its answer or its cancellation was sent.
func (c *Checker) checkOverlap(a *attempt) {
	for _, other := range a.request.attempts {
		if other == a || other.ended == nil {
			continue
		}
		overlapStart := max(other.received.At, a.received.At)
		overlapEnd := min(other.ended.SentAt, a.ended.SentAt)
		if overlapStart < overlapEnd {
			c.report(2, a.ended.At, a.request.sent.Request, "two attempts overlap", a.request.history()...)
		}
	}
}

// executed records that an attempt had its effect, and reports the second effect of a non-idempotent request.
func (c *Checker) executed(e Event) {
	c.stats.Executions++
	r := c.requests[e.Request]
	if r == nil {
		return
	}
	r.executions = append(r.executions, e)
	if len(r.executions) > 1 && r.sent.Effect == NonIdempotent {
		c.report(2, e.At, e.Request, "its effect happened twice", append(r.history(), r.executions...)...)
	}
}
