package routing

import (
	"testing"

	"threadrun/internal/hash"
)

// siblingFixture is a zone in which the first cache for pageRequest's object has just restarted and is in slow start,
// while a sibling holds a copy.
type siblingFixture struct {
	*fakeExecutor
	first, sibling EndpointID // the cache that the object hashes to, and the next one, which holds a copy
}

func newSiblingFixture() *siblingFixture {
	f := &siblingFixture{fakeExecutor: newFakeExecutor(plainPermissions)}
	f.router.EnableSiblingLookup(true)
	f.arrive(pageRequest)
	f.first = f.outstanding[0].Cache
	f.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	f.setState(f.first, Draining)
	f.advance(second)
	f.arrive(pageRequest)
	f.sibling = f.outstanding[0].Cache
	f.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	f.setState(f.first, Up)
	f.restart(f.first)
	f.advance(2 * second)
	f.router.PlanBackground(pageRequest) // initializes the first cache's slow-start budget
	f.advance(second)
	f.lookups = nil
	return f
}

func (f *siblingFixture) setState(id EndpointID, state EndpointState) {
	entry := f.endpoints[id]
	entry.State = state
	f.update(entry)
}

func (f *siblingFixture) restart(id EndpointID) {
	entry := f.endpoints[id]
	entry.Started = f.router.now
	f.update(entry)
}

// clearHolder removes the sibling's copy from the router's statistics, so that only other routers know it.
func (f *siblingFixture) clearHolder() { f.router.objects.entries.Peek(pageKey).holder = NoEndpoint }

// A sibling that holds a copy must be the source. Its fill must count neither in the link limit nor in the fetch
// limit, and after a miss at the sibling a parent must fill.
func TestSiblingFills(t *testing.T) {
	f := newSiblingFixture()
	r := f.router
	f.arrive(pageRequest)
	plan := f.outstanding[0].ForwardPlan
	if plan.Cache != f.first || plan.Source != f.sibling || !plan.OnlyIfCached || r.linkLimit.inUse != 0 ||
		r.fetchLimit.inUse != 0 {
		t.Fatalf("plan %+v, want cache %d and source %d, only if cached; %d fills count in the link's limit, %d in the "+
			"fetch limit, want none", plan, f.first, f.sibling, r.linkLimit.inUse, r.fetchLimit.inUse)
	}
	f.end(0, AttemptResult{Outcome: CacheMiss})
	plan = f.outstanding[0].ForwardPlan
	if plan.Cache != f.first || f.endpoints[plan.Source].Tier != Parent || plan.OnlyIfCached || len(f.lookups) != 0 {
		t.Fatalf("after a miss at the sibling: plan %+v, want cache %d and a parent that may fetch; %d lookups, want none",
			plan, f.first, len(f.lookups))
	}
}

// A sibling must not be the source while it is draining or in slow start, or if its copy is out of date.
func TestUnsuitableSiblingIsNoSource(t *testing.T) {
	for name, change := range map[string]func(f *siblingFixture){
		"lookup is off": func(f *siblingFixture) { f.router.EnableSiblingLookup(false) },
		"draining":      func(f *siblingFixture) { f.setState(f.sibling, Draining) },
		"slow start":    func(f *siblingFixture) { f.restart(f.sibling) },
		"purged":        func(f *siblingFixture) { f.router.Purged(pageRequest.Object, 0, false, 0) },
		"stale":         func(f *siblingFixture) { f.advance(8 * second) },
	} {
		f := newSiblingFixture()
		change(f)
		f.arrive(pageRequest)
		plan := f.outstanding[0].ForwardPlan
		if plan.Cache != f.first && name != "stale" || plan.Source == f.sibling {
			t.Errorf("%s: plan %+v, want cache %d and a source other than %d", name, plan, f.first, f.sibling)
		}
	}
}

// If no holder of a copy is known, other routers must be asked while a parent fills.
func TestSiblingsAreLookedUp(t *testing.T) {
	f := newSiblingFixture()
	f.clearHolder()
	f.arrive(pageRequest)
	plan := f.outstanding[0].ForwardPlan
	if f.endpoints[plan.Source].Tier != Parent || len(f.lookups) != 1 {
		t.Fatalf("plan %+v, want a parent as source; %d lookups, want 1", plan, len(f.lookups))
	}
	f.end(0, AttemptResult{Outcome: Failed, CacheStatus: SourceMiss})

	f = newSiblingFixture()
	for id := range EndpointID(4) {
		f.setState(id, Removed)
	}
	f.arrive(pageRequest)
	if len(f.outstanding) != 1 || f.endpoints[f.outstanding[0].Cache].Tier == Edge || len(f.lookups) > 0 {
		t.Errorf("zone without caches: attempts %+v, want one that bypasses the zone; %d lookups, want none",
			f.outstanding, len(f.lookups))
	}
}

