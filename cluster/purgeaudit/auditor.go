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

// State is the state of the audit of one purge.
type State uint8

// The states. The transitions table defines their order.
const (
	Observed   State = iota + 1 // waiting for its first or next query
	Queried                     // a query is in flight
	Complete                    // the result of a query was complete
	Incomplete                  // no query had a complete result, or none could be started
	Skipped                     // another router audits the purge
)

// transitions lists the states that may follow each state. A state without an entry is final.
var transitions = [...][]State{
	Observed: {Queried, Skipped},
	Queried:  {Complete, Incomplete, Observed, Skipped},
}

// Bounds limits the resources spent on audits.
type Bounds struct {
	SettleTime    Micros // minimum time from observing a purge to its first query
	QueryTimeout  Micros // time from the start of a query to its deadline
	MaxAttempts   int    // queries per purge, including those that could not be started
	QueryInterval Micros // minimum time between the starts of two queries
	MaxPurges     int    // purges being audited at a time
}

// DefaultBounds limits the auditor to two queries per second, and to three per purge.
var DefaultBounds = Bounds{
	SettleTime:    clock.Second,
	QueryTimeout:  2 * clock.Second,
	MaxAttempts:   3,
	QueryInterval: 500 * clock.Millisecond,
	MaxPurges:     1024,
}

// CacheFinding is the number of objects of which a cache may hold a copy from before a purge.
type CacheFinding struct {
	Cache   directory.CacheInstance
	Objects int
}

// Finding is the result of an audit: the copies from before a purge that may remain.
type Finding struct {
	Group    directory.Group
	PurgedAt Micros
	Objects  int            // objects with at least one such copy
	Caches   []CacheFinding // in descending order of Objects
	Complete bool           // the result of the query was complete; otherwise more copies may remain
}

// Output receives the results of an Auditor. The Auditor calls it only from within its own methods.
type Output interface {
	// PurgeAudited reports the finding of a finished audit.
	PurgeAudited(f Finding)
}

// purge is a purge that is being audited.
type purge struct {
	group    directory.Group
	purgedAt Micros
	state    State
	since    Micros  // when it entered its state
	attempts int     // queries started, or tried to start
	best     Finding // the finding with the most objects so far
}

// Stats counts events since the start.
type Stats struct {
	Observed   uint64 // purges later than any known purge of their group
	Queries    uint64 // queries started
	Complete   uint64 // complete findings
	Incomplete uint64 // incomplete findings
	Dropped    uint64 // purges dropped because of MaxPurges
}

// Auditor audits purges for one router. It is not safe for concurrent use.
type Auditor struct {
	output     Output
	bounds     Bounds
	now        Micros                     // latest time passed by the caller; never goes back
	queriedAt  Micros                     // start of the last query
	purges     []*purge                   // at most one per group, in the order of observation
	queries    map[uint32]*purge          // by the number of the query in flight; at most one
	lastPurges map[directory.Group]Micros // time of the last known purge, also after its audit
	stats      Stats
}

// New returns the Auditor of one router, without purges.
func New(now Micros, output Output, bounds Bounds) *Auditor {
	return &Auditor{
		output:     output,
		bounds:     bounds,
		now:        now,
		queries:    map[uint32]*purge{},
		lastPurges: map[directory.Group]Micros{},
	}
}

// transition changes a purge's state if the transitions table allows the change, and reports whether it does. No other
// code changes a state.
func (a *Auditor) transition(p *purge, to State) bool {
	if int(p.state) >= len(transitions) || !slices.Contains(transitions[p.state], to) {
		return false
	}
	p.state = to
	p.since = a.now
	return true
}

// ObservePurge records the purge of a group at purgedAt. It ignores a purge that is not later than the last known
// purge of the group, because a router may learn of the same purge more than once.
func (a *Auditor) ObservePurge(now Micros, g directory.Group, purgedAt Micros) {
	a.now = max(a.now, now)
	if last, ok := a.lastPurges[g]; ok && last >= purgedAt {
		return
	}
	if len(a.lastPurges) >= 4*a.bounds.MaxPurges {
		clear(a.lastPurges) // limits memory; a purge that is observed again may then be audited twice
	}
	a.lastPurges[g] = purgedAt
	a.purges = slices.DeleteFunc(a.purges, func(p *purge) bool { return p.group == g })
	if len(a.purges) >= a.bounds.MaxPurges {
		a.stats.Dropped++
		a.purges = a.purges[1:]
	}
	a.stats.Observed++
	a.purges = append(a.purges, &purge{group: g, purgedAt: purgedAt, state: Observed, since: a.now})
}

// StartQueryFunc starts a query for the records of a group with copies created at createdBefore or earlier. The query
// ends at the deadline at the latest. StartQueryFunc returns the query's number, or false if it can't start the query.
// It must not call HandleResult before it returns, because the query's number is unknown until then.
type StartQueryFunc func(g directory.Group, createdBefore, deadline Micros) (uint32, bool)

// Tick advances all audits, the latest purge first. isAuditor says whether this router audits purges at present.
// If it does not, it skips each purge once the settle time has passed; until then it may still become the auditor.
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

// settling reports whether a purge is too recent for its first query: owners of records may not have observed it
// yet.
func (a *Auditor) settling(p *purge) bool {
	return p.state == Observed && p.attempts == 0 && a.now-p.since < a.bounds.SettleTime
}

// query starts a query for a purge. A query that can't be started counts as an attempt, too.
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

// finishIncomplete ends an audit and reports the finding with the most objects. It changes the state by way of
// Queried, because it may be Observed if the last query could not be started.
func (a *Auditor) finishIncomplete(p *purge) {
	a.transition(p, Queried)
	a.transition(p, Incomplete)
	a.stats.Incomplete++
	p.best.Group = p.group
	p.best.PurgedAt = p.purgedAt
	a.output.PurgeAudited(p.best)
}

// HandleResult handles the result of a query, and reports whether this Auditor started the query. It accepts one
// result per query.
func (a *Auditor) HandleResult(now Micros, queryNumber uint32, r *scatter.Result) bool {
	p := a.queries[queryNumber]
	if p == nil {
		return false
	}
	a.now = max(a.now, now)
	delete(a.queries, queryNumber)
	if p.state != Queried || !slices.Contains(a.purges, p) {
		return true // another router audits the purge now, or a later purge of the group has replaced it
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

// finding returns the copies from before a purge in a query's result.
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

// Stats returns the counts of events since the start.
func (a *Auditor) Stats() Stats { return a.stats }
