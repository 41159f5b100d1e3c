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

// Output receives the results of a Node. The Node calls it only from within its own methods.
type Output interface {
	// Send sends a datagram of kind k to the router at an address. b is valid only during the call.
	Send(k Kind, to netip.AddrPort, b []byte)
	// Changed reports a change of a member's state.
	Changed(m membership.Member)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
	// ShardMapChanged reports that the shard map that this router follows, or the map's state, has changed.
	ShardMapChanged(m *shardmap.Map, state shardmap.State)
	// RecordRecovered reports a record that was recovered after a restart.
	RecordRecovered(r directory.Record)
	// RecoveryChanged reports a change of the recovery's state.
	RecoveryChanged(state recovery.State)
	// QueryDone reports the result of the query whose number Query returned.
	QueryDone(number uint32, r scatter.Result)
	// PurgeAudited reports which copies from before a purge remain.
	PurgeAudited(f purgeaudit.Finding)
	// CopiesLocated reports the known copies of an object that was passed to Locate, most recently seen first.
	CopiesLocated(k shardmap.Key, copies []directory.Copy)
}

// The following types are the outputs of the cores. Each adds the kind to the datagrams of its core, and passes the
// core's results to the cores that depend on them, or to the node's Output.

// membershipOutput implements membership.Output.
type membershipOutput struct{ *Node }

// Send implements membership.Output.
func (o membershipOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindMembership, to, b) }

// Changed passes a member's new state to the other cores and then to the node's Output. For this router itself it
// passes the current state, which may be newer than m.
func (o membershipOutput) Changed(m membership.Member) {
	if m.ID == o.Membership.Self().ID {
		m = o.Membership.Self()
	}
	o.memberChanged(m)
	o.output.Changed(m)
}

// Log implements membership.Output.
func (o membershipOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

// mapLeaseOutput implements lease.Output.
type mapLeaseOutput struct{ *Node }

// Send implements lease.Output.
func (o mapLeaseOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindMapLease, to, b) }

// Acquired reports that this router proposes the shard maps from now on.
func (o mapLeaseOutput) Acquired(lease.ID, lease.Term) {
	o.output.Log("shardmap: this router proposes the maps")
}

// Released reports that another router proposes the shard maps from now on.
func (o mapLeaseOutput) Released(lease.ID, lease.Term) {
	o.output.Log("shardmap: another router proposes the maps")
}

// Log drops the log lines of the lease core: with a single lease, Acquired and Released already log each change.
func (o mapLeaseOutput) Log(string, ...slog.Attr) {}

// shardMapOutput implements shardmap.Output.
type shardMapOutput struct{ *Node }

// Send implements shardmap.Output.
func (o shardMapOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindShardMap, to, b) }

// MapChanged passes a map, or a change of its state, to the directory and the node's Output.
func (o shardMapOutput) MapChanged(m *shardmap.Map, state shardmap.State) {
	// Records must move to their new owners as soon as a map is prepared, before these owners serve them.
	if o.Directory != nil && state == shardmap.Prepared {
		o.Directory.SetShardMap(o.now, m)
	}
	o.output.ShardMapChanged(m, state)
}

// RequestMember asks other routers for information about an owner that a map names.
func (o shardMapOutput) RequestMember(id membership.NodeID) { o.Membership.RequestMember(id) }

// Log implements shardmap.Output.
func (o shardMapOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

// directoryOutput implements directory.Output.
type directoryOutput struct{ *Node }

// Send implements directory.Output.
func (o directoryOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindDirectory, to, b) }

// Log implements directory.Output.
func (o directoryOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

// recoveryOutput implements recovery.Output.
type recoveryOutput struct{ *Node }

// Send implements recovery.Output.
func (o recoveryOutput) Send(to netip.AddrPort, b []byte) { o.output.Send(KindRecovery, to, b) }

// RecordRecovered implements recovery.Output.
func (o recoveryOutput) RecordRecovered(r directory.Record) { o.output.RecordRecovered(r) }

// StateChanged implements recovery.Output.
func (o recoveryOutput) StateChanged(_, to recovery.State) { o.output.RecoveryChanged(to) }

// Log implements recovery.Output.
func (o recoveryOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }

// queryOutput implements scatter.Output.
type queryOutput struct{ *Node }

// Send sends a datagram of the coordinator. A datagram with an invalid address is from this router to itself, and
// is handled during the call.
func (o queryOutput) Send(to netip.AddrPort, b []byte) {
	if to.IsValid() {
		o.output.Send(KindScatter, to, b)
		return
	}
	// The datagram is in a buffer of the coordinator, which Receive overwrites.
	datagram := append([]byte(nil), b...)
	// The error is ignored because this router sends itself only readable datagrams.
	_ = o.coordinator.Receive(o.now, to, datagram, clusterView(o), clusterView(o))
}

// Done stores a result. deliverResults delivers it after the call that has completed the query.
func (o queryOutput) Done(number uint32, r scatter.Result) {
	o.results = append(o.results, queryResult{number: number, Result: r})
}

// locationOutput implements location.Output.
type locationOutput struct{ *Node }

// CopiesLocated implements location.Output.
func (o locationOutput) CopiesLocated(k shardmap.Key, copies []directory.Copy) {
	o.output.CopiesLocated(k, copies)
}

// purgeAuditOutput implements purgeaudit.Output.
type purgeAuditOutput struct{ *Node }

// PurgeAudited implements purgeaudit.Output.
func (o purgeAuditOutput) PurgeAudited(f purgeaudit.Finding) { o.output.PurgeAudited(f) }

// fleetSizeOutput implements fleetsize.Output.
type fleetSizeOutput struct{ *Node }

// Log implements fleetsize.Output.
func (o fleetSizeOutput) Log(message string, attrs ...slog.Attr) { o.output.Log(message, attrs...) }
