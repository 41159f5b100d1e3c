package node

import "net/netip"

// Receive handles a datagram, and reports whether its kind belongs to a core of a Node; without shard maps, only
// the membership does. The errors of the cores are ignored, because each core drops unreadable datagrams itself.
func (n *Node) Receive(now Micros, k Kind, from netip.AddrPort, b []byte) bool {
	n.now = now
	if n.Shards == nil && k != KindMembership {
		return false
	}
	switch k {
	case KindMembership:
		_ = n.Membership.Receive(now, from, b)
	case KindMapLease:
		_ = n.mapLease.Receive(now, from, b)
	case KindShardMap:
		_ = n.Shards.Receive(now, from, b)
	case KindDirectory:
		n.receiveDirectory(now, b)
	case KindRecovery:
		n.receiveRecovery(now, from, b)
	case KindSummaryRequest:
		n.receiveSummaryRequest(now, from, b)
	case KindSummary:
		n.receiveSummary(now, b)
	case KindScatter:
		n.receiveScatter(now, from, b)
	default:
		return false
	}
	return true
}

// receiveDirectory handles records from other routers.
func (n *Node) receiveDirectory(now Micros, b []byte) {
	if n.Directory != nil {
		_ = n.Directory.Receive(now, b)
	}
}

// receiveRecovery handles requests for records and the answers to this router's own.
func (n *Node) receiveRecovery(now Micros, from netip.AddrPort, b []byte) {
	if n.Recovery != nil {
		_ = n.Recovery.Receive(now, from, b, n.address)
	}
}

// receiveSummaryRequest answers another router's request for this router's summary.
func (n *Node) receiveSummaryRequest(now Micros, from netip.AddrPort, b []byte) {
	if n.Publisher == nil {
		return
	}
	_ = n.Publisher.Answer(now, b, func(b []byte) { n.output.Send(KindSummary, from, b) })
}

// receiveSummary handles a piece of another router's summary.
func (n *Node) receiveSummary(now Micros, b []byte) {
	if n.summaries != nil {
		_ = n.summaries.Receive(now, b)
	}
}

// receiveScatter handles queries of other routers and the answers to this router's own, which may complete a
// query.
func (n *Node) receiveScatter(now Micros, from netip.AddrPort, b []byte) {
	if n.coordinator == nil {
		return
	}
	_ = n.coordinator.Receive(now, from, b, clusterView{n}, clusterView{n})
	n.deliverResults()
}
