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

// requestState is where a visit stands.
type requestState uint8

const (
	stateVacant requestState = iota
	stateArrived
	stateInFlight
	stateBetweenAttempts // all trips ended, none delivered
	stateQueued          // for a fill to come free
	stateStreaming
	stateAnswered // may still be owed the ends of its trips
	stateReleased
)

type attempt struct {
	cache, source EndpointID
	sent          Micros
	rank          int
	mayFill       bool
	mayFetch      bool // may make its source fetch from the origin
	onlyIfCached  bool
	ended         bool
}

type request struct {
	Request
	id                        RequestID
	state                     requestState
	objectKey                 uint64 // of the object's part
	deadline, objective       Micros
	sendTime                  Micros // its own sending time
	attempts                  [tripsMost]attempt
	attemptCount, outstanding int
	mayHaveRun                bool // some trip may have run
	mayHaveRunSince           Micros
	mayHaveRunAt              EndpointID
	lookupMissed              bool // a trip only looked, and found nothing
	arrived                   Micros
	overQuota                 bool // over its tenant's share
	sourceMissed              bool // the source was asked for what it holds, and lacks it
	fillFailed                bool // the last trip failed for its source, not its cache
	siblingAsked              bool // another cache of the branch was asked for its copy
}

// limit bounds what is in flight somewhere.
type limit struct {
	capacity  float64
	sharers   int // routers that share what it bounds
	inUse     int
	lastCut   Micros
	notBefore Micros // below one: no trip before
}

func (l *limit) available(now Micros) bool {
	return l.capacity >= 1 && float64(l.inUse) < l.capacity || l.inUse == 0 && now >= l.notBefore
}

// rescale has so many routers share what is bounded: was over is.
func (l *limit) rescale(part float64, of int) {
	l.capacity, l.sharers = l.capacity*math.Min(1, part), of
}

// endpoint is what the router holds of one cache, parent or the origin.
type endpoint struct {
	Endpoint
	listed          bool
	listedStart     Micros // its start, by the list; Started may be what its trips have shown
	attemptLimit    limit  // sent to it
	fillLimit       limit  // naming it as source, that may fill
	ejections       int
	ejectedUntil    Micros
	ejectedAt       Micros // when it began to rest
	lastSuccess     Micros
	fillLatency     ewma.Average // smoothed time that a fill from it takes beyond its bytes
	slowStartBudget tokenbucket.Bucket
	failures        int
	lastDisconnect  Micros       // the last end of a connection that counted
	lateShare       ewma.Average // share of its ends that were late, lately
	presumedDead    bool         // it gave no connection, or struck out
	budgetStart     Micros       // the start that its cold budget was made for
	silentAfter     Micros       // when the first trip passes its expected time that may fill from it, without a word since; 0: none is out
}

func (c *endpoint) idle() bool { return c.attemptLimit.inUse+c.fillLimit.inUse == 0 }

// objectStats is what is learned of one part of an object.
type objectStats struct {
	gap, purgeRate   float64 // smoothed: seconds between visits, updates a second
	lastRequest      Micros
	lastFetch        Micros
	purgesSinceFetch int // purge notices since the last fetch
	everPurged       bool
	holder           EndpointID // where a copy was last seen, or NoCache
	holderStarted    Micros     // that cache's start
	cachedAt         Micros
	timer            Micros
	sendTime         float64 // its own sending time in seconds, where clients tell no size; 0: not known
}

// objectTable is what is learned of the objects.
type objectTable struct {
	entries       *lru.Map[objectStats]
	missShare     float64 // smoothed share of kept copies missing within their timer
	alpha         float64
	largestGap    float64 // smoothed gap of the seldomest object
	typicalLogGap float64 // smoothed logarithm of the gap, by visits
}

// Router decides for one instance.
type Router struct {
	now              Micros
	executor         Executor
	classes          []Class
	locality         Locality
	permissions      Permissions
	slowStart        [2]SlowStart // by tier: Edge, Parent
	purgeTiming      PurgeTiming
	requests         arena.Arena[request]
	objects          objectTable
	endpoints        []endpoint
	zoneCaches       []EndpointID // of the own zone
	parents          []EndpointID
	origin           EndpointID
	ranking          rendezvous.Ranking[EndpointID]
	nameHash         func(EndpointID) uint64
	tenants          []Tenant
	quotas           []tokenbucket.Bucket // what each tenant has left of its share here
	queue            []RequestID          // in the order they came
	fetchLimit       limit                // fills that the origin may have to bear
	linkLimit        limit                // fills that come in over the branch's link
	classSendTimes   []float64            // mean sending time of each use case, in seconds
	warmLoad         [2]float64           // work a second and weight that warm caches of a tier deliver for this router
	tickWork         [2]float64           // since the last tick
	warmCost         [2]float64           // cost of one request that warm caches of a tier answered
	zoneWeight       float64              // of the branch's caches together
	fastestAttempt   Micros               // the quickest end of a trip yet
	lateShare        ewma.Average         // share of its trips' ends that were late, lately
	lateSuccessShare ewma.Average         // share of its good ends that were late, lately
	lastFill         Micros               // the last good fill from any source
	overloadShare    ewma.Average         // share of trips that met a crowd
	overloaded       bool                 // the router sees overload
	nextTick         Micros
	lastLimitCut     Micros            // when a limit was cut last
	refreshAhead     bool              // ageing copies are told, to be renewed ahead
	siblingLookup    bool              // other caches' copies are a source, and others are asked for them
	watchLost        bool              // the list must be asked for again
	purgeTimes       map[uint64]Micros // purge marks: object or group, to the time of the purge
	seed             uint32
	draws            uint32
}

