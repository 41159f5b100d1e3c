package membership

import (
	"net/netip"
	"slices"
)

const maxIndirectProbes = 32 // maximum number of indirect probes at a time; further requests are ignored

// indirectProbe is a ping that this router performs on behalf of another.
type indirectProbe struct {
	seq, requesterSeq uint32 // sequence numbers of this router's ping, and of the request
	requester         netip.AddrPort
	target            NodeID
	deadline          Micros // when this router sends a nack
}

// onPingRequest pings a member on behalf of another router. The ping is not recorded in recentPings, so its ack
// does not count as a proof of contact.
func (m *Members) onPingRequest(request *message, requester netip.AddrPort) {
	if request.id == m.self.ID || len(m.indirectProbes) >= maxIndirectProbes {
		return
	}
	address := request.address
	target := m.find(request.id)
	if target != nil {
		address = target.Address
	}
	m.pingSeq++
	m.indirectProbes = append(m.indirectProbes, indirectProbe{
		seq:          m.pingSeq,
		requesterSeq: request.seq,
		requester:    requester,
		target:       request.id,
		deadline:     m.now + m.timing.AckTimeout,
	})
	m.newPing(m.pingSeq, target).send(address)
}

// forwardAck forwards an ack to the router that requested the ping, if the ack answers an indirect probe. The
// forwarded ack contains the target's entry.
func (m *Members) forwardAck(seq uint32, from *knownMember) {
	if from == nil {
		return
	}
	i := slices.IndexFunc(m.indirectProbes, func(p indirectProbe) bool { return p.seq == seq && p.target == from.ID })
	if i < 0 {
		return
	}
	p := m.indirectProbes[i]
	m.indirectProbes = slices.Delete(m.indirectProbes, i, i+1)
	reply, _ := m.newDatagram(ack).number(p.requesterSeq).entry(from)
	reply.gossip(nil).send(p.requester)
}

// expireIndirectProbes ends each indirect probe that was not answered in time, and sends a nack to its requester.
// The nack shows the requester that a helper hears it; see probeFailed.
func (m *Members) expireIndirectProbes() {
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(p indirectProbe) bool {
		if m.now < p.deadline {
			return false
		}
		m.newDatagram(nack).number(p.requesterSeq).gossip(nil).send(p.requester)
		return true
	})
}
