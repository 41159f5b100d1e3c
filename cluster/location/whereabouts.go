// Package whereabouts finds out which caches of a branch could hold an object: one more source for a fill while the object's own cache is
// cold, lost or crowded. Free of I/O: objects that are wanted, time and results of queries go in; queries and copies come out.
//
// How it is called: Want names an object that a visit would fill from elsewhere, Purged tells of purges, Tick is called some tens of times
// a second, Found with each query's result.
//
// How it is decided: a visit never waits for this. Each object is asked for once at a time, the newest wish first, within a budget that
// a storm of wishes does not raise; what came of it holds for a while, also that nobody knows of a copy. Of a row's copies those are named,
// the one that was seen last first, that are younger than any purge heard since the object was wished for, and were seen lately. An
// incomplete result may name a copy all the same: it is a hint, and the cache itself says what it holds.
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

// Bounds are what finding out may take.
type Bounds struct {
	PerS     float64 // queries a second
	Out      int     // at a time
	Most     int     // objects remembered, and wished for
	Patience Micros  // a query has so long
	Holds    Micros  // a result does
	Nobody   Micros  // that nobody knows of a copy
	Seen     Micros  // a copy that was last seen longer ago is not named
}

// DefaultBounds cost no more than ten queries a second.
var DefaultBounds = Bounds{PerS: 10, Out: 8, Most: 2048, Patience: 600 * clock.Millisecond, Holds: 5 * clock.Second,
	Nobody: 3 * clock.Second, Seen: 60 * clock.Second}

// State is how far an object has come.
type State uint8

const (
	Wished State = iota + 1
	Asked
	Known   // a copy was named
	Unknown // nobody knows of one
)

var follows = [...][]State{Wished: {Asked}, Asked: {Known, Unknown, Wished}, Known: {Wished}, Unknown: {Wished}}

// Output takes what comes out. It is called only from within calls of Whereabouts.
type Output interface {
	CopiesLocated(k shardmap.Key, copies []directory.Copy) // the one seen last first; good within the call only
}

// object is one that was wished for.
type object struct {
	state  State
	at     Micros // of the state
	purged Micros // the last purge heard since it was wished for
}

// Stats counts what has happened since the start.
type Stats struct {
	Wishes, Queries, Located, NotFound uint64
	Left                               uint64 // wishes beyond the bound
	Purged                             uint64 // copies not named for a purge
}

// Locator is one router's part.
type Locator struct {
	post    Output
	bounds  Bounds
	now     Micros
	objects map[shardmap.Key]*object
	wishes  []shardmap.Key // the newest last
	out     map[uint32]shardmap.Key
	tokens  float64
	tally   Stats
}

// New makes a router's part.
func New(now Micros, post Output, bounds Bounds) *Locator {
	return &Locator{post: post, bounds: bounds, now: now, objects: map[shardmap.Key]*object{}, out: map[uint32]shardmap.Key{},
		tokens: bounds.PerS}
}

// move is the one place where an object's state changes; it says whether the change is legal.
func (w *Locator) move(x *object, to State) bool {
	for _, ok := range follows[x.state] {
		if ok == to {
			x.state, x.at = to, w.now
			return true
		}
	}
	return false
}

// Request wishes to know who holds an object.
func (w *Locator) Request(now Micros, k shardmap.Key) {
	w.now = max(w.now, now)
	x := w.objects[k]
	switch {
	case x == nil:
		if len(w.objects) >= w.bounds.Most {
			w.tally.Left++
			return
		}
		x = &object{state: Wished, at: w.now}
		w.objects[k] = x
	case !w.passed(x) || !w.move(x, Wished):
		return
	}
	w.tally.Wishes++
	w.wishes = append(w.wishes, k)
}

// passed tells whether what is known of an object holds no longer.
func (w *Locator) passed(x *object) bool {
	switch x.state {
	case Known:
		return w.now-x.at >= w.bounds.Holds
	case Unknown:
		return w.now-x.at >= w.bounds.Nobody
	}
	return false
}

// ObservePurge tells of a purge of one object, or, with all, of any: a group's objects are not known here.
func (w *Locator) ObservePurge(now Micros, k shardmap.Key, all bool, at Micros) {
	w.now = max(w.now, now)
	if x := w.objects[k]; x != nil && !all {
		x.purged = max(x.purged, at)
	}
	if all {
		for _, x := range w.objects {
			x.purged = max(x.purged, at)
		}
	}
}

// Tick asks for what is wished for. Ask begins the query for one object, and gives its number; Found must not be called before it returns.
func (w *Locator) Tick(now Micros, ask func(k shardmap.Key, until Micros) (uint32, bool)) {
	w.tokens = min(w.tokens+max(now-w.now, 0).Seconds()*w.bounds.PerS, w.bounds.PerS)
	w.now = max(w.now, now)
	for len(w.wishes) > 0 && w.tokens >= 1 && len(w.out) < w.bounds.Out {
		k := w.wishes[len(w.wishes)-1]
		w.wishes = w.wishes[:len(w.wishes)-1]
		x := w.objects[k]
		if x == nil || x.state != Wished {
			continue
		}
		if w.now-x.at > w.bounds.Patience { // whoever wished it has gone on
			delete(w.objects, k)
			continue
		}
		no, ok := ask(k, w.now+w.bounds.Patience)
		if !ok {
			delete(w.objects, k)
			continue
		}
		w.move(x, Asked)
		w.out[no] = k
		w.tokens--
		w.tally.Queries++
	}
	for k, x := range w.objects {
		if (x.state == Known || x.state == Unknown) && w.now-x.at >= w.bounds.Holds {
			delete(w.objects, k)
		}
	}
}

// HandleResult takes a query's result, and tells whether it was one of these.
func (w *Locator) HandleResult(now Micros, no uint32, r *scatter.Result) bool {

	k, ours := w.out[no]
	if !ours {
		return false
	}
	w.now = max(w.now, now)
	delete(w.out, no)
	x := w.objects[k]
	if x == nil || x.state != Asked {
		return true
	}
	var good []directory.Copy
	for i := range r.Records {
		if r.Records[i].Key != k {
			continue
		}
		for _, c := range r.Records[i].Copies {
			switch {
			case c.Cache == 0 || w.now-c.LastSeen > w.bounds.Seen:
			case x.purged > 0 && c.CreatedAt <= x.purged:
				w.tally.Purged++
			default:
				good = append(good, c)
			}
		}
	}
	if len(good) == 0 {
		w.tally.NotFound++
		w.move(x, Unknown)
		return true
	}
	w.tally.Located++
	w.move(x, Known)
	slices.SortStableFunc(good, func(a, b directory.Copy) int { return cmp.Compare(b.LastSeen, a.LastSeen) })
	w.post.CopiesLocated(k, good)
	return true
}

// Stats counts what has happened.
func (w *Locator) Stats() Stats { return w.tally }
