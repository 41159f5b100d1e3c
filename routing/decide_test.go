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

// drawnCases are use cases of any effect, reach, window, fresh time and grace.
func drawnCases(rt *rapid.T) []Class {
	span := func(name string, most int) Micros { return Micros(rapid.IntRange(0, most).Draw(rt, name)) }
	cases := append([]Class(nil), testCases...)
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
		leave := plainLeave
		leave.Bypass = rapid.Bool().Draw(rt, "direct")
		leave.SiblingFills = rapid.Bool().Draw(rt, "siblings")
		leave.MaxAttempts = rapid.IntRange(1, 6).Draw(rt, "trips")
		leave.JoinFills, leave.FullCacheStatus = rapid.Bool().Draw(rt, "joins"), rapid.Bool().Draw(rt, "tells all")
		leave.MaxRetryAfter = Micros(rapid.IntRange(0, 1_500_000).Draw(rt, "longest comeback"))
		d := bench(leave)
		d.cases = drawnCases(rt)
		d.r.cases = d.cases
		d.r.purge.Grace = Micros(rapid.IntRange(100_000, 2_000_000).Draw(rt, "purge grace"))
		sized := rapid.Bool().Draw(rt, "sizes told")
		for i := range 4 { // cells of two caches each, and a weight
			x := fleet()[i]
			x.Cell, x.Weight = CellID(i/2), rapid.Float64Range(0, 9).Draw(rt, "weight")
			d.list(x)
		}
		d.r.EnableSiblingLookup(rapid.Bool().Draw(rt, "asks"))
		var visits []RequestID
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			d.pass(Micros(rapid.IntRange(1, 400_000).Draw(rt, "pause")))
			switch step := rapid.IntRange(0, 12).Draw(rt, "step"); {
			case step == 12:
				o := hash.Combine(uint64(video(rapid.IntRange(0, 6).Draw(rt, "held")).Object), 0)
				d.r.CopyLocated(o, EndpointID(rapid.IntRange(0, 8).Draw(rt, "at")), d.r.now-Micros(rapid.IntRange(0, 9_000_000).Draw(rt, "made")))
			case step <= 3:
				a := video(rapid.IntRange(0, 6).Draw(rt, "object"))
				a.Class = ClassID(rapid.IntRange(0, 3).Draw(rt, "use"))
				a.Remaining = Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "left"))
				if !sized {
					a.SizeKB = 0
				}
				visits = append(visits, d.arrive(a))
			case step <= 6 && len(d.out) > 0:
				i := rapid.IntRange(0, len(d.out)-1).Draw(rt, "trip")
				e := Outcome(rapid.IntRange(0, int(CacheMiss)).Draw(rt, "ending"))
				d.end(i, AttemptResult{Outcome: e, CacheStatus: CacheStatus(rapid.IntRange(0, int(OriginFailed)).Draw(rt, "trace"))})
			case step == 7:
				x := fleet()[rapid.IntRange(0, 6).Draw(rt, "cache")]
				x.State = EndpointState(rapid.IntRange(0, 2).Draw(rt, "standing"))
				x.Started = Micros(rapid.SampledFrom([]int{0, int(d.r.now)}).Draw(rt, "started"))
				d.list(x)
			case step == 10:
				a := video(rapid.IntRange(0, 6).Draw(rt, "renewed"))
				a.Class, a.Background = ClassID(rapid.IntRange(0, 3).Draw(rt, "use")), true
				a.Remaining, a.Gap = Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "left")), second
				before := len(d.out)
				v := d.arrive(a)
				visits = append(visits, v)
				if len(d.out) == before && d.answers[v] == 0 {
					rt.Fatal("background work waits")
				}
			case step == 11:
				id := EndpointID(rapid.IntRange(0, 7).Draw(rt, "probed"))
				if d.r.MayHealthCheck(id) && d.told[id].State != Up {
					rt.Fatal("a draining cache may be probed")
				}
				d.r.HealthChecked(id, rapid.Bool().Draw(rt, "there"), Micros(rapid.IntRange(0, 3_000_000).Draw(rt, "ago")))
			case step == 8:
				d.r.Purged(ObjectID(0x9e3779b97f4a7c15), 0, rapid.Bool().Draw(rt, "whole"), 50*ms)
			case len(visits) > 0:
				v := rapid.SampledFrom(visits).Draw(rt, "leaver")
				if d.answers[v] == 0 {
					d.left[v] = true
					d.answers[v]++
					d.r.ClientLeft(v)
				}
			}
			d.check(rt)
		}
		d.pass(4 * second)
		d.check(rt)
		for _, v := range visits {
			if d.answers[v] != 1 {
				rt.Fatalf("visit has %d final answers", d.answers[v])
			}
		}
		if d.r.visits.Len() != 0 || d.released != len(visits) || d.r.link.inUse != 0 {
			rt.Fatalf("%d visits stay behind, link %d", d.r.visits.Len(), d.r.link.inUse)
		}
	})
}

