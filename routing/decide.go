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
	smoothingFactor = 0.005 // weight of one sample in every smoothed figure of the design
	fetchCost       = 1.0
	agingCost       = 5.0
	missTarget      = 0.1 // share of kept copies that may be missing within their timer
	tableMost       = 1 << 15

	cutHigh, cutLow = 8.0, 30.0 // of the typical gap: rank 3 below the first, rank 1 above the second

	workTimed    = 0.05   // weight of a longer time in an object's own
	workMost     = 20.0   // times its expected time: the most that a visit's sending time counts in the mean
	tripsMost    = 3      // one and up to two further ones
	answerMargin = 4 * ms // a trip ends this long before the client's time is up

	initialAttemptLimit = 20.0 // limits at the start: at a cache for the whole crew, on fills for each router
	attemptLimitSharers = 2    // limits at caches grow slower by this: visits in them take long to drain
	initialFillLimit    = 16.0
	linkFirst           = 2.0 // times the transfers that fit the branch's link at full pace
	few                 = 2.5 // sharers of a limit who need not mind one another
	limitCut            = 0.7
	idleCut             = 0.005    // for each good end that finds less than half of a limit in use
	spare               = 0.35     // of the expected time that must be left, or a limit is cut
	cutPause            = 300 * ms // one cut for one jam
	lateMore            = 0.15     // share of late ends over the router's at which lateness is a cache's own
	lateKeeps           = 6.0      // seconds
	lateShareOfJam      = 0.05     // share of good ends that are late, below which a time-out is an answer gone missing

	firstEjection, restMost = 300 * ms, 4 * second

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

var transitions = [...][]requestState{
	stateVacant: {stateArrived}, stateArrived: {stateInFlight, stateQueued, stateAnswered}, stateInFlight: {stateBetweenAttempts, stateStreaming, stateAnswered},
	stateBetweenAttempts: {stateInFlight, stateQueued, stateAnswered}, stateQueued: {stateInFlight, stateAnswered}, stateStreaming: {stateAnswered},
	stateAnswered: {stateReleased}, stateReleased: {},
}

// New makes a router from what is told at start.
func New(seed uint32, desk Executor, cases []Class, tenants []Tenant, branch Locality, leave Permissions,
	edge, parent SlowStart, purges PurgeTiming) *Router {
	branch.ZoneRouters, branch.FleetRouters = max(branch.ZoneRouters, 1), max(branch.FleetRouters, 1)
	r := &Router{executor: desk, classes: cases, locality: branch, permissions: leave, slowStart: [2]SlowStart{edge, parent},
		purgeTiming: purges, origin: NoEndpoint, tenants: tenants, purgeTimes: map[uint64]Micros{}, seed: seed, fastestAttempt: second,
		quotas: make([]tokenbucket.Bucket, len(tenants)), classSendTimes: make([]float64, len(cases)),
		objects: objectTable{entries: lru.New[objectStats](tableMost)}}
	r.nameHash = func(id EndpointID) uint64 { return r.endpoints[id].NameHash }
	r.linkLimit, r.fetchLimit = limit{capacity: initialFillLimit, sharers: branch.ZoneRouters}, limit{capacity: initialFillLimit, sharers: branch.FleetRouters}
	if fits := r.linkTransfers(); fits > 0 {
		r.linkLimit.capacity = linkFirst * fits / float64(branch.ZoneRouters)
	}
	return r
}

// recordRequest counts a visit: the first observed gap is the first estimate.
func (l *objectTable) recordRequest(key uint64, now Micros) *objectStats {
	o, made := l.entries.GetOrAdd(key)
	if made {
		o.holder = NoEndpoint
	} else if s := seconds(now - o.lastRequest); s > 0 {
		smooth(&o.gap, s, smoothingFactor)
		l.largestGap = math.Max(l.largestGap, o.gap)
		l.typicalLogGap += smoothingFactor * (math.Log(o.gap) - l.typicalLogGap)
	}
	o.lastRequest = now
	return o
}

// copyTimer is the closed form of Algorithm 1: how long a copy is worth keeping, in seconds.
func copyTimer(gap, rate, alpha float64) float64 {
	gain := fetchCost - gap*alpha
	if gain <= 0 {
		return 0
	}
	if rate <= 0 || gap <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, gap*(math.Sqrt(1+2*gain/(agingCost*rate*gap))-1))
}

// rankAndMaxAge gives the rank at which a fill is kept (0: passed through) and the accepted age (0: any).
func (l *objectTable) rankAndMaxAge(o *objectStats, fresh, grace Micros) (rank int, oldest Micros) {
	if o.gap == 0 { // a new object: the default age, the middle rank
		return 2, fresh
	}
	rate := o.updateRate(fresh)
	if fresh > 0 {
		oldest = min(max(micros(copyTimer(o.gap, rate, 0)), fresh), fresh+grace)
	}
	switch rel := math.Log(o.gap) - l.typicalLogGap; {
	case copyTimer(o.gap, rate, l.alpha) == 0:
		return 0, oldest
	case rel < math.Log(cutHigh):
		return 3, oldest
	case rel < math.Log(cutLow):
		return 2, oldest
	}
	return 1, oldest
}

