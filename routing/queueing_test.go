package routing

import "testing"

// Requests must be queued if the caches have no capacity, and rejected when it is too late to meet the objective. A
// bypass would only overload the parents.
func TestZoneWithoutCapacityIsNotBypassed(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, sent := range fake.outstanding {
		if fake.endpoints[sent.Cache].Tier != Edge {
			t.Fatal("caches without capacity are bypassed")
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d sent, %d rejected: no limit was reached, or no request waits", len(fake.outstanding), fake.rejected)
	}
	fake.advance(second)
	if fake.rejected == 0 {
		t.Fatal("a request that waited too long was not rejected")
	}
	fake.check(t)
}

// Guards against queued requests that are never admitted: those of weight 0 must be admitted when no others are
// queued.
func TestRequestsOfWeightZeroAreAdmitted(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.classes = append([]Class(nil), fake.router.classes...)
	fake.router.classes[0].PriorityWeight = 0
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	sent := len(fake.outstanding)
	if sent == 500 {
		t.Fatal("no request waits")
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 10 * ms})
	if len(fake.outstanding) < sent {
		t.Errorf("%d attempts in flight after one of %d has ended, although requests wait", len(fake.outstanding), sent)
	}
}
