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
	QueriesPerSecond float64
	MaxConcurrent    int    // queries in flight
	MaxObjects       int    // objects remembered
	QueryTimeout     Micros // also limits how long a request waits for its query
	ResultTTL        Micros // how long a result with copies is kept
	NotFoundTTL      Micros // how long a result without copies is kept
	MaxUnseen        Micros // maximum time since a reported copy was last seen
}

// DefaultBounds allows up to ten queries per second.
var DefaultBounds = Bounds{
	QueriesPerSecond: 10,
	MaxConcurrent:    8,
	MaxObjects:       2048,
	QueryTimeout:     600 * clock.Millisecond,
	ResultTTL:        5 * clock.Second,
	NotFoundTTL:      3 * clock.Second,
	MaxUnseen:        60 * clock.Second,
}

// State is the state of an object's location.
type State uint8

// The states. The transitions table defines their order.
const (
	Requested State = iota + 1
	Queried
	Located  // copies were reported
	NotFound // no copy was found
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

// object is an object that was requested.
type object struct {
	state    State
	since    Micros // when the object entered its state
	purgedAt Micros // time of the last purge observed since the request; 0: none
}

// Stats counts events since the start.
type Stats struct {
	Requests     uint64
	Queries      uint64
	Located      uint64
	NotFound     uint64
	Dropped      uint64 // requests dropped because of MaxObjects
	CopiesPurged uint64 // copies not reported because of a purge
}

// Locator locates copies for one router. It is not safe for concurrent use.
type Locator struct {
	output  Output
	bounds  Bounds
	now     Micros
	objects map[shardmap.Key]*object
	waiting []shardmap.Key          // requested objects, newest last
	queries map[uint32]shardmap.Key // objects of the queries in flight, by query number
	tokens  float64                 // queries that may be sent now
	stats   Stats
}

// New returns the Locator of one router.
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

// transition is the only code that changes an object's state. It reports whether the transition is allowed.
func (l *Locator) transition(o *object, to State) bool {
	if !slices.Contains(transitions[o.state], to) {
		return false
	}
	o.state = to
	o.since = l.now
	return true
}

// Request starts locating an object unless a recent result is known.
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

// expired reports whether an object's result is too old. It returns false if there is no result yet.
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

// ObservePurge records a purge of one object or, if all is set, of any objects: the members of a group are not
// known here.
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

// Tick queries requested objects. ask starts the query for one object and returns its number, or false if it can't.
// It must not call HandleResult before it returns.
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

// query queries an object. It drops the object if it can't be queried or if the request has been waiting for too
// long.
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

// HandleResult handles a query's result, and reports whether the query was started by this Locator.
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

// validCopies returns the copies of an object that may be reported, most recently seen first.
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

// Stats returns counts of events since the start.
func (l *Locator) Stats() Stats { return l.stats }