// worthRefreshing tells whether a copy is worth a fill before anyone asks: the branch is expected to ask for it within
// its timer and its fresh time.
func (l *objectTable) worthRefreshing(o *objectStats, fresh Micros, crew int) bool {
	gap := o.gap / float64(crew) // each router sees its part of the visits
	return gap > 0 && math.Min(copyTimer(gap, o.updateRate(fresh), l.alpha), seconds(fresh)) >= aheadVisits*gap
}

// updateRate counts one update a fresh time for an object that gets no purge notices.
func (o *objectStats) updateRate(fresh Micros) float64 {
	if !o.everPurged && fresh > 0 {
		return 1 / seconds(fresh)
	}
	return o.purgeRate
}

// recordCopy notes where a copy lies after a fill, or a hit that showed one; the timer starts with the fill.
func (l *objectTable) recordCopy(o *objectStats, c *endpoint, filled bool, fresh, now Micros) {
	if filled {
		if t := seconds(now - o.lastFetch); o.everPurged && o.lastFetch > 0 && t > 0 {
			o.purgeRate += smoothingFactor * (float64(o.purgesSinceFetch)/t - o.purgeRate)
		}
		o.purgesSinceFetch, o.lastFetch = 0, now
	}
	if filled || o.holder != c.ID || o.holderStarted != c.Started {
		o.holder, o.holderStarted, o.cachedAt = c.ID, c.Started, now
	}
	o.timer = micros(copyTimer(o.gap, o.updateRate(fresh), l.alpha))
}

// recordExpectedHit counts a visit at a cache that should hold a copy still; alpha follows the share that did not.
func (l *objectTable) recordExpectedHit(missing bool) {
	l.missShare -= smoothingFactor * l.missShare
	if missing {
		l.missShare += smoothingFactor
	}
	l.alpha = fetchCost * math.Max(0, l.missShare/missTarget-1) / math.Max(l.largestGap, 0.001)
}

// likelyHolds tells whether a cache should hold a copy for this visit still, lies whether one may lie there at all.
func (r *Router) likelyHolds(v *request, o *objectStats, c *endpoint) bool {
	return o != nil && r.now-o.cachedAt < o.timer && r.mayHold(v, o, c)
}

func (r *Router) mayHold(v *request, o *objectStats, c *endpoint) bool {
	at, purged := r.lastPurge(v)
	fresh := r.classes[v.Class].FreshnessLifetime
	return o.holder == c.ID && o.holderStarted == c.Started && !(purged && at > o.cachedAt) &&
		(fresh == 0 || r.now-o.cachedAt < fresh)
}

// UpdateEndpoints takes a list of caches, whole or only what changed.
func (r *Router) UpdateEndpoints(list []Endpoint, whole bool) {
	trips := limit{capacity: initialAttemptLimit / float64(r.locality.ZoneRouters), sharers: attemptLimitSharers * r.locality.ZoneRouters}
	r.applyEndpoints(list, whole, endpoint{attemptLimit: trips, fillLimit: limit{capacity: initialFillLimit, sharers: r.locality.FleetRouters}})
	if r.nextTick == 0 {
		r.nextTick = r.now + tickEvery
		r.executor.SetTimer(r.nextTick)
		if r.permissions.WatchEndpoints {
			r.executor.WatchEndpoints()
		}
	}
}

// prepare fills in a visit's own figures.
func (r *Router) prepare(v *request) {
	use := &r.classes[v.Class]
	v.Write, v.objectKey, v.mayHaveRunAt = v.Write || use.Write, hash.Combine(uint64(v.Object), uint64(v.Part)), NoEndpoint
	v.sendTime = micros(r.meanSendTime(v.Class))
	if r.locality.StreamKBPerSecond > 0 && v.SizeKB > 0 {
		v.sendTime = micros(v.SizeKB / r.locality.StreamKBPerSecond)
	} else if o := r.objects.entries.Peek(v.objectKey); o != nil && o.sendTime > 0 {
		v.sendTime = micros(o.sendTime)
	}
	v.arrived, v.deadline = r.now, r.now+v.Remaining-answerMargin
	v.objective = min(r.now+use.LatencyObjective+Micros(use.SendTimeFactor*float64(v.sendTime)), v.deadline)
}

// RequestArrived takes a visit; from here on one final answer is owed.
func (r *Router) RequestArrived(a Request) {
	id, v := r.requests.Allocate()
	*v = request{Request: a, id: id}
	v.transition(stateArrived)
	r.executor.Accepted(id)
	if most := seconds(r.classes[a.Class].LatencyObjective); r.locality.StreamKBPerSecond > 0 && a.SizeKB > 0 { // clients say any size
		smooth(&r.classSendTimes[a.Class], math.Min(a.SizeKB/r.locality.StreamKBPerSecond, workMost*most), smoothingFactor)
	}
	r.prepare(v)
	if t := int(a.Tenant); t >= 0 && t < len(r.tenants) { // each router counts against its even part of a share
		rate := r.tenants[t].QuotaPerSecond / float64(r.locality.FleetRouters)
		if v.overQuota = r.quotas[t].Refill(seconds(r.now), rate, max(rate, 1)) < 1; !v.overQuota {
			r.quotas[t].Take(1)
		}
	}
	if !v.Write && !v.Background {
		o := r.objects.recordRequest(v.objectKey, r.now)
		if at, ok := r.lastPurge(v); ok && at > o.lastFetch && o.purgesSinceFetch == 0 {
			o.purgesSinceFetch, o.everPurged = 1, true
		}
	}
	r.dispatch(v)
}

