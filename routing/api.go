package routing

import (
	"threadrun/internal/arena"
	"threadrun/internal/clock"
)

// Ids. None carries a meaning beyond naming its thing.
type (
	// Micros is a time or a span in whole microseconds.
	Micros = clock.Micros
	// VisitID names a visit in hand, from Arrive until Desk.Release.
	VisitID = arena.Handle
	// CacheID numbers a cache, parent or origin, from 0. One that is gone leaves its number to another: see Listed.Anew.
	CacheID int32
	// ObjectID is a well-mixed hash of an object's name.
	ObjectID uint64
	// GroupID numbers a group of objects that is purged together.
	GroupID int32
	// UseCaseID is a place in the list of use cases.
	UseCaseID int
	// TenantID is a place in the list of tenants, or NoTenant.
	TenantID int
	// ZoneID is a place in the list of zones.
	ZoneID int32
	// CellID numbers a small group of caches that share the marks they have seen.
	CellID int32
	// TripNo counts the trips of one visit from 0.
	TripNo int
)

// NoCache stands where no cache is meant, and NoTenant where no tenant is.
const (
	NoCache  CacheID  = -1
	NoTenant TenantID = -1
)

// Effect says what a repeat of a visit would do.
type Effect uint8

const (
	Harmless Effect = iota // may run again
	Stamped                // carries a mark by which its group drops a repeat
	OneShot                // must never run twice
)

// Reach is the set of caches that drops the repeats of a stamped visit.
type Reach uint8

const (
	Everywhere Reach = iota
	OwnZone
	OwnCell
)

// Tier tells edge caches, parents and the origin apart.
type Tier uint8

const (
	Edge Tier = iota
	Parent
	Origin
)

// Standing is what the list says of a cache.
type Standing uint8

const (
	Up Standing = iota
	Draining
	Gone
)

// UseCase is a kind of visit, as told at start.
type UseCase struct {
	Effect                 Effect
	Reach                  Reach
	Window                 Micros // how long a stamped repeat is known
	Expected               Micros
	Stretch                float64 // the expected time grows by this multiple of the sending time
	Importance, LateWorth  float64
	Fresh, Grace           Micros // Fresh 0: good until purged
	OldWorth               float64
	Write, Streams, Parted bool
}

// Tenant is one customer of the service: its share over all routers, and what a visit beyond it is worth.
type Tenant struct{ PerSecond, OverWorth float64 }

// Branch is where a router stands.
type Branch struct {
	Zone        ZoneID
	Hubs        []ZoneID  // by zone
	LinksKB     []float64 // by zone, KB a second; 0: not told
	Crew, Fleet int       // routers in this zone, and in all
	PaceKB      float64   // KB a second of one answer at full pace
}

// Leave is what the site lets a router do.
type Leave struct {
	Trips                     int // for one visit
	TwoAtOnce, Withdraw       bool
	Direct, Siblings, AnyZone bool
	Join, Ask, Told           bool   // Told: trips tell how they were filled, or why not
	LongestComeback           Micros // 0: clients are not told when to come back
}

// ColdStart bounds what a just-started cache may be sent.
type ColdStart struct {
	Least, Multiple float64
	Ramp, Window    Micros
}

// Purges are the figures of the rule on purges.
type Purges struct{ Grace, Takes Micros }

// Listed is one entry of the list of caches.
type Listed struct {
	ID       CacheID
	Mark     uint64 // a well-mixed hash of its name, the same at every router
	Tier     Tier
	Zone     ZoneID
	Cell     CellID
	Weight   float64
	Started  Micros // 0: long ago
	Standing Standing
	Anew     bool // its id was another's, which is gone and which nothing refers to any more
}

// Asked is a visit as it arrives.
type Asked struct {
	UseCase UseCaseID
	Object  ObjectID
	Part    int
	Group   GroupID
	Tenant  TenantID
	Write   bool
	Repeat  bool
	Left    Micros // until the client gives this try up
	KB      float64
	Behind  bool   // background work that renews a copy: no client waits for it, and visits go first
	Gap     Micros // with that: the gap between visits as who saw them has it, where this router saw none
}

// Errand is one trip: where to, and what to do there.
type Errand struct {
	Cache, Source CacheID // Source equal to Cache: nothing is filled
	Until         Micros
	Rank          int    // 0 passes through unkept
	Oldest        Micros // 0: the use case's own
	Join          bool   // wait for a fill that runs already
	Renew         bool   // serve an ageing copy and fetch it anew behind
	HeldOnly      bool   // the source gives only what it holds
}

// Ending is how a trip ended.
type Ending uint8

const (
	Delivered Ending = iota
	Failed
	Refused   // turned away unseen
	TooSlow   // no answer in time
	NoRoute   // no connection
	Broken    // connection lost
	Withdrawn // by the router
	NeverSent
	Lacking // no copy that will do, none filled
)

// ProvesUnrun tells whether a trip that ended so is known never to have run.
func (e Ending) ProvesUnrun() bool {
	return e == Refused || e == NoRoute || e == NeverSent || e == Lacking
}

// Trace is what a trip's end told about its way.
type Trace uint8

const (
	NoTrace Trace = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	PastFresh
	SourceRefused
	SourceLost
	SourceLacks
	NoPlace
	OriginFailed
)

// String words an ending for a trace.
func (e Ending) String() string { return endings[e] }

var endings = [...]string{"delivered", "failed", "refused", "too slow", "no route", "broken", "withdrawn", "never sent",
	"lacking"}

// String words a trace.
func (t Trace) String() string { return traces[t] }

var traces = [...]string{"none", "hit", "filled", "filled by origin", "joined", "past fresh", "source refused",
	"source lost", "source lacks", "no place", "origin failed"}

// IsFill tells whether the answer came by a fill of its own, whatever the source.
func (t Trace) IsFill() bool { return t == Filled || t == FilledByOrigin }

// Report is the end of one trip.
type Report struct {
	Trip     TripNo
	Ending   Ending
	Trace    Trace
	Over     bool // the visit has its final answer
	Elapsed  Micros
	FirstOut Micros // to the source's first byte, where told
	Made     Micros // when the origin gave the copy out, where told
}

// Desk takes the router's results. It is called only from within the router's own calls.
type Desk interface {
	Taken(VisitID) // the visit that is arriving has this id from now on
	Send(VisitID, Errand)
	Defer(v VisitID, comeback Micros)
	Scrap(VisitID)
	Withdraw(VisitID, TripNo)
	Release(VisitID) // nothing more will be said or asked of this visit
	Wake(at Micros)
	Follow() // subscribe to the list of caches
	// Seek tells that others are to be asked who holds a copy of the visit's object. The visit itself goes on.
	Seek(v VisitID)
	// Ageing tells that the copy just delivered is worth renewing before it is past its fresh time.
	Ageing(v VisitID, until, gap Micros)
	Note(line string)
}
