package caches

import "threadrun/routing"

// fillSpeedup is how many times faster than an answer a fill is sent.
const fillSpeedup = 2

// parentRank is the rank of copies that a parent keeps.
const parentRank = 1

// fill is a fill that is running.
type fill struct{ waiters []fillFunc }

// fillFunc is called when a fill ends, with the time at which the copy was generated and the result.
type fillFunc func(generatedAt Micros, status routing.CacheStatus)

// sourceFunc is called with what a source sends, and the time at which it arrives.
type sourceFunc func(at, generatedAt Micros, status routing.CacheStatus)

func (f *fill) notify(generatedAt Micros, status routing.CacheStatus) {
	for _, waiter := range f.waiters {
		waiter(generatedAt, status)
	}
}

// fillFrom fetches an object from the source of a plan, or joins a running fill if the plan allows that.
func (m *Machine) fillFrom(object int, maxAge Micros, plan routing.ForwardPlan, done fillFunc) {
	h := m.hierarchy
	if running := m.fills[object]; running != nil && plan.JoinFill {
		running.waiters = append(running.waiters, done)
		return
	}
	f := &fill{}
	m.fills[object] = f
	start := m.starts
	end := func(at, generatedAt Micros, status routing.CacheStatus) {
		h.clock.At(at, func() {
			if m.starts == start {
				m.endFill(object, f, generatedAt, status, plan.Rank)
			}
			done(generatedAt, status)
			if status.IsFill() {
				status = routing.JoinedFill
			}
			f.notify(generatedAt, status)
		})
	}
	source := h.Machines[plan.Source]
	h.clock.At(h.clock.Time()+parentLatency, func() { source.sendFill(object, maxAge, plan.OnlyIfCached, end) })
}

// endFill removes a fill, unless a later one has replaced it, and keeps the copy if it has a rank.
func (m *Machine) endFill(object int, f *fill, generatedAt Micros, status routing.CacheStatus, rank int) {
	if m.fills[object] == f {
		delete(m.fills, object)
	}
	if status.IsFill() && rank > 0 {
		m.store(object, generatedAt, rank)
	}
}

// sendFill sends an object to the machine that fills. A parent without a copy fetches it first.
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
		m.fetch(object, func(generatedAt Micros, status routing.CacheStatus) {
			end(m.now()+parentLatency, generatedAt, status)
		})
	}
}

func (m *Machine) sendFromOrigin(end sourceFunc) {
	m.hierarchy.fetchFromOrigin(func(at, generatedAt Micros, ok bool) {
		if !ok {
			end(at, 0, routing.SourceRejected)
			return
		}
		end(at, generatedAt, routing.FilledFromOrigin)
	})
}

func (m *Machine) sendCopy(found cachedCopy, end sourceFunc) {
	done, ok := m.send(m.hierarchy.config.SendTime / fillSpeedup)
	if !ok {
		end(m.now()+parentLatency, 0, routing.SourceRejected)
		return
	}
	end(done+parentLatency, found.generatedAt, routing.Filled)
}

// fetch fetches an object for a parent from the origin, or joins a running fetch.
func (m *Machine) fetch(object int, done fillFunc) {
	if running := m.fills[object]; running != nil {
		running.waiters = append(running.waiters, done)
		return
	}
	f := &fill{waiters: []fillFunc{done}}
	m.fills[object] = f
	start := m.starts
	m.hierarchy.fetchFromOrigin(func(at, generatedAt Micros, ok bool) {
		m.hierarchy.clock.At(at, func() {
			status := routing.FilledFromOrigin
			if !ok {
				status = routing.OriginFailed
			}
			if m.starts == start {
				if ok {
					m.store(object, generatedAt, parentRank)
				}
				delete(m.fills, object)
			}
			f.notify(generatedAt, status)
		})
	})
}

// fetchFromOrigin sends a request to the origin, and calls answer with the time at which the response arrives. ok is
// false if the origin has rejected the request.
func (h *Hierarchy) fetchFromOrigin(answer func(at, generatedAt Micros, ok bool)) {
	h.clock.At(h.clock.Time()+originLatency, func() {
		h.OriginFetches++
		now := h.clock.Time()
		done, ok := h.origin().send(h.config.SendTime / fillSpeedup)
		if !ok {
			done = now
		}
		answer(done+originLatency, now, ok)
	})
}