// AttemptEnded takes the end of one trip.
func (r *Router) AttemptEnded(id RequestID, rep AttemptResult) {
	v := r.requests.Get(id)
	if v == nil || int(rep.Attempt) >= v.attemptCount || v.attempts[rep.Attempt].ended {
		return
	}
	t := &v.attempts[rep.Attempt]
	t.ended = true
	v.outstanding--
	r.reserve(t, -1)
	if !rep.Outcome.ProvesNotRun() && rep.Outcome != Succeeded && !v.mayHaveRun {
		v.mayHaveRun, v.mayHaveRunSince, v.mayHaveRunAt = true, t.sent, t.cache
	}
	r.observe(v, t, rep)
	r.learnSendTime(v, rep)
	r.learn(v, t, rep)
	if rep.RequestDone && v.transition(stateAnswered) || v.state == stateAnswered {
		r.release(v)
	} else if v.outstanding == 0 && v.transition(stateBetweenAttempts) {
		r.retry(v, t, rep.Outcome)
	}
	r.admitQueued()
}

// retry decides after a trip that did not deliver.
func (r *Router) retry(v *request, t *attempt, end Outcome) {
	idle := end == CacheMiss || end == ConnectFailed || end == NotSent // costs little and says nothing of a crowd
	if v.Background || v.attemptCount >= min(tripsMost, r.permissions.MaxAttempts) || r.now >= v.deadline || r.overloaded && !idle ||
		!r.mayRunAgain(v, r.now) {
		r.rejectOrFail(v)
		return
	}
	v.sourceMissed = v.sourceMissed || end == CacheMiss && t.onlyIfCached
	if end == CacheMiss && (t.source == t.cache || t.onlyIfCached) {
		v.lookupMissed = true
		if r.enqueue(v); r.siblingLookup && v.state == stateQueued {
			r.executor.LocateCopies(v.id)
		}
		return
	}
	r.dispatch(v)
}

// latestDispatch is the last moment at which a trip may still set out and be in time.
func (v *request) latestDispatch() Micros { return v.objective - 2*v.sendTime }

// enqueue holds a visit until there is room for its trip; the wake is for giving it up once it is too late.
func (r *Router) enqueue(v *request) {
	if v.transition(stateQueued) {
		r.queue = append(r.queue, v.id)
		r.executor.SetTimer(max(v.latestDispatch(), r.now) + ms)
	}
}

// admitQueued lets waiting visits have the room that has come free, the worthiest for their bytes first,
// and gives up those that could no longer be in time. It wards off losing to a moment's crowd.
func (r *Router) admitQueued() {
	for {
		var best *request
		most, left := 0.0, r.queue[:0]
		for _, id := range r.queue {
			v := r.requests.Get(id)
			if v == nil || v.state != stateQueued {
				continue
			} else if r.now > v.latestDispatch() {
				r.rejectOrFail(v)
				continue
			}
			left = append(left, id)
			worth := r.classes[v.Class].PriorityWeight / (seconds(v.sendTime) + r.cost(v))
			if v.overQuota { // a tenant's visits beyond its share wait behind the others
				worth *= r.tenants[v.Tenant].OverQuotaWeight
			}
			if worth > most {
				if e, _, ok := r.plan(v); ok && (e.Source != e.Cache || !v.lookupMissed) {
					best, most = v, worth
				}
			}
		}
		if r.queue = left; best == nil {
			return
		}
		r.dispatch(best)
	}
}

// mayRunAgain wards off a second effect: a trip that may have run binds those after it.
func (r *Router) mayRunAgain(v *request, at Micros) bool {
	use := &r.classes[v.Class]
	return !v.mayHaveRun || use.Effect == Idempotent || use.Effect == Keyed && at-v.mayHaveRunSince < use.KeyWindow-100*ms
}

// clientMayRetry tells whether its client may ask again at any cache, as late as it may be told to.
func (r *Router) clientMayRetry(v *request) bool {
	anywhere := !v.mayHaveRun || r.classes[v.Class].Effect == Idempotent || r.classes[v.Class].KeyScope == KeyScopeFleet
	return anywhere && r.mayRunAgain(v, r.now+r.permissions.MaxRetryAfter)
}

// inKeyScope tells whether a stamped visit's repeat would be known at this cache.
func (r *Router) inKeyScope(v *request, c *endpoint) bool {
	use := &r.classes[v.Class]
	if !v.mayHaveRun || use.Effect != Keyed || use.KeyScope == KeyScopeFleet {
		return true
	}
	ran := &r.endpoints[v.mayHaveRunAt]
	return c.Zone == ran.Zone && (use.KeyScope == KeyScopeZone || c.Cell == ran.Cell)
}

// rejectOrFail gives the final answer at once; only a deferral promises that trying again is harmless.
func (r *Router) rejectOrFail(v *request) {
	if !v.transition(stateAnswered) {
		return
	}
	if r.now >= v.deadline || v.Background && v.attemptCount > 0 || !r.clientMayRetry(v) {
		r.executor.Fail(v.id)
	} else {
		r.executor.Reject(v.id, Micros(float64(r.permissions.MaxRetryAfter)*(0.5+0.5*r.random())))
	}
	r.release(v)
}

