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

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const second = clock.Second

// located records the copies that were reported.
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
	lastNumber uint32
	queries    map[uint32]shardmap.Key // queries in flight
	answeredAt map[shardmap.Key]Micros
	purgedAt   map[shardmap.Key]Micros // purges since the query
}

// purge observes a purge of one object or of all objects.
func (m *testModel) purge(k shardmap.Key) {
	at := m.now - Micros(rapid.IntRange(0, 500).Draw(m.t, "ago"))*clock.Millisecond
	all := rapid.Bool().Draw(m.t, "all")
	m.locator.ObservePurge(m.now, k, all, at)
	for _, o := range m.queries {
		if o == k || all {
			m.purgedAt[o] = max(m.purgedAt[o], at)
		}
	}
}

// ask starts a query.
func (m *testModel) ask(k shardmap.Key, _ Micros) (uint32, bool) {
	for _, o := range m.queries {
		if o == k {
			m.t.Fatalf("object %d has two queries at a time", k)
		}
	}
	if at, ok := m.answeredAt[k]; ok && m.now-at < DefaultBounds.NotFoundTTL {
		m.t.Fatalf("object %d is queried again after %d", k, m.now-at)
	}
	m.lastNumber++
	m.purgedAt[k] = 0 // earlier purges are the responsibility of the user of copies, see the package comment
	m.queries[m.lastNumber] = k
	return m.lastNumber, true
}

// answer ends a random query, and checks which copies are reported.
func (m *testModel) answer() {
	for number, k := range m.queries {
		r := directory.Record{Key: k}
		for i := range r.Copies {
			r.Copies[i] = directory.Copy{
				Cache:     directory.CacheInstance(i + 1),
				LastSeen:  m.now - Micros(rapid.IntRange(0, 90).Draw(m.t, "seen"))*second,
				CreatedAt: m.now - Micros(rapid.IntRange(0, 2000).Draw(m.t, "created"))*clock.Millisecond,
			}
		}
		delete(m.reported, k)
		if !m.locator.HandleResult(m.now, number, &scatter.Result{Records: []directory.Record{r}}) {
			m.t.Fatal("the result was not accepted")
		}
		previous := m.now
		for _, c := range m.reported[k] {
			purged := m.purgedAt[k] > 0 && c.CreatedAt <= m.purgedAt[k]
			if purged || m.now-c.LastSeen > DefaultBounds.MaxUnseen || c.LastSeen > previous {
				m.t.Fatalf("copy %+v is reported, purged at %d, now %d", m.reported[k], m.purgedAt[k], m.now)
			}
			previous = c.LastSeen
		}
		m.answeredAt[k] = m.now
		delete(m.queries, number)
		break
	}
}

// TestQueriedOnceAndNoPurgedCopies checks after each step that no object has two queries at a time or is queried
// again while its result is valid, that the rate limit is observed, and that no copy is reported from before a
// purge that was observed after the request.
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
				m.locator.Tick(m.now, m.ask)
			case 3:
				m.answer()
			}
			budget := DefaultBounds.QueriesPerSecond * (1 + m.now.Seconds())
			if float64(m.lastNumber) > budget {
				rt.Fatalf("%d queries in %.1f s", m.lastNumber, m.now.Seconds())
			}
		}
	})
}

// TestNotFound checks that a result without copies is valid for some time, that a request that could not be queried
// in time is dropped, and that the number of requests is limited.
func TestNotFound(t *testing.T) {
	reported := reportedCopies{}
	l := New(0, reported, DefaultBounds)
	queries := 0
	ask := func(shardmap.Key, Micros) (uint32, bool) {
		queries++
		return uint32(queries), true
	}
	l.Request(0, 5)
	l.Tick(0, ask)
	if !l.HandleResult(second, 1, &scatter.Result{}) || l.HandleResult(second, 1, &scatter.Result{}) {
		t.Fatal("the result was accepted twice, or not at all")
	}
	l.Request(2*second, 5)
	l.Tick(2*second, ask)
	l.Request(second+DefaultBounds.NotFoundTTL, 5)
	l.Tick(second+DefaultBounds.NotFoundTTL, ask)
	if queries != 2 || len(reported) > 0 {
		t.Errorf("%d queries, %v", queries, reported)
	}
	for k := range 2 * DefaultBounds.MaxObjects {
		l.Request(10*second, shardmap.Key(100+k))
	}
	if l.Stats().Dropped == 0 {
		t.Error("the number of requests is not limited")
	}
	l.Tick(12*second, ask) // too late for all of them
	if queries != 2 {
		t.Errorf("%d queries were started", queries)
	}
}
