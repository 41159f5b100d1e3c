package routing

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/hash"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// drawMicros draws a duration of at most the given number of microseconds.
func drawMicros(rt *rapid.T, label string, longest int) Micros {
	return Micros(rapid.IntRange(0, longest).Draw(rt, label))
}

// drawClasses draws classes with any effect, key scope, key window, freshness lifetime and grace.
func drawClasses(rt *rapid.T) []Class {
	classes := append([]Class(nil), testClasses...)
	for i := range classes {
		class := &classes[i]
		class.Effect = Effect(rapid.IntRange(0, int(NonIdempotent)).Draw(rt, "effect"))
		class.KeyScope = KeyScope(rapid.IntRange(0, int(KeyScopeCell)).Draw(rt, "key scope"))
		class.KeyWindow = 1 + drawMicros(rt, "key window", 3_000_000)
		class.LatencyObjective = 1 + drawMicros(rt, "latency objective", 900_000)
		class.FreshnessLifetime = drawMicros(rt, "freshness lifetime", 9_000_000)
		class.Grace = drawMicros(rt, "grace", 20_000_000)
		class.Write = rapid.Bool().Draw(rt, "write")
	}
	return classes
}

// randomRun is a run of random events with random settings.
type randomRun struct {
	*fakeExecutor
	rt        *rapid.T
	withSizes bool // clients give sizes
	ids       []RequestID
}

func newRandomRun(rt *rapid.T) *randomRun {
	permissions := plainPermissions
	permissions.Bypass = rapid.Bool().Draw(rt, "bypass")
	permissions.SiblingFills = rapid.Bool().Draw(rt, "sibling fills")
	permissions.MaxAttempts = rapid.IntRange(1, 6).Draw(rt, "max attempts")
	permissions.JoinFills = rapid.Bool().Draw(rt, "join fills")
	permissions.FullCacheStatus = rapid.Bool().Draw(rt, "full cache status")
	permissions.MaxRetryAfter = drawMicros(rt, "max retry after", 1_500_000)
	run := &randomRun{fakeExecutor: newFakeExecutor(permissions), rt: rt}
	run.classes = drawClasses(rt)
	run.router.classes = run.classes
	run.withSizes = rapid.Bool().Draw(rt, "sizes known")
	for i := range 4 { // cells of two caches each
		ep := testEndpoints()[i]
		ep.Cell = CellID(i / 2)
		ep.Weight = rapid.Float64Range(0, 9).Draw(rt, "weight")
		run.update(ep)
	}
	run.router.EnableSiblingLookup(rapid.Bool().Draw(rt, "sibling lookup"))
	return run
}

// step performs one random event. The number of values of a case is the weight of its event.
func (run *randomRun) step() {
	switch step := rapid.IntRange(0, 12).Draw(run.rt, "step"); {
	case step == 12:
		run.copyLocated()
	case step <= 3:
		run.request()
	case step <= 6 && len(run.outstanding) > 0:
		run.attemptEnds()
	case step == 7:
		run.endpointChanges()
	case step == 10:
		run.backgroundWork()
	case step == 11:
		run.healthCheck()
	case step == 8:
		run.router.Purged(ObjectID(0x9e3779b97f4a7c15), 0, rapid.Bool().Draw(run.rt, "whole group"), 50*ms)
	case len(run.ids) > 0:
		run.clientLeaves()
	}
}

func (run *randomRun) copyLocated() {
	object := videoRequest(rapid.IntRange(0, 6).Draw(run.rt, "located object")).Object
	at := EndpointID(rapid.IntRange(0, 8).Draw(run.rt, "at"))
	cachedAt := run.router.now - drawMicros(run.rt, "cached for", 9_000_000)
	run.router.CopyLocated(hash.Combine(uint64(object), 0), at, cachedAt)
}

func (run *randomRun) request() {
	req := videoRequest(rapid.IntRange(0, 6).Draw(run.rt, "object"))
	req.Class = ClassID(rapid.IntRange(0, 3).Draw(run.rt, "class"))
	req.Remaining = drawMicros(run.rt, "remaining", 3_000_000)
	if !run.withSizes {
		req.SizeKB = 0
	}
	run.ids = append(run.ids, run.arrive(req))
}

func (run *randomRun) attemptEnds() {
	i := rapid.IntRange(0, len(run.outstanding)-1).Draw(run.rt, "attempt")
	outcome := Outcome(rapid.IntRange(0, int(CacheMiss)).Draw(run.rt, "outcome"))
	status := CacheStatus(rapid.IntRange(0, int(OriginFailed)).Draw(run.rt, "cache status"))
	run.end(i, AttemptResult{Outcome: outcome, CacheStatus: status})
}

func (run *randomRun) endpointChanges() {
	ep := testEndpoints()[rapid.IntRange(0, 6).Draw(run.rt, "endpoint")]
	ep.State = EndpointState(rapid.IntRange(0, 2).Draw(run.rt, "state"))
	ep.Started = Micros(rapid.SampledFrom([]int{0, int(run.router.now)}).Draw(run.rt, "started"))
	run.update(ep)
}

func (run *randomRun) backgroundWork() {
	work := videoRequest(rapid.IntRange(0, 6).Draw(run.rt, "refreshed object"))
	work.Class = ClassID(rapid.IntRange(0, 3).Draw(run.rt, "class"))
	work.Background = true
	work.Remaining = drawMicros(run.rt, "remaining", 3_000_000)
	work.RequestGap = second
	before := len(run.outstanding)
	id := run.arrive(work)
	run.ids = append(run.ids, id)
	if len(run.outstanding) == before && run.answers[id] == 0 {
		run.rt.Fatalf("background work with id %d was neither sent nor answered at once", id)
	}
}

func (run *randomRun) healthCheck() {
	id := EndpointID(rapid.IntRange(0, 7).Draw(run.rt, "checked"))
	if run.router.AdmitHealthCheck(id) && run.endpoints[id].State != Up {
		run.rt.Fatalf("a health check of endpoint %d is admitted, although it is draining or removed", id)
	}
	healthy := rapid.Bool().Draw(run.rt, "healthy")
	run.router.HealthChecked(id, healthy, drawMicros(run.rt, "ago", 3_000_000))
}

func (run *randomRun) clientLeaves() {
	id := rapid.SampledFrom(run.ids).Draw(run.rt, "leaves")
	if run.answers[id] > 0 {
		return
	}
	run.clientLeft[id] = true
	run.answers[id]++
	run.router.ClientLeft(id)
}

// With any events and settings, the invariants must hold after every step, each request must get exactly one final
// answer, and no request or attempt may remain.
func TestInvariantsInRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		run := newRandomRun(rt)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			run.advance(Micros(rapid.IntRange(1, 400_000).Draw(rt, "pause")))
			run.step()
			run.check(rt)
		}
		run.advance(4 * second)
		run.check(rt)
		for _, id := range run.ids {
			if run.answers[id] != 1 {
				rt.Fatalf("request %d has %d final answers, want 1", id, run.answers[id])
			}
		}
		r := run.router
		if r.requests.Len() != 0 || run.released != len(run.ids) || r.linkLimit.inUse != 0 {
			rt.Fatalf("%d requests remain, want none; %d of %d were released; %d attempts count in the link's limit, want none",
				r.requests.Len(), run.released, len(run.ids), r.linkLimit.inUse)
		}
	})
}
