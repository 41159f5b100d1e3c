package routing

import "testing"

// A hit that arrives shortly before its latency objective must cut its cache's limit, although it is on time.
func TestHitThatLeavesLittleTimeCutsTheLimit(t *testing.T) {
	for took, cut := range map[Micros]bool{100 * ms: false, 600 * ms: true} {
		fake := newFakeExecutor(plainPermissions)
		fake.arrive(videoRequest(1))
		cache := &fake.router.endpoints[fake.outstanding[0].Cache]
		before := cache.attemptLimit.capacity
		fake.router.SetTime(fake.router.now + took)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: took})
		if (cache.attemptLimit.capacity < before*0.9) != cut {
			t.Errorf("after a hit that took %d ms the limit is %.1f, it was %.1f; want a cut: %v", took/ms,
				cache.attemptLimit.capacity, before, cut)
		}
	}
}

// A fetch that failed at the origin must cut the fetch limit, and must not eject a parent.
func TestOriginFailureCutsTheFetchLimit(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	before := r.fetchLimit.capacity
	for i := range 4 {
		fake.arrive(videoRequest(i))
		fake.end(0, AttemptResult{Outcome: Rejected, CacheStatus: OriginFailed, Elapsed: 30 * ms})
		fake.outstanding = fake.outstanding[:0] // the retry is never answered
	}
	ejections := r.endpoints[4].ejections + r.endpoints[5].ejections
	if r.fetchLimit.capacity >= before || ejections > 0 {
		t.Fatalf("fetch limit %.1f, want less than %.1f; %d ejections of parents, want none", r.fetchLimit.capacity, before,
			ejections)
	}
}

// A late fill at a cache that is late more often than others must cut that cache's limit, not the fetch limit.
func TestSlowCacheCutsItsOwnLimit(t *testing.T) {
	for _, slow := range []bool{false, true} {
		fake := newFakeExecutor(plainPermissions)
		r := fake.router
		fake.arrive(videoRequest(1))
		cache := &r.endpoints[fake.outstanding[0].Cache]
		if slow {
			cache.lateShare.Value = 0.9
		}
		attemptsBefore, fetchesBefore := cache.attemptLimit.capacity, r.fetchLimit.capacity
		fake.advance(1200 * ms)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1200 * ms})
		if cache.attemptLimit.capacity < attemptsBefore != slow || r.fetchLimit.capacity < fetchesBefore == slow {
			t.Errorf("slow cache %v: its limit went from %.1f to %.1f, the fetch limit from %.1f to %.1f; want one cut", slow,
				attemptsBefore, cache.attemptLimit.capacity, fetchesBefore, r.fetchLimit.capacity)
		}
	}
}

// Guards against a slow origin that limits hits: late fills must not cut a cache's limit, even if the cache has
// more of them than others.
func TestLateFillsDoNotLimitHits(t *testing.T) {
	r := newFakeExecutor(plainPermissions).router
	slow := &r.endpoints[0]
	for i := range 60 {
		r.SetTime(r.now + 50*ms)
		arrived := r.now - 900*ms
		req := &request{arrived: arrived, objective: arrived + 500*ms, deadline: arrived + 3*second}
		fill := attempt{cache: EndpointID(i % 3), source: 4, sent: arrived, expectFill: true, mayFetch: true}
		status := Hit // at the other caches, in time
		if fill.cache == slow.ID {
			status = [...]CacheStatus{Filled, JoinedFill}[i/3%2]
		} else {
			req.objective = r.now + second
		}
		r.applyResult(req, &fill, &AttemptResult{Outcome: Succeeded, CacheStatus: status, Elapsed: 900 * ms})
	}
	if slow.attemptLimit.capacity < initialAttemptLimit || slow.lateShare.Value > 0 {
		t.Errorf("the slow cache's limit is %.1f, want at least %.1f; late share of its hits %.2f, want 0",
			slow.attemptLimit.capacity, initialAttemptLimit, slow.lateShare.Value)
	}
}

// Guards against limits cut by lost answers: a timeout may cut limits only if successes are late, too.
func TestLostAnswersCutNoLimit(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newFakeExecutor(plainPermissions).router
		cache, source := &r.endpoints[0], &r.endpoints[4]
		r.fetchLimit.inUse = 16 // in use, because an unused limit would shrink
		source.fillLimit.inUse = 16
		for i := range 300 {
			r.SetTime(r.now + 20*ms)
			arrived := r.now - 400*ms
			req := &request{arrived: arrived, objective: arrived + second, deadline: arrived + 3*second}
			if late {
				req.objective = arrived + 300*ms
			}
			result := &AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 400 * ms}
			if i%4 == 3 {
				result = &AttemptResult{Outcome: TimedOut, Elapsed: 3 * second}
			}
			fill := attempt{cache: cache.ID, source: source.ID, sent: arrived, expectFill: true, mayFetch: true}
			r.applyResult(req, &fill, result)
		}
		cut := r.fetchLimit.capacity < initialFillLimit/2 && source.fillLimit.capacity < initialFillLimit/2
		if cut != late || r.overloaded != late || cache.ejections > 0 {
			t.Errorf("successes late %v: fetch limit %.1f, fill limit %.1f, overload %v; want limits below %.1f and overload "+
				"only if late; %d ejections, want none", late, r.fetchLimit.capacity, source.fillLimit.capacity, r.overloaded,
				initialFillLimit/2, cache.ejections)
		}
	}
}
