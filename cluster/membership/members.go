// Package members tells a router which other routers run: failure detection and spreading of news in the manner of
// SWIM, with suspicion, and with the measures of Lifeguard for a router that is itself slow. Free of I/O: time and
// datagrams go in, datagrams and changes come out.
//
// How it is called: New makes the view of one router. Known tells of peers or seeds. Then Tick is called some tens of
// times a second, Hear with each datagram that has come, Leave before a planned end. Results go to the Post within
// that call. news.go has what is believed of whom, wire.go the datagrams; docs/design-shared-duties.md the reasons.
package membership

import (
	"math"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const (
	datagramsPerSecond = 60.0 // datagrams at most, whatever comes; the ordinary pace is a third of that
	datagramBurst      = 30.0
	maxMembers         = 4096

	stallProbeIntervals = 3 // times the probe period between two ticks: this router itself was stopped
	maxHealth           = 4 // points; each has a router wait longer for answers
	healthDoubling      = 8 // points that double the time until it believes a death
	lossAverageWeight   = 0.05
	highLossShare       = 0.3

	maxMissShare      = 0.01 // chance that a ping of our own and its repeats are all lost
	maxCheckPings     = 3
	checkInterval     = 20 * clock.Millisecond // between pings to those whose death is to be believed
	checkReserve      = datagramBurst / 2      // of the datagrams that may go: answers go first
	returnsAfterSplit = 3                      // dead or suspected that speak within a second
	splitRecovery     = 5 * clock.Second       // after a split has healed
	splitInterval     = 5 * clock.Second

	maxOwnSuspects = 4 // suspects of our own that are asked again and again
	maxIndirect    = 32
	maxRecentPings = 32 // pings whose late answers still prove that we are heard

	catchUpTime = clock.Second // after the last life that was not known, more is asked

	gossipFactor = 3 // times the logarithm of the members: how often a piece of news is told

	pullInterval       = clock.Second
	absentPingInterval = clock.Second // one that is not there is tried
	seedPingInterval   = 10 * clock.Second
	newcomerTime       = 3 * clock.Second         // a newcomer tries its peers faster
	minSettleTime      = 1500 * clock.Millisecond // of the start: until then peers are being found
	maxSettleTime      = 6 * clock.Second
	aloneAfter         = clock.Second // without a word from anybody: one that is heard by none may still hear them
	forgetAfter        = 10 * clock.Minute
	shutdownRepeats    = 3 // how often a departure is told at its end
	maxPages           = 2 // that one pull is answered with
)

// record is one record.
type record struct {
	Member
	refutations    Refutations
	accusers       [maxAccusers]NodeID
	accuserCount   int
	transmissions  int // how often its news is to be told still
	urgent         bool
	lastDatagram   uint64 // the datagram it was told in last
	oldIncarnation bool   // it spoke as in an earlier life, and is to hear of the later one
	configured     bool   // by the deployment: never forgotten
	checkPings     int    // pings of our own since it was suspected by others
	lastCheckPing  Micros // the last of them
}

const maxAccusers = 4

// probe is one under way.
type probe struct {
	target        NodeID
	seq           uint32
	sent          Micros
	deadline      Micros
	attempts      int // of our own; with the last one helpers are asked
	helpers       int
	helperReplies int // helpers that answered at all
}

// indirectProbe is a probe for another.
type indirectProbe struct {
	seq, askerSeq uint32
	asker         netip.AddrPort
	target        NodeID
	deadline      Micros
}

type sentPing struct {
	seq  uint32
	sent Micros
}

// Members is one router's view.
type Members struct {
	self                   Identity
	refutations            Refutations
	state                  State // Alive, Leaving or Left
	post                   Post
	timing                 Timing
	suspicion              Suspicion
	random                 random.Source
	now                    Micros // own time: runs on evenly, whatever the clock does
	clock                  Micros
	startedAt              Micros
	all                    []*record // by mark
	gossipQueue            []*record // whose news is to be told
	datagramSeq            uint64
	probeOrder             []NodeID // in which members are probed
	probeNext              int
	probeSuccessor         bool
	probes                 []probe
	nextProbe              Micros // the next probe
	pingSeq                uint32
	recentPings            [maxRecentPings]sentPing
	indirect               []indirectProbe
	ownSuspects            []NodeID // whom we have accused ourselves
	nextReping             Micros   // when the next of them is asked again
	repings                int
	seeds                  []netip.AddrPort
	health                 int
	lossShare              float64 // share of late of probes whose first ping went without an answer
	lastReceived           Micros  // the last word from another
	lastAcked              Micros  // when that left which is known to have been answered; 0: never
	lastPull               Micros
	lastContactPing        Micros
	pullCursor             NodeID
	listComplete           bool // a whole list has been seen
	lastRevival            Micros
	lastSeedPing           Micros
	tokens                 float64
	lastRefill             Micros
	tableFullNoted         bool
	lastCheck              Micros // the last ping to one whose death is to be believed
	splitHealedAt          Micros // when a split was last seen to have healed; 0: never
	firstReturn            Micros // the first of the dead or suspected that spoke within a second
	returns                int
	lastReturned           NodeID
	lastUnknownIncarnation Micros    // when news last brought a life that was not known; 0: never
	lastCatchUp            Micros    // the last ping for that
	nextPartition          partition // the first part of the next sums
	differing              []*record // kept for the next answer
	stats                  Stats
	buffer                 [MaxPayload + maxEntrySize]byte // a datagram in the making, and what turns out not to fit
}

// New makes the view of a router that has just started.
func New(now Micros, self Identity, post Post, seed uint32, pace Timing, doubt Suspicion) *Members {
	self.Weight = min(max(self.Weight, 1), maxWeight)
	m := &Members{self: self, state: Alive, post: post, timing: pace, suspicion: doubt, random: random.Source{Seed: seed},
		clock: now, now: now, startedAt: now, tokens: datagramBurst, lastRefill: now, nextProbe: now, lastPull: now, lastRevival: now}
	m.lastSeedPing = now - seedPingInterval
	return m
}

// AddPeers tells of peers: those of the deployment by their marks, or seeds by their addresses alone.
func (m *Members) AddPeers(peers []Peer) {
	for _, p := range peers {
		switch {
		case p.ID == m.self.ID || p.Address == m.self.Address:
		case p.ID == 0:
			if !slices.Contains(m.seeds, p.Address) {
				m.seeds = append(m.seeds, p.Address)
			}
		default:
			if r := m.find(p.ID); r != nil {
				r.configured = true
			} else if r = m.add(p.ID); r != nil {
				r.Address, r.configured = p.Address, true
			}
		}
	}
}

// find gives the record of a member, or nil.
func (m *Members) find(id NodeID) *record {
	if at, ok := m.search(id); ok {
		return m.all[at]
	}
	return nil
}

func (m *Members) search(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(m.all, id, func(r *record, id NodeID) int {
		switch {
		case r.ID < id:
			return -1
		case r.ID > id:
			return 1
		}
		return 0
	})
}

// add makes a record, if there is room.
func (m *Members) add(id NodeID) *record {
	if len(m.all) >= maxMembers {
		m.stats.TableFull++
		if !m.tableFullNoted {
			m.tableFullNoted = true
			m.post.Note("members: the table is full, newcomers are not taken in")
		}
		return nil
	}
	at, _ := m.search(id)
	r := &record{Member: Member{Identity: Identity{ID: id}, Since: m.now}}
	m.all = slices.Insert(m.all, at, r)
	return r
}

// Self is what this router tells of itself.
func (m *Members) Self() Member { return Member{Identity: m.self, State: m.state, Since: m.startedAt} }

// Each calls f for every other member.
func (m *Members) Each(f func(Member)) {
	for _, r := range m.all {
		f(r.Member)
	}
}

// Get gives what is held of another member.
func (m *Members) Get(id NodeID) (Member, bool) {
	if r := m.find(id); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Present counts the others that are taken to run.
func (m *Members) Present() (n int) {
	for _, r := range m.all {
		if r.State.Present() {
			n++
		}
	}
	return n
}

// Health is how slow this router takes itself to be: 0 is well.
func (m *Members) Health() int { return m.health }

// Stats counts what has happened.
func (m *Members) Stats() Stats { return m.stats }

// Contact tells how this router stands to the others.
func (m *Members) Contact() Contact {
	at := Contact{SinceAck: m.now - max(m.lastAcked, m.startedAt), Alone: m.Present() == 0 && m.now-m.lastReceived >= aloneAfter}
	at.Settled = m.now-m.startedAt >= minSettleTime && m.listComplete || m.now-m.startedAt >= maxSettleTime ||
		len(m.all)+len(m.seeds) == 0
	return at
}

// advanceClock moves the own time. A clock set back stands for no time at all; one that jumps ahead, or a process that was
// stopped, is told apart from time in which answers could have come: nobody is blamed for it.
func (m *Members) advanceClock(now Micros) {
	span := max(now-m.clock, 0)
	m.clock = now
	if span > stallProbeIntervals*m.timing.ProbeInterval {
		m.stats.Stalls++
		m.adjustHealth(2)
		m.probes = m.probes[:0]
		for _, r := range m.all { // doubts wait as long as we were away
			if r.State == Suspect {
				r.Since += span
			}
		}
		for i := range m.indirect {
			m.indirect[i].deadline += span
		}
		m.nextProbe = m.now + span
	}
	m.now += span
}

func (m *Members) adjustHealth(points int) { m.health = min(max(m.health+points, 0), maxHealth) }

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

// timeoutFactor is how many times longer a router that is itself slow waits for an answer.
func (m *Members) timeoutFactor() Micros { return Micros(1 + m.health) }

// advanceProbes goes on with the probes under way and begins the next one. A router that is itself slow waits longer for each,
// and probes no less.
func (m *Members) advanceProbes() {
	for i := range m.probes {
		if p := &m.probes[i]; p.attempts < m.timing.Attempts && m.now-p.sent >= m.timing.AckTimeout*Micros(p.attempts)*m.timeoutFactor() {
			p.attempts++
			m.retryProbe(p)
		}
	}
	left := m.probes[:0]
	for i := range m.probes {
		if p := &m.probes[i]; m.now < p.deadline {
			left = append(left, *p)
		} else {
			m.probeFailed(p)
		}
	}
	m.probes = left
	if m.now < m.nextProbe {
		return
	}
	m.nextProbe = max(m.nextProbe+m.timing.ProbeInterval, m.now+m.timing.ProbeInterval/2) // on the beat, but never a volley for what was missed
	if r := m.find(m.pickProbeTarget()); r != nil {
		m.probes = append(m.probes, probe{target: r.ID, seq: m.ping(r), sent: m.now, attempts: 1,
			deadline: m.now + m.timing.AckTimeout*Micros(m.timing.Attempts+1)*m.timeoutFactor()})
	}
}

// probeIndex finds the probe that an answer is for; -1: none.
func (m *Members) probeIndex(seq uint32) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.seq == seq })
}

