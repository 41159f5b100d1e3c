package purgeaudit

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// State is the state of the audit of a purge.
type State uint8

// The states. The transitions table defines their order.
const (
	Observed   State = iota + 1
	Queried          // a query is in flight
	Complete         // all owners that could match have answered
	Incomplete       // some owners have not answered, in any attempt
	Skipped          // another router audits the purge
)

// transitions lists the states that may follow each state. The states without an entry are final.
var transitions = [...][]State{
	Observed: {Queried, Skipped},
	Queried:  {Complete, Incomplete, Observed, Skipped},
}

// Bounds limits the resources spent on audits.
type Bounds struct {
	SettleTime    Micros // time from observing a purge to its first query
	QueryTimeout  Micros
	MaxAttempts   int    // queries per purge
	QueryInterval Micros // minimum time between two queries
	MaxPurges     int    // purges being audited at a time
}

// DefaultBounds allows up to two queries per second.
var DefaultBounds = Bounds{
	SettleTime:    clock.Second,
	QueryTimeout:  2 * clock.Second,
	MaxAttempts:   3,
	QueryInterval: 500 * clock.Millisecond,
	MaxPurges:     1024,
}

// CacheFinding reports the number of objects of which a cache may hold copies from before a purge.
type CacheFinding struct {
	Cache   directory.CacheInstance
	Objects int
}

// Finding reports which copies from before a purge may remain.
type Finding struct {
	Group    directory.Group
	PurgedAt Micros
	Objects  int
	Caches   []CacheFinding // in descending order of Objects
	Complete bool
}

// Output receives the results of an Auditor. The Auditor calls it only from within its own methods.
type Output interface{ PurgeAudited(f Finding) }

// purge is a purge that is being audited.
type purge struct {
	group    directory.Group
	purgedAt Micros
	state    State
	since    Micros
	attempts int
	best     Finding // best finding so far
}

// Stats counts events since the start.
type Stats struct {
	Observed   uint64 // purges
	Queries    uint64
	Complete   uint64 // complete findings
	Incomplete uint64 // incomplete findings
	Dropped    uint64 // purges dropped because of MaxPurges
}

// Auditor audits purges for one router. It is not safe for concurrent use.
type Auditor struct {
	output     Output
	bounds     Bounds
	now        Micros
	queriedAt  Micros
	purges     []*purge // latest last
	queries    map[uint32]*purge
	lastPurges map[directory.Group]Micros
	stats      Stats
}

// New returns the Auditor of one router.
func New(now Micros, output Output, bounds Bounds) *Auditor {
	return &Auditor{
		output:     output,
		bounds:     bounds,
		now:        now,
		queries:    map[uint32]*purge{},
		lastPurges: map[directory.Group]Micros{},
	}
}

// transition is the only code that changes a purge's state. It reports whether the transition is allowed.
func (a *Auditor) transition(p *purge, to State) bool {
	if int(p.state) >= len(transitions) || !slices.Contains(transitions[p.state], to) {
		return false
	}
	p.state = to
	p.since = a.now
	return true
}

// ObservePurge records a group's purge. It ignores a purge that is not later than the last known purge of the
// group.
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
	a.purges = append(a.purges, &purge{group: g, purgedAt: at, state: Observed, since: a.now})
}

// AskFunc starts a query for the records of a group with copies created before a time. It returns the query's
// number, or false if it can't start one. It must not call HandleResult before it returns.
type StartQueryFunc func(g directory.Group, createdBefore, deadline Micros) (uint32, bool)

// Tick advances all audits. ours says whether this router audits purges.
func (a *Auditor) Tick(now Micros, isAuditor bool, startQuery StartQueryFunc) {
	a.now = max(a.now, now)
	for i := len(a.purges) - 1; i >= 0; i-- {
		p := a.purges[i]
		switch {
		case a.settling(p):
		case !isAuditor && a.transition(p, Skipped):
		case p.state == Observed && len(a.queries) == 0 && a.now-a.queriedAt >= a.bounds.QueryInterval:
			a.query(p, startQuery)
		}
	}
	a.purges = slices.DeleteFunc(a.purges, func(p *purge) bool { return p.state > Queried })
}

// settling reports whether the owners of records may not have observed a purge yet.
func (a *Auditor) settling(p *purge) bool {
	return p.state == Observed && p.attempts == 0 && a.now-p.since < a.bounds.SettleTime
}

func (a *Auditor) query(p *purge, startQuery StartQueryFunc) {
	queryNumber, ok := startQuery(p.group, p.purgedAt, a.now+a.bounds.QueryTimeout)
	a.queriedAt = a.now
	p.attempts++
	if !ok {
		if p.attempts >= a.bounds.MaxAttempts {
			a.finishIncomplete(p)
		}
		return
	}
	a.transition(p, Queried)
	a.stats.Queries++
	a.queries[queryNumber] = p
}

// endIncomplete ends an audit with the best finding so far.
func (a *Auditor) finishIncomplete(p *purge) {
	a.transition(p, Queried)
	a.transition(p, Incomplete)
	a.stats.Incomplete++
	p.best.Group = p.group
	p.best.PurgedAt = p.purgedAt
	a.output.PurgeAudited(p.best)
}

// HandleResult handles a query's result, and reports whether the query was started by this Auditor.
func (a *Auditor) HandleResult(now Micros, queryNumber uint32, r *scatter.Result) bool {
	p := a.queries[queryNumber]
	if p == nil {
		return false
	}
	a.now = max(a.now, now)
	delete(a.queries, queryNumber)
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
		a.finishIncomplete(p)
	default:
		a.transition(p, Observed)
	}
	return true
}

// finding counts the copies from before a purge in a query's result.
func (p *purge) finding(r *scatter.Result) Finding {
	f := Finding{Group: p.group, PurgedAt: p.purgedAt, Complete: r.Complete}
	objects := map[directory.CacheInstance]int{}
	for i := range r.Records {
		found := false
		for _, c := range r.Records[i].Copies {
			if c.Cache != 0 && c.CreatedAt <= p.purgedAt {
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

// Stats returns counts of events since the start.
func (a *Auditor) Stats() Stats { return a.stats }
