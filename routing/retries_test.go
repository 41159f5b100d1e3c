package routing

import "testing"

// Guards against a second effect: a keyed request that may have run may be rejected as safe to retry only while its
// repeat is certain to be dropped, and a non-idempotent one never.
func TestRejectedOnlyWhileRepeatsAreDropped(t *testing.T) {
	const keyed, nonIdempotent = 3, 2
	for _, c := range []struct {
		name          string
		class         ClassID
		maxRetryAfter Micros
		failsAfter    Micros
		rejected      bool
	}{
		{"within the key window", keyed, 0, second, true},
		{"the client may retry too late", keyed, second, second, false},
		{"the key window is over", keyed, 0, 2 * second, false},
		{"non-idempotent", nonIdempotent, 0, 10 * ms, false},
	} {
		permissions := plainPermissions
		permissions.MaxAttempts = 1
		permissions.MaxRetryAfter = c.maxRetryAfter
		fake := newFakeExecutor(permissions)
		id := fake.arrive(Request{Class: c.class, Object: 5, Remaining: 5 * second, Write: true, Tenant: NoTenant})
		fake.router.SetTime(fake.router.now + c.failsAfter)
		fake.end(0, AttemptResult{Outcome: ConnectionLost, Elapsed: c.failsAfter})
		if fake.answers[id] != 1 || (fake.rejected == 1) != c.rejected {
			t.Errorf("%s: %d final answers, want 1; rejected %v, want %v", c.name, fake.answers[id], fake.rejected == 1,
				c.rejected)
		}
	}
}
