package membership

import "log/slog"

// merge merges a report about a member; direct means that the reporter is the member itself. A death reported by
// another router does not change the member's state but counts as one more accusation, so that no single datagram
// can declare every member dead.
func (m *Members) merge(e *entry, reporter NodeID, direct bool) {
	if e.ID == m.self.ID {
		m.refute(e)
		return
	}
	r := m.find(e.ID)
	if r == nil {
		if !e.state.Present() {
			return
		}
		r = m.add(e.ID)
		if r == nil {
			return
		}
	}
	if !direct {
		r.suppressRedundantGossip(e)
		m.mergeState(r, e, false)
		return
	}
	if e.accuser == noNode { // newIncarnation records an accuser if the member reports its own end
		e.accuser = reporter
	}
	if (r.State == Dead || r.State == Suspect) && e.Incarnation == r.Incarnation {
		m.recordReturn(r)
	}
	m.mergeState(r, e, true)
	if r.Incarnation == e.Incarnation {
		r.Identity = e.Identity
	}
}

// mergeState merges the state of a report, depending on whether its incarnation is earlier, later or the known one.
func (m *Members) mergeState(r *knownMember, e *entry, direct bool) {
	switch {
	case e.Incarnation < r.Incarnation:
		r.sentOldIncarnation = r.sentOldIncarnation || direct
	case e.Incarnation > r.Incarnation || r.State == Unknown:
		if !direct && !e.state.Present() {
			return
		}
		if !direct {
			m.unknownIncarnationAt = m.now
		}
		m.newIncarnation(r, e)
	default:
		m.mergeSameIncarnation(r, e, direct)
	}
}

// mergeSameIncarnation merges a report about the known incarnation. Only a report with more refutations than the
// known number ends a suspicion. A departure is believed if the member itself reports it, or has announced it
// before.
func (m *Members) mergeSameIncarnation(r *knownMember, e *entry, direct bool) {
	newer := e.refutations > r.refutations
	same := e.refutations == r.refutations
	switch {
	case e.state == Alive && newer:
		r.refutations = e.refutations
		m.transition(r, Alive)
	case e.state == Leaving && (newer || same && r.State == Alive):
		r.refutations = e.refutations
		m.transition(r, Leaving)
	case e.state == Left && (direct || r.State == Leaving) && (newer || same):
		r.refutations = e.refutations
		m.transition(r, Left)
	case e.state == Suspect || !e.state.Present():
		m.suspect(r, e.refutations, e.accuser)
	}
}

// newIncarnation records a member's new incarnation, or the first known one. If the report says that the member has
// ended, the member is only suspected at first, since a member is declared dead only after a suspicion.
func (m *Members) newIncarnation(r *knownMember, e *entry) {
	r.Identity = e.Identity
	r.refutations = e.refutations
	r.accuserCount = 0
	r.urgent = false // urgent changes are sent as compact entries, which do not contain the new incarnation
	m.enqueueGossip(r, false)
	r.State = e.state
	r.Since = m.now
	if !e.state.Present() {
		r.State = Suspect
	}
	if r.State == Suspect {
		m.stats.Suspicions++
		r.accusers[0] = e.accuser
		r.accuserCount = 1
	}
	m.output.Changed(r.Member)
}

// refute handles a report about this router. If the reported state is neither Alive nor this router's actual state,
// the router raises its refutation count above the reported one; the count is part of the router's own entry, which
// each datagram contains. If the reported incarnation is later than the current one, this router's clock was ahead at
// an earlier start: the router continues with an incarnation after the reported one.
func (m *Members) refute(e *entry) {
	switch {
	case e.Incarnation > m.self.Incarnation:
		m.output.Log("membership: a later incarnation of this router is known, using a new one",
			slog.Uint64("known", uint64(e.Incarnation)),
			slog.Uint64("own", uint64(m.self.Incarnation)),
		)
		m.self.Incarnation = e.Incarnation + 1
		m.refutations = 0
		m.output.Changed(m.Self())
	case e.Incarnation < m.self.Incarnation || e.refutations < m.refutations: // refuted already
	case e.state != Alive && e.state != m.state:
		m.refutations = e.refutations + 1
		m.stats.Refuted++
		m.adjustLocalHealth(1)
	}
}

// transition changes a member's state within one incarnation, gossips the change and reports it. No other code
// changes a state within an incarnation. transition ignores changes that the transitions table does not allow, because
// reports may arrive late and out of order.
func (m *Members) transition(r *knownMember, to State) {
	if !r.State.mayBecome(to) {
		return
	}
	if to == Left {
		m.stats.Departures++
	}
	r.checkPings = 0
	r.State = to
	r.Since = m.now
	if to != Suspect && to != Dead { // gossip about a death contains one of the accusers
		r.accuserCount = 0
	}
	m.enqueueGossip(r, true)
	m.output.Changed(r.Member)
}
