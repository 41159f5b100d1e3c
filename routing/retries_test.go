package routing

import "testing"

// Guards against a second effect: a keyed request that may have run is rejected as safe to retry only while its
// repeat is sure to be dropped, and a non-idempotent one never is.
func TestRejectedOnlyWhileRepeatsAreDropped(t *testing.T) {
	const keyed, oneShot = 3, 2
	for _, c := range []struct {
		name     string
		use      ClassID
		longest  Micros // until a client comes back
		runs     Micros // of the attempt, which fails
		deferred bool
	}{
		{"within the window", keyed, 0, second, true},
		{"the client may come back too late", keyed, second, second, false},
		{"the window is over", keyed, 0, 2 * second, false},
		{"never", oneShot, 0, 10 * ms, false},
	} {
		permissions := plainPermissions
		permissions.MaxAttempts, permissions.MaxRetryAfter = 1, c.longest
		fake := newFake(permissions)
		v := fake.arrive(Request{Class: c.use, Object: 5, Remaining: 5 * second, Write: true, Tenant: NoTenant})
		fake.router.SetTime(fake.router.now + c.runs)
		fake.end(0, AttemptResult{Outcome: ConnectionLost, Elapsed: c.runs})
		if fake.answers[v] != 1 || (fake.rejected == 1) != c.deferred {
			t.Errorf("%s: %d answers, retryable %v", c.name, fake.answers[v], fake.rejected == 1)
		}
	}
}
