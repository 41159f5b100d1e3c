// Package decide holds every decision of the router: this file alone has the rules of choice, the tables
// and the tuned values. Its interface is api.go; docs/design.md tells what it follows and where it departs.
//
// How it is called: New makes a router. Before each event Clock tells the time, then one of List, Arrive,
// TripEnded, Started, Left, Purged, Woke tells what happened. Results go to the Desk within that call.
//
// The design (learned accepted age) decides each ordinary visit: ledger and plan. Beside it stand:
//  1. spill: a crowded or resting home cache passes its visits on along the same hash order
//  2. known copy: a cache of the branch that was seen to hold the object is the source for another
//  3. in-flight limits: up by one, cut by a share; they also say when the router sees overload
//  4. rest: a cache or source that shows itself dead is left alone for a while, then tried by one trip
//  5. cold budgets: a just-started cache or parent gets this router's share of what it can bear
package decide

import (
	"fmt"
	"hash/crc32"
	"math"

	"threadrun/internal/mix"
	"threadrun/internal/slab"
	"threadrun/internal/table"
)

const (
	second = Micros(1e6)

	// The design's own values.
	theta      = 0.005 // weight of one sample in every smoothed figure of the design
	costFill   = 1.0   // c_f
	costAge    = 0.1   // c_a
	missTarget = 0.1   // share of kept copies that may be missing within their timer
	tableMost  = 1 << 15
	cutHigh    = 1.0 // rank 3 below this multiple of the typical gap
	cutLow     = 3.0 // rank 1 above this one

	furtherTrips = 2
	answerMargin = 4000 * Micros(1) // a trip ends this long before the client's time is up
	spillOver    = 1.25             // load over the branch's mean at which the home cache passes visits on
	spillFree    = 3.0              // trips in hand that never count as crowding
	limitFirst   = 24.0
	limitLeast   = 4.0
	limitCut     = 0.7
	cutPause     = 300_000 * Micros(1) // one cut for one jam
	restFirst    = 300_000 * Micros(1)
	restMost     = 4 * second
	sourceFails  = 3   // failures in a row after which a source rests
	quickWeight  = 0.1 // of one sample in a source's quickness
	quickTie     = 1.3 // sources nearer than this are equally quick: the hash decides
	quickBase    = 20_000.0
	budgetRate   = 0.6 // of a cold cache's allowance, as a steady rate
	budgetBurst  = 0.3 // of one window's allowance, at once
	budgetFloor  = 0.5 // work a second that all routers may send a cold cache before its kind's load is known
	tickEvery    = 250_000 * Micros(1)
	bearWeight   = 0.05 // of one tick in the load that a warm cache bears
	troubleOn    = 0.15 // share of trips refused at which the router sees overload
	troubleOff   = 0.05
	troubleStep  = 0.02
)

// State is where a visit stands.
type State uint8

const (
	Vacant State = iota
	Arrived
	OnTrip
	Between // all trips ended, none delivered
	Streaming
	Answered // may still be owed the ends of its trips
	Released
)

var follows = [...][]State{
	Vacant: {Arrived}, Arrived: {OnTrip, Answered}, OnTrip: {Between, Streaming, Answered},
	Between: {OnTrip, Answered}, Streaming: {Answered}, Answered: {Released}, Released: {},
}

type trip struct {
	cache, source CacheID
	sent          Micros
	rank          int
	ended         bool
}

type visit struct {
	Asked
	id         VisitID
	state      State
	key        uint64 // of the object's part
	ends, aim  Micros
	work       Micros // its own sending time
	trips      [1 + furtherTrips]trip
	n, out     int
	ran        bool // some trip may have run
	ranSince   Micros
	ranAt      CacheID
	fillFailed bool
}

// cache is what the router holds of one cache, parent or the origin.
type cache struct {
	Listed
	listed     bool
	inHand     int     // this router's trips there (a source: its trips that may fill from it)
	limit      float64 // on inHand
	cutAt      Micros
	strikes    int
	restUntil  Micros
	lastGood   Micros
	load       float64 // visits held there, by its own report
	quick      float64 // smoothed time that a fill from it takes beyond its bytes
	bucket     float64 // cold budget left, in seconds of work
	bucketAt   Micros
	fails      int
	sourceRest Micros
}

