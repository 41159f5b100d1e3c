package routing

import (
	"math"
	"testing"
)

// bearable is how many requests a cold cache may get in its window where the settings allow it n.
func bearable(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Routers that know nothing of one another send a just-started cache no more than it bears in any window, two of them or 350, while
// requests come steadily, and when many come at once after a silence: what each has not used meanwhile may not add up.
func TestColdSumOfTheFleet(t *testing.T) {
	cold := SlowStart{InitialShare: 0.23, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms}
	listed := fleet()
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
				d := bench(plainLeave)
				d.r.seed, d.r.branch.ZoneRouters, d.r.branch.FleetRouters = uint32(7919*i+104729*no+1), size, size
				d.r.cold, d.r.borne = [2]SlowStart{cold, cold}, [2]float64{bears / 2 / float64(size), bears / float64(size)} // edge caches: by weight
				d.r.work[0] = work
				x := listed[1]
				x.Started, x.Weight = d.r.now, 2 // told: no further caution
				d.list(x)
				routers[i] = d.r
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
					if c, v := &r.caches[1], (&visit{}); r.affords(c, v) {
						c.bucket.Take(r.cost(v))
						sent = append(sent, now)
					}
				}
				for len(sent) > first && sent[first] <= now-cold.OverloadWindow {
					first++
				}
				part := cold.InitialShare + (1-cold.InitialShare)*float64(now-begun)/float64(cold.Ramp)
				if n := cold.OverloadMultiple * part * bears * seconds(cold.OverloadWindow) / work; float64(len(sent)-first) > bearable(n) {
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
	d := bench(plainLeave)
	untold := func(object int) Request {
		a := video(object)
		a.SizeKB = 0
		return a
	}
	work := func(object int) Micros {
		v := d.r.visits.Get(d.arrive(untold(object)))
		w := v.work
		if v.aim-v.came != 500*ms+2*w {
			t.Errorf("expected within %d ms of %d ms of sending", (v.aim-v.came)/ms, w/ms)
		}
		return w
	}
	if w := work(1); w != 500*ms || d.r.cost(&visit{}) != 0.5 {
		t.Errorf("with nothing known: %d ms", w/ms)
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled, Elapsed: 900 * ms})
	if w := work(1); w != 500*ms {
		t.Errorf("after a fill, which also takes the fetching: %d ms", w/ms)
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, Elapsed: 200 * ms})
	if w := work(1); w != 200*ms {
		t.Errorf("after a hit: %d ms", w/ms)
	}
	d.end(0, AttemptResult{Outcome: Rejected, Elapsed: ms})
	if w := work(2); w != 200*ms {
		t.Errorf("another object, by its class: %d ms", w/ms)
	}
	if a := d.arrive(video(1)); d.r.visits.Get(a).work != 100*ms {
		t.Error("a size that is told goes first")
	}
	d.check(t)
}

// A cold cache bears so many requests of mean work: where smaller ones are in demand than before, no more of them.
func TestColdBudgetCountsRequests(t *testing.T) {
	d := bench(plainLeave)
	d.r.work[0], d.r.work[1] = 0.4, 0.08
	c := &d.r.caches[1]
	for range 2000 {
		d.r.answered(c, &visit{Request: Request{Class: 0}})
		d.r.answered(c, &visit{Request: Request{Class: 1}})
	}
	d.r.borne[Edge] = 2.4 // ten requests a second
	x := fleet()[1]
	x.Started = d.r.now
	d.list(x)
	sent := 0.0
	small := &visit{Request: Request{Class: 1}}
	for range 150 {
		d.r.SetTime(d.r.now + 10*ms)
		for d.r.affords(c, small) {
			c.bucket.Take(d.r.price(small, c))
			sent++
		}
	}
	if may := 2 * (0.2 + 0.8*1.5/16) * 10 * 1.5; sent > may || sent < may/4 {
		t.Errorf("%.0f small requests in a window that bears %.1f of mean work", sent, may)
	}
}

// What a cache is expected to hold may be missing there: no source that has just started is named for it, as such fills count nowhere.
func TestExpectedHitsSpareAColdSource(t *testing.T) {
	d := bench(plainLeave)
	for range 2 { // the second one shows that it is kept
		d.arrive(video(1))
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Filled})
		d.pass(100 * ms)
	}
	v := d.arrive(video(1))
	e := d.out[0]
	if d.r.visits.Get(v).trips[0].mayFill || e.Source == e.Cache {
		t.Fatalf("with a warm source: %+v", e)
	}
	d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	x := fleet()[e.Source]
	x.Started = d.r.now
	d.list(x)
	d.r.borne[Parent] = 20
	for range 20 { // some of these could afford it
		d.pass(100 * ms)
		d.arrive(video(1))
		if got := d.out[0]; got.Source == e.Source {
			t.Fatalf("with a cold source: %+v", got)
		}
		d.end(0, AttemptResult{Outcome: Succeeded, CacheStatus: Hit})
	}
	d.check(t)
}
