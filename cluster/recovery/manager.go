package recovery

import (
	"fmt"
	"log/slog"
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Output receives the results of a Manager. The Manager calls it only from within its own methods.
type Output interface {
	// Send sends a datagram. b is valid only during the call.
	Send(to netip.AddrPort, b []byte)
	// RecordRecovered passes on a record that was fetched or is from the saved state. A key may occur several times.
	RecordRecovered(r directory.Record)
	// StateChanged reports a transition of the recovery's state.
	StateChanged(from, to State)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Store provides the records that this router sends to others.
type Store interface {
	// Hottest calls f for the records in order, most requested first, until f returns false.
	Hottest(f func(*directory.Record) bool)
	// HottestReported calls f like Hottest, but only for the records that other routers have reported.
	HottestReported(f func(*directory.Record) bool)
	// Len returns the number of records.
	Len() int
}

// Peer is another present router.
type Peer struct {
	ID          membership.NodeID
	Address     netip.AddrPort
	Incarnation membership.Incarnation // start time in milliseconds on the peer's clock
}

// Bounds limits the resources spent on this router's recovery and on that of others.
type Bounds struct {
	Records           int     // number of records to fetch
	Concurrency       int     // maximum number of requests in flight
	RequestsPerSecond float64 // rate of request datagrams, of this router's recovery
	PagesPerSecond    float64 // rate of answers with records, to other routers
	FetchTimeout      Micros  // time in Fetching, or in Alone, after which the router continues with the records it has
	PurgeTimeout      Micros  // maximum time to wait for missed purges
}

// DefaultBounds lets a router fetch a thousand records in some seconds.
var DefaultBounds = Bounds{
	Records:           1024,
	Concurrency:       6,
	RequestsPerSecond: 60,
	PagesPerSecond:    80,
	FetchTimeout:      8 * clock.Second,
	PurgeTimeout:      3 * clock.Second,
}

const (
	burstRequests = 8.0  // requests that may be sent at once after an idle time
	burstPages    = 20.0 // pages that may be sent at once after an idle time
)

// Stats counts events since the start.
type Stats struct {
	RequestsSent uint64
	PagesServed  uint64 // answers with records, or without any if this router has none
	Deferred     uint64 // deferred requests of other routers
	Records      uint64 // records fetched, including repeated keys
	Restored     uint64 // records used from the saved state of the previous incarnation
	Routers      uint64 // other routers present when fetching began
	Unresponsive uint64 // slices whose provider was given up because it did not answer
	Unfinished   uint64 // slices that were not fetched in time
	Unreadable   uint64 // unreadable datagrams
	Took         Micros // time from the start to Recovered or Alone
}

// Manager recovers one router's state, and serves records to other routers. It is not safe for concurrent use.
type Manager struct {
	self   shardmap.Owner
	output Output
	store  Store
	bounds Bounds
	random random.Source
	stats  Stats

	now        Micros // latest time passed by the caller; never goes back
	startedAt  Micros
	state      State
	stateSince Micros // when the current state was entered

	providers []provider // listed when fetching begins
	// earlierCount is the number of providers, at the start of the list, that seem to have started earlier than this
	// router.
	earlierCount    int
	slices          []keySlice            // first the slices by hash, then one per provider, with fixedProvider set
	hashSliceCount  int                   // number of slices by hash
	recordsPerSlice int                   // records to fetch for each slice by hash
	lastNumber      uint32                // number of the last request
	fetchedKeys     map[shardmap.Key]bool // keys of the fetched records; nil once the saved state was used
	saved           []directory.Record    // records of the previous incarnation

	requestTokens float64               // requests that may be sent now
	pageTokens    float64               // pages that may be sent now; below 0: reserved for deferred requests
	buf           [MaxPayload + 64]byte // the datagram under construction
}

// New returns the Manager of a router that has just started, in the state Joining. store contains the records that
// are served to other routers. seed should differ between routers.
func New(now Micros, self shardmap.Owner, output Output, store Store, seed uint32, bounds Bounds) *Manager {
	return &Manager{
		self:          self,
		output:        output,
		store:         store,
		bounds:        bounds,
		random:        random.Source{Seed: seed},
		lastNumber:    membership.FirstNumber(self.ID, self.Incarnation),
		now:           now,
		startedAt:     now,
		stateSince:    now,
		fetchedKeys:   map[shardmap.Key]bool{},
		requestTokens: burstRequests,
		pageTokens:    burstPages,
	}
}

// State returns the state of this router's recovery.
func (m *Manager) State() State { return m.state }

// Permissions returns what this router may do in its current state.
func (m *Manager) Permissions() Permissions { return permissions[m.state] }

// Stats returns counts of events since the start.
func (m *Manager) Stats() Stats { return m.stats }

// setState changes the state, uses the saved state if there is nothing more to fetch, and reports the transition. No
// other code changes the state. setState panics on a transition that the transitions table does not allow: only this
// package causes transitions, so such a transition is a bug here.
func (m *Manager) setState(to State) {
	from := m.state
	if !from.mayBecome(to) {
		panic(fmt.Sprintf("recovery: illegal transition from state %q to state %q", from, to))
	}
	m.state = to
	m.stateSince = m.now
	if to == CatchingUp || to == Alone {
		m.outputSaved()
	}
	if to == Recovered || to == Alone {
		m.stats.Took = m.now - m.startedAt
	}
	m.output.StateChanged(from, to)
}

// timeInState returns for how long the current state has lasted.
func (m *Manager) timeInState() Micros { return m.now - m.stateSince }

// Tick performs all actions that are due. purgesCaughtUp says that all purges up to now have been received;
// eachPeer iterates over the other present routers. The caller must call Tick some tens of times per second.
func (m *Manager) Tick(now Micros, contact membership.Contact, purgesCaughtUp bool, eachPeer func(f func(Peer))) {
	elapsed := max(now-m.now, 0)
	m.now = max(m.now, now)
	m.requestTokens = min(m.requestTokens+elapsed.Seconds()*m.bounds.RequestsPerSecond, burstRequests)
	m.pageTokens = min(m.pageTokens+elapsed.Seconds()*m.bounds.PagesPerSecond, burstPages)
	switch m.state {
	case Joining:
		m.tickJoining(contact, eachPeer)
	case Alone:
		m.tickAlone(contact, eachPeer)
	case Fetching:
		m.tickFetching()
	case CatchingUp:
		m.tickCatchingUp(purgesCaughtUp)
	case Recovered:
	}
}

// tickJoining waits until the router knows which other routers are present.
func (m *Manager) tickJoining(contact membership.Contact, eachPeer func(f func(Peer))) {
	switch {
	case !contact.Settled:
	case contact.Alone:
		m.output.Log("recovery: no other router is present, no records are fetched")
		m.setState(Alone)
	default:
		m.beginFetching(eachPeer)
	}
}

// tickAlone waits until another router joins, since that may have records, but at most for FetchTimeout.
func (m *Manager) tickAlone(contact membership.Contact, eachPeer func(f func(Peer))) {
	switch {
	case m.timeInState() >= m.bounds.FetchTimeout:
		m.setState(Recovered)
	case !contact.Alone:
		m.beginFetching(eachPeer)
	}
}

// tickCatchingUp waits until the missed purges have been received, but at most for PurgeTimeout.
func (m *Manager) tickCatchingUp(purgesCaughtUp bool) {
	if !purgesCaughtUp && m.timeInState() < m.bounds.PurgeTimeout {
		return
	}
	if !purgesCaughtUp {
		m.output.Log("recovery: purges were not received in time, continuing")
	}
	m.setState(Recovered)
	m.output.Log("recovery: complete")
}