// FleetSize tells how many routers share what limits bound: in the branch, and in all.
func (r *Router) FleetSize() (crew, fleet int) {
	return r.locality.ZoneRouters, r.locality.FleetRouters
}

// PlanBackground tells where background work would go now, and whether it may. Nothing is sent.
func (r *Router) PlanBackground(a Request) (ForwardPlan, bool) {
	v := request{Request: a}
	r.prepare(&v)
	e, _, ok := r.plan(&v)
	return e, ok && r.backgroundFits(&v, e)
}

// SetTime tells the time; it never goes back.
func (r *Router) SetTime(now Micros) { r.now = now }

// EndpointWatchLost tells that the subscription dropped or a call failed; the list in hand stays.
func (r *Router) EndpointWatchLost() { r.watchLost = true }

// EnableRefreshAhead tells whether copies worth renewing ahead are to be told to the desk.
func (r *Router) EnableRefreshAhead(on bool) { r.refreshAhead = on }

// EnableSiblingLookup tells whether other caches' copies may be a source, and others be asked for them.
func (r *Router) EnableSiblingLookup(on bool) { r.siblingLookup = on }

// CopyLocated enters a copy that others have seen at a cache of this branch, made at a time, of an object whose copy this router knows none of.
func (r *Router) CopyLocated(key uint64, at EndpointID, made Micros) {
	o := r.objects.entries.Peek(key)
	if o == nil || int(at) >= len(r.endpoints) || o.holder >= 0 && r.endpoints[o.holder].listed && o.holderStarted == r.endpoints[o.holder].Started {
		return
	}
	if c := &r.endpoints[at]; c.listed && c.Tier == Edge && c.Zone == r.locality.Zone && made > c.Started {
		o.holder, o.holderStarted, o.cachedAt, o.timer = at, c.Started, made, 0
		r.admitQueued() // one may wait for just this
	}
}

// SetFleetSize tells how many routers share what limits bound: in the branch, and in all. Wards off a stampede when
// many come back: each one's part shrinks at once. Where fewer are there, limits grow as they always do.
func (r *Router) SetFleetSize(crew, fleet int) {
	branch, all := float64(r.locality.ZoneRouters)/float64(crew), float64(r.locality.FleetRouters)/float64(fleet)
	r.locality.ZoneRouters, r.locality.FleetRouters = crew, fleet
	r.linkLimit.rescale(branch, crew)
	r.fetchLimit.rescale(all, fleet)
	for i := range r.endpoints {
		r.endpoints[i].attemptLimit.rescale(branch, attemptLimitSharers*crew)
		r.endpoints[i].fillLimit.rescale(all, fleet)
	}
}

// maintain asks for the list again if it was lost, and keeps what is learned in bounds: the largest gap, and marks of purges that are done.
func (r *Router) maintain() {
	if r.watchLost {
		r.watchLost = false
		r.executor.WatchEndpoints()
	}
	r.objects.largestGap = 0
	r.objects.entries.Each(func(o *objectStats) { r.objects.largestGap = math.Max(r.objects.largestGap, o.gap) })
	for k, at := range r.purgeTimes { // the order does not matter: each mark goes by its own age
		if r.now-at > r.purgeTiming.Propagation+second {
			delete(r.purgeTimes, k)
		}
	}
}

// ResponseStarted tells that a streamed answer has begun: no clock of ours runs for it any longer.
func (r *Router) ResponseStarted(id RequestID, _ AttemptNumber) {
	if v := r.requests.Get(id); v != nil {
		v.transition(stateStreaming)
	}
}

// ClientLeft tells that the client has gone; nothing more is owed.
func (r *Router) ClientLeft(id RequestID) {
	if v := r.requests.Get(id); v != nil {
		v.transition(stateAnswered)
		r.release(v)
	}
}

