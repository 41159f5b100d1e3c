package control

import (
	"log/slog"
	"net/netip"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/logging"
)

// nodeEvents implements node.Output. All its methods are called on the control goroutine.
type nodeEvents struct{ c *Controller }

// Send sends a datagram of the node.
func (e nodeEvents) Send(kind node.Kind, to netip.AddrPort, payload []byte) {
	e.c.sendNow(kind, to, payload)
}

// Changed handles a change of a member, which may be this router.
func (e nodeEvents) Changed(m membership.Member) {
	c := e.c
	previous := c.memberStates[m.ID]
	c.memberStates[m.ID] = m.State
	c.peersChanged = true
	if shouldLogState(previous, m.State) {
		c.log.WithFields(logrus.Fields{"peer": m.Address, "state": m.State, "incarnation": m.Incarnation}).
			Info("membership: router state changed")
	}
	c.leases.MemberChanged(c.config.Clock(), m)
}

// shouldLogState reports whether a member's change from one state to another is logged. Suspicions and their
// refutations are not logged, because most suspicions are refuted.
func shouldLogState(previous, state membership.State) bool {
	if state == previous || state == membership.Suspect {
		return false
	}
	refuted := previous == membership.Suspect && state == membership.Alive
	return !refuted
}

// Log writes a log line of one of the node's cores.
func (e nodeEvents) Log(message string, attrs ...slog.Attr) {
	e.c.log.WithFields(logging.Fields(attrs)).Info(message)
}

// ShardMapChanged does nothing, because each Snapshot contains the current map.
func (e nodeEvents) ShardMapChanged(*shardmap.Map, shardmap.State) {}

// RecordRecovered passes a recovered record to request handling.
func (e nodeEvents) RecordRecovered(record directory.Record) {
	e.c.mailbox.addMessage(RecordRecovered{Record: record})
}

// RecoveryChanged logs the progress of this router's recovery.
func (e nodeEvents) RecoveryChanged(state recovery.State) {
	stats := e.c.node.Recovery.Stats()
	e.c.log.WithFields(logrus.Fields{
		"state":        state,
		"records":      stats.Records,
		"restored":     stats.Restored,
		"routers":      stats.Routers,
		"unresponsive": stats.Unresponsive,
		"unfinished":   stats.Unfinished,
		"took_ms":      int64(stats.Took / clock.Millisecond),
	}).Info("recovery: state changed")
}

// CopiesLocated passes located copies to request handling. It copies the slice, which is valid only during the call.
func (e nodeEvents) CopiesLocated(key shardmap.Key, copies []directory.Copy) {
	e.c.mailbox.addMessage(CopiesLocated{Key: key, Copies: append([]directory.Copy(nil), copies...)})
}

// PurgeAudited logs how many objects of a purged group, at how many caches, may still have copies from before the
// purge. The caches are sorted by their number of objects, so that the first one has the most.
func (e nodeEvents) PurgeAudited(finding purgeaudit.Finding) {
	maxPerCache := 0
	if len(finding.Caches) > 0 {
		maxPerCache = finding.Caches[0].Objects
	}
	e.c.log.WithFields(logrus.Fields{"group": uint64(finding.Group), "objects": finding.Objects,
		"caches": len(finding.Caches), "max_per_cache": maxPerCache, "complete": finding.Complete}).
		Info("purge audit: copies older than the purge")
}

// QueryDone passes the result of a query to the done function passed to Query.
func (e nodeEvents) QueryDone(id uint32, result scatter.Result) {
	if done := e.c.queries[id]; done != nil {
		delete(e.c.queries, id)
		done(result, nil)
	}
}

// leaseEvents implements lease.Output.
type leaseEvents struct{ c *Controller }

// Send sends a datagram of the lease manager.
func (e leaseEvents) Send(to netip.AddrPort, payload []byte) {
	e.c.sendNow(node.KindLease, to, payload)
}

// Acquired passes an acquired lease to request handling.
func (e leaseEvents) Acquired(id lease.ID, _ lease.Term) {
	e.c.mailbox.addMessage(LeaseAcquired{ID: id})
}

// Released does nothing, because request handling checks the leases of the Snapshot before it runs a task.
func (e leaseEvents) Released(lease.ID, lease.Term) {}

// Log writes a log line of the lease manager.
func (e leaseEvents) Log(message string, attrs ...slog.Attr) {
	e.c.log.WithFields(logging.Fields(attrs)).Info(message)
}

// sendNow sends a datagram of a core at once. Without peers it does nothing.
func (c *Controller) sendNow(kind node.Kind, to netip.AddrPort, payload []byte) {
	if c.channel != nil {
		c.channel.Send(byte(kind), to, payload)
	}
}
