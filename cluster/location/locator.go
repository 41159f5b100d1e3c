package location

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Bounds limits the resources spent on locating copies.
type Bounds struct {
	QueriesPerSecond float64 // also the maximum number of queries that may be started at once
	MaxConcurrent    int     // queries in flight
	MaxObjects       int     // objects remembered, with or without a result
	QueryTimeout     Micros  // also limits how long a request waits for its query to start
	ResultTTL        Micros  // how long a result with copies is kept
	NotFoundTTL      Micros  // how long a result without copies prevents another query; at most ResultTTL
	MaxUnseen        Micros  // maximum time since a reported copy was last seen
}

// DefaultBounds limits each router to ten queries per second and eight at a time.
var DefaultBounds = Bounds{
	QueriesPerSecond: 10,
	MaxConcurrent:    8,
	MaxObjects:       2048,
	QueryTimeout:     600 * clock.Millisecond,
	ResultTTL:        5 * clock.Second,
	NotFoundTTL:      3 * clock.Second,
	MaxUnseen:        60 * clock.Second,
}

// State is the state of the search for an object's copies.
type State uint8

// The states. The transitions table defines their order.
const (
	Requested State = iota + 1 // waiting for its query to start
	Queried                    // a query is in flight
	Located                    // the last query found copies, which were reported
	NotFound                   // the last query found no valid copy
)

// transitions lists the states that may follow each state.
var transitions = [...][]State{
	Requested: {Queried},
	Queried:   {Located, NotFound, Requested},
	Located:   {Requested},
	NotFound:  {Requested},
}

// Output receives the results of a Locator. The Locator calls it only from within its own methods.
type Output interface {
	// CopiesLocated reports the copies of an object, most recently seen first. The slice is valid only during the
	// call.
	CopiesLocated(k shardmap.Key, copies []directory.Copy)
}

// object is the state of an object that was requested.
type object struct {
	state    State
	since    Micros // when the object entered its state
	purgedAt Micros // time of the last purge observed since the object was added; 0: none
}

// Stats counts events since the start.
type Stats struct {
	Requests     uint64 // requests that need a query
	Queries      uint64 // queries started
	Located      uint64 // queries that found copies
	NotFound     uint64 // queries that found no valid copy
	Dropped      uint64 // requests dropped because of MaxObjects
	CopiesPurged uint64 // copies not reported because of a purge
}

// Locator locates copies for one router. It is not safe for concurrent use.
//
// Invariant: an object is in waiting, once, if and only if its state is Requested, and in queries, once, if and
// only if its state is Queried.
type Locator struct {
	output  Output
	bounds  Bounds
	now     Micros // latest time passed by the caller; never goes back
	objects map[shardmap.Key]*object
	waiting []shardmap.Key          // requested objects, newest last
	queries map[uint32]shardmap.Key // objects of the queries in flight, by query number
	tokens  float64                 // number of queries that may be started now
	stats   Stats
}

// New returns the Locator of one router, without objects.
func New(now Micros, output Output, bounds Bounds) *Locator {
	return &Locator{
		output:  output,
		bounds:  bounds,
		now:     now,
		objects: map[shardmap.Key]*object{},
		queries: map[uint32]shardmap.Key{},
		tokens:  bounds.QueriesPerSecond,
	}
}

// transition changes an object's state if the transitions table allows the change, and reports whether it does. No
// other code changes a state.
func (l *Locator) transition(o *object, to State) bool {
	if !slices.Contains(transitions[o.state], to) {
		return false
	}
	o.state = to
	o.since = l.now
	return true
}

// Request requests the copies of an object unless a query is pending or a valid result is known. The next calls of
// Tick start the query. Request drops the request if MaxObjects are remembered.
func (l *Locator) Request(now Micros, k shardmap.Key) {
	l.now = max(l.now, now)
	o := l.objects[k]
	switch {
	case o == nil:
		if len(l.objects) >= l.bounds.MaxObjects {
			l.stats.Dropped++
			return
		}
		l.objects[k] = &object{state: Requested, since: l.now}
	case !l.expired(o) || !l.transition(o, Requested):
		return
	}
	l.stats.Requests++
	l.waiting = append(l.waiting, k)
}

