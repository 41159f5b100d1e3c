package scatter

import (
	"cmp"
	"net/netip"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

const (
	answerTimeout    = 200 * clock.Millisecond // for the first attempt; increases by the same amount with each attempt
	maxTimeoutFactor = 2                       // maximum timeout, as a multiple of answerTimeout
	// attemptsBeforeReplica is the number of attempts after which a replica is asked, too.
	attemptsBeforeReplica = 3
	maxPlans              = 3 // per query, each with another map
	maxConcurrent         = 8 // owners that one query asks at a time
)

// query is a query in progress.
type query struct {
	summary.Query
	number   uint32
	limit    int // maximum number of records
	deadline Micros
	shardMap *shardmap.Map // the map by which it is planned
	targets  []target
	records  map[shardmap.Key]directory.Record
	result   Result
	plans    int
	over     bool
}

// target is an owner that could hold a match.
type target struct {
	owner        uint16 // index into the map's owners
	sentAt       Micros
	attempts     int
	waiting      bool // a request is in flight
	covered      bool // it has answered for all its keys
	replicaAsked bool
	received     parts
	partCount    int // number of parts of the answer
}

// plan lists the owners that could hold a match under a map. It discards everything that was found under another
// map.
func (q *query) plan(m *shardmap.Map, cluster Cluster) {
	q.shardMap = m
	q.records = map[shardmap.Key]directory.Record{}
	q.targets = q.targets[:0]
	q.result = Result{MapVersion: m.Version, Attempts: q.result.Attempts}
	q.plans++
	seen := make([]bool, len(m.Owners))
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if !q.overlaps(r) || seen[r.Owner] {
			continue
		}
		seen[r.Owner] = true
		if !cluster.MayMatch(m.Owners[r.Owner], m.Digest, &q.Query) {
			q.result.Excluded++
			continue
		}
		q.result.Candidates++
		q.targets = append(q.targets, target{owner: r.Owner})
	}
}

// overlaps reports whether a range could contain a match.
func (q *query) overlaps(r *shardmap.Range) bool {
	return q.Object == 0 || q.Object >= r.First && q.Object <= r.Last
}

// progress returns the number of uncovered targets with a request in flight, and the number of uncovered targets.
func (q *query) progress() (waiting, uncovered int) {
	for i := range q.targets {
		t := &q.targets[i]
		if t.covered {
			continue
		}
		uncovered++
		if t.waiting {
			waiting++
		}
	}
	return waiting, uncovered
}

// due reports whether a target must be asked, for the first time or again.
func (t *target) due(now Micros) bool {
	if t.covered {
		return false
	}
	return !t.waiting || now-t.sentAt >= answerTimeout*Micros(min(t.attempts, maxTimeoutFactor))
}

// advance sends requests to the targets that are due, within the rate limit. It ends the query if it is complete or
// past its deadline.
func (c *Coordinator) advance(q *query, cluster Cluster) {
	waiting, uncovered := q.progress()
	if uncovered == 0 || c.now >= q.deadline {
		c.end(q)
		return
	}
	// A request to this router itself is answered during the call, which may end the query or plan it again with
	// another map. The loop must then stop, because the targets have changed.
	plan := q.plans
	current := func() bool { return !q.over && q.plans == plan }
	for i := 0; current() && i < len(q.targets); i++ {
		t := &q.targets[i]
		if !t.due(c.now) || !t.waiting && waiting >= maxConcurrent || c.tokens < 1 {
			continue
		}
		if t.attempts == 0 {
			q.result.Queried++
			waiting++
		}
		if t.attempts >= attemptsBeforeReplica && !t.replicaAsked {
			t.replicaAsked = true
			c.requestReplica(q, t.owner, cluster)
			if !current() {
				return
			}
		}
		t.waiting = true
		t.sentAt = c.now
		t.attempts++
		c.request(q, q.shardMap.Owners[t.owner].ID, t.received, cluster)
	}
}

