package routing

import "testing"

// Guards against sending times of 0 if clients give no sizes. With them, an endpoint in slow start gets hundreds of
// times the load that it can carry.
func TestSendTimesWhereSizesAreUnknown(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	sendTime := func(object int) Micros {
		unsized := videoRequest(object)
		unsized.SizeKB = 0
		req := r.requests.Get(fake.arrive(unsized))
		if req.objective-req.arrived != 500*ms+2*req.sendTime { // the latency objective and SendTimeFactor of class 0
			t.Errorf("objective of %d ms with a sending time of %d ms, want 500 ms and twice the sending time",
				(req.objective-req.arrived)/ms, req.sendTime/ms)
		}
		return req.sendTime
	}
	if got := sendTime(1); got != 500*ms || r.cost(&request{}) != 0.5 {
		t.Errorf("without any statistics: sending time %d ms, want the default of 500 ms", got/ms)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 900 * ms})
	if got := sendTime(1); got != 500*ms {
		t.Errorf("after a fill, whose time includes the fetch: sending time %d ms, want 500 ms", got/ms)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 200 * ms})
	if got := sendTime(1); got != 200*ms {
		t.Errorf("after a hit: sending time %d ms, want the 200 ms of the hit", got/ms)
	}
	fake.end(0, AttemptResult{Outcome: Rejected, Elapsed: ms})
	if got := sendTime(2); got != 200*ms {
		t.Errorf("another object of the class: sending time %d ms, want the 200 ms of its class", got/ms)
	}
	id := fake.arrive(videoRequest(1))
	if r.requests.Get(id).sendTime != 100*ms {
		t.Errorf("sending time of an object of known size %d ms, want the 100 ms of its size", r.requests.Get(id).sendTime/ms)
	}
	fake.check(t)
}
