package membership

import (
	"log/slog"
	"net/netip"

	"threadrun/internal/random"
	"threadrun/internal/ratelimit"
)

const (
	// stallProbeIntervals is how many probe intervals may lie between two ticks of a process that was not stopped.
	stallProbeIntervals = 3
	stallLocalHealth    = 2 // points of health that a stop costs
)

// Output takes the results of the calls of Members, within those calls.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// Changed reports a member's new state or incarnation.
	Changed(m Member)
	// Log writes a log line: a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Sent, Received uint64 // datagrams
	RateLimited    uint64 // datagrams not sent
	Unreadable     uint64 // datagrams
	Suspicions     uint64 // of others
	Refuted        uint64 // suspicions of this router
	Deaths         uint64
	Departures     uint64
	Stalls         uint64 // times that this process was stopped for a while
	TableFull      uint64 // members not added
	Repaired       uint64 // members told because a ping's sums showed a difference
}

// Members is one router's view of the others. It is not safe for concurrent use.
type Members struct {
	self        Identity
	refutations Refutations // of this router
	state       State       // Alive, Leaving or Left
	output      Output
	timing      Timing
	suspicion   Suspicion
	random      random.Source

	now       Micros // runs evenly, whatever the caller's clock does
	clock     Micros // the caller's
	startedAt Micros

	members        []*knownMember // by ID
	seeds          []netip.AddrPort
	tableFullNoted bool

	// Probes of this router, and those that it makes for others.
	probes         []probe
	nextProbe      Micros
	probeOrder     []NodeID
	probeNext      int // index in probeOrder
	probeSuccessor bool
	pingSeq        uint32
	recentPings    [maxRecentPings]sentPing
	indirect       []indirectProbe
	lossShare      float64 // moving share of answered probes whose first ping had no ack
	localHealth    int     // points; 0: this router is not slow

	// Suspects.
	ownSuspects    []NodeID // accused by this router
	nextReping     Micros
	repings        int
	lastCheck      Micros // the last ping that checks a death
	splitHealedAt  Micros // 0: no split was seen to heal
	firstReturn    Micros // of the suspected or dead members that returned within a second
	returns        int
	lastReturned   NodeID
	gossipQueue    []*knownMember
	datagramNumber uint64

	// What the others know, and whether they hear this router.
	lastReceived           Micros
	lastAcked              Micros // when the last ping left that is known to have been answered; 0: none is
	lastContactPing        Micros
	lastPull               Micros
	pullCursor             NodeID
	listComplete           bool // a whole list has been pulled
	lastRevival            Micros
	lastSeedPing           Micros
	lastUnknownIncarnation Micros // when gossip last brought an incarnation that was not known; 0: never
	lastCatchUp            Micros
	nextPartition          partition
	differing              []*knownMember // reused between acks

	limiter ratelimit.Limiter               // of datagrams
	buffer  [MaxPayload + maxEntrySize]byte // the datagram being made, and an entry that does not fit
	stats   Stats
}

// New makes the view of a router that has just started. Seed should differ between routers.
func New(now Micros, self Identity, output Output, seed uint32, timing Timing, suspicion Suspicion) *Members {
	self.Weight = min(max(self.Weight, 1), maxWeight)
	return &Members{
		self:         self,
		state:        Alive,
		output:       output,
		timing:       timing,
		suspicion:    suspicion,
		random:       random.Source{Seed: seed},
		now:          now,
		clock:        now,
		startedAt:    now,
		nextProbe:    now,
		lastPull:     now,
		lastRevival:  now,
		lastSeedPing: now - seedPingInterval,
		limiter:      ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
}

// Tick does what is due.
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
	m.catchUp()
	m.pingAbsent()
	m.pull()
	m.forget()
}

// advanceClock moves the router's own time. A caller's clock that is set back stands for no time at all.
func (m *Members) advanceClock(now Micros) {
	elapsed := max(now-m.clock, 0)
	m.clock = now
	if elapsed > stallProbeIntervals*m.timing.ProbeInterval {
		m.absorbStall(elapsed)
	}
	m.now += elapsed
}

// absorbStall keeps members from being blamed for acks that could not come: the clock jumped ahead, or this process
// was stopped.
func (m *Members) absorbStall(elapsed Micros) {
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

// Self returns what this router tells of itself.
func (m *Members) Self() Member { return Member{Identity: m.self, State: m.state, Since: m.startedAt} }

// Each calls f for every other member.
func (m *Members) Each(f func(Member)) {
	for _, r := range m.members {
		f(r.Member)
	}
}

// Get returns what is believed of another member.
func (m *Members) Get(id NodeID) (Member, bool) {
	if r := m.find(id); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Present counts the other members that are taken to run.
func (m *Members) Present() (n int) {
	for _, r := range m.members {
		if r.State.Present() {
			n++
		}
	}
	return n
}

// Stats returns the counts of events.
func (m *Members) Stats() Stats { return m.stats }