// retryProbe asks again, and at last asks others to try: wards off blaming a member for lost datagrams, or for one way's.
func (m *Members) retryProbe(p *probe) {
	r := m.find(p.target)
	if r == nil {
		return
	}
	times := 1
	if m.lossShare > highLossShare {
		times = 2
	}
	for range times {
		m.newDatagram(ping).number(p.seq).sums().gossip(r).send(r.Address)
	}
	if p.attempts < m.timing.Attempts {
		return
	}
	n := len(m.all)
	at := m.random.IntN(n)
	for i := 0; i < n && p.helpers < m.timing.IndirectProbes*times; i++ {
		h := m.all[(at+i*m.stride(n))%n]
		if h.State != Alive || h.ID == r.ID {
			continue
		}
		p.helpers++
		m.newDatagram(pingRequest).number(p.seq).id(r.ID).address(r.Address).gossip(nil).send(h.Address)
	}
}

// recordLoss counts, of the probes that were answered, those whose first ping was not. Where they are many the network loses
// much, and each further try is made twice: else so many would be suspected at once that the news of it outgrows what can be
// told. The dead and those beyond a split tell nothing of losses.
func (m *Members) recordLoss(late bool) {
	m.lossShare -= lossAverageWeight * m.lossShare
	if late {
		m.lossShare += lossAverageWeight
	}
}

