package membership

import (
	"net/netip"
	"slices"
)

const maxIndirect = 32 // maximum number of indirect probes at a time

// indirectProbe is a ping that this router performs on behalf of another.
type indirectProbe struct {
	seq, askerSeq uint32
	asker         netip.AddrPort
	target        NodeID
	deadline      Micros
}

// onPingRequest pings a member on behalf of another router.
func (m *Members) onPingRequest(request *message, asker netip.AddrPort) {
	if request.id == m.self.ID || len(m.indirect) >= maxIndirect {
		return
	}
	address := request.address
	target := m.find(request.id)
	if target != nil {
		address = target.Address
	}
	m.pingSeq++
	m.indirect = append(m.indirect, indirectProbe{
		seq:      m.pingSeq,
		askerSeq: request.seq,
		asker:    asker,
		target:   request.id,
		deadline: m.now + m.timing.AckTimeout,
	})
	m.newPing(m.pingSeq, target).send(address)
}

// forwardAck forwards an ack to the router that requested the ping.
func (m *Members) forwardAck(seq uint32, from *knownMember) {
	if from == nil {
		return
	}
	i := slices.IndexFunc(m.indirect, func(p indirectProbe) bool { return p.seq == seq && p.target == from.ID })
	if i < 0 {
		return
	}
	p := m.indirect[i]
	m.indirect = slices.Delete(m.indirect, i, i+1)
	reply, _ := m.newDatagram(ack).number(p.askerSeq).entry(from)
	reply.gossip(nil).send(p.asker)
}

// expireIndirect sends a nack for each requested ping that was not answered in time.
func (m *Members) expireIndirect() {
	m.indirect = slices.DeleteFunc(m.indirect, func(p indirectProbe) bool {
		if m.now < p.deadline {
			return false
		}
		m.newDatagram(nack).number(p.askerSeq).gossip(nil).send(p.asker)
		return true
	})
}
