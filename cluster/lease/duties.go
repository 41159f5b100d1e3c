// Package duties says which router holds which piece of shared work. Each router keeps the whole table of holdings;
// a holding stays where it is for as long as its holder runs. Free of I/O: time, changes of membership and datagrams
// go in, datagrams and changes of holding come out.
//
// How it is called: New makes one router's table. Member tells of each change of membership, its own included. Tick is
// called some tens of times a second, Hear with each datagram that has come. Mine asks, right before work is done,
// whether it is this router's to do. table.go has what is believed of holdings, wire.go the datagrams.
//
// How it is decided: a vacant duty goes to the member that ranks first for it by weighted rendezvous hashing, among those
// with room; that one claims it with the next term and says so. The second claims it if it hears of no claim for a while,
// and so on. Of two claims the higher term stands, then the rank. So tables that differ for a time cost doubled work, and
// a duty is left undone only while nobody knows that its holder is gone.
package lease

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const (
	settleAfter    = 2 * clock.Second        // of the start: until then peers are being found
	maxCatchUp     = 10 * clock.Second       // a newcomer takes nothing until its table is like another's, but for so long
	minPresence    = clock.Second            // that a member must have been there to be given anything
	rebalanceAfter = 2 * clock.Second        // without changes of membership, before duties are evened out
	standInDelay   = 600 * clock.Millisecond // until the second in rank claims; each further one waits twice that more
	queryLead      = 400 * clock.Millisecond // of that: whoever is first in rank is asked whether it has claimed
	planInterval   = 100 * clock.Millisecond

	contactLease    = 1200 * clock.Millisecond // of contact that is proven; less than a death takes to be believed
	contactRecovery = 400 * clock.Millisecond  // after contact is back: time to hear what others took over
	maxTickGap      = 300 * clock.Millisecond  // since the last tick: this router was stopped

	rankingSize = 8 // members that may come to hold a duty, the best first

	gossipInterval     = 100 * clock.Millisecond
	digestIdle         = clock.Second
	digestBusy         = 120 * clock.Millisecond // while there is news
	busyTime           = clock.Second
	rebalanceInterval  = 500 * clock.Millisecond
	vacantFraction     = 20 // of the duties: with more of them vacant there is nothing to even out
	datagramsPerSecond = 50.0
	datagramBurst      = 60.0

	digestReserve = datagramBurst / 2 // of the datagrams that may go: who answers others has no need to ask as well
)

// peer is a router that may hold duties here, this one included.
type peer struct {
	membership.Member
	holder   Holder
	since    Micros // present since
	load     int
	target   float64 // of all duties, by weight
	capacity int     // what it may take more, in the plan being made
}

// ranking is the members that suit a duty best, the best first.
type ranking struct {
	known  bool
	count  int
	peers  [rankingSize]*peer
	scores [rankingSize]float64
}

// insert puts a member in its place, if that is among the best.
func (t *ranking) insert(p *peer, s float64) {
	if t.count == rankingSize && s <= t.scores[rankingSize-1] {
		return
	}
	t.count = min(t.count+1, rankingSize)
	at := t.count - 1
	for ; at > 0 && t.scores[at-1] < s; at-- {
		t.scores[at], t.peers[at] = t.scores[at-1], t.peers[at-1]
	}
	t.scores[at], t.peers[at] = s, p
}

// Manager is one router's table.
type Manager struct {
	self           membership.Member
	selfHolder     Holder
	output         Output
	balance        Balance
	random         random.Source
	now            Micros
	startedAt      Micros
	settledAt      Micros           // since then duties are taken; 0: not yet
	matchedWindows uint32           // windows of the table that were like another's, by bits
	lastChange     Micros           // the last change of membership
	peers          []*peer          // by mark
	byHolder       map[Holder]*peer // the same
	table          []record
	sums           []uint32 // over each bucket of the table
	vacantCount    int
	lastPlan       Micros
	dirty          bool // membership has changed since
	equalWeights   bool // all weigh the same
	rankings       []ranking
	inContact      bool
	inContactFrom  Micros // not before, once contact is back
	lastGossip     Micros
	lastDigest     Micros
	lastLearned    Micros // the last claim of another's
	digestStart    int    // of buckets, that the next digest covers
	nextPeer       int    // of the peers, that is told next
	lastRebalance  Micros
	gossipQueue    []ID // whose claims are to be told
	messages       []message
	tokens         float64
	lastRefill     Micros
	foreignNoted   bool
	stats          Stats
	revision       uint64
	acquiredNoted  uint64 // of tally.Taken
	lastNoted      Micros
	buffer         [MaxPayload]byte
	scratch        []ID
}

