package routing

import (
	"math"
	"testing"
)

// The keep time must follow its closed form. It must be zero if a copy costs more than it saves, and unlimited for an
// object that is never updated or has no known gap between requests.
func TestCopyKeepTime(t *testing.T) {
	const updateRate = 0.125
	for name, c := range map[string]struct{ gap, rate, alpha, want float64 }{
		"closed form": {10, updateRate, 0, 10 * (math.Sqrt(1+2/(agingCost*updateRate*10)) - 1)},
		"no gain":     {10, updateRate, 0.2, 0},
		"no updates":  {10, 0, 0, math.Inf(1)},
		"no gap":      {0, 1, 0, math.Inf(1)},
	} {
		got := copyKeepTime(c.gap, c.rate, c.alpha)
		if got != c.want && math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: keep time %v s, want %v s", name, got, c.want)
		}
	}
	if copyKeepTime(20, updateRate, 0) <= copyKeepTime(10, updateRate, 0) {
		t.Error("a longer gap does not give a longer keep time")
	}
}

// Shorter gaps must rank higher, a new object must have the middle rank, and a copy with a keep time of zero must
// not be kept.
func TestRanksFollowGaps(t *testing.T) {
	objects := &newFakeExecutor(plainPermissions).router.objects
	objects.typicalLogGap = math.Log(5)
	for gap, want := range map[float64]int{0: rankMiddle, 1: rankHigh, 60: rankMiddle, 200: rankLow} {
		if rank, _ := objects.rankAndMaxAge(&objectStats{gap: gap}, 0, 0); rank != want {
			t.Errorf("a gap of %v s has rank %d, want %d", gap, rank, want)
		}
	}
	objects.alpha = 1.0 / 60 // from a gap of 60 s on, a copy costs at least as much as a fill
	if rank, _ := objects.rankAndMaxAge(&objectStats{gap: 61}, 0, 0); rank != rankPassThrough {
		t.Errorf("a copy with a keep time of zero has rank %d, want %d", rank, rankPassThrough)
	}
}

// Misses within the keep time must raise alpha. Without misses it must return to zero.
func TestAlphaFollowsMissShare(t *testing.T) {
	objects := &objectTable{largestGap: 40}
	for range 2000 {
		objects.recordExpectedHit(true)
	}
	if objects.alpha < 0.2 {
		t.Fatalf("alpha %v after misses only, want at least 0.2", objects.alpha)
	}
	for range 2000 {
		objects.recordExpectedHit(false)
	}
	if objects.alpha != 0 {
		t.Fatalf("alpha %v after hits only, want 0", objects.alpha)
	}
}

// Guards against retries that accept fewer copies than first attempts: in a class without a freshness lifetime, a
// copy of any age is acceptable, whatever the grace.
func TestRetryAcceptsCopiesOfAnyAge(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.classes = append([]Class(nil), fake.router.classes...)
	fake.router.classes[0].Grace = 20 * second
	fake.arrive(videoRequest(1))
	if age := fake.outstanding[0].MaxAge; age != 0 {
		t.Fatalf("the first attempt accepts copies up to %d us old, want any age (0)", age)
	}
	fake.end(0, AttemptResult{Outcome: CacheMiss})
	if len(fake.outstanding) != 1 || fake.outstanding[0].MaxAge != 0 {
		t.Errorf("attempts in flight after a cache miss: %+v, want one retry that accepts any age", fake.outstanding)
	}
}
