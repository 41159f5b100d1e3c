package routing

import (
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Ids. None carries a meaning beyond naming its thing.
type (
	// Micros is a time or a span in whole microseconds.
	Micros = clock.Micros
	// RequestID names a visit in hand, from Arrive until Desk.Release.
	RequestID = arena.Handle
	// EndpointID numbers a cache, parent or origin, from 0. One that is gone leaves its number to another: see Listed.Anew.
	EndpointID int32
	// ObjectID is a well-mixed hash of an object's name.
	ObjectID uint64
	// GroupID numbers a group of objects that is purged together.
	GroupID int32
	// ClassID is a place in the list of use cases.
	ClassID int
	// TenantID is a place in the list of tenants, or NoTenant.
	TenantID int
	// ZoneID is a place in the list of zones.
	ZoneID int32
	// CellID numbers a small group of caches that share the marks they have seen.
	CellID int32
	// AttemptNumber counts the trips of one visit from 0.
	AttemptNumber int
)

// NoEndpoint stands where no cache is meant, and NoTenant where no tenant is.
const (
	NoEndpoint EndpointID = -1
	NoTenant   TenantID   = -1
)

// Effect says what a repeat of a visit would do.
type Effect uint8

const (
	Idempotent    Effect = iota // may run again
	Keyed                       // carries a mark by which its group drops a repeat
	NonIdempotent               // must never run twice
)

// KeyScope is the set of caches that drops the repeats of a stamped visit.
type KeyScope uint8

const (
	KeyScopeFleet KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Tier tells edge caches, parents and the origin apart.
type Tier uint8

const (
	Edge Tier = iota
	Parent
	Origin
)

// EndpointState is what the list says of a cache.
type EndpointState uint8

const (
	Up EndpointState = iota
	Draining
	Removed
)

// Class is a kind of visit, as told at start.
type Class struct {
	Effect                     Effect
	KeyScope                   KeyScope
	KeyWindow                  Micros // how long a stamped repeat is known
	LatencyObjective           Micros
	SendTimeFactor             float64 // the expected time grows by this multiple of the sending time
	PriorityWeight, LateWeight float64
	FreshnessLifetime, Grace   Micros // Fresh 0: good until purged
	StaleWeight                float64
	Write, Streams, Parted     bool
}

// Tenant is one customer of the service: its share over all routers, and what a visit beyond it is worth.
type Tenant struct{ QuotaPerSecond, OverQuotaWeight float64 }

// Locality is where a router stands.
type Locality struct {
	Zone                      ZoneID
	Hubs                      []ZoneID  // by zone
	LinkKBPerSecond           []float64 // by zone, KB a second; 0: not told
	ZoneRouters, FleetRouters int       // routers in this zone, and in all
	StreamKBPerSecond         float64   // KB a second of one answer at full pace
}

// Permissions is what the site lets a router do.
type Permissions struct {
	MaxAttempts                                int // for one visit
	Hedging, Canceling                         bool
	Bypass, SiblingFills, AnyZone              bool
	JoinFills, WatchEndpoints, FullCacheStatus bool   // Told: trips tell how they were filled, or why not
	MaxRetryAfter                              Micros // 0: clients are not told when to come back
}

// SlowStart bounds what a just-started cache may be sent.
type SlowStart struct {
	InitialShare, OverloadMultiple float64
	Ramp, OverloadWindow           Micros
}

// PurgeTiming are the figures of the rule on purges.
type PurgeTiming struct{ Grace, Propagation Micros }

// Endpoint is one entry of the list of caches.
type Endpoint struct {
	ID       EndpointID
	NameHash uint64 // a well-mixed hash of its name, the same at every router
	Tier     Tier
	Zone     ZoneID
	Cell     CellID
	Weight   float64
	Started  Micros // 0: long ago
	State    EndpointState
	Replaced bool // its id was another's, which is gone and which nothing refers to any more
}

// Request is a visit as it arrives.
type Request struct {
	Class      ClassID
	Object     ObjectID
	Part       int
	Group      GroupID
	Tenant     TenantID
	Write      bool
	Repeat     bool
	Remaining  Micros // until the client gives this try up
	SizeKB     float64
	Background bool   // background work that renews a copy: no client waits for it, and visits go first
	Gap        Micros // with that: the gap between visits as who saw them has it, where this router saw none
}

// ForwardPlan is one trip: where to, and what to do there.
type ForwardPlan struct {
	Cache, Source        EndpointID // Source equal to Cache: nothing is filled
	Deadline             Micros
	Rank                 int    // 0 passes through unkept
	MaxAge               Micros // 0: the use case's own
	JoinFill             bool   // wait for a fill that runs already
	StaleWhileRevalidate bool   // serve an ageing copy and fetch it anew behind
	OnlyIfCached         bool   // the source gives only what it holds
}

// Outcome is how a trip ended.
type Outcome uint8

const (
	Succeeded Outcome = iota
	Failed
	Rejected       // turned away unseen
	TimedOut       // no answer in time
	ConnectFailed  // no connection
	ConnectionLost // connection lost
	Canceled       // by the router
	NotSent
	CacheMiss // no copy that will do, none filled
)

// ProvesNotRun tells whether a trip that ended so is known never to have run.
func (e Outcome) ProvesNotRun() bool {
	return e == Rejected || e == ConnectFailed || e == NotSent || e == CacheMiss
}

// CacheStatus is what a trip's end told about its way.
type CacheStatus uint8

const (
	CacheStatusUnknown CacheStatus = iota
	Hit
	Filled
	FilledFromOrigin
	JoinedFill
	Stale
	SourceRejected
	SourceConnectionLost
	SourceMiss
	CacheBusy
	OriginFailed
)

// String words an ending for a trace.
func (e Outcome) String() string { return outcomeNames[e] }

var outcomeNames = [...]string{"delivered", "failed", "refused", "too slow", "no route", "broken", "withdrawn", "never sent",
	"lacking"}

// String words a trace.
func (t CacheStatus) String() string { return cacheStatusNames[t] }

var cacheStatusNames = [...]string{"none", "hit", "filled", "filled by origin", "joined", "past fresh", "source refused",
	"source lost", "source lacks", "no place", "origin failed"}

// IsFill tells whether the answer came by a fill of its own, whatever the source.
func (t CacheStatus) IsFill() bool { return t == Filled || t == FilledFromOrigin }

// AttemptResult is the end of one trip.
type AttemptResult struct {
	Attempt     AttemptNumber
	Outcome     Outcome
	CacheStatus CacheStatus
	RequestDone bool // the visit has its final answer
	Elapsed     Micros
	FirstOut    Micros // to the source's first byte, where told
	GeneratedAt Micros // when the origin gave the copy out, where told
}

// Executor takes the router's results. It is called only from within the router's own calls.
type Executor interface {
	Accepted(RequestID) // the visit that is arriving has this id from now on
	Forward(RequestID, ForwardPlan)
	Reject(v RequestID, comeback Micros)
	Fail(RequestID)
	Cancel(RequestID, AttemptNumber)
	Release(RequestID) // nothing more will be said or asked of this visit
	SetTimer(at Micros)
	WatchEndpoints() // subscribe to the list of caches
	// LocateCopies tells that others are to be asked who holds a copy of the visit's object. The visit itself goes on.
	LocateCopies(v RequestID)
	// SuggestRefresh tells that the copy just delivered is worth renewing before it is past its fresh time.
	SuggestRefresh(v RequestID, until, gap Micros)
	Log(line string)
}
