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
	perSecond   = 60.0 // datagrams at most, whatever comes; the ordinary pace is a third of that
	burst       = 30.0
	membersMost = 4096

	stallTimes = 3 // times the probe period between two ticks: this router itself was stopped
	healthMost = 4 // points; each has a router wait longer for answers
	wariness   = 8 // points that double the time until it believes a death
	lossWeight = 0.05
	lossy      = 0.3

	missMost    = 0.01 // chance that a ping of our own and its repeats are all lost
	triesMost   = 3
	checkEvery  = 20 * clock.Millisecond // between pings to those whose death is to be believed
	checkLeaves = burst / 2              // of the datagrams that may go: answers go first
	backsMany   = 3                      // dead or suspected that speak within a second
	waryFor     = 5 * clock.Second       // after a split has healed
	healedEvery = 5 * clock.Second

	accusedMost = 4 // suspects of our own that are asked again and again
	relaysMost  = 32
	recentMost  = 32 // pings whose late answers still prove that we are heard

	lackedFor = clock.Second // after the last life that was not known, more is asked

	tellTimes = 3 // times the logarithm of the members: how often a piece of news is told

	pullEvery   = clock.Second
	reviveEvery = clock.Second // one that is not there is tried
	seedEvery   = 10 * clock.Second
	youngFor    = 3 * clock.Second         // a newcomer tries its peers faster
	settleLeast = 1500 * clock.Millisecond // of the start: until then peers are being found
	settleMost  = 6 * clock.Second
	aloneAfter  = clock.Second // without a word from anybody: one that is heard by none may still hear them
	forgetAfter = 10 * clock.Minute
	leaveTimes  = 3 // how often a departure is told at its end
	pagesMost   = 2 // that one pull is answered with
)

// member is one record.
type member struct {
	Member
	inc      Refutations
	accusers [accusersMost]NodeID
	accused  int
	tells    int // how often its news is to be told still
	urgent   bool
	draft    uint64 // the datagram it was told in last
	stale    bool   // it spoke as in an earlier life, and is to hear of the later one
	listed   bool   // by the deployment: never forgotten
	asks     int    // pings of our own since it was suspected by others
	asked    Micros // the last of them
}

const accusersMost = 4

// probe is one under way.
type probe struct {
	target NodeID
	seq    uint32
	sent   Micros
	until  Micros
	tries  int // of our own; with the last one helpers are asked
	asked  int
	heard  int // helpers that answered at all
}

// relay is a probe for another.
type relay struct {
	seq, theirs uint32
	asker       netip.AddrPort
	target      NodeID
	until       Micros
}

type recent struct {
	seq  uint32
	sent Micros
}

// Members is one router's view.
type Members struct {
	self      Identity
	inc       Refutations
	state     State // Alive, Leaving or Left
	post      Post
	pace      Timing
	doubt     Suspicion
	chance    random.Source
	now       Micros // own time: runs on evenly, whatever the clock does
	clock     Micros
	began     Micros
	all       []*member // by mark
	hot       []*member // whose news is to be told
	drafts    uint64
	order     []NodeID // in which members are probed
	next      int
	ring      bool
	probes    []probe
	due       Micros // the next probe
	seq       uint32
	recents   [recentMost]recent
	relays    []relay
	accused   []NodeID // whom we have accused ourselves
	again     Micros   // when the next of them is asked again
	asked     int
	seeds     []netip.AddrPort
	health    int
	loss      float64 // share of late of probes whose first ping went without an answer
	heard     Micros  // the last word from another
	proved    Micros  // when that left which is known to have been answered; 0: never
	pulled    Micros
	assured   Micros
	cursor    NodeID
	listed    bool // a whole list has been seen
	revived   Micros
	seeded    Micros
	tokens    float64
	filled    Micros
	crowded   bool
	checking  Micros // the last ping to one whose death is to be believed
	healed    Micros // when a split was last seen to have healed; 0: never
	firstBack Micros // the first of the dead or suspected that spoke within a second
	backs     int
	lastBack  NodeID
	lacked    Micros    // when news last brought a life that was not known; 0: never
	caught    Micros    // the last ping for that
	summed    part      // the first part of the next sums
	differ    []*member // kept for the next answer
	tally     Stats
	buf       [MaxPayload + entryMost]byte // a datagram in the making, and what turns out not to fit
}

