// Package decide holds every decision of the router: this file alone has the rules of choice, the tables
// and the tuned values. Its interface is api.go; docs/design.md tells what it follows and where it departs.
//
// How it is called: New makes a router. Before each event Clock tells the time, then one of List, ListLost,
// Arrive, TripEnded, Started, Left, Purged, Probed, Woke tells what happened. Results go to the Desk within
// that call. state.go has the records, and move, the one function that changes a visit's state.
//
// The design (learned accepted age) decides each ordinary visit: see judge and plan. Beside it stand:
//  1. spill: a home cache without room or at rest passes its visits on along the same hash order; if switched
//     on, what lies at another cache of the branch is fetched from there, and others are asked who holds it
//  2. limits on what is in flight, up by one, cut by a share: trips at a cache, fills from a source and over
//     the branch's link, fetches; a visit still gets what its cache or, short of fetches, its parent holds
//  3. waiting: a visit that finds no room, at a cache or for a fill, waits while it can still be in time
//  4. rest: a cache or source that shows itself dead is left alone for a while, then tried by one trip
//  5. cold budgets: a just-started cache or parent gets this router's share of what it can bear
//  6. background work: copies are renewed ahead where limits are half free, and probes tell who is there
package routing

import (
	"fmt"
	"math"
	"slices"

	"threadrun/internal/hash"
	"threadrun/internal/lru"
	"threadrun/internal/tokenbucket"
)

const (
	ms     = Micros(1000)
	second = 1000 * ms

	// The design's own values, and its open ones: c_f, c_a and the rank cut points.
	theta      = 0.005 // weight of one sample in every smoothed figure of the design
	costFill   = 1.0
	costAge    = 5.0
	missTarget = 0.1 // share of kept copies that may be missing within their timer
	tableMost  = 1 << 15

	cutHigh, cutLow = 8.0, 30.0 // of the typical gap: rank 3 below the first, rank 1 above the second

	workTimed    = 0.05   // weight of a longer time in an object's own
	workMost     = 20.0   // times its expected time: the most that a visit's sending time counts in the mean
	tripsMost    = 3      // one and up to two further ones
	answerMargin = 4 * ms // a trip ends this long before the client's time is up

	tripsFirst = 20.0 // limits at the start: at a cache for the whole crew, on fills for each router
	tripsSlow  = 2    // limits at caches grow slower by this: visits in them take long to drain
	fillsFirst = 16.0
	linkFirst  = 2.0 // times the transfers that fit the branch's link at full pace
	few        = 2.5 // sharers of a limit who need not mind one another
	limitCut   = 0.7
	idleCut    = 0.005    // for each good end that finds less than half of a limit in use
	spare      = 0.35     // of the expected time that must be left, or a limit is cut
	cutPause   = 300 * ms // one cut for one jam
	lateMore   = 0.15     // share of late ends over the router's at which lateness is a cache's own
	lateKeeps  = 6.0      // seconds
	goneLate   = 0.05     // share of good ends that are late, below which a time-out is an answer gone missing

	restFirst, restMost = 300 * ms, 4 * second

	deadStrikes = 2        // after which a cache that answers again is taken for just started
	sourceFails = 3        // failures with nothing good meanwhile, after which a source rests
	doorTimes   = 4        // a refusal that took so many times the quickest answer is its source's,
	doorLeast   = 3 * ms   // and no sooner: a machine's own load may take that long
	quickKeeps  = 5.0      // seconds
	quickPardon = 0.98     // what is left of a slower parent's figure each time it is passed by
	quickTie    = 1.3      // sources nearer than this are equally quick: the hash decides
	quickBase   = 20_000.0 // added to both

	budgetRate              = 0.9       // of a cold cache's allowance, as a steady rate
	budgetBlind             = 0.7       // of that where many routers each have a burst and sizes are not told
	budgetBurst             = 0.2       // of one window's allowance, at once
	budgetKeeps             = 0.1       // of one window: so long a router's turn for a single request holds
	budgetFloor             = 2.0       // work a second that a warm one is taken to bear where nothing is known
	bearWeight, bearForgets = 0.05, 0.2 // of that weight for less than before

	tickEvery    = 250 * ms
	troubleKeeps = 1.0 // seconds

	aheadVisits = 0.5        // that a renewed copy must expect within its timer
	aheadOldest = 0.5        // of its fresh time: a copy older than that is fetched anew
	behindPart  = 0.5        // of each limit, that background work may find in use
	cutCalm     = 500 * ms   // since a limit was cut
	probeOld    = 2 * second // what a probe showed longer ago says nothing
	probeWork   = 0.0005     // seconds of a cache's work

	troubleOn, troubleOff = 0.15, 0.05 // share of trips refused or too slow at which overload begins and ends
)

var follows = [...][]State{
	Vacant: {Arrived}, Arrived: {OnTrip, Waiting, Answered}, OnTrip: {Between, Streaming, Answered},
	Between: {OnTrip, Waiting, Answered}, Waiting: {OnTrip, Answered}, Streaming: {Answered},
	Answered: {Released}, Released: {},
}

