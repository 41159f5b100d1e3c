package routing

import (
	"math"
	"testing"
)

// maxRequestsInWindow returns how many requests an endpoint in slow start may get in an overload window for which
// the settings permit a mean of n requests. The routers send independently of each other, so the number deviates by
// about the square root of n; a deviation of up to about three times that is accepted.
func maxRequestsInWindow(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartFleet is a number of independent routers that send requests to a cache that has just started.
type slowStartFleet struct {
	routers  []*Router
	settings SlowStart
	capacity float64  // of the cache, in seconds of sending per second
	cost     float64  // of a request, in seconds of sending
	sent     []Micros // times of the requests sent
}

func newSlowStartFleet(caseIndex, size int, capacity float64) *slowStartFleet {
	fleet := &slowStartFleet{
		routers:  make([]*Router, size),
		settings: SlowStart{InitialShare: 0.23, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms},
		capacity: capacity,
		cost:     0.25,
	}
	for i := range fleet.routers {
		fake := newFakeExecutor(plainPermissions)
		r := fake.router
		r.seed = uint32(7919*i + 104729*caseIndex + 1) // different for each router and case
		r.locality.ZoneRouters = size
		r.locality.FleetRouters = size
		r.slowStart = [2]SlowStart{fleet.settings, fleet.settings}
		r.warmLoad = [2]float64{ // per unit of weight; the cache below has a weight of 2
			Edge: capacity / 2 / float64(size), Parent: capacity / float64(size),
		}
		r.classSendTimes[0] = fleet.cost
		entry := testEndpoints()[1]
		entry.Started = r.now
		entry.Weight = 2
		fake.update(entry)
		fleet.routers[i] = r
	}
	return fleet
}

// send lets each router send one request to the cache if slow start permits, and returns the number of requests
// that all routers have sent in the overload window that ends now.
func (fleet *slowStartFleet) send(now Micros) int {
	for _, r := range fleet.routers {
		r.SetTime(now)
		cache, req := &r.endpoints[1], &request{}
		if r.withinSlowStartBudget(cache, req) {
			cache.slowStartBudget.Take(r.cost(req))
			fleet.sent = append(fleet.sent, now)
		}
	}
	inWindow := 0
	for inWindow < len(fleet.sent) && fleet.sent[len(fleet.sent)-1-inWindow] > now-fleet.settings.OverloadWindow {
		inWindow++
	}
	return inWindow
}

// permittedRequests returns the number of requests that the settings permit in a span, at a share of the full capacity.
func (fleet *slowStartFleet) permittedRequests(share float64, span Micros) float64 {
	return fleet.settings.OverloadMultiple * share * fleet.capacity * seconds(span) / fleet.cost
}

// Guards against routers that together overload an endpoint in slow start, whether there are 2 or 350: under a steady
// load, and after a silence, when all of them may have accumulated budget. Cases that are listed repeatedly have
// different seeds.
func TestSlowStartSumOverTheFleet(t *testing.T) {
	for caseIndex, c := range []struct {
		size     int
		capacity float64
	}{{2, 5}, {2, 50}, {8, 5}, {24, 5}, {24, 50}, {100, 5}, {350, 5}, {350, 5}, {350, 5}, {350, 50}} {
		for _, silence := range []Micros{0, second, 3 * second, 9 * second} {
			fleet := newSlowStartFleet(caseIndex, c.size, c.capacity)
			settings := fleet.settings
			start := fleet.routers[0].now
			for now := start; now < start+settings.Ramp; now += 10 * ms {
				sinceSilence := now - start - second
				if sinceSilence > 0 && sinceSilence < silence {
					continue
				}
				inWindow := fleet.send(now)
				share := settings.InitialShare + (1-settings.InitialShare)*float64(now-start)/float64(settings.Ramp)
				allowed := fleet.permittedRequests(share, settings.OverloadWindow)
				if float64(inWindow) > maxRequestsInWindow(allowed) {
					t.Errorf("%d routers, silent for %v s: %d requests in the overload window %.1f s after the start, "+
						"want at most %.0f", c.size, seconds(silence), inWindow, seconds(now-start), maxRequestsInWindow(allowed))
					break
				}
			}
			// 0.6 is about the mean share of the capacity over the ramp.
			sent, allowed := float64(len(fleet.sent)), fleet.permittedRequests(0.6, settings.Ramp-silence)
			if sent < allowed*0.4 {
				t.Errorf("%d routers, silent for %v s: %.0f requests in the ramp, want at least 40%% of the %.0f permitted", c.size,
					seconds(silence), sent, allowed)
			}
		}
	}
}

// An endpoint in slow start must not get more requests if they are smaller than the mean: the number of requests that
// it can carry is limited, too.
func TestSlowStartBudgetLimitsSmallRequests(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	r.classSendTimes[0] = 0.4
	r.classSendTimes[1] = 0.08
	cache := &r.endpoints[1]
	for range 2000 {
		r.recordSuccess(cache, &request{Request: Request{Class: 0}})
		r.recordSuccess(cache, &request{Request: Request{Class: 1}})
	}
	r.warmLoad[Edge] = 2.4 // ten requests per second of the mean size, which take 0.24 s each
	entry := testEndpoints()[1]
	entry.Started = r.now
	fake.update(entry)
	sent := 0.0
	small := &request{Request: Request{Class: 1}}
	for range 150 { // for one overload window of 1.5 s
		r.SetTime(r.now + 10*ms)
		for r.withinSlowStartBudget(cache, small) {
			cache.slowStartBudget.Take(r.slowStartCost(small, cache))
			sent++
		}
	}
	// The overload multiple, the share of the ramp after 1.5 s of 16 s, the requests per second, and the window.
	allowed := 2 * (0.2 + 0.8*1.5/16) * 10 * 1.5
	if sent > allowed || sent < allowed/4 {
		t.Errorf("%.0f small requests in an overload window, want %.1f to %.1f", sent, allowed/4, allowed)
	}
}

// Guards against fills that count in no limit: a request that is expected to be a hit is not counted as a fill, but
// becomes one if the cache has dropped the copy, so it must not name a source in slow start.
func TestExpectedHitsNameNoSlowStartingSource(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	for range 2 { // the second request shows that the copy is kept
		fake.arrive(videoRequest(1))
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		fake.advance(100 * ms)
	}
	id := fake.arrive(videoRequest(1))
	plan := fake.outstanding[0].ForwardPlan
	if fake.router.requests.Get(id).attempts[0].expectFill || plan.Source == plan.Cache {
		t.Fatalf("with a warm source the plan is %+v, want an expected hit with a source other than the cache", plan)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	entry := testEndpoints()[plan.Source]
	entry.Started = fake.router.now
	fake.update(entry)
	fake.router.warmLoad[Parent] = 20
	for range 20 { // the slow-start budget permits some of these requests
		fake.advance(100 * ms)
		fake.arrive(videoRequest(1))
		got := fake.outstanding[0].ForwardPlan
		if got.Source == plan.Source {
			t.Fatalf("the plan %+v names endpoint %d as source, which is in slow start", got, plan.Source)
		}
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	}
	fake.check(t)
}

// A cache or parent in slow start must get no more load in a window than the settings permit.
func TestSlowStartBudget(t *testing.T) {
	for _, id := range []EndpointID{1, 4} {
		fake := newFakeExecutor(plainPermissions)
		fake.router.warmLoad = [2]float64{2, 2}
		entry := testEndpoints()[id]
		entry.Started = fake.router.now
		fake.update(entry)
		sent := 0.0
		for i := range 1500 {
			fake.router.SetTime(fake.router.now + ms)
			fake.arrive(videoRequest(i))
			last := fake.outstanding[len(fake.outstanding)-1]
			if last.Cache == id || last.Source == id {
				sent += 0.1 // the seconds that sending the object takes
			}
			for len(fake.outstanding) > 0 {
				fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
			}
		}
		// The overload multiple, a bound of the ramp's share within the window, the warm load, and the window of 1.5 s.
		allowed := 2 * 0.3 * 2 * 1.5
		if sent > allowed || sent == 0 {
			t.Errorf("endpoint %d got %.2f s of sending, want more than 0 and at most %.2f s", id, sent, allowed)
		}
	}
}

// Many routers that try a parent after its ejection must together stay within its slow-start budget.
func TestManyRoutersStayWithinSlowStartBudget(t *testing.T) {
	const routers, capacity = 80, 0.3
	sent := 0.0
	for i := range routers {
		fake := newFakeExecutor(plainPermissions)
		r := fake.router
		r.seed = uint32(i)
		r.locality.FleetRouters = routers
		r.warmLoad = [2]float64{capacity, capacity}
		r.eject(&r.endpoints[4], true)
		fake.advance(firstEjectionDuration)
		for object := range 15 {
			fake.advance(100 * ms)
			fake.arrive(videoRequest(object))
			if fake.outstanding[len(fake.outstanding)-1].Source == 4 {
				sent += 0.1 // the seconds that sending the object takes
			}
			fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		}
	}
	allowed := 2 * 0.3 * capacity * routers * 1.5 // as in TestSlowStartBudget
	if sent > allowed || sent == 0 {
		t.Fatalf("the parent got %.1f s of sending, want more than 0 and at most %.1f s", sent, allowed)
	}
}

// The slow-start budget of an endpoint must be proportional to its listed weight.
func TestSlowStartBudgetIsProportionalToWeight(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	r.warmLoad[Edge] = 2
	r.classSendTimes[0] = 0.01
	var spent [2]float64
	for i, weight := range []float64{2, 6} {
		entry := testEndpoints()[1]
		entry.Started = r.now
		entry.Weight = weight
		fake.update(entry)
		cache, req := &r.endpoints[1], &request{}
		for range 1500 {
			r.SetTime(r.now + ms)
			if r.withinSlowStartBudget(cache, req) {
				cache.slowStartBudget.Take(0.01)
				spent[i] += 0.01
			}
		}
	}
	ratio := spent[1] / spent[0]
	if ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("an endpoint with three times the weight got %.1f times the load, want 2.5 to 3.5", ratio)
	}
}

// Guards against a cold cache that is taken for its whole zone: when a lost zone returns, and the list tells of one
// cache before the others, that cache must not be assumed to carry the load of all.
func TestFirstCacheOfALostZoneIsNotTakenForTheZone(t *testing.T) {
	fake := newFakeExecutor(plainPermissions)
	r := fake.router
	r.locality.LinkKBPerSecond = []float64{0, 40_000} // 40 answers at once: 10 for each of the four caches
	r.classSendTimes[0] = 0.1
	var removed []Endpoint
	for _, entry := range testEndpoints()[:4] {
		entry.State = Removed
		removed = append(removed, entry)
	}
	fake.update(removed...)
	fake.advance(8 * second)
	first := testEndpoints()[0]
	first.Started = r.now
	fake.update(first)
	sent := 0.0
	cache, req := &r.endpoints[0], &request{}
	for range 1500 { // milliseconds: one overload window
		r.SetTime(r.now + ms)
		if r.withinSlowStartBudget(cache, req) {
			cache.slowStartBudget.Take(r.slowStartCost(req, cache))
			sent += r.slowStartCost(req, cache)
		}
	}
	// The overload multiple, the ramp's share after the window, a cache's share of the link, and the window.
	allowed := 2 * (0.2 + 0.8*1.5/16) * 10 * 1.5
	if sent > allowed || sent == 0 {
		t.Errorf("the first cache got %.1f s of sending, want more than 0 and at most %.1f s", sent, allowed)
	}
}