// Router decides for one instance.
type Router struct {
	now     Micros
	desk    Desk
	cases   []UseCase
	branch  Branch
	leave   Leave
	cold    [2]ColdStart // by tier: Edge, Parent
	purge   Purges
	visits  slab.Slab[visit]
	ledger  ledger
	caches  []cache
	edges   []CacheID // of the own zone, parents and origin apart, in the order told
	parents []CacheID
	origin  CacheID
	order   []ranked // scratch of byHash
	work    []float64
	borne   [2]float64 // work a second that one warm cache of a tier delivers for this router
	done    [2]float64 // since the last tick
	trouble float64
	heavy   bool
	ticking bool
	relist  Micros
	marks   map[uint64]Micros // purge marks: object or group, to the time of the purge
	seed    uint32
	drawn   uint32
}

type ranked struct {
	score uint64
	id    CacheID
}

// New makes a router from what is told at start.
func New(seed uint32, desk Desk, cases []UseCase, _ []Tenant, branch Branch, leave Leave,
	edge, parent ColdStart, purges Purges) *Router {
	r := &Router{desk: desk, cases: cases, branch: branch, leave: leave, cold: [2]ColdStart{edge, parent},
		purge: purges, origin: NoCache, marks: map[uint64]Micros{}, seed: seed,
		work: make([]float64, len(cases)), ledger: newLedger(tableMost)}
	return r
}

// Clock tells the time; it never goes back.
func (r *Router) Clock(now Micros) { r.now = now }