// New makes a router from what is told at start.
func New(seed uint32, desk Executor, cases []Class, tenants []Tenant, branch Locality, leave Permissions,
	edge, parent SlowStart, purges PurgeTiming) *Router {
	branch.ZoneRouters, branch.FleetRouters = max(branch.ZoneRouters, 1), max(branch.FleetRouters, 1)
	r := &Router{desk: desk, cases: cases, branch: branch, leave: leave, cold: [2]SlowStart{edge, parent},
		purge: purges, origin: NoEndpoint, tenants: tenants, marks: map[uint64]Micros{}, seed: seed, door: second,
		quotas: make([]tokenbucket.Bucket, len(tenants)), work: make([]float64, len(cases)),
		ledger: ledger{objects: lru.New[object](tableMost)}}
	r.mark = func(id EndpointID) uint64 { return r.caches[id].NameHash }
	r.link, r.fetch = limit{most: fillsFirst, of: branch.ZoneRouters}, limit{most: fillsFirst, of: branch.FleetRouters}
	if fits := r.fits(); fits > 0 {
		r.link.most = linkFirst * fits / float64(branch.ZoneRouters)
	}
	return r
}

// visited counts a visit: the first observed gap is the first estimate.
func (l *ledger) visited(key uint64, now Micros) *object {
	o, made := l.objects.GetOrAdd(key)
	if made {
		o.kept = NoEndpoint
	} else if s := seconds(now - o.seen); s > 0 {
		smooth(&o.gap, s, theta)
		l.largest = math.Max(l.largest, o.gap)
		l.typical += theta * (math.Log(o.gap) - l.typical)
	}
	o.seen = now
	return o
}

// timer is the closed form of Algorithm 1: how long a copy is worth keeping, in seconds.
func timer(gap, rate, alpha float64) float64 {
	gain := costFill - gap*alpha
	if gain <= 0 {
		return 0
	}
	if rate <= 0 || gap <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, gap*(math.Sqrt(1+2*gain/(costAge*rate*gap))-1))
}

// judge gives the rank at which a fill is kept (0: passed through) and the accepted age (0: any).
func (l *ledger) judge(o *object, fresh, grace Micros) (rank int, oldest Micros) {
	if o.gap == 0 { // a new object: the default age, the middle rank
		return 2, fresh
	}
	rate := o.updateRate(fresh)
	if fresh > 0 {
		oldest = min(max(micros(timer(o.gap, rate, 0)), fresh), fresh+grace)
	}
	switch rel := math.Log(o.gap) - l.typical; {
	case timer(o.gap, rate, l.alpha) == 0:
		return 0, oldest
	case rel < math.Log(cutHigh):
		return 3, oldest
	case rel < math.Log(cutLow):
		return 2, oldest
	}
	return 1, oldest
}

// ahead tells whether a copy is worth a fill before anyone asks: the branch is expected to ask for it within
// its timer and its fresh time.
func (l *ledger) ahead(o *object, fresh Micros, crew int) bool {
	gap := o.gap / float64(crew) // each router sees its part of the visits
	return gap > 0 && math.Min(timer(gap, o.updateRate(fresh), l.alpha), seconds(fresh)) >= aheadVisits*gap
}

// updateRate counts one update a fresh time for an object that gets no purge notices.
func (o *object) updateRate(fresh Micros) float64 {
	if !o.purged && fresh > 0 {
		return 1 / seconds(fresh)
	}
	return o.rate
}

// keep notes where a copy lies after a fill, or a hit that showed one; the timer starts with the fill.
func (l *ledger) keep(o *object, c *cache, filled bool, fresh, now Micros) {
	if filled {
		if t := seconds(now - o.fetched); o.purged && o.fetched > 0 && t > 0 {
			o.rate += theta * (float64(o.updates)/t - o.rate)
		}
		o.updates, o.fetched = 0, now
	}
	if filled || o.kept != c.ID || o.run != c.Started {
		o.kept, o.run, o.keptAt = c.ID, c.Started, now
	}
	o.timer = micros(timer(o.gap, o.updateRate(fresh), l.alpha))
}

// met counts a visit at a cache that should hold a copy still; alpha follows the share that did not.
func (l *ledger) met(missing bool) {
	l.share -= theta * l.share
	if missing {
		l.share += theta
	}
	l.alpha = costFill * math.Max(0, l.share/missTarget-1) / math.Max(l.largest, 0.001)
}

// holds tells whether a cache should hold a copy for this visit still, lies whether one may lie there at all.
func (r *Router) holds(v *visit, o *object, c *cache) bool {
	return o != nil && r.now-o.keptAt < o.timer && r.lies(v, o, c)
}

func (r *Router) lies(v *visit, o *object, c *cache) bool {
	at, purged := r.purgedAt(v)
	fresh := r.cases[v.Class].FreshnessLifetime
	return o.kept == c.ID && o.run == c.Started && !(purged && at > o.keptAt) &&
		(fresh == 0 || r.now-o.keptAt < fresh)
}

// UpdateEndpoints takes a list of caches, whole or only what changed.
func (r *Router) UpdateEndpoints(list []Endpoint, whole bool) {
	trips := limit{most: tripsFirst / float64(r.branch.ZoneRouters), of: tripsSlow * r.branch.ZoneRouters}
	r.enter(list, whole, cache{trips: trips, fills: limit{most: fillsFirst, of: r.branch.FleetRouters}})
	if r.nextTick == 0 {
		r.nextTick = r.now + tickEvery
		r.desk.SetTimer(r.nextTick)
		if r.leave.WatchEndpoints {
			r.desk.WatchEndpoints()
		}
	}
}

