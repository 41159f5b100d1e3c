package routing

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/hash"
	"threadrun/internal/testseed"
	"threadrun/internal/tokenbucket"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// drawnClasses are use cases of any effect, reach, window, fresh time and grace.
func drawnClasses(rt *rapid.T) []Class {
	span := func(name string, most int) Micros { return Micros(rapid.IntRange(0, most).Draw(rt, name)) }
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

// Seeded random runs: whatever comes, and whatever the settings are, the rules hold after every step and nothing stays behind.
func TestRulesInRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leave := plainPermissions
		leave.Bypass = rapid.Bool().Draw(rt, "direct")
		leave.SiblingFills = rapid.Bool().Draw(rt, "siblings")
		leave.MaxAttempts = rapid.IntRange(1, 6).Draw(rt, "trips")
		leave.JoinFills, leave.FullCacheStatus = rapid.Bool().Draw(rt, "joins"), rapid.Bool().Draw(rt, "tells all")
		leave.MaxRetryAfter = Micros(rapid.IntRange(0, 1_500_000).Draw(rt, "longest comeback"))
		fake := newFake(leave)
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

// While an object's home cache is just started, another cache of the branch that holds a copy is its source: one that this router has seen, or
// that others name. It takes no room on the link; what it lacks comes from a parent; a drained, cold or purged one is never named;
// and where nobody is known, others are asked.
func TestCopiesBeside(t *testing.T) {
	page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
	key := hash.Combine(77, 0)
	setup := func(on bool) (fake *fakeExecutor, home, other EndpointID) {
		fake = newFake(plainPermissions)
		fake.router.EnableSiblingLookup(on)
		fake.arrive(page)
		home = fake.outstanding[0].Cache
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		x := fake.endpoints[home]
		x.State = Draining
		fake.update(x)
		fake.advance(second)
		fake.arrive(page)
		other = fake.outstanding[0].Cache
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		x.State, x.Started = Up, fake.router.now
		fake.update(x)
		fake.advance(2 * second)
		fake.router.PlanBackground(page) // its cold budget begins with the first look
		fake.advance(second)
		fake.lookups = nil
		return fake, home, other
	}
	fake, home, other := setup(true)
	fake.arrive(page)
	if e := fake.outstanding[0]; e.Cache != home || e.Source != other || !e.OnlyIfCached || fake.router.linkLimit.inUse != 0 || fake.router.fetchLimit.inUse != 0 {
		t.Fatalf("%+v, home %d, another %d, link %d", e, home, other, fake.router.linkLimit.inUse)
	}
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if e := fake.outstanding[0]; e.Cache != home || fake.endpoints[e.Source].Tier != Parent || e.OnlyIfCached || len(fake.lookups) != 0 {
		t.Fatalf("%+v, others asked %d times", e, len(fake.lookups))
	}
	for what, spoil := range map[string]func(fake *fakeExecutor, other EndpointID){
		"off": func(fake *fakeExecutor, _ EndpointID) { fake.router.EnableSiblingLookup(false) },
		"drain": func(fake *fakeExecutor, other EndpointID) {
			x := fake.endpoints[other]
			x.State = Draining
			fake.update(x)
		},
		"cold": func(fake *fakeExecutor, other EndpointID) {
			x := fake.endpoints[other]
			x.Started = fake.router.now
			fake.update(x)
		},
		"purge": func(fake *fakeExecutor, _ EndpointID) { fake.router.Purged(77, 0, false, 0) },
		"old":   func(fake *fakeExecutor, _ EndpointID) { fake.advance(8 * second) },
	} {
		fake, home, other := setup(true)
		spoil(fake, other)
		fake.arrive(page)
		if e := fake.outstanding[0]; e.Cache != home && what != "old" || e.Source == other {
			t.Errorf("%s: %+v, home %d, another %d", what, e, home, other)
		}
	}
	fake, _, _ = setup(true)
	fake.router.objects.entries.Peek(key).holder = NoEndpoint // seen by others alone
	fake.arrive(page)
	if e := fake.outstanding[0]; fake.endpoints[e.Source].Tier != Parent || len(fake.lookups) != 1 {
		t.Fatalf("%+v, others asked %d times", e, len(fake.lookups))
	}
	fake.end(0, AttemptResult{Outcome: Failed, CacheStatus: SourceMiss})
	fake, home, other = setup(true)
	fake.router.objects.entries.Peek(key).holder = NoEndpoint
	fake.router.CopyLocated(key, 5, fake.router.now-second) // no cache of the branch
	fake.router.CopyLocated(key, other, fake.router.now-2*second)
	fake.arrive(page)
	if e := fake.outstanding[0]; e.Cache != home || e.Source != other {
		t.Errorf("%+v", e)
	}
	fake, home, other = setup(true)
	fake.router.objects.entries.Peek(key).holder = NoEndpoint
	fake.router.linkLimit.capacity, fake.router.linkLimit.inUse = 1, 1 // no fill is free: a visit only looks, waits, and goes on at the first word of a copy
	fake.arrive(page)
	if e := fake.outstanding[0]; e.Source != e.Cache || len(fake.lookups) != 0 {
		t.Fatalf("%+v, others asked %d times", e, len(fake.lookups))
	}
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) > 0 || len(fake.lookups) != 1 {
		t.Fatalf("%d sent, others asked %d times", len(fake.outstanding), len(fake.lookups))
	}
	fake.router.CopyLocated(key, other, fake.router.now-2*second)
	if len(fake.outstanding) != 1 || fake.outstanding[0].Cache != home || fake.outstanding[0].Source != other {
		t.Fatalf("%+v", fake.outstanding)
	}
	fake, _, _ = setup(true)
	for id := range EndpointID(4) { // the branch has no cache left: visits go past it, and nobody is asked
		x := fake.endpoints[id]
		x.State = Removed
		fake.update(x)
	}
	fake.arrive(page)
	if len(fake.outstanding) != 1 || fake.endpoints[fake.outstanding[0].Cache].Tier == Edge || len(fake.lookups) > 0 {
		t.Errorf("%+v, others asked %d times", fake.outstanding, len(fake.lookups))
	}
	fake.router.CopyLocated(hash.Combine(78, 0), other, fake.router.now) // an object that nobody asked for
	if fake.router.objects.entries.Peek(hash.Combine(78, 0)) != nil {
		t.Error("entered")
	}
}

