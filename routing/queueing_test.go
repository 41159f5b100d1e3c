package routing

import "testing"

// Requests must wait if the caches have no capacity, and must be rejected when it is too late. A bypass would only
// overload the parents.
func TestCrowdedZoneIsNotBypassed(t *testing.T) {
	fake := newFake(plainPermissions)
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