// prepare fills in a visit's own figures.
func (r *Router) prepare(v *visit) {
	use := &r.cases[v.Class]
	v.Write, v.key, v.ranAt = v.Write || use.Write, hash.Combine(uint64(v.Object), uint64(v.Part)), NoEndpoint
	v.work = micros(r.meanWork(v.Class))
	if r.branch.StreamKBPerSecond > 0 && v.SizeKB > 0 {
		v.work = micros(v.SizeKB / r.branch.StreamKBPerSecond)
	} else if o := r.ledger.objects.Peek(v.key); o != nil && o.work > 0 {
		v.work = micros(o.work)
	}
	v.came, v.ends = r.now, r.now+v.Remaining-answerMargin
	v.aim = min(r.now+use.LatencyObjective+Micros(use.SendTimeFactor*float64(v.work)), v.ends)
}

// RequestArrived takes a visit; from here on one final answer is owed.
func (r *Router) RequestArrived(a Request) {
	id, v := r.visits.Allocate()
	*v = visit{Request: a, id: id}
	v.move(Arrived)
	r.desk.Accepted(id)
	if most := seconds(r.cases[a.Class].LatencyObjective); r.branch.StreamKBPerSecond > 0 && a.SizeKB > 0 { // clients say any size
		smooth(&r.work[a.Class], math.Min(a.SizeKB/r.branch.StreamKBPerSecond, workMost*most), theta)
	}
	r.prepare(v)
	if t := int(a.Tenant); t >= 0 && t < len(r.tenants) { // each router counts against its even part of a share
		rate := r.tenants[t].QuotaPerSecond / float64(r.branch.FleetRouters)
		if v.over = r.quotas[t].Refill(seconds(r.now), rate, max(rate, 1)) < 1; !v.over {
			r.quotas[t].Take(1)
		}
	}
	if !v.Write && !v.Background {
		o := r.ledger.visited(v.key, r.now)
		if at, ok := r.purgedAt(v); ok && at > o.fetched && o.updates == 0 {
			o.updates, o.purged = 1, true
		}
	}
	r.proceed(v)
}

// AttemptEnded takes the end of one trip.
func (r *Router) AttemptEnded(id RequestID, rep AttemptResult) {
	v := r.visits.Get(id)
	if v == nil || int(rep.Attempt) >= v.n || v.trips[rep.Attempt].ended {
		return
	}
	t := &v.trips[rep.Attempt]
	t.ended = true
	v.out--
	r.book(t, -1)
	if !rep.Outcome.ProvesNotRun() && rep.Outcome != Succeeded && !v.ran {
		v.ran, v.ranSince, v.ranAt = true, t.sent, t.cache
	}
	r.observe(v, t, rep)
	r.timed(v, rep)
	r.learn(v, t, rep)
	if rep.RequestDone && v.move(Answered) || v.state == Answered {
		r.release(v)
	} else if v.out == 0 && v.move(Between) {
		r.further(v, t, rep.Outcome)
	}
	r.admit()
}

// further decides after a trip that did not deliver.
func (r *Router) further(v *visit, t *trip, end Outcome) {
	idle := end == CacheMiss || end == ConnectFailed || end == NotSent // costs little and says nothing of a crowd
	if v.Background || v.n >= min(tripsMost, r.leave.MaxAttempts) || r.now >= v.ends || r.heavy && !idle ||
		!r.mayRepeat(v, r.now) {
		r.giveUp(v)
		return
	}
	v.lacked = v.lacked || end == CacheMiss && t.heldOnly
	if end == CacheMiss && (t.source == t.cache || t.heldOnly) {
		v.looked = true
		if r.wait(v); r.asks && v.state == Waiting {
			r.desk.LocateCopies(v.id)
		}
		return
	}
	r.proceed(v)
}

// waitsUntil is the last moment at which a trip may still set out and be in time.
func (v *visit) waitsUntil() Micros { return v.aim - 2*v.work }

// wait holds a visit until there is room for its trip; the wake is for giving it up once it is too late.
func (r *Router) wait(v *visit) {
	if v.move(Waiting) {
		r.waiting = append(r.waiting, v.id)
		r.desk.SetTimer(max(v.waitsUntil(), r.now) + ms)
	}
}

// admit lets waiting visits have the room that has come free, the worthiest for their bytes first,
// and gives up those that could no longer be in time. It wards off losing to a moment's crowd.
func (r *Router) admit() {
	for {
		var best *visit
		most, left := 0.0, r.waiting[:0]
		for _, id := range r.waiting {
			v := r.visits.Get(id)
			if v == nil || v.state != Waiting {
				continue
			} else if r.now > v.waitsUntil() {
				r.giveUp(v)
				continue
			}
			left = append(left, id)
			worth := r.cases[v.Class].PriorityWeight / (seconds(v.work) + r.cost(v))
			if v.over { // a tenant's visits beyond its share wait behind the others
				worth *= r.tenants[v.Tenant].OverQuotaWeight
			}
			if worth > most {
				if e, _, ok := r.plan(v); ok && (e.Source != e.Cache || !v.looked) {
					best, most = v, worth
				}
			}
		}
		if r.waiting = left; best == nil {
			return
		}
		r.proceed(best)
	}
}

