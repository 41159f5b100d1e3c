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

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Output takes what comes out. It is called only from within calls of Manager.
type Output interface {
	Send(to netip.AddrPort, b []byte) // b is valid within the call only
	RecordRecovered(r directory.Record)
	StateChanged(from, to State)
	Log(message string, attrs ...slog.Attr) // writes a log line: a constant message and its fields
}

// Store has the records that this router gives to others.
type Store interface {
	// Hottest calls f for records, the most requested first, until it returns false.
	Hottest(f func(*directory.Record) bool)
	// HottestReported does so for the records that other routers have reported.
	HottestReported(f func(*directory.Record) bool)
	// Len is the number of records.
	Len() int
}

// Peer is another router that is present.
type Peer struct {
	ID          membership.NodeID
	Address     netip.AddrPort
	Incarnation membership.Incarnation
}

// Bounds are what a recovery and helping others to recover may take.
type Bounds struct {
	Records           int     // wanted
	Concurrency       int     // routers asked at a time
	RequestsPerSecond float64 // datagrams that request records
	PagesPerSecond    float64 // datagrams that answer
	FetchTimeout      Micros  // then a router goes on with what it has
	PurgeTimeout      Micros  // for how long missed purges are waited for
}

// DefaultBounds let a thousand records be fetched in some seconds.
var DefaultBounds = Bounds{
	Records:           1024,
	Concurrency:       6,
	RequestsPerSecond: 60,
	PagesPerSecond:    80,
	FetchTimeout:      8 * clock.Second,
	PurgeTimeout:      3 * clock.Second,
}

const (
	burstRequests = 8.0  // that may be sent at once after a silence
	burstPages    = 20.0 // that may be served at once after a silence
)

// Stats counts what has happened since the start.
type Stats struct {
	RequestsSent uint64
	PagesServed  uint64
	Deferred     uint64 // requests of others that were put off
	Records      uint64 // fetched
	Restored     uint64 // from the saved state of the previous incarnation
	Routers      uint64 // present as fetching began
	Unresponsive uint64 // routers that did not answer
	Unfinished   uint64 // slices that were not fetched in time
	Unreadable   uint64 // datagrams
	TookMs       int64  // from the start until Recovered or Alone, in milliseconds
}

// Manager is one router's recovery.
type Manager struct {
	self   shardmap.Owner
	output Output
	store  Store
	bounds Bounds
	random random.Source
	stats  Stats

	now        Micros
	startedAt  Micros
	state      State
	stateSince Micros

	providers       []provider
	earlier         int                   // the first so many providers seem to have started earlier than this router
	slices          []keySlice            // first those by hash, then what each provider holds for others
	hashSlices      int                   // how many are by hash
	recordsPerSlice int                   // wanted of each slice by hash
	lastNumber      uint32                // of a request
	fetched         map[shardmap.Key]bool // nil once the saved state was used
	saved           []directory.Record    // of the previous incarnation

	requestTokens float64 // that may be sent now
	pageTokens    float64 // that may be served now; below 0: owed to deferred requests
	buf           [MaxPayload + 64]byte
}

// New makes the state of a router that has just started.
func New(now Micros, self shardmap.Owner, output Output, store Store, seed uint32, bounds Bounds) *Manager {
	return &Manager{
		self:          self,
		output:        output,
		store:         store,
		bounds:        bounds,
		random:        random.Source{Seed: seed},
		now:           now,
		startedAt:     now,
		stateSince:    now,
		fetched:       map[shardmap.Key]bool{},
		requestTokens: burstRequests,
		pageTokens:    burstPages,
	}
}

// State is how far this router has recovered.
func (m *Manager) State() State { return m.state }

// Permissions is what this router may do in its state.
func (m *Manager) Permissions() Permissions { return permissions[m.state] }

// Stats counts what has happened.
func (m *Manager) Stats() Stats { return m.stats }

// setState is the only place where the state changes. It panics on a transition that the table does not allow: only
// this package causes transitions, so it is a bug here.
func (m *Manager) setState(to State) {
	from := m.state
	if !from.mayBecome(to) {
		panic(fmt.Sprintf("recovery: %v after %v", to, from))
	}
	m.state = to
	m.stateSince = m.now
	if to == CatchingUp || to == Alone {
		m.useSaved()
	}
	if to == Recovered || to == Alone {
		m.stats.TookMs = int64((m.now - m.startedAt) / clock.Millisecond)
	}
	m.output.StateChanged(from, to)
}

// inState is for how long the state has lasted.
func (m *Manager) inState() Micros { return m.now - m.stateSince }

// Tick does what is due. PurgesCaughtUp says whether all purges up to now have been received; eachPeer calls
// its argument for each router that is present.
func (m *Manager) Tick(now Micros, contact membership.Contact, purgesCaughtUp bool, eachPeer func(f func(Peer))) {
	span := max(now-m.now, 0)
	m.now = max(m.now, now)
	m.requestTokens = min(m.requestTokens+span.Seconds()*m.bounds.RequestsPerSecond, burstRequests)
	m.pageTokens = min(m.pageTokens+span.Seconds()*m.bounds.PagesPerSecond, burstPages)
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

func (m *Manager) tickJoining(contact membership.Contact, eachPeer func(f func(Peer))) {
	switch {
	case !contact.Settled:
	case contact.Alone:
		m.output.Log("recovery: no other router is present, nothing is recovered")
		m.setState(Alone)
	default:
		m.beginFetching(eachPeer)
	}
}

// tickAlone waits for a router that joins, as it may have records.
func (m *Manager) tickAlone(contact membership.Contact, eachPeer func(f func(Peer))) {
	switch {
	case m.inState() >= m.bounds.FetchTimeout:
		m.setState(Recovered)
	case !contact.Alone:
		m.beginFetching(eachPeer)
	}
}

func (m *Manager) tickCatchingUp(purgesCaughtUp bool) {
	if !purgesCaughtUp && m.inState() < m.bounds.PurgeTimeout {
		return
	}
	if !purgesCaughtUp {
		m.output.Log("recovery: purges were not received in time, continuing")
	}
	m.setState(Recovered)
	m.output.Log("recovery: complete")
}
