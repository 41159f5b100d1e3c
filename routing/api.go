package routing

import "log/slog"

// Config is what a Router is made of.
type Config struct {
	Seed            uint32 // of its random draws
	Executor        Executor
	Classes         []Class  // by ClassID
	Tenants         []Tenant // by TenantID
	Locality        Locality
	Permissions     Permissions
	EdgeSlowStart   SlowStart
	ParentSlowStart SlowStart
	PurgeTiming     PurgeTiming
}

// Class is a kind of request with its own settings.
type Class struct {
	Effect           Effect
	KeyScope         KeyScope
	KeyWindow        Micros // how long the repeat of a keyed request is known
	LatencyObjective Micros // until when an answer earns its full weight
	// SendTimeFactor extends the latency objective by so many times the request's own sending time.
	SendTimeFactor    float64
	PriorityWeight    float64 // of an answer in time
	LateWeight        float64 // of a late one
	FreshnessLifetime Micros  // 0: a copy is good until it is purged
	Grace             Micros  // how long after it a stale copy may still be served
	Write             bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaPerSecond  float64 // requests a second over all routers
	OverQuotaWeight float64 // multiplies the weight of a request beyond the quota
}

// Locality is where a router stands, and how many share its limits.
type Locality struct {
	Zone              ZoneID
	LinkKBPerSecond   []float64 // into each zone, by zone; 0: unknown
	ZoneRouters       int       // routers in this zone
	FleetRouters      int       // routers in all zones
	StreamKBPerSecond float64   // of one answer at full speed; 0: unknown
}

// Permissions is what the settings let a router do.
type Permissions struct {
	MaxAttempts     int    // for one request
	Bypass          bool   // past the zone's caches, where none is up
	SiblingFills    bool   // another cache of the zone may be a fill source
	JoinFills       bool   // a miss may wait for a fill that is running
	WatchEndpoints  bool   // the endpoint list is sent only to those who ask for it
	FullCacheStatus bool   // caches report how each answer was filled, or why not
	MaxRetryAfter   Micros // longest Retry-After; 0: clients are given no time
}

// SlowStart bounds what an endpoint that has just started may be sent.
type SlowStart struct {
	InitialShare     float64 // of its capacity, at its start
	OverloadMultiple float64 // of the load of a warm endpoint at which it is overloaded
	Ramp             Micros  // from its start until it has its whole capacity
	OverloadWindow   Micros  // over which its load is measured
}

// PurgeTiming is how fast purges are.
type PurgeTiming struct {
	Propagation Micros // until a purge has reached every cache
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID       EndpointID
	NameHash uint64 // well mixed, the same at every router
	Tier     Tier
	Zone     ZoneID
	Cell     CellID
	Weight   float64 // relative capacity; 0: unknown
	Started  Micros  // 0: long ago
	State    EndpointState
	Replaced bool // the id was that of an endpoint that is gone and that nothing refers to any more
}

// Request is what a client asks for, once.
type Request struct {
	Class      ClassID
	Object     ObjectID
	Part       int // of the object; each is cached on its own
	Group      GroupID
	Tenant     TenantID
	Write      bool
	Remaining  Micros  // until the client gives up
	SizeKB     float64 // 0: unknown
	Background bool    // refreshes a copy: no client waits for it
	Gap        Micros  // with Background: between requests for the object, where this router has seen none
}

// ForwardPlan is where an attempt goes, and what the cache is to do with it.
type ForwardPlan struct {
	Cache                EndpointID
	Source               EndpointID // of a fill; the cache itself: no fill
	Deadline             Micros
	Rank                 int    // retention rank of a fill, higher for shorter gaps; 0: not kept
	MaxAge               Micros // of a copy that is served; 0: as the class has it
	JoinFill             bool   // wait for a fill that is running
	StaleWhileRevalidate bool   // serve an aging copy, and fetch it in the background
	OnlyIfCached         bool   // the source gives what it holds and fetches nothing
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	Attempt     AttemptNumber
	Outcome     Outcome
	CacheStatus CacheStatus
	RequestDone bool   // the client has its final answer
	Elapsed     Micros // since the attempt was sent
	GeneratedAt Micros // when the origin gave the copy out; 0: unknown
}

// Executor carries out what the Router decides. It is called from within the Router's own calls only and
// must not call the Router back.
type Executor interface {
	// Accepted gives the id of the request that is arriving.
	Accepted(RequestID)
	// Forward starts the request's next attempt.
	Forward(RequestID, ForwardPlan)
	// Reject gives the final answer that trying again is safe. The client may come back after retryAfter.
	Reject(id RequestID, retryAfter Micros)
	// Fail gives the final answer that promises nothing about repeats.
	Fail(RequestID)
	// Release ends the use of an id.
	Release(RequestID)
	// SetTimer asks for a call of TimerFired. Timers add up; none replaces another.
	SetTimer(at Micros)
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints()
	// LocateCopies asks others which caches hold the request's object; see Router.CopyLocated. The request
	// goes on.
	LocateCopies(RequestID)
	// SuggestRefresh names the copy just delivered as worth a refresh before freshUntil, a point in time. gap
	// is a duration: the mean time between requests for the object at this router.
	SuggestRefresh(id RequestID, freshUntil, gap Micros)
	// Log writes a log line about an event: a constant message and its values.
	Log(message string, attrs ...slog.Attr)
}