// mayRepeat wards off a second effect: a trip that may have run binds those after it.
func (r *Router) mayRepeat(v *visit, at Micros) bool {
	use := &r.cases[v.Class]
	return !v.ran || use.Effect == Idempotent || use.Effect == Keyed && at-v.ranSince < use.KeyWindow-100*ms
}

// mayComeBack tells whether its client may ask again at any cache, as late as it may be told to.
func (r *Router) mayComeBack(v *visit) bool {
	anywhere := !v.ran || r.cases[v.Class].Effect == Idempotent || r.cases[v.Class].KeyScope == KeyScopeFleet
	return anywhere && r.mayRepeat(v, r.now+r.leave.MaxRetryAfter)
}

// inReach tells whether a stamped visit's repeat would be known at this cache.
func (r *Router) inReach(v *visit, c *cache) bool {
	use := &r.cases[v.Class]
	if !v.ran || use.Effect != Keyed || use.KeyScope == KeyScopeFleet {
		return true
	}
	ran := &r.caches[v.ranAt]
	return c.Zone == ran.Zone && (use.KeyScope == KeyScopeZone || c.Cell == ran.Cell)
}

// giveUp gives the final answer at once; only a deferral promises that trying again is harmless.
func (r *Router) giveUp(v *visit) {
	if !v.move(Answered) {
		return
	}
	if r.now >= v.ends || v.Background && v.n > 0 || !r.mayComeBack(v) {
		r.desk.Fail(v.id)
	} else {
		r.desk.Reject(v.id, Micros(float64(r.leave.MaxRetryAfter)*(0.5+0.5*r.chance())))
	}
	r.release(v)
}

// proceed sends the next trip, or gives up where there is none to send.
func (r *Router) proceed(v *visit) {
	e, mayFill, ok := r.plan(v)
	if v.Background && (!ok || !r.spared(v, e)) {
		r.giveUp(v)
		return
	}
	if up := func(id EndpointID) bool { return r.usable(&r.caches[id]) }; !ok && slices.ContainsFunc(r.edges, up) &&
		r.now < v.waitsUntil() { // some cache of the branch is up, if crowded or cold
		r.wait(v)
		return
	}
	if !ok || e.Deadline <= r.now || !v.move(OnTrip) {
		r.giveUp(v)
		return
	}
	t := &v.trips[v.n]
	*t = trip{cache: e.Cache, source: e.Source, sent: r.now, rank: e.Rank, mayFill: mayFill,
		fetches: mayFill && !e.OnlyIfCached, heldOnly: e.OnlyIfCached && r.caches[e.Source].Tier != Edge}
	v.n++
	v.out++
	r.book(t, 1)
	for _, id := range [2]EndpointID{e.Cache, e.Source} {
		if c := &r.caches[id]; r.isCold(c) && (id == e.Cache || mayFill) {
			c.bucket.Take(r.price(v, c))
		}
	}
	if src := &r.caches[e.Source]; mayFill && e.Source != e.Cache && src.overdue == 0 {
		src.overdue = v.aim
	}
	v.beside = r.asks && (v.beside || e.Source != e.Cache && r.caches[e.Source].Tier == Edge)
	if c := &r.caches[e.Cache]; r.asks && mayFill && !v.Background && !v.beside && c.Tier == Edge &&
		(r.isCold(c) || r.order.Rank(v.key, r.edges, r.mark)[0] != e.Cache) {
		r.desk.LocateCopies(v.id)
	}
	r.desk.Forward(v.id, e)
}

// plan is the ordinary path: the design's age and rank, the hashed cache, the quicker source.
func (r *Router) plan(v *visit) (e ForwardPlan, mayFill, ok bool) {
	use := &r.cases[v.Class]
	e = ForwardPlan{Deadline: v.ends, JoinFill: r.leave.JoinFills && !v.Write}
	var o *object
	if !v.Write {
		e.Rank, e.MaxAge = 2, use.FreshnessLifetime
		if o = r.ledger.objects.Peek(v.key); o != nil {
			e.Rank, e.MaxAge = r.ledger.judge(o, use.FreshnessLifetime, use.Grace)
		}
		e.StaleWhileRevalidate = use.FreshnessLifetime > 0 && e.Rank > 0
	}
	if v.Background {
		if o == nil || o.gap == 0 {
			e.Rank, _ = r.ledger.judge(&object{gap: seconds(v.Gap)}, use.FreshnessLifetime, use.Grace)
		}
		e.MaxAge, e.StaleWhileRevalidate = Micros(aheadOldest*float64(use.FreshnessLifetime)), false
	}
	var crowded bool
	if e.Cache, crowded = r.pickEdge(v); e.Cache == NoEndpoint {
		if crowded { // the branch's link is as full as its caches: a way round them only moves the jam
			return e, false, false
		}
		return r.straight(v, e)
	}
	e.Source = r.pickSource(v, o, e.Cache)
	if r.asks && r.beside(v, o, e.Cache) {
		e.Source, e.OnlyIfCached = o.kept, true
	}
	if v.Write && e.Source == e.Cache {
		return r.straight(v, e)
	}
	// What is expected to be held is not booked as a fill, and may be one all the same. Wards off such fills,
	// and renewals behind ageing copies, from a source that has just started: its cache is only looked at.
	if held := r.holds(v, o, &r.caches[e.Cache]); held && r.isCold(&r.caches[e.Source]) {
		e.Source = e.Cache
	}
	// Wards off a slow or crowded origin: its parents are asked for what they hold, and only that.
	if !r.fetch.free(r.now) && !v.Write && r.caches[e.Source].Tier == Parent {
		if e.OnlyIfCached = true; v.lacked {
			e.OnlyIfCached, e.Source = false, e.Cache
		}
	}
	if e.Source == e.Cache || v.n > 0 { // an old copy beats none where fills fail
		e.MaxAge = use.FreshnessLifetime + use.Grace
	}
	e.MaxAge = r.sincePurge(v, e.MaxAge)
	return e, e.Source != e.Cache && !r.holds(v, o, &r.caches[e.Cache]), true
}