// stride is a step through n places that meets each once: with it helpers do not stand side by side.
func (m *Members) stride(n int) int {
	for s := n/2 + 1; s < n; s++ {
		if gcd(s, n) == 1 {
			return s
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// probeFailed blames the member whose probe went without an answer. Helpers that did not answer either speak against
// ourselves.
func (m *Members) probeFailed(p *probe) {
	if p.helpers > 0 && p.helperReplies == 0 {
		m.adjustHealth(1)
	}
	r := m.find(p.target)
	if r == nil || !r.State.Present() {
		return
	}
	m.suspect(r, r.refutations, m.self.ID)
	if r.State == Suspect && !slices.Contains(m.ownSuspects, r.ID) && len(m.ownSuspects) < maxOwnSuspects {
		m.ownSuspects = append(m.ownSuspects, r.ID)
		m.nextReping = min(m.nextReping, m.now)
	}
}

// repingSuspects asks those again whom we have accused: a lost answer is no death, and each ping tells of the accusation.
func (m *Members) repingSuspects() {
	m.ownSuspects = slices.DeleteFunc(m.ownSuspects, func(id NodeID) bool {
		r := m.find(id)
		return r == nil || r.State != Suspect
	})
	if len(m.ownSuspects) == 0 || m.now < m.nextReping {
		return
	}
	m.nextReping = m.now + m.timing.AckTimeout/2
	m.repings++
	m.ping(m.find(m.ownSuspects[m.repings%len(m.ownSuspects)]))
}

// renewContact asks for a sign that others hear this router, where none has come for a while: whoever shares work rests
// without one, and a router that probes slowly would find none.
func (m *Members) renewContact() {
	if m.now-m.lastAcked <= 2*m.timing.ProbeInterval || m.now-m.lastContactPing < m.timing.ProbeInterval/2 || len(m.all) == 0 {
		return
	}
	m.lastContactPing = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// catchUp asks more members than is its turn to probe while answers bring lives that were not known: after a mass restart the sums of
// ordinary pings alone take ten seconds.
func (m *Members) catchUp() {
	if m.lastUnknownIncarnation == 0 || m.now-m.lastUnknownIncarnation >= catchUpTime || m.now-m.lastCatchUp < m.timing.AckTimeout || m.tokens <= datagramBurst/2 {
		return
	}
	m.lastCatchUp = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// pickProbeTarget takes the next member to probe. Every other time it is the one that comes after this router by mark: so each is
// probed by someone in every second period, and no death lies unseen for long. In between it is each once in an order by
// chance, then in another: so that accusers are many.
func (m *Members) pickProbeTarget() NodeID {
	if m.probeSuccessor = !m.probeSuccessor; m.probeSuccessor {
		at, _ := m.search(m.self.ID)
		for i := range m.all {
			if r := m.all[(at+i)%len(m.all)]; r.State == Alive {
				return r.ID
			}
		}
	}
	for range 2 {
		for m.probeNext < len(m.probeOrder) {
			id := m.probeOrder[m.probeNext]
			m.probeNext++
			if r := m.find(id); r != nil && r.State.Present() {
				return id
			}
		}
		m.probeOrder, m.probeNext = m.probeOrder[:0], 0
		for _, r := range m.all {
			if r.State.Present() {
				m.probeOrder = append(m.probeOrder, r.ID)
			}
		}
		m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return 0
}

// ping asks a member whether it is there.
func (m *Members) ping(r *record) (seq uint32) {
	m.pingSeq++
	m.recentPings[m.pingSeq%maxRecentPings] = sentPing{m.pingSeq, m.now}
	m.newDatagram(ping).number(m.pingSeq).sums().gossip(r).send(r.Address)
	return m.pingSeq
}

// expireIndirect tells askers of those that did not answer.
func (m *Members) expireIndirect() {
	m.indirect = slices.DeleteFunc(m.indirect, func(r indirectProbe) bool {
		if m.now < r.deadline {
			return false
		}
		m.newDatagram(nack).number(r.askerSeq).gossip(nil).send(r.asker)
		return true
	})
}

// pingAbsent tries one that is not there: it may be back, or beyond a split that has healed. A newcomer does so faster.
func (m *Members) pingAbsent() {
	every := absentPingInterval
	if m.now-m.startedAt < newcomerTime {
		every = m.timing.ProbeInterval / 2
	}
	if m.now-m.lastRevival < every {
		return
	}
	m.lastRevival = m.now
	if n := len(m.all); n > 0 {
		at := m.random.IntN(n)
		for i := range n {
			if r := m.all[(at+i)%n]; !r.State.Present() && r.Address.IsValid() {
				m.ping(r)
				break
			}
		}
	}
	if len(m.seeds) > 0 && (m.Present() == 0 || m.now-m.lastSeedPing >= seedPingInterval) {
		m.lastSeedPing = m.now
		m.pingSeq++
		m.recentPings[m.pingSeq%maxRecentPings] = sentPing{m.pingSeq, m.now}
		m.newDatagram(ping).number(m.pingSeq).sums().gossip(nil).send(m.seeds[m.random.IntN(len(m.seeds))])
	}
}

// pull asks a member for a part of its list: mends what no piece of news has brought. A newcomer asks on until it has seen
// a whole list.
func (m *Members) pull() {
	every := pullInterval
	if !m.listComplete && m.now-m.startedAt < maxSettleTime {
		every = m.timing.AckTimeout
	}
	if m.now-m.lastPull < every || len(m.all) == 0 {
		return
	}
	m.lastPull = m.now
	if r := m.randomPresent(); r != nil {
		m.newDatagram(pull).id(m.pullCursor).gossip(r).send(r.Address)
	}
}

// RequestMember asks a member for that part of its list that begins with a mark: something names a router as it is not known here.
func (m *Members) RequestMember(id NodeID) {
	if len(m.all) > 0 {
		if r := m.randomPresent(); r != nil {
			m.newDatagram(pull).id(id - 1).gossip(r).send(r.Address)
		}
	}
}

// randomPresent is a present member by chance, or nil.
func (m *Members) randomPresent() *record {
	at := m.random.IntN(len(m.all))
	for i := range m.all {
		if r := m.all[(at+i)%len(m.all)]; r.State.Present() {
			return r
		}
	}
	return nil
}

// forget drops those that are gone for long, unless the deployment lists them.
func (m *Members) forget() {
	m.all = slices.DeleteFunc(m.all, func(r *record) bool {
		return !r.configured && (r.State == Dead || r.State == Left) && m.now-r.Since > forgetAfter
	})
}

// gossipTransmissions is how often a piece of news is told.
func (m *Members) gossipTransmissions() int {
	return gossipFactor * int(math.Ceil(math.Log2(float64(len(m.all)+2))))
}

// Leave tells that this router is to go; it works on until Gone.
func (m *Members) Leave(now Micros) {
	m.advanceClock(now)
	if m.state != Alive {
		return
	}
	m.state = Leaving
	m.refutations++
	m.pingSome(m.timing.IndirectProbes * 2)
}

// Shutdown tells that this router ends now.
func (m *Members) Shutdown(now Micros) {
	m.advanceClock(now)
	if m.state == Left {
		return
	}
	m.state = Left
	m.refutations++
	for range shutdownRepeats {
		m.pingSome(m.timing.IndirectProbes * 2)
	}
}

// pingSome tells some members by chance of this router's own state.
func (m *Members) pingSome(most int) {
	if len(m.all) == 0 {
		return
	}
	at, step := m.random.IntN(len(m.all)), m.stride(len(m.all))
	for i := 0; i < len(m.all) && most > 0; i++ {
		if r := m.all[(at+i*step)%len(m.all)]; r.State.Present() {
			m.ping(r)
			most--
		}
	}
}
