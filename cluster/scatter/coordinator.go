package scatter

import (
	"errors"
	"net/netip"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

const (
	maxQueries        = 32      // in progress at a time
	requestsPerSecond = 60.0    // rate limit of request datagrams to owners and replicas
	requestBurst      = 30.0    // requests that may be sent at once after an idle time
	maxRecords        = 1 << 15 // default limit on the records of a result
)

var (
	// ErrUnreadable is returned by Receive for a datagram that is malformed or exceeds a limit.
	ErrUnreadable = errors.New("scatter: unreadable datagram")
	// ErrBusy is returned by Start if too many queries are in progress.
	ErrBusy = errors.New("scatter: too many queries are in progress")
	// ErrNoMap is returned by Start if this router follows no shard map, so that the owners are unknown.
	ErrNoMap = errors.New("scatter: this router follows no shard map")
)

// KeyRange is a range of keys, both ends included.
type KeyRange struct{ First, Last shardmap.Key }

// Result is the result of a query. The counts of owners refer to the last plan of the query.
type Result struct {
	Records    []directory.Record // one per object, sorted by key
	Complete   bool               // all Targets have answered for all their keys, and nothing is Truncated
	Truncated  bool               // more records match than the limit or the size of an answer permits
	Missing    []KeyRange         // ranges of Targets that have not answered completely; empty if Complete
	MapVersion shardmap.Version   // version of the map by which the query was planned last
	Targets    int                // number of owners that could hold a match
	Queried    int                // number of Targets that were asked at least once
	Excluded   int                // number of owners whose summaries rule out a match
	Attempts   int                // number of requests sent, under all plans and including those to replicas
}

// Output receives the results of a Coordinator. The Coordinator calls it only from within its own methods.
type Output interface {
	// Send sends a datagram of at most MaxPayload bytes. The slice is valid only during the call. If to is invalid, the
	// datagram is for this router itself: Send must pass a copy of it to Receive before returning.
	Send(to netip.AddrPort, b []byte)
	// Done receives the result of the query for which Start returned number. It is called exactly once per query, and
	// possibly before Start returns.
	Done(number uint32, r Result)
}

// Store provides this router's records, from which it answers queries of other routers and its own.
type Store interface {
	// ShardMap returns the map that this router follows, or nil, and whether it serves all keys that the map assigns
	// to it.
	ShardMap() (*shardmap.Map, bool)
	// Each calls f for each record until f returns false.
	Each(f func(*directory.Record) bool)
	// EachCreatedBefore calls f for each record of a group until f returns false. The record contains only copies
	// created at the given time or before.
	EachCreatedBefore(g directory.Group, before Micros, f func(*directory.Record) bool)
}

// Cluster provides information about the other routers.
type Cluster interface {
	// ShardMap returns the map that this router follows, or nil, and whether it serves all keys that the map assigns
	// to it.
	ShardMap() (*shardmap.Map, bool)
	// Address returns the address of a router, or false if it is unknown.
	Address(id membership.NodeID) (netip.AddrPort, bool)
	// MayMatch reports whether an owner could hold a record that matches q, under the map with digest m. It may return
	// true if no record matches, but must not return false if one does.
	MayMatch(owner shardmap.Owner, m shardmap.Digest, q *summary.Query) bool
}

// Coordinator runs one router's queries and answers those of other routers. It is not safe for concurrent use.
type Coordinator struct {
	self       shardmap.Owner
	output     Output
	now        Micros
	lastNumber uint32                 // number of the query started last
	queries    []*query               // in progress
	tokens     float64                // of the rate limit; a request takes one
	refilledAt Micros                 // when tokens was last refilled
	buf        [MaxPayload + 128]byte // holds the datagram being encoded
}

// New returns the Coordinator of one router, which self identifies.
func New(now Micros, self shardmap.Owner, output Output) *Coordinator {
	return &Coordinator{
		self:       self,
		output:     output,
		now:        now,
		lastNumber: membership.FirstNumber(self.ID, self.Incarnation),
		tokens:     requestBurst,
		refilledAt: now,
	}
}

// Start starts a query for the records that match criteria, and returns its number. The query ends when it is
// complete, or in the first call of Tick or Receive at or after deadline. limit is the maximum number of records
// of the result; 0 or less means maxRecords. The error is ErrBusy or ErrNoMap.
func (c *Coordinator) Start(
	now Micros, criteria summary.Query, limit int, deadline Micros, cluster Cluster,
) (uint32, error) {
	c.now = max(c.now, now)
	if len(c.queries) >= maxQueries {
		return 0, ErrBusy
	}
	m, _ := cluster.ShardMap()
	if m == nil {
		return 0, ErrNoMap
	}
	if limit <= 0 {
		limit = maxRecords
	}
	c.lastNumber++
	q := &query{number: c.lastNumber, Query: criteria, limit: limit, deadline: deadline}
	q.plan(m, cluster)
	c.queries = append(c.queries, q)
	c.advance(q, cluster)
	return q.number, nil
}

// Tick advances all queries: it repeats unanswered requests and ends queries that have reached their deadlines. The
// caller must call it some tens of times per second.
func (c *Coordinator) Tick(now Micros, cluster Cluster) {
	c.now = max(c.now, now)
	refill := (c.now - c.refilledAt).Seconds() * requestsPerSecond
	c.tokens = min(c.tokens+refill, requestBurst)
	c.refilledAt = c.now
	for _, q := range slices.Clone(c.queries) {
		if !q.ended {
			c.advance(q, cluster)
		}
	}
}

// find returns the query in progress with a number, or nil if it has ended.
func (c *Coordinator) find(number uint32) *query {
	for _, q := range c.queries {
		if q.number == number {
			return q
		}
	}
	return nil
}
