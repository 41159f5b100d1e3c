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
	// The timeout of an attempt is answerTimeout multiplied by the number of the attempt, but at most by
	// maxTimeoutFactor.
	answerTimeout    = 200 * clock.Millisecond
	maxTimeoutFactor = 2
	// attemptsBeforeReplica is the number of attempts without a complete answer after which a replica is asked, too.
	attemptsBeforeReplica = 3
	maxPlans              = 3 // per query, each under another map
	maxConcurrent         = 8 // owners that one query waits for at a time
)

// query is a query in progress.
type query struct {
	summary.Query
	number   uint32
	limit    int // maximum number of records of the result
	deadline Micros
	shardMap *shardmap.Map // the map by which the query is planned
	targets  []target
	records  map[shardmap.Key]directory.Record // matching records received under shardMap, by object
	result   Result                            // filled in as the query progresses; Records and Missing at its end
	plans    int                               // number of plans made, including the first
	ended    bool
}

// target is an owner that could hold a match.
type target struct {
	owner        uint16 // index into the owners of the query's map
	sentAt       Micros // time of the last request
	attempts     int    // number of requests made
	inFlight     bool   // a request was made, and the answer is not complete yet
	answered     bool   // all parts of an answer have been received, so the owner has answered for all its keys
	replicaAsked bool
	received     receivedParts // parts of the latest answer
	partsTotal   int           // number of parts of the latest answer
}

// plan makes all owners that could hold a match under the map m targets of the query. It discards the records and
// answers received under the previous map, which prove nothing under m; only the count of attempts continues.
func (q *query) plan(m *shardmap.Map, cluster Cluster) {
	q.shardMap = m
	q.records = map[shardmap.Key]directory.Record{}
	q.targets = q.targets[:0]
	q.result = Result{MapVersion: m.Version, Attempts: q.result.Attempts}
	q.plans++
	considered := make([]bool, len(m.Owners))
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if !q.overlaps(r) || considered[r.Owner] {
			continue
		}
		considered[r.Owner] = true
		if !cluster.MayMatch(m.Owners[r.Owner], m.Digest, &q.Query) {
			q.result.Excluded++
			continue
		}
		q.result.Targets++
		q.targets = append(q.targets, target{owner: r.Owner})
	}
}

// overlaps reports whether a range could contain the key of a match: any range can, unless the query names an
// object.
func (q *query) overlaps(r *shardmap.Range) bool {
	return q.Object == 0 || q.Object >= r.First && q.Object <= r.Last
}

// progress returns the number of targets that have not answered completely, and how many of them have a request in
// flight.
func (q *query) progress() (inFlight, unanswered int) {
	for i := range q.targets {
		t := &q.targets[i]
		if t.answered {
			continue
		}
		unanswered++
		if t.inFlight {
			inFlight++
		}
	}
	return inFlight, unanswered
}

// due reports whether a request must be sent to a target: the first one, or another one after a timeout.
func (t *target) due(now Micros) bool {
	if t.answered {
		return false
	}
	return !t.inFlight || now-t.sentAt >= answerTimeout*Micros(min(t.attempts, maxTimeoutFactor))
}

// advance sends requests to the targets that are due, within the rate limit and the limit on concurrent requests. It
// ends the query if all targets have answered or the deadline has passed.
func (c *Coordinator) advance(q *query, cluster Cluster) {
	inFlight, unanswered := q.progress()
	if unanswered == 0 || c.now >= q.deadline {
		c.end(q)
		return
	}
	// A request to this router itself is answered during the call of request, which may end the query or plan it again
	// under another map. The loop must then stop, because the targets have changed.
	plan := q.plans
	planUnchanged := func() bool { return !q.ended && q.plans == plan }
	for i := 0; planUnchanged() && i < len(q.targets); i++ {
		t := &q.targets[i]
		if !t.due(c.now) || !t.inFlight && inFlight >= maxConcurrent || c.tokens < 1 {
			continue
		}
		if t.attempts == 0 {
			q.result.Queried++
			inFlight++
		}
		if t.attempts >= attemptsBeforeReplica && !t.replicaAsked {
			t.replicaAsked = true
			c.requestReplica(q, t.owner, cluster)
			if !planUnchanged() {
				return
			}
		}
		t.inFlight = true
		t.sentAt = c.now
		t.attempts++
		c.request(q, q.shardMap.Owners[t.owner].ID, t.received, cluster)
	}
}

