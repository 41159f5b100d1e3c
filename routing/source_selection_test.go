package routing

import (
	"testing"

	"threadrun/internal/hash"
)

// siblingFixture is a zone in which the object's first cache is in slow start, and a sibling holds a copy.
type siblingFixture struct {
	*fakeExecutor
	first, sibling EndpointID
}

func newSiblingFixture() *siblingFixture {
	c := &siblingFixture{fakeExecutor: newFakeExecutor(plainPermissions)}
	c.router.EnableSiblingLookup(true)
	c.arrive(pageRequest)
	c.first = c.outstanding[0].Cache
	c.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	c.setState(c.first, Draining)
	c.advance(second)
	c.arrive(pageRequest)
	c.sibling = c.outstanding[0].Cache
	c.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	c.setState(c.first, Up)
	c.restart(c.first)
	c.advance(2 * second)
	c.router.PlanBackground(pageRequest) // initializes its slow-start budget
	c.advance(second)
	c.lookups = nil
	return c
}

func (c *siblingFixture) setState(id EndpointID, state EndpointState) {
	entry := c.endpoints[id]
	entry.State = state
	c.update(entry)
}

func (c *siblingFixture) restart(id EndpointID) {
	entry := c.endpoints[id]
	entry.Started = c.router.now
	c.update(entry)
}

// clearHolder removes the sibling's copy from the router's statistics, so that only other routers know it.
func (c *siblingFixture) clearHolder() { c.router.objects.entries.Peek(pageKey).holder = NoEndpoint }

// A sibling that holds a copy must be the source. Its fill must not count in the limits of the link and of fetches,
// and after a miss there a parent must fill.
func TestSiblingFills(t *testing.T) {
	c := newSiblingFixture()
	r := c.router
	c.arrive(pageRequest)
	plan := c.outstanding[0].ForwardPlan
	if plan.Cache != c.first || plan.Source != c.sibling || !plan.OnlyIfCached || r.linkLimit.inUse != 0 ||
		r.fetchLimit.inUse != 0 {
		t.Fatalf("%+v, first %d, sibling %d, link %d", plan, c.first, c.sibling, r.linkLimit.inUse)
	}
	c.end(0, AttemptResult{Outcome: CacheMiss})
	plan = c.outstanding[0].ForwardPlan
	if plan.Cache != c.first || c.endpoints[plan.Source].Tier != Parent || plan.OnlyIfCached || len(c.lookups) != 0 {
		t.Fatalf("%+v, %d lookups", plan, len(c.lookups))
	}
}

// A sibling must not be the source while it is draining or in slow start, or if its copy is out of date.
func TestUnsuitableSiblingIsNoSource(t *testing.T) {
	for name, change := range map[string]func(c *siblingFixture){
		"lookup is off": func(c *siblingFixture) { c.router.EnableSiblingLookup(false) },
		"draining":      func(c *siblingFixture) { c.setState(c.sibling, Draining) },
		"slow start":    func(c *siblingFixture) { c.restart(c.sibling) },
		"purged":        func(c *siblingFixture) { c.router.Purged(pageRequest.Object, 0, false, 0) },
		"stale":         func(c *siblingFixture) { c.advance(8 * second) },
	} {
		c := newSiblingFixture()
		change(c)
		c.arrive(pageRequest)
		plan := c.outstanding[0].ForwardPlan
		if plan.Cache != c.first && name != "stale" || plan.Source == c.sibling {
			t.Errorf("%s: %+v, first %d, sibling %d", name, plan, c.first, c.sibling)
		}
	}
}

// If no holder of a copy is known, other routers must be asked while a parent fills.
func TestSiblingsAreLookedUp(t *testing.T) {
	c := newSiblingFixture()
	c.clearHolder()
	c.arrive(pageRequest)
	plan := c.outstanding[0].ForwardPlan
	if c.endpoints[plan.Source].Tier != Parent || len(c.lookups) != 1 {
		t.Fatalf("%+v, %d lookups", plan, len(c.lookups))
	}
	c.end(0, AttemptResult{Outcome: Failed, CacheStatus: SourceMiss})

	c = newSiblingFixture()
	for id := range EndpointID(4) {
		c.setState(id, Removed)
	}
	c.arrive(pageRequest)
	if len(c.outstanding) != 1 || c.endpoints[c.outstanding[0].Cache].Tier == Edge || len(c.lookups) > 0 {
		t.Errorf("bypassing a zone without caches: %+v, %d lookups", c.outstanding, len(c.lookups))
	}
}

