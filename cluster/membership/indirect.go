package membership

import (
	"net/netip"
	"slices"
)

const maxIndirect = 32 // probes made for others at a time

// indirectProbe is a probe that this router makes for another.
type indirectProbe struct {
	seq, askerSeq uint32
	asker         netip.AddrPort
	target        NodeID
	deadline      Micros
}

// onPingRequest pings a member for another router.
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

// forwardAck passes an ack on to the router that the member was pinged for.
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

// expireIndirect tells the askers of members that have not answered.
func (m *Members) expireIndirect() {
	m.indirect = slices.DeleteFunc(m.indirect, func(p indirectProbe) bool {
		if m.now < p.deadline {
			return false
		}
		m.newDatagram(nack).number(p.askerSeq).gossip(nil).send(p.asker)
		return true
	})
}