// spared tells whether background work may go. Wards off that it costs a visit anything: it takes no room one
// waits for, nor what a just-started cache can bear, and none while visits are pressed.
func (r *Router) spared(v *visit, e ForwardPlan) bool {
	c, src := &r.caches[e.Cache], &r.caches[e.Source]
	for _, l := range [...]*limit{&c.trips, &src.fills, &r.link, &r.fetch} {
		if float64(l.inUse+1) > behindPart*l.most {
			return false
		}
	}
	return !v.Write && r.cases[v.Class].Effect == Idempotent && c.Tier == Edge && e.Source != e.Cache &&
		!r.isCold(c) && !r.isCold(src) && !r.UnderPressure()
}

// UnderPressure tells whether visits wait, are late or have met a limit cut of late, or the router sees overload.
func (r *Router) UnderPressure() bool {
	return r.heavy || len(r.waiting) > 0 || r.slow.Value >= goneLate || r.cut > 0 && r.now-r.cut < cutCalm
}

// MayHealthCheck tells whether a cache may be probed; what that costs counts in its cold budget.
func (r *Router) MayHealthCheck(id EndpointID) bool {
	if int(id) >= len(r.caches) || !r.caches[id].listed || r.caches[id].State != Up {
		return false
	}
	r.caches[id].bucket.Take(probeWork)
	return true
}

// HealthChecked takes what a probe showed, this router's or another's. A cache that is there rests no longer and is
// tried by one trip; one that is not, and answered no trip since, rests.
func (r *Router) HealthChecked(id EndpointID, there bool, ago Micros) {
	if int(id) >= len(r.caches) || !r.caches[id].listed || ago > probeOld {
		return
	}
	switch c := &r.caches[id]; {
	case r.now-ago <= max(c.lastGood, c.struck):
	case there && c.restUntil > r.now:
		c.restUntil = r.now
		r.desk.Log(fmt.Sprintf("cache %d is there by a probe, its rest ends", id))
	case !there:
		r.strike(c, false)
	}
}

// sincePurge wards off copies older than a purge, from its notice on; the age counts from the purge itself.
func (r *Router) sincePurge(v *visit, oldest Micros) Micros {
	at, purged := r.purgedAt(v)
	if age := max(r.now-at-ms, 1); purged && !v.Write && (oldest == 0 || age < oldest) {
		return age
	}
	return oldest
}

// straight passes the branch's caches by where none of them is up, if the site lets it.
func (r *Router) straight(v *visit, e ForwardPlan) (ForwardPlan, bool, bool) {
	if !r.leave.Bypass || r.origin == NoEndpoint || !r.usable(&r.caches[r.origin]) ||
		!v.Write && !r.link.free(r.now) {
		return e, false, false
	}
	e.Rank, e.StaleWhileRevalidate, e.Source, e.MaxAge = 0, false, r.origin, r.sincePurge(v, e.MaxAge)
	if e.Cache, _ = r.pickParent(v); e.Cache == NoEndpoint {
		e.Cache = r.origin
	}
	c := &r.caches[e.Cache]
	return e, true, r.inReach(v, c) && c.trips.free(r.now)
}

// pickEdge takes the object's hashed cache, or the next along the hash order that is up and has room. Load
// told by caches moves no visit: an object moved for a moment's load is a miss elsewhere.
func (r *Router) pickEdge(v *visit) (id EndpointID, crowded bool) {
	for _, id := range r.order.Rank(v.key, r.edges, r.mark) {
		c := &r.caches[id]
		if !r.usable(c) || !r.inReach(v, c) || !v.fillFailed && v.triedAt(id) {
			continue
		}
		if c.trips.free(r.now) && r.affords(c, v) {
			return id, false
		}
		crowded = crowded || !r.isCold(c)
	}
	return NoEndpoint, crowded
}