// Background work goes where a visit would, for a copy that must be fetched anew, and is no visit to the design.
func TestBehind(t *testing.T) {
	page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
	behind := page
	behind.Background, behind.Gap = true, 300*ms
	fake := newFake(plainPermissions)
	fake.arrive(page)
	home := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	gap := fake.router.objects.entries.Peek(hash.Combine(uint64(page.Object), 0)).gap
	fake.advance(second)
	fake.arrive(behind)
	if e := fake.outstanding[0].ForwardPlan; e.Cache != home || e.Source == e.Cache || e.StaleWhileRevalidate || e.MaxAge > fake.classes[1].FreshnessLifetime/2 {
		t.Errorf("%+v, home %d", e, home)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if o := fake.router.objects.entries.Peek(hash.Combine(uint64(page.Object), 0)); o.gap != gap || fake.router.objects.missShare != 0 {
		t.Errorf("it counts as a visit: gap %v after %v, share missing %v", o.gap, gap, fake.router.objects.missShare)
	}
	// It makes way: for want of room, of ease, of a warm cache, and it is never tried again.
	for name, spoil := range map[string]func(){
		"half of the home cache's limit in use": func() {
			fake.router.endpoints[home].attemptLimit.inUse = int(fake.router.endpoints[home].attemptLimit.capacity / 2)
		},
		"half of the link's": func() { fake.router.linkLimit.inUse = int(fake.router.linkLimit.capacity / 2) },
		"overload":           func() { fake.router.overloaded = true },
		"late visits":        func() { fake.router.lateSuccessShare.Value = lateShareOfJam },
		"a limit cut":        func() { fake.router.lastLimitCut = fake.router.now },
		"a visit that waits": func() { fake.router.queue = append(fake.router.queue, 1<<40) },
		"cold caches": func() {
			for i := range 4 {
				x := testEndpoints()[i]
				x.Started = fake.router.now
				fake.update(x)
			}
		},
		"a one-shot use case": func() { behind.Class = 2 },
	} {
		fake, behind.Class = newFake(plainPermissions), 1
		spoil()
		v := fake.arrive(behind)
		if len(fake.outstanding) > 0 || fake.answers[v] != 1 {
			t.Errorf("with %s it goes, or waits", name)
		}
	}
	fake, behind.Class = newFake(plainPermissions), 1
	v := fake.arrive(behind)
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) > 0 || fake.answers[v] != 1 || fake.rejected > 0 {
		t.Error("it is tried again, or told as if it had never run")
	}
	fake.check(t)
}

