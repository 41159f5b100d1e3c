package membership

import (
	"log/slog"
	"net/netip"

	"threadrun/internal/random"
	"threadrun/internal/ratelimit"
)

const (
	// stallProbeIntervals is the time between two calls, in probe intervals, above which the process counts as stalled
	// for probes and suspicions. For the use of leases and shard maps the shorter MaxTickGap applies.
	stallProbeIntervals = 3
	stallLocalHealth    = 2 // points that a stall adds to the local health score
)

// Output receives the results of Members. Members calls it only from within its own methods.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// Changed reports a member's new state or incarnation, or this router's new incarnation.
	Changed(m Member)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Sent, Received uint64 // datagrams
	RateLimited    uint64 // datagrams not sent because of the rate limit or an invalid address
	Unreadable     uint64 // datagrams that do not follow the encoding, or are from this router itself
	Suspicions     uint64 // suspicions of other members, by any router
	Refuted        uint64 // suspicions of this router that it refuted
	Deaths         uint64 // members that this router declared dead
	Departures     uint64 // members that departed as announced
	Stalls         uint64 // times that this process was stalled, or its clock jumped ahead
	TableFull      uint64 // members not added because the table was full
	Repaired       uint64 // entries added to acks because the bucket sums of a ping differed
}

// Members is one router's list of the other routers. It is not safe for concurrent use.
//
// Invariant: a member's state changes only in transition and newIncarnation, which gossip and report the change.
type Members struct {
	self        Identity
	refutations Refutations // of this router
	state       State       // of this router: Alive, Leaving or Left
	output      Output
	timing      Timing
	suspicion   Suspicion
	random      random.Source

	now         Micros // this router's own time, which never goes back; see advanceClock
	callerClock Micros // the caller's clock at the last call
	startedAt   Micros

	members         []*knownMember   // sorted by ID
	seeds           []netip.AddrPort // addresses of routers whose IDs the configuration does not contain
	tableFullLogged bool

	// Probes of this router, and pings that it performs for others.
	probes          []probe
	nextProbe       Micros
	probeOrder      []NodeID                 // present members in random order
	probeOrderIndex int                      // index into probeOrder of the next target
	probedSuccessor bool                     // the last target was this router's successor; see pickProbeTarget
	pingSeq         uint32                   // sequence number of the last ping
	recentPings     [maxRecentPings]sentPing // indexed by sequence number modulo maxRecentPings
	indirectProbes  []indirectProbe
	lossShare       float64 // moving average: share of answered probes that needed more than one ping
	localHealth     int     // Lifeguard's local health score, 0 to maxLocalHealth; 0: this router is not slow

	// Suspects.
	ownSuspects       []NodeID // suspects accused by this router that it pings repeatedly, at most maxOwnSuspects
	nextReping        Micros
	repings           int    // pings of own suspects; rotates through ownSuspects
	lastDeathCheck    Micros // time of the last ping that checks a death
	partitionHealedAt Micros // when a network partition was last seen to heal; 0: never
	returnWindowStart Micros // start of the window in which returns are counted
	returnCount       int    // returns of suspected or dead members in this window
	lastReturned      NodeID // the member of the last counted return

	// Gossip.
	gossipQueue    []*knownMember // members with remaining transmissions, each once
	datagramNumber uint64         // number of the datagram under construction

	// State synchronization, and contact with the other routers.
	lastReceived         Micros // when the last readable datagram of another router was received
	lastAckedPing        Micros // when the latest ping known to have been answered was sent; 0: none
	lastContactPing      Micros // time of the last ping of renewContact
	lastPull             Micros
	pullCursor           NodeID // ID after which the next pull begins; 0: at the start of the list
	listComplete         bool   // the last page of a list has been received
	lastAbsentPing       Micros
	lastSeedPing         Micros
	unknownIncarnationAt Micros // when gossip last contained an unknown incarnation; 0: never
	lastRepairPing       Micros
	nextBucket           bucket         // first bucket of the next ping's sums
	differing            []*knownMember // result of findDiffering, reused between acks

	limiter ratelimit.Limiter               // of sent datagrams
	buffer  [MaxPayload + maxEntrySize]byte // the datagram under construction, and one entry that may not fit
	stats   Stats
}

// New returns the Members of a router that has just started. self.Weight is limited to the range from 1 to
// maxWeight. seed should differ between routers.
func New(now Micros, self Identity, output Output, seed uint32, timing Timing, suspicion Suspicion) *Members {
	self.Weight = min(max(self.Weight, 1), maxWeight)
	return &Members{
		self:           self,
		state:          Alive,
		output:         output,
		timing:         timing,
		suspicion:      suspicion,
		random:         random.Source{Seed: seed},
		now:            now,
		callerClock:    now,
		startedAt:      now,
		nextProbe:      now,
		lastPull:       now,
		lastAbsentPing: now,
		lastSeedPing:   now - seedPingInterval,
		limiter:        ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
}

// Tick performs all actions that are due. The caller must call it some tens of times per second.
func (m *Members) Tick(now Micros) {
	m.advanceClock(now)
	if m.state == Left {
		return
	}
	m.expireSuspicions()
	m.expireIndirectProbes()
	m.advanceProbes()
	m.repingSuspects()
	m.renewContact()
	m.sendRepairPing()
	m.pingAbsent()
	m.pull()
	m.forgetEnded()
}

// advanceClock advances this router's own time by the time since the last call. If the caller's clock was set back,
// no time passes, so that m.now never goes back.
func (m *Members) advanceClock(now Micros) {
	elapsed := max(now-m.callerClock, 0)
	m.callerClock = now
	if elapsed > stallProbeIntervals*m.timing.ProbeInterval {
		m.compensateForStall(elapsed)
	}
	m.now += elapsed
}

// compensateForStall prevents this router from blaming members for acks that it could not receive while its process
// was stalled or its clock jumped ahead: it ends the probes in progress without a result, and extends the deadlines
// of suspicions and indirect probes by the elapsed time.
func (m *Members) compensateForStall(elapsed Micros) {
	m.stats.Stalls++
	m.adjustLocalHealth(stallLocalHealth)
	m.probes = m.probes[:0]
	for _, r := range m.members {
		if r.State == Suspect {
			r.Since += elapsed
		}
	}
	for i := range m.indirectProbes {
		m.indirectProbes[i].deadline += elapsed
	}
	m.nextProbe = m.now + elapsed
}

// Self returns this router's own identity and state.
func (m *Members) Self() Member { return Member{Identity: m.self, State: m.state, Since: m.startedAt} }

// Each calls f for every other member in any state, in the order of their IDs.
func (m *Members) Each(f func(Member)) {
	for _, r := range m.members {
		f(r.Member)
	}
}

// Get returns another member, or false if it is not known.
func (m *Members) Get(id NodeID) (Member, bool) {
	if r := m.find(id); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// PresentCount returns the number of other members that are believed to be running.
func (m *Members) PresentCount() (n int) {
	for _, r := range m.members {
		if r.State.Present() {
			n++
		}
	}
	return n
}

// Stats returns counts of events since the start.
func (m *Members) Stats() Stats { return m.stats }