// pickSource names where a miss is filled from; the cache itself means nowhere.
func (r *Router) pickSource(v *visit, o *object, edge EndpointID) EndpointID {
	if !v.Write && !r.link.free(r.now) && !r.holds(v, o, &r.caches[edge]) {
		return edge
	}
	p, up := r.pickParent(v)
	if p != NoEndpoint {
		return p
	}
	if r.origin != NoEndpoint && !up { // crowded parents are up: the origin stands behind them and would jam too
		if c := &r.caches[r.origin]; r.usable(c) && (c.fills.free(r.now) || v.Write) {
			return r.origin
		}
	}
	return edge
}

// beside tells whether another cache of the branch that holds a copy can be the source, if the site lets it:
// that burdens neither the link nor a parent. A purge binds it by the accepted age.
func (r *Router) beside(v *visit, o *object, edge EndpointID) bool {
	if !r.leave.SiblingFills || v.Background || v.beside || o == nil || o.kept < 0 || o.kept == edge {
		return false
	}
	c := &r.caches[o.kept]
	return c.Tier == Edge && r.usable(c) && !r.isCold(c) && c.fills.free(r.now) && r.lies(v, o, c)
}

// pickParent takes the quicker of the object's two hashed parents that are up and have room for a fill. It
// tells whether any warm parent is up at all. One that has let a trip pass its expected time without a word
// since is asked last: each router meets it seldom, and a dozen trips would be out before the first one ends.
func (r *Router) pickParent(v *visit) (best EndpointID, up bool) {
	best, mute := NoEndpoint, NoEndpoint
	for _, id := range r.order.Rank(v.key, r.parents, r.mark) {
		c := &r.caches[id]
		if !r.usable(c) {
			continue
		}
		up = up || !r.isCold(c)
		if !r.affords(c, v) || !c.fills.free(r.now) && !v.Write {
			continue
		}
		if c.overdue > 0 && c.overdue < r.now {
			if mute == NoEndpoint {
				mute = id
			}
			continue
		}
		if best == NoEndpoint {
			best = id
			continue
		}
		b := &r.caches[best]
		if (c.quick.Value+quickBase)*quickTie < b.quick.Value+quickBase {
			best, b.quick.Value = id, b.quick.Value*quickPardon // else a parent once slow would never be asked again
		}
		break
	}
	if best == NoEndpoint {
		best = mute
	}
	return best, up
}

// usable tells whether a cache or source is up; one that has rested is tried by a single trip.
func (r *Router) usable(c *cache) bool {
	return c.listed && c.State == Up && c.restUntil <= r.now && (c.strikes == 0 || c.idle())
}

// isCold and affords ward off pushing a just-started cache over: each router sends it a part of what the
// rule's multiple allows of the load that a warm one bears from this router, so that all may do so at once.
func (r *Router) isCold(c *cache) bool {
	return c.Tier != Origin && c.Started > 0 && r.now-c.Started < r.cold[c.Tier].Ramp
}

func (r *Router) affords(c *cache, v *visit) bool {
	if !r.isCold(c) {
		return true
	}
	if c.spread != c.Started { // a chance start: else the first trips of all routers would come in step
		c.spread, c.bucket = c.Started, tokenbucket.Bucket{}
		c.bucket.Take(-r.chance() * r.price(v, c))
	}
	s := &r.cold[c.Tier]
	part := s.InitialShare + (1-s.InitialShare)*float64(r.now-c.Started)/float64(s.Ramp)
	least, of := math.Max(budgetFloor, r.fits()*c.Weight/r.weight), float64(r.branch.ZoneRouters)
	if c.Tier == Parent {
		least, of = math.Max(budgetFloor, r.fits()), float64(r.branch.FleetRouters)
	}
	rate := s.OverloadMultiple * part * math.Max(r.borne[c.Tier]*c.Weight, least/of)
	if c.Weight == 1 && float64(r.branch.ZoneRouters) > few { // its size is not told: it may be the smallest
		rate *= budgetBlind
	}
	cost, now := r.price(v, c), seconds(r.now)
	window := rate * seconds(s.OverloadWindow) // this router's part; all bursts fit twice the root
	burst := window * math.Min(budgetBurst, 1-budgetRate+2/math.Sqrt(window*of/cost))
	if burst >= cost {
		return c.bucket.Refill(now, rate*budgetRate, burst) >= cost
	}
	// Many routers have less than one request each at a time. What one does not use within a moment is void, at
	// a time of its own: else all of them would have one in hand after a silence, and send it at once.
	held := math.Max(c.bucket.Refill(now, rate*budgetRate, math.Inf(1)), 0)
	since := math.Mod(held, cost)
	turn := held >= cost && since <= window*budgetRate*budgetKeeps
	if c.bucket.Take(held - since); turn {
		c.bucket.Take(-cost)
	}
	return turn
}

// price is what a visit takes of a cold budget: its cost, and no less than the mean of what warm ones bore.
// A cache also bears a number of requests, and what is in demand there may be smaller than it was.
func (r *Router) price(v *visit, c *cache) float64 {
	if c.Tier == Origin {
		return r.cost(v)
	}
	return math.Max(r.cost(v), r.mean[c.Tier])
}

// cost is a visit's weight in what caches bear: its use case's mean sending time.
func (r *Router) cost(v *visit) float64 { return math.Max(r.meanWork(v.Class), 0.001) }