// A copy that the branch is to be expected to ask for is told as worth renewing; one asked for seldom is not.
func TestAgeingIsTold(t *testing.T) {
	for gap, want := range map[Micros]bool{300 * ms: true, 20 * second: false} {
		fake := newFake(plainPermissions)
		fake.router.EnableRefreshAhead(true)
		page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
		for range 4 {
			fake.arrive(page)
			made := fake.router.now - 2*second
			fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, GeneratedAt: made})
			if n := len(fake.refreshes); n > 0 && fake.refreshes[n-1].freshUntil != made+fake.classes[1].FreshnessLifetime {
				t.Errorf("%+v", fake.refreshes[n-1])
			}
			fake.advance(gap)
		}
		if got := len(fake.refreshes) > 0; got != want {
			t.Errorf("gap %v ms: told %v", gap.Millis(), got)
		}
	}
}

// A probe ends a rest, or begins one; what is older than what is known says nothing.
func TestProbes(t *testing.T) {
	fake := newFake(plainPermissions)
	c := &fake.router.endpoints[1]
	fake.router.eject(c, false)
	fake.router.HealthChecked(1, true, 10*ms) // from before the rest
	if c.ejectedUntil <= fake.router.now {
		t.Error("an older probe ends the rest")
	}
	fake.advance(50 * ms)
	if fake.router.HealthChecked(1, true, 10*ms); c.ejectedUntil > fake.router.now || c.ejections == 0 {
		t.Error("the rest goes on, or all is forgotten")
	}
	fake.advance(5 * second)
	c = &fake.router.endpoints[2]
	c.lastSuccess = fake.router.now - 20*ms
	if fake.router.HealthChecked(2, false, 30*ms); c.ejectedUntil > fake.router.now {
		t.Error("a probe from before a good answer counts")
	}
	if fake.router.HealthChecked(2, false, 3*second); c.ejectedUntil > fake.router.now {
		t.Error("an old probe counts")
	}
	if fake.router.HealthChecked(2, false, 10*ms); c.ejectedUntil <= fake.router.now {
		t.Error("a cache that is not there does not rest")
	}
}

// A cache that comes back from the dead is cold before the list tells of its start, and stays so when it is listed again.
func TestBackFromTheDeadIsCold(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.eject(&fake.router.endpoints[1], false)
	fake.advance(second)
	fake.router.eject(&fake.router.endpoints[1], false)
	fake.advance(second)
	fake.router.recordSuccess(&fake.router.endpoints[1], &request{})
	fake.update(testEndpoints()[1])
	if !fake.router.inSlowStart(&fake.router.endpoints[1]) || fake.router.inSlowStart(&fake.router.endpoints[2]) {
		t.Fatal("not taken for just started")
	}
}

// The closed form stands against its guards: rate 0, negative gain, no gap.
func TestTimer(t *testing.T) {
	want := 10 * (math.Sqrt(1+2/(agingCost*0.125*10)) - 1)
	if got := copyTimer(10, 0.125, 0); math.Abs(got-want) > 1e-9 {
		t.Fatalf("timer %v, want %v", got, want)
	}
	if copyTimer(10, 0.125, 0.2) != 0 || !math.IsInf(copyTimer(10, 0, 0), 1) || !math.IsInf(copyTimer(0, 1, 0), 1) {
		t.Fatal("guards of the closed form")
	}
}

// Shorter gaps rank higher, a newcomer gets the middle rank, and a zero timer passes through unkept.
func TestRanksFollowGaps(t *testing.T) {
	fake := newFake(plainPermissions)
	l := &fake.router.objects
	l.typicalLogGap = math.Log(5)
	for gap, want := range map[float64]int{0: 2, 1: 3, 60: 2, 200: 1} {
		if rank, _ := l.rankAndMaxAge(&objectStats{gap: gap}, 0, 0); rank != want {
			t.Errorf("gap %v ranks %d, want %d", gap, rank, want)
		}
	}
	l.alpha = 1.0 / 60
	if rank, _ := l.rankAndMaxAge(&objectStats{gap: 61}, 0, 0); rank != 0 {
		t.Errorf("a zero timer is kept at rank %d", rank)
	}
}

