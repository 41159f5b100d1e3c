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
	maxQueries        = 32   // queries in progress
	requestsPerSecond = 60.0 // rate of request datagrams
	burstRequests     = 30.0 // requests that may be sent at once after a silence
	maxRecords        = 1 << 15
)

// Errors of this package.
var (
	ErrUnreadable = errors.New("scatter: unreadable datagram")
	ErrBusy       = errors.New("scatter: too many queries at a time")
	ErrNoMap      = errors.New("scatter: no shard map")
)

// KeyRange is a range of keys, both ends included.
type KeyRange struct{ First, Last shardmap.Key }

// Result is the result of a query.
type Result struct {
	Records    []directory.Record // one per object, sorted by key
	Complete   bool
	Truncated  bool       // more records match than the limit permits
	Missing    []KeyRange // ranges whose owners have not answered; empty if Complete
	MapVersion shardmap.Version
	Candidates int // number of owners that could hold a match
	Queried    int // number of Candidates that were queried
	Excluded   int // number of owners whose summaries rule out a match
	Attempts   int // number of requests sent
}

// Output receives the results of a Coordinator. The Coordinator calls it only from within its own methods.
type Output interface {
	// Send sends a datagram, which is valid only during the call. If to is invalid, the datagram is for this router
	// itself, and Send must pass it to Receive before returning.
	Send(to netip.AddrPort, b []byte)
	Done(number uint32, r Result)
}

// Store provides this router's records for queries of other routers.
type Store interface {
	// ShardMap returns the map that this router follows, and whether it serves all keys that the map assigns to it.
	ShardMap() (*shardmap.Map, bool)
	// Each calls f for each record until f returns false.
	Each(f func(*directory.Record) bool)
	// EachCreatedBefore does the same for the records of a group, with only their copies created before a time.
	EachCreatedBefore(g directory.Group, before Micros, f func(*directory.Record) bool)
}

// Cluster provides information about the other routers.
type Cluster interface {
	// ShardMap returns the map that this router follows, and whether it serves all its keys.
	ShardMap() (*shardmap.Map, bool)
	// Address returns the address of a router, or false if it is unknown.
	Address(id membership.NodeID) (netip.AddrPort, bool)
	// MayMatch reports whether an owner could hold a match, under the map m.
	MayMatch(owner shardmap.Owner, m shardmap.Digest, q *summary.Query) bool
}

// Coordinator makes one router's queries and answers those of other routers. It is not safe for concurrent use.
type Coordinator struct {
	self       shardmap.Owner
	output     Output
	now        Micros
	lastNumber uint32 // number of the last query
	queries    []*query
	tokens     float64 // requests that may be sent now
	refilledAt Micros
	buf        [MaxPayload + 128]byte
}

// New returns the Coordinator of one router.
func New(now Micros, self shardmap.Owner, output Output) *Coordinator {
	return &Coordinator{self: self, output: output, now: now, tokens: burstRequests, refilledAt: now}
}

// Start starts a query that ends at deadline or before, and returns its number. A limit of 0 or less means
// maxRecords. The error is ErrBusy or ErrNoMap.
func (c *Coordinator) Start(
	now Micros, asked summary.Query, limit int, deadline Micros, cluster Cluster,
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
	q := &query{number: c.lastNumber, Query: asked, limit: limit, deadline: deadline}
	q.plan(m, cluster)
	c.queries = append(c.queries, q)
	c.advance(q, cluster)
	return q.number, nil
}

// Tick advances all queries. The caller must call it some tens of times per second.
func (c *Coordinator) Tick(now Micros, cluster Cluster) {
	c.now = max(c.now, now)
	refill := (c.now - c.refilledAt).Seconds() * requestsPerSecond
	c.tokens = min(c.tokens+refill, burstRequests)
	c.refilledAt = c.now
	for _, q := range slices.Clone(c.queries) {
		if !q.over {
			c.advance(q, cluster)
		}
	}
}

// find returns the query with a number, or nil if it has ended.
func (c *Coordinator) find(number uint32) *query {
	for _, q := range c.queries {
		if q.number == number {
			return q
		}
	}
	return nil
}
