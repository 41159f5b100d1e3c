package routing

import (
	"hash/crc32"
	"math"

	"threadrun/internal/arena"
	"threadrun/internal/ewma"
	"threadrun/internal/hash"
	"threadrun/internal/lru"
	"threadrun/internal/rendezvous"
	"threadrun/internal/tokenbucket"
)

// State is where a visit stands.
type State uint8

const (
	Vacant State = iota
	Arrived
	OnTrip
	Between // all trips ended, none delivered
	Waiting // for a fill to come free
	Streaming
	Answered // may still be owed the ends of its trips
	Released
)

type trip struct {
	cache, source EndpointID
	sent          Micros
	rank          int
	mayFill       bool
	fetches       bool // may make its source fetch from the origin
	heldOnly      bool
	ended         bool
}

type visit struct {
	Request
	id         RequestID
	state      State
	key        uint64 // of the object's part
	ends, aim  Micros
	work       Micros // its own sending time
	trips      [tripsMost]trip
	n, out     int
	ran        bool // some trip may have run
	ranSince   Micros
	ranAt      EndpointID
	looked     bool // a trip only looked, and found nothing
	came       Micros
	over       bool // over its tenant's share
	lacked     bool // the source was asked for what it holds, and lacks it
	fillFailed bool // the last trip failed for its source, not its cache
	beside     bool // another cache of the branch was asked for its copy
}

// limit bounds what is in flight somewhere.
type limit struct {
	most  float64
	of    int // routers that share what it bounds
	inUse int
	cutAt Micros
	after Micros // below one: no trip before
}

func (l *limit) free(now Micros) bool {
	return l.most >= 1 && float64(l.inUse) < l.most || l.inUse == 0 && now >= l.after
}

// share has so many routers share what is bounded: was over is.
func (l *limit) share(part float64, of int) { l.most, l.of = l.most*math.Min(1, part), of }

// cache is what the router holds of one cache, parent or the origin.
type cache struct {
	Endpoint
	listed    bool
	told      Micros // its start, by the list; Started may be what its trips have shown
	trips     limit  // sent to it
	fills     limit  // naming it as source, that may fill
	strikes   int
	restUntil Micros
	struck    Micros // when it began to rest
	lastGood  Micros
	quick     ewma.Average // smoothed time that a fill from it takes beyond its bytes
	bucket    tokenbucket.Bucket
	fails     int
	brokeAt   Micros       // the last end of a connection that counted
	late      ewma.Average // share of its ends that were late, lately
	died      bool         // it gave no connection, or struck out
	spread    Micros       // the start that its cold budget was made for
	overdue   Micros       // when the first trip passes its expected time that may fill from it, without a word since; 0: none is out
}

func (c *cache) idle() bool { return c.trips.inUse+c.fills.inUse == 0 }

// object is what is learned of one part of an object.
type object struct {
	gap, rate float64 // smoothed: seconds between visits, updates a second
	seen      Micros
	fetched   Micros
	updates   int // purge notices since the last fetch
	purged    bool
	kept      EndpointID // where a copy was last seen, or NoCache
	run       Micros     // that cache's start
	keptAt    Micros
	timer     Micros
	work      float64 // its own sending time in seconds, where clients tell no size; 0: not known
}

// ledger is what is learned of the objects.
type ledger struct {
	objects *lru.Map[object]
	share   float64 // smoothed share of kept copies missing within their timer
	alpha   float64
	largest float64 // smoothed gap of the seldomest object
	typical float64 // smoothed logarithm of the gap, by visits
}

// Router decides for one instance.
type Router struct {
	now      Micros
	desk     Executor
	cases    []Class
	branch   Locality
	leave    Permissions
	cold     [2]SlowStart // by tier: Edge, Parent
	purge    PurgeTiming
	visits   arena.Arena[visit]
	ledger   ledger
	caches   []cache
	edges    []EndpointID // of the own zone
	parents  []EndpointID
	origin   EndpointID
	order    rendezvous.Ranking[EndpointID]
	mark     func(EndpointID) uint64
	tenants  []Tenant
	quotas   []tokenbucket.Bucket // what each tenant has left of its share here
	waiting  []RequestID          // in the order they came
	fetch    limit                // fills that the origin may have to bear
	link     limit                // fills that come in over the branch's link
	work     []float64            // mean sending time of each use case, in seconds
	borne    [2]float64           // work a second and weight that warm caches of a tier deliver for this router
	done     [2]float64           // since the last tick
	mean     [2]float64           // cost of one request that warm caches of a tier answered
	weight   float64              // of the branch's caches together
	door     Micros               // the quickest end of a trip yet
	late     ewma.Average         // share of its trips' ends that were late, lately
	slow     ewma.Average         // share of its good ends that were late, lately
	lastFill Micros               // the last good fill from any source
	trouble  ewma.Average         // share of trips that met a crowd
	heavy    bool                 // the router sees overload
	nextTick Micros
	cut      Micros            // when a limit was cut last
	ahead    bool              // ageing copies are told, to be renewed ahead
	asks     bool              // other caches' copies are a source, and others are asked for them
	lost     bool              // the list must be asked for again
	marks    map[uint64]Micros // purge marks: object or group, to the time of the purge
	seed     uint32
	drawn    uint32
}