// dispatch sends the next trip, or gives up where there is none to send.
func (r *Router) dispatch(v *request) {
	e, mayFill, ok := r.plan(v)
	if v.Background && (!ok || !r.backgroundFits(v, e)) {
		r.rejectOrFail(v)
		return
	}
	if up := func(id EndpointID) bool { return r.usable(&r.endpoints[id]) }; !ok && slices.ContainsFunc(r.zoneCaches, up) &&
		r.now < v.latestDispatch() { // some cache of the branch is up, if crowded or cold
		r.enqueue(v)
		return
	}
	if !ok || e.Deadline <= r.now || !v.transition(stateInFlight) {
		r.rejectOrFail(v)
		return
	}
	t := &v.attempts[v.attemptCount]
	*t = attempt{cache: e.Cache, source: e.Source, sent: r.now, rank: e.Rank, mayFill: mayFill,
		mayFetch: mayFill && !e.OnlyIfCached, onlyIfCached: e.OnlyIfCached && r.endpoints[e.Source].Tier != Edge}
	v.attemptCount++
	v.outstanding++
	r.reserve(t, 1)
	for _, id := range [2]EndpointID{e.Cache, e.Source} {
		if c := &r.endpoints[id]; r.inSlowStart(c) && (id == e.Cache || mayFill) {
			c.slowStartBudget.Take(r.slowStartCost(v, c))
		}
	}
	if src := &r.endpoints[e.Source]; mayFill && e.Source != e.Cache && src.silentAfter == 0 {
		src.silentAfter = v.objective
	}
	v.siblingAsked = r.siblingLookup && (v.siblingAsked || e.Source != e.Cache && r.endpoints[e.Source].Tier == Edge)
	if c := &r.endpoints[e.Cache]; r.siblingLookup && mayFill && !v.Background && !v.siblingAsked && c.Tier == Edge &&
		(r.inSlowStart(c) || r.ranking.Rank(v.objectKey, r.zoneCaches, r.nameHash)[0] != e.Cache) {
		r.executor.LocateCopies(v.id)
	}
	r.executor.Forward(v.id, e)
}

// plan is the ordinary path: the design's age and rank, the hashed cache, the quicker source.
func (r *Router) plan(v *request) (e ForwardPlan, mayFill, ok bool) {
	use := &r.classes[v.Class]
	e = ForwardPlan{Deadline: v.deadline, JoinFill: r.permissions.JoinFills && !v.Write}
	var o *objectStats
	if !v.Write {
		e.Rank, e.MaxAge = 2, use.FreshnessLifetime
		if o = r.objects.entries.Peek(v.objectKey); o != nil {
			e.Rank, e.MaxAge = r.objects.rankAndMaxAge(o, use.FreshnessLifetime, use.Grace)
		}
		e.StaleWhileRevalidate = use.FreshnessLifetime > 0 && e.Rank > 0
	}
	if v.Background {
		if o == nil || o.gap == 0 {
			e.Rank, _ = r.objects.rankAndMaxAge(&objectStats{gap: seconds(v.Gap)}, use.FreshnessLifetime, use.Grace)
		}
		e.MaxAge, e.StaleWhileRevalidate = Micros(aheadOldest*float64(use.FreshnessLifetime)), false
	}
	var crowded bool
	if e.Cache, crowded = r.selectCache(v); e.Cache == NoEndpoint {
		if crowded { // the branch's link is as full as its caches: a way round them only moves the jam
			return e, false, false
		}
		return r.planBypass(v, e)
	}
	e.Source = r.selectSource(v, o, e.Cache)
	if r.siblingLookup && r.siblingHasCopy(v, o, e.Cache) {
		e.Source, e.OnlyIfCached = o.holder, true
	}
	if v.Write && e.Source == e.Cache {
		return r.planBypass(v, e)
	}
	// What is expected to be held is not booked as a fill, and may be one all the same. Wards off such fills,
	// and renewals behind ageing copies, from a source that has just started: its cache is only looked at.
	if held := r.likelyHolds(v, o, &r.endpoints[e.Cache]); held && r.inSlowStart(&r.endpoints[e.Source]) {
		e.Source = e.Cache
	}
	// Wards off a slow or crowded origin: its parents are asked for what they hold, and only that.
	if !r.fetchLimit.available(r.now) && !v.Write && r.endpoints[e.Source].Tier == Parent {
		if e.OnlyIfCached = true; v.sourceMissed {
			e.OnlyIfCached, e.Source = false, e.Cache
		}
	}
	if e.Source == e.Cache || v.attemptCount > 0 { // an old copy beats none where fills fail
		e.MaxAge = use.FreshnessLifetime + use.Grace
	}
	e.MaxAge = r.maxAgeSincePurge(v, e.MaxAge)
	return e, e.Source != e.Cache && !r.likelyHolds(v, o, &r.endpoints[e.Cache]), true
}

