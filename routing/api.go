package routing

import "log/slog"

// Config configures a Router.
type Config struct {
	Seed            uint32 // seed of the random draws
	Executor        Executor
	Classes         []Class  // indexed by ClassID
	Tenants         []Tenant // indexed by TenantID
	Locality        Locality
	Permissions     Permissions
	EdgeSlowStart   SlowStart
	ParentSlowStart SlowStart
	PurgeTiming     PurgeTiming
}

// Class holds the settings of one class of requests.
type Class struct {
	Effect           Effect
	KeyScope         KeyScope
	KeyWindow        Micros // how long a cache remembers an idempotency key
	LatencyObjective Micros // an answer that takes longer is late
	// SendTimeFactor extends the latency objective by this multiple of the request's own sending time.
	SendTimeFactor    float64
	PriorityWeight    float64 // worth of an answer within the latency objective; orders the queue
	LateWeight        float64 // worth of a late answer; not used by the Router, written to the request log
	FreshnessLifetime Micros  // 0: a copy stays fresh until it is purged
	Grace             Micros  // how long after FreshnessLifetime a stale copy may be served
	Write             bool    // all requests of the class are writes: see Request.Write
}

// Tenant holds the quota of one customer of the service.
type Tenant struct {
	QuotaPerSecond  float64 // requests per second, over all routers
	OverQuotaWeight float64 // multiplies the weight of a request beyond the quota
}

// Locality describes where the router runs and how many routers share its limits.
type Locality struct {
	Zone              ZoneID
	LinkKBPerSecond   []float64 // bandwidth of the link into each zone, indexed by ZoneID; 0: unknown
	ZoneRouters       int       // number of routers in this zone
	FleetRouters      int       // number of routers in all zones
	StreamKBPerSecond float64   // rate at which one answer is sent; 0: unknown
}

// Permissions holds the bounds and the optional features that the settings permit.
type Permissions struct {
	MaxAttempts     int    // per request; values above maxAttempts have no effect
	Bypass          bool   // use a parent or the origin directly if no cache of the zone can be used
	SiblingFills    bool   // use another cache of the zone as a fill source
	JoinFills       bool   // let a miss wait for a fill that is already running
	WatchEndpoints  bool   // the endpoint list is only sent to subscribers
	FullCacheStatus bool   // caches report how they obtained each answer, or why they could not
	MaxRetryAfter   Micros // longest Retry-After; 0: send no Retry-After
}

// SlowStart limits the load of an endpoint that has just started.
type SlowStart struct {
	InitialShare     float64 // share of its full capacity at its start
	OverloadMultiple float64 // load at which it is overloaded, as a multiple of a warm endpoint's
	Ramp             Micros  // time from its start until it has its full capacity
	OverloadWindow   Micros  // window over which its load is measured
}

// PurgeTiming describes how fast purges propagate.
type PurgeTiming struct {
	Propagation Micros // time until a purge has reached every cache
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID       EndpointID
	NameHash uint64 // well-mixed hash of its name, identical at all routers
	Tier     Tier
	Zone     ZoneID
	Cell     CellID
	Weight   float64 // relative capacity; 0: unknown
	Started  Micros  // when it started; 0: long ago
	State    EndpointState
	Replaced bool // the id now names a new endpoint; no open request has an attempt at the old one
}

// Request describes a client's request, or a background refresh.
type Request struct {
	Class      ClassID
	Object     ObjectID
	Part       int // part of the object; each part is cached on its own
	Group      GroupID
	Tenant     TenantID
	Write      bool    // must reach a source, and does not wait for link, fill and fetch limits
	Remaining  Micros  // time until the client gives up
	SizeKB     float64 // 0: unknown
	Background bool    // refreshes a copy; no client waits for it
	RequestGap Micros  // for Background: mean time between requests for the object, if unknown to this router
}

// ForwardPlan says where an attempt goes and what the cache is asked to do.
type ForwardPlan struct {
	Cache                EndpointID // to which the attempt is sent; for a bypass, a parent or the origin
	Source               EndpointID // of a fill; equal to Cache: no fill
	Deadline             Micros
	LatestSend           Micros // a later attempt could take effect a second time: it must end as NotSent
	Rank                 int    // retention rank of a fill: higher if requests are more frequent; 0: not kept
	MaxAge               Micros // greatest accepted age of a copy; 0: no limit beyond the class's lifetime
	JoinFill             bool   // wait for a fill that is already running
	StaleWhileRevalidate bool   // serve an aging copy and fetch a new one in the background
	OnlyIfCached         bool   // the source answers from its own copies and fetches nothing
}

// AttemptResult describes how one attempt ended.
type AttemptResult struct {
	Attempt     AttemptNumber
	Outcome     Outcome
	CacheStatus CacheStatus
	RequestDone bool   // the client has received its final answer
	NoRetry     bool   // no further attempt may begin
	Elapsed     Micros // time since the attempt was sent
	Delayed     bool   // the router process was paused during Elapsed, and read the answer late
	CreatedAt   Micros // when the origin created the copy; 0: unknown
}

// Executor carries out the decisions of a Router. The Router calls it from within its own methods only; an
// Executor must not call the Router back.
type Executor interface {
	// IDAssigned reports the id that the Router has assigned to the request that is arriving.
	IDAssigned(RequestID)
	// Forward starts the request's next attempt.
	Forward(RequestID, ForwardPlan)
	// Reject sends the final answer that the request may safely be sent again after retryAfter. If retryAfter
	// is 0, the client is not told when.
	Reject(id RequestID, retryAfter Micros)
	// Fail sends a final answer that does not say whether the request may safely be sent again.
	Fail(RequestID)
	// Release ends the use of a request id: the Router will not use it again for this request.
	Release(RequestID)
	// SetTimer requests a call of TimerFired at the given time. Each call adds a timer; none replaces another.
	SetTimer(at Micros)
	// WatchEndpoints subscribes to the endpoint list.
	WatchEndpoints()
	// LocateCopies asks other routers which caches hold the request's object. The request does not wait for
	// the answers, which arrive through Router.CopyLocated.
	LocateCopies(RequestID)
	// SuggestRefresh reports that the copy just delivered is worth refreshing before the time freshUntil. gap
	// is the mean time between requests for the object at this router.
	SuggestRefresh(id RequestID, freshUntil, gap Micros)
	// Log writes a log line with a constant message and its values.
	Log(message string, attrs ...slog.Attr)
}
