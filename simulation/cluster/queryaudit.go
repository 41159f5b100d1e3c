package cluster

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

const (
	queryTimeout    = 3 * clock.Second
	queryingDivisor = 4 // only the first 1/queryingDivisor of the routers send queries and read summaries
)

// QueryAudit makes routers query the records of a group, and compares each result with the records that the routers
// had published when the query was sent.
type QueryAudit struct {
	Queries         int
	Complete        int
	MissedRecords   int     // published records that a complete result lacks
	FalselyComplete int     // complete results that lack a published record
	Duplicates      int     // records that a result contains more than once
	QueriedShares   float64 // sum, over queries, of the share of the routers that were queried
	MatchingShares  float64 // sum, over queries, of the share of the routers that held a matching record
	Datagrams       int     // requests sent for all queries that have ended

	cluster *Cluster
	pending map[*Node]map[uint32]*pendingQuery // by the router that sent the query, and its id
}

// pendingQuery holds what was true when a query was sent. A complete result must contain all published records.
type pendingQuery struct {
	published map[shardmap.Key]bool
	matching  float64 // routers that own a matching record
	queryable int     // routers that could be queried
}

// StartQueries schedules queries at even intervals from a time on. Each time, a random router queries the records of
// a random group. It must be called after StartWorkload.
func (c *Cluster) StartQueries(from, interval Micros) *QueryAudit {
	a := &QueryAudit{cluster: c, pending: map[*Node]map[uint32]*pendingQuery{}}
	c.Queries = a
	c.Features.Query = true
	c.every(from, interval, a.sendQuery)
	return a
}

// sendQuery makes a random router query a random group, and keeps what the result is compared with.
func (a *QueryAudit) sendQuery() {
	c := a.cluster
	n := c.Nodes[c.random.IntN(len(c.Nodes)/queryingDivisor+1)]
	if !n.active() {
		return
	}
	group := directory.Group(1 + c.random.IntN(len(c.Workload.cumulativeWeights)/groupSize))
	expected := a.expect(group)
	id, err := n.Core.Query(n.clock(), summary.Query{Group: group}, 0, n.clock()+queryTimeout)
	if err != nil {
		return
	}
	a.Queries++
	if a.pending[n] == nil {
		a.pending[n] = map[uint32]*pendingQuery{}
	}
	a.pending[n][id] = expected
}

// expect collects, over all running routers, what a complete result of a query for a group must contain.
func (a *QueryAudit) expect(group directory.Group) *pendingQuery {
	q := &pendingQuery{published: map[shardmap.Key]bool{}}
	for _, n := range a.cluster.Nodes {
		if !n.Running || n.Core.Publisher == nil {
			continue
		}
		q.queryable++
		if q.addRecords(n, group) {
			q.matching++
		}
	}
	return q
}

// addRecords adds the published records of a group that a router owns and serves, and reports whether it owns any
// record of the group, published or not.
func (q *pendingQuery) addRecords(n *Node, group directory.Group) bool {
	matches := false
	n.Core.Directory.Each(func(r *directory.Record) bool {
		if r.Group != group {
			return true
		}
		_, serves := n.Core.Shards.Serves(r.Key, n.clock())
		if serves && n.Core.Directory.Owns(r.Key) {
			matches = true
			if n.Core.Publisher.Published(n.clock(), r) {
				q.published[r.Key] = true
			}
		}
		return true
	})
	return matches
}

// queryDone counts the result of a query and compares it with what was published when the query was sent.
func (a *QueryAudit) queryDone(n *Node, id uint32, r scatter.Result) {
	q := a.pending[n][id]
	if q == nil {
		return
	}
	delete(a.pending[n], id)
	nodes := float64(max(q.queryable, 1))
	a.Datagrams += r.Attempts
	a.QueriedShares += float64(r.Queried) / nodes
	a.MatchingShares += q.matching / nodes
	received := map[shardmap.Key]bool{}
	for i := range r.Records {
		key := r.Records[i].Key
		if received[key] {
			a.Duplicates++
		}
		received[key] = true
	}
	if r.Complete {
		a.countComplete(q, received)
	}
}

// countComplete counts a complete result and the published records that it lacks.
func (a *QueryAudit) countComplete(q *pendingQuery, received map[shardmap.Key]bool) {
	a.Complete++
	missed := 0
	for key := range q.published {
		if !received[key] {
			missed++
		}
	}
	a.MissedRecords += missed
	if missed > 0 {
		a.FalselyComplete++
	}
}