// backgroundFits tells whether background work may go. Wards off that it costs a visit anything: it takes no room one
// waits for, nor what a just-started cache can bear, and none while visits are pressed.
func (r *Router) backgroundFits(v *request, e ForwardPlan) bool {
	c, src := &r.endpoints[e.Cache], &r.endpoints[e.Source]
	for _, l := range [...]*limit{&c.attemptLimit, &src.fillLimit, &r.linkLimit, &r.fetchLimit} {
		if float64(l.inUse+1) > behindPart*l.capacity {
			return false
		}
	}
	return !v.Write && r.classes[v.Class].Effect == Idempotent && c.Tier == Edge && e.Source != e.Cache &&
		!r.inSlowStart(c) && !r.inSlowStart(src) && !r.UnderPressure()
}

// UnderPressure tells whether visits wait, are late or have met a limit cut of late, or the router sees overload.
func (r *Router) UnderPressure() bool {
	return r.overloaded || len(r.queue) > 0 || r.lateSuccessShare.Value >= lateShareOfJam || r.lastLimitCut > 0 && r.now-r.lastLimitCut < cutCalm
}

// MayHealthCheck tells whether a cache may be probed; what that costs counts in its cold budget.
func (r *Router) MayHealthCheck(id EndpointID) bool {
	if int(id) >= len(r.endpoints) || !r.endpoints[id].listed || r.endpoints[id].State != Up {
		return false
	}
	r.endpoints[id].slowStartBudget.Take(probeWork)
	return true
}

// HealthChecked takes what a probe showed, this router's or another's. A cache that is there rests no longer and is
// tried by one trip; one that is not, and answered no trip since, rests.
func (r *Router) HealthChecked(id EndpointID, there bool, ago Micros) {
	if int(id) >= len(r.endpoints) || !r.endpoints[id].listed || ago > probeOld {
		return
	}
	switch c := &r.endpoints[id]; {
	case r.now-ago <= max(c.lastSuccess, c.ejectedAt):
	case there && c.ejectedUntil > r.now:
		c.ejectedUntil = r.now
		r.executor.Log(fmt.Sprintf("cache %d is there by a probe, its rest ends", id))
	case !there:
		r.eject(c, false)
	}
}

// maxAgeSincePurge wards off copies older than a purge, from its notice on; the age counts from the purge itself.
func (r *Router) maxAgeSincePurge(v *request, oldest Micros) Micros {
	at, purged := r.lastPurge(v)
	if age := max(r.now-at-ms, 1); purged && !v.Write && (oldest == 0 || age < oldest) {
		return age
	}
	return oldest
}

// planBypass passes the branch's caches by where none of them is up, if the site lets it.
func (r *Router) planBypass(v *request, e ForwardPlan) (ForwardPlan, bool, bool) {
	if !r.permissions.Bypass || r.origin == NoEndpoint || !r.usable(&r.endpoints[r.origin]) ||
		!v.Write && !r.linkLimit.available(r.now) {
		return e, false, false
	}
	e.Rank, e.StaleWhileRevalidate, e.Source, e.MaxAge = 0, false, r.origin, r.maxAgeSincePurge(v, e.MaxAge)
	if e.Cache, _ = r.selectParent(v); e.Cache == NoEndpoint {
		e.Cache = r.origin
	}
	c := &r.endpoints[e.Cache]
	return e, true, r.inKeyScope(v, c) && c.attemptLimit.available(r.now)
}

// selectCache takes the object's hashed cache, or the next along the hash order that is up and has room. Load
// told by caches moves no visit: an object moved for a moment's load is a miss elsewhere.
func (r *Router) selectCache(v *request) (id EndpointID, crowded bool) {
	for _, id := range r.ranking.Rank(v.objectKey, r.zoneCaches, r.nameHash) {
		c := &r.endpoints[id]
		if !r.usable(c) || !r.inKeyScope(v, c) || !v.fillFailed && v.triedAt(id) {
			continue
		}
		if c.attemptLimit.available(r.now) && r.withinSlowStartBudget(c, v) {
			return id, false
		}
		crowded = crowded || !r.inSlowStart(c)
	}
	return NoEndpoint, crowded
}

// selectSource names where a miss is filled from; the cache itself means nowhere.
func (r *Router) selectSource(v *request, o *objectStats, edge EndpointID) EndpointID {
	if !v.Write && !r.linkLimit.available(r.now) && !r.likelyHolds(v, o, &r.endpoints[edge]) {
		return edge
	}
	p, up := r.selectParent(v)
	if p != NoEndpoint {
		return p
	}
	if r.origin != NoEndpoint && !up { // crowded parents are up: the origin stands behind them and would jam too
		if c := &r.endpoints[r.origin]; r.usable(c) && (c.fillLimit.available(r.now) || v.Write) {
			return r.origin
		}
	}
	return edge
}

// siblingHasCopy tells whether another cache of the branch that holds a copy can be the source, if the site lets it:
// that burdens neither the link nor a parent. A purge binds it by the accepted age.
func (r *Router) siblingHasCopy(v *request, o *objectStats, edge EndpointID) bool {
	if !r.permissions.SiblingFills || v.Background || v.siblingAsked || o == nil || o.holder < 0 || o.holder == edge {
		return false
	}
	c := &r.endpoints[o.holder]
	return c.Tier == Edge && r.usable(c) && !r.inSlowStart(c) && c.fillLimit.available(r.now) && r.mayHold(v, o, c)
}

