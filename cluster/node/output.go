package node

import (
	"log/slog"
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
)

// Output takes what a node gives out. It is called only from within calls of Node.
type Output interface {
	// Send sends a datagram; b is valid within the call only.
	Send(k Kind, to netip.AddrPort, b []byte)
	// Changed reports a change of a member's state.
	Changed(m membership.Member)
	// Log writes a log line: a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
	// ShardMapChanged reports that the shard map that this router goes by, or the map's state, has changed.
	ShardMapChanged(m *shardmap.Map, state shardmap.State)
	// RecordRecovered hands out a record that was recovered after a restart.
	RecordRecovered(r directory.Record)
	// RecoveryChanged reports a step of the recovery.
	RecoveryChanged(state recovery.State)
	// QueryDone gives the result of a query under the number that Query returned.
	QueryDone(number uint32, r scatter.Result)
	// PurgeAudited reports which copies from before a purge are left.
	PurgeAudited(f purgeaudit.Finding)
	// CopiesLocated gives the known copies of an object that Locate asked for, the one seen last first.
	CopiesLocated(k shardmap.Key, copies []directory.Copy)
}

// The outputs of the cores: each adds the kind to the datagrams of one core, and hands on what concerns others.

type membershipOutput struct{ *Node }

// Send implements the core's Output.
func (o membershipOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindMembership, to, b) }

// Changed tells the other cores before the node's output. Of this router itself the newest state is passed on.
func (o membershipOutput) Changed(m membership.Member) {
	if m.ID == o.Membership.Self().ID {
		m = o.Membership.Self()
	}
	o.memberChanged(m)
	o.output.Changed(m)
}

// Log passes a log line on.
func (o membershipOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

type mapLeaseOutput struct{ *Node }

// Send implements the core's Output.
func (o mapLeaseOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindMapLease, to, b) }

// Acquired reports that this router proposes the maps from now on.
func (o mapLeaseOutput) Acquired(lease.ID, lease.Term) {
	o.output.Log("shardmap: this router proposes the maps")
}

// Released reports that another router does.
func (o mapLeaseOutput) Released(lease.ID, lease.Term) {
	o.output.Log("shardmap: another router proposes the maps")
}

// Log drops what the lease core reports: with a single lease, Acquired and Released say all of it.
func (o mapLeaseOutput) Log(string, ...slog.Attr) {}

type shardMapOutput struct{ *Node }

// Send implements the core's Output.
func (o shardMapOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindShardMap, to, b) }

// MapChanged tells the directory and the node's output of a map, or of a map's state.
func (o shardMapOutput) MapChanged(m *shardmap.Map, state shardmap.State) {
	// Records move as soon as a map is prepared, before its owners answer for them.
	if o.Directory != nil && state == shardmap.Prepared {
		o.Directory.SetShardMap(o.now, m)
	}
	o.output.ShardMapChanged(m, state)
}

// RequestMember asks the other members about one that a map names and that is not known here.
func (o shardMapOutput) RequestMember(id membership.NodeID) { o.Membership.RequestMember(id) }

// Log passes a log line on.
func (o shardMapOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

type directoryOutput struct{ *Node }

// Send implements the core's Output.
func (o directoryOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindDirectory, to, b) }

// Log passes a log line on.
func (o directoryOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

type recoveryOutput struct{ *Node }

// Send implements the core's Output.
func (o recoveryOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindRecovery, to, b) }

// RecordRecovered passes a record on.
func (o recoveryOutput) RecordRecovered(r directory.Record) { o.output.RecordRecovered(r) }

// StateChanged passes the new state on.
func (o recoveryOutput) StateChanged(_, to recovery.State) { o.output.RecoveryChanged(to) }

// Log passes a log line on.
func (o recoveryOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

type queryOutput struct{ *Node }

// Send sends a datagram of the coordinator; one without an address goes from this router to itself.
func (o queryOutput) Send(to netip.AddrPort, b []byte) {
	if to.IsValid() {
		o.output.Send(KindScatter, to, b)
		return
	}
	own := append([]byte(nil), b...)
	// A datagram that can't be read is counted where it is read.
	_ = o.coordinator.Receive(o.now, to, own, clusterView(o), clusterView(o))
}

// Done keeps a result until the call that brought it is over.
func (o queryOutput) Done(number uint32, r scatter.Result) {
	o.results = append(o.results, queryResult{number: number, Result: r})
}

type locationOutput struct{ *Node }

// CopiesLocated passes the copies of an object on.
func (o locationOutput) CopiesLocated(k shardmap.Key, copies []directory.Copy) {
	o.output.CopiesLocated(k, copies)
}

type purgeAuditOutput struct{ *Node }

// PurgeAudited passes a finding on.
func (o purgeAuditOutput) PurgeAudited(f purgeaudit.Finding) { o.output.PurgeAudited(f) }

// fleetSizeOutput is the output of the fleet size's estimator.
type fleetSizeOutput struct{ *Node }

// Log passes a log line on.
func (o fleetSizeOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }
