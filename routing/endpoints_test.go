package routing

import "testing"

// An endpoint that reuses the id of another must inherit neither its ejection nor its copies.
func TestReplacedEndpointInheritsNothing(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	fake.arrive(videoRequest(1))
	id := fake.outstanding[0].Cache
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 100 * ms})
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 50 * ms})
	ep := &r.endpoints[id]
	r.eject(ep, false)
	ep.failures = 2
	ep.lateShare.Value = 1
	entry := testEndpoints()[id]
	entry.State = Removed
	fake.update(entry)
	entry.State = Up
	entry.Replaced = true
	entry.NameHash = 77
	fake.update(entry)
	if ep.ejections+ep.failures > 0 || ep.ejectedUntil > 0 || ep.lateShare.Value > 0 || !ep.listed || ep.NameHash != 77 {
		t.Errorf("the new endpoint has %d ejections (until %d), %d failures and a late share of %.2f, want none of these; "+
			"listed: %v, name hash %d, want 77", ep.ejections, ep.ejectedUntil, ep.failures, ep.lateShare.Value, ep.listed,
			ep.NameHash)
	}
	r.objects.entries.Each(func(stats *objectStats) {
		if stats.holder == id {
			t.Error("a copy is recorded at a cache that never held it")
		}
	})
}
