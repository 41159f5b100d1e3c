package routing

import "testing"

// After a purge the accepted age must be positive and count from the time of the purge, not of its report.
func TestPurgedCopiesAreNotAccepted(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.Purged(videoRequest(3).Object, 0, false, 200*ms)
	fake.router.SetTime(fake.router.now + 300*ms)
	fake.arrive(videoRequest(3))
	maxAge := fake.outstanding[0].MaxAge
	if maxAge <= 0 || maxAge > 500*ms {
		t.Fatalf("max age %d us, want more than 0 and at most the 500 ms since the purge", maxAge)
	}
}
