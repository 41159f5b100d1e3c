package routing

import "testing"

// Guards against sending times of 0 where clients tell no size: an endpoint in slow start was sent hundreds of
// times what it bears.
func TestSendTimesWhereSizesAreNotTold(t *testing.T) {
	fake := newFake(plainPermissions)
	untold := func(object int) Request {
		a := videoRequest(object)
		a.SizeKB = 0
		return a
	}
	work := func(object int) Micros {
		v := fake.router.requests.Get(fake.arrive(untold(object)))
		w := v.sendTime
		if v.objective-v.arrived != 500*ms+2*w {
			t.Errorf("expected within %d ms of %d ms of sending", (v.objective-v.arrived)/ms, w/ms)
		}
		return w
	}
	if w := work(1); w != 500*ms || fake.router.cost(&request{}) != 0.5 {
		t.Errorf("with nothing known: %d ms", w/ms)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 900 * ms})
	if w := work(1); w != 500*ms {
		t.Errorf("after a fill, which also takes the fetching: %d ms", w/ms)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 200 * ms})
	if w := work(1); w != 200*ms {
		t.Errorf("after a hit: %d ms", w/ms)
	}
	fake.end(0, AttemptResult{Outcome: Rejected, Elapsed: ms})
	if w := work(2); w != 200*ms {
		t.Errorf("another object, by its class: %d ms", w/ms)
	}
	if a := fake.arrive(videoRequest(1)); fake.router.requests.Get(a).sendTime != 100*ms {
		t.Error("a size that is told goes first")
	}
	fake.check(t)
}