// While an object's home cache is just started, another cache of the branch that holds a copy is its source: one that this router has seen, or
// that others name. It takes no room on the link; what it lacks comes from a parent; a drained, cold or purged one is never named;
// and where nobody is known, others are asked.
func TestCopiesBeside(t *testing.T) {
	page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
	key := hash.Combine(77, 0)
	setup := func(on bool) (d *desk, home, other EndpointID) {
		d = bench(plainLeave)
		d.r.EnableSiblingLookup(on)
		d.arrive(page)
		home = d.out[0].Cache
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		x := d.told[home]
		x.State = Draining
		d.list(x)
		d.pass(second)
		d.arrive(page)
		other = d.out[0].Cache
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		x.State, x.Started = Up, d.r.now
		d.list(x)
		d.pass(2 * second)
		d.r.PlanBackground(page) // its cold budget begins with the first look
		d.pass(second)
		d.sought = nil
		return d, home, other
	}
	d, home, other := setup(true)
	d.arrive(page)
	if e := d.out[0]; e.Cache != home || e.Source != other || !e.OnlyIfCached || d.r.link.inUse != 0 || d.r.fetch.inUse != 0 {
		t.Fatalf("%+v, home %d, another %d, link %d", e, home, other, d.r.link.inUse)
	}
	d.end(0, AttemptResult{Outcome: CacheMiss})
	if e := d.out[0]; e.Cache != home || d.told[e.Source].Tier != Parent || e.OnlyIfCached || len(d.sought) != 0 {
		t.Fatalf("%+v, others asked %d times", e, len(d.sought))
	}
	for what, spoil := range map[string]func(d *desk, other EndpointID){
		"off":   func(d *desk, _ EndpointID) { d.r.EnableSiblingLookup(false) },
		"drain": func(d *desk, other EndpointID) { x := d.told[other]; x.State = Draining; d.list(x) },
		"cold":  func(d *desk, other EndpointID) { x := d.told[other]; x.Started = d.r.now; d.list(x) },
		"purge": func(d *desk, _ EndpointID) { d.r.Purged(77, 0, false, 0) },
		"old":   func(d *desk, _ EndpointID) { d.pass(8 * second) },
	} {
		d, home, other := setup(true)
		spoil(d, other)
		d.arrive(page)
		if e := d.out[0]; e.Cache != home && what != "old" || e.Source == other {
			t.Errorf("%s: %+v, home %d, another %d", what, e, home, other)
		}
	}
	d, _, _ = setup(true)
	d.r.ledger.objects.Peek(key).kept = NoEndpoint // seen by others alone
	d.arrive(page)
	if e := d.out[0]; d.told[e.Source].Tier != Parent || len(d.sought) != 1 {
		t.Fatalf("%+v, others asked %d times", e, len(d.sought))
	}
	d.end(0, AttemptResult{Outcome: Failed, CacheStatus: SourceMiss})
	d, home, other = setup(true)
	d.r.ledger.objects.Peek(key).kept = NoEndpoint
	d.r.CopyLocated(key, 5, d.r.now-second) // no cache of the branch
	d.r.CopyLocated(key, other, d.r.now-2*second)
	d.arrive(page)
	if e := d.out[0]; e.Cache != home || e.Source != other {
		t.Errorf("%+v", e)
	}
	d, home, other = setup(true)
	d.r.ledger.objects.Peek(key).kept = NoEndpoint
	d.r.link.most, d.r.link.inUse = 1, 1 // no fill is free: a visit only looks, waits, and goes on at the first word of a copy
	d.arrive(page)
	if e := d.out[0]; e.Source != e.Cache || len(d.sought) != 0 {
		t.Fatalf("%+v, others asked %d times", e, len(d.sought))
	}
	d.end(0, AttemptResult{Outcome: CacheMiss})
	if len(d.out) > 0 || len(d.sought) != 1 {
		t.Fatalf("%d sent, others asked %d times", len(d.out), len(d.sought))
	}
	d.r.CopyLocated(key, other, d.r.now-2*second)
	if len(d.out) != 1 || d.out[0].Cache != home || d.out[0].Source != other {
		t.Fatalf("%+v", d.out)
	}
	d, _, _ = setup(true)
	for id := range EndpointID(4) { // the branch has no cache left: visits go past it, and nobody is asked
		x := d.told[id]
		x.State = Removed
		d.list(x)
	}
	d.arrive(page)
	if len(d.out) != 1 || d.told[d.out[0].Cache].Tier == Edge || len(d.sought) > 0 {
		t.Errorf("%+v, others asked %d times", d.out, len(d.sought))
	}
	d.r.CopyLocated(hash.Combine(78, 0), other, d.r.now) // an object that nobody asked for
	if d.r.ledger.objects.Peek(hash.Combine(78, 0)) != nil {
		t.Error("entered")
	}
}

