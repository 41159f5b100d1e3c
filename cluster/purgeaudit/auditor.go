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

// State is how far the audit of a purge has come.
type State uint8

// States, see transitions for their order.
const (
	Observed   State = iota + 1
	Queried          // a query is under way
	Complete         // all owners that could match have answered
	Incomplete       // some have not, in all attempts
	NotOurs          // another router audits it
)

// transitions are the states that may follow a state; none follows the others.
var transitions = [...][]State{
	Observed: {Queried, NotOurs},
	Queried:  {Complete, Incomplete, Observed, NotOurs},
}

// Bounds are what an audit may take.
type Bounds struct {
	SettleTime    Micros // from observing a purge until its query
	QueryTimeout  Micros
	MaxAttempts   int    // queries for one purge
	QueryInterval Micros // between two queries
	MaxPurges     int    // at a time
}

// DefaultBounds allow two queries a second at most.
var DefaultBounds = Bounds{
	SettleTime:    clock.Second,
	QueryTimeout:  2 * clock.Second,
	MaxAttempts:   3,
	QueryInterval: 500 * clock.Millisecond,
	MaxPurges:     1024,
}

// CacheFinding says of how many objects a cache could hold copies from before a purge.
type CacheFinding struct {
	Cache   directory.CacheInstance
	Objects int
}

// Finding is which copies from before a purge could be left.
type Finding struct {
	Group    directory.Group
	PurgedAt Micros
	Objects  int
	Caches   []CacheFinding // the one with most first
	Complete bool
}

// Output takes what comes out. It is called only from within calls of Auditor.
type Output interface{ PurgeAudited(f Finding) }

// purge is one that is being audited.
type purge struct {
	group    directory.Group
	at       Micros
	state    State
	since    Micros
	attempts int
	best     Finding // so far
}

// Stats counts what has happened since the start.
type Stats struct {
	Observed   uint64 // purges
	Queries    uint64
	Complete   uint64 // findings
	Incomplete uint64 // findings
	Dropped    uint64 // purges beyond the bound
}

// Auditor is one router's part.
type Auditor struct {
	output     Output
	bounds     Bounds
	now        Micros
	queriedAt  Micros
	purges     []*purge // the latest last
	queries    map[uint32]*purge
	lastPurges map[directory.Group]Micros
	stats      Stats
}

// New makes a router's part.
func New(now Micros, output Output, bounds Bounds) *Auditor {
	return &Auditor{
		output:     output,
		bounds:     bounds,
		now:        now,
		queries:    map[uint32]*purge{},
		lastPurges: map[directory.Group]Micros{},
	}
}

// transition is the only place where a purge's state changes. It reports whether the transition is allowed.
func (a *Auditor) transition(p *purge, to State) bool {
	if int(p.state) >= len(transitions) || !slices.Contains(transitions[p.state], to) {
		return false
	}
	p.state = to
	p.since = a.now
	return true
}

// ObservePurge takes a group's purge. One that is not later than the last known purge of the group is ignored.
func (a *Auditor) ObservePurge(now Micros, g directory.Group, at Micros) {
	a.now = max(a.now, now)
	if last, ok := a.lastPurges[g]; ok && last >= at {
		return
	}
	if len(a.lastPurges) >= 4*a.bounds.MaxPurges {
		clear(a.lastPurges)
	}
	a.lastPurges[g] = at
	a.purges = slices.DeleteFunc(a.purges, func(p *purge) bool { return p.group == g })
	if len(a.purges) >= a.bounds.MaxPurges {
		a.stats.Dropped++
		a.purges = a.purges[1:]
	}
	a.stats.Observed++
	a.purges = append(a.purges, &purge{group: g, at: at, state: Observed, since: a.now})
}

// AskFunc begins a query for the records of a group with copies made by a time, and gives its number, or
// reports that it can't. It must not call HandleResult before it returns.
type AskFunc func(g directory.Group, createdBefore, until Micros) (uint32, bool)

// Tick goes on with all purges. Ours says whether this router is the one that audits them.
func (a *Auditor) Tick(now Micros, ours bool, ask AskFunc) {
	a.now = max(a.now, now)
	for i := len(a.purges) - 1; i >= 0; i-- {
		p := a.purges[i]
		switch {
		case a.settling(p):
		case !ours && a.transition(p, NotOurs):
		case p.state == Observed && len(a.queries) == 0 && a.now-a.queriedAt >= a.bounds.QueryInterval:
			a.query(p, ask)
		}
	}
	a.purges = slices.DeleteFunc(a.purges, func(p *purge) bool { return p.state > Queried })
}

// settling reports whether the owners of records may not have observed a purge yet.
func (a *Auditor) settling(p *purge) bool {
	return p.state == Observed && p.attempts == 0 && a.now-p.since < a.bounds.SettleTime
}

func (a *Auditor) query(p *purge, ask AskFunc) {
	number, ok := ask(p.group, p.at, a.now+a.bounds.QueryTimeout)
	a.queriedAt = a.now
	p.attempts++
	if !ok {
		if p.attempts >= a.bounds.MaxAttempts {
			a.endIncomplete(p)
		}
		return
	}
	a.transition(p, Queried)
	a.stats.Queries++
	a.queries[number] = p
}

// endIncomplete gives out the best finding that there is.
func (a *Auditor) endIncomplete(p *purge) {
	a.transition(p, Queried)
	a.transition(p, Incomplete)
	a.stats.Incomplete++
	p.best.Group = p.group
	p.best.PurgedAt = p.at
	a.output.PurgeAudited(p.best)
}

// HandleResult takes a query's result, and reports whether it is of one of this package's queries.
func (a *Auditor) HandleResult(now Micros, number uint32, r *scatter.Result) bool {
	p := a.queries[number]
	if p == nil {
		return false
	}
	a.now = max(a.now, now)
	delete(a.queries, number)
	if p.state != Queried || !slices.Contains(a.purges, p) {
		return true // another router audits it now, or a later purge of the group has replaced it
	}
	f := p.finding(r)
	if f.Objects >= p.best.Objects {
		p.best = f
	}
	switch {
	case r.Complete:
		a.transition(p, Complete)
		a.stats.Complete++
		a.output.PurgeAudited(f)
	case p.attempts >= a.bounds.MaxAttempts:
		a.endIncomplete(p)
	default:
		a.transition(p, Observed)
	}
	return true
}

// finding counts the copies from before a purge in a query's result.
func (p *purge) finding(r *scatter.Result) Finding {
	f := Finding{Group: p.group, PurgedAt: p.at, Complete: r.Complete}
	objects := map[directory.CacheInstance]int{}
	for i := range r.Records {
		found := false
		for _, c := range r.Records[i].Copies {
			if c.Cache != 0 && c.CreatedAt <= p.at {
				objects[c.Cache]++
				found = true
			}
		}
		if found {
			f.Objects++
		}
	}
	for cache, count := range objects {
		f.Caches = append(f.Caches, CacheFinding{cache, count})
	}
	slices.SortFunc(f.Caches, func(a, b CacheFinding) int {
		return cmp.Or(cmp.Compare(b.Objects, a.Objects), cmp.Compare(a.Cache, b.Cache))
	})
	return f
}

// Stats counts what has happened.
func (a *Auditor) Stats() Stats { return a.stats }
