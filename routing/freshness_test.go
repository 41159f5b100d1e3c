package routing

import (
	"math"
	"testing"
)

// The timer follows its closed form, and its guards: no updates, no gain, no gap.
func TestCopyTimer(t *testing.T) {
	want := 10 * (math.Sqrt(1+2/(agingCost*0.125*10)) - 1)
	if got := copyTimer(10, 0.125, 0); math.Abs(got-want) > 1e-9 {
		t.Fatalf("timer %v, want %v", got, want)
	}
	if copyTimer(10, 0.125, 0.2) != 0 || !math.IsInf(copyTimer(10, 0, 0), 1) || !math.IsInf(copyTimer(0, 1, 0), 1) {
		t.Fatal("guards of the closed form")
	}
}

// Shorter gaps rank higher, a new object gets the middle rank, and a timer of zero passes the fill through.
func TestRanksFollowGaps(t *testing.T) {
	fake := newFake(plainPermissions)
	l := &fake.router.objects
	l.typicalLogGap = math.Log(5)
	for gap, want := range map[float64]int{0: 2, 1: 3, 60: 2, 200: 1} {
		if rank, _ := l.rankAndMaxAge(&objectStats{gap: gap}, 0, 0); rank != want {
			t.Errorf("gap %v ranks %d, want %d", gap, rank, want)
		}
	}
	l.alpha = 1.0 / 60
	if rank, _ := l.rankAndMaxAge(&objectStats{gap: 61}, 0, 0); rank != 0 {
		t.Errorf("a zero timer is kept at rank %d", rank)
	}
}

// Copies missing within their timer raise alpha; without any it is zero.
func TestAlphaFollowsMissShare(t *testing.T) {
	l := &objectTable{largestGap: 40}
	for range 2000 {
		l.recordExpectedHit(true)
	}
	if l.alpha < 0.2 {
		t.Fatalf("alpha %v", l.alpha)
	}
	for range 2000 {
		l.recordExpectedHit(false)
	}
	if l.alpha != 0 {
		t.Fatalf("alpha %v", l.alpha)
	}
}
