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

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	maxQueries        = 32   // at a time
	requestsPerSecond = 60.0 // datagrams that ask
	burstRequests     = 30.0 // that may be sent at once after a silence
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
	Records    []directory.Record // each object once, by key
	Complete   bool
	Truncated  bool       // there are more than the limit
	Missing    []KeyRange // that nobody answered for; none if complete
	MapVersion shardmap.Version
	Candidates int // owners that could hold a match
	Queried    int // of these
	Excluded   int // owners whose summaries rule a match out
	Attempts   int // datagrams sent
}

// Output takes what comes out. It is called only from within calls of Coordinator.
type Output interface {
	// Send sends a datagram; b is valid within the call only. Without an address it goes from this router to itself, and
	// Receive is to be called with it at once.
	Send(to netip.AddrPort, b []byte)
	Done(number uint32, r Result)
}

// Store has this router's records, for queries of others.
type Store interface {
	// ShardMap gives the map that this router goes by, and whether it answers for all that the map gives it.
	ShardMap() (*shardmap.Map, bool)
	// Each calls f for each record until it returns false.
	Each(f func(*directory.Record) bool)
	// EachCreatedBefore does so for the records of a group, with only their copies made by a time.
	EachCreatedBefore(g directory.Group, before Micros, f func(*directory.Record) bool)
}

// Cluster is what this router knows of the others.
type Cluster interface {
	// ShardMap gives the map that this router goes by.
	ShardMap() (*shardmap.Map, bool)
	// Address reports where a router is reached.
	Address(id membership.NodeID) (netip.AddrPort, bool)
	// MayMatch reports whether an owner could hold a match, under a map.
	MayMatch(owner shardmap.Owner, m shardmap.Digest, q *summary.Query) bool
}

// Coordinator is one router's part: it makes queries, and answers those of others.
type Coordinator struct {
	self       shardmap.Owner
	output     Output
	now        Micros
	lastNumber uint32 // of a query
	queries    []*query
	tokens     float64 // requests that may be sent now
	refilledAt Micros
	buf        [MaxPayload + 128]byte
}

// New makes a router's part.
func New(now Micros, self shardmap.Owner, output Output) *Coordinator {
	return &Coordinator{self: self, output: output, now: now, tokens: burstRequests, refilledAt: now}
}

// Start begins a query that ends by a deadline, and gives its number. A limit of 0 or below stands for
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

// Tick goes on with all queries.
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

// find returns the query of a number; nil: it is over.
func (c *Coordinator) find(number uint32) *query {
	for _, q := range c.queries {
		if q.number == number {
			return q
		}
	}
	return nil
}
