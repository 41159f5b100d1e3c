package system

import "threadrun/simulation/invariants"

const (
	fillTimeout  = 1500 * ms
	machineDelay = 5 * ms // until a message from one machine reaches another
	originDelay  = 2 * ms // until a parent has passed on an answer of the origin
	parentRank   = 1      // rank of the copies that a parent stores
)

// fill is a fetch of a copy from a source. Attempts for the same object can join it.
type fill struct {
	source  *machine
	first   *attempt     // the attempt that started the fill
	waiting []fillWaiter // attempts that have joined the fill
}

// fillWaiter is an attempt that has joined a fill, with the source that it named itself.
type fillWaiter struct {
	attempt *attempt
	source  *machine
}

// fill fetches a copy for an attempt, or lets it join a running fill.
func (m *machine) fill(a *attempt, source *machine) {
	if f := m.fills[a.objectKey]; f != nil && a.canJoin {
		f.waiting = append(f.waiting, fillWaiter{a, source})
		return
	}
	f := &fill{source: source, first: a}
	m.fills[a.objectKey] = f
	m.sim.observe(invariants.Event{Kind: invariants.FillReceived, Machine: source.id, Router: a.router})
	var supplied *cachedCopy
	detail := detailSourceBroke
	m.call(source, func() { supplied, detail = source.supply(a) }, func(ok bool) {
		switch {
		case !ok:
			m.endFill(f, nil, detail)
		case supplied == nil && detail == detailNone:
			m.fetchFromOrigin(f)
		default:
			m.endFill(f, supplied, detail)
		}
	})
}

// endFill ends a fill and answers its attempts. The copy is nil if the fill has failed.
func (m *machine) endFill(f *fill, c *cachedCopy, detail fillDetail) {
	a := f.first
	if m.fills[a.objectKey] == f {
		delete(m.fills, a.objectKey)
	}
	if c != nil && a.rank > 0 {
		m.store(c, a.rank)
	}
	m.answerFilled(a, f.source, c, detail)
	if c != nil {
		detail = detailJoined
	}
	for _, w := range f.waiting {
		m.answerFilled(w.attempt, w.source, c, detail)
	}
}

// answerFilled answers one attempt of a fill that has ended, or starts another fill if the copy is too old for it.
func (m *machine) answerFilled(a *attempt, source *machine, c *cachedCopy, detail fillDetail) {
	switch {
	case c == nil && detail == detailSourceLacks:
		a.respond(answerAbsent, detail.field(), "", 0)
	case c == nil:
		a.respond(answerFailed, detail.field(), "", 0)
	case m.sim.world.Now()-c.createdAt > a.maxAge && !a.ended: // the attempt joined a fill that accepts older copies
		m.fill(a, source)
	default:
		m.sendCopy(a, c, detail)
	}
}

// fetchFromOrigin makes the source of a fill, which is a parent, fetch the copy from the origin and store it.
func (m *machine) fetchFromOrigin(f *fill) {
	var created *cachedCopy
	origin := m.sim.origin
	f.source.call(origin, func() { created = origin.makeCopy(f.first) }, func(ok bool) {
		if !ok || created == nil {
			m.host.After(originDelay, func() { m.endFill(f, nil, detailOriginFailed) })
			return
		}
		f.source.store(created, parentRank)
		m.host.After(originDelay, func() { m.endFill(f, created, detailViaOrigin) })
	})
}

// supply returns the copy that a machine has as the source of a fill, or the reason why it has none. If it returns
// neither (nil and detailNone), the machine must fetch from the origin.
func (m *machine) supply(a *attempt) (*cachedCopy, fillDetail) {
	if m.kind == kindOrigin {
		return m.makeCopy(a), detailViaOrigin
	}
	now := m.sim.world.Now()
	if c := m.usableCopy(a.objectKey, a.maxAge, now); c != nil {
		c.usedAt = now
		supplied := *c
		return &supplied, detailFilled
	}
	if a.onlyIfCached || m.kind == kindCache {
		return nil, detailSourceLacks
	}
	return nil, detailNone
}

// call is a remote call from one machine to another.
type call struct {
	from, to    *machine
	incarnation int // of from
	work        func()
	done        func(ok bool) // called once, unless from has restarted
	ended       bool
}

// call runs work in another machine, and then done in this one; ok tells whether the other machine has confirmed the
// work. A call that gets no reply, as its machine is not reachable, ends with fillTimeout.
func (m *machine) call(to *machine, work func(), done func(ok bool)) {
	c := &call{from: m, to: to, incarnation: m.incarnation, work: work, done: done}
	m.host.After(fillTimeout, func() { c.end(false) })
	if !m.sim.reachable(m, to) {
		return
	}
	incarnation := to.host.Incarnation()
	m.sim.after(machineDelay, func() {
		if !to.running {
			c.answer(false)
			return
		}
		to.host.After(0, func() { c.run(incarnation) })
	})
}

// run runs the work in the called machine. The work is confirmed only if the process still has the given
// incarnation.
func (c *call) run(incarnation int) {
	to := c.to
	if to.rejecting > 0 || to.failing > 0 {
		c.answer(false)
		return
	}
	doneAt, ok := to.queueWork(callUnits)
	if !ok {
		c.answer(false)
		return
	}
	to.host.After(doneAt-to.sim.world.Now(), func() {
		c.work()
		if to.sim.reachable(to, c.from) && to.host.Incarnation() == incarnation {
			c.answer(true)
		}
	})
}

// answer sends the reply to the calling machine.
func (c *call) answer(ok bool) { c.from.host.After(machineDelay, func() { c.end(ok) }) }

// end calls done, unless the call has ended before or the calling machine has restarted.
func (c *call) end(ok bool) {
	if c.ended || c.from.incarnation != c.incarnation {
		return
	}
	c.ended = true
	c.done(ok)
}