// Background work goes where a visit would, for a copy that must be fetched anew, and is no visit to the design.
func TestBehind(t *testing.T) {
	page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
	behind := page
	behind.Background, behind.Gap = true, 300*ms
	d := bench(plainLeave)
	d.arrive(page)
	home := d.out[0].Cache
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	gap := d.r.ledger.objects.Peek(hash.Combine(uint64(page.Object), 0)).gap
	d.pass(second)
	d.arrive(behind)
	if e := d.out[0].ForwardPlan; e.Cache != home || e.Source == e.Cache || e.StaleWhileRevalidate || e.MaxAge > d.cases[1].FreshnessLifetime/2 {
		t.Errorf("%+v, home %d", e, home)
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if o := d.r.ledger.objects.Peek(hash.Combine(uint64(page.Object), 0)); o.gap != gap || d.r.ledger.share != 0 {
		t.Errorf("it counts as a visit: gap %v after %v, share missing %v", o.gap, gap, d.r.ledger.share)
	}
	// It makes way: for want of room, of ease, of a warm cache, and it is never tried again.
	for name, spoil := range map[string]func(){
		"half of the home cache's limit in use": func() { d.r.caches[home].trips.inUse = int(d.r.caches[home].trips.most / 2) },
		"half of the link's":                    func() { d.r.link.inUse = int(d.r.link.most / 2) },
		"overload":                              func() { d.r.heavy = true },
		"late visits":                           func() { d.r.slow.Value = goneLate },
		"a limit cut":                           func() { d.r.cut = d.r.now },
		"a visit that waits":                    func() { d.r.waiting = append(d.r.waiting, 1<<40) },
		"cold caches": func() {
			for i := range 4 {
				x := fleet()[i]
				x.Started = d.r.now
				d.list(x)
			}
		},
		"a one-shot use case": func() { behind.Class = 2 },
	} {
		d, behind.Class = bench(plainLeave), 1
		spoil()
		v := d.arrive(behind)
		if len(d.out) > 0 || d.answers[v] != 1 {
			t.Errorf("with %s it goes, or waits", name)
		}
	}
	d, behind.Class = bench(plainLeave), 1
	v := d.arrive(behind)
	d.end(0, AttemptResult{Outcome: CacheMiss})
	if len(d.out) > 0 || d.answers[v] != 1 || d.deferred > 0 {
		t.Error("it is tried again, or told as if it had never run")
	}
	d.check(t)
}

// A copy that the branch is to be expected to ask for is told as worth renewing; one asked for seldom is not.
func TestAgeingIsTold(t *testing.T) {
	for gap, want := range map[Micros]bool{300 * ms: true, 20 * second: false} {
		d := bench(plainLeave)
		d.r.EnableRefreshAhead(true)
		page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
		for range 4 {
			d.arrive(page)
			made := d.r.now - 2*second
			d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, GeneratedAt: made})
			if n := len(d.ageing); n > 0 && d.ageing[n-1].until != made+d.cases[1].FreshnessLifetime {
				t.Errorf("%+v", d.ageing[n-1])
			}
			d.pass(gap)
		}
		if got := len(d.ageing) > 0; got != want {
			t.Errorf("gap %v ms: told %v", gap.Millis(), got)
		}
	}
}

