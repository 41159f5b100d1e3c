package system

import (
	"fmt"
	"strings"

	"threadrun/simulation/invariants"
)

const (
	attemptUnits = 1.0  // of work for an attempt
	callUnits    = 0.5  // of work for a call from another machine
	objectBytes  = 2000 // size of the body in an answer with a copy
)

// fillDetail is the cache status in an answer: where its copy is from, or why a fill failed.
type fillDetail string

const (
	detailNone         fillDetail = "" // the source must fetch from the origin
	detailHit          fillDetail = "hit"
	detailStale        fillDetail = "stale"
	detailFilled       fillDetail = "filled"
	detailJoined       fillDetail = "joined"
	detailViaOrigin    fillDetail = "via_origin"
	detailSourceLacks  fillDetail = "src_lacks"
	detailSourceBroke  fillDetail = "src_broke"
	detailOriginFailed fillDetail = "origin_failed"
)

func (d fillDetail) field() string { return "detail=" + string(d) }

var objectBody = strings.Repeat("b", objectBytes)

// admit queues an attempt, and rejects it if the queue is full. faults.Reject makes it reject and faults.Fail makes
// it fail all attempts; half of the writes that fail are carried out nevertheless.
func (m *machine) admit(a *attempt) {
	s := m.sim
	reject := func() { a.respond(answerFull, noFields, "", 0) }
	if m.rejecting > 0 {
		m.host.After(serviceTime, reject)
		return
	}
	if m.failing > 0 {
		m.host.After(serviceTime, func() {
			if a.isWrite && s.world.Random.IntN(2) == 0 {
				m.execute(a)
			}
			a.respond(answerFailed, noFields, "", 0)
		})
		return
	}
	doneAt, ok := m.queueWork(attemptUnits)
	if !ok {
		m.host.After(serviceTime, reject)
		return
	}
	m.host.After(doneAt-s.world.Now(), func() {
		if !a.ended {
			m.serve(a)
		}
	})
}

// execute carries out a write, once for each attempt.
func (m *machine) execute(a *attempt) {
	if a.executed {
		return
	}
	a.executed = true
	m.sim.observe(invariants.Event{
		Kind: invariants.Executed, Request: a.request, Attempt: a.attemptID, Machine: m.id,
	})
}

// serve answers a read from a copy or by a fill, and carries out a write.
func (m *machine) serve(a *attempt) {
	if a.isWrite {
		m.serveWrite(a)
		return
	}
	now := m.sim.world.Now()
	if c := m.usableCopy(a.objectKey, a.maxAge, now); c != nil {
		c.usedAt = now
		detail := detailHit
		if now-c.createdAt > freshFor {
			detail = detailStale
		}
		m.sendCopy(a, c, detail)
		return
	}
	if m.kind == kindOrigin {
		m.sendCopy(a, m.makeCopy(a), detailHit)
		return
	}
	source := m.sim.machineNamed(a.source)
	if source == nil {
		a.respond(answerAbsent, noFields, "", 0)
		return
	}
	m.fill(a, source)
}

// serveWrite carries out a write in the attempt's source if there is one, or else in the machine itself. The origin
// always carries it out itself.
func (m *machine) serveWrite(a *attempt) {
	source := m.sim.machineNamed(a.source)
	if m.kind == kindOrigin || source == nil {
		m.execute(a)
		a.respond(answerData, detailFilled.field(), "done", 0)
		return
	}
	// The source carries out the write even if the attempt is canceled in the meantime.
	m.call(source, func() { source.execute(a) }, func(ok bool) {
		if ok {
			a.respond(answerData, detailFilled.field(), "done", 0)
		} else {
			a.respond(answerFailed, detailSourceBroke.field(), "", 0)
		}
	})
}

// sendCopy answers an attempt with a copy, or with "unchanged" if the router has the same copy.
func (m *machine) sendCopy(a *attempt, c *cachedCopy, detail fillDetail) {
	fields := fmt.Sprintf("etag=%s,made=%d,%s", c.etag, unixMillis(c.createdAt), detail.field())
	if a.knownETag == c.etag {
		a.respond(answerUnchanged, fields, "", c.createdAt)
		return
	}
	a.respond(answerData, fields, objectBody, c.createdAt)
}
