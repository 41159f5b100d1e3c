package cluster

import (
	"log/slog"
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
)

// output sends the datagrams of a router's cores and counts them. The types that embed it implement the interfaces
// through which the cores report to their host.
type output struct{ node *Node }

func (o output) send(kind byte, to netip.AddrPort, payload []byte) {
	n := o.node
	size := len(payload) + n.cluster.DatagramOverhead
	n.DatagramsSent++
	n.BytesSent += uint64(size)
	n.LargestDatagram = max(n.LargestDatagram, size)
	n.cluster.transmit(n.index, to, append([]byte{kind}, payload...))
}

// Log passes a log line to Cluster.Log, if that is set.
func (o output) Log(message string, attrs ...slog.Attr) {
	if o.node.cluster.Log != nil {
		o.node.cluster.Log(o.node.index, message, attrs)
	}
}

// membershipOutput receives the output of a router's membership core.
type membershipOutput struct{ output }

// Send sends a datagram.
func (o membershipOutput) Send(to netip.AddrPort, payload []byte) {
	o.send(kindMembership, to, payload)
}

// Changed passes a change of a member to the lease manager and counts false deaths.
func (o membershipOutput) Changed(m membership.Member) {
	n := o.node
	if n.cluster.falseDeath(n.index, m) {
		n.FalseDeaths++
		n.cluster.Leases.FalseDeaths++
	}
	n.Leases.MemberChanged(n.clock(), m)
}

// falseDeath reports whether m, in the view of the observer, declares a router dead in its current incarnation
// although that router is active and can be reached.
func (c *Cluster) falseDeath(observer int, m membership.Member) bool {
	index := c.indexOf(m.Address)
	if m.State != membership.Dead || index < 0 || !c.canReach(observer, index) {
		return false
	}
	return m.Incarnation == c.Nodes[index].Membership.Self().Incarnation
}

// leaseOutput receives the output of a router's lease manager.
type leaseOutput struct{ output }

// Send sends a datagram.
func (o leaseOutput) Send(to netip.AddrPort, payload []byte) { o.send(kindLease, to, payload) }

// Acquired records a lease that the router now holds.
func (o leaseOutput) Acquired(id lease.ID, _ lease.Term) {
	n := o.node
	n.held[id] = true
	n.heldSorted = false
	n.cluster.Leases.leaseAcquired(id, n.index)
}

// Released records that the router no longer holds a lease.
func (o leaseOutput) Released(id lease.ID, _ lease.Term) {
	delete(o.node.held, id)
	o.node.heldSorted = false
}

// coreOutput receives the output of all cores of a full node except the lease manager.
type coreOutput struct{ membershipOutput }

// Send sends a datagram.
func (o coreOutput) Send(kind node.Kind, to netip.AddrPort, payload []byte) {
	o.send(byte(kind), to, payload)
}

// ShardMapChanged passes a shard map that the router has adopted to the audit.
func (o coreOutput) ShardMapChanged(m *shardmap.Map, _ shardmap.State) {
	if audit := o.node.cluster.ShardMaps; audit != nil {
		audit.mapAdopted(o.node, m)
	}
}

// RecordRecovered passes a recovered record to the workload.
func (o coreOutput) RecordRecovered(r directory.Record) {
	o.node.cluster.Workload.recordRecovered(o.node, r)
}

// RecoveryChanged does nothing: Workload reads the state of the recovery instead.
func (o coreOutput) RecoveryChanged(recovery.State) {}

// QueryDone passes the result of a query to the audit of queries.
func (o coreOutput) QueryDone(id uint32, r scatter.Result) {
	if audit := o.node.cluster.Queries; audit != nil {
		audit.queryDone(o.node, id, r)
	}
}

// PurgeAudited does nothing: the simulation runs no purge audits.
func (o coreOutput) PurgeAudited(purgeaudit.Finding) {}

// CopiesLocated passes the copies of an object that other routers know to the service.
func (o coreOutput) CopiesLocated(key shardmap.Key, copies []directory.Copy) {
	w := o.node.cluster.Workload
	if w != nil && w.Service != nil {
		w.Service.copiesLocated(o.node, key, copies)
	}
}