// A probe ends a rest, or begins one; what is older than what is known says nothing.
func TestProbes(t *testing.T) {
	d := bench(plainLeave)
	c := &d.r.caches[1]
	d.r.strike(c, false)
	d.r.HealthChecked(1, true, 10*ms) // from before the rest
	if c.restUntil <= d.r.now {
		t.Error("an older probe ends the rest")
	}
	d.pass(50 * ms)
	if d.r.HealthChecked(1, true, 10*ms); c.restUntil > d.r.now || c.strikes == 0 {
		t.Error("the rest goes on, or all is forgotten")
	}
	d.pass(5 * second)
	c = &d.r.caches[2]
	c.lastGood = d.r.now - 20*ms
	if d.r.HealthChecked(2, false, 30*ms); c.restUntil > d.r.now {
		t.Error("a probe from before a good answer counts")
	}
	if d.r.HealthChecked(2, false, 3*second); c.restUntil > d.r.now {
		t.Error("an old probe counts")
	}
	if d.r.HealthChecked(2, false, 10*ms); c.restUntil <= d.r.now {
		t.Error("a cache that is not there does not rest")
	}
}

// A cache that comes back from the dead is cold before the list tells of its start, and stays so when it is listed again.
func TestBackFromTheDeadIsCold(t *testing.T) {
	d := bench(plainLeave)
	d.r.strike(&d.r.caches[1], false)
	d.pass(second)
	d.r.strike(&d.r.caches[1], false)
	d.pass(second)
	d.r.answered(&d.r.caches[1], &visit{})
	d.list(fleet()[1])
	if !d.r.isCold(&d.r.caches[1]) || d.r.isCold(&d.r.caches[2]) {
		t.Fatal("not taken for just started")
	}
}

// The closed form stands against its guards: rate 0, negative gain, no gap.
func TestTimer(t *testing.T) {
	want := 10 * (math.Sqrt(1+2/(costAge*0.125*10)) - 1)
	if got := timer(10, 0.125, 0); math.Abs(got-want) > 1e-9 {
		t.Fatalf("timer %v, want %v", got, want)
	}
	if timer(10, 0.125, 0.2) != 0 || !math.IsInf(timer(10, 0, 0), 1) || !math.IsInf(timer(0, 1, 0), 1) {
		t.Fatal("guards of the closed form")
	}
}

// Shorter gaps rank higher, a newcomer gets the middle rank, and a zero timer passes through unkept.
func TestRanksFollowGaps(t *testing.T) {
	d := bench(plainLeave)
	l := &d.r.ledger
	l.typical = math.Log(5)
	for gap, want := range map[float64]int{0: 2, 1: 3, 60: 2, 200: 1} {
		if rank, _ := l.judge(&object{gap: gap}, 0, 0); rank != want {
			t.Errorf("gap %v ranks %d, want %d", gap, rank, want)
		}
	}
	l.alpha = 1.0 / 60
	if rank, _ := l.judge(&object{gap: 61}, 0, 0); rank != 0 {
		t.Errorf("a zero timer is kept at rank %d", rank)
	}
}

// Copies missing within their timer drive alpha up; without any it is zero.
func TestAlphaFollowsMissShare(t *testing.T) {
	l := &ledger{largest: 40}
	for range 2000 {
		l.met(true)
	}
	if l.alpha < 0.2 {
		t.Fatalf("alpha %v", l.alpha)
	}
	for range 2000 {
		l.met(false)
	}
	if l.alpha != 0 {
		t.Fatalf("alpha %v", l.alpha)
	}
}

// After a purge the accepted age is positive and counts from the purge, not from its notice.
func TestPurgedCopiesAreNotAccepted(t *testing.T) {
	d := bench(plainLeave)
	d.r.Purged(video(3).Object, 0, false, 200*ms)
	d.r.SetTime(d.r.now + 300*ms)
	d.arrive(video(3))
	if got := d.out[0].MaxAge; got <= 0 || got > 500*ms {
		t.Fatalf("oldest %v", got)
	}
}

// A branch whose caches are crowded keeps off the parents: going straight there only moves the jam.
func TestCrowdedBranchDoesNotGoStraight(t *testing.T) {
	d := bench(plainLeave)
	for i := range 500 {
		d.arrive(video(i))
	}
	for _, s := range d.out {
		if d.told[s.Cache].Tier != Edge {
			t.Fatal("sent straight past crowded caches")
		}
	}
	if len(d.out) == 500 || d.deferred > 0 {
		t.Fatalf("%d sent, %d deferred: no limit was met, or nothing waited", len(d.out), d.deferred)
	}
	if d.pass(second); d.deferred == 0 {
		t.Fatal("what waited too long is not deferred")
	}
	d.check(t)
}