// New makes the view of a router that has just started.
func New(now Micros, self Identity, post Post, seed uint32, pace Timing, doubt Suspicion) *Members {
	self.Weight = min(max(self.Weight, 1), weightMost)
	m := &Members{self: self, state: Alive, post: post, pace: pace, doubt: doubt, chance: random.Source{Seed: seed},
		clock: now, now: now, began: now, tokens: burst, filled: now, due: now, pulled: now, revived: now}
	m.seeded = now - seedEvery
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
				r.listed = true
			} else if r = m.enter(p.ID); r != nil {
				r.Address, r.listed = p.Address, true
			}
		}
	}
}

// find gives the record of a member, or nil.
func (m *Members) find(id NodeID) *member {
	if at, ok := m.place(id); ok {
		return m.all[at]
	}
	return nil
}

func (m *Members) place(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(m.all, id, func(r *member, id NodeID) int {
		switch {
		case r.ID < id:
			return -1
		case r.ID > id:
			return 1
		}
		return 0
	})
}

// enter makes a record, if there is room.
func (m *Members) enter(id NodeID) *member {
	if len(m.all) >= membersMost {
		m.tally.TableFull++
		if !m.crowded {
			m.crowded = true
			m.post.Note("members: the table is full, newcomers are not taken in")
		}
		return nil
	}
	at, _ := m.place(id)
	r := &member{Member: Member{Identity: Identity{ID: id}, Since: m.now}}
	m.all = slices.Insert(m.all, at, r)
	return r
}

// Self is what this router tells of itself.
func (m *Members) Self() Member { return Member{Identity: m.self, State: m.state, Since: m.began} }

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
func (m *Members) Stats() Stats { return m.tally }

// Contact tells how this router stands to the others.
func (m *Members) Contact() Contact {
	at := Contact{SinceAck: m.now - max(m.proved, m.began), Alone: m.Present() == 0 && m.now-m.heard >= aloneAfter}
	at.Settled = m.now-m.began >= settleLeast && m.listed || m.now-m.began >= settleMost ||
		len(m.all)+len(m.seeds) == 0
	return at
}

// pass moves the own time. A clock set back stands for no time at all; one that jumps ahead, or a process that was
// stopped, is told apart from time in which answers could have come: nobody is blamed for it.
func (m *Members) pass(now Micros) {
	span := max(now-m.clock, 0)
	m.clock = now
	if span > stallTimes*m.pace.ProbeInterval {
		m.tally.Stalls++
		m.ail(2)
		m.probes = m.probes[:0]
		for _, r := range m.all { // doubts wait as long as we were away
			if r.State == Suspect {
				r.Since += span
			}
		}
		for i := range m.relays {
			m.relays[i].until += span
		}
		m.due = m.now + span
	}
	m.now += span
}

func (m *Members) ail(points int) { m.health = min(max(m.health+points, 0), healthMost) }

// Tick does what is due.
func (m *Members) Tick(now Micros) {
	m.pass(now)
	if m.state == Left {
		return
	}
	m.judge()
	m.relayed()
	m.probing()
	m.insist()
	m.reassure()
	m.catchUp()
	m.revive()
	m.pull()
	m.forget()
}

// slack is how many times longer a router that is itself slow waits for an answer.
func (m *Members) slack() Micros { return Micros(1 + m.health) }

// probing goes on with the probes under way and begins the next one. A router that is itself slow waits longer for each,
// and probes no less.
func (m *Members) probing() {
	for i := range m.probes {
		if p := &m.probes[i]; p.tries < m.pace.Attempts && m.now-p.sent >= m.pace.AckTimeout*Micros(p.tries)*m.slack() {
			p.tries++
			m.try(p)
		}
	}
	left := m.probes[:0]
	for i := range m.probes {
		if p := &m.probes[i]; m.now < p.until {
			left = append(left, *p)
		} else {
			m.missed(p)
		}
	}
	m.probes = left
	if m.now < m.due {
		return
	}
	m.due = max(m.due+m.pace.ProbeInterval, m.now+m.pace.ProbeInterval/2) // on the beat, but never a volley for what was missed
	if r := m.find(m.pick()); r != nil {
		m.probes = append(m.probes, probe{target: r.ID, seq: m.ping(r), sent: m.now, tries: 1,
			until: m.now + m.pace.AckTimeout*Micros(m.pace.Attempts+1)*m.slack()})
	}
}

