package caches

import "threadrun/routing"

// Answer is the result of an attempt.
type Answer struct {
	Outcome     routing.Outcome
	CacheStatus routing.CacheStatus
	CreatedAt   Micros // when the origin created the copy; valid if Outcome is routing.Succeeded
}

// replyFunc sends an answer to the sender of an attempt at the given time.
type replyFunc func(at Micros, answer Answer)

// Attempt sends an attempt for an object to the cache of a plan. It calls answer exactly once, when the answer arrives.
// If the cache has restarted in the meantime, the outcome is routing.ConnectionLost.
func (h *Hierarchy) Attempt(object int, plan routing.ForwardPlan, answer func(Answer)) {
	m := h.Machines[plan.Cache]
	incarnation := m.incarnation
	reply := func(at Micros, a Answer) {
		h.clock.At(at+cacheLatency, func() {
			if m.incarnation != incarnation {
				a = Answer{Outcome: routing.ConnectionLost}
			}
			answer(a)
		})
	}
	h.clock.At(h.clock.Time()+cacheLatency, func() { m.serve(object, plan, reply) })
}

// serve answers an attempt from a copy that is not older than the plan allows, or else from a fill if the plan names a
// source. The origin always has a current copy.
func (m *Machine) serve(object int, plan routing.ForwardPlan, reply replyFunc) {
	m.countRequest()
	maxAge := plan.MaxAge
	if maxAge == 0 {
		maxAge = m.hierarchy.config.FreshnessLifetime
	}
	found, ok := m.lookup(object, maxAge, plan.Rank)
	switch {
	case m.isOrigin():
		m.hierarchy.OriginFetches++
		m.answer(m.now(), routing.Hit, reply)
	case ok:
		m.answer(found.createdAt, m.hitStatus(found), reply)
	case plan.Source == plan.Cache || plan.Source == routing.NoEndpoint:
		reply(m.now()+processingTime, Answer{Outcome: routing.CacheMiss})
	default:
		m.fillFrom(object, maxAge, plan, func(createdAt Micros, status routing.CacheStatus) {
			m.answerFill(createdAt, status, reply)
		})
	}
}

// hitStatus returns the cache status of an answer from a copy: Stale past the freshness lifetime, Hit otherwise.
func (m *Machine) hitStatus(found cachedCopy) routing.CacheStatus {
	lifetime := m.hierarchy.config.FreshnessLifetime
	if lifetime > 0 && m.now()-found.createdAt > lifetime {
		return routing.Stale
	}
	return routing.Hit
}

// answer sends a copy, or rejects the attempt if the machine's queue is too long.
func (m *Machine) answer(createdAt Micros, status routing.CacheStatus, reply replyFunc) {
	done, ok := m.queueTransfer(m.hierarchy.config.SendTime)
	if !ok {
		reply(m.now(), Answer{Outcome: routing.Rejected})
		return
	}
	reply(done, Answer{Outcome: routing.Succeeded, CacheStatus: status, CreatedAt: createdAt})
}

// answerFill answers an attempt with the result of the fill that it has waited for.
func (m *Machine) answerFill(createdAt Micros, status routing.CacheStatus, reply replyFunc) {
	switch {
	case status.IsFill() || status == routing.JoinedFill:
		m.answer(createdAt, status, reply)
	case status == routing.SourceMiss:
		reply(m.now(), Answer{Outcome: routing.CacheMiss, CacheStatus: status})
	default:
		reply(m.now(), Answer{Outcome: routing.Failed, CacheStatus: status})
	}
}