// A full link leaves a visit what its cache holds: it is sent to look, and no fill is named.
func TestFullLinkOnlyLooks(t *testing.T) {
	d := bench(plainLeave)
	d.r.link.most = 1
	d.arrive(video(1))
	d.arrive(video(2))
	if a, b := d.out[0].ForwardPlan, d.out[1].ForwardPlan; a.Source == a.Cache || b.Source != b.Cache {
		t.Fatalf("%+v, then %+v", a, b)
	}
	d.end(1, AttemptResult{Outcome: CacheMiss})
	if len(d.out) != 1 || d.deferred != 0 {
		t.Fatal("not waiting for a fill")
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(d.out) != 1 || d.out[0].Source == d.out[0].Cache {
		t.Fatal("the fill that came free was not given out")
	}
}

// A crowded origin leaves a visit what the parent holds: the fill names it, but no fetch.
func TestCrowdedOriginAsksForWhatIsHeld(t *testing.T) {
	d := bench(plainLeave)
	d.r.fetch.most = 1
	d.arrive(video(1))
	d.arrive(video(2))
	if a, b := d.out[0].ForwardPlan, d.out[1].ForwardPlan; a.OnlyIfCached || !b.OnlyIfCached || d.told[b.Source].Tier != Parent {
		t.Fatalf("%+v, then %+v", a, b)
	}
	d.end(1, AttemptResult{Outcome: CacheMiss})
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(d.out) != 1 || d.out[0].OnlyIfCached {
		t.Fatal("the fetch that came free was not given out")
	}
}

// A hit that leaves little of its expected time cuts its cache's limit, though it is in time; a quick one does not.
func TestHitThatLeavesLittleTimeCutsTheLimit(t *testing.T) {
	for took, cut := range map[Micros]bool{100 * ms: false, 600 * ms: true} {
		d := bench(plainLeave)
		d.arrive(video(1))
		c := &d.r.caches[d.out[0].Cache]
		before := c.trips.most
		d.r.SetTime(d.r.now + took)
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: took})
		if (c.trips.most < before*0.9) != cut {
			t.Errorf("a hit of %v leaves the limit at %v", took, c.trips.most)
		}
	}
}

// A tenant's visits within its share are told from those beyond it.
func TestTenantOverItsShare(t *testing.T) {
	d := bench(plainLeave)
	d.r.tenants, d.r.quotas = []Tenant{{QuotaPerSecond: 4, OverQuotaWeight: 0.1}}, make([]tokenbucket.Bucket, 1)
	a := video(1)
	a.Tenant = 0
	d.arrive(a)
	d.pass(second)
	for n, over := range []bool{false, false, true} {
		if got := d.r.visits.Get(d.arrive(a)).over; got != over {
			t.Errorf("visit %d: over its share %v", n, got)
		}
	}
}