// Copies missing within their timer drive alpha up; without any it is zero.
func TestAlphaFollowsMissShare(t *testing.T) {
	l := &objectTable{largestGap: 40}
	for range 2000 {
		l.recordExpectedHit(true)
	}
	if l.alpha < 0.2 {
		t.Fatalf("alpha %v", l.alpha)
	}
	for range 2000 {
		l.recordExpectedHit(false)
	}
	if l.alpha != 0 {
		t.Fatalf("alpha %v", l.alpha)
	}
}

// After a purge the accepted age is positive and counts from the purge, not from its notice.
func TestPurgedCopiesAreNotAccepted(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.Purged(videoRequest(3).Object, 0, false, 200*ms)
	fake.router.SetTime(fake.router.now + 300*ms)
	fake.arrive(videoRequest(3))
	if got := fake.outstanding[0].MaxAge; got <= 0 || got > 500*ms {
		t.Fatalf("oldest %v", got)
	}
}

// A branch whose caches are crowded keeps off the parents: going straight there only moves the jam.
func TestCrowdedBranchDoesNotGoStraight(t *testing.T) {
	fake := newFake(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, s := range fake.outstanding {
		if fake.endpoints[s.Cache].Tier != Edge {
			t.Fatal("sent straight past crowded caches")
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d sent, %d deferred: no limit was met, or nothing waited", len(fake.outstanding), fake.rejected)
	}
	if fake.advance(second); fake.rejected == 0 {
		t.Fatal("what waited too long is not deferred")
	}
	fake.check(t)
}

// A full link leaves a visit what its cache holds: it is sent to look, and no fill is named.
func TestFullLinkOnlyLooks(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.linkLimit.capacity = 1
	fake.arrive(videoRequest(1))
	fake.arrive(videoRequest(2))
	if a, b := fake.outstanding[0].ForwardPlan, fake.outstanding[1].ForwardPlan; a.Source == a.Cache || b.Source != b.Cache {
		t.Fatalf("%+v, then %+v", a, b)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) != 1 || fake.rejected != 0 {
		t.Fatal("not waiting for a fill")
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].Source == fake.outstanding[0].Cache {
		t.Fatal("the fill that came free was not given out")
	}
}

// A crowded origin leaves a visit what the parent holds: the fill names it, but no fetch.
func TestCrowdedOriginAsksForWhatIsHeld(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.fetchLimit.capacity = 1
	fake.arrive(videoRequest(1))
	fake.arrive(videoRequest(2))
	if a, b := fake.outstanding[0].ForwardPlan, fake.outstanding[1].ForwardPlan; a.OnlyIfCached || !b.OnlyIfCached || fake.endpoints[b.Source].Tier != Parent {
		t.Fatalf("%+v, then %+v", a, b)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].OnlyIfCached {
		t.Fatal("the fetch that came free was not given out")
	}
}

// A hit that leaves little of its expected time cuts its cache's limit, though it is in time; a quick one does not.
func TestHitThatLeavesLittleTimeCutsTheLimit(t *testing.T) {
	for took, cut := range map[Micros]bool{100 * ms: false, 600 * ms: true} {
		fake := newFake(plainPermissions)
		fake.arrive(videoRequest(1))
		c := &fake.router.endpoints[fake.outstanding[0].Cache]
		before := c.attemptLimit.capacity
		fake.router.SetTime(fake.router.now + took)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: took})
		if (c.attemptLimit.capacity < before*0.9) != cut {
			t.Errorf("a hit of %v leaves the limit at %v", took, c.attemptLimit.capacity)
		}
	}
}

// A tenant's visits within its share are told from those beyond it.
func TestTenantOverItsShare(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.tenants, fake.router.quotas = []Tenant{{QuotaPerSecond: 4, OverQuotaWeight: 0.1}}, make([]tokenbucket.Bucket, 1)
	a := videoRequest(1)
	a.Tenant = 0
	fake.arrive(a)
	fake.advance(second)
	for n, over := range []bool{false, false, true} {
		if got := fake.router.requests.Get(fake.arrive(a)).overQuota; got != over {
			t.Errorf("visit %d: over its share %v", n, got)
		}
	}
}