// A copy located by other routers may be a source, unless its cache is not in the zone or the object was not
// requested here.
func TestLocatedCopies(t *testing.T) {
	c := newSiblingFixture()
	r := c.router
	c.clearHolder()
	r.CopyLocated(pageKey, 5, r.now-second)
	r.CopyLocated(pageKey, c.sibling, r.now-2*second)
	c.arrive(pageRequest)
	plan := c.outstanding[0].ForwardPlan
	if plan.Cache != c.first || plan.Source != c.sibling {
		t.Errorf("%+v", plan)
	}
	other := hash.Combine(78, 0)
	r.CopyLocated(other, c.sibling, r.now)
	if r.objects.entries.Peek(other) != nil {
		t.Error("statistics of an object that was never requested were added")
	}
}

// If no fill is possible, a request must be sent to look for a copy, then wait, and continue when a copy is
// located.
func TestQueuedRequestContinuesWhenCopyIsLocated(t *testing.T) {
	c := newSiblingFixture()
	r := c.router
	c.clearHolder()
	r.linkLimit.capacity = 1
	r.linkLimit.inUse = 1
	c.arrive(pageRequest)
	plan := c.outstanding[0].ForwardPlan
	if plan.Source != plan.Cache || len(c.lookups) != 0 {
		t.Fatalf("%+v, %d lookups", plan, len(c.lookups))
	}
	c.end(0, AttemptResult{Outcome: CacheMiss})
	if len(c.outstanding) > 0 || len(c.lookups) != 1 {
		t.Fatalf("%d sent, %d lookups", len(c.outstanding), len(c.lookups))
	}
	r.CopyLocated(pageKey, c.sibling, r.now-2*second)
	if len(c.outstanding) != 1 || c.outstanding[0].Cache != c.first || c.outstanding[0].Source != c.sibling {
		t.Fatalf("%+v", c.outstanding)
	}
}

// A parent that lets an attempt pass its objective without an answer must be used last until it answers.
func TestUnresponsiveParentIsUsedLast(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.arrive(videoRequest(1))
	unresponsive := fake.outstanding[0].Source
	if fake.endpoints[unresponsive].Tier != Parent {
		t.Fatalf("filled from %v", unresponsive)
	}
	nextSource := func() EndpointID {
		fake.arrive(videoRequest(1))
		return fake.outstanding[len(fake.outstanding)-1].Source
	}
	if got := nextSource(); got != unresponsive {
		t.Fatalf("filled from %v before the objective, want %v", got, unresponsive)
	}
	fake.advance(1300 * ms)
	if got := nextSource(); got == unresponsive || fake.endpoints[got].Tier != Parent {
		t.Fatalf("filled from %v after the objective", got)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1300 * ms})
	fake.router.endpoints[unresponsive].fillLatency.Value = 0 // otherwise it is passed over because of its latency
	if got := nextSource(); got != unresponsive {
		t.Fatalf("filled from %v after its answer, want %v", got, unresponsive)
	}
}

// If the link's limit is reached, a request must be sent to look for a copy, and then wait for a fill.
func TestFullLinkNamesNoSource(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.linkLimit.capacity = 1
	fake.arrive(videoRequest(1))
	fake.arrive(videoRequest(2))
	first, next := fake.outstanding[0].ForwardPlan, fake.outstanding[1].ForwardPlan
	if first.Source == first.Cache || next.Source != next.Cache {
		t.Fatalf("%+v, then %+v", first, next)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) != 1 || fake.rejected != 0 {
		t.Fatal("the request does not wait for a fill")
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].Source == fake.outstanding[0].Cache {
		t.Fatal("the released capacity of the link was not used")
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
		t.Fatalf("%+v, then %+v", first, next)
	}
	fake.end(1, AttemptResult{Outcome: CacheMiss})
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	if len(fake.outstanding) != 1 || fake.outstanding[0].OnlyIfCached {
		t.Fatal("the released capacity for fetches was not used")
	}
}