// A just-started cache and a just-started parent are sent a part of what the rule allows over any window.
func TestColdBudget(t *testing.T) {
	for _, id := range []EndpointID{1, 4} {
		d := bench(plainLeave)
		d.r.borne = [2]float64{2, 2}
		x := fleet()[id]
		x.Started = d.r.now
		d.list(x)
		work := 0.0
		for i := range 1500 {
			d.r.SetTime(d.r.now + ms)
			d.arrive(video(i))
			if s := d.out[len(d.out)-1]; s.Cache == id || s.Source == id {
				work += 0.1
			}
			for len(d.out) > 0 {
				d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
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
		d := bench(plainLeave)
		d.r.seed, d.r.branch.FleetRouters, d.r.borne = uint32(i), routers, [2]float64{bears, bears}
		d.r.strike(&d.r.caches[4], true)
		d.pass(restFirst)
		for k := range 15 {
			d.pass(100 * ms)
			d.arrive(video(k))
			if s := d.out[len(d.out)-1]; s.Source == 4 {
				work += 0.1
			}
			d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		}
	}
	if most := 2 * 0.3 * bears * routers * 1.5; work > most || work == 0 {
		t.Fatalf("%.1f of work to a parent that may have %.1f", work, most)
	}
}

// A limit below one is a pause after each trip; it falls no lower than the router's part of one.
func TestLimitBelowOneGoesByTurns(t *testing.T) {
	d := bench(plainLeave)
	l := &limit{most: 0.5, of: 4}
	d.r.adjust(l, &trip{sent: d.r.now - 100*ms}, false)
	if pause := l.after - d.r.now; l.free(d.r.now) || pause < 100*ms || pause > 300*ms || !l.free(l.after) {
		t.Fatalf("limit %.2f pauses for %d", l.most, pause)
	}
	for range 30 {
		d.r.now += second
		d.r.adjust(l, &trip{sent: d.r.now}, false)
	}
	if l.most != 0.25 {
		t.Fatalf("limit %.2f", l.most)
	}
}

// A refusal at a full cache's door says nothing of the source; one that took a way to the source does.
func TestRefusalsAtTheDoorAreNotTheSources(t *testing.T) {
	for took, rests := range map[Micros]bool{ms: false, 20 * ms: true} {
		d := bench(plainLeave)
		for i := range 12 {
			d.r.door = ms
			d.arrive(video(i))
			for len(d.out) > 0 {
				d.r.SetTime(d.r.now + took)
				d.end(0, AttemptResult{Outcome: Rejected, Elapsed: took})
			}
		}
		if got := d.r.caches[4].strikes+d.r.caches[5].strikes > 0; got != rests {
			t.Errorf("refused after %d: parents rest %v", took, got)
		}
	}
}

// A fetch that failed at the origin cuts the limit on fetches; its parent stays in use.
func TestOriginFailureCutsFetches(t *testing.T) {
	d := bench(plainLeave)
	before := d.r.fetch.most
	for i := range 4 {
		d.arrive(video(i))
		d.end(0, AttemptResult{Outcome: Rejected, CacheStatus: OriginFailed, Elapsed: 30 * ms})
		d.out = d.out[:0]
	}
	if p := d.r.caches[4].strikes + d.r.caches[5].strikes; d.r.fetch.most >= before || p > 0 {
		t.Fatalf("fetches %.1f, strikes %d", d.r.fetch.most, p)
	}
}

// A late fill at a cache that is late more often than others cuts that cache's limit, not the link's.
func TestSlowCacheIsNotBlamedOnItsSource(t *testing.T) {
	for _, slow := range []bool{false, true} {
		d := bench(plainLeave)
		d.arrive(video(1))
		s := d.out[0]
		if slow {
			d.r.caches[s.Cache].late.Value = 0.9
		}
		cache, fetch := d.r.caches[s.Cache].trips.most, d.r.fetch.most
		d.pass(1200 * ms)
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1200 * ms})
		if d.r.caches[s.Cache].trips.most < cache != slow || d.r.fetch.most < fetch == slow {
			t.Errorf("slow %v: cache %.1f, fetches %.1f", slow, d.r.caches[s.Cache].trips.most, d.r.fetch.most)
		}
	}
}

// A parent that lets a trip pass its expected time without a word is asked last, long before the trip's limit; a word from it ends
// that. The other is asked meanwhile.
func TestMuteParentIsAskedLast(t *testing.T) {
	d := bench(plainLeave)
	d.arrive(video(1))
	mute := d.out[0].Source
	if d.told[mute].Tier != Parent {
		t.Fatalf("filled from %v", mute)
	}
	ask := func() EndpointID {
		d.arrive(video(1))
		s := d.out[len(d.out)-1]
		return s.Source
	}
	if got := ask(); got != mute {
		t.Fatalf("%v in time, %v wanted", got, mute)
	}
	d.pass(1300 * ms)
	if got := ask(); got == mute || d.told[got].Tier != Parent {
		t.Fatalf("%v after its time had passed", got)
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1300 * ms})
	d.r.caches[mute].quick.Value = 0 // that it was slow is another matter
	if got := ask(); got != mute {
		t.Fatalf("%v after it had spoken", got)
	}
}

