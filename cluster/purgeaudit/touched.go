// Package touched finds out what a group's purge touches: which caches could hold copies from before it, of how many objects. Free of I/O:
// purges that are heard, time and results of queries go in; queries and findings come out.
//
// How it is called: Purged tells of each group's purge, Tick is called some tens of times a second, Found with each query's result.
//
// How it is decided: all routers hear of a purge, one asks, which is the one that makes the maps; the others forget theirs. It waits until
// keepers have heard of the purge as well, asks one group at a time, the latest purge first, and again while an answer is incomplete. A second
// purge of a group takes the place of the first: what was older than that is older than this. Findings over the bound are left, counted.
package purgeaudit

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// State is how far a purge has come.
type State uint8

const (
	Heard State = iota + 1
	Asked
	Known   // all sites that could match have answered
	PartOf  // some have not, in all tries
	NotOurs // another router asks
)

var follows = [...][]State{Heard: {Asked, NotOurs}, Asked: {Known, PartOf, Heard, NotOurs}}

// Bounds are what finding out may take.
type Bounds struct {
	Settle   Micros // from hearing of a purge until it is asked for
	Patience Micros // a query has so long
	Tries    int
	Gap      Micros // between two queries
	Most     int    // purges in hand
}

// DefaultBounds ask twice a second at most.
var DefaultBounds = Bounds{Settle: clock.Second, Patience: 2 * clock.Second, Tries: 3, Gap: 500 * clock.Millisecond, Most: 1024}

// CacheFinding is a cache in one of its starts, and of how many objects it could hold such copies.
type CacheFinding struct {
	Cache   directory.CacheInstance
	Objects int
}

// Finding is what a purge touches.
type Finding struct {
	Group    directory.Group
	PurgedAt Micros // the purge
	Objects  int
	Caches   []CacheFinding // the one with most first
	Complete bool
}

// Output takes what comes out. It is called only from within calls of Touched.
type Output interface{ PurgeAudited(f Finding) }

// purge is one in hand.
type purge struct {
	group directory.Group
	at    Micros
	state State
	since Micros
	tries int
	best  Finding
}

// Stats counts what has happened since the start.
type Stats struct{ Heard, Queries, Known, PartOf, Left uint64 }

// Auditor is one router's part.
type Auditor struct {
	post   Output
	bounds Bounds
	now    Micros
	asked  Micros
	list   []*purge // the latest last
	out    map[uint32]*purge
	last   map[directory.Group]Micros // purge of each group
	tally  Stats
}

// New makes a router's part.
func New(now Micros, post Output, bounds Bounds) *Auditor {
	return &Auditor{post: post, bounds: bounds, now: now, out: map[uint32]*purge{}, last: map[directory.Group]Micros{}}
}

// move is the one place where a purge's state changes; it says whether the change is legal.
func (t *Auditor) move(p *purge, to State) bool {
	if int(p.state) < len(follows) && slices.Contains(follows[p.state], to) {
		p.state, p.since = to, t.now
		return true
	}
	return false
}

// ObservePurge tells of a group's purge.
func (t *Auditor) ObservePurge(now Micros, g directory.Group, at Micros) {
	t.now = max(t.now, now)
	if was, ok := t.last[g]; ok && was >= at {
		return // heard before, or older
	}
	if len(t.last) >= 4*t.bounds.Most {
		clear(t.last)
	}
	t.last[g] = at
	t.list = slices.DeleteFunc(t.list, func(p *purge) bool { return p.group == g })
	if len(t.list) >= t.bounds.Most {
		t.tally.Left++
		t.list = t.list[1:]
	}
	t.tally.Heard++
	t.list = append(t.list, &purge{group: g, at: at, state: Heard, since: t.now})
}

// Tick goes on. Mine is whether this router is the one that asks; ask begins a query for rows of a group with copies from before a time, and
// gives its number. Found must not be called before it returns.
func (t *Auditor) Tick(now Micros, mine bool, ask func(g directory.Group, before, until Micros) (uint32, bool)) {
	t.now = max(t.now, now)
	for i := len(t.list) - 1; i >= 0; i-- {
		p := t.list[i]
		switch {
		case p.state == Heard && t.now-p.since < t.bounds.Settle && p.tries == 0:
		case !mine && t.move(p, NotOurs):
		case p.state == Heard && len(t.out) == 0 && t.now-t.asked >= t.bounds.Gap:
			no, ok := ask(p.group, p.at, t.now+t.bounds.Patience)
			t.asked = t.now
			if !ok { // no map yet
				if p.tries++; p.tries >= t.bounds.Tries {
					t.end(p)
				}
				continue
			}
			t.move(p, Asked)
			p.tries++
			t.tally.Queries++
			t.out[no] = p
		}
	}
	t.list = slices.DeleteFunc(t.list, func(p *purge) bool { return p.state > Asked })
}

// end gives a finding out that is not complete.
func (t *Auditor) end(p *purge) {
	t.move(p, Asked)
	t.move(p, PartOf)
	t.tally.PartOf++
	p.best.Group, p.best.PurgedAt = p.group, p.at
	t.post.PurgeAudited(p.best)
}

// HandleResult takes a query's result, and tells whether it was one of these.
func (t *Auditor) HandleResult(now Micros, no uint32, r *scatter.Result) bool {
	p := t.out[no]
	if p == nil {
		return false
	}
	t.now = max(t.now, now)
	delete(t.out, no)
	if p.state != Asked || !slices.Contains(t.list, p) { // another asks now, or a later purge took its place
		return true
	}
	f := Finding{Group: p.group, PurgedAt: p.at, Complete: r.Complete}
	at := map[directory.CacheInstance]int{}
	for i := range r.Records {
		old := false
		for _, c := range r.Records[i].Copies {
			if c.Cache != 0 && c.CreatedAt <= p.at {
				at[c.Cache]++
				old = true
			}
		}
		if old {
			f.Objects++
		}
	}
	for c, n := range at {
		f.Caches = append(f.Caches, CacheFinding{c, n})
	}
	slices.SortFunc(f.Caches, func(a, b CacheFinding) int {
		return cmp.Or(cmp.Compare(b.Objects, a.Objects), cmp.Compare(a.Cache, b.Cache))
	})
	if f.Objects >= p.best.Objects {
		p.best = f
	}
	switch {
	case r.Complete:
		t.move(p, Known)
		t.tally.Known++
		t.post.PurgeAudited(f)
	case p.tries >= t.bounds.Tries:
		t.end(p)
	default:
		t.move(p, Heard)
	}
	return true
}

// Stats counts what has happened.
func (t *Auditor) Stats() Stats { return t.tally }
