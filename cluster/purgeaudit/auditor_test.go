package purgeaudit

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const second = clock.Second

// findings implements Output. It records the findings.
type findings []Finding

func (f *findings) PurgeAudited(x Finding) { *f = append(*f, x) }

// testQuery is a query in flight.
type testQuery struct {
	group         directory.Group
	createdBefore Micros
}

// testModel is an auditor with a model of its state.
type testModel struct {
	t             *rapid.T
	now           Micros
	auditor       *Auditor
	findings      findings
	isAuditor     bool
	observedAt    map[directory.Group]Micros // when the latest purge was observed
	latestPurge   map[directory.Group]Micros // time of the latest purge
	lastNumber    uint32                     // number of the last query
	queries       map[uint32]testQuery       // queries in flight, by number
	queriedAt     Micros                     // start of the last query
	completeCount int                        // number of complete findings
}

// purge makes the auditor observe a purge of a random group, which may be earlier than a known one.
func (m *testModel) purge() {
	g := directory.Group(rapid.IntRange(1, 3).Draw(m.t, "group"))
	at := m.now - Micros(rapid.IntRange(0, 3000).Draw(m.t, "ago"))*clock.Millisecond
	if at > m.latestPurge[g] {
		m.observedAt[g] = m.now
		m.latestPurge[g] = at
	}
	m.auditor.ObservePurge(m.now, g, at)
}

// startQuery starts a query. It checks that the auditor may query the group now.
func (m *testModel) startQuery(g directory.Group, createdBefore, deadline Micros) (uint32, bool) {
	allowed := m.isAuditor && len(m.queries) == 0 && m.now-m.queriedAt >= DefaultBounds.QueryInterval
	settled := m.now-m.observedAt[g] >= DefaultBounds.SettleTime
	if !allowed || !settled || createdBefore != m.latestPurge[g] || deadline <= m.now {
		m.t.Fatalf("group %d is queried at %d us for copies from before %d us, with deadline %d us; is the auditor: %v, "+
			"%d queries in flight, last query at %d us, last purge at %d us, observed at %d us", g, m.now, createdBefore,
			deadline, m.isAuditor, len(m.queries), m.queriedAt, m.latestPurge[g], m.observedAt[g])
	}
	m.queriedAt = m.now
	m.lastNumber++
	m.queries[m.lastNumber] = testQuery{g, createdBefore}
	return m.lastNumber, true
}

// answer ends the query in flight with one copy from before the purge and one from after it, and checks the
// findings.
func (m *testModel) answer() {
	for number, q := range m.queries {
		x := directory.Record{Key: 7, Group: q.group}
		x.Copies[0] = directory.Copy{Cache: 5, LastSeen: m.now, CreatedAt: q.createdBefore - second}
		x.Copies[1] = directory.Copy{Cache: 6, LastSeen: m.now, CreatedAt: q.createdBefore + second}
		r := scatter.Result{
			Records:  []directory.Record{x, {Key: shardmap.Key(8)}},
			Complete: rapid.Bool().Draw(m.t, "complete"),
		}
		findingsBefore := len(m.findings)
		if !m.auditor.HandleResult(m.now, number, &r) || m.auditor.HandleResult(m.now, number, &r) {
			m.t.Fatalf("the result of query %d was not accepted exactly once", number)
		}
		delete(m.queries, number)
		for _, f := range m.findings[findingsBefore:] {
			latest := f.Group == q.group && f.PurgedAt == m.latestPurge[q.group]
			onlyOlder := f.Objects == 1 && len(f.Caches) == 1 && f.Caches[0].Cache == 5
			if !latest || !onlyOlder || f.Complete != r.Complete {
				m.t.Fatalf("finding %+v for query %+v, want the purge at %d us, one object in cache 5, complete %v", f, q,
					m.latestPurge[q.group], r.Complete)
			}
			if f.Complete {
				m.completeCount++
			}
		}
	}
}

// TestFindings purges a few groups in random order, while this router becomes and ceases to be the auditor and
// results are complete or incomplete. After each step at most one query may be in flight, no purge may be queried
// before it has settled, and none by a router that is not the auditor. Each finding must be of the latest purge of
// its group, must be complete only if the result was, and must count exactly the copies from before the purge.
func TestFindings(t *testing.T) {
	completeCount := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &testModel{
			t:           rt,
			now:         100 * second,
			isAuditor:   true,
			observedAt:  map[directory.Group]Micros{},
			latestPurge: map[directory.Group]Micros{},
			queries:     map[uint32]testQuery{},
			queriedAt:   -second,
		}
		m.auditor = New(0, &m.findings, DefaultBounds)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			m.now += Micros(rapid.IntRange(1, 600).Draw(rt, "pause")) * clock.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				m.purge()
			case 1:
				m.isAuditor = rapid.IntRange(0, 3).Draw(rt, "ours") > 0
			case 2:
				m.answer()
			default:
				m.auditor.Tick(m.now, m.isAuditor, m.startQuery)
			}
		}
		completeCount += m.completeCount
	})
	if completeCount < 20 {
		t.Errorf("%d complete findings in all runs, want at least 20", completeCount)
	}
}

// TestIncomplete checks that a router that can't start queries, for example because it has no shard map, reports an
// incomplete finding instead of none, and that purges beyond the limit are dropped.
func TestIncomplete(t *testing.T) {
	var got findings
	a := New(0, &got, DefaultBounds)
	a.ObservePurge(0, 4, 1)
	for now := Micros(0); now < 5*second; now += 100 * clock.Millisecond {
		a.Tick(now, true, func(directory.Group, Micros, Micros) (uint32, bool) { return 0, false })
	}
	if len(got) != 1 || got[0].Complete || got[0].Group != 4 {
		t.Fatalf("findings %+v, want one incomplete finding for group 4", got)
	}
	for g := range DefaultBounds.MaxPurges + 5 {
		a.ObservePurge(6*second, directory.Group(10+g), 6*second)
	}
	if stats := a.Stats(); stats.Dropped != 5 || stats.Incomplete != 1 {
		t.Errorf("counts %+v, want 5 dropped purges and 1 incomplete finding", stats)
	}
}
