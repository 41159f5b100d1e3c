package location

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Bounds are what locating copies may take.
type Bounds struct {
	QueriesPerSecond float64
	MaxConcurrent    int    // queries at a time
	MaxObjects       int    // remembered
	QueryTimeout     Micros // also how long a request waits for its query
	ResultTTL        Micros // of copies that were found
	NotFoundTTL      Micros // of a result without copies
	MaxUnseen        Micros // a copy that was last seen longer ago is not named
}

// DefaultBounds cost ten queries a second at most.
var DefaultBounds = Bounds{
	QueriesPerSecond: 10,
	MaxConcurrent:    8,
	MaxObjects:       2048,
	QueryTimeout:     600 * clock.Millisecond,
	ResultTTL:        5 * clock.Second,
	NotFoundTTL:      3 * clock.Second,
	MaxUnseen:        60 * clock.Second,
}

// State is how far the location of an object has come.
type State uint8

// States, see transitions for their order.
const (
	Requested State = iota + 1
	Queried
	Located  // a copy was named
	NotFound // no copy was found
)

// transitions are the states that may follow a state.
var transitions = [...][]State{
	Requested: {Queried},
	Queried:   {Located, NotFound, Requested},
	Located:   {Requested},
	NotFound:  {Requested},
}

// Output takes what comes out. It is called only from within calls of Locator.
type Output interface {
	// CopiesLocated gives the copies of an object, the one seen last first; they are valid within the call only.
	CopiesLocated(k shardmap.Key, copies []directory.Copy)
}

// object is one that was requested.
type object struct {
	state    State
	since    Micros
	purgedAt Micros // the last purge observed since it was requested; 0: none
}

// Stats counts what has happened since the start.
type Stats struct {
	Requests     uint64
	Queries      uint64
	Located      uint64
	NotFound     uint64
	Dropped      uint64 // requests beyond the bound on objects
	CopiesPurged uint64 // not named because of a purge
}

// Locator is one router's part.
type Locator struct {
	output  Output
	bounds  Bounds
	now     Micros
	objects map[shardmap.Key]*object
	waiting []shardmap.Key          // requested objects, the newest last
	queries map[uint32]shardmap.Key // under way
	tokens  float64                 // queries that may be made now
	stats   Stats
}

// New makes a router's part.
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

// transition is the only place where an object's state changes. It reports whether the transition is allowed.
func (l *Locator) transition(o *object, to State) bool {
	if !slices.Contains(transitions[o.state], to) {
		return false
	}
	o.state = to
	o.since = l.now
	return true
}

// Request asks which caches hold an object.
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

// expired reports whether the result for an object is too old. An object without a result has none that could be.
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

// ObservePurge takes a purge of one object or, with all, one that may concern any: the objects of a group are
// not known here.
func (l *Locator) ObservePurge(now Micros, k shardmap.Key, all bool, at Micros) {
	l.now = max(l.now, now)
	if all {
		for _, o := range l.objects {
			o.purgedAt = max(o.purgedAt, at)
		}
		return
	}
	if o := l.objects[k]; o != nil {
		o.purgedAt = max(o.purgedAt, at)
	}
}

// Tick queries requested objects. Ask begins the query for one object and gives its number, or reports that it
// can't; it must not call HandleResult before it returns.
func (l *Locator) Tick(now Micros, ask func(k shardmap.Key, until Micros) (uint32, bool)) {
	refill := max(now-l.now, 0).Seconds() * l.bounds.QueriesPerSecond
	l.tokens = min(l.tokens+refill, l.bounds.QueriesPerSecond)
	l.now = max(l.now, now)
	for len(l.waiting) > 0 && l.tokens >= 1 && len(l.queries) < l.bounds.MaxConcurrent {
		newest := len(l.waiting) - 1
		k := l.waiting[newest]
		l.waiting = l.waiting[:newest]
		if o := l.objects[k]; o != nil && o.state == Requested {
			l.query(k, o, ask)
		}
	}
	for k, o := range l.objects {
		hasResult := o.state == Located || o.state == NotFound
		if hasResult && l.now-o.since >= l.bounds.ResultTTL {
			delete(l.objects, k)
		}
	}
}

// query queries an object, or drops it if it can't be queried or whoever requested it has gone on without.
func (l *Locator) query(k shardmap.Key, o *object, ask func(k shardmap.Key, until Micros) (uint32, bool)) {
	if l.now-o.since > l.bounds.QueryTimeout {
		delete(l.objects, k)
		return
	}
	number, ok := ask(k, l.now+l.bounds.QueryTimeout)
	if !ok {
		delete(l.objects, k)
		return
	}
	l.transition(o, Queried)
	l.queries[number] = k
	l.tokens--
	l.stats.Queries++
}

// HandleResult takes a query's result, and reports whether it is of one of this package's queries.
func (l *Locator) HandleResult(now Micros, number uint32, r *scatter.Result) bool {
	k, ok := l.queries[number]
	if !ok {
		return false
	}
	l.now = max(l.now, now)
	delete(l.queries, number)
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

// validCopies returns the copies of an object that may be named, the one seen last first.
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

// Stats counts what has happened.
func (l *Locator) Stats() Stats { return l.stats }