// FleetSize tells how many routers share what limits bound: in the branch, and in all.
func (r *Router) FleetSize() (crew, fleet int) { return r.branch.ZoneRouters, r.branch.FleetRouters }

// PlanBackground tells where background work would go now, and whether it may. Nothing is sent.
func (r *Router) PlanBackground(a Request) (ForwardPlan, bool) {
	v := visit{Request: a}
	r.prepare(&v)
	e, _, ok := r.plan(&v)
	return e, ok && r.spared(&v, e)
}

// SetTime tells the time; it never goes back.
func (r *Router) SetTime(now Micros) { r.now = now }

// EndpointWatchLost tells that the subscription dropped or a call failed; the list in hand stays.
func (r *Router) EndpointWatchLost() { r.lost = true }

// EnableRefreshAhead tells whether copies worth renewing ahead are to be told to the desk.
func (r *Router) EnableRefreshAhead(on bool) { r.ahead = on }

// EnableSiblingLookup tells whether other caches' copies may be a source, and others be asked for them.
func (r *Router) EnableSiblingLookup(on bool) { r.asks = on }

// CopyLocated enters a copy that others have seen at a cache of this branch, made at a time, of an object whose copy this router knows none of.
func (r *Router) CopyLocated(key uint64, at EndpointID, made Micros) {
	o := r.ledger.objects.Peek(key)
	if o == nil || int(at) >= len(r.caches) || o.kept >= 0 && r.caches[o.kept].listed && o.run == r.caches[o.kept].Started {
		return
	}
	if c := &r.caches[at]; c.listed && c.Tier == Edge && c.Zone == r.branch.Zone && made > c.Started {
		o.kept, o.run, o.keptAt, o.timer = at, c.Started, made, 0
		r.admit() // one may wait for just this
	}
}

// SetFleetSize tells how many routers share what limits bound: in the branch, and in all. Wards off a stampede when
// many come back: each one's part shrinks at once. Where fewer are there, limits grow as they always do.
func (r *Router) SetFleetSize(crew, fleet int) {
	branch, all := float64(r.branch.ZoneRouters)/float64(crew), float64(r.branch.FleetRouters)/float64(fleet)
	r.branch.ZoneRouters, r.branch.FleetRouters = crew, fleet
	r.link.share(branch, crew)
	r.fetch.share(all, fleet)
	for i := range r.caches {
		r.caches[i].trips.share(branch, tripsSlow*crew)
		r.caches[i].fills.share(all, fleet)
	}
}

// tend asks for the list again if it was lost, and keeps what is learned in bounds: the largest gap, and marks of purges that are done.
func (r *Router) tend() {
	if r.lost {
		r.lost = false
		r.desk.WatchEndpoints()
	}
	r.ledger.largest = 0
	r.ledger.objects.Each(func(o *object) { r.ledger.largest = math.Max(r.ledger.largest, o.gap) })
	for k, at := range r.marks { // the order does not matter: each mark goes by its own age
		if r.now-at > r.purge.Propagation+second {
			delete(r.marks, k)
		}
	}
}

// ResponseStarted tells that a streamed answer has begun: no clock of ours runs for it any longer.
func (r *Router) ResponseStarted(id RequestID, _ AttemptNumber) {
	if v := r.visits.Get(id); v != nil {
		v.move(Streaming)
	}
}

// ClientLeft tells that the client has gone; nothing more is owed.
func (r *Router) ClientLeft(id RequestID) {
	if v := r.visits.Get(id); v != nil {
		v.move(Answered)
		r.release(v)
	}
}