// probed finds the probe that an answer is for; -1: none.
func (m *Members) probed(seq uint32) int {
	return slices.IndexFunc(m.probes, func(p probe) bool { return p.seq == seq })
}

// try asks again, and at last asks others to try: wards off blaming a member for lost datagrams, or for one way's.
func (m *Members) try(p *probe) {
	r := m.find(p.target)
	if r == nil {
		return
	}
	times := 1
	if m.loss > lossy {
		times = 2
	}
	for range times {
		m.begin(ping).number(p.seq).sums().news(r).send(r.Address)
	}
	if p.tries < m.pace.Attempts {
		return
	}
	n := len(m.all)
	at := m.chance.IntN(n)
	for i := 0; i < n && p.asked < m.pace.IndirectProbes*times; i++ {
		h := m.all[(at+i*m.stride(n))%n]
		if h.State != Alive || h.ID == r.ID {
			continue
		}
		p.asked++
		m.begin(ask).number(p.seq).mark(r.ID).address(r.Address).news(nil).send(h.Address)
	}
}

// counted counts, of the probes that were answered, those whose first ping was not. Where they are many the network loses
// much, and each further try is made twice: else so many would be suspected at once that the news of it outgrows what can be
// told. The dead and those beyond a split tell nothing of losses.
func (m *Members) counted(late bool) {
	m.loss -= lossWeight * m.loss
	if late {
		m.loss += lossWeight
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

// missed blames the member whose probe went without an answer. Helpers that did not answer either speak against
// ourselves.
func (m *Members) missed(p *probe) {
	if p.asked > 0 && p.heard == 0 {
		m.ail(1)
	}
	r := m.find(p.target)
	if r == nil || !r.State.Present() {
		return
	}
	m.suspect(r, r.inc, m.self.ID)
	if r.State == Suspect && !slices.Contains(m.accused, r.ID) && len(m.accused) < accusedMost {
		m.accused = append(m.accused, r.ID)
		m.again = min(m.again, m.now)
	}
}

// insist asks those again whom we have accused: a lost answer is no death, and each ping tells of the accusation.
func (m *Members) insist() {
	m.accused = slices.DeleteFunc(m.accused, func(id NodeID) bool {
		r := m.find(id)
		return r == nil || r.State != Suspect
	})
	if len(m.accused) == 0 || m.now < m.again {
		return
	}
	m.again = m.now + m.pace.AckTimeout/2
	m.asked++
	m.ping(m.find(m.accused[m.asked%len(m.accused)]))
}

// reassure asks for a sign that others hear this router, where none has come for a while: whoever shares work rests
// without one, and a router that probes slowly would find none.
func (m *Members) reassure() {
	if m.now-m.proved <= 2*m.pace.ProbeInterval || m.now-m.assured < m.pace.ProbeInterval/2 || len(m.all) == 0 {
		return
	}
	m.assured = m.now
	if r := m.someone(); r != nil {
		m.ping(r)
	}
}

// catchUp asks more members than is its turn to probe while answers bring lives that were not known: after a mass restart the sums of
// ordinary pings alone take ten seconds.
func (m *Members) catchUp() {
	if m.lacked == 0 || m.now-m.lacked >= lackedFor || m.now-m.caught < m.pace.AckTimeout || m.tokens <= burst/2 {
		return
	}
	m.caught = m.now
	if r := m.someone(); r != nil {
		m.ping(r)
	}
}

// pick takes the next member to probe. Every other time it is the one that comes after this router by mark: so each is
// probed by someone in every second period, and no death lies unseen for long. In between it is each once in an order by
// chance, then in another: so that accusers are many.
func (m *Members) pick() NodeID {
	if m.ring = !m.ring; m.ring {
		at, _ := m.place(m.self.ID)
		for i := range m.all {
			if r := m.all[(at+i)%len(m.all)]; r.State == Alive {
				return r.ID
			}
		}
	}
	for range 2 {
		for m.next < len(m.order) {
			id := m.order[m.next]
			m.next++
			if r := m.find(id); r != nil && r.State.Present() {
				return id
			}
		}
		m.order, m.next = m.order[:0], 0
		for _, r := range m.all {
			if r.State.Present() {
				m.order = append(m.order, r.ID)
			}
		}
		m.chance.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return 0
}

// ping asks a member whether it is there.
func (m *Members) ping(r *member) (seq uint32) {
	m.seq++
	m.recents[m.seq%recentMost] = recent{m.seq, m.now}
	m.begin(ping).number(m.seq).sums().news(r).send(r.Address)
	return m.seq
}

// relayed tells askers of those that did not answer.
func (m *Members) relayed() {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool {
		if m.now < r.until {
			return false
		}
		m.begin(nack).number(r.theirs).news(nil).send(r.asker)
		return true
	})
}

// revive tries one that is not there: it may be back, or beyond a split that has healed. A newcomer does so faster.
func (m *Members) revive() {
	every := reviveEvery
	if m.now-m.began < youngFor {
		every = m.pace.ProbeInterval / 2
	}
	if m.now-m.revived < every {
		return
	}
	m.revived = m.now
	if n := len(m.all); n > 0 {
		at := m.chance.IntN(n)
		for i := range n {
			if r := m.all[(at+i)%n]; !r.State.Present() && r.Address.IsValid() {
				m.ping(r)
				break
			}
		}
	}
	if len(m.seeds) > 0 && (m.Present() == 0 || m.now-m.seeded >= seedEvery) {
		m.seeded = m.now
		m.seq++
		m.recents[m.seq%recentMost] = recent{m.seq, m.now}
		m.begin(ping).number(m.seq).sums().news(nil).send(m.seeds[m.chance.IntN(len(m.seeds))])
	}
}

// pull asks a member for a part of its list: mends what no piece of news has brought. A newcomer asks on until it has seen
// a whole list.
func (m *Members) pull() {
	every := pullEvery
	if !m.listed && m.now-m.began < settleMost {
		every = m.pace.AckTimeout
	}
	if m.now-m.pulled < every || len(m.all) == 0 {
		return
	}
	m.pulled = m.now
	if r := m.someone(); r != nil {
		m.begin(pull).mark(m.cursor).news(r).send(r.Address)
	}
}

// RequestMember asks a member for that part of its list that begins with a mark: something names a router as it is not known here.
func (m *Members) RequestMember(id NodeID) {
	if len(m.all) > 0 {
		if r := m.someone(); r != nil {
			m.begin(pull).mark(id - 1).news(r).send(r.Address)
		}
	}
}

// someone is a present member by chance, or nil.
func (m *Members) someone() *member {
	at := m.chance.IntN(len(m.all))
	for i := range m.all {
		if r := m.all[(at+i)%len(m.all)]; r.State.Present() {
			return r
		}
	}
	return nil
}

// forget drops those that are gone for long, unless the deployment lists them.
func (m *Members) forget() {
	m.all = slices.DeleteFunc(m.all, func(r *member) bool {
		return !r.listed && (r.State == Dead || r.State == Left) && m.now-r.Since > forgetAfter
	})
}

// times is how often a piece of news is told.
func (m *Members) times() int { return tellTimes * int(math.Ceil(math.Log2(float64(len(m.all)+2)))) }

// Leave tells that this router is to go; it works on until Gone.
func (m *Members) Leave(now Micros) {
	m.pass(now)
	if m.state != Alive {
		return
	}
	m.state = Leaving
	m.inc++
	m.tellAll(m.pace.IndirectProbes * 2)
}

// Shutdown tells that this router ends now.
func (m *Members) Shutdown(now Micros) {
	m.pass(now)
	if m.state == Left {
		return
	}
	m.state = Left
	m.inc++
	for range leaveTimes {
		m.tellAll(m.pace.IndirectProbes * 2)
	}
}

// tellAll tells some members by chance of this router's own state.
func (m *Members) tellAll(most int) {
	if len(m.all) == 0 {
		return
	}
	at, step := m.chance.IntN(len(m.all)), m.stride(len(m.all))
	for i := 0; i < len(m.all) && most > 0; i++ {
		if r := m.all[(at+i*step)%len(m.all)]; r.State.Present() {
			m.ping(r)
			most--
		}
	}
}
