package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
)

// Receive takes a datagram.
func (m *Members) Receive(now Micros, from netip.AddrPort, b []byte) error {
	m.advanceClock(now)
	m.stats.Received++
	if m.state == Left {
		return nil
	}
	h, err := decode(b)
	if err != nil || h.sender.ID == m.self.ID && h.sender.Incarnation == m.self.Incarnation {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	m.lastReceived = m.now
	m.merge(&h.sender, h.sender.ID, true)
	for len(h.gossip.B) > 0 {
		if e := readEntry(&h.gossip); m.expandBrief(&e) {
			m.merge(&e, h.sender.ID, false)
		}
	}
	if h.sender.Address.IsValid() {
		from = h.sender.Address // where it can be reached, whatever way this came
	}
	m.dispatch(&h, from)
	return nil
}

// dispatch does what a datagram asks for.
func (m *Members) dispatch(h *message, from netip.AddrPort) {
	r := m.find(h.sender.ID)
	switch h.kind {
	case ping:
		m.newDatagram(ack).number(h.seq).repairs(&h.sums, r).gossip(r).send(from)
	case ack:
		m.recordAck(h.seq)
		if i := m.probeIndex(h.seq); i >= 0 {
			m.recordLoss(m.probes[i].attempts > 1)
			m.probes = slices.Delete(m.probes, i, i+1)
			m.adjustHealth(-1)
		}
		m.forwardAck(h.seq, r)
	case pingRequest:
		if h.id == m.self.ID || len(m.indirect) >= maxIndirect {
			return
		}
		t := m.find(h.id)
		if t != nil {
			h.address = t.Address
		}
		m.pingSeq++
		m.indirect = append(m.indirect, indirectProbe{seq: m.pingSeq, askerSeq: h.seq, asker: from, target: h.id,
			deadline: m.now + m.timing.AckTimeout})
		m.newDatagram(ping).number(m.pingSeq).sums().gossip(t).send(h.address)
	case nack:
		if i := m.probeIndex(h.seq); i >= 0 {
			m.probes[i].helperReplies++
		}
		m.recordAck(h.seq)
	case pull:
		m.sendPages(from, h.id)
	case page:
		m.listComplete = m.listComplete || h.id == 0
		m.pullCursor = h.id
	}
}

// recordAck notes that others hear this router: an answer has come to what left then.
func (m *Members) recordAck(seq uint32) {
	if at := m.recentPings[seq%maxRecentPings]; at.seq == seq && at.sent > m.lastAcked {
		m.lastAcked = at.sent
	}
}

// forwardAck passes an answer on to whom a member was probed for.
func (m *Members) forwardAck(seq uint32, r *record) {
	for i, w := range m.indirect {
		if r != nil && w.seq == seq && w.target == r.ID {
			m.indirect = slices.Delete(m.indirect, i, i+1)
			d, _ := m.newDatagram(ack).number(w.askerSeq).entry(r)
			d.gossip(nil).send(w.asker)
			return
		}
	}
}

// sendPages answers a pull: the members after a mark, and where the next part begins; 0 starts over.
func (m *Members) sendPages(to netip.AddrPort, after NodeID) {
	at, found := m.search(after)
	if found {
		at++
	}
	for range maxPages {
		b, end := m.newDatagram(page), at
		head := b.size
		b = b.id(0)
		for fits := true; end < len(m.all) && fits; {
			if m.all[end].State != Unknown {
				b, fits = b.entry(m.all[end])
			}
			if fits {
				end++
			}
		}
		if end < len(m.all) && end > 0 {
			datagram{m, head}.id(m.all[end-1].ID)
		}
		b.send(to)
		if at = end; at >= len(m.all) {
			return
		}
	}
}

// merge believes, or not, a piece of news. By is who told it; what a member tells of itself is direct. A death is never
// believed on another's word: it counts as one more accusation, so that no single datagram can have everyone dead.
func (m *Members) merge(e *entry, by NodeID, direct bool) {
	if e.ID == m.self.ID {
		m.refute(e)
		return
	}
	r := m.find(e.ID)
	if r == nil {
		if !e.state.Present() {
			return
		}
		if r = m.add(e.ID); r == nil {
			return
		}
	}
	if e.accuser == 0 && direct {
		e.accuser = by
	}
	if !direct {
		r.heardAgain(e)
	}
	if direct && (r.State == Dead || r.State == Suspect) && e.Incarnation == r.Incarnation {
		m.recordReturn(r)
	}
	switch {
	case e.Incarnation < r.Incarnation:
		r.oldIncarnation = r.oldIncarnation || direct // it lives in the past, and is told so
	case e.Incarnation > r.Incarnation || r.State == Unknown:
		if !direct && !e.state.Present() {
			return
		}
		if !direct {
			m.lastUnknownIncarnation = m.now
		}
		m.newIncarnation(r, e, by)
	case e.state == Alive && e.refutations > r.refutations:
		r.refutations = e.refutations
		m.transition(r, Alive)
	case e.state == Leaving && (e.refutations > r.refutations || e.refutations == r.refutations && r.State == Alive):
		r.refutations = e.refutations
		m.transition(r, Leaving)
	case e.state == Left && (direct || r.State == Leaving) && e.refutations >= r.refutations:
		r.refutations = e.refutations
		m.transition(r, Left)
	case e.state == Suspect || !e.state.Present():
		m.suspect(r, e.refutations, e.accuser)
	}
	if direct && r.Incarnation == e.Incarnation {
		r.Identity = e.Identity
	}
}

// heardAgain has a piece of news go round less where it is heard from another: whoever tells what all know is to stop.
func (r *record) heardAgain(e *entry) {
	if r.transmissions > 0 && e.Incarnation == r.Incarnation && e.refutations == r.refutations && e.state == r.State {
		r.transmissions--
	}
}

// newIncarnation takes in a member's new life, or the first that is heard of it.
func (m *Members) newIncarnation(r *record, e *entry, by NodeID) {
	r.Identity, r.refutations, r.accuserCount, r.urgent = e.Identity, e.refutations, 0, false // in brief, as its death went round, nobody would learn of its new life
	m.enqueueGossip(r, false)
	state := e.state
	if !state.Present() {
		state = Suspect
	}
	r.State, r.Since = state, m.now
	if state == Suspect {
		m.stats.Suspicions++
		r.accusers[0], r.accuserCount = e.accuser, 1
	}
	m.post.Changed(r.Member)
}

// refute refutes what others hold of this router. One that hears of a later life than its own has been started
// before with a clock that ran ahead, and lives anew after that.
func (m *Members) refute(e *entry) {
	switch {
	case e.Incarnation > m.self.Incarnation:
		m.post.Note(fmt.Sprintf("members: a later life of this router is known, %d after %d: it goes on as a new one",
			e.Incarnation, m.self.Incarnation))
		m.self.Incarnation, m.refutations = e.Incarnation+1, 0
		m.post.Changed(m.Self())
	case e.Incarnation == m.self.Incarnation && e.refutations >= m.refutations && (e.state != Alive && e.state != m.state):
		m.refutations = e.refutations + 1
		m.stats.Refuted++
		m.adjustHealth(1)
	}
}

// suspect enters an accusation.
func (m *Members) suspect(r *record, inc Refutations, by NodeID) {
	switch {
	case inc < r.refutations || !r.State.Present() || by == r.ID || by == 0 || !m.credible(by):
		return
	case r.State == Leaving: // it had told: nothing is to be waited for
		if by == m.self.ID {
			m.transition(r, Left)
		}
		return
	case r.State != Suspect || inc > r.refutations:
		m.stats.Suspicions++
		r.refutations, r.accuserCount = inc, 0
		if r.State == Suspect {
			r.Since = m.now
		} else {
			m.transition(r, Suspect)
		}
	}
	for _, a := range r.accusers[:r.accuserCount] {
		if a == by {
			return
		}
	}
	if r.accuserCount < len(r.accusers) {
		r.accusers[r.accuserCount] = by
		r.accuserCount++
		m.enqueueGossip(r, true)
	}
}

// credible tells whether a member's accusations count: beyond a split that has healed, all accuse all of what the split did.
func (m *Members) credible(by NodeID) bool {
	if by == m.self.ID {
		return true
	}
	r := m.find(by)
	return r != nil && r.State.Present()
}

// suspicionTimeout is how long a suspect has to refute: the less, the more have accused it by themselves.
func (m *Members) suspicionTimeout(r *record) Micros {
	most := min(m.suspicion.Confirmations, m.aliveCount(), maxAccusers-1) // that can come to the first
	if most <= 0 {
		return m.scaleByHealth((m.suspicion.MinTimeout + m.suspicion.MaxTimeout) / 2)
	}
	if r.accuserCount <= 1 { // news takes longer among many
		return m.scaleByHealth(Micros(float64(m.suspicion.MaxTimeout) * max(1, math.Log2(float64(len(m.all)+2))/4)))
	}
	share := math.Log(float64(min(r.accuserCount-1, most)+1)) / math.Log(float64(most+1))
	return m.scaleByHealth(m.suspicion.MaxTimeout - Micros(share*float64(m.suspicion.MaxTimeout-m.suspicion.MinTimeout)))
}

// aliveCount counts the others that nobody doubts.
func (m *Members) aliveCount() (n int) {
	for _, r := range m.all {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// scaleByHealth is how much longer a router that is itself slow waits before it believes a death.
func (m *Members) scaleByHealth(t Micros) Micros { return t + t*Micros(m.health)/healthDoubling }

// expireSuspicions believes deaths that were not refuted in time.
func (m *Members) expireSuspicions() {
	for _, r := range m.all {
		if r.State != Suspect || m.now-max(r.Since, m.splitHealedAt) < m.suspicionTimeout(r) || !m.deathConfirmed(r) {
			continue
		}
		m.stats.Deaths++
		m.transition(r, Dead)
	}
}

// deathConfirmed tells whether a death may be believed. After a split has healed, all are accused of what the split did, and among
// hundreds of pieces of news their refutations come late: so a ping of our own must first have gone unanswered.
func (m *Members) deathConfirmed(r *record) bool {
	if m.splitHealedAt == 0 || m.now-m.splitHealedAt > splitRecovery {
		return true
	}
	tries := 1
	for miss := m.lossShare; miss > maxMissShare && tries < maxCheckPings; miss *= m.lossShare {
		tries++
	}
	wait := m.timing.AckTimeout * m.timeoutFactor()
	if r.lastCheckPing < m.splitHealedAt {
		r.checkPings = 0
	}
	switch {
	case r.checkPings >= tries && m.now-r.lastCheckPing >= wait:
		return true
	case r.checkPings < tries && m.now-r.lastCheckPing >= wait && m.now-m.lastCheck >= checkInterval && m.tokens > checkReserve:
		r.checkPings, r.lastCheckPing, m.lastCheck = r.checkPings+1, m.now, m.now
		m.ping(r)
	}
	return false
}

// recordReturn notes that one that was suspected or taken for dead has spoken in the same life. Where several do, a split has healed, and those
// that are suspected for it get their time anew.
func (m *Members) recordReturn(r *record) {
	if r.ID == m.lastReturned {
		return
	}
	m.lastReturned = r.ID
	if m.now-m.firstReturn > clock.Second {
		m.firstReturn, m.returns = m.now, 0
	}
	if m.returns++; m.returns == returnsAfterSplit && m.now-m.splitHealedAt > splitInterval {
		m.splitHealedAt = m.now
	}
}

// transition is the one place where a member changes its state within one life.
func (m *Members) transition(r *record, to State) {
	for _, s := range follows[r.State] {
		if s != to {
			continue
		}
		if to == Left {
			m.stats.Departures++
		}
		r.checkPings = 0
		r.State, r.Since = to, m.now
		if to != Suspect && to != Dead { // who accused it is told with its death
			r.accuserCount = 0
		}
		m.enqueueGossip(r, true)
		m.post.Changed(r.Member)
		return
	}
}

// before tells whether news of a member goes before that of another: doubts and their end before who has come.
func (r *record) before(o *record) bool {
	if r.urgent != o.urgent {
		return r.urgent
	}
	if a, b := r.State == Alive, o.State == Alive; a != b { // a refutation is waited for with a clock running
		return a
	}
	return r.transmissions > o.transmissions
}

// enqueueGossip has the news of a member go round. Of one that has come it does so less: lists that are pulled tell of it too.
func (m *Members) enqueueGossip(r *record, urgent bool) {
	if r.transmissions <= 0 {
		m.gossipQueue = append(m.gossipQueue, r)
		r.urgent = false
	}
	r.urgent = r.urgent || urgent
	if r.transmissions = m.gossipTransmissions(); !r.urgent {
		r.transmissions /= gossipFactor
	}
}

// gossip adds what is to be told: first what its receiver must know of itself, then what was told least.
func (d datagram) gossip(to *record) datagram {
	if to != nil && (to.State == Suspect || !to.State.Present() || to.oldIncarnation) && to.State != Unknown {
		if to.oldIncarnation {
			d, _ = d.entry(to)
		} else {
			d, _ = d.gossipEntry(to)
		}
		to.oldIncarnation = false
	}
	m := d.m
	for fits := true; fits; {
		var best *record
		for _, r := range m.gossipQueue {
			if r != to && r.lastDatagram != m.datagramSeq && (best == nil || r.before(best)) {
				best = r
			}
		}
		if best == nil {
			break
		}
		if d, fits = d.gossipEntry(best); fits {
			best.lastDatagram = m.datagramSeq
			best.transmissions--
		}
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(r *record) bool { return r.transmissions <= 0 })
	return d
}