// A just-started cache and a just-started parent are sent a part of what the rule allows over any window.
func TestColdBudget(t *testing.T) {
	for _, id := range []EndpointID{1, 4} {
		fake := newFake(plainPermissions)
		fake.router.warmLoad = [2]float64{2, 2}
		x := testEndpoints()[id]
		x.Started = fake.router.now
		fake.update(x)
		work := 0.0
		for i := range 1500 {
			fake.router.SetTime(fake.router.now + ms)
			fake.arrive(videoRequest(i))
			if s := fake.outstanding[len(fake.outstanding)-1]; s.Cache == id || s.Source == id {
				work += 0.1
			}
			for len(fake.outstanding) > 0 {
				fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
			}
		}
		if most := 2 * 0.3 * 2 * 1.5; work > most || work == 0 {
			t.Errorf("cache %d was sent %.2f of work, the rule allows %.2f", id, work, most)
		}
	}
}

// A parent that died is cold from then on: many routers, each trying it after a rest, stay within its budget together.
func TestManyRoutersSpareACrowdedReturn(t *testing.T) {
	const routers, bears = 80, 0.3
	work := 0.0
	for i := range routers {
		fake := newFake(plainPermissions)
		fake.router.seed, fake.router.locality.FleetRouters, fake.router.warmLoad = uint32(i), routers, [2]float64{bears, bears}
		fake.router.eject(&fake.router.endpoints[4], true)
		fake.advance(firstEjection)
		for k := range 15 {
			fake.advance(100 * ms)
			fake.arrive(videoRequest(k))
			if s := fake.outstanding[len(fake.outstanding)-1]; s.Source == 4 {
				work += 0.1
			}
			fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		}
	}
	if most := 2 * 0.3 * bears * routers * 1.5; work > most || work == 0 {
		t.Fatalf("%.1f of work to a parent that may have %.1f", work, most)
	}
}

// A limit below one is a pause after each trip; it falls no lower than the router's part of one.
func TestLimitBelowOneGoesByTurns(t *testing.T) {
	fake := newFake(plainPermissions)
	l := &limit{capacity: 0.5, sharers: 4}
	fake.router.adjustLimit(l, &attempt{sent: fake.router.now - 100*ms}, false)
	if pause := l.notBefore - fake.router.now; l.available(fake.router.now) || pause < 100*ms || pause > 300*ms || !l.available(l.notBefore) {
		t.Fatalf("limit %.2f pauses for %d", l.capacity, pause)
	}
	for range 30 {
		fake.router.now += second
		fake.router.adjustLimit(l, &attempt{sent: fake.router.now}, false)
	}
	if l.capacity != 0.25 {
		t.Fatalf("limit %.2f", l.capacity)
	}
}

// A refusal at a full cache's door says nothing of the source; one that took a way to the source does.
func TestRefusalsAtTheDoorAreNotTheSources(t *testing.T) {
	for took, rests := range map[Micros]bool{ms: false, 20 * ms: true} {
		fake := newFake(plainPermissions)
		for i := range 12 {
			fake.router.fastestAttempt = ms
			fake.arrive(videoRequest(i))
			for len(fake.outstanding) > 0 {
				fake.router.SetTime(fake.router.now + took)
				fake.end(0, AttemptResult{Outcome: Rejected, Elapsed: took})
			}
		}
		if got := fake.router.endpoints[4].ejections+fake.router.endpoints[5].ejections > 0; got != rests {
			t.Errorf("refused after %d: parents rest %v", took, got)
		}
	}
}

// A fetch that failed at the origin cuts the limit on fetches; its parent stays in use.
func TestOriginFailureCutsFetches(t *testing.T) {
	fake := newFake(plainPermissions)
	before := fake.router.fetchLimit.capacity
	for i := range 4 {
		fake.arrive(videoRequest(i))
		fake.end(0, AttemptResult{Outcome: Rejected, CacheStatus: OriginFailed, Elapsed: 30 * ms})
		fake.outstanding = fake.outstanding[:0]
	}
	if p := fake.router.endpoints[4].ejections + fake.router.endpoints[5].ejections; fake.router.fetchLimit.capacity >= before || p > 0 {
		t.Fatalf("fetches %.1f, strikes %d", fake.router.fetchLimit.capacity, p)
	}
}