// requestReplica asks a replica of an owner that does not answer. Its records may help but do not make the result
// complete.
func (c *Coordinator) requestReplica(q *query, owner uint16, cluster Cluster) {
	for i := range q.shardMap.Ranges {
		r := &q.shardMap.Ranges[i]
		if r.Owner == owner && r.Replicas[0] != shardmap.NoOwner && c.tokens >= 1 {
			c.request(q, q.shardMap.Owners[r.Replicas[0]].ID, parts{}, cluster)
			return
		}
	}
}

// request sends a query to a router. It lists the parts of the answer that have already been received.
func (c *Coordinator) request(q *query, to membership.NodeID, received parts, cluster Cluster) {
	address, ok := cluster.Address(to)
	if to == c.self.ID {
		address = netip.AddrPort{}
		ok = true
	}
	if !ok {
		return
	}
	c.tokens--
	q.result.Attempts++
	r := request{
		mapDigest: q.shardMap.Digest,
		received:  received,
		query:     q.Query,
		limit:     q.limit,
	}
	c.output.Send(address, r.append(c.header(requestMessage, q.number), c.now))
}

// replan plans a query again if the current map is another one.
func (c *Coordinator) replan(q *query, cluster Cluster) {
	m, _ := cluster.ShardMap()
	if m != nil && m.Digest != q.shardMap.Digest && q.plans < maxPlans {
		q.plan(m, cluster)
	}
}

// takePart handles one part of a router's answer.
func (c *Coordinator) takePart(number uint32, from membership.NodeID, p *answerPart, cluster Cluster) {
	q := c.find(number)
	if q == nil || p.mapDigest != q.shardMap.Digest { // answers under another map prove nothing
		return
	}
	q.addRecords(p.records)
	for i := range q.targets {
		t := &q.targets[i]
		if q.shardMap.Owners[t.owner].ID == from {
			t.addPart(p)
			q.result.Truncated = q.result.Truncated || p.truncated
		}
	}
	c.advance(q, cluster)
}

// addRecords stores the matching records. Of each object it keeps the record updated last.
func (q *query) addRecords(records []directory.Record) {
	for i := range records {
		r := &records[i]
		if !Matches(&q.Query, r) {
			continue
		}
		known, ok := q.records[r.Key]
		if !ok || known.UpdatedAt < r.UpdatedAt {
			q.records[r.Key] = *r
		}
	}
}

// addPart records a received part. Parts of two different answers do not complete either.
func (t *target) addPart(p *answerPart) {
	if t.partCount != p.count || t.received.answer != p.answer {
		t.partCount = p.count
		t.received = parts{answer: p.answer}
	}
	t.received.set |= 1 << p.index
	if t.received.set == 1<<t.partCount-1 {
		t.covered = true
		t.waiting = false
	}
}

// end ends a query and outputs its result.
func (c *Coordinator) end(q *query) {
	q.over = true
	c.queries = slices.DeleteFunc(c.queries, func(o *query) bool { return o == q })
	q.result.Missing = q.missing()
	q.result.Records = q.sortedRecords()
	if q.limit > 0 && len(q.result.Records) > q.limit {
		q.result.Records = q.result.Records[:q.limit]
		q.result.Truncated = true
	}
	q.result.Complete = len(q.result.Missing) == 0 && !q.result.Truncated
	c.output.Done(q.number, q.result)
}

// missing returns the ranges whose owners have not answered completely.
func (q *query) missing() (ranges []KeyRange) {
	uncovered := map[uint16]bool{} // by owner index
	for i := range q.targets {
		t := &q.targets[i]
		uncovered[t.owner] = !t.covered
	}
	for i := range q.shardMap.Ranges {
		r := &q.shardMap.Ranges[i]
		if uncovered[r.Owner] && q.overlaps(r) {
			ranges = append(ranges, KeyRange{r.First, r.Last})
		}
	}
	return ranges
}

func (q *query) sortedRecords() (records []directory.Record) {
	for _, r := range q.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b directory.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}
