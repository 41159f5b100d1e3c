package routing

import "testing"

// Requests wait for crowded caches and are rejected when it is too late: a bypass would only crowd the parents.
func TestCrowdedZoneIsNotBypassed(t *testing.T) {
	fake := newFake(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, sent := range fake.outstanding {
		if fake.endpoints[sent.Cache].Tier != Edge {
			t.Fatal("crowded caches are bypassed")
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d sent, %d rejected: no limit was met, or none waits", len(fake.outstanding), fake.rejected)
	}
	fake.advance(second)
	if fake.rejected == 0 {
		t.Fatal("what waited too long is not rejected")
	}
	fake.check(t)
}
