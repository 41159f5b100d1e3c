package routing

import "testing"

// If the caches of the zone have no free capacity, requests must be queued, and rejected once they can no longer meet
// their latency objective. Bypassing the caches would only overload the parents.
func TestZoneWithoutCapacityIsNotBypassed(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	for _, sent := range fake.outstanding {
		if fake.endpoints[sent.Cache].Tier != Edge {
			t.Fatalf("a request was sent to endpoint %d, bypassing the caches", sent.Cache)
		}
	}
	if len(fake.outstanding) == 500 || fake.rejected > 0 {
		t.Fatalf("%d of 500 requests were sent, want fewer; %d were rejected at once, want none", len(fake.outstanding),
			fake.rejected)
	}
	fake.advance(second)
	if fake.rejected == 0 {
		t.Fatal("no queued request was rejected after 1 s, although the latency objective is 700 ms")
	}
	fake.check(t)
}

// Guards against queued requests that are never admitted: those of weight 0 must be admitted when no others are
// queued.
func TestRequestsOfWeightZeroAreAdmitted(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	fake.router.classes = append([]Class(nil), fake.router.classes...)
	fake.router.classes[0].PriorityWeight = 0
	for i := range 500 {
		fake.arrive(videoRequest(i))
	}
	sent := len(fake.outstanding)
	if sent == 500 {
		t.Fatal("all 500 requests were sent, want some queued")
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 10 * ms})
	if len(fake.outstanding) < sent {
		t.Errorf("%d attempts in flight after one of %d has ended, want the same number: requests are queued",
			len(fake.outstanding), sent)
	}
}

// Guards against a second effect: a keyed request that may have run waits in the queue until its key window is over,
// and is sent again. It must get its final answer when the window ends, as failed, and must not be sent again.
func TestQueuedRepeatEndsWithItsKeyWindow(t *testing.T) {
	const keyed, window = 3, 300 * ms
	fake := newFakeExecutor(plainPermissions)
	classes := append([]Class(nil), testClasses...)
	classes[keyed].KeyWindow = window // shorter than the latency objective of 600 ms
	fake.classes, fake.router.classes = classes, classes
	sent := fake.router.now
	id := fake.arrive(Request{Class: keyed, Object: 5, Remaining: 3 * second, SizeKB: 10, Write: true,
		Tenant: NoTenant})
	for i := range 500 { // they use up the capacity of all caches
		fake.arrive(videoRequest(i))
	}
	fake.end(0, AttemptResult{Outcome: ConnectionLost, Elapsed: ms})
	if fake.answers[id] != 0 || fake.attempts[id] != 1 {
		t.Fatalf("%d final answers and %d attempts, want the request queued after its first attempt", fake.answers[id],
			fake.attempts[id])
	}
	fake.advance(window)
	if fake.answers[id] != 1 || fake.rejected != 0 {
		t.Errorf("%d final answers at the end of the key window, of which %d rejections, want one failure",
			fake.answers[id], fake.rejected)
	}
	fake.router.SetTime(sent + window + 10*ms)
	for len(fake.outstanding) > 0 && fake.attempts[id] == 1 { // capacity is free again
		fake.end(len(fake.outstanding)-1, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: window})
	}
	if fake.attempts[id] != 1 {
		t.Errorf("%d attempts, want no second one after the key window", fake.attempts[id])
	}
	fake.check(t)
}
