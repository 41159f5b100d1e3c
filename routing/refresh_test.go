package routing

import (
	"testing"

	"threadrun/internal/hash"
)

// pageRequest is a request of class 1, whose copies become stale.
var pageRequest = Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: NoTenant}

// pageKey is the key of the statistics of pageRequest's object.
var pageKey = hash.Combine(uint64(pageRequest.Object), 0)

// A refresh must use the cache that a request would use, fetch a new copy, and not count as a request. It must not
// be sent or queued while requests may need the capacity, and not be retried.
func TestBackgroundWorkYieldsToRequests(t *testing.T) {
	work := pageRequest
	work.Background = true
	work.RequestGap = 300 * ms
	fake := newFakeExecutor(plainPermissions)
	objects := &fake.router.objects
	fake.arrive(pageRequest)
	cache := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	gap := objects.entries.Peek(pageKey).gap
	fake.advance(second)
	fake.arrive(work)
	plan := fake.outstanding[0].ForwardPlan
	if plan.Cache != cache || plan.Source == plan.Cache || plan.StaleWhileRevalidate ||
		plan.MaxAge > fake.classes[1].FreshnessLifetime/2 {
		t.Errorf("refresh planned as %+v, want a new copy at cache %d", plan, cache)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	stats := objects.entries.Peek(pageKey)
	if stats.gap != gap || objects.missShare != 0 {
		t.Errorf("a refresh counts as a request: gap %.3f s, want %.3f s; miss share %.3f, want 0", stats.gap, gap,
			objects.missShare)
	}
	for name, change := range map[string]func(r *Router){
		"half of the cache's limit in use": func(r *Router) {
			l := &r.endpoints[cache].attemptLimit
			l.inUse = int(l.capacity / 2)
		},
		"half of the link's limit in use": func(r *Router) { r.linkLimit.inUse = int(r.linkLimit.capacity / 2) },
		"overload":                        func(r *Router) { r.overloaded = true },
		"late requests":                   func(r *Router) { r.lateSuccessShare.Value = congestionLateShare },
		"a limit cut":                     func(r *Router) { r.lastLimitCut = r.now },
		"a queued request":                func(r *Router) { r.queue = append(r.queue, 1<<40) }, // an unused id
		"caches in slow start": func(r *Router) {
			for _, ep := range testEndpoints()[:4] {
				ep.Started = r.now
				r.UpdateEndpoints([]Endpoint{ep}, false)
			}
		},
		"a non-idempotent class": func(*Router) { work.Class = 2 },
	} {
		fake = newFakeExecutor(plainPermissions)
		work.Class = 1
		change(fake.router)
		id := fake.arrive(work)
		if len(fake.outstanding) > 0 || fake.answers[id] != 1 {
			t.Errorf("with %s: %d refreshes were sent, want none; %d final answers, want 1 at once", name,
				len(fake.outstanding), fake.answers[id])
		}
	}
	fake = newFakeExecutor(plainPermissions)
	work.Class = 1
	id := fake.arrive(work)
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) > 0 || fake.answers[id] != 1 || fake.rejected > 0 {
		t.Errorf("after a refresh that missed: %d attempts in flight, want none; %d final answers, want 1; %d rejections, "+
			"want none", len(fake.outstanding), fake.answers[id], fake.rejected)
	}
	fake.check(t)
}

// A refresh must be suggested for a copy that the zone is expected to request again, and for no other.
func TestRefreshIsSuggested(t *testing.T) {
	for gap, want := range map[Micros]bool{300 * ms: true, 20 * second: false} {
		fake := newFakeExecutor(plainPermissions)
		fake.router.EnableRefreshAhead(true)
		for range 4 {
			fake.arrive(pageRequest)
			createdAt := fake.router.now - 2*second
			fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, CreatedAt: createdAt})
			n := len(fake.refreshes)
			if n > 0 && fake.refreshes[n-1].freshUntil != createdAt+fake.classes[1].FreshnessLifetime {
				t.Errorf("refresh suggested as %+v, want one of a copy that was created 2 s ago", fake.refreshes[n-1])
			}
			fake.advance(gap)
		}
		got := len(fake.refreshes) > 0
		if got != want {
			t.Errorf("gap of %v ms between requests: refresh suggested %v, want %v", gap.Millis(), got, want)
		}
	}
}