// selectParent takes the quicker of the object's two hashed parents that are up and have room for a fill. It
// tells whether any warm parent is up at all. One that has let a trip pass its expected time without a word
// since is asked last: each router meets it seldom, and a dozen trips would be out before the first one ends.
func (r *Router) selectParent(v *request) (best EndpointID, up bool) {
	best, mute := NoEndpoint, NoEndpoint
	for _, id := range r.ranking.Rank(v.objectKey, r.parents, r.nameHash) {
		c := &r.endpoints[id]
		if !r.usable(c) {
			continue
		}
		up = up || !r.inSlowStart(c)
		if !r.withinSlowStartBudget(c, v) || !c.fillLimit.available(r.now) && !v.Write {
			continue
		}
		if c.silentAfter > 0 && c.silentAfter < r.now {
			if mute == NoEndpoint {
				mute = id
			}
			continue
		}
		if best == NoEndpoint {
			best = id
			continue
		}
		b := &r.endpoints[best]
		if (c.fillLatency.Value+quickBase)*quickTie < b.fillLatency.Value+quickBase {
			best, b.fillLatency.Value = id, b.fillLatency.Value*quickPardon // else a parent once slow would never be asked again
		}
		break
	}
	if best == NoEndpoint {
		best = mute
	}
	return best, up
}

// usable tells whether a cache or source is up; one that has rested is tried by a single trip.
func (r *Router) usable(c *endpoint) bool {
	return c.listed && c.State == Up && c.ejectedUntil <= r.now && (c.ejections == 0 || c.idle())
}

// inSlowStart and affords ward off pushing a just-started cache over: each router sends it a part of what the
// rule's multiple allows of the load that a warm one bears from this router, so that all may do so at once.
func (r *Router) inSlowStart(c *endpoint) bool {
	return c.Tier != Origin && c.Started > 0 && r.now-c.Started < r.slowStart[c.Tier].Ramp
}

func (r *Router) withinSlowStartBudget(c *endpoint, v *request) bool {
	if !r.inSlowStart(c) {
		return true
	}
	if c.budgetStart != c.Started { // a chance start: else the first trips of all routers would come in step
		c.budgetStart, c.slowStartBudget = c.Started, tokenbucket.Bucket{}
		c.slowStartBudget.Take(-r.random() * r.slowStartCost(v, c))
	}
	s := &r.slowStart[c.Tier]
	part := s.InitialShare + (1-s.InitialShare)*float64(r.now-c.Started)/float64(s.Ramp)
	least, of := math.Max(budgetFloor, r.linkTransfers()*c.Weight/r.zoneWeight), float64(r.locality.ZoneRouters)
	if c.Tier == Parent {
		least, of = math.Max(budgetFloor, r.linkTransfers()), float64(r.locality.FleetRouters)
	}
	rate := s.OverloadMultiple * part * math.Max(r.warmLoad[c.Tier]*c.Weight, least/of)
	if c.Weight == 1 && float64(r.locality.ZoneRouters) > few { // its size is not told: it may be the smallest
		rate *= budgetBlind
	}
	cost, now := r.slowStartCost(v, c), seconds(r.now)
	window := rate * seconds(s.OverloadWindow) // this router's part; all bursts fit twice the root
	burst := window * math.Min(budgetBurst, 1-budgetRate+2/math.Sqrt(window*of/cost))
	if burst >= cost {
		return c.slowStartBudget.Refill(now, rate*budgetRate, burst) >= cost
	}
	// Many routers have less than one request each at a time. What one does not use within a moment is void, at
	// a time of its own: else all of them would have one in hand after a silence, and send it at once.
	held := math.Max(c.slowStartBudget.Refill(now, rate*budgetRate, math.Inf(1)), 0)
	since := math.Mod(held, cost)
	turn := held >= cost && since <= window*budgetRate*budgetKeeps
	if c.slowStartBudget.Take(held - since); turn {
		c.slowStartBudget.Take(-cost)
	}
	return turn
}

// slowStartCost is what a visit takes of a cold budget: its cost, and no less than the mean of what warm ones bore.
// A cache also bears a number of requests, and what is in demand there may be smaller than it was.
func (r *Router) slowStartCost(v *request, c *endpoint) float64 {
	if c.Tier == Origin {
		return r.cost(v)
	}
	return math.Max(r.cost(v), r.warmCost[c.Tier])
}

// cost is a visit's weight in what caches bear: its use case's mean sending time.
func (r *Router) cost(v *request) float64 { return math.Max(r.meanSendTime(v.Class), 0.001) }

// meanSendTime is a use case's mean sending time in seconds; until one is known, its whole expected time.
func (r *Router) meanSendTime(use ClassID) float64 {
	if r.classSendTimes[use] > 0 {
		return r.classSendTimes[use]
	}
	return seconds(r.classes[use].LatencyObjective)
}

// learnSendTime learns the sending time of what came without a fill, where the client told no size. An object's is
// the least that its hits took, which moves up slowly: what they take beyond it is waiting, not its size.
func (r *Router) learnSendTime(v *request, rep AttemptResult) {
	if v.SizeKB > 0 && r.locality.StreamKBPerSecond > 0 || rep.Outcome != Succeeded || rep.CacheStatus.IsFill() || rep.CacheStatus == JoinedFill {
		return
	}
	took := seconds(rep.Elapsed)
	if o := r.objects.entries.Peek(v.objectKey); o != nil {
		if smooth(&o.sendTime, took, workTimed); took < o.sendTime {
			o.sendTime = took
		}
		took = o.sendTime
	}
	smooth(&r.classSendTimes[v.Class], took, smoothingFactor)
}

