package routing

import (
	"testing"

	"threadrun/internal/ratelimit"
)

// A request beyond its tenant's quota must be marked as over quota, and no other. Since two routers share the quota of
// four requests per second, this router may accept two in a second.
func TestTenantOverItsQuota(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.tenants = []Tenant{{QuotaPerSecond: 4, OverQuotaWeight: 0.1}}
	fake.router.quotaBuckets = make([]ratelimit.Bucket, 1)
	req := videoRequest(1)
	req.Tenant = 0
	fake.arrive(req) // creates the bucket, which is empty at first
	fake.advance(second)
	for i, want := range []bool{false, false, true} {
		got := fake.router.requests.Get(fake.arrive(req)).overQuota
		if got != want {
			t.Errorf("request %d: over quota is %v, want %v", i, got, want)
		}
	}
}

// A limit of less than one attempt must permit none for some time after each attempt, and must not fall below this
// router's share of one attempt.
func TestLimitBelowOnePauses(t *testing.T) {
	r := newFakeExecutor(plainPermissions).router
	l := &limit{capacity: 0.5, routers: 4}
	r.adjustLimit(l, &attempt{sent: r.now - 100*ms}, false)
	pause := l.notBefore - r.now
	if l.available(r.now) || pause < 100*ms || pause > 300*ms || !l.available(l.notBefore) {
		t.Fatalf("a limit of %.2f permits no attempt for %d ms, want 100 to 300 ms", l.capacity, pause/ms)
	}
	for range 30 {
		r.now += second
		r.adjustLimit(l, &attempt{sent: r.now}, false)
	}
	if l.capacity != 0.25 {
		t.Fatalf("the limit is %.2f after 30 cuts, want 0.25, the share of one of four routers", l.capacity)
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
		t.Errorf("limits with more routers are %+v, want %+v", current(), shrunk)
	}
	if r.fetchLimit.routers != 4*fleet || cache.attemptLimit.routers != attemptLimitRouterFactor*2*zone {
		t.Errorf("routers of the fetch limit: %d, want %d; of a cache's attempt limit: %d, want %d", r.fetchLimit.routers,
			4*fleet, cache.attemptLimit.routers, attemptLimitRouterFactor*2*zone)
	}
	r.SetFleetSize(zone, fleet)
	if current() != shrunk {
		t.Errorf("limits with fewer routers again are %+v, want the unchanged %+v", current(), shrunk)
	}
	if gotZone, gotFleet := r.FleetSize(); gotZone != zone || gotFleet != fleet {
		t.Errorf("%d routers in the zone and %d in the fleet, want %d and %d", gotZone, gotFleet, zone, fleet)
	}
}