// chance draws from 0 up to 1.
func (r *Router) chance() float64 {
	r.drawn++
	b := [8]byte{byte(r.seed >> 24), byte(r.seed >> 16), byte(r.seed >> 8), byte(r.seed),
		byte(r.drawn >> 24), byte(r.drawn >> 16), byte(r.drawn >> 8), byte(r.drawn)}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// move is the one place where a visit changes its state; it says whether the change is legal.
func (v *visit) move(to State) bool {
	for _, s := range follows[v.state] {
		if s == to {
			v.state = to
			return true
		}
	}
	return false
}

func (v *visit) triedAt(id EndpointID) bool {
	for _, t := range v.trips[:v.n] {
		if t.cache == id {
			return true
		}
	}
	return false
}

// release frees a visit's place once nothing is owed either way.
func (r *Router) release(v *visit) {
	if v.out == 0 && v.move(Released) {
		r.desk.Release(v.id)
		r.visits.Free(v.id)
	}
}

// enter brings the router's list up to date.
func (r *Router) enter(list []Endpoint, whole bool, anew cache) {
	if whole {
		for i := range r.caches {
			r.caches[i].listed = false
		}
	}
	for _, x := range list {
		for len(r.caches) <= int(x.ID) {
			r.caches = append(r.caches, anew)
		}
		c := &r.caches[x.ID]
		if x.Replaced || x.Started != c.told { // a new machine or process: what was learned of the old one is void
			was := *c
			*c = anew
			if c.told = x.Started; x.Replaced {
				r.ledger.forget(x.ID)
			} else {
				c.trips.inUse, c.fills.inUse, c.quick = was.trips.inUse, was.fills.inUse, was.quick
			}
		} else {
			x.Started = c.Started
		}
		c.Endpoint, c.listed = x, x.State != Removed
		if !(c.Weight > 0) { // not told
			c.Weight = 1
		}
	}
	r.sort()
}

// forget drops what was learned of copies at a cache that is gone: its id is another's now.
func (l *ledger) forget(id EndpointID) {
	l.objects.Each(func(o *object) {
		if o.kept == id {
			o.kept = NoEndpoint
		}
	})
}

// fits is how many transfers at full pace the branch's link takes, where told. Its caches together, and any
// one parent, are taken to send that much at least: a link in is thinner than what stands at its ends.
func (r *Router) fits() float64 {
	if z := int(r.branch.Zone); z < len(r.branch.LinkKBPerSecond) && r.branch.StreamKBPerSecond > 0 {
		return r.branch.LinkKBPerSecond[z] / r.branch.StreamKBPerSecond
	}
	return 0
}

// sort finds the branch's caches, the parents and the origin on the list.
func (r *Router) sort() {
	r.edges, r.parents, r.origin, r.weight = r.edges[:0], r.parents[:0], NoEndpoint, 0
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
			r.weight += c.Weight
		}
	}
}

// Purged tells that older copies of an object, or of a whole group, are out of date.
func (r *Router) Purged(o ObjectID, g GroupID, whole bool, ago Micros) {
	key := groupKey(g)
	if !whole {
		key = uint64(o)
	}
	r.marks[key] = max(r.marks[key], r.now-ago)
}

// book enters a trip in the limits it counts in, or takes it out.
func (r *Router) book(t *trip, n int) {
	r.caches[t.cache].trips.inUse += n
	if t.mayFill {
		src := &r.caches[t.source]
		src.fills.inUse += n
		if src.Tier != Edge { // bytes of a cache beside stay within the branch
			r.link.inUse += n
		}
		if t.fetches {
			r.fetch.inUse += n
		}
	}
}

// LearnGap enters the gap that other routers have learned of an object's part, where nothing is known of it here: key is the object's
// hash mixed with the part's number. What is seen here moves it as any other figure (docs/design.md, "Taught figures").
func (r *Router) LearnGap(key uint64, gap Micros) {
	if o, made := r.ledger.objects.GetOrAdd(key); made {
		o.kept, o.gap, o.seen = NoEndpoint, seconds(gap), r.now
	}
}

// purgedAt finds the last purge that a visit's copy must be younger than.
func (r *Router) purgedAt(v *visit) (Micros, bool) {
	at, ok := r.marks[uint64(v.Object)]
	if g, too := r.marks[groupKey(v.Group)]; too && (!ok || g > at) {
		at, ok = g, true
	}
	return at, ok
}

func groupKey(g GroupID) uint64 { return hash.Combine(uint64(g), 0x67726f7570) }

func seconds(t Micros) float64 { return float64(t) / 1e6 }

func micros(s float64) Micros {
	if s > 1e9 {
		return Micros(1e15)
	}
	return Micros(math.Round(s * 1e6))
}

// smooth moves a mean by one sample; the first sample is the first estimate.
func smooth(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += weight * (x - *mean)
}
