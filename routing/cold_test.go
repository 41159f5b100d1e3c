package routing

import (
	"math"
	"testing"
)

// maxRequestsInWindow is how many requests a cold cache may get in its window where the settings allow it n.
func maxRequestsInWindow(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Routers that know nothing of one another send a just-started cache no more than it bears in any window, two of them or 350, while
// requests come steadily, and when many come at once after a silence: what each has not used meanwhile may not add up.
func TestColdSumOfTheFleet(t *testing.T) {
	cold := SlowStart{InitialShare: 0.23, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms}
	listed := testEndpoints()
	const work = 0.25 // of a request
	type fleetOf struct {
		size  int
		bears float64 // work a second, of the cache
	}
	for no, x := range []fleetOf{{2, 5}, {2, 50}, {8, 5}, {24, 5}, {24, 50}, {100, 5}, {350, 5}, {350, 5}, {350, 5}, {350, 50}} {
		size, bears := x.size, x.bears
		for _, silence := range []Micros{0, second, 3 * second, 9 * second} {
			routers := make([]*Router, size)
			for i := range routers {
				fake := newFake(plainPermissions)
				fake.router.seed, fake.router.locality.ZoneRouters, fake.router.locality.FleetRouters = uint32(7919*i+104729*no+1), size, size
				fake.router.slowStart, fake.router.warmLoad = [2]SlowStart{cold, cold}, [2]float64{bears / 2 / float64(size), bears / float64(size)} // edge caches: by weight
				fake.router.classSendTimes[0] = work
				x := listed[1]
				x.Started, x.Weight = fake.router.now, 2 // told: no further caution
				fake.update(x)
				routers[i] = fake.router
			}
			begun := routers[0].now
			var sent []Micros
			first := 0
			for now := begun; now < begun+cold.Ramp; now += 10 * ms {
				if quiet := now - begun - second; quiet > 0 && quiet < silence {
					continue
				}
				for _, r := range routers {
					r.SetTime(now)
					if c, v := &r.endpoints[1], (&request{}); r.withinSlowStartBudget(c, v) {
						c.slowStartBudget.Take(r.cost(v))
						sent = append(sent, now)
					}
				}
				for len(sent) > first && sent[first] <= now-cold.OverloadWindow {
					first++
				}
				part := cold.InitialShare + (1-cold.InitialShare)*float64(now-begun)/float64(cold.Ramp)
				if n := cold.OverloadMultiple * part * bears * seconds(cold.OverloadWindow) / work; float64(len(sent)-first) > maxRequestsInWindow(n) {
					t.Errorf("%d routers, silent for %v s: %d in a window of %.0f, %.1f s after the start", size, seconds(silence),
						len(sent)-first, n, seconds(now-begun))
					break
				}
			}
			if got, may := float64(len(sent)), cold.OverloadMultiple*0.6*bears*seconds(cold.Ramp-silence)/work; got < may*0.4 {
				t.Errorf("%d routers, silent for %v s: only %.0f of some %.0f", size, seconds(silence), got, may)
			}
		}
	}
}

// Where clients tell no size, a request's sending time is what hits of its object took, else what those of its class take; with nothing
// known it is the whole expected time. Taken for nothing, a just-started cache was sent hundreds of times what it bears.
func TestSendingTimesWhereSizesAreUntold(t *testing.T) {
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

// A cold cache bears so many requests of mean work: where smaller ones are in demand than before, no more of them.
func TestColdBudgetCountsRequests(t *testing.T) {
	fake := newFake(plainPermissions)
	fake.router.classSendTimes[0], fake.router.classSendTimes[1] = 0.4, 0.08
	c := &fake.router.endpoints[1]
	for range 2000 {
		fake.router.recordSuccess(c, &request{Request: Request{Class: 0}})
		fake.router.recordSuccess(c, &request{Request: Request{Class: 1}})
	}
	fake.router.warmLoad[Edge] = 2.4 // ten requests a second
	x := testEndpoints()[1]
	x.Started = fake.router.now
	fake.update(x)
	sent := 0.0
	small := &request{Request: Request{Class: 1}}
	for range 150 {
		fake.router.SetTime(fake.router.now + 10*ms)
		for fake.router.withinSlowStartBudget(c, small) {
			c.slowStartBudget.Take(fake.router.slowStartCost(small, c))
			sent++
		}
	}
	if may := 2 * (0.2 + 0.8*1.5/16) * 10 * 1.5; sent > may || sent < may/4 {
		t.Errorf("%.0f small requests in a window that bears %.1f of mean work", sent, may)
	}
}

// What a cache is expected to hold may be missing there: no source that has just started is named for it, as such fills count nowhere.
func TestExpectedHitsSpareAColdSource(t *testing.T) {
	fake := newFake(plainPermissions)
	for range 2 { // the second one shows that it is kept
		fake.arrive(videoRequest(1))
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		fake.advance(100 * ms)
	}
	v := fake.arrive(videoRequest(1))
	e := fake.outstanding[0]
	if fake.router.requests.Get(v).attempts[0].mayFill || e.Source == e.Cache {
		t.Fatalf("with a warm source: %+v", e)
	}
	fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	x := testEndpoints()[e.Source]
	x.Started = fake.router.now
	fake.update(x)
	fake.router.warmLoad[Parent] = 20
	for range 20 { // some of these could afford it
		fake.advance(100 * ms)
		fake.arrive(videoRequest(1))
		if got := fake.outstanding[0]; got.Source == e.Source {
			t.Fatalf("with a cold source: %+v", got)
		}
		fake.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	}
	fake.check(t)
}