// requestReplica requests the records of an owner that does not answer from the first replica of the first range
// of that owner that has one. They are merged into the result, but do not make it complete, since a replica is
// not known to have all of them.
func (c *Coordinator) requestReplica(q *query, owner uint16, cluster Cluster) {
	for i := range q.shardMap.Ranges {
		r := &q.shardMap.Ranges[i]
		if r.Owner == owner && r.Replicas[0] != shardmap.NoOwner && c.tokens >= 1 {
			c.request(q, q.shardMap.Owners[r.Replicas[0]].ID, receivedParts{}, cluster)
			return
		}
	}
}

// request sends a query to a router, which may be this one. received lists the parts of the answer that have
// already been received, so that the router sends only the others. A request to a router whose address is unknown
// is not sent.
func (c *Coordinator) request(q *query, to membership.NodeID, received receivedParts, cluster Cluster) {
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

// replan plans a query again if this router follows another map than that of the current plan, at most until
// maxPlans plans have been made. The next call of advance sends the requests.
func (c *Coordinator) replan(q *query, cluster Cluster) {
	m, _ := cluster.ShardMap()
	if m != nil && m.Digest != q.shardMap.Digest && q.plans < maxPlans {
		q.plan(m, cluster)
	}
}

// receivePart handles one part of a router's answer to the query with a number. The router may be a replica.
func (c *Coordinator) receivePart(number uint32, from membership.NodeID, p *answerPart, cluster Cluster) {
	q := c.find(number)
	if q == nil || p.mapDigest != q.shardMap.Digest { // an answer under another map says nothing about the targets
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

// addRecords stores the matching records. For each object it keeps the record with the latest UpdatedAt, since
// several routers may hold a record of it.
func (q *query) addRecords(records []directory.Record) {
	for i := range records {
		r := &records[i]
		if !Matches(&q.Query, r) {
			continue
		}
		stored, ok := q.records[r.Key]
		if !ok || stored.UpdatedAt < r.UpdatedAt {
			q.records[r.Key] = *r
		}
	}
}

// addPart records a received part of an answer. If the target's records have changed since its previous answer, the
// part belongs to a different answer: addPart then discards the earlier parts, because parts of two answers must not be
// combined.
func (t *target) addPart(p *answerPart) {
	if t.partsTotal != p.count || t.received.answerDigest != p.answerDigest {
		t.partsTotal = p.count
		t.received = receivedParts{answerDigest: p.answerDigest}
	}
	t.received.indexes |= 1 << p.index
	if t.received.indexes == 1<<t.partsTotal-1 {
		t.answered = true
		t.inFlight = false
	}
}

// end ends a query and passes its result to Output.Done.
func (c *Coordinator) end(q *query) {
	q.ended = true
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

// missing returns the ranges that could contain a match and whose owners have not answered completely.
func (q *query) missing() (ranges []KeyRange) {
	unanswered := map[uint16]bool{} // by owner index
	for i := range q.targets {
		t := &q.targets[i]
		unanswered[t.owner] = !t.answered
	}
	for i := range q.shardMap.Ranges {
		r := &q.shardMap.Ranges[i]
		if unanswered[r.Owner] && q.overlaps(r) {
			ranges = append(ranges, KeyRange{r.First, r.Last})
		}
	}
	return ranges
}

// sortedRecords returns the stored records, sorted by key.
func (q *query) sortedRecords() (records []directory.Record) {
	for _, r := range q.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b directory.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}
