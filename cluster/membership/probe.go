package membership

import "slices"

const (
	maxLocalHealth    = 4    // points; the waits for acks are multiplied by 1 + points
	lossAverageWeight = 0.05 // weight of the newest probe in lossShare
	highLossShare     = 0.3  // lossShare above which each repeated ping is sent twice
	maxRecentPings    = 32   // number of the latest pings whose acks prove contact
)

// probe is a probe in progress: up to Timing.Attempts pings of one member, which share a sequence number. It ends
// at the first ack, or fails at its deadline.
type probe struct {
	target        NodeID
	seq           uint32
	sent          Micros // time of the first ping
	deadline      Micros
	attempts      int // pings so far
	helpersAsked  int // members asked for an indirect ping
	helperReplies int // nacks received from the members asked
}

// sentPing records when this router sent a ping.
type sentPing struct {
	seq  uint32
	sent Micros
}

// adjustLocalHealth adds points, which may be negative, to the local health score. As in Lifeguard, a higher score
// means that this router is slower: it misses acks, is accused by others or was stalled.
func (m *Members) adjustLocalHealth(points int) {
	m.localHealth = min(max(m.localHealth+points, 0), maxLocalHealth)
}

// timeoutFactor returns the factor by which this router extends its waits for acks because it is slow itself.
func (m *Members) timeoutFactor() Micros { return Micros(1 + m.localHealth) }

// advanceProbes repeats the pings of the probes in progress, ends the probes without an ack at their deadlines, and
// starts the next probe. A slow router waits longer for acks but starts probes at the same rate.
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

// startProbe starts a probe of the next target, if there is any.
func (m *Members) startProbe() {
	// Keep the average interval despite late ticks, but send no burst to make up for missed probes.
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

// probeIndex returns the index of the probe with a sequence number, or -1.
func (m *Members) probeIndex(seq uint32) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.seq == seq })
}

// retryProbe repeats the ping of a probe, and requests indirect pings with the last repetition. Otherwise a member
// would be suspected because of lost datagrams or a fault on the path from this router.
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

// requestPings asks up to count alive members to ping the target of a probe.
func (m *Members) requestPings(p *probe, target *knownMember, count int) {
	n := len(m.members)
	start, step := m.random.IntN(n), stride(n)
	for i := 0; i < n && p.helpersAsked < count; i++ {
		helper := m.members[(start+i*step)%n]
		if helper.State != Alive || helper.ID == target.ID {
			continue
		}
		p.helpersAsked++
		request := m.newDatagram(pingRequest).number(p.seq).id(target.ID).address(target.Address)
		request.gossip(nil).send(helper.Address)
	}
}

// recordLoss updates lossShare by an answered probe; retried says that it needed more than its first ping. At high
// loss rates repeated pings are sent twice: otherwise more members would be suspected at once than gossip can
// report. Unanswered probes do not count, because those of dead or unreachable members do not show the loss rate.
func (m *Members) recordLoss(retried bool) {
	m.lossShare -= lossAverageWeight * m.lossShare
	if retried {
		m.lossShare += lossAverageWeight
	}
}

// probeFailed suspects the target of a probe without an ack. If no helper has replied either, the fault is probably
// at this router, so its local health score increases.
func (m *Members) probeFailed(p probe) {
	if p.helpersAsked > 0 && p.helperReplies == 0 {
		m.adjustLocalHealth(1)
	}
	r := m.find(p.target)
	if r == nil || !r.State.Present() {
		return
	}
	m.suspect(r, r.refutations, m.self.ID)
	m.addOwnSuspect(r)
}

// pickProbeTarget returns the next member to probe, or noNode if none is present. Every second target is this
// router's successor by ID, so that each member is probed by some router within two probe intervals and every death
// is noticed quickly. The targets in between follow a random order, so that a suspect is accused by routers that
// are independent of each other.
func (m *Members) pickProbeTarget() NodeID {
	m.probedSuccessor = !m.probedSuccessor
	if m.probedSuccessor {
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

// successor returns the next alive member after this router by ID, or noNode.
func (m *Members) successor() NodeID {
	start, _ := m.search(m.self.ID)
	for i := range m.members {
		if r := m.members[(start+i)%len(m.members)]; r.State == Alive {
			return r.ID
		}
	}
	return noNode
}

// nextInProbeOrder returns the next member of probeOrder that is still present, or noNode at the end of the order.
func (m *Members) nextInProbeOrder() NodeID {
	for m.probeOrderIndex < len(m.probeOrder) {
		id := m.probeOrder[m.probeOrderIndex]
		m.probeOrderIndex++
		if r := m.find(id); r != nil && r.State.Present() {
			return id
		}
	}
	return noNode
}

// renewProbeOrder starts a new random order of the present members.
func (m *Members) renewProbeOrder() {
	m.probeOrder = m.probeOrder[:0]
	m.probeOrderIndex = 0
	for _, r := range m.members {
		if r.State.Present() {
			m.probeOrder = append(m.probeOrder, r.ID)
		}
	}
	m.random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// ping sends a ping to a member and returns its sequence number.
func (m *Members) ping(r *knownMember) uint32 {
	seq := m.nextPingSeq()
	m.newPing(seq, r).send(r.Address)
	return seq
}

// nextPingSeq returns the sequence number of a new ping, and records its time so that its ack proves contact.
func (m *Members) nextPingSeq() uint32 {
	m.pingSeq++
	m.recentPings[m.pingSeq%maxRecentPings] = sentPing{m.pingSeq, m.now}
	return m.pingSeq
}

// recordAck records a reply to a ping or ping request: it proves that another router heard this one after the ping
// was sent. Replies to pings before the last maxRecentPings are ignored.
func (m *Members) recordAck(seq uint32) {
	ping := m.recentPings[seq%maxRecentPings]
	if ping.seq == seq && ping.sent > m.lastAckedPing {
		m.lastAckedPing = ping.sent
	}
}

// onAck records an ack, and ends the probe to which the acknowledged ping belongs, if any.
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

// onNack records that a helper has replied, although the target has not answered the helper's ping.
func (m *Members) onNack(seq uint32) {
	if i := m.probeIndex(seq); i >= 0 {
		m.probes[i].helperReplies++
	}
	m.recordAck(seq)
}
