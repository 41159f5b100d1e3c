package routing

import "testing"

// A health check ends an ejection or begins one; an older one than what is known does nothing.
func TestHealthChecks(t *testing.T) {
	fake := newFake(plainPermissions)
	c := &fake.router.endpoints[1]
	fake.router.eject(c, false)
	fake.router.HealthChecked(1, true, 10*ms) // from before the rest
	if c.ejectedUntil <= fake.router.now {
		t.Error("an older probe ends the rest")
	}
	fake.advance(50 * ms)
	if fake.router.HealthChecked(1, true, 10*ms); c.ejectedUntil > fake.router.now || c.ejections == 0 {
		t.Error("the rest goes on, or all is forgotten")
	}
	fake.advance(5 * second)
	c = &fake.router.endpoints[2]
	c.lastSuccess = fake.router.now - 20*ms
	if fake.router.HealthChecked(2, false, 30*ms); c.ejectedUntil > fake.router.now {
		t.Error("a probe from before a good answer counts")
	}
	if fake.router.HealthChecked(2, false, 3*second); c.ejectedUntil > fake.router.now {
		t.Error("an old probe counts")
	}
	if fake.router.HealthChecked(2, false, 10*ms); c.ejectedUntil <= fake.router.now {
		t.Error("a cache that is not there does not rest")
	}
}

// Guards a restarted endpoint before the list tells of its restart, and after that.
func TestRecoveredEndpointIsInSlowStart(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.eject(&fake.router.endpoints[1], false)
	fake.advance(second)
	fake.router.eject(&fake.router.endpoints[1], false)
	fake.advance(second)
	fake.router.recordSuccess(&fake.router.endpoints[1], &request{})
	fake.update(testEndpoints()[1])
	if !fake.router.inSlowStart(&fake.router.endpoints[1]) || fake.router.inSlowStart(&fake.router.endpoints[2]) {
		t.Fatal("not taken for just started")
	}
}

// Connections lost together count once; three in a row eject a cache, which is not presumed dead.
func TestConnectionsLostTogetherCountOnce(t *testing.T) {
	for n, rests := range map[int]bool{1: false, 2: false, 3: true} {
		fake := newFake(plainPermissions)
		c, out := &fake.router.endpoints[1], fake.router.now
		for range 9 { // on one connection, which ends
			fake.router.SetTime(fake.router.now + 1)
			fake.router.observe(&request{}, &attempt{cache: 1, source: 1, sent: out}, AttemptResult{Outcome: ConnectionLost})
		}
		for range n - 1 {
			fake.router.observe(&request{}, &attempt{cache: 1, source: 1, sent: fake.router.now}, AttemptResult{Outcome: ConnectionLost})
		}
		if r := c.ejectedUntil > fake.router.now; r != rests || fake.router.inSlowStart(c) {
			t.Errorf("after %d: rests %v", n, r)
		}
	}
}

// A rejection by the cache itself says nothing of the source; one that took the time to reach the source does.
func TestQuickRejectionsAreNotTheSources(t *testing.T) {
	for took, rests := range map[Micros]bool{ms: false, 20 * ms: true} {
		fake := newFake(plainPermissions)
		for i := range 12 {
			fake.router.fastestAttempt = ms
			fake.arrive(videoRequest(i))
			for len(fake.outstanding) > 0 {
				fake.router.SetTime(fake.router.now + took)
				fake.end(0, AttemptResult{Outcome: Rejected, Elapsed: took})
			}
		}
		if got := fake.router.endpoints[4].ejections+fake.router.endpoints[5].ejections > 0; got != rests {
			t.Errorf("refused after %d: parents rest %v", took, got)
		}
	}
}

// Guards against bad clients: neither failures at once nor sizes beyond belief eject an endpoint or teach sending
// times.
func TestBadClientsEjectNobody(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: ms / 10})
	before := fake.router.classSendTimes[0]
	for i := range 20 {
		a := videoRequest(100 + i)
		a.SizeKB = 9e8
		fake.arrive(a)
		for len(fake.outstanding) > 0 {
			fake.advance(2 * ms)
			fake.end(0, AttemptResult{Outcome: Failed, Elapsed: 2 * ms})
		}
	}
	for i := range fake.router.endpoints {
		if c := &fake.router.endpoints[i]; c.ejections > 0 || c.fillLimit.capacity < initialFillLimit && c.Tier == Parent {
			t.Errorf("cache %d: %d strikes, %.1f fills", i, c.ejections, c.fillLimit.capacity)
		}
	}
	if fake.router.classSendTimes[0] > before+2 { // of 180000 s asked for
		t.Errorf("work of %.1f s learned, it was %.3f s", fake.router.classSendTimes[0], before)
	}
	fake.check(t)
}
