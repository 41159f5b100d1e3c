package routing

import (
	"testing"

	"threadrun/internal/hash"
)

// While an object's first cache is in slow start, a sibling that holds a copy is the source; what it lacks comes
// from a parent. A draining, slow-starting or purged one is never named, and where none is known, others are asked.
func TestSiblingFills(t *testing.T) {
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

// A parent that lets an attempt pass its objective without a word is asked last until a word comes from it.
func TestSilentParentIsAskedLast(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	silent := fake.outstanding[0].Source
	if fake.endpoints[silent].Tier != Parent {
		t.Fatalf("filled from %v", silent)
	}
	ask := func() EndpointID {
		fake.arrive(videoRequest(1))
		s := fake.outstanding[len(fake.outstanding)-1]
		return s.Source
	}
	if got := ask(); got != silent {
		t.Fatalf("%v in time, %v wanted", got, silent)
	}
	fake.advance(1300 * ms)
	if got := ask(); got == silent || fake.endpoints[got].Tier != Parent {
		t.Fatalf("%v after its time had passed", got)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1300 * ms})
	fake.router.endpoints[silent].fillLatency.Value = 0 // that it was slow is another matter
	if got := ask(); got != silent {
		t.Fatalf("%v after it had spoken", got)
	}
}

// With a full link a request is sent to look for a copy, and then waits for a fill.
func TestFullLinkNamesNoSource(t *testing.T) {
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

// With a full fetch limit a parent is asked for what it holds, and the request then waits for a fetch.
func TestFullFetchLimitAsksOnlyForCachedCopies(t *testing.T) {
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
