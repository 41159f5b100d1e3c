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
	queryingDivisor = 4 // one in so many routers sends queries, and reads summaries
)

// QueryAudit has routers query the records of a group, and holds each result against what the routers had published
// when the query was sent.
type QueryAudit struct {
	Queries         int
	Complete        int
	MissedRecords   int     // published records that a complete result lacks
	FalselyComplete int     // complete results that lack one
	Duplicates      int     // records that a result has twice
	QueriedShares   float64 // sum, over queries, of the share of the routers that were queried
	MatchingShares  float64 // sum, over queries, of the share of the routers that held a matching record
	Datagrams       int

	cluster *Cluster
	pending map[*Node]map[uint32]*pendingQuery
}

// pendingQuery is a query that has been sent, and what a complete result has.
type pendingQuery struct {
	published map[shardmap.Key]bool
	matching  float64 // routers that held a matching record
	nodes     int     // routers that could be queried
}

// StartQueries has a router, drawn at random, query the records of a group, drawn at random, at even intervals from a
// time on. It is called after StartWorkload.
func (c *Cluster) StartQueries(from, interval Micros) *QueryAudit {
	a := &QueryAudit{cluster: c, pending: map[*Node]map[uint32]*pendingQuery{}}
	c.Queries = a
	c.Features.Query = true
	c.every(from, interval, a.ask)
	return a
}

// ask sends a query.
func (a *QueryAudit) ask() {
	c := a.cluster
	n := c.Nodes[c.random.IntN(len(c.Nodes)/queryingDivisor+1)]
	if !n.active() {
		return
	}
	group := directory.Group(1 + c.random.IntN(len(c.Workload.weightSums)/groupSize))
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

// expect collects what a complete result has.
func (a *QueryAudit) expect(group directory.Group) *pendingQuery {
	q := &pendingQuery{published: map[shardmap.Key]bool{}}
	for _, n := range a.cluster.Nodes {
		if !n.Running || n.Core.Publisher == nil {
			continue
		}
		q.nodes++
		if q.addRecords(n, group) {
			q.matching++
		}
	}
	return q
}

// addRecords adds the published records of a group that a router owns, and tells whether it owns any of the group.
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

// queryDone takes a result.
func (a *QueryAudit) queryDone(n *Node, id uint32, r scatter.Result) {
	q := a.pending[n][id]
	if q == nil {
		return
	}
	delete(a.pending[n], id)
	nodes := float64(max(q.nodes, 1))
	a.Datagrams += r.Attempts
	a.QueriedShares += float64(r.Queried) / nodes
	a.MatchingShares += q.matching / nodes
	got := map[shardmap.Key]bool{}
	for i := range r.Records {
		key := r.Records[i].Key
		if got[key] {
			a.Duplicates++
		}
		got[key] = true
	}
	if r.Complete {
		a.countComplete(q, got)
	}
}

func (a *QueryAudit) countComplete(q *pendingQuery, got map[shardmap.Key]bool) {
	a.Complete++
	missed := 0
	for key := range q.published {
		if !got[key] {
			missed++
		}
	}
	a.MissedRecords += missed
	if missed > 0 {
		a.FalselyComplete++
	}
}
