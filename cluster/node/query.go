package node

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

const (
	// summaryRequestsPerSecond limits the requests for summaries, whatever the number of owners. It is also the
	// maximum burst.
	summaryRequestsPerSecond = 12.0
	// summaryLeaseRounds is the number of requests to each owner that the rate limit permits within one lease.
	summaryLeaseRounds = 6.0
	// summaryIdleTimeout is how long after the last query the summaries of other routers are refreshed. A router that
	// makes no queries requests no summaries.
	summaryIdleTimeout = clock.Minute
	// ownSummaryUpdateInterval is the time between calls that update the summary of this router's own records. The
	// Publisher decides whether a new version is due.
	ownSummaryUpdateInterval = 500 * clock.Millisecond
)

// queryResult is the result of the query with the given number.
type queryResult struct {
	number uint32
	scatter.Result
}

// Query queries the owners that could hold matching records, for at most limit records; if limit is 0, the default
// of package scatter applies. Output.QueryDone receives the result under the returned number, after this call has
// returned and in the first tick after the deadline at the latest. The error is scatter.ErrNoMap or
// scatter.ErrBusy.
func (n *Node) Query(now Micros, q summary.Query, limit int, deadline Micros) (uint32, error) {
	if n.coordinator == nil {
		return 0, scatter.ErrNoMap
	}
	n.now = now
	n.lastQuery = now
	return n.coordinator.Start(now, q, limit, deadline, clusterView{n})
}

// deliverResults passes each result to the core that has started the query, or else to Output. It must not be
// called from within Query: the result of a query that this router answers alone would be delivered before the
// query's number is known.
func (n *Node) deliverResults() {
	for len(n.results) > 0 {
		x := n.results[0]
		n.results = n.results[1:]
		if !n.deliverToCore(&x) {
			n.output.QueryDone(x.number, x.Result)
		}
	}
}

// deliverToCore passes a result to the locator or the auditor, and reports whether either of them has started the
// query.
func (n *Node) deliverToCore(x *queryResult) bool {
	if n.Locator == nil {
		return false
	}
	return n.Locator.HandleResult(n.now, x.number, &x.Result) || n.auditor.HandleResult(n.now, x.number, &x.Result)
}

// tickQueries updates the summary of this router's own records, ticks the cores that start queries, advances the
// queries, delivers their results and refreshes the summaries of other routers.
func (n *Node) tickQueries(now Micros) {
	m, complete := clusterView{n}.ShardMap()
	if m != nil && complete && now-n.lastOwnSummaryUpdate >= ownSummaryUpdateInterval {
		n.lastOwnSummaryUpdate = now
		n.Publisher.Update(now, m.Digest, n.eachOwnRecord)
	}
	if n.Locator != nil {
		n.tickLocator(now)
		n.tickAuditor(now)
	}
	n.coordinator.Tick(now, clusterView{n})
	n.deliverResults()
	queriedRecently := n.lastQuery != 0 && now-n.lastQuery <= summaryIdleTimeout
	if queriedRecently && m != nil {
		n.refreshSummaries(now, m)
	}
}

// eachOwnRecord calls f for each record that this router owns; the directory also holds replicas.
func (n *Node) eachOwnRecord(f func(*directory.Record)) {
	n.Directory.Each(func(r *directory.Record) bool {
		if n.Directory.Owns(r.Key) {
			f(r)
		}
		return true
	})
}

// tickLocator ticks the locator, which queries single objects.
func (n *Node) tickLocator(now Micros) {
	n.Locator.Tick(now, func(k shardmap.Key, deadline Micros) (uint32, bool) {
		number, err := n.Query(now, summary.Query{Object: k}, 1, deadline)
		return number, err == nil
	})
}

// tickAuditor ticks the auditor. The proposer of shard maps audits purges, so that only one router does.
func (n *Node) tickAuditor(now Micros) {
	n.auditor.Tick(now, n.HoldsMapLease(now), func(g directory.Group, createdBefore, deadline Micros) (uint32, bool) {
		number, err := n.Query(now, summary.Query{Group: g, CreatedBefore: createdBefore}, 0, deadline)
		return number, err == nil
	})
}

// refreshSummaries requests the summaries of the other owners in turn, within the rate limit. It continues after
// the owner that it considered last.
func (n *Node) refreshSummaries(now Micros, m *shardmap.Map) {
	for range len(m.Owners) {
		if n.summaryTokens < 1 {
			return
		}
		n.refreshIndex = (n.refreshIndex + 1) % len(m.Owners)
		owner := m.Owners[n.refreshIndex]
		address, ok := n.address(owner.ID)
		if !ok || owner.ID == n.Membership.Self().ID {
			continue
		}
		n.summaries.Tick(now, owner, summaryLease(len(m.Owners)), func(b []byte) {
			n.summaryTokens--
			n.output.Send(KindSummaryRequest, address, b)
		})
	}
}

// summaryLease returns the length of the lease on each summary: the time in which all owners can be asked
// summaryLeaseRounds times, but at least summary.MinLease.
func summaryLease(owners int) Micros {
	rounds := float64(owners) / summaryRequestsPerSecond * summaryLeaseRounds
	return max(Micros(rounds*float64(clock.Second)), summary.MinLease)
}

// clusterView implements scatter.Cluster and scatter.Store for a node.
type clusterView struct{ *Node }

// ShardMap returns the map that this router follows, and whether this router serves all keys that the map assigns
// to it: the map is active, and this router is in contact with the others.
func (v clusterView) ShardMap() (*shardmap.Map, bool) {
	m, state := v.Shards.Map()
	return m, state == shardmap.Active && v.Shards.InContact(v.now)
}

// Address returns the address of a router, or false if the router is not present or has no valid address.
func (v clusterView) Address(id membership.NodeID) (netip.AddrPort, bool) { return v.address(id) }

// MayMatch reports whether an owner could hold a record that matches a query. For this router's own records the
// result is exact, because it searches them instead of using a summary.
func (v clusterView) MayMatch(owner shardmap.Owner, m shardmap.Digest, q *summary.Query) bool {
	if owner.ID != v.Membership.Self().ID {
		return v.summaries.MayMatch(v.now, owner, m, q)
	}
	found := false
	v.Directory.Each(func(r *directory.Record) bool {
		found = scatter.Matches(q, r) && v.Directory.Owns(r.Key)
		return !found
	})
	return found
}

// Each calls f for each of this router's records until f returns false.
func (v clusterView) Each(f func(*directory.Record) bool) { v.Directory.Each(f) }

// EachCreatedBefore calls f for each record of a group, with only its copies created at the given time or before,
// until f returns false.
func (v clusterView) EachCreatedBefore(g directory.Group, before Micros, f func(*directory.Record) bool) {
	v.Directory.EachCreatedBefore(g, before, f)
}
