package membership

import (
	"net/netip"
	"slices"
)

const maxIndirect = 32 // maximum number of indirect probes at a time; further requests are ignored

// indirectProbe is a ping that this router performs on behalf of another.
type indirectProbe struct {
	seq, askerSeq uint32 // sequence numbers of this router's ping, and of the request
	asker         netip.AddrPort
	target        NodeID
	deadline      Micros // when this router sends a nack
}

// onPingRequest pings a member on behalf of another router. The ping is not recorded in recentPings, so its ack
// does not count as a proof of contact.
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

// forwardAck forwards an ack to the router that requested the ping, if the ack answers an indirect probe. The
// forwarded ack contains the target's entry.
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

// expireIndirectProbes ends each indirect probe that was not answered in time, and sends a nack to its requester.
// The nack shows the requester that a helper hears it; see probeFailed.
func (m *Members) expireIndirect() {
	m.indirect = slices.DeleteFunc(m.indirect, func(p indirectProbe) bool {
		if m.now < p.deadline {
			return false
		}
		m.newDatagram(nack).number(p.askerSeq).gossip(nil).send(p.asker)
		return true
	})
}