// New makes the table of a router that has just started, for so many duties.
func New(now Micros, self membership.Member, post Output, seed uint32, most int, even Balance) *Manager {
	d := &Manager{self: self, selfHolder: HolderOf(self.ID, self.Incarnation), output: post, balance: even,
		random: random.Source{Seed: seed}, now: now, startedAt: now, lastChange: now, lastPlan: now, lastGossip: now,
		lastDigest: now, lastRebalance: now, tokens: datagramBurst, lastRefill: now, table: make([]record, min(most, MaxLeases)), byHolder: map[Holder]*peer{}, dirty: true}
	for i := range d.table {
		d.table[i].vacant, d.table[i].vacantSince = true, now
	}
	d.vacantCount = len(d.table)
	d.newSums()
	d.rankings = make([]ranking, len(d.table))
	d.MemberChanged(now, self)
	return d
}

// MemberChanged takes a change of membership. Members of other zones share other duties.
func (d *Manager) MemberChanged(now Micros, m membership.Member) {
	d.now = max(d.now, now)
	if m.Zone != d.self.Zone {
		return
	}
	holder := HolderOf(m.ID, m.Incarnation)
	if m.ID == d.self.ID {
		if d.self = m; holder != d.selfHolder {
			d.releaseAll()
			d.selfHolder = holder
		}
	}
	if !m.State.Present() {
		holder = 0
	}
	at, found := slices.BinarySearchFunc(d.peers, m.ID, func(p *peer, id membership.NodeID) int {
		return cmp.Compare(p.ID, id)
	})
	if !found {
		if holder == 0 {
			return
		}
		d.peers = slices.Insert(d.peers, at, &peer{})
	}
	p := d.peers[at]
	was, before := p.Member, p.holder
	if before == holder && was.State == m.State && was.Weight == m.Weight {
		p.Member = m
		return
	}
	d.dirty = true
	d.revision++
	if before != holder || was.Weight != m.Weight { // what was ranked is another now
		delete(d.byHolder, before)
		p = &peer{Member: m, holder: holder, since: p.since, load: p.load}
		var came *peer
		went := d.peers[at]
		if before != holder {
			d.lastChange, p.since, p.load = d.now, d.now, 0
		}
		if holder == 0 {
			d.peers = slices.Delete(d.peers, at, at+1)
		} else {
			d.peers[at], d.byHolder[holder], came = p, p, p
		}
		d.updateRankings(came, went)
	}
	p.Member = m
	d.recountHolder(before)
	d.recountHolder(holder)
}

// releaseAll drops all that was held in a life that has passed.
func (d *Manager) releaseAll() {
	for no := range d.table {
		if h := &d.table[no]; h.holder == d.selfHolder {
			d.stats.Released++
			d.output.Released(ID(no), h.term)
		}
	}
}

// Tick does what is due.
func (d *Manager) Tick(now Micros, at membership.Contact) {
	stopped := now-d.now > maxTickGap
	d.now = max(d.now, now)
	d.fence(at, stopped)
	if d.settledAt == 0 && at.Settled && (d.caughtUp() || d.now-d.startedAt > maxCatchUp) {
		d.settledAt = d.now
	}
	if d.settledAt > 0 {
		d.claimVacant()
		d.rebalance()
	}
	d.noteAcquired()
	d.sendMessages()
	d.gossip()
	d.sendNextDigest()
}

// fence stops this router's work when nothing proves that others hear it: they may believe it dead, and have taken over.
// Once they do hear it, it first listens for what they took. Alone it works on: so does each side of a split.
func (d *Manager) fence(at membership.Contact, stopped bool) {
	fit := at.Alone || at.SinceAck < contactLease && !stopped
	switch {
	case !fit:
		if d.inContact {
			d.stats.Fenced++
			d.output.Note(fmt.Sprintf("duties: no contact for %dms, %d duties rest", at.SinceAck/clock.Millisecond, d.HeldCount()))
		}
		d.inContact, d.inContactFrom = false, d.now+contactRecovery
	case !d.inContact && d.now >= d.inContactFrom:
		d.inContact = true
		if d.stats.Fenced > 0 {
			d.output.Note(fmt.Sprintf("duties: in contact, %d duties held", d.HeldCount()))
		}
	case !d.inContact:
		d.lastDigest = min(d.lastDigest, d.now-digestIdle) // asks at once what has been taken over
	}
}