// random draws from 0 up to 1.
func (r *Router) random() float64 {
	r.draws++
	b := [8]byte{byte(r.seed >> 24), byte(r.seed >> 16), byte(r.seed >> 8), byte(r.seed),
		byte(r.draws >> 24), byte(r.draws >> 16), byte(r.draws >> 8), byte(r.draws)}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// transition is the one place where a visit changes its state; it says whether the change is legal.
func (v *request) transition(to requestState) bool {
	for _, s := range transitions[v.state] {
		if s == to {
			v.state = to
			return true
		}
	}
	return false
}

func (v *request) triedAt(id EndpointID) bool {
	for _, t := range v.attempts[:v.attemptCount] {
		if t.cache == id {
			return true
		}
	}
	return false
}

// release frees a visit's place once nothing is owed either way.
func (r *Router) release(v *request) {
	if v.outstanding == 0 && v.transition(stateReleased) {
		r.executor.Release(v.id)
		r.requests.Free(v.id)
	}
}

// applyEndpoints brings the router's list up to date.
func (r *Router) applyEndpoints(list []Endpoint, whole bool, anew endpoint) {
	if whole {
		for i := range r.endpoints {
			r.endpoints[i].listed = false
		}
	}
	for _, x := range list {
		for len(r.endpoints) <= int(x.ID) {
			r.endpoints = append(r.endpoints, anew)
		}
		c := &r.endpoints[x.ID]
		if x.Replaced || x.Started != c.listedStart { // a new machine or process: what was learned of the old one is void
			was := *c
			*c = anew
			if c.listedStart = x.Started; x.Replaced {
				r.objects.forgetHolder(x.ID)
			} else {
				c.attemptLimit.inUse, c.fillLimit.inUse, c.fillLatency = was.attemptLimit.inUse, was.fillLimit.inUse, was.fillLatency
			}
		} else {
			x.Started = c.Started
		}
		c.Endpoint, c.listed = x, x.State != Removed
		if !(c.Weight > 0) { // not told
			c.Weight = 1
		}
	}
	r.indexEndpoints()
}

// forgetHolder drops what was learned of copies at a cache that is gone: its id is another's now.
func (l *objectTable) forgetHolder(id EndpointID) {
	l.entries.Each(func(o *objectStats) {
		if o.holder == id {
			o.holder = NoEndpoint
		}
	})
}

// linkTransfers is how many transfers at full pace the branch's link takes, where told. Its caches together, and any
// one parent, are taken to send that much at least: a link in is thinner than what stands at its ends.
func (r *Router) linkTransfers() float64 {
	if z := int(r.locality.Zone); z < len(r.locality.LinkKBPerSecond) && r.locality.StreamKBPerSecond > 0 {
		return r.locality.LinkKBPerSecond[z] / r.locality.StreamKBPerSecond
	}
	return 0
}

// indexEndpoints finds the branch's caches, the parents and the origin on the list.
func (r *Router) indexEndpoints() {
	r.zoneCaches, r.parents, r.origin, r.zoneWeight = r.zoneCaches[:0], r.parents[:0], NoEndpoint, 0
	for i := range r.endpoints {
		c := &r.endpoints[i]
		switch {
		case !c.listed:
		case c.Tier == Parent:
			r.parents = append(r.parents, c.ID)
		case c.Tier == Origin:
			r.origin = c.ID
		case c.Zone == r.locality.Zone:
			r.zoneCaches = append(r.zoneCaches, c.ID)
			r.zoneWeight += c.Weight
		}
	}
}

// Purged tells that older copies of an object, or of a whole group, are out of date.
func (r *Router) Purged(o ObjectID, g GroupID, whole bool, ago Micros) {
	key := groupKey(g)
	if !whole {
		key = uint64(o)
	}
	r.purgeTimes[key] = max(r.purgeTimes[key], r.now-ago)
}

// reserve enters a trip in the limits it counts in, or takes it out.
func (r *Router) reserve(t *attempt, n int) {
	r.endpoints[t.cache].attemptLimit.inUse += n
	if t.mayFill {
		src := &r.endpoints[t.source]
		src.fillLimit.inUse += n
		if src.Tier != Edge { // bytes of a cache beside stay within the branch
			r.linkLimit.inUse += n
		}
		if t.mayFetch {
			r.fetchLimit.inUse += n
		}
	}
}

// LearnGap enters the gap that other routers have learned of an object's part, where nothing is known of it here: key is the object's
// hash mixed with the part's number. What is seen here moves it as any other figure (docs/design.md, "Taught figures").
func (r *Router) LearnGap(key uint64, gap Micros) {
	if o, made := r.objects.entries.GetOrAdd(key); made {
		o.holder, o.gap, o.lastRequest = NoEndpoint, seconds(gap), r.now
	}
}

// lastPurge finds the last purge that a visit's copy must be younger than.
func (r *Router) lastPurge(v *request) (Micros, bool) {
	at, ok := r.purgeTimes[uint64(v.Object)]
	if g, too := r.purgeTimes[groupKey(v.Group)]; too && (!ok || g > at) {
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