// observe takes what a trip's end says of its cache and source.
func (r *Router) observe(v *request, t *attempt, rep AttemptResult) {
	c, src, filling := &r.endpoints[t.cache], &r.endpoints[t.source], t.source != t.cache
	r.fastestAttempt = min(r.fastestAttempt, rep.Elapsed)
	if src.fillLimit.inUse == 0 {
		src.silentAfter = 0
	}
	late, pressed := r.now > v.objective, r.now > v.objective-Micros(spare*float64(v.objective-v.arrived))
	if r.permissions.FullCacheStatus && late && rep.Outcome == Succeeded && (rep.CacheStatus == Filled || rep.Elapsed < v.objective-v.arrived) {
		t.mayFetch = false // wards off blaming the origin for a parent's own copy, or for waiting here
	}
	// Wards off blaming sources for a slow cache, one that is late more often than others. Fetches do not count:
	// with a slow origin, caches that had more of them to wait for turned their hits away.
	own := rep.CacheStatus != FilledFromOrigin && c.lateShare.Value > r.lateShare.Value+lateMore
	waited := rep.CacheStatus.IsFill() || rep.CacheStatus == JoinedFill
	if rep.Outcome == Succeeded {
		r.lateSuccessShare.AddBool(late, seconds(r.now), lateKeeps)
	}
	// An answer is missing if its cache answered others meanwhile and few are late: a jam shows by late ones.
	gone := rep.Outcome == TimedOut && r.lateSuccessShare.Value < lateShareOfJam && c.lastSuccess > t.sent
	if rep.Outcome == Succeeded && !(waited && t.mayFetch) || rep.Outcome == TimedOut && !t.mayFetch && !gone {
		c.lateShare.AddBool(late, seconds(r.now), lateKeeps)
		r.lateShare.AddBool(late, seconds(r.now), lateKeeps)
	}
	v.fillFailed = rep.Outcome == CacheMiss
	switch rep.Outcome {
	case Succeeded:
		r.recordSuccess(c, v)
		if rep.CacheStatus.IsFill() && filling {
			src.fillLatency.Add(math.Max(0, float64(rep.Elapsed-v.sendTime)), seconds(r.now), quickKeeps)
			r.recordSuccess(src, v)
			r.lastFill = r.now
			if late && own {
				r.adjustLimit(&c.attemptLimit, t, false)
			} else {
				r.adjustLimit(&src.fillLimit, t, !late)
				r.adjustFillLimits(t, !late)
			}
		} else if !waited || !pressed {
			r.adjustLimit(&c.attemptLimit, t, !pressed)
		}
	case Rejected, Failed:
		v.fillFailed = filling && rep.CacheStatus != CacheBusy &&
			(rep.CacheStatus != CacheStatusUnknown || rep.Elapsed > max(doorTimes*r.fastestAttempt, doorLeast))
		if rep.CacheStatus == OriginFailed { // nothing is wrong with the parent
			r.adjustFillLimits(t, false)
		} else if v.fillFailed {
			r.recordSourceFailure(src, t, !late, rep.CacheStatus == SourceConnectionLost)
		} else if rep.Outcome == Rejected {
			r.adjustLimit(&c.attemptLimit, t, false)
		}
	case ConnectFailed:
		r.eject(c, true)
	case ConnectionLost: // may be the way's: a process that died gives no connection next
		if t.sent >= c.lastDisconnect { // what was out together shared a connection's end: one failure
			c.failures, c.lastDisconnect = c.failures+1, r.now
		}
		if c.failures >= sourceFails {
			r.eject(c, false)
		}
	case TimedOut:
		switch {
		case gone:
		case t.mayFill && !own:
			r.recordSourceFailure(src, t, false, false)
			r.adjustFillLimits(t, false)
		case !t.mayFill && c.lastSuccess < t.sent: // silent: nothing came from it since
			r.eject(c, false)
		default:
			r.adjustLimit(&c.attemptLimit, t, false)
		}
	}
	r.overloadShare.AddBool(rep.Outcome == Rejected || rep.Outcome == TimedOut && !gone, seconds(r.now), troubleKeeps)
	if s := r.overloadShare.Value; r.overloaded != (s > troubleOn || r.overloaded && s > troubleOff) {
		r.overloaded = !r.overloaded
		r.executor.Log(fmt.Sprintf("overload %v: %.2f of trips in trouble", r.overloaded, s))
	}
}

// adjustFillLimits moves the limits behind a fill: that on fetches first; fills that fetched nothing cut the link's.
func (r *Router) adjustFillLimits(t *attempt, good bool) {
	if t.mayFetch {
		r.adjustLimit(&r.fetchLimit, t, good)
	}
	if (good || !t.mayFetch) && r.endpoints[t.source].Tier != Edge {
		r.adjustLimit(&r.linkLimit, t, good)
	}
}