// A late fill at a cache that is late more often than others cuts that cache's limit, not the link's.
func TestSlowCacheIsNotBlamedOnItsSource(t *testing.T) {
	for _, slow := range []bool{false, true} {
		fake := newFake(plainPermissions)
		fake.arrive(videoRequest(1))
		s := fake.outstanding[0]
		if slow {
			fake.router.endpoints[s.Cache].lateShare.Value = 0.9
		}
		cache, fetch := fake.router.endpoints[s.Cache].attemptLimit.capacity, fake.router.fetchLimit.capacity
		fake.advance(1200 * ms)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1200 * ms})
		if fake.router.endpoints[s.Cache].attemptLimit.capacity < cache != slow || fake.router.fetchLimit.capacity < fetch == slow {
			t.Errorf("slow %v: cache %.1f, fetches %.1f", slow, fake.router.endpoints[s.Cache].attemptLimit.capacity, fake.router.fetchLimit.capacity)
		}
	}
}

// A parent that lets a trip pass its expected time without a word is asked last, long before the trip's limit; a word from it ends
// that. The other is asked meanwhile.
func TestMuteParentIsAskedLast(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	mute := fake.outstanding[0].Source
	if fake.endpoints[mute].Tier != Parent {
		t.Fatalf("filled from %v", mute)
	}
	ask := func() EndpointID {
		fake.arrive(videoRequest(1))
		s := fake.outstanding[len(fake.outstanding)-1]
		return s.Source
	}
	if got := ask(); got != mute {
		t.Fatalf("%v in time, %v wanted", got, mute)
	}
	fake.advance(1300 * ms)
	if got := ask(); got == mute || fake.endpoints[got].Tier != Parent {
		t.Fatalf("%v after its time had passed", got)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1300 * ms})
	fake.router.endpoints[mute].fillLatency.Value = 0 // that it was slow is another matter
	if got := ask(); got != mute {
		t.Fatalf("%v after it had spoken", got)
	}
}

// A small cache's cold budget is small: it goes by the weight that the list tells.
func TestColdBudgetGoesByWeight(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.warmLoad[Edge] = 2
	var spent [2]float64
	for i, w := range []float64{2, 6} {
		x := testEndpoints()[1]
		x.Started, x.Weight = fake.router.now, w
		fake.update(x)
		c := &fake.router.endpoints[1]
		v := &request{}
		fake.router.classSendTimes[0] = 0.01
		for range 1500 {
			fake.router.SetTime(fake.router.now + ms)
			if fake.router.withinSlowStartBudget(c, v) {
				c.slowStartBudget.Take(0.01)
				spent[i] += 0.01
			}
		}
	}
	if r := spent[1] / spent[0]; r < 2.5 || r > 3.5 {
		t.Fatalf("three times the weight is sent %.1f times the work", r)
	}
}

// One broken connection may be the way's: the cache stays in use. Three in a row let it rest, yet are no death.
func TestOneBrokenConnectionIsNoDeath(t *testing.T) {
	for n, rests := range map[int]bool{1: false, 2: false, 3: true} {
		fake := newFake(plainPermissions)
		c, out := &fake.router.endpoints[1], fake.router.now
		for range 9 { // on one connection, which ends
			fake.router.SetTime(fake.router.now + 1)
			fake.router.observe(&request{}, &attempt{cache: 1, source: 1, sent: out}, AttemptResult{Outcome: ConnectionLost})
		}
		for range n - 1 {
			fake.router.observe(&request{}, &attempt{cache: 1, source: 1, sent: fake.router.now}, AttemptResult{Outcome: ConnectionLost})
		}
		if r := c.ejectedUntil > fake.router.now; r != rests || fake.router.inSlowStart(c) {
			t.Errorf("after %d: rests %v", n, r)
		}
	}
}

// What bad clients can bring about is no fault of a cache or parent, nor learned as it stands: an error at once, whatever a
// moment's load adds to it, and sizes beyond belief, which count for little. A parent that rests for it sends its part of the fills elsewhere.
func TestBadAsksBlameNobody(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: ms / 10})
	before := fake.router.classSendTimes[0]
	for i := range 20 {
		a := videoRequest(100 + i)
		a.SizeKB = 9e8
		fake.arrive(a)
		for len(fake.outstanding) > 0 {
			fake.advance(2 * ms)
			fake.end(0, AttemptResult{Outcome: Failed, Elapsed: 2 * ms})
		}
	}
	for i := range fake.router.endpoints {
		if c := &fake.router.endpoints[i]; c.ejections > 0 || c.fillLimit.capacity < initialFillLimit && c.Tier == Parent {
			t.Errorf("cache %d: %d strikes, %.1f fills", i, c.ejections, c.fillLimit.capacity)
		}
	}
	if fake.router.classSendTimes[0] > before+2 { // of 180000 s asked for
		t.Errorf("work of %.1f s learned, it was %.3f s", fake.router.classSendTimes[0], before)
	}
	fake.check(t)
}