// Holds tells whether a duty's work is this router's to do, and under which term. It is asked right before the work: a
// router that was stopped since its last tick must not go on as if no time had passed.
func (d *Manager) Holds(no ID, now Micros) (Term, bool) {
	if int(no) >= len(d.table) || !d.inContact || now-d.now > maxTickGap {
		return 0, false
	}
	h := &d.table[no]
	return h.term, h.holder == d.selfHolder
}

// caughtUp tells whether the whole table has been seen to be like another's: a newcomer would take for vacant what it has
// only not heard of.
func (d *Manager) caughtUp() bool {
	windows := (d.bucketCount() + maxDigestBuckets - 1) / maxDigestBuckets
	return len(d.peers) < 2 || d.matchedWindows == 1<<windows-1
}

// InContact tells whether this router may work on what it holds.
func (d *Manager) InContact() bool { return d.inContact }

// HeldCount counts the duties that this router holds.
func (d *Manager) HeldCount() (n int) {
	for i := range d.table {
		if d.table[i].holder == d.selfHolder {
			n++
		}
	}
	return n
}

// VacantCount counts the duties that nobody is known to hold.
func (d *Manager) VacantCount() int { return d.vacantCount }

// Count is how many duties there are.
func (d *Manager) Count() int { return len(d.table) }

// Lookup tells who is known to hold a duty: its address, if it is present, and the term.
func (d *Manager) Lookup(no ID) (at netip.AddrPort, term Term, held bool) {
	if int(no) >= len(d.table) {
		return at, 0, false
	}
	h := &d.table[no]
	if p := d.byHolder[h.holder]; p != nil {
		return p.Address, h.term, true
	}
	return at, h.term, false
}

// AssignedHere tells whether this router holds a duty, fit or not.
func (d *Manager) AssignedHere(no ID) bool {
	return int(no) < len(d.table) && d.table[no].holder == d.selfHolder
}

// Revision grows with each change of what At and Mine tell, but for Fit.
func (d *Manager) Revision() uint64 { return d.revision }

// Stats counts what has happened.
func (d *Manager) Stats() Stats { return d.stats }

// eligible tells whether a member may be given duties. A suspect may: most are well, and where one is not, the next in
// rank stands in.
func (d *Manager) eligible(p *peer) bool {
	return p.State != membership.Leaving && (p.holder == d.selfHolder || d.now-p.since >= minPresence)
}

// totalWeight is the weight of all that may be given duties.
func (d *Manager) totalWeight() (w float64) {
	for _, p := range d.peers {
		if d.eligible(p) {
			w += float64(p.Weight)
		}
	}
	return w
}

// planCapacity works out what each member may take more.
func (d *Manager) planCapacity() {
	total := d.totalWeight()
	for _, p := range d.peers {
		if p.target, p.capacity = 0, 0; d.eligible(p) {
			p.target = float64(len(d.table)) * float64(p.Weight) / total
			p.capacity = max(int(math.Ceil(p.target*d.balance.MaxShare)), 1) - p.load
		}
	}
}

// claimVacant has vacant duties go where they belong. Each router works out the same plan from the same view; where views
// differ, the next in rank stands in after a while.
func (d *Manager) claimVacant() {
	if d.vacantCount == 0 || !d.inContact || !d.dirty && d.now-d.lastPlan < planInterval || d.self.State != membership.Alive {
		return
	}
	d.lastPlan, d.dirty = d.now, false
	d.planCapacity()
	for i := range d.table {
		h := &d.table[i]
		if !h.vacant {
			continue
		}
		no := ID(i)
		three, rank := d.bestWithRoom(no)
		first, second, third := three[0], three[1], three[2]
		if first == nil {
			continue
		}
		first.capacity--
		if rank != 0 {
			wait := Micros(2*rank-1)*standInDelay - (d.now - max(h.vacantSince, d.settledAt))
			if rank > 0 && wait < queryLead { // it may have claimed, and the word of it was lost
				d.sendLater(first, no, query)
			}
			if rank < 0 || wait > 0 {
				continue
			}
			d.byHolder[d.selfHolder].capacity--
			second, third = first, second
		}
		old := d.byHolder[h.holder]
		switch {
		case old != nil: // it is going, and works until it hears of this
			d.stats.HandedOver++
			d.sendLater(old, no, claims)
		case h.term > 0:
			d.stats.FromDead++
		}
		d.claim(no)
		d.sendLater(second, no, claims)
		d.sendLater(third, no, claims)
	}
}