// A copy located by other routers may be a source, unless its cache is not in the zone or the object was not
// requested here.
func TestLocatedCopies(t *testing.T) {
	f := newSiblingFixture()
	r := f.router
	f.clearHolder()
	r.CopyLocated(pageKey, 5, r.now-second) // a parent, so the copy must be ignored
	r.CopyLocated(pageKey, f.sibling, r.now-2*second)
	f.arrive(pageRequest)
	plan := f.outstanding[0].ForwardPlan
	if plan.Cache != f.first || plan.Source != f.sibling {
		t.Errorf("plan %+v, want cache %d and source %d", plan, f.first, f.sibling)
	}
	other := hash.Combine(78, 0)
	r.CopyLocated(other, f.sibling, r.now)
	if r.objects.entries.Peek(other) != nil {
		t.Error("statistics of an object that was never requested were added")
	}
}

// If the link's limit permits no fill, a request must be sent without a source, in case the cache holds a copy. After a
// miss it must wait in the queue, and continue when a copy is located at a sibling.
func TestQueuedRequestContinuesWhenCopyIsLocated(t *testing.T) {
	f := newSiblingFixture()
	r := f.router
	f.clearHolder()
	r.linkLimit.capacity = 1
	r.linkLimit.inUse = 1
	f.arrive(pageRequest)
	plan := f.outstanding[0].ForwardPlan
	if plan.Source != plan.Cache || len(f.lookups) != 0 {
		t.Fatalf("plan %+v, want no source other than the cache; %d lookups, want none", plan, len(f.lookups))
	}
	f.end(0, AttemptResult{Outcome: CacheMiss})
	if len(f.outstanding) > 0 || len(f.lookups) != 1 {
		t.Fatalf("after the miss: %d attempts in flight, want none; %d lookups, want 1", len(f.outstanding), len(f.lookups))
	}
	r.CopyLocated(pageKey, f.sibling, r.now-2*second)
	if len(f.outstanding) != 1 || f.outstanding[0].Cache != f.first || f.outstanding[0].Source != f.sibling {
		t.Fatalf("after a copy was located: attempts %+v, want one with cache %d and source %d", f.outstanding, f.first,
			f.sibling)
	}
}

// A parent that has not answered an attempt by its latency objective must be used only if no other can be, until it
// answers.
func TestUnresponsiveParentIsUsedLast(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.arrive(videoRequest(1))
	unresponsive := fake.outstanding[0].Source
	if fake.endpoints[unresponsive].Tier != Parent {
		t.Fatalf("the first fill has source %d, want a parent", unresponsive)
	}
	nextSource := func() EndpointID {
		fake.arrive(videoRequest(1))
		return fake.outstanding[len(fake.outstanding)-1].Source
	}
	if got := nextSource(); got != unresponsive {
		t.Fatalf("before the objective a fill has source %d, want %d", got, unresponsive)
	}
	fake.advance(1300 * ms)
	if got := nextSource(); got == unresponsive || fake.endpoints[got].Tier != Parent {
		t.Fatalf("after the objective a fill has source %d, want the parent other than %d", got, unresponsive)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1300 * ms})
	fake.router.endpoints[unresponsive].fillLatency.Value = 0 // otherwise it is passed over because of its latency
	if got := nextSource(); got != unresponsive {
		t.Fatalf("after the parent's answer a fill has source %d, want %d", got, unresponsive)
	}
}

// If the link's limit is reached, a request must be sent without a source, in case the cache holds a copy. After a miss
// it must wait until a fill is possible.
func TestFullLinkNamesNoSource(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.linkLimit.capacity = 1
	fake.arrive(videoRequest(1))
	fake.arrive(videoRequest(2))
	first, next := fake.outstanding[0].ForwardPlan, fake.outstanding[1].ForwardPlan
	if first.Source == first.Cache || next.Source != next.Cache {
		t.Fatalf("plans %+v, then %+v; want a source only in the first", first, next)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) != 1 || fake.rejected != 0 {
		t.Fatalf("%d attempts in flight after the miss, want only the first; %d requests rejected, want none",
			len(fake.outstanding), fake.rejected)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].Source == fake.outstanding[0].Cache {
		t.Fatalf("attempts %+v, want one that uses the released capacity of the link", fake.outstanding)
	}
}

// If the fetch limit is reached, a parent must be asked for its own copies only, and then the request must wait for
// a fetch.
func TestFullFetchLimitAsksOnlyForCachedCopies(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.fetchLimit.capacity = 1
	fake.arrive(videoRequest(1))
	fake.arrive(videoRequest(2))
	first, next := fake.outstanding[0].ForwardPlan, fake.outstanding[1].ForwardPlan
	if first.OnlyIfCached || !next.OnlyIfCached || fake.endpoints[next.Source].Tier != Parent {
		t.Fatalf("plans %+v, then %+v; want the second to ask a parent for a cached copy only", first, next)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].OnlyIfCached {
		t.Fatalf("attempts %+v, want one that uses the released capacity for fetches", fake.outstanding)
	}
}