// adjustLimit moves a limit: up by one for a limit's worth of ends in time, else cut by a share. Where many
// routers share it, it grows slower and may fall below one, with a pause after each trip: one each jams.
func (r *Router) adjustLimit(l *limit, t *attempt, good bool) {
	of := math.Max(float64(l.sharers)/few, 1)
	if good {
		if float64(l.inUse+1) > l.capacity/2 {
			l.capacity += 1 / (of * l.capacity)
		} else {
			l.capacity *= 1 - idleCut
		}
	} else if r.now-l.lastCut >= cutPause {
		l.capacity, l.lastCut, r.lastLimitCut = math.Max(1/float64(l.sharers), l.capacity*limitCut), r.now, r.now
	}
	l.notBefore = r.now + Micros(float64(r.now-t.sent)*math.Max(0, 1/l.capacity-1))
}

// eject lets a cache or source rest. One that died is cold from now on, its trials too: it may be back at
// any moment, the list is seconds late, and all routers together would push it over before it told of it.
func (r *Router) eject(c *endpoint, died bool) {
	if c.ejectedUntil > r.now {
		return
	}
	rest := min(firstEjection<<c.ejections, restMost)
	c.ejectedAt, c.ejectedUntil = r.now, r.now+rest
	c.ejections = min(c.ejections+1, 8)
	if c.presumedDead = c.presumedDead || died || c.ejections >= deadStrikes; c.presumedDead {
		c.Started = r.now
	}
	r.executor.Log(fmt.Sprintf("cache %d rests %dms after strike %d", c.ID, rest/ms, c.ejections))
}

// recordSuccess takes a good end. A cache back from the dead has just started.
func (r *Router) recordSuccess(c *endpoint, v *request) {
	if c.Tier != Origin && !r.inSlowStart(c) {
		r.tickWork[c.Tier] += r.cost(v)
		smooth(&r.warmCost[c.Tier], r.cost(v), smoothingFactor)
	}
	if c.ejections > 0 {
		r.executor.Log(fmt.Sprintf("cache %d back after %d strikes", c.ID, c.ejections))
		if c.presumedDead {
			c.Started = r.now
		}
	}
	c.ejections, c.failures, c.lastSuccess, c.presumedDead, c.silentAfter = 0, 0, r.now, false, 0
}

// recordSourceFailure wards off filling from a dead parent. One that can't be reached rests at once, another after
// failures with nothing good meanwhile; it died if it failed quickly while others filled.
func (r *Router) recordSourceFailure(c *endpoint, t *attempt, quick, lost bool) {
	r.adjustLimit(&c.fillLimit, t, false)
	c.fillLatency.Add(math.Max(c.fillLatency.Value, float64(r.now-t.sent)), seconds(r.now), quickKeeps)
	if c.Tier == Parent && c.lastSuccess < t.sent {
		if c.failures++; quick && lost || c.failures >= sourceFails {
			r.eject(c, quick && (lost || r.lastFill > c.lastSuccess))
		}
	}
}

// learn feeds the design with what a trip's end shows of the object.
func (r *Router) learn(v *request, t *attempt, rep AttemptResult) {
	o := r.objects.entries.Peek(v.objectKey)
	if v.Write || o == nil {
		return
	}
	c, filled := &r.endpoints[t.cache], rep.CacheStatus.IsFill()
	if c.Tier == Edge && rep.Outcome == Succeeded && (filled || rep.CacheStatus == Hit || rep.CacheStatus == Stale) {
		fresh := r.classes[v.Class].FreshnessLifetime
		if r.likelyHolds(v, o, c) && !v.Background {
			r.objects.recordExpectedHit(filled)
		}
		if r.refreshAhead && rep.GeneratedAt > o.cachedAt && o.holder == c.ID { // another router has renewed it
			o.cachedAt = rep.GeneratedAt
		}
		known := r.refreshAhead && fresh > 0 && rep.GeneratedAt > 0 && !v.Background && t.rank > 0
		if known && r.objects.worthRefreshing(o, fresh, r.locality.ZoneRouters) {
			r.executor.SuggestRefresh(v.id, rep.GeneratedAt+fresh, micros(o.gap))
		}
		if t.rank > 0 {
			r.objects.recordCopy(o, c, filled, r.classes[v.Class].FreshnessLifetime, r.now)
		} else if filled && o.holder == c.ID {
			o.holder = NoEndpoint
		}
	}
	if rep.Outcome == CacheMiss && (o.holder == t.source || o.holder == t.cache) {
		o.holder = NoEndpoint
	}
}

// TimerFired is a timer's call: what is due now and then.
func (r *Router) TimerFired() {
	r.admitQueued()
	if r.now < r.nextTick {
		return
	}
	r.nextTick = r.now + tickEvery
	r.executor.SetTimer(r.nextTick)
	for tier, ids := range [2][]EndpointID{r.zoneCaches, r.parents} {
		warm := 0.0
		for _, id := range ids {
			if c := &r.endpoints[id]; c.ejectedUntil <= r.now && !r.inSlowStart(c) {
				warm += c.Weight
			}
		}
		if warm > 0 { // with all of them cold or gone, what they bore before still counts
			more := r.tickWork[tier]/seconds(tickEvery)/warm - r.warmLoad[tier]
			if more < 0 { // a crisis is no proof that they can bear less
				more *= bearForgets
			}
			r.warmLoad[tier] += bearWeight * more
		}
		r.tickWork[tier] = 0
	}
	if r.now%second < tickEvery {
		r.maintain()
	}
}