// noteAcquired tells of duties taken over, now and then.
func (d *Manager) noteAcquired() {
	if d.stats.Acquired == d.acquiredNoted || d.now-d.lastNoted < clock.Second {
		return
	}
	d.output.Note(fmt.Sprintf("duties: %d taken, %d held of %d", d.stats.Acquired-d.acquiredNoted, d.HeldCount(), len(d.table)))
	d.acquiredNoted, d.lastNoted = d.stats.Acquired, d.now
}

// ranking gives the members that suit a duty best. It is worked out for the duties that are asked for, and kept up as
// members come and go.
func (d *Manager) ranking(no ID) *ranking {
	t := &d.rankings[no]
	if !t.known {
		*t = ranking{known: true}
		for _, p := range d.peers {
			t.insert(p, score(no, p, d.equalWeights))
		}
	}
	return t
}

// updateRankings keeps the best of all duties up to date with one member that came or went.
func (d *Manager) updateRankings(came, went *peer) {
	alike := !slices.ContainsFunc(d.peers, func(o *peer) bool { return o.Weight != d.peers[0].Weight })
	for no := range d.rankings {
		t := &d.rankings[no]
		if alike != d.equalWeights || went != nil && slices.Contains(t.peers[:t.count], went) {
			t.known = false
		} else if t.known && came != nil {
			t.insert(came, score(ID(no), came, d.equalWeights))
		}
	}
	d.equalWeights = alike
}

// bestWithRoom finds the three members with room that suit a duty best, and this router's place among those with room: -1 if it
// is far behind, or has none.
func (d *Manager) bestWithRoom(no ID) (three [3]*peer, mine int) {
	n := 0
	mine = -1
	t := d.ranking(no)
	for _, p := range t.peers[:t.count] {
		if p.capacity <= 0 {
			continue
		}
		if p.holder == d.selfHolder {
			mine = n
		}
		if n < len(three) {
			three[n] = p
		}
		n++
	}
	return three, mine
}

// rebalance hands duties over where this router holds too many, or another far too few. It goes on a few at a time: each
// offer is taken up by a claim, and until that is heard this router works on.
func (d *Manager) rebalance() {
	me := d.byHolder[d.selfHolder]
	if d.vacantCount > len(d.table)/vacantFraction || d.now-d.lastChange < rebalanceAfter || d.now-d.lastRebalance < rebalanceInterval || me == nil || !d.eligible(me) {
		return
	}
	d.lastRebalance = d.now
	d.planCapacity()
	if me.capacity < 0 {
		n := -me.capacity
		me.capacity = 0
		d.offerLeases(n)
		return
	}
	rich, lack := 0, 0
	for _, p := range d.peers {
		if float64(p.load) > p.target {
			rich++
		}
		p.capacity = max(int(math.Ceil(p.target*d.balance.MinShare))-p.load, 0)
		lack += p.capacity
	}
	if spare := me.load - int(math.Ceil(me.target)); spare > 0 && lack > 0 {
		d.offerLeases(min(spare, lack/rich+1)) // each that has more than its part gives a part of what is lacking
	}
}

// offerLeases offers so many duties to those that suit them best among those with room.
func (d *Manager) offerLeases(n int) {
	for i := range d.table {
		h := &d.table[i]
		if n <= 0 || len(d.messages) >= maxMessages {
			return
		}
		if h.holder != d.selfHolder || h.offeredAt > 0 && d.now-h.offeredAt < rebalanceInterval/2 {
			continue
		}
		if three, _ := d.bestWithRoom(ID(i)); three[0] != nil && three[0].holder != d.selfHolder {
			d.sendLater(three[0], ID(i), offer)
			three[0].capacity--
			h.offeredAt = d.now
			n--
		}
	}
}
