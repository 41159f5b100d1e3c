package routing

import (
	"testing"

	"threadrun/internal/hash"
)

// Background work goes where a request would, counts as none, and gives way to requests.
func TestBackgroundWorkGivesWay(t *testing.T) {
	page := Request{Class: 1, Object: 77, Remaining: 3 * second, SizeKB: 50, Tenant: -1}
	refreshing := page
	refreshing.Background, refreshing.Gap = true, 300*ms
	fake := newFake(plainPermissions)
	fake.arrive(page)
	home := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
	gap := fake.router.objects.entries.Peek(hash.Combine(uint64(page.Object), 0)).gap
	fake.advance(second)
	fake.arrive(refreshing)
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
		"a one-shot use case": func() { refreshing.Class = 2 },
	} {
		fake, refreshing.Class = newFake(plainPermissions), 1
		spoil()
		v := fake.arrive(refreshing)
		if len(fake.outstanding) > 0 || fake.answers[v] != 1 {
			t.Errorf("with %s it goes, or waits", name)
		}
	}
	fake, refreshing.Class = newFake(plainPermissions), 1
	v := fake.arrive(refreshing)
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) > 0 || fake.answers[v] != 1 || fake.rejected > 0 {
		t.Error("it is tried again, or told as if it had never run")
	}
	fake.check(t)
}

// A copy that the zone is expected to request again is suggested for a refresh, another is not.
func TestRefreshIsSuggested(t *testing.T) {
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
