package routing

import "testing"

// The result of a health check must end or start an ejection. It must have no effect if it is too old, or if the router
// has ejected the endpoint or received an answer from it since the check.
func TestHealthChecks(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	ep := &r.endpoints[1]
	r.eject(ep, false)
	r.HealthChecked(ep.ID, true, 10*ms)
	if ep.ejectedUntil <= r.now {
		t.Error("a check from before the ejection ended it")
	}
	fake.advance(50 * ms)
	r.HealthChecked(ep.ID, true, 10*ms)
	if ep.ejectedUntil > r.now || ep.ejections == 0 {
		t.Errorf("after a good check: ejected for %d us more, want 0; %d ejections on record, want them kept",
			ep.ejectedUntil-r.now, ep.ejections)
	}
	fake.advance(5 * second)
	ep = &r.endpoints[2]
	ep.lastSuccess = r.now - 20*ms
	r.HealthChecked(ep.ID, false, 30*ms)
	if ep.ejectedUntil > r.now {
		t.Error("a check from before a success was used")
	}
	r.HealthChecked(ep.ID, false, 3*second)
	if ep.ejectedUntil > r.now {
		t.Error("an old check was used")
	}
	r.HealthChecked(ep.ID, false, 10*ms)
	if ep.ejectedUntil <= r.now {
		t.Error("an endpoint that does not answer was not ejected")
	}
}

// An endpoint that recovers after consecutive ejections must be in slow start, even if the endpoint list does not
// report a restart.
func TestRecoveredEndpointIsInSlowStart(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	restarted, other := &r.endpoints[1], &r.endpoints[2]
	r.eject(restarted, false)
	fake.advance(second)
	r.eject(restarted, false)
	fake.advance(second)
	r.recordSuccess(restarted, &request{})
	fake.update(testEndpoints()[1])
	if !r.inSlowStart(restarted) || r.inSlowStart(other) {
		t.Fatalf("in slow start: the recovered endpoint %v, want true; another one %v, want false",
			r.inSlowStart(restarted), r.inSlowStart(other))
	}
}

// Connections lost together must count once. Three consecutive losses must eject a cache without presuming it dead.
func TestConnectionsLostTogetherCountOnce(t *testing.T) {
	lost := &AttemptResult{Outcome: ConnectionLost}
	for connections, ejected := range map[int]bool{1: false, 2: false, 3: true} {
		r := newFakeExecutor(plainPermissions).router
		ep, sent := &r.endpoints[1], r.now
		for range 9 { // on one connection
			r.SetTime(r.now + 1)
			r.applyResult(&request{}, &attempt{cache: 1, source: 1, sent: sent}, lost)
		}
		for range connections - 1 {
			r.applyResult(&request{}, &attempt{cache: 1, source: 1, sent: r.now}, lost)
		}
		got := ep.ejectedUntil > r.now
		if got != ejected || r.inSlowStart(ep) {
			t.Errorf("after %d lost connections: ejected %v, want %v; in slow start %v, want false", connections, got,
				ejected, r.inSlowStart(ep))
		}
	}
}

// A rejection by the cache itself must not count against the source, but one that took long enough to reach the
// source must.
func TestQuickRejectionsDoNotCountAgainstSources(t *testing.T) {
	for took, ejected := range map[Micros]bool{ms: false, 20 * ms: true} {
		fake := newFakeExecutor(plainPermissions)
		r := fake.router
		for i := range 12 {
			r.fastestAttempt = ms
			fake.arrive(videoRequest(i))
			for len(fake.outstanding) > 0 {
				r.SetTime(r.now + took)
				fake.end(0, AttemptResult{Outcome: Rejected, Elapsed: took})
			}
		}
		got := r.endpoints[4].ejections+r.endpoints[5].ejections > 0
		if got != ejected {
			t.Errorf("attempts rejected after %d ms: a parent was ejected: %v, want %v", took/ms, got, ejected)
		}
	}
}

// Guards against malicious clients: simultaneous failures must not eject an endpoint, and excessive sizes must have
// little effect on sending times.
func TestMaliciousClientsCauseNoEjection(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	fake.arrive(videoRequest(1))
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: ms / 10})
	before := r.classSendTimes[0]
	for i := range 20 {
		req := videoRequest(100 + i)
		req.SizeKB = 9e8
		fake.arrive(req)
		for len(fake.outstanding) > 0 {
			fake.advance(2 * ms)
			fake.end(0, AttemptResult{Outcome: Failed, Elapsed: 2 * ms})
		}
	}
	for i := range r.endpoints {
		ep := &r.endpoints[i]
		if ep.ejections > 0 || ep.fillLimit.capacity < initialFillLimit && ep.Tier == Parent {
			t.Errorf("endpoint %d: %d ejections, want none; fill limit %.1f, want at least %.1f at a parent", i, ep.ejections,
				ep.fillLimit.capacity, initialFillLimit)
		}
	}
	if r.classSendTimes[0] > before+2 { // although sending an object of 9e8 kB takes 900,000 s
		t.Errorf("the class's sending time is %.1f s, want at most 2 s more than the %.3f s before", r.classSendTimes[0],
			before)
	}
	fake.check(t)
}
