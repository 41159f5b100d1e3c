package routing

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/hash"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// drawnClasses draws classes of any effect, key scope, key window, freshness lifetime and grace.
func drawnClasses(rt *rapid.T) []Class {
	span := func(name string, limit int) Micros { return Micros(rapid.IntRange(0, limit).Draw(rt, name)) }
	cases := append([]Class(nil), testClasses...)
	for i := range cases {
		u := &cases[i]
		u.Effect = Effect(rapid.IntRange(0, int(NonIdempotent)).Draw(rt, "effect"))
		u.KeyScope = KeyScope(rapid.IntRange(0, int(KeyScopeCell)).Draw(rt, "reach"))
		u.KeyWindow, u.LatencyObjective = 1+span("window", 3_000_000), 1+span("expected", 900_000)
		u.FreshnessLifetime, u.Grace = span("fresh", 9_000_000), span("grace", 20_000_000)
		u.Write = rapid.Bool().Draw(rt, "write")
	}
	return cases
}

// Whatever comes, and whatever the settings are, the invariants hold after every step, each request gets one final
// answer, and nothing is left in flight.
func TestInvariantsInRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		permissions := plainPermissions
		permissions.Bypass = rapid.Bool().Draw(rt, "direct")
		permissions.SiblingFills = rapid.Bool().Draw(rt, "siblings")
		permissions.MaxAttempts = rapid.IntRange(1, 6).Draw(rt, "trips")
		permissions.JoinFills, permissions.FullCacheStatus = rapid.Bool().Draw(rt, "joins"), rapid.Bool().Draw(rt, "tells all")
		permissions.MaxRetryAfter = Micros(rapid.IntRange(0, 1_500_000).Draw(rt, "longest comeback"))
		fake := newFake(permissions)
		fake.classes = drawnClasses(rt)
		fake.router.classes = fake.classes
		sized := rapid.Bool().Draw(rt, "sizes told")
		for i := range 4 { // cells of two caches each, and a weight
			x := testEndpoints()[i]
			x.Cell, x.Weight = CellID(i/2), rapid.Float64Range(0, 9).Draw(rt, "weight")
			fake.update(x)
		}
		fake.router.EnableSiblingLookup(rapid.Bool().Draw(rt, "asks"))
		var visits []RequestID
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			fake.advance(Micros(rapid.IntRange(1, 400_000).Draw(rt, "pause")))
			switch step := rapid.IntRange(0, 12).Draw(rt, "step"); {
			case step == 12:
				o := hash.Combine(uint64(videoRequest(rapid.IntRange(0, 6).Draw(rt, "held")).Object), 0)
				fake.router.CopyLocated(o, EndpointID(rapid.IntRange(0, 8).Draw(rt, "at")), fake.router.now-Micros(rapid.IntRange(0, 9_000_000).Draw(rt, "made")))
			case step <= 3:
				a := videoRequest(rapid.IntRange(0, 6).Draw(rt, "object"))
				a.Class = ClassID(rapid.IntRange(0, 3).Draw(rt, "use"))
				a.Remaining = Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "left"))
				if !sized {
					a.SizeKB = 0
				}
				visits = append(visits, fake.arrive(a))
			case step <= 6 && len(fake.outstanding) > 0:
				i := rapid.IntRange(0, len(fake.outstanding)-1).Draw(rt, "trip")
				e := Outcome(rapid.IntRange(0, int(CacheMiss)).Draw(rt, "ending"))
				fake.end(i, AttemptResult{Outcome: e, CacheStatus: CacheStatus(rapid.IntRange(0, int(OriginFailed)).Draw(rt, "trace"))})
			case step == 7:
				x := testEndpoints()[rapid.IntRange(0, 6).Draw(rt, "cache")]
				x.State = EndpointState(rapid.IntRange(0, 2).Draw(rt, "standing"))
				x.Started = Micros(rapid.SampledFrom([]int{0, int(fake.router.now)}).Draw(rt, "started"))
				fake.update(x)
			case step == 10:
				a := videoRequest(rapid.IntRange(0, 6).Draw(rt, "renewed"))
				a.Class, a.Background = ClassID(rapid.IntRange(0, 3).Draw(rt, "use")), true
				a.Remaining, a.Gap = Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "left")), second
				before := len(fake.outstanding)
				v := fake.arrive(a)
				visits = append(visits, v)
				if len(fake.outstanding) == before && fake.answers[v] == 0 {
					rt.Fatal("background work waits")
				}
			case step == 11:
				id := EndpointID(rapid.IntRange(0, 7).Draw(rt, "probed"))
				if fake.router.MayHealthCheck(id) && fake.endpoints[id].State != Up {
					rt.Fatal("a draining cache may be probed")
				}
				fake.router.HealthChecked(id, rapid.Bool().Draw(rt, "there"), Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "ago")))
			case step == 8:
				fake.router.Purged(ObjectID(0x9e3779b97f4a7c15), 0, rapid.Bool().Draw(rt, "whole"), 50*ms)
			case len(visits) > 0:
				v := rapid.SampledFrom(visits).Draw(rt, "leaver")
				if fake.answers[v] == 0 {
					fake.clientLeft[v] = true
					fake.answers[v]++
					fake.router.ClientLeft(v)
				}
			}
			fake.check(rt)
		}
		fake.advance(4 * second)
		fake.check(rt)
		for _, v := range visits {
			if fake.answers[v] != 1 {
				rt.Fatalf("visit has %d final answers", fake.answers[v])
			}
		}
		if fake.router.requests.Len() != 0 || fake.released != len(visits) || fake.router.linkLimit.inUse != 0 {
			rt.Fatalf("%d visits stay behind, link %d", fake.router.requests.Len(), fake.router.linkLimit.inUse)
		}
	})
}
