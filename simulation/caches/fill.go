package caches

import "threadrun/routing"

// fillSpeedup is the ratio of the transfer time of an answer to that of a fill.
const fillSpeedup = 2

// parentRank is the rank of all copies that a parent keeps.
const parentRank = 1

// fill is a running fill of a cache, or a running fetch of a parent from the origin.
type fill struct{ waiters []fillFunc }

// fillFunc is called when a fill ends, with the time at which the copy was created and the result.
type fillFunc func(createdAt Micros, status routing.CacheStatus)

// sourceFunc is called with the answer of a source to a fill. at is the time at which the answer arrives.
type sourceFunc func(at, createdAt Micros, status routing.CacheStatus)

// notify passes the result of a fill to all its waiters.
func (f *fill) notify(createdAt Micros, status routing.CacheStatus) {
	for _, waiter := range f.waiters {
		waiter(createdAt, status)
	}
}

// fillFrom fetches an object from the source of a plan, or joins a running fill if the plan allows it, and calls done
// with the result. The attempt that started the fill receives the fill's own status; attempts that joined it receive
// routing.JoinedFill if it succeeded.
func (m *Machine) fillFrom(object int, maxAge Micros, plan routing.ForwardPlan, done fillFunc) {
	h := m.hierarchy
	if running := m.fills[object]; running != nil && plan.JoinFill {
		running.waiters = append(running.waiters, done)
		return
	}
	f := &fill{}
	m.fills[object] = f
	incarnation := m.incarnation
	end := func(at, createdAt Micros, status routing.CacheStatus) {
		h.clock.At(at, func() {
			if m.incarnation == incarnation {
				m.endFill(object, f, createdAt, status, plan.Rank)
			}
			done(createdAt, status)
			if status.IsFill() {
				status = routing.JoinedFill
			}
			f.notify(createdAt, status)
		})
	}
	source := h.Machines[plan.Source]
	h.clock.At(h.clock.Time()+parentLatency, func() { source.sendFill(object, maxAge, plan.OnlyIfCached, end) })
}

// endFill removes a fill from the running ones, unless a later fill has replaced it, and stores the copy if its rank is
// not 0.
func (m *Machine) endFill(object int, f *fill, createdAt Micros, status routing.CacheStatus, rank int) {
	if m.fills[object] == f {
		delete(m.fills, object)
	}
	if status.IsFill() && rank > 0 {
		m.store(object, createdAt, rank)
	}
}

// sendFill sends an object to the cache that fills from this machine. A parent without a copy fetches the object from
// the origin first, unless onlyIfCached is set; a sibling without a copy never does.
func (m *Machine) sendFill(object int, maxAge Micros, onlyIfCached bool, end sourceFunc) {
	if m.Endpoint.Tier != routing.Edge {
		m.hierarchy.Fills++
	}
	m.countRequest()
	found, ok := m.lookup(object, maxAge, 0)
	switch {
	case m.isOrigin():
		m.sendFromOrigin(end)
	case ok:
		m.sendCopy(found, end)
	case onlyIfCached || m.Endpoint.Tier == routing.Edge:
		end(m.now()+parentLatency, 0, routing.SourceMiss)
	default:
		m.fetch(object, func(createdAt Micros, status routing.CacheStatus) {
			end(m.now()+parentLatency, createdAt, status)
		})
	}
}

// sendFromOrigin serves a fill for which the origin is the source.
func (m *Machine) sendFromOrigin(end sourceFunc) {
	m.hierarchy.fetchFromOrigin(func(at, createdAt Micros, ok bool) {
		if !ok {
			end(at, 0, routing.SourceRejected)
			return
		}
		end(at, createdAt, routing.FilledFromOrigin)
	})
}

// sendCopy serves a fill from a copy, or rejects it if the machine's queue is too long.
func (m *Machine) sendCopy(found cachedCopy, end sourceFunc) {
	done, ok := m.queueTransfer(m.hierarchy.config.SendTime / fillSpeedup)
	if !ok {
		end(m.now()+parentLatency, 0, routing.SourceRejected)
		return
	}
	end(done+parentLatency, found.createdAt, routing.Filled)
}

// fetch makes a parent fetch an object from the origin, or join a running fetch of the object, and calls done with the
// result. The parent keeps the copy.
func (m *Machine) fetch(object int, done fillFunc) {
	if running := m.fills[object]; running != nil {
		running.waiters = append(running.waiters, done)
		return
	}
	f := &fill{waiters: []fillFunc{done}}
	m.fills[object] = f
	incarnation := m.incarnation
	m.hierarchy.fetchFromOrigin(func(at, createdAt Micros, ok bool) {
		m.hierarchy.clock.At(at, func() {
			status := routing.FilledFromOrigin
			if !ok {
				status = routing.OriginFailed
			}
			if m.incarnation == incarnation {
				if ok {
					m.store(object, createdAt, parentRank)
				}
				delete(m.fills, object)
			}
			f.notify(createdAt, status)
		})
	})
}

// fetchFromOrigin sends a request to the origin. It calls answer when the origin has processed the request, with the
// time at which the answer arrives at the sender. ok is false if the origin has rejected the request.
func (h *Hierarchy) fetchFromOrigin(answer func(at, createdAt Micros, ok bool)) {
	h.clock.At(h.clock.Time()+originLatency, func() {
		h.OriginFetches++
		now := h.clock.Time()
		done, ok := h.origin().queueTransfer(h.config.SendTime / fillSpeedup)
		if !ok {
			done = now
		}
		answer(done+originLatency, now, ok)
	})
}
