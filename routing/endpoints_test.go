package routing

import "testing"

// An endpoint under the id of one that is gone starts with nothing of it: neither its ejection nor its copies.
func TestReplacedEndpointStartsAfresh(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	at := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 100 * ms})
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 50 * ms})
	c := &fake.router.endpoints[at]
	fake.router.eject(c, false)
	c.failures, c.lateShare.Value = 2, 1
	x := testEndpoints()[at]
	x.State = Removed
	fake.update(x)
	x.State, x.Replaced, x.NameHash = Up, true, 77
	fake.update(x)
	if c.ejections+c.failures > 0 || c.ejectedUntil > 0 || c.lateShare.Value > 0 || !c.listed || c.NameHash != 77 {
		t.Errorf("%+v", c)
	}
	fake.router.objects.entries.Each(func(o *objectStats) {
		if o.holder == at {
			t.Error("a copy is taken to lie at a cache that never saw it")
		}
	})
}