// A small cache's cold budget is small: it goes by the weight that the list tells.
func TestColdBudgetGoesByWeight(t *testing.T) {
	d := bench(plainLeave)
	d.r.borne[Edge] = 2
	var spent [2]float64
	for i, w := range []float64{2, 6} {
		x := fleet()[1]
		x.Started, x.Weight = d.r.now, w
		d.list(x)
		c := &d.r.caches[1]
		v := &visit{}
		d.r.work[0] = 0.01
		for range 1500 {
			d.r.SetTime(d.r.now + ms)
			if d.r.affords(c, v) {
				c.bucket.Take(0.01)
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
		d := bench(plainLeave)
		c, out := &d.r.caches[1], d.r.now
		for range 9 { // on one connection, which ends
			d.r.SetTime(d.r.now + 1)
			d.r.observe(&visit{}, &trip{cache: 1, source: 1, sent: out}, AttemptResult{Outcome: ConnectionLost})
		}
		for range n - 1 {
			d.r.observe(&visit{}, &trip{cache: 1, source: 1, sent: d.r.now}, AttemptResult{Outcome: ConnectionLost})
		}
		if r := c.restUntil > d.r.now; r != rests || d.r.isCold(c) {
			t.Errorf("after %d: rests %v", n, r)
		}
	}
}

// What bad clients can bring about is no fault of a cache or parent, nor learned as it stands: an error at once, whatever a
// moment's load adds to it, and sizes beyond belief, which count for little. A parent that rests for it sends its part of the fills elsewhere.
func TestBadAsksBlameNobody(t *testing.T) {
	d := bench(plainLeave)
	d.arrive(video(1))
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: ms / 10})
	before := d.r.work[0]
	for i := range 20 {
		a := video(100 + i)
		a.SizeKB = 9e8
		d.arrive(a)
		for len(d.out) > 0 {
			d.pass(2 * ms)
			d.end(0, AttemptResult{Outcome: Failed, Elapsed: 2 * ms})
		}
	}
	for i := range d.r.caches {
		if c := &d.r.caches[i]; c.strikes > 0 || c.fills.most < fillsFirst && c.Tier == Parent {
			t.Errorf("cache %d: %d strikes, %.1f fills", i, c.strikes, c.fills.most)
		}
	}
	if d.r.work[0] > before+2 { // of 180000 s asked for
		t.Errorf("work of %.1f s learned, it was %.3f s", d.r.work[0], before)
	}
	d.check(t)
}

// With a slow origin the fills come late, and more of them at one cache than at another: its hits, which are in time,
// must not be turned away for that.
func TestLateFillsLeaveHitsRoom(t *testing.T) {
	d := bench(plainLeave)
	c := &d.r.caches[0]
	for i := range 60 {
		d.r.SetTime(d.r.now + 50*ms)
		came := d.r.now - 900*ms
		v := &visit{came: came, aim: came + 500*ms, ends: came + 3*second}
		fill := trip{cache: EndpointID(i % 3), source: 4, sent: came, mayFill: true, fetches: true}
		trace := Hit // at the others, in time
		if fill.cache == 0 {
			trace = [...]CacheStatus{Filled, JoinedFill}[i/3%2]
		} else {
			v.aim = d.r.now + second
		}
		d.r.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: trace, Elapsed: 900 * ms})
	}
	if c.trips.most < tripsFirst || c.late.Value > 0 {
		t.Errorf("limit %.1f of %.1f, %.2f of its own copies late", c.trips.most, tripsFirst, c.late.Value)
	}
}

// Under the id of a cache that is gone another begins with nothing of it: not its rest, nor the copies it held.
func TestAnotherUnderAnOldID(t *testing.T) {
	d := bench(plainLeave)
	d.arrive(video(1))
	at := d.out[0].Cache
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 100 * ms})
	d.arrive(video(1))
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 50 * ms})
	c := &d.r.caches[at]
	d.r.strike(c, false)
	c.fails, c.late.Value = 2, 1
	x := fleet()[at]
	x.State = Removed
	d.list(x)
	x.State, x.Replaced, x.NameHash = Up, true, 77
	d.list(x)
	if c.strikes+c.fails > 0 || c.restUntil > 0 || c.late.Value > 0 || !c.listed || c.NameHash != 77 {
		t.Errorf("%+v", c)
	}
	d.r.ledger.objects.Each(func(o *object) {
		if o.kept == at {
			t.Error("a copy is taken to lie at a cache that never saw it")
		}
	})
}

