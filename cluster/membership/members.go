package membership

import (
	"log/slog"
	"net/netip"

	"threadrun/internal/random"
	"threadrun/internal/ratelimit"
)

const (
	// stallProbeIntervals is the longest time between two ticks of a process that was not stopped, in probe
	// intervals.
	stallProbeIntervals = 3
	stallLocalHealth    = 2 // local health points charged for a stop
)

// Output receives the results of Members. Members calls it only from within its own methods.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// Changed reports a member's new state or incarnation.
	Changed(m Member)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Sent, Received uint64 // datagrams
	RateLimited    uint64 // datagrams dropped by the rate limit
	Unreadable     uint64 // unreadable datagrams
	Suspicions     uint64 // suspicions of other members
	Refuted        uint64 // suspicions of this router that it refuted
	Deaths         uint64
	Departures     uint64
	Stalls         uint64 // times that this process was stopped for a while
	TableFull      uint64 // members not added because the table was full
	Repaired       uint64 // members sent because a ping's bucket sums differed
}

// Members is one router's list of the other routers. It is not safe for concurrent use.
type Members struct {
	self        Identity
	refutations Refutations // refutations of this router
	state       State       // state of this router: Alive, Leaving or Left
	output      Output
	timing      Timing
	suspicion   Suspicion
	random      random.Source

	now       Micros // monotonic, whatever the caller's clock does
	clock     Micros // the caller's clock at the last call
	startedAt Micros

	members         []*knownMember // sorted by ID
	seeds           []netip.AddrPort
	tableFullLogged bool

	// Probes of this router, and pings that it performs for others.
	probes         []probe
	nextProbe      Micros
	probeOrder     []NodeID
	probeNext      int // index into probeOrder
	probeSuccessor bool
	pingSeq        uint32
	recentPings    [maxRecentPings]sentPing
	indirect       []indirectProbe
	lossShare      float64 // moving share of answered probes whose first ping had no ack
	localHealth    int     // Lifeguard's local health score, in points; 0: this router is not slow

	// Suspects.
	ownSuspects       []NodeID // suspects accused by this router
	nextReping        Micros
	repings           int
	lastCheck         Micros // time of the last ping that checks a death
	partitionHealedAt Micros // 0: no network partition has been seen to heal
	firstReturn       Micros // time of the first return counted in returns
	returns           int    // suspected or dead members that have returned within returnWindow
	lastReturned      NodeID
	gossipQueue       []*knownMember
	datagramNumber    uint64

	// State synchronization, and contact with the other routers.
	lastReceived           Micros
	lastAcked              Micros // when the latest ping known to have been answered was sent; 0: none
	lastContactPing        Micros
	lastPull               Micros
	pullCursor             NodeID
	listComplete           bool // a complete list has been pulled
	lastAbsentPing         Micros
	lastSeedPing           Micros
	lastUnknownIncarnation Micros // when gossip last mentioned an unknown incarnation; 0: never
	lastRepairPing         Micros
	nextBucket             bucket
	differing              []*knownMember // reused between acks

	limiter ratelimit.Limiter               // of sent datagrams
	buffer  [MaxPayload + maxEntrySize]byte // the datagram under construction, and one entry that may not fit
	stats   Stats
}

// New returns the Members of a router that has just started. seed should differ between routers.
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
		clock:          now,
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
	m.expireIndirect()
	m.advanceProbes()
	m.repingSuspects()
	m.renewContact()
	m.sendRepairPing()
	m.pingAbsent()
	m.pull()
	m.forget()
}

// advanceClock advances the router's own time. If the caller's clock was set back, no time passes.
func (m *Members) advanceClock(now Micros) {
	elapsed := max(now-m.clock, 0)
	m.clock = now
	if elapsed > stallProbeIntervals*m.timing.ProbeInterval {
		m.compensateForStall(elapsed)
	}
	m.now += elapsed
}

// compensateForStall prevents this router from blaming members for acks that it could not receive while its process
// was stopped or its clock jumped ahead.
func (m *Members) compensateForStall(elapsed Micros) {
	m.stats.Stalls++
	m.adjustLocalHealth(stallLocalHealth)
	m.probes = m.probes[:0]
	for _, r := range m.members {
		if r.State == Suspect {
			r.Since += elapsed
		}
	}
	for i := range m.indirect {
		m.indirect[i].deadline += elapsed
	}
	m.nextProbe = m.now + elapsed
}

// Self returns what this router reports about itself.
func (m *Members) Self() Member { return Member{Identity: m.self, State: m.state, Since: m.startedAt} }

// Each calls f for every other member.
func (m *Members) Each(f func(Member)) {
	for _, r := range m.members {
		f(r.Member)
	}
}

// Get returns this router's belief about another member, and whether it is known.
func (m *Members) Get(id NodeID) (Member, bool) {
	if r := m.find(id); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Present returns the number of other members that are believed to be running.
func (m *Members) Present() (n int) {
	for _, r := range m.members {
		if r.State.Present() {
			n++
		}
	}
	return n
}

// Stats returns counts of events since the start.
func (m *Members) Stats() Stats { return m.stats }
