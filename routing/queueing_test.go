package routing

import "testing"

// If the caches of the zone have no free capacity, requests must be queued, and rejected once they can no longer meet
// their latency objective. Bypassing the caches would only overload the parents.
func TestZoneWithoutCapacityIsNotBypassed(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, sent := range fake.outstanding {
		if fake.endpoints[sent.Cache].Tier != Edge {
			t.Fatalf("a request was sent to endpoint %d, bypassing the caches", sent.Cache)
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d of 500 requests were sent, want fewer; %d were rejected at once, want none", len(fake.outstanding),
			fake.rejected)
	}
	fake.advance(second)
	if fake.rejected == 0 {
		t.Fatal("no queued request was rejected after 1 s, although the latency objective is 700 ms")
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
		t.Fatal("all 500 requests were sent, want some queued")
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 10 * ms})
	if len(fake.outstanding) < sent {
		t.Errorf("%d attempts in flight after one of %d has ended, want the same number: requests are queued",
			len(fake.outstanding), sent)
	}
}
