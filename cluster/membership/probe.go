package membership

import "slices"

const (
	maxLocalHealth    = 4    // points; each makes a router wait longer for acks
	lossAverageWeight = 0.05 // of the newest probe in the moving share of losses
	highLossShare     = 0.3  // from which each repetition is sent twice
	maxRecentPings    = 32   // whose late acks still prove contact
)

// probe is a probe under way.
type probe struct {
	target        NodeID
	seq           uint32
	sent          Micros
	deadline      Micros
	attempts      int
	helpers       int // members asked to ping the target
	helperReplies int // of those that answered at all
}

// sentPing is a ping of this router.
type sentPing struct {
	seq  uint32
	sent Micros
}

// adjustLocalHealth adds points to the health; more points mean that this router is slower.
func (m *Members) adjustLocalHealth(points int) {
	m.localHealth = min(max(m.localHealth+points, 0), maxLocalHealth)
}

// timeoutFactor is how many times longer this router waits for acks as it is itself slow.
func (m *Members) timeoutFactor() Micros { return Micros(1 + m.localHealth) }

// advanceProbes continues the probes under way and starts the next one. A slow router waits longer, and starts as many.
func (m *Members) advanceProbes() {
	for i := range m.probes {
		p := &m.probes[i]
		timeout := m.timing.AckTimeout * Micros(p.attempts) * m.timeoutFactor()
		if p.attempts < m.timing.Attempts && m.now-p.sent >= timeout {
			p.attempts++
			m.retryProbe(p)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool {
		expired := m.now >= p.deadline
		if expired {
			m.probeFailed(p)
		}
		return expired
	})
	if m.now >= m.nextProbe {
		m.startProbe()
	}
}

func (m *Members) startProbe() {
	// Even intervals, but no burst that makes up for missed ones.
	m.nextProbe = max(m.nextProbe+m.timing.ProbeInterval, m.now+m.timing.ProbeInterval/2)
	r := m.find(m.pickProbeTarget())
	if r == nil {
		return
	}
	timeout := m.timing.AckTimeout * Micros(m.timing.Attempts+1) * m.timeoutFactor()
	m.probes = append(m.probes, probe{
		target:   r.ID,
		seq:      m.ping(r),
		sent:     m.now,
		deadline: m.now + timeout,
		attempts: 1,
	})
}

// probeIndex finds the probe that an answer belongs to; -1: none.
func (m *Members) probeIndex(seq uint32) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.seq == seq })
}

// retryProbe repeats a ping, and asks other members to ping with the last attempt. Without it a member would be blamed
// for lost datagrams, or for a fault on one path.
func (m *Members) retryProbe(p *probe) {
	target := m.find(p.target)
	if target == nil {
		return
	}
	copies := 1
	if m.lossShare > highLossShare {
		copies = 2
	}
	for range copies {
		m.newPing(p.seq, target).send(target.Address)
	}
	if p.attempts >= m.timing.Attempts {
		m.requestPings(p, target, m.timing.IndirectProbes*copies)
	}
}

// requestPings asks up to the given number of other members to ping the target of a probe.
func (m *Members) requestPings(p *probe, target *knownMember, count int) {
	n := len(m.members)
	start, step := m.random.IntN(n), stride(n)
	for i := 0; i < n && p.helpers < count; i++ {
		helper := m.members[(start+i*step)%n]
		if helper.State != Alive || helper.ID == target.ID {
			continue
		}
		p.helpers++
		request := m.newDatagram(pingRequest).number(p.seq).id(target.ID).address(target.Address)
		request.gossip(nil).send(helper.Address)
	}
}

// recordLoss takes into account whether an answered probe took more than its first ping. With high losses each further
// ping is sent twice: otherwise so many members would be suspected at once that gossip could not tell of all. Dead
// members, and those beyond a split, show nothing of losses.
func (m *Members) recordLoss(late bool) {
	m.lossShare -= lossAverageWeight * m.lossShare
	if late {
		m.lossShare += lossAverageWeight
	}
}

// probeFailed suspects the target of a probe without an ack. Helpers that do not answer either are a sign that this
// router is the slow one.
func (m *Members) probeFailed(p probe) {
	if p.helpers > 0 && p.helperReplies == 0 {
		m.adjustLocalHealth(1)
	}
	r := m.find(p.target)
	if r == nil || !r.State.Present() {
		return
	}
	m.suspect(r, r.refutations, m.self.ID)
	m.addOwnSuspect(r)
}

// pickProbeTarget returns the next member to probe; 0: none. Every other time it is the successor of this router by ID:
// so each member is probed by some router within two intervals, and no death goes unnoticed for long. In between it is
// each member in a random order, so that accusers are independent.
func (m *Members) pickProbeTarget() NodeID {
	m.probeSuccessor = !m.probeSuccessor
	if m.probeSuccessor {
		if id := m.successor(); id != noNode {
			return id
		}
	}
	for range 2 {
		if id := m.nextInProbeOrder(); id != noNode {
			return id
		}
		m.renewProbeOrder()
	}
	return noNode
}

// successor is the next alive member by ID after this router; 0: none.
func (m *Members) successor() NodeID {
	start, _ := m.search(m.self.ID)
	for i := range m.members {
		if r := m.members[(start+i)%len(m.members)]; r.State == Alive {
			return r.ID
		}
	}
	return noNode
}

func (m *Members) nextInProbeOrder() NodeID {
	for m.probeNext < len(m.probeOrder) {
		id := m.probeOrder[m.probeNext]
		m.probeNext++
		if r := m.find(id); r != nil && r.State.Present() {
			return id
		}
	}
	return noNode
}

func (m *Members) renewProbeOrder() {
	m.probeOrder = m.probeOrder[:0]
	m.probeNext = 0
	for _, r := range m.members {
		if r.State.Present() {
			m.probeOrder = append(m.probeOrder, r.ID)
		}
	}
	m.random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// ping pings a member and returns the ping's number.
func (m *Members) ping(r *knownMember) uint32 {
	seq := m.nextPing()
	m.newPing(seq, r).send(r.Address)
	return seq
}

// nextPing returns the number of a new ping whose ack proves contact.
func (m *Members) nextPing() uint32 {
	m.pingSeq++
	m.recentPings[m.pingSeq%maxRecentPings] = sentPing{m.pingSeq, m.now}
	return m.pingSeq
}

// recordAck notes that others hear this router: an answer has come to a ping.
func (m *Members) recordAck(seq uint32) {
	ping := m.recentPings[seq%maxRecentPings]
	if ping.seq == seq && ping.sent > m.lastAcked {
		m.lastAcked = ping.sent
	}
}

// onAck ends the probe that an ack answers.
func (m *Members) onAck(seq uint32) {
	m.recordAck(seq)
	i := m.probeIndex(seq)
	if i < 0 {
		return
	}
	m.recordLoss(m.probes[i].attempts > 1)
	m.probes = slices.Delete(m.probes, i, i+1)
	m.adjustLocalHealth(-1)
}

// onNack notes that a helper is there, although the target has not answered it.
func (m *Members) onNack(seq uint32) {
	if i := m.probeIndex(seq); i >= 0 {
		m.probes[i].helperReplies++
	}
	m.recordAck(seq)
}
