package routing

import (
	"testing"

	"threadrun/internal/tokenbucket"
)

// A tenant's requests beyond its quota are marked so, and no others.
func TestTenantOverItsQuota(t *testing.T) {
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

// A limit below one pauses after each attempt, and falls no lower than the router's part of one.
func TestLimitBelowOnePauses(t *testing.T) {
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

// When more routers share limits, each one's part shrinks at once; when fewer do, no limit jumps up.
func TestFleetSizeShrinksLimitsAtOnce(t *testing.T) {
	fake := newFake(plainPermissions)
	r := fake.router
	zone, fleet := r.FleetSize()
	cache, parent := r.zoneCaches[0], r.parents[0]
	trips, fills, fetch, link := r.endpoints[cache].attemptLimit.capacity, r.endpoints[parent].fillLimit.capacity, r.fetchLimit.capacity, r.linkLimit.capacity
	r.SetFleetSize(2*zone, 4*fleet)
	if r.endpoints[cache].attemptLimit.capacity != trips/2 || r.endpoints[parent].fillLimit.capacity != fills/4 || r.fetchLimit.capacity != fetch/4 || r.linkLimit.capacity != link/2 {
		t.Errorf("%v %v %v %v after %v %v %v %v", r.endpoints[cache].attemptLimit.capacity, r.endpoints[parent].fillLimit.capacity, r.fetchLimit.capacity, r.linkLimit.capacity, trips,
			fills, fetch, link)
	}
	if r.fetchLimit.sharers != 4*fleet || r.endpoints[cache].attemptLimit.sharers != attemptLimitSharers*2*zone {
		t.Errorf("shared by %d, %d", r.fetchLimit.sharers, r.endpoints[cache].attemptLimit.sharers)
	}
	r.SetFleetSize(zone, fleet)
	if r.fetchLimit.capacity != fetch/4 || r.endpoints[cache].attemptLimit.capacity != trips/2 {
		t.Errorf("%v %v: a limit jumped up", r.fetchLimit.capacity, r.endpoints[cache].attemptLimit.capacity)
	}
	if a, b := r.FleetSize(); a != zone || b != fleet {
		t.Errorf("%d %d", a, b)
	}
}
