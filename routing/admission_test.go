package routing

import (
	"testing"

	"threadrun/internal/ratelimit"
)

// A request beyond its tenant's quota must be marked as over quota, and no other.
func TestTenantOverItsQuota(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.tenants = []Tenant{{QuotaPerSecond: 4, OverQuotaWeight: 0.1}}
	fake.router.quotaBuckets = make([]ratelimit.Bucket, 1)
	req := videoRequest(1)
	req.Tenant = 0
	fake.arrive(req)
	fake.advance(second)
	for n, over := range []bool{false, false, true} {
		got := fake.router.requests.Get(fake.arrive(req)).overQuota
		if got != over {
			t.Errorf("request %d: over quota %v", n, got)
		}
	}
}

// A limit below one must pause after each attempt, and must not fall below the router's share of one attempt.
func TestLimitBelowOnePauses(t *testing.T) {
	r := newFakeExecutor(plainPermissions).router
	l := &limit{capacity: 0.5, routers: 4}
	r.adjustLimit(l, &attempt{sent: r.now - 100*ms}, false)
	pause := l.notBefore - r.now
	if l.available(r.now) || pause < 100*ms || pause > 300*ms || !l.available(l.notBefore) {
		t.Fatalf("a limit of %.2f pauses for %d us", l.capacity, pause)
	}
	for range 30 {
		r.now += second
		r.adjustLimit(l, &attempt{sent: r.now}, false)
	}
	if l.capacity != 0.25 {
		t.Fatalf("the limit fell to %.2f", l.capacity)
	}
}

// When more routers share limits, each router's limits must shrink at once; when fewer do, no limit may rise at once.
func TestFleetSizeShrinksLimitsAtOnce(t *testing.T) {
	type capacities struct{ attempts, fills, fetches, link float64 }
	r := newFakeExecutor(plainPermissions).router
	cache, parent := &r.endpoints[r.zoneCaches[0]], &r.endpoints[r.parents[0]]
	current := func() capacities {
		return capacities{cache.attemptLimit.capacity, parent.fillLimit.capacity, r.fetchLimit.capacity,
			r.linkLimit.capacity}
	}
	zone, fleet := r.FleetSize()
	before := current()
	r.SetFleetSize(2*zone, 4*fleet)
	shrunk := capacities{before.attempts / 2, before.fills / 4, before.fetches / 4, before.link / 2}
	if current() != shrunk {
		t.Errorf("limits %+v with more routers, %+v before", current(), before)
	}
	if r.fetchLimit.routers != 4*fleet || cache.attemptLimit.routers != attemptLimitRouterFactor*2*zone {
		t.Errorf("limits are shared by %d and %d routers", r.fetchLimit.routers, cache.attemptLimit.routers)
	}
	r.SetFleetSize(zone, fleet)
	if current() != shrunk {
		t.Errorf("limits %+v with fewer routers, %+v before", current(), shrunk)
	}
	if a, b := r.FleetSize(); a != zone || b != fleet {
		t.Errorf("fleet size %d, %d", a, b)
	}
}
