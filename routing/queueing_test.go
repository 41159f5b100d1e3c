package routing

import "testing"

// Requests wait for crowded caches and are rejected when it is too late: a bypass would only crowd the parents.
func TestCrowdedZoneIsNotBypassed(t *testing.T) {
	fake := newFake(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, s := range fake.outstanding {
		if fake.endpoints[s.Cache].Tier != Edge {
			t.Fatal("sent straight past crowded caches")
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d sent, %d deferred: no limit was met, or nothing waited", len(fake.outstanding), fake.rejected)
	}
	if fake.advance(second); fake.rejected == 0 {
		t.Fatal("what waited too long is not deferred")
	}
	fake.check(t)
}