// expired reports whether an object's result is too old to prevent another query. It returns false if there is no
// result yet.
func (l *Locator) expired(o *object) bool {
	switch o.state {
	case Located:
		return l.now-o.since >= l.bounds.ResultTTL
	case NotFound:
		return l.now-o.since >= l.bounds.NotFoundTTL
	default:
		return false
	}
}

// ObservePurge records a purge made at purgedAt: of one object or, if all is set, of all known objects. The
// caller sets all for the purge of a group, because the Locator does not know which objects belong to it.
func (l *Locator) ObservePurge(now Micros, k shardmap.Key, all bool, purgedAt Micros) {
	l.now = max(l.now, now)
	if all {
		for _, o := range l.objects {
			o.purgedAt = max(o.purgedAt, purgedAt)
		}
		return
	}
	if o := l.objects[k]; o != nil {
		o.purgedAt = max(o.purgedAt, purgedAt)
	}
}

// Tick starts queries for requested objects, newest first, and deletes old results. startQuery starts the query
// for one object and returns its number, or false if it can't start one. It must not call HandleResult before it
// returns, because the query's number is unknown until then.
func (l *Locator) Tick(now Micros, startQuery func(k shardmap.Key, deadline Micros) (uint32, bool)) {
	refill := max(now-l.now, 0).Seconds() * l.bounds.QueriesPerSecond
	l.tokens = min(l.tokens+refill, l.bounds.QueriesPerSecond)
	l.now = max(l.now, now)
	for len(l.waiting) > 0 && l.tokens >= 1 && len(l.queries) < l.bounds.MaxConcurrent {
		newest := len(l.waiting) - 1
		k := l.waiting[newest]
		l.waiting = l.waiting[:newest]
		if o := l.objects[k]; o != nil && o.state == Requested {
			l.query(k, o, startQuery)
		}
	}
	for k, o := range l.objects {
		hasResult := o.state == Located || o.state == NotFound
		if hasResult && l.now-o.since >= l.bounds.ResultTTL {
			delete(l.objects, k)
		}
	}
}

// query starts the query of an object. It drops the object if the query can't be started or if the request has
// been waiting for longer than QueryTimeout: a location would probably come too late for it.
func (l *Locator) query(k shardmap.Key, o *object, startQuery func(k shardmap.Key, deadline Micros) (uint32, bool)) {
	if l.now-o.since > l.bounds.QueryTimeout {
		delete(l.objects, k)
		return
	}
	queryNumber, ok := startQuery(k, l.now+l.bounds.QueryTimeout)
	if !ok {
		delete(l.objects, k)
		return
	}
	l.transition(o, Queried)
	l.queries[queryNumber] = k
	l.tokens--
	l.stats.Queries++
}

// HandleResult handles the result of a query, and reports whether this Locator started the query. It accepts one
// result per query.
func (l *Locator) HandleResult(now Micros, queryNumber uint32, r *scatter.Result) bool {
	k, ok := l.queries[queryNumber]
	if !ok {
		return false
	}
	l.now = max(l.now, now)
	delete(l.queries, queryNumber)
	o := l.objects[k]
	if o == nil || o.state != Queried {
		return true
	}
	copies := l.validCopies(k, o, r)
	if len(copies) == 0 {
		l.stats.NotFound++
		l.transition(o, NotFound)
		return true
	}
	l.stats.Located++
	l.transition(o, Located)
	l.output.CopiesLocated(k, copies)
	return true
}

// validCopies returns the copies of an object that may be reported, most recently seen first: those seen within
// MaxUnseen and created after the last purge.
func (l *Locator) validCopies(k shardmap.Key, o *object, r *scatter.Result) (copies []directory.Copy) {
	for i := range r.Records {
		if r.Records[i].Key != k {
			continue
		}
		for _, c := range r.Records[i].Copies {
			switch {
			case c.Cache == 0 || l.now-c.LastSeen > l.bounds.MaxUnseen:
			case o.purgedAt > 0 && c.CreatedAt <= o.purgedAt:
				l.stats.CopiesPurged++
			default:
				copies = append(copies, c)
			}
		}
	}
	slices.SortStableFunc(copies, func(a, b directory.Copy) int { return cmp.Compare(b.LastSeen, a.LastSeen) })
	return copies
}

// Stats returns the counts of events since the start.
func (l *Locator) Stats() Stats { return l.stats }
