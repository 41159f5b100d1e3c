package membership

import (
	"math"
	"slices"

	"threadrun/internal/clock"
)

const (
	localHealthDoubling = 8 // local health score that would double the timeout of a suspicion
	maxOwnSuspects      = 4 // own suspects that are pinged repeatedly

	// Returns of suspected or dead members show that a network partition has healed; see recordReturn.
	returnsAfterPartition = 3                // returns within returnWindow after which a partition counts as healed
	returnWindow          = clock.Second     // window in which these returns are counted
	partitionRecovery     = 5 * clock.Second // time after a healed partition in which deaths are checked by pings
	partitionInterval     = 5 * clock.Second // minimum time between two healed partitions

	// Pings that check a death; see confirmDeath.
	maxMissProbability = 0.01                   // acceptable probability that all of them are lost
	maxCheckPings      = 3                      // per suspect
	checkInterval      = 20 * clock.Millisecond // minimum time between two of them, to any suspects
	checkReserve       = datagramBurst / 2      // rate limit tokens that they must not use, so that acks can be sent
)

// suspect handles an accusation of a member. It ignores accusations that the member has refuted already, accusations
// of members that are not present, and accusations by the member itself or by routers that are not credible.
func (m *Members) suspect(r *knownMember, refutations Refutations, accuser NodeID) {
	if refutations < r.refutations || !r.State.Present() {
		return
	}
	if accuser == r.ID || accuser == noNode || !m.credible(accuser) {
		return
	}
	// A leaving member has announced its end, so this router's own failed probe suffices.
	if r.State == Leaving {
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

// startSuspicion begins a new suspicion, without accusers, whose timeout starts now.
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

// addAccuser adds a router to the accusers of a suspect, which shortens the timeout, and gossips the suspicion
// again.
func (m *Members) addAccuser(r *knownMember, accuser NodeID) {
	if r.accuserCount == maxAccusers || slices.Contains(r.accusers[:r.accuserCount], accuser) {
		return
	}
	r.accusers[r.accuserCount] = accuser
	r.accuserCount++
	m.enqueueGossip(r, true)
}

// credible reports whether a router's accusations count. Only present members and this router are credible: after a
// network partition has healed, routers still accuse those from which the partition had separated them.
func (m *Members) credible(accuser NodeID) bool {
	if accuser == m.self.ID {
		return true
	}
	r := m.find(accuser)
	return r != nil && r.State.Present()
}

// suspicionTimeout returns how long a suspect has to refute. As in Lifeguard, it decreases from MaxTimeout to
// MinTimeout with the logarithm of the number of accusers, and is longer at a slow router.
func (m *Members) suspicionTimeout(r *knownMember) Micros {
	shortest, longest := m.suspicion.MinTimeout, m.suspicion.MaxTimeout
	// No more confirmations are expected than there are alive members, and at most maxAccusers accusers are recorded.
	confirmations := min(m.suspicion.Confirmations, m.aliveCount(), maxAccusers-1)
	if confirmations <= 0 {
		return m.scaleByLocalHealth((shortest + longest) / 2)
	}
	if r.accuserCount <= 1 { // with many members, gossip needs more time to reach the suspect
		return m.scaleByLocalHealth(Micros(float64(longest) * max(1, math.Log2(float64(len(m.members)+2))/4)))
	}
	confirmed := math.Log(float64(min(r.accuserCount-1, confirmations)+1)) / math.Log(float64(confirmations+1))
	return m.scaleByLocalHealth(longest - Micros(confirmed*float64(longest-shortest)))
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

// scaleByLocalHealth extends a timeout if this router is slow itself, because it may receive a refutation late.
func (m *Members) scaleByLocalHealth(timeout Micros) Micros {
	return timeout + timeout*Micros(m.localHealth)/localHealthDoubling
}

// expireSuspicions declares suspects dead that have not refuted in time. After a healed partition, the timeouts of
// earlier suspicions start again.
func (m *Members) expireSuspicions() {
	for _, r := range m.members {
		if r.State != Suspect || m.now-max(r.Since, m.partitionHealedAt) < m.suspicionTimeout(r) || !m.confirmDeath(r) {
			continue
		}
		m.stats.Deaths++
		m.transition(r, Dead)
	}
}

// confirmDeath reports whether a suspect whose timeout has ended may be declared dead. Within partitionRecovery
// after a network partition has healed, members are accused because of the partition, and refutations arrive late
// because there is more gossip than can be sent. In this time, checkPingsNeeded pings of this router must fail
// first; confirmDeath sends the next one when it is due. An ack of the suspect, whose own entry refutes the
// suspicion, ends these pings.
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
	if m.now-m.lastDeathCheck >= checkInterval && m.limiter.Tokens() > checkReserve {
		r.checkPings++
		r.lastCheckPing = m.now
		m.lastDeathCheck = m.now
		m.ping(r)
	}
	return false
}

// checkPingsNeeded returns the number of pings, at most maxCheckPings, that are all lost with a probability of at
// most maxMissProbability, if lossShare is the probability that one of them is.
func (m *Members) checkPingsNeeded() int {
	pings := 1
	for allMissed := m.lossShare; allMissed > maxMissProbability && pings < maxCheckPings; allMissed *= m.lossShare {
		pings++
	}
	return pings
}

// recordReturn records that a suspected or dead member has sent a datagram in the same incarnation.
// returnsAfterPartition such returns within returnWindow mean that a network partition has healed, which restarts
// the timeouts of all suspects. Successive datagrams of one member count as one return.
func (m *Members) recordReturn(r *knownMember) {
	if r.ID == m.lastReturned {
		return
	}
	m.lastReturned = r.ID
	if m.now-m.returnWindowStart > returnWindow {
		m.returnWindowStart = m.now
		m.returnCount = 0
	}
	m.returnCount++
	if m.returnCount == returnsAfterPartition && m.now-m.partitionHealedAt > partitionInterval {
		m.partitionHealedAt = m.now
	}
}

// addOwnSuspect adds a suspect that this router has accused to those that it pings again, unless there are
// maxOwnSuspects already.
func (m *Members) addOwnSuspect(r *knownMember) {
	if r.State != Suspect || slices.Contains(m.ownSuspects, r.ID) || len(m.ownSuspects) >= maxOwnSuspects {
		return
	}
	m.ownSuspects = append(m.ownSuspects, r.ID)
	m.nextReping = min(m.nextReping, m.now)
}

// repingSuspects pings the own suspects in turn, one per half AckTimeout: an ack may have been lost, and the ping
// informs the suspect of the accusation.
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