// chance draws from 0 up to 1.
func (r *Router) chance() float64 {
	r.drawn++
	b := [8]byte{byte(r.seed >> 24), byte(r.seed >> 16), byte(r.seed >> 8), byte(r.seed),
		byte(r.drawn >> 24), byte(r.drawn >> 16), byte(r.drawn >> 8), byte(r.drawn)}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// move is the one place where a visit changes its state; it says whether the change is legal.
func (r *Router) move(v *visit, to State) bool {
	for _, s := range follows[v.state] {
		if s == to {
			v.state = to
			return true
		}
	}
	return false
}

// ---- The design: what is learned of each object ----

type object struct {
	gap, rate float64 // smoothed: seconds between visits, updates a second
	seen      Micros
	fetched   Micros
	updates   int // purge notices since the last fetch
	purged    bool
	kept      CacheID // where a copy was last seen, or NoCache
	run       Micros  // that cache's start
	keptAt    Micros
	timer     Micros
}

type ledger struct {
	objects *table.Table[object]
	share   float64 // smoothed share of kept copies missing within their timer
	alpha   float64
	largest float64 // smoothed gap of the seldomest object
	typical float64 // smoothed logarithm of the gap, by visits
}

func newLedger(most int) ledger { return ledger{objects: table.New[object](most)} }

// visited counts a visit: the first observed gap is the first estimate.
func (l *ledger) visited(key uint64, now Micros) *object {
	o, made := l.objects.Touch(key)
	if made {
		o.kept = NoCache
	} else if s := seconds(now - o.seen); s > 0 {
		if o.gap == 0 {
			o.gap = s
		} else {
			o.gap += theta * (s - o.gap)
		}
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
	rate := l.rate(o, fresh)
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

func (l *ledger) rate(o *object, fresh Micros) float64 {
	if !o.purged && fresh > 0 {
		return 1 / seconds(fresh)
	}
	return o.rate
}

// kept notes where a copy lies after a fill, or a hit that showed one; the timer starts with the fill.
func (l *ledger) kept(o *object, c *cache, filled bool, fresh, now Micros) {
	if filled && o.purged {
		if t := seconds(now - o.fetched); o.fetched > 0 && t > 0 {
			o.rate += theta * (float64(o.updates)/t - o.rate)
		}
		o.updates = 0
	}
	if filled {
		o.fetched = now
	}
	if filled || o.kept != c.ID || o.run != c.Started {
		o.kept, o.run, o.keptAt = c.ID, c.Started, now
	}
	o.timer = micros(timer(o.gap, l.rate(o, fresh), l.alpha))
}

// met counts a visit at a cache that should hold a copy still; alpha follows the share that did not.
func (l *ledger) met(missing bool) {
	x := 0.0
	if missing {
		x = 1
	}
	l.share += theta * (x - l.share)
	l.alpha = 0
	if l.largest > 0 {
		l.alpha = costFill * math.Max(0, l.share/missTarget-1) / l.largest
	}
}

// ---- What happens ----

// List takes a list of caches, whole or only what changed.
func (r *Router) List(list []Listed, whole bool) {
	if whole {
		for i := range r.caches {
			r.caches[i].listed = false
		}
	}
	for _, x := range list {
		for len(r.caches) <= int(x.ID) {
			r.caches = append(r.caches, cache{limit: limitFirst, load: -1})
		}
		c := &r.caches[x.ID]
		if x.Started != c.Started { // a new process: what was learned of the old one is void
			*c = cache{limit: limitFirst, load: -1, inHand: c.inHand, quick: c.quick}
		}
		c.Listed, c.listed = x, x.Standing != Gone
	}
	r.edges, r.parents, r.origin = r.edges[:0], r.parents[:0], NoCache
	for i := range r.caches {
		c := &r.caches[i]
		switch {
		case !c.listed:
		case c.Tier == Parent:
			r.parents = append(r.parents, c.ID)
		case c.Tier == Origin:
			r.origin = c.ID
		case c.Zone == r.branch.Zone:
			r.edges = append(r.edges, c.ID)
		}
	}
	if !r.ticking {
		r.ticking = true
		r.desk.Wake(r.now + tickEvery)
		if r.leave.Ask {
			r.desk.Follow()
		}
	}
}

// ListLost tells that the subscription dropped or a call failed; the list in hand stays.
func (r *Router) ListLost() { r.relist = r.now + second }

// Purged tells that older copies of an object, or of a whole group, are out of date.
func (r *Router) Purged(o ObjectID, g GroupID, whole bool, ago Micros) {
	key := groupKey(g)
	if !whole {
		key = uint64(o)
	}
	r.marks[key] = max(r.marks[key], r.now-ago)
}

// Arrive takes a visit; from here on one final answer is owed.
func (r *Router) Arrive(a Asked) {
	id, v := r.visits.Take()
	*v = visit{Asked: a, id: id, ranAt: NoCache}
	r.move(v, Arrived)
	r.desk.Taken(id)
	use := &r.cases[a.UseCase]
	v.Write = a.Write || use.Write
	v.key = mix.Pair(uint64(a.Object), uint64(a.Part))
	if r.branch.PaceKB > 0 && a.KB > 0 {
		v.work = Micros(a.KB / r.branch.PaceKB * 1e6)
		r.learnWork(a.UseCase, v.work)
	} else {
		v.work = micros(r.work[a.UseCase])
	}
	v.ends = r.now + a.Left - answerMargin
	v.aim = min(r.now+use.Expected+Micros(use.Stretch*float64(v.work)), v.ends)
	if !v.Write {
		o := r.ledger.visited(v.key, r.now)
		if at, ok := r.purgedAt(v); ok && at > o.fetched && o.updates == 0 {
			o.updates, o.purged = o.updates+1, true
		}
	}
	r.proceed(v)
}

// Started tells that a streamed answer has begun: no clock of ours runs for it any longer.
func (r *Router) Started(id VisitID, _ TripNo) {
	if v := r.visits.Get(id); v != nil {
		r.move(v, Streaming)
	}
}

// Left tells that the client has gone; nothing more is owed.
func (r *Router) Left(id VisitID) {
	if v := r.visits.Get(id); v != nil {
		r.move(v, Answered)
		r.release(v)
	}
}

// Woke is a timer's call.
func (r *Router) Woke() {
	r.desk.Wake(r.now + tickEvery)
	r.tick()
}

// Probed is the end of a probe.
func (r *Router) Probed(id CacheID, ok bool, l Load) {
	if ok {
		r.reported(&r.caches[id], l)
	}
}

// TripEnded takes the end of one trip.
func (r *Router) TripEnded(id VisitID, rep Report) {
	v := r.visits.Get(id)
	if v == nil || int(rep.Trip) >= v.n || v.trips[rep.Trip].ended {
		return
	}
	t := &v.trips[rep.Trip]
	t.ended = true
	v.out--
	r.caches[t.cache].inHand--
	if t.source != t.cache {
		r.caches[t.source].inHand--
	}
	if !rep.Ending.ProvesUnrun() && rep.Ending != Delivered && !v.ran {
		v.ran, v.ranSince, v.ranAt = true, t.sent, t.cache
	}
	r.observe(v, t, rep)
	r.learn(v, t, rep)
	if rep.Over {
		r.move(v, Answered)
	}
	if v.state == Answered {
		r.release(v)
		return
	}
	if v.out == 0 && r.move(v, Between) {
		r.further(v, rep.Ending)
	}
}

// release frees a visit's place once nothing is owed either way.
func (r *Router) release(v *visit) {
	if v.out == 0 && r.move(v, Released) {
		r.desk.Release(v.id)
		r.visits.Free(v.id)
	}
}

// ---- What to do ----

// further decides after a trip that did not deliver.
func (r *Router) further(v *visit, end Ending) {
	lacking := end == Lacking || end == NoRoute // costs little and says nothing of a crowd
	if v.n >= min(len(v.trips), r.leave.Trips) || r.now >= v.ends || r.heavy && !lacking || !r.mayRepeat(v) {
		r.giveUp(v)
		return
	}
	r.proceed(v)
}

// mayRepeat wards off a second effect: a trip that may have run binds those after it.
func (r *Router) mayRepeat(v *visit) bool {
	use := &r.cases[v.UseCase]
	switch {
	case !v.ran || use.Effect == Harmless:
		return true
	case use.Effect == OneShot:
		return false
	}
	return r.now-v.ranSince < use.Window-second/10
}

// inReach tells whether a stamped visit's repeat would be known at this cache.
func (r *Router) inReach(v *visit, c *cache) bool {
	use := &r.cases[v.UseCase]
	if !v.ran || use.Effect != Stamped || use.Reach == Everywhere {
		return true
	}
	ran := &r.caches[v.ranAt]
	return c.Zone == ran.Zone && (use.Reach == OwnZone || c.Cell == ran.Cell)
}

// giveUp gives the final answer at once; only a deferral promises that trying again is harmless.
func (r *Router) giveUp(v *visit) {
	use := &r.cases[v.UseCase]
	defer_ := r.now < v.ends
	if v.ran && (use.Effect == OneShot || use.Effect == Stamped && use.Reach != Everywhere) {
		defer_ = false
	}
	if !r.move(v, Answered) {
		return
	}
	if defer_ {
		comeback := Micros(0)
		if r.leave.ToldComeback {
			comeback = Micros(float64(r.leave.LongestComeback) * (0.5 + 0.5*r.chance()))
		}
		r.desk.Defer(v.id, comeback)
	} else {
		r.desk.Scrap(v.id)
	}
	r.release(v)
}

// proceed sends the next trip, or gives up where there is none to send.
func (r *Router) proceed(v *visit) {
	e, ok := r.plan(v)
	if !ok || e.Until <= r.now {
		r.giveUp(v)
		return
	}
	if !r.move(v, OnTrip) {
		return
	}
	v.trips[v.n] = trip{cache: e.Cache, source: e.Source, sent: r.now, rank: e.Rank}
	v.n++
	v.out++
	r.spend(e.Cache, v)
	if e.Source != e.Cache {
		r.spend(e.Source, v)
	}
	r.desk.Send(v.id, e)
}

// spend books a trip at a cache or source.
func (r *Router) spend(id CacheID, v *visit) {
	c := &r.caches[id]
	c.inHand++
	if r.isCold(c) {
		c.bucket -= r.cost(v)
	}
}

// plan is the ordinary path: the design's age and rank, the hashed cache, the quicker source.
func (r *Router) plan(v *visit) (Errand, bool) {
	use := &r.cases[v.UseCase]
	e := Errand{Until: v.ends, Rank: 0, Join: r.leave.Join && !v.Write}
	var o *object
	if !v.Write {
		if o = r.ledger.objects.Peek(v.key); o != nil {
			e.Rank, e.Oldest = r.ledger.judge(o, use.Fresh, use.Grace)
		} else {
			e.Rank, e.Oldest = 2, use.Fresh
		}
		e.Renew = use.Fresh > 0 && e.Rank > 0
		if at, ok := r.purgedAt(v); ok { // wards off copies older than a purge, from its notice on
			age := max(r.now-at-1000, 1)
			if e.Oldest == 0 || age < e.Oldest {
				e.Oldest = age
			}
		}
	}
	if use.Effect == Harmless && v.n < furtherTrips {
		e.Until = min(v.ends, max(v.aim, r.now+(v.ends-r.now)*6/10))
	}
	e.Cache = r.pickEdge(v)
	if e.Cache == NoCache {
		return r.straight(v, e)
	}
	e.Source = r.pickSource(v, o, e.Cache)
	if v.Write && e.Source == e.Cache {
		return r.straight(v, e)
	}
	return e, true
}

// straight passes the branch's caches by, where the site lets it.
func (r *Router) straight(v *visit, e Errand) (Errand, bool) {
	if !r.leave.Direct || r.origin == NoCache {
		return e, false
	}
	e.Rank, e.Renew = 0, false
	e.Source = r.origin
	if e.Cache = r.pickParent(v); e.Cache == NoCache {
		e.Cache = r.origin
		if !r.room(&r.caches[r.origin]) {
			return e, false
		}
	}
	return e, r.inReach(v, &r.caches[e.Cache])
}

// byHash orders caches for a key: highest hash first, so one that comes or goes moves only its own objects.
func (r *Router) byHash(key uint64, ids []CacheID) []ranked {
	r.order = r.order[:0]
	for _, id := range ids {
		x := ranked{mix.Pair(key, r.caches[id].Mark), id}
		i := len(r.order)
		r.order = append(r.order, x)
		for ; i > 0 && r.order[i-1].score < x.score; i-- {
			r.order[i] = r.order[i-1]
		}
		r.order[i] = x
	}
	return r.order
}

// pickEdge takes the object's hashed cache, or the next along the hash order that is not crowded.
func (r *Router) pickEdge(v *visit) CacheID {
	mean := 0.0
	for _, id := range r.edges {
		mean += r.loadOf(&r.caches[id]) / float64(len(r.edges))
	}
	second := NoCache
	for _, x := range r.byHash(v.key, r.edges) {
		c := &r.caches[x.id]
		if !r.usable(c) || !r.room(c) || !r.inReach(v, c) || !r.affords(c, v) || r.triedAt(v, x.id) {
			continue
		}
		if r.loadOf(c) <= mean*spillOver+spillFree {
			return x.id
		}
		if second == NoCache {
			second = x.id
		}
	}
	return second
}

func (r *Router) triedAt(v *visit, id CacheID) bool {
	for _, t := range v.trips[:v.n] {
		if t.cache == id && !v.fillFailed {
			return true
		}
	}
	return false
}

// pickSource names where a miss is filled from; the cache itself means nowhere.
func (r *Router) pickSource(v *visit, o *object, edge CacheID) CacheID {
	if o != nil && r.leave.Siblings && v.n == 0 && o.kept != NoCache && o.kept != edge {
		c := &r.caches[o.kept]
		if r.usable(c) && c.Started == o.run && r.room(c) && r.affords(c, v) && r.now-o.keptAt < o.timer {
			return o.kept
		}
	}
	if p := r.pickParent(v); p != NoCache {
		return p
	}
	if r.origin != NoCache {
		if c := &r.caches[r.origin]; c.Standing == Up && r.room(c) {
			return r.origin
		}
	}
	return edge
}

// pickParent takes the quicker of the object's two hashed parents that are up.
func (r *Router) pickParent(v *visit) CacheID {
	best, second := NoCache, NoCache
	for _, x := range r.byHash(v.key, r.parents) {
		c := &r.caches[x.id]
		if !r.usable(c) || c.sourceRest > r.now || !r.affords(c, v) {
			continue
		}
		if best == NoCache {
			best = x.id
		} else {
			second = x.id
			break
		}
	}
	if second != NoCache {
		a, b := r.caches[best].quick+quickBase, r.caches[second].quick+quickBase
		if b*quickTie < a {
			return second
		}
	}
	return best
}

func (r *Router) usable(c *cache) bool {
	return c.listed && c.Standing == Up && c.restUntil <= r.now && (c.strikes == 0 || c.inHand == 0)
}

func (r *Router) room(c *cache) bool { return float64(c.inHand) < c.limit }

func (r *Router) loadOf(c *cache) float64 {
	l := math.Max(float64(c.inHand), c.load)
	if c.Weight > 0 {
		l /= c.Weight
	}
	return l
}

// ---- Guards ----

// isCold and affords ward off pushing a just-started cache over: each router sends it no more than the
// multiple allows on top of what a warm one of its kind bears from this router, which all routers can do at once.
func (r *Router) isCold(c *cache) bool {
	return c.Tier != Origin && c.Started > 0 && r.now-c.Started < r.cold[c.Tier].Ramp
}

func (r *Router) affords(c *cache, v *visit) bool {
	if !r.isCold(c) {
		return true
	}
	s := &r.cold[c.Tier]
	part := s.Least + (1-s.Least)*float64(r.now-c.Started)/float64(s.Ramp)
	crew := r.branch.Crew
	if c.Tier == Parent {
		crew = r.branch.Fleet
	}
	rate := math.Max(s.Multiple*part*r.borne[c.Tier], budgetFloor/float64(max(crew, 1)))
	burst := math.Max(rate*seconds(s.Window)*budgetBurst, r.cost(v))
	if c.bucketAt == 0 {
		c.bucketAt = c.Started
	}
	c.bucket = math.Min(burst, c.bucket+rate*budgetRate*seconds(r.now-c.bucketAt))
	c.bucketAt = r.now
	return c.bucket >= r.cost(v)
}

// cost is a visit's weight in a cold budget: its use case's mean sending time.
func (r *Router) cost(v *visit) float64 { return math.Max(r.work[v.UseCase], 0.001) }

func (r *Router) learnWork(u UseCaseID, w Micros) {
	if r.work[u] == 0 {
		r.work[u] = seconds(w)
	}
	r.work[u] += theta * (seconds(w) - r.work[u])
}

// purgedAt finds the last purge that a visit's copy must be younger than.
func (r *Router) purgedAt(v *visit) (Micros, bool) {
	at, ok := r.marks[uint64(v.Object)]
	if g, too := r.marks[groupKey(v.Group)]; too && (!ok || g > at) {
		at, ok = g, true
	}
	return at, ok
}

// observe takes what a trip's end says of its cache and source.
func (r *Router) observe(v *visit, t *trip, rep Report) {
	c := &r.caches[t.cache]
	r.reported(c, rep.Load)
	bad := 0.0
	var src *cache
	if t.source != t.cache {
		src = &r.caches[t.source]
	}
	v.fillFailed = false
	switch rep.Ending {
	case Delivered:
		if c.strikes > 0 {
			r.desk.Note(fmt.Sprintf("cache %d back after %d strikes", c.ID, c.strikes))
		}
		c.strikes, c.lastGood = 0, r.now
		if c.Tier != Origin && !r.isCold(c) {
			r.done[c.Tier] += r.cost(v)
		}
		if late := r.now > v.aim; late && rep.Trace == Hit {
			r.cut(c)
		} else if !late && float64(c.inHand) > c.limit/2 {
			c.limit++
		}
		if src != nil && (rep.Trace == Filled || rep.Trace == FilledByOrigin) {
			extra := math.Max(0, float64(rep.Elapsed-v.work))
			src.quick += quickWeight * (extra - src.quick)
			src.fails, src.lastGood = 0, r.now
			if src.Tier == Parent && !r.isCold(src) {
				r.done[Parent] += r.cost(v)
			}
			if r.now <= v.aim && float64(src.inHand) > src.limit/2 {
				src.limit++
			}
		} else if src != nil && r.isCold(src) && (rep.Trace == Hit || rep.Trace == Joined) {
			src.bucket += r.cost(v)
		}
	case Refused:
		bad = 1
		v.fillFailed = src != nil && rep.Trace != NoPlace
		if v.fillFailed {
			r.failedSource(src)
		}
		if rep.Trace == NoTrace || rep.Trace == NoPlace {
			r.cut(c)
		}
	case Failed:
		if src != nil {
			r.failedSource(src)
		}
	case NoRoute, Broken:
		r.strike(c)
	case TooSlow:
		bad = 1
		if c.lastGood < t.sent { // silent: nothing came from it since
			r.strike(c)
		} else {
			r.cut(c)
		}
		if src != nil {
			r.failedSource(src)
		}
	case Lacking:
		v.fillFailed = true
	}
	r.trouble += troubleStep * (bad - r.trouble)
	if r.heavy != (r.trouble > troubleOn || r.heavy && r.trouble > troubleOff) {
		r.heavy = !r.heavy
		r.desk.Note(fmt.Sprintf("overload %v: %.2f of trips in trouble", r.heavy, r.trouble))
	}
}

func (r *Router) reported(c *cache, l Load) {
	if l.InHand >= 0 {
		c.load = l.InHand
	}
}

func (r *Router) cut(c *cache) {
	if r.now-c.cutAt >= cutPause {
		c.limit, c.cutAt = math.Max(limitLeast, c.limit*limitCut), r.now
	}
}

func (r *Router) strike(c *cache) {
	if c.restUntil > r.now {
		return
	}
	rest := min(restFirst<<c.strikes, restMost)
	c.strikes = min(c.strikes+1, 8)
	c.restUntil = r.now + rest
	r.desk.Note(fmt.Sprintf("cache %d rests %dms after strike %d", c.ID, rest/1000, c.strikes))
}

func (r *Router) failedSource(c *cache) {
	c.fails++
	if c.Tier == Origin {
		r.cut(c)
		return
	}
	if c.fails >= sourceFails {
		c.fails = 0
		c.sourceRest = r.now + 2*restFirst
		r.desk.Note(fmt.Sprintf("source %d rests after %d failures", c.ID, sourceFails))
	}
}

// learn feeds the design with what a trip's end shows of the object.
func (r *Router) learn(v *visit, t *trip, rep Report) {
	if v.Write {
		return
	}
	o := r.ledger.objects.Peek(v.key)
	if o == nil {
		return
	}
	use, c := &r.cases[v.UseCase], &r.caches[t.cache]
	filled := rep.Trace == Filled || rep.Trace == FilledByOrigin
	hit := rep.Trace == Hit || rep.Trace == PastFresh
	if c.Tier == Edge && rep.Ending == Delivered && (filled || hit) {
		at, purged := r.purgedAt(v)
		if o.kept == c.ID && o.run == c.Started && t.sent-o.keptAt < o.timer && !(purged && at > o.keptAt) &&
			(use.Fresh == 0 || t.sent-o.keptAt < use.Fresh) {
			r.ledger.met(filled)
		}
		if t.rank > 0 {
			r.ledger.kept(o, c, filled, use.Fresh, r.now)
		} else if filled && o.kept == c.ID {
			o.kept = NoCache
		}
	}
	if rep.Ending == Lacking && (o.kept == t.source || o.kept == t.cache) {
		o.kept = NoCache
	}
}

// tick does what is due now and then.
func (r *Router) tick() {
	for tier, ids := range [2][]CacheID{r.edges, r.parents} {
		warm := 0
		for _, id := range ids {
			if c := &r.caches[id]; c.restUntil <= r.now && !r.isCold(c) {
				warm++
			}
		}
		rate := r.done[tier] / seconds(tickEvery) / float64(max(warm, 1))
		r.borne[tier] += bearWeight * (rate - r.borne[tier])
		r.done[tier] = 0
	}
	if r.relist > 0 && r.now >= r.relist {
		r.relist = 0
		r.desk.Follow()
	}
	if r.now%second < tickEvery {
		r.ledger.largest = 0
		r.ledger.objects.Each(func(o *object) { r.ledger.largest = math.Max(r.ledger.largest, o.gap) })
		for k, at := range r.marks { // the order does not matter: each mark goes by its own age
			if r.now-at > r.purge.Takes+second {
				delete(r.marks, k)
			}
		}
	}
}

func groupKey(g GroupID) uint64 { return mix.Pair(uint64(g), 0x67726f7570) }

func seconds(t Micros) float64 { return float64(t) / 1e6 }

func micros(s float64) Micros {
	if s > 1e9 {
		return Micros(1e15)
	}
	return Micros(math.Round(s * 1e6))
}
