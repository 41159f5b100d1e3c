package routing

import "testing"

// A hit that leaves little of the latency objective cuts its cache's limit, though it is in time; a quick one does
// not.
func TestHitThatLeavesLittleTimeCutsTheLimit(t *testing.T) {
	for took, cut := range map[Micros]bool{100 * ms: false, 600 * ms: true} {
		fake := newFake(plainPermissions)
		fake.arrive(videoRequest(1))
		c := &fake.router.endpoints[fake.outstanding[0].Cache]
		before := c.attemptLimit.capacity
		fake.router.SetTime(fake.router.now + took)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: took})
		if (c.attemptLimit.capacity < before*0.9) != cut {
			t.Errorf("a hit of %v leaves the limit at %v", took, c.attemptLimit.capacity)
		}
	}
}

// A fetch that failed at the origin cuts the fetch limit, and ejects no parent.
func TestOriginFailureCutsTheFetchLimit(t *testing.T) {
	fake := newFake(plainPermissions)
	before := fake.router.fetchLimit.capacity
	for i := range 4 {
		fake.arrive(videoRequest(i))
		fake.end(0, AttemptResult{Outcome: Rejected, CacheStatus: OriginFailed, Elapsed: 30 * ms})
		fake.outstanding = fake.outstanding[:0]
	}
	if p := fake.router.endpoints[4].ejections + fake.router.endpoints[5].ejections; fake.router.fetchLimit.capacity >= before || p > 0 {
		t.Fatalf("fetches %.1f, strikes %d", fake.router.fetchLimit.capacity, p)
	}
}

// A late fill at a cache that is late more often than others cuts that cache's limit, not the fetch limit.
func TestSlowCacheCutsItsOwnLimit(t *testing.T) {
	for _, slow := range []bool{false, true} {
		fake := newFake(plainPermissions)
		fake.arrive(videoRequest(1))
		s := fake.outstanding[0]
		if slow {
			fake.router.endpoints[s.Cache].lateShare.Value = 0.9
		}
		cache, fetch := fake.router.endpoints[s.Cache].attemptLimit.capacity, fake.router.fetchLimit.capacity
		fake.advance(1200 * ms)
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 1200 * ms})
		if fake.router.endpoints[s.Cache].attemptLimit.capacity < cache != slow || fake.router.fetchLimit.capacity < fetch == slow {
			t.Errorf("slow %v: cache %.1f, fetches %.1f", slow, fake.router.endpoints[s.Cache].attemptLimit.capacity, fake.router.fetchLimit.capacity)
		}
	}
}

// Guards hits against a slow origin: late fills, of which one cache has more than others, cut no limit of that
// cache.
func TestLateFillsDoNotLimitHits(t *testing.T) {
	fake := newFake(plainPermissions)
	c := &fake.router.endpoints[0]
	for i := range 60 {
		fake.router.SetTime(fake.router.now + 50*ms)
		arrived := fake.router.now - 900*ms
		v := &request{arrived: arrived, objective: arrived + 500*ms, deadline: arrived + 3*second}
		fill := attempt{cache: EndpointID(i % 3), source: 4, sent: arrived, mayFill: true, mayFetch: true}
		trace := Hit // at the others, in time
		if fill.cache == 0 {
			trace = [...]CacheStatus{Filled, JoinedFill}[i/3%2]
		} else {
			v.objective = fake.router.now + second
		}
		fake.router.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: trace, Elapsed: 900 * ms})
	}
	if c.attemptLimit.capacity < initialAttemptLimit || c.lateShare.Value > 0 {
		t.Errorf("limit %.1f of %.1f, %.2f of its own copies late", c.attemptLimit.capacity, initialAttemptLimit, c.lateShare.Value)
	}
}

// Guards limits against lost answers: a time-out cuts them only where successes are late too.
func TestLostAnswersCutNoLimit(t *testing.T) {
	for _, late := range []bool{false, true} {
		fake := newFake(plainPermissions)
		c := &fake.router.endpoints[0]
		fake.router.fetchLimit.inUse, fake.router.endpoints[4].fillLimit.inUse = 16, 16 // in use, or they would shrink unused
		for i := range 300 {
			fake.router.SetTime(fake.router.now + 20*ms)
			arrived := fake.router.now - 400*ms
			v := &request{arrived: arrived, objective: arrived + second, deadline: arrived + 3*second}
			if late {
				v.objective = arrived + 300*ms
			}
			fill := attempt{cache: 0, source: 4, sent: arrived, mayFill: true, mayFetch: true}
			if i%4 == 3 {
				fake.router.observe(v, &fill, AttemptResult{Outcome: TimedOut, Elapsed: 3 * second})
			} else {
				fake.router.observe(v, &fill, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 400 * ms})
			}
		}
		cut := fake.router.fetchLimit.capacity < initialFillLimit/2 && fake.router.endpoints[4].fillLimit.capacity < initialFillLimit/2
		if cut != late || fake.router.overloaded != late || c.ejections > 0 {
			t.Errorf("late %v: fetches %.1f, fills %.1f, overload %v", late, fake.router.fetchLimit.capacity, fake.router.endpoints[4].fillLimit.capacity, fake.router.overloaded)
		}
	}
}
