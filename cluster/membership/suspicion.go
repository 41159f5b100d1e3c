package membership

import (
	"math"
	"slices"

	"threadrun/internal/clock"
)

const (
	localHealthDoubling = 8 // local health points that double the time until a death is believed
	maxOwnSuspects      = 4 // suspects that are pinged repeatedly

	returnsAfterPartition = 3                // returns within returnWindow after which a partition counts as healed
	returnWindow          = clock.Second     // window in which these returns are counted
	partitionRecovery     = 5 * clock.Second // time after a network partition in which deaths are checked by pings
	partitionInterval     = 5 * clock.Second // minimum time between two healed network partitions

	maxMissShare  = 0.01 // acceptable probability that all pings that check a death are lost
	maxCheckPings = 3
	checkInterval = 20 * clock.Millisecond
	checkReserve  = datagramBurst / 2 // rate limit tokens that these pings must not use, so that acks can be sent
)

// suspect handles an accusation of a member.
func (m *Members) suspect(r *knownMember, refutations Refutations, accuser NodeID) {
	if refutations < r.refutations || !r.State.Present() {
		return
	}
	if accuser == r.ID || accuser == noNode || !m.credible(accuser) {
		return
	}
	if r.State == Leaving { // it has announced its departure, so there is no need to wait
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

func (m *Members) startSuspicion(r *knownMember, refutations Refutations) {
	m.stats.Suspicions++
	r.refutations = refutations
	r.accuserCount = 0
	if r.State == Suspect {
		r.Since = m.now
	} else {
		m.transition(r, Suspect)
	}
}

func (m *Members) addAccuser(r *knownMember, accuser NodeID) {
	if r.accuserCount == maxAccusers || slices.Contains(r.accusers[:r.accuserCount], accuser) {
		return
	}
	r.accusers[r.accuserCount] = accuser
	r.accuserCount++
	m.enqueueGossip(r, true)
}

// credible reports whether a router's accusations count. Only present members are credible: after a network partition
// has healed, members accuse everyone whom the partition had separated from them.
func (m *Members) credible(accuser NodeID) bool {
	if accuser == m.self.ID {
		return true
	}
	r := m.find(accuser)
	return r != nil && r.State.Present()
}

// suspicionTimeout returns how long a suspect has to refute. The more routers have accused it independently, the
// shorter it is.
func (m *Members) suspicionTimeout(r *knownMember) Micros {
	shortest, longest := m.suspicion.MinTimeout, m.suspicion.MaxTimeout
	// The number of members that could confirm the first accusation.
	confirmations := min(m.suspicion.Confirmations, m.aliveCount(), maxAccusers-1)
	if confirmations <= 0 {
		return m.scaleByLocalHealth((shortest + longest) / 2)
	}
	if r.accuserCount <= 1 { // gossip takes longer with many members
		return m.scaleByLocalHealth(Micros(float64(longest) * max(1, math.Log2(float64(len(m.members)+2))/4)))
	}
	share := math.Log(float64(min(r.accuserCount-1, confirmations)+1)) / math.Log(float64(confirmations+1))
	return m.scaleByLocalHealth(longest - Micros(share*float64(longest-shortest)))
}

// aliveCount returns the number of other members that are not suspected.
func (m *Members) aliveCount() (n int) {
	for _, r := range m.members {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// scaleByLocalHealth extends a timeout if this router is slow itself.
func (m *Members) scaleByLocalHealth(timeout Micros) Micros {
	return timeout + timeout*Micros(m.localHealth)/localHealthDoubling
}

// expireSuspicions declares suspects dead that have not refuted in time.
func (m *Members) expireSuspicions() {
	for _, r := range m.members {
		if r.State != Suspect || m.now-max(r.Since, m.partitionHealedAt) < m.suspicionTimeout(r) || !m.confirmDeath(r) {
			continue
		}
		m.stats.Deaths++
		m.transition(r, Dead)
	}
}

// confirmDeath reports whether a suspect may be declared dead. After a network partition has healed, members are
// accused because of the partition, and refutations arrive late because there is more gossip than can be sent. Then
// pings of this router must fail first: confirmDeath sends the next one when it is due.
func (m *Members) confirmDeath(r *knownMember) bool {
	if m.partitionHealedAt == 0 || m.now-m.partitionHealedAt > partitionRecovery {
		return true
	}
	if r.lastCheckPing < m.partitionHealedAt {
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

// checkPingsNeeded returns the number of pings that are very unlikely to be lost all together.
func (m *Members) checkPingsNeeded() int {
	pings := 1
	for missed := m.lossShare; missed > maxMissShare && pings < maxCheckPings; missed *= m.lossShare {
		pings++
	}
	return pings
}

// recordReturn records that a suspected or dead member has sent a datagram in the same incarnation. Several such
// returns within returnWindow mean that a network partition has healed, which restarts the timeouts of all suspects.
func (m *Members) recordReturn(r *knownMember) {
	if r.ID == m.lastReturned {
		return
	}
	m.lastReturned = r.ID
	if m.now-m.firstReturn > returnWindow {
		m.firstReturn = m.now
		m.returns = 0
	}
	m.returns++
	if m.returns == returnsAfterPartition && m.now-m.partitionHealedAt > partitionInterval {
		m.partitionHealedAt = m.now
	}
}

// addOwnSuspect adds a suspect that this router has accused to those that it pings again.
func (m *Members) addOwnSuspect(r *knownMember) {
	if r.State != Suspect || slices.Contains(m.ownSuspects, r.ID) || len(m.ownSuspects) >= maxOwnSuspects {
		return
	}
	m.ownSuspects = append(m.ownSuspects, r.ID)
	m.nextReping = min(m.nextReping, m.now)
}

// repingSuspects pings members that this router has accused: an ack may have been lost, and the ping informs the
// suspect of the accusation.
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