// With a slow origin the fills come late, and more of them at one cache than at another: its hits, which are in time,
// must not be turned away for that.
func TestLateFillsLeaveHitsRoom(t *testing.T) {
	fake := newFake(plainPermissions)
	c := &fake.router.endpoints[0]
	for i := range 60 {
		fake.router.SetTime(fake.router.now + 50*ms)
		came := fake.router.now - 900*ms
		v := &request{arrived: came, objective: came + 500*ms, deadline: came + 3*second}
		fill := attempt{cache: EndpointID(i % 3), source: 4, sent: came, mayFill: true, mayFetch: true}
		trace := Hit // at the others, in time
		if fill.cache == 0 {
			trace = [...]CacheStatus{Filled, JoinedFill}[i/3%2]
		} else {
			v.objective = fake.router.now + second
		}
		fake.router.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: trace, Elapsed: 900 * ms})
	}
	if c.attemptLimit.capacity < initialAttemptLimit || c.lateShare.Value > 0 {
		t.Errorf("limit %.1f of %.1f, %.2f of its own copies late", c.attemptLimit.capacity, initialAttemptLimit, c.lateShare.Value)
	}
}

// Under the id of a cache that is gone another begins with nothing of it: not its rest, nor the copies it held.
func TestAnotherUnderAnOldID(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	at := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 100 * ms})
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 50 * ms})
	c := &fake.router.endpoints[at]
	fake.router.eject(c, false)
	c.failures, c.lateShare.Value = 2, 1
	x := testEndpoints()[at]
	x.State = Removed
	fake.update(x)
	x.State, x.Replaced, x.NameHash = Up, true, 77
	fake.update(x)
	if c.ejections+c.failures > 0 || c.ejectedUntil > 0 || c.lateShare.Value > 0 || !c.listed || c.NameHash != 77 {
		t.Errorf("%+v", c)
	}
	fake.router.objects.entries.Each(func(o *objectStats) {
		if o.holder == at {
			t.Error("a copy is taken to lie at a cache that never saw it")
		}
	})
}

// Answers that go missing are no jam: where the others come in time, a time-out cuts no limit and is no overload. With a
// part of all answers lost, limits had shrunk to one or two trips each. Where good ends are late too, it is a jam.
func TestMissingAnswersAreNoJam(t *testing.T) {
	for _, late := range []bool{false, true} {
		fake := newFake(plainPermissions)
		c := &fake.router.endpoints[0]
		fake.router.fetchLimit.inUse, fake.router.endpoints[4].fillLimit.inUse = 16, 16 // in use, or they would shrink unused
		for i := range 300 {
			fake.router.SetTime(fake.router.now + 20*ms)
			came := fake.router.now - 400*ms
			v := &request{arrived: came, objective: came + second, deadline: came + 3*second}
			if late {
				v.objective = came + 300*ms
			}
			fill := attempt{cache: 0, source: 4, sent: came, mayFill: true, mayFetch: true}
			if i%4 == 3 {
				fake.router.observe(v, &fill, AttemptResult{Outcome: TimedOut, Elapsed: 3 * second})
			} else {
				fake.router.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 400 * ms})
			}
		}
		cut := fake.router.fetchLimit.capacity < initialFillLimit/2 && fake.router.endpoints[4].fillLimit.capacity < initialFillLimit/2
		if cut != late || fake.router.overloaded != late || c.ejections > 0 {
			t.Errorf("late %v: fetches %.1f, fills %.1f, overload %v", late, fake.router.fetchLimit.capacity, fake.router.endpoints[4].fillLimit.capacity, fake.router.overloaded)
		}
	}
}

// nullExecutor is a desk that takes results and keeps only the last visit.
type nullExecutor struct{ last RequestID }

func (s *nullExecutor) Accepted(v RequestID)         { s.last = v }
func (*nullExecutor) Forward(RequestID, ForwardPlan) {}
func (*nullExecutor) Reject(RequestID, Micros)       {}
func (*nullExecutor) Fail(RequestID)                 {}
func (*nullExecutor) Release(RequestID)              {}
func (*nullExecutor) SetTimer(Micros)                {}
func (*nullExecutor) WatchEndpoints()                {}
func (*nullExecutor) LocateCopies(RequestID)         {}
func (*nullExecutor) Log(string, ...Field)           {}