// meanWork is a use case's mean sending time in seconds; until one is known, its whole expected time.
func (r *Router) meanWork(use ClassID) float64 {
	if r.work[use] > 0 {
		return r.work[use]
	}
	return seconds(r.cases[use].LatencyObjective)
}

// timed learns the sending time of what came without a fill, where the client told no size. An object's is
// the least that its hits took, which moves up slowly: what they take beyond it is waiting, not its size.
func (r *Router) timed(v *visit, rep AttemptResult) {
	if v.SizeKB > 0 && r.branch.StreamKBPerSecond > 0 || rep.Outcome != Succeeded || rep.CacheStatus.IsFill() || rep.CacheStatus == JoinedFill {
		return
	}
	took := seconds(rep.Elapsed)
	if o := r.ledger.objects.Peek(v.key); o != nil {
		if smooth(&o.work, took, workTimed); took < o.work {
			o.work = took
		}
		took = o.work
	}
	smooth(&r.work[v.Class], took, theta)
}

// observe takes what a trip's end says of its cache and source.
func (r *Router) observe(v *visit, t *trip, rep AttemptResult) {
	c, src, filling := &r.caches[t.cache], &r.caches[t.source], t.source != t.cache
	r.door = min(r.door, rep.Elapsed)
	if src.fills.inUse == 0 {
		src.overdue = 0
	}
	late, pressed := r.now > v.aim, r.now > v.aim-Micros(spare*float64(v.aim-v.came))
	if r.leave.FullCacheStatus && late && rep.Outcome == Succeeded && (rep.CacheStatus == Filled || rep.Elapsed < v.aim-v.came) {
		t.fetches = false // wards off blaming the origin for a parent's own copy, or for waiting here
	}
	// Wards off blaming sources for a slow cache, one that is late more often than others. Fetches do not count:
	// with a slow origin, caches that had more of them to wait for turned their hits away.
	own := rep.CacheStatus != FilledFromOrigin && c.late.Value > r.late.Value+lateMore
	waited := rep.CacheStatus.IsFill() || rep.CacheStatus == JoinedFill
	if rep.Outcome == Succeeded {
		r.slow.AddBool(late, seconds(r.now), lateKeeps)
	}
	// An answer is missing if its cache answered others meanwhile and few are late: a jam shows by late ones.
	gone := rep.Outcome == TimedOut && r.slow.Value < goneLate && c.lastGood > t.sent
	if rep.Outcome == Succeeded && !(waited && t.fetches) || rep.Outcome == TimedOut && !t.fetches && !gone {
		c.late.AddBool(late, seconds(r.now), lateKeeps)
		r.late.AddBool(late, seconds(r.now), lateKeeps)
	}
	v.fillFailed = rep.Outcome == CacheMiss
	switch rep.Outcome {
	case Succeeded:
		r.answered(c, v)
		if rep.CacheStatus.IsFill() && filling {
			src.quick.Add(math.Max(0, float64(rep.Elapsed-v.work)), seconds(r.now), quickKeeps)
			r.answered(src, v)
			r.lastFill = r.now
			if late && own {
				r.adjust(&c.trips, t, false)
			} else {
				r.adjust(&src.fills, t, !late)
				r.blame(t, !late)
			}
		} else if !waited || !pressed {
			r.adjust(&c.trips, t, !pressed)
		}
	case Rejected, Failed:
		v.fillFailed = filling && rep.CacheStatus != CacheBusy &&
			(rep.CacheStatus != CacheStatusUnknown || rep.Elapsed > max(doorTimes*r.door, doorLeast))
		if rep.CacheStatus == OriginFailed { // nothing is wrong with the parent
			r.blame(t, false)
		} else if v.fillFailed {
			r.failedSource(src, t, !late, rep.CacheStatus == SourceConnectionLost)
		} else if rep.Outcome == Rejected {
			r.adjust(&c.trips, t, false)
		}
	case ConnectFailed:
		r.strike(c, true)
	case ConnectionLost: // may be the way's: a process that died gives no connection next
		if t.sent >= c.brokeAt { // what was out together shared a connection's end: one failure
			c.fails, c.brokeAt = c.fails+1, r.now
		}
		if c.fails >= sourceFails {
			r.strike(c, false)
		}
	case TimedOut:
		switch {
		case gone:
		case t.mayFill && !own:
			r.failedSource(src, t, false, false)
			r.blame(t, false)
		case !t.mayFill && c.lastGood < t.sent: // silent: nothing came from it since
			r.strike(c, false)
		default:
			r.adjust(&c.trips, t, false)
		}
	}
	r.trouble.AddBool(rep.Outcome == Rejected || rep.Outcome == TimedOut && !gone, seconds(r.now), troubleKeeps)
	if s := r.trouble.Value; r.heavy != (s > troubleOn || r.heavy && s > troubleOff) {
		r.heavy = !r.heavy
		r.desk.Log(fmt.Sprintf("overload %v: %.2f of trips in trouble", r.heavy, s))
	}
}

// blame moves the limits behind a fill: that on fetches first; fills that fetched nothing cut the link's.
func (r *Router) blame(t *trip, good bool) {
	if t.fetches {
		r.adjust(&r.fetch, t, good)
	}
	if (good || !t.fetches) && r.caches[t.source].Tier != Edge {
		r.adjust(&r.link, t, good)
	}
}