// Answers that go missing are no jam: where the others come in time, a time-out cuts no limit and is no overload. With a
// part of all answers lost, limits had shrunk to one or two trips each. Where good ends are late too, it is a jam.
func TestMissingAnswersAreNoJam(t *testing.T) {
	for _, late := range []bool{false, true} {
		d := bench(plainLeave)
		c := &d.r.caches[0]
		d.r.fetch.inUse, d.r.caches[4].fills.inUse = 16, 16 // in use, or they would shrink unused
		for i := range 300 {
			d.r.SetTime(d.r.now + 20*ms)
			came := d.r.now - 400*ms
			v := &visit{came: came, aim: came + second, ends: came + 3*second}
			if late {
				v.aim = came + 300*ms
			}
			fill := trip{cache: 0, source: 4, sent: came, mayFill: true, fetches: true}
			if i%4 == 3 {
				d.r.observe(v, &fill, AttemptResult{Outcome: TimedOut, Elapsed: 3 * second})
			} else {
				d.r.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 400 * ms})
			}
		}
		cut := d.r.fetch.most < fillsFirst/2 && d.r.caches[4].fills.most < fillsFirst/2
		if cut != late || d.r.heavy != late || c.strikes > 0 {
			t.Errorf("late %v: fetches %.1f, fills %.1f, overload %v", late, d.r.fetch.most, d.r.caches[4].fills.most, d.r.heavy)
		}
	}
}

// still is a desk that takes results and keeps only the last visit.
type still struct{ v RequestID }

func (s *still) Accepted(v RequestID)          { s.v = v }
func (*still) Forward(RequestID, ForwardPlan)  {}
func (*still) Reject(RequestID, Micros)        {}
func (*still) Fail(RequestID)                  {}
func (*still) Cancel(RequestID, AttemptNumber) {}
func (*still) Release(RequestID)               {}
func (*still) SetTimer(Micros)                 {}
func (*still) WatchEndpoints()                 {}
func (*still) LocateCopies(RequestID)          {}
func (*still) Log(string)                      {}

func (*still) SuggestRefresh(RequestID, Micros, Micros) {}

// The ordinary path, a visit and its one trip, allocates nothing.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	d, s := bench(plainLeave), &still{}
	d.r.desk = s
	a := video(1)
	if n := testing.AllocsPerRun(1000, func() {
		d.r.now += 20 * ms
		d.r.RequestArrived(a)
		d.r.AttemptEnded(s.v, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}); n != 0 {
		t.Fatalf("%v allocations a visit", n)
	}
}

func BenchmarkOrdinaryVisit(b *testing.B) {
	d, s := bench(plainLeave), &still{}
	d.r.desk = s
	a := video(1)
	b.ReportAllocs()
	for i := range b.N {
		a.Object = ObjectID(i%512) * 0x9e3779b97f4a7c15
		d.r.now += 2 * ms
		d.r.RequestArrived(a)
		d.r.AttemptEnded(s.v, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}
}

// When more routers share what limits bound, each one's part shrinks at once, and with it what it sends a just-started cache; when
// fewer do, no limit jumps up.
func TestSharingShrinksPartsAtOnce(t *testing.T) {
	d := bench(plainLeave)
	r := d.r
	crew, fleet := r.FleetSize()
	cache, parent := r.edges[0], r.parents[0]
	trips, fills, fetch, link := r.caches[cache].trips.most, r.caches[parent].fills.most, r.fetch.most, r.link.most
	r.SetFleetSize(2*crew, 4*fleet)
	if r.caches[cache].trips.most != trips/2 || r.caches[parent].fills.most != fills/4 || r.fetch.most != fetch/4 || r.link.most != link/2 {
		t.Errorf("%v %v %v %v after %v %v %v %v", r.caches[cache].trips.most, r.caches[parent].fills.most, r.fetch.most, r.link.most, trips,
			fills, fetch, link)
	}
	if r.fetch.of != 4*fleet || r.caches[cache].trips.of != tripsSlow*2*crew {
		t.Errorf("shared by %d, %d", r.fetch.of, r.caches[cache].trips.of)
	}
	r.SetFleetSize(crew, fleet)
	if r.fetch.most != fetch/4 || r.caches[cache].trips.most != trips/2 {
		t.Errorf("%v %v: a limit jumped up", r.fetch.most, r.caches[cache].trips.most)
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
		leave := plainLeave
		leave.MaxAttempts, leave.MaxRetryAfter = 1, c.longest
		d := bench(leave)
		v := d.arrive(Request{Class: c.use, Object: 5, Remaining: 5 * second, Write: true, Tenant: NoTenant})
		d.r.SetTime(d.r.now + c.runs)
		d.end(0, AttemptResult{Outcome: ConnectionLost, Elapsed: c.runs})
		if d.answers[v] != 1 || (d.deferred == 1) != c.deferred {
			t.Errorf("%s: %d answers, retryable %v", c.name, d.answers[v], d.deferred == 1)
		}
	}
}