func (*nullExecutor) SuggestRefresh(RequestID, Micros, Micros) {}

// The ordinary path, a visit and its one trip, allocates nothing.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	fake, s := newFake(plainPermissions), &nullExecutor{}
	fake.router.executor = s
	a := videoRequest(1)
	if n := testing.AllocsPerRun(1000, func() {
		fake.router.now += 20 * ms
		fake.router.RequestArrived(a)
		fake.router.AttemptEnded(s.last, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}); n != 0 {
		t.Fatalf("%v allocations a visit", n)
	}
}

func BenchmarkOrdinaryVisit(b *testing.B) {
	fake, s := newFake(plainPermissions), &nullExecutor{}
	fake.router.executor = s
	a := videoRequest(1)
	b.ReportAllocs()
	for i := range b.N {
		a.Object = ObjectID(i%512) * 0x9e3779b97f4a7c15
		fake.router.now += 2 * ms
		fake.router.RequestArrived(a)
		fake.router.AttemptEnded(s.last, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}
}

// When more routers share what limits bound, each one's part shrinks at once, and with it what it sends a just-started cache; when
// fewer do, no limit jumps up.
func TestSharingShrinksPartsAtOnce(t *testing.T) {
	fake := newFake(plainPermissions)
	r := fake.router
	crew, fleet := r.FleetSize()
	cache, parent := r.zoneCaches[0], r.parents[0]
	trips, fills, fetch, link := r.endpoints[cache].attemptLimit.capacity, r.endpoints[parent].fillLimit.capacity, r.fetchLimit.capacity, r.linkLimit.capacity
	r.SetFleetSize(2*crew, 4*fleet)
	if r.endpoints[cache].attemptLimit.capacity != trips/2 || r.endpoints[parent].fillLimit.capacity != fills/4 || r.fetchLimit.capacity != fetch/4 || r.linkLimit.capacity != link/2 {
		t.Errorf("%v %v %v %v after %v %v %v %v", r.endpoints[cache].attemptLimit.capacity, r.endpoints[parent].fillLimit.capacity, r.fetchLimit.capacity, r.linkLimit.capacity, trips,
			fills, fetch, link)
	}
	if r.fetchLimit.sharers != 4*fleet || r.endpoints[cache].attemptLimit.sharers != attemptLimitSharers*2*crew {
		t.Errorf("shared by %d, %d", r.fetchLimit.sharers, r.endpoints[cache].attemptLimit.sharers)
	}
	r.SetFleetSize(crew, fleet)
	if r.fetchLimit.capacity != fetch/4 || r.endpoints[cache].attemptLimit.capacity != trips/2 {
		t.Errorf("%v %v: a limit jumped up", r.fetchLimit.capacity, r.endpoints[cache].attemptLimit.capacity)
	}
	if a, b := r.FleetSize(); a != crew || b != fleet {
		t.Errorf("%d %d", a, b)
	}
}

// A keyed request that may have run is given back as one that may be tried again only while its repeat is sure to be dropped, however late
// its client comes back; a request that must not run twice never is.
func TestRetryableOnlyWhileRepeatsAreDropped(t *testing.T) {
	const keyed, oneShot = 3, 2
	for _, c := range []struct {
		name     string
		use      ClassID
		longest  Micros // until a client comes back
		runs     Micros // of the attempt, which fails
		deferred bool
	}{
		{"within the window", keyed, 0, second, true},
		{"the client may come back too late", keyed, second, second, false},
		{"the window is over", keyed, 0, 2 * second, false},
		{"never", oneShot, 0, 10 * ms, false},
	} {
		leave := plainPermissions
		leave.MaxAttempts, leave.MaxRetryAfter = 1, c.longest
		fake := newFake(leave)
		v := fake.arrive(Request{Class: c.use, Object: 5, Remaining: 5 * second, Write: true, Tenant: NoTenant})
		fake.router.SetTime(fake.router.now + c.runs)
		fake.end(0, AttemptResult{Outcome: ConnectionLost, Elapsed: c.runs})
		if fake.answers[v] != 1 || (fake.rejected == 1) != c.deferred {
			t.Errorf("%s: %d answers, retryable %v", c.name, fake.answers[v], fake.rejected == 1)
		}
	}
}
