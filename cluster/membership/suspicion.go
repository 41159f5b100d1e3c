package membership

import (
	"math"
	"slices"

	"threadrun/internal/clock"
)

const (
	healthDoubling = 8 // points of health that double the time until a death is believed
	maxOwnSuspects = 4 // that are pinged again and again

	returnsAfterSplit = 3                // suspected or dead members that return within returnWindow: a split has healed
	returnWindow      = clock.Second     // of these returns
	splitRecovery     = 5 * clock.Second // after a split has healed, in which deaths are checked
	splitInterval     = 5 * clock.Second // between two splits that are taken for different ones

	maxMissShare  = 0.01 // chance that all pings which check a death are lost
	maxCheckPings = 3
	checkInterval = 20 * clock.Millisecond
	checkReserve  = datagramBurst / 2 // datagrams that these pings leave for acks
)

// suspect takes an accusation of a member.
func (m *Members) suspect(r *record, refutations Refutations, accuser NodeID) {
	if refutations < r.refutations || !r.State.Present() {
		return
	}
	if accuser == r.ID || accuser == noNode || !m.credible(accuser) {
		return
	}
	if r.State == Leaving { // it has announced its end: there is nothing to wait for
		if accuser == m.self.ID {
			m.transition(r, Left)
		}
		return
	}
	if r.State != Suspect || refutations > r.refutations {
		m.startSuspicion(r, refutations)
	}
	m.addAccuser(r, accuser)
}

func (m *Members) startSuspicion(r *record, refutations Refutations) {
	m.stats.Suspicions++
	r.refutations = refutations
	r.accuserCount = 0
	if r.State == Suspect {
		r.Since = m.now
	} else {
		m.transition(r, Suspect)
	}
}

func (m *Members) addAccuser(r *record, accuser NodeID) {
	if r.accuserCount == maxAccusers || slices.Contains(r.accusers[:r.accuserCount], accuser) {
		return
	}
	r.accusers[r.accuserCount] = accuser
	r.accuserCount++
	m.enqueueGossip(r, true)
}

// credible reports whether a member's accusations count. After a split has healed, members accuse all that the split
// has separated from them.
func (m *Members) credible(accuser NodeID) bool {
	if accuser == m.self.ID {
		return true
	}
	r := m.find(accuser)
	return r != nil && r.State.Present()
}

// suspicionTimeout is how long a suspect has to refute: the more have accused it independently, the shorter.
func (m *Members) suspicionTimeout(r *record) Micros {
	shortest, longest := m.suspicion.MinTimeout, m.suspicion.MaxTimeout
	// Members that can join the first accuser.
	confirmations := min(m.suspicion.Confirmations, m.aliveCount(), maxAccusers-1)
	if confirmations <= 0 {
		return m.scaleByHealth((shortest + longest) / 2)
	}
	if r.accuserCount <= 1 { // gossip takes longer among many members
		return m.scaleByHealth(Micros(float64(longest) * max(1, math.Log2(float64(len(m.records)+2))/4)))
	}
	share := math.Log(float64(min(r.accuserCount-1, confirmations)+1)) / math.Log(float64(confirmations+1))
	return m.scaleByHealth(longest - Micros(share*float64(longest-shortest)))
}

// aliveCount counts the other members that nobody suspects.
func (m *Members) aliveCount() (n int) {
	for _, r := range m.records {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// scaleByHealth prolongs a timeout where this router is itself slow.
func (m *Members) scaleByHealth(timeout Micros) Micros {
	return timeout + timeout*Micros(m.health)/healthDoubling
}

// expireSuspicions takes suspects for dead that have not refuted in time.
func (m *Members) expireSuspicions() {
	for _, r := range m.records {
		if r.State != Suspect || m.now-max(r.Since, m.splitHealedAt) < m.suspicionTimeout(r) || !m.deathConfirmed(r) {
			continue
		}
		m.stats.Deaths++
		m.transition(r, Dead)
	}
}

// deathConfirmed reports whether a death may be believed. After a split has healed, all are accused of what the split
// did, and refutations come late: there is more gossip than can be sent. Pings of this router must first fail.
func (m *Members) deathConfirmed(r *record) bool {
	if m.splitHealedAt == 0 || m.now-m.splitHealedAt > splitRecovery {
		return true
	}
	if r.lastCheckPing < m.splitHealedAt {
		r.checkPings = 0
	}
	if m.now-r.lastCheckPing < m.timing.AckTimeout*m.timeoutFactor() {
		return false
	}
	if r.checkPings >= m.checkPingsNeeded() {
		return true
	}
	if m.now-m.lastCheck >= checkInterval && m.limiter.Tokens() > checkReserve {
		r.checkPings++
		r.lastCheckPing = m.now
		m.lastCheck = m.now
		m.ping(r)
	}
	return false
}

// checkPingsNeeded is the number of pings that are hardly all lost.
func (m *Members) checkPingsNeeded() int {
	pings := 1
	for missed := m.lossShare; missed > maxMissShare && pings < maxCheckPings; missed *= m.lossShare {
		pings++
	}
	return pings
}

// recordReturn notes that a suspected or dead member has spoken in the same incarnation. Where several do within
// returnWindow, a split has healed, and the suspects get their time anew.
func (m *Members) recordReturn(r *record) {
	if r.ID == m.lastReturned {
		return
	}
	m.lastReturned = r.ID
	if m.now-m.firstReturn > returnWindow {
		m.firstReturn = m.now
		m.returns = 0
	}
	m.returns++
	if m.returns == returnsAfterSplit && m.now-m.splitHealedAt > splitInterval {
		m.splitHealedAt = m.now
	}
}

// addOwnSuspect keeps a suspect that this router has accused, to be pinged again.
func (m *Members) addOwnSuspect(r *record) {
	if r.State != Suspect || slices.Contains(m.ownSuspects, r.ID) || len(m.ownSuspects) >= maxOwnSuspects {
		return
	}
	m.ownSuspects = append(m.ownSuspects, r.ID)
	m.nextReping = min(m.nextReping, m.now)
}

// repingSuspects pings those that this router has accused: an ack may have been lost, and each ping tells the suspect
// of the accusation.
func (m *Members) repingSuspects() {
	m.ownSuspects = slices.DeleteFunc(m.ownSuspects, func(id NodeID) bool {
		r := m.find(id)
		return r == nil || r.State != Suspect
	})
	if len(m.ownSuspects) == 0 || m.now < m.nextReping {
		return
	}
	m.nextReping = m.now + m.timing.AckTimeout/2
	m.repings++
	m.ping(m.find(m.ownSuspects[m.repings%len(m.ownSuspects)]))
}
