package location

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

// reportedCopies implements Output. It records the copies that were last reported of each object.
type reportedCopies map[shardmap.Key][]directory.Copy

func (l reportedCopies) CopiesLocated(k shardmap.Key, c []directory.Copy) {
	l[k] = append([]directory.Copy(nil), c...)
}

// testModel is a locator with a model of its state.
type testModel struct {
	t          *rapid.T
	now        Micros
	locator    *Locator
	reported   reportedCopies
	lastNumber uint32                  // number of the last query
	queries    map[uint32]shardmap.Key // queries in flight
	answeredAt map[shardmap.Key]Micros
	purgedAt   map[shardmap.Key]Micros // last purge since the start of each object's query; 0: none
}

// purge makes the locator observe a purge of one object or of all objects.
func (m *testModel) purge(k shardmap.Key) {
	at := m.now - Micros(rapid.IntRange(0, 500).Draw(m.t, "ago"))*clock.Millisecond
	all := rapid.Bool().Draw(m.t, "all")
	m.locator.ObservePurge(m.now, k, all, at)
	for _, queried := range m.queries {
		if queried == k || all {
			m.purgedAt[queried] = max(m.purgedAt[queried], at)
		}
	}
}

// startQuery starts a query. It checks that the object has no other query and no valid result.
func (m *testModel) startQuery(k shardmap.Key, _ Micros) (uint32, bool) {
	for _, queried := range m.queries {
		if queried == k {
			m.t.Fatalf("object %d has two queries at a time", k)
		}
	}
	if at, ok := m.answeredAt[k]; ok && m.now-at < DefaultBounds.NotFoundTTL {
		m.t.Fatalf("object %d is queried again %.3f s after its last result", k, (m.now - at).Seconds())
	}
	m.lastNumber++
	m.purgedAt[k] = 0 // earlier purges are left to others, see the package comment
	m.queries[m.lastNumber] = k
	return m.lastNumber, true
}

// answer ends an arbitrary query in flight, and checks which copies are reported.
func (m *testModel) answer() {
	for number, k := range m.queries {
		record := directory.Record{Key: k}
		for i := range record.Copies {
			record.Copies[i] = directory.Copy{
				Cache:     directory.CacheInstance(i + 1),
				LastSeen:  m.now - Micros(rapid.IntRange(0, 90).Draw(m.t, "seen"))*second,
				CreatedAt: m.now - Micros(rapid.IntRange(0, 2000).Draw(m.t, "created"))*clock.Millisecond,
			}
		}
		delete(m.reported, k)
		if !m.locator.HandleResult(m.now, number, &scatter.Result{Records: []directory.Record{record}}) {
			m.t.Fatalf("the result of query %d was not accepted", number)
		}
		previousSeen := m.now // copies must be ordered, the one seen most recently first
		for _, c := range m.reported[k] {
			purged := m.purgedAt[k] > 0 && c.CreatedAt <= m.purgedAt[k]
			if purged || m.now-c.LastSeen > DefaultBounds.MaxUnseen || c.LastSeen > previousSeen {
				m.t.Fatalf("at %d us the copies %+v are reported, purged at %d us (0: never); want only later ones, seen within "+
					"%d us, the most recently seen first", m.now, m.reported[k], m.purgedAt[k], DefaultBounds.MaxUnseen)
			}
			previousSeen = c.LastSeen
		}
		m.answeredAt[k] = m.now
		delete(m.queries, number)
		break
	}
}

// TestQueriedOnceAndNoPurgedCopies requests and purges a few objects in random order. After each step no object
// may have two queries at a time or be queried again while its result is valid, and the rate limit must be
// observed. No copy may be reported that was created before a purge observed during the query: a fill from it
// would bring back purged content.
func TestQueriedOnceAndNoPurgedCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &testModel{
			t:          rt,
			reported:   reportedCopies{},
			queries:    map[uint32]shardmap.Key{},
			answeredAt: map[shardmap.Key]Micros{},
			purgedAt:   map[shardmap.Key]Micros{},
		}
		m.locator = New(0, m.reported, DefaultBounds)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			m.now += Micros(rapid.IntRange(1, 700).Draw(rt, "pause")) * clock.Millisecond
			k := shardmap.Key(rapid.IntRange(1, 6).Draw(rt, "object"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				m.locator.Request(m.now, k)
			case 1:
				m.purge(k)
			case 2:
				m.locator.Tick(m.now, m.startQuery)
			case 3:
				m.answer()
			}
			budget := DefaultBounds.QueriesPerSecond * (1 + m.now.Seconds())
			if float64(m.lastNumber) > budget {
				rt.Fatalf("%d queries in %.1f s, want at most %.1f", m.lastNumber, m.now.Seconds(), budget)
			}
		}
	})
}

// TestNotFound checks that a result without copies prevents another query for NotFoundTTL, that a request whose
// query could not be started in time is dropped, and that the number of requests is limited.
func TestNotFound(t *testing.T) {
	reported := reportedCopies{}
	l := New(0, reported, DefaultBounds)
	queries := 0
	startQuery := func(shardmap.Key, Micros) (uint32, bool) {
		queries++
		return uint32(queries), true
	}
	l.Request(0, 5)
	l.Tick(0, startQuery)
	if !l.HandleResult(second, 1, &scatter.Result{}) || l.HandleResult(second, 1, &scatter.Result{}) {
		t.Fatal("the result of the query was not accepted exactly once")
	}
	l.Request(2*second, 5)
	l.Tick(2*second, startQuery)
	l.Request(second+DefaultBounds.NotFoundTTL, 5)
	l.Tick(second+DefaultBounds.NotFoundTTL, startQuery)
	if queries != 2 || len(reported) > 0 {
		t.Errorf("%d queries, want 2; reported copies %v, want none", queries, reported)
	}
	for k := range 2 * DefaultBounds.MaxObjects {
		l.Request(10*second, shardmap.Key(100+k))
	}
	if l.Stats().Dropped == 0 {
		t.Errorf("no request was dropped, want at most %d objects", DefaultBounds.MaxObjects)
	}
	l.Tick(12*second, startQuery) // all requests have waited for longer than QueryTimeout
	if queries != 2 {
		t.Errorf("%d queries, want 2: expired requests were queried", queries)
	}
}