// adjust moves a limit: up by one for a limit's worth of ends in time, else cut by a share. Where many
// routers share it, it grows slower and may fall below one, with a pause after each trip: one each jams.
func (r *Router) adjust(l *limit, t *trip, good bool) {
	of := math.Max(float64(l.of)/few, 1)
	if good {
		if float64(l.inUse+1) > l.most/2 {
			l.most += 1 / (of * l.most)
		} else {
			l.most *= 1 - idleCut
		}
	} else if r.now-l.cutAt >= cutPause {
		l.most, l.cutAt, r.cut = math.Max(1/float64(l.of), l.most*limitCut), r.now, r.now
	}
	l.after = r.now + Micros(float64(r.now-t.sent)*math.Max(0, 1/l.most-1))
}

// strike lets a cache or source rest. One that died is cold from now on, its trials too: it may be back at
// any moment, the list is seconds late, and all routers together would push it over before it told of it.
func (r *Router) strike(c *cache, died bool) {
	if c.restUntil > r.now {
		return
	}
	rest := min(restFirst<<c.strikes, restMost)
	c.struck, c.restUntil = r.now, r.now+rest
	c.strikes = min(c.strikes+1, 8)
	if c.died = c.died || died || c.strikes >= deadStrikes; c.died {
		c.Started = r.now
	}
	r.desk.Log(fmt.Sprintf("cache %d rests %dms after strike %d", c.ID, rest/ms, c.strikes))
}

// answered takes a good end. A cache back from the dead has just started.
func (r *Router) answered(c *cache, v *visit) {
	if c.Tier != Origin && !r.isCold(c) {
		r.done[c.Tier] += r.cost(v)
		smooth(&r.mean[c.Tier], r.cost(v), theta)
	}
	if c.strikes > 0 {
		r.desk.Log(fmt.Sprintf("cache %d back after %d strikes", c.ID, c.strikes))
		if c.died {
			c.Started = r.now
		}
	}
	c.strikes, c.fails, c.lastGood, c.died, c.overdue = 0, 0, r.now, false, 0
}

// failedSource wards off filling from a dead parent. One that can't be reached rests at once, another after
// failures with nothing good meanwhile; it died if it failed quickly while others filled.
func (r *Router) failedSource(c *cache, t *trip, quick, lost bool) {
	r.adjust(&c.fills, t, false)
	c.quick.Add(math.Max(c.quick.Value, float64(r.now-t.sent)), seconds(r.now), quickKeeps)
	if c.Tier == Parent && c.lastGood < t.sent {
		if c.fails++; quick && lost || c.fails >= sourceFails {
			r.strike(c, quick && (lost || r.lastFill > c.lastGood))
		}
	}
}

// learn feeds the design with what a trip's end shows of the object.
func (r *Router) learn(v *visit, t *trip, rep AttemptResult) {
	o := r.ledger.objects.Peek(v.key)
	if v.Write || o == nil {
		return
	}
	c, filled := &r.caches[t.cache], rep.CacheStatus.IsFill()
	if c.Tier == Edge && rep.Outcome == Succeeded && (filled || rep.CacheStatus == Hit || rep.CacheStatus == Stale) {
		fresh := r.cases[v.Class].FreshnessLifetime
		if r.holds(v, o, c) && !v.Background {
			r.ledger.met(filled)
		}
		if r.ahead && rep.GeneratedAt > o.keptAt && o.kept == c.ID { // another router has renewed it
			o.keptAt = rep.GeneratedAt
		}
		known := r.ahead && fresh > 0 && rep.GeneratedAt > 0 && !v.Background && t.rank > 0
		if known && r.ledger.ahead(o, fresh, r.branch.ZoneRouters) {
			r.desk.SuggestRefresh(v.id, rep.GeneratedAt+fresh, micros(o.gap))
		}
		if t.rank > 0 {
			r.ledger.keep(o, c, filled, r.cases[v.Class].FreshnessLifetime, r.now)
		} else if filled && o.kept == c.ID {
			o.kept = NoEndpoint
		}
	}
	if rep.Outcome == CacheMiss && (o.kept == t.source || o.kept == t.cache) {
		o.kept = NoEndpoint
	}
}

// TimerFired is a timer's call: what is due now and then.
func (r *Router) TimerFired() {
	r.admit()
	if r.now < r.nextTick {
		return
	}
	r.nextTick = r.now + tickEvery
	r.desk.SetTimer(r.nextTick)
	for tier, ids := range [2][]EndpointID{r.edges, r.parents} {
		warm := 0.0
		for _, id := range ids {
			if c := &r.caches[id]; c.restUntil <= r.now && !r.isCold(c) {
				warm += c.Weight
			}
		}
		if warm > 0 { // with all of them cold or gone, what they bore before still counts
			more := r.done[tier]/seconds(tickEvery)/warm - r.borne[tier]
			if more < 0 { // a crisis is no proof that they can bear less
				more *= bearForgets
			}
			r.borne[tier] += bearWeight * more
		}
		r.done[tier] = 0
	}
	if r.now%second < tickEvery {
		r.tend()
	}
}
