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
	settleAfter = 2 * clock.Second        // of the start: until then peers are being found
	newMost     = 10 * clock.Second       // a newcomer takes nothing until its table is like another's, but for so long
	calmAfter   = clock.Second            // that a member must have been there to be given anything
	evenAfter   = 2 * clock.Second        // without changes of membership, before duties are evened out
	standIn     = 600 * clock.Millisecond // until the second in rank claims; each further one waits twice that more
	askBefore   = 400 * clock.Millisecond // of that: whoever is first in rank is asked whether it has claimed
	planEvery   = 100 * clock.Millisecond

	lease     = 1200 * clock.Millisecond // of contact that is proven; less than a death takes to be believed
	recheck   = 400 * clock.Millisecond  // after contact is back: time to hear what others took over
	tickStale = 300 * clock.Millisecond  // since the last tick: this router was stopped

	topMost = 8 // members that may come to hold a duty, the best first

	spreadEvery = 100 * clock.Millisecond
	digestEvery = clock.Second
	digestBusy  = 120 * clock.Millisecond // while there is news
	busyFor     = clock.Second
	evenEvery   = 500 * clock.Millisecond
	vacantShare = 20 // of the duties: with more of them vacant there is nothing to even out
	perSecond   = 50.0
	burst       = 60.0

	digestLeaves = burst / 2 // of the datagrams that may go: who answers others has no need to ask as well
)

// peer is a router that may hold duties here, this one included.
type peer struct {
	membership.Member
	holder Holder
	since  Micros // present since
	load   int
	part   float64 // of all duties, by weight
	room   int     // what it may take more, in the plan being made
}

// top is the members that suit a duty best, the best first.
type top struct {
	known bool
	n     int
	peers [topMost]*peer
	score [topMost]float64
}

// enter puts a member in its place, if that is among the best.
func (t *top) enter(p *peer, s float64) {
	if t.n == topMost && s <= t.score[topMost-1] {
		return
	}
	t.n = min(t.n+1, topMost)
	at := t.n - 1
	for ; at > 0 && t.score[at-1] < s; at-- {
		t.score[at], t.peers[at] = t.score[at-1], t.peers[at-1]
	}
	t.score[at], t.peers[at] = s, p
}

// Manager is one router's table.
type Manager struct {
	self     membership.Member
	me       Holder
	post     Post
	even     Balance
	chance   random.Source
	now      Micros
	began    Micros
	settled  Micros           // since then duties are taken; 0: not yet
	matched  uint32           // windows of the table that were like another's, by bits
	changed  Micros           // the last change of membership
	peers    []*peer          // by mark
	by       map[Holder]*peer // the same
	table    []holding
	sums     []uint32 // over each bucket of the table
	vacant   int
	planned  Micros
	dirty    bool // membership has changed since
	alike    bool // all weigh the same
	tops     []top
	fit      bool
	fitFrom  Micros // not before, once contact is back
	spread   Micros
	digested Micros
	learned  Micros // the last claim of another's
	window   int    // of buckets, that the next digest covers
	turn     int    // of the peers, that is told next
	evened   Micros
	hot      []ID // whose claims are to be told
	letters  []letter
	tokens   float64
	filled   Micros
	foreign  bool
	tally    Stats
	edits    uint64
	noted    uint64 // of tally.Taken
	notedAt  Micros
	buf      [MaxPayload]byte
	list     []ID
}

// New makes the table of a router that has just started, for so many duties.
func New(now Micros, self membership.Member, post Post, seed uint32, most int, even Balance) *Manager {
	d := &Manager{self: self, me: HolderOf(self.ID, self.Incarnation), post: post, even: even,
		chance: random.Source{Seed: seed}, now: now, began: now, changed: now, planned: now, spread: now,
		digested: now, evened: now, tokens: burst, filled: now, table: make([]holding, min(most, MaxLeases)), by: map[Holder]*peer{}, dirty: true}
	for i := range d.table {
		d.table[i].vacant, d.table[i].since = true, now
	}
	d.vacant = len(d.table)
	d.buckets()
	d.tops = make([]top, len(d.table))
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
		if d.self = m; holder != d.me {
			d.abdicate()
			d.me = holder
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
	d.edits++
	if before != holder || was.Weight != m.Weight { // what was ranked is another now
		delete(d.by, before)
		p = &peer{Member: m, holder: holder, since: p.since, load: p.load}
		var came *peer
		went := d.peers[at]
		if before != holder {
			d.changed, p.since, p.load = d.now, d.now, 0
		}
		if holder == 0 {
			d.peers = slices.Delete(d.peers, at, at+1)
		} else {
			d.peers[at], d.by[holder], came = p, p, p
		}
		d.rerank(came, went)
	}
	p.Member = m
	d.recount(before)
	d.recount(holder)
}

// abdicate drops all that was held in a life that has passed.
func (d *Manager) abdicate() {
	for no := range d.table {
		if h := &d.table[no]; h.by == d.me {
			d.tally.Released++
			d.post.Released(ID(no), h.term)
		}
	}
}

// Tick does what is due.
func (d *Manager) Tick(now Micros, at membership.Contact) {
	stopped := now-d.now > tickStale
	d.now = max(d.now, now)
	d.fence(at, stopped)
	if d.settled == 0 && at.Settled && (d.caughtUp() || d.now-d.began > newMost) {
		d.settled = d.now
	}
	if d.settled > 0 {
		d.fill()
		d.level()
	}
	d.noteTaken()
	d.deliver()
	d.tell()
	d.digest()
}

// fence stops this router's work when nothing proves that others hear it: they may believe it dead, and have taken over.
// Once they do hear it, it first listens for what they took. Alone it works on: so does each side of a split.
func (d *Manager) fence(at membership.Contact, stopped bool) {
	fit := at.Alone || at.SinceAck < lease && !stopped
	switch {
	case !fit:
		if d.fit {
			d.tally.Fenced++
			d.post.Note(fmt.Sprintf("duties: no contact for %dms, %d duties rest", at.SinceAck/clock.Millisecond, d.HeldCount()))
		}
		d.fit, d.fitFrom = false, d.now+recheck
	case !d.fit && d.now >= d.fitFrom:
		d.fit = true
		if d.tally.Fenced > 0 {
			d.post.Note(fmt.Sprintf("duties: in contact, %d duties held", d.HeldCount()))
		}
	case !d.fit:
		d.digested = min(d.digested, d.now-digestEvery) // asks at once what has been taken over
	}
}

// Holds tells whether a duty's work is this router's to do, and under which term. It is asked right before the work: a
// router that was stopped since its last tick must not go on as if no time had passed.
func (d *Manager) Holds(no ID, now Micros) (Term, bool) {
	if int(no) >= len(d.table) || !d.fit || now-d.now > tickStale {
		return 0, false
	}
	h := &d.table[no]
	return h.term, h.by == d.me
}

// caughtUp tells whether the whole table has been seen to be like another's: a newcomer would take for vacant what it has
// only not heard of.
func (d *Manager) caughtUp() bool {
	windows := (d.bucketCount() + windowMost - 1) / windowMost
	return len(d.peers) < 2 || d.matched == 1<<windows-1
}

// InContact tells whether this router may work on what it holds.
func (d *Manager) InContact() bool { return d.fit }

// HeldCount counts the duties that this router holds.
func (d *Manager) HeldCount() (n int) {
	for i := range d.table {
		if d.table[i].by == d.me {
			n++
		}
	}
	return n
}

// VacantCount counts the duties that nobody is known to hold.
func (d *Manager) VacantCount() int { return d.vacant }

// Count is how many duties there are.
func (d *Manager) Count() int { return len(d.table) }

// Lookup tells who is known to hold a duty: its address, if it is present, and the term.
func (d *Manager) Lookup(no ID) (at netip.AddrPort, term Term, held bool) {
	if int(no) >= len(d.table) {
		return at, 0, false
	}
	h := &d.table[no]
	if p := d.by[h.by]; p != nil {
		return p.Address, h.term, true
	}
	return at, h.term, false
}

// AssignedHere tells whether this router holds a duty, fit or not.
func (d *Manager) AssignedHere(no ID) bool { return int(no) < len(d.table) && d.table[no].by == d.me }

// Revision grows with each change of what At and Mine tell, but for Fit.
func (d *Manager) Revision() uint64 { return d.edits }

// Stats counts what has happened.
func (d *Manager) Stats() Stats { return d.tally }

// eligible tells whether a member may be given duties. A suspect may: most are well, and where one is not, the next in
// rank stands in.
func (d *Manager) eligible(p *peer) bool {
	return p.State != membership.Leaving && (p.holder == d.me || d.now-p.since >= calmAfter)
}

// total is the weight of all that may be given duties.
func (d *Manager) total() (w float64) {
	for _, p := range d.peers {
		if d.eligible(p) {
			w += float64(p.Weight)
		}
	}
	return w
}

// rooms works out what each member may take more.
func (d *Manager) rooms() {
	total := d.total()
	for _, p := range d.peers {
		if p.part, p.room = 0, 0; d.eligible(p) {
			p.part = float64(len(d.table)) * float64(p.Weight) / total
			p.room = max(int(math.Ceil(p.part*d.even.MaxShare)), 1) - p.load
		}
	}
}

// fill has vacant duties go where they belong. Each router works out the same plan from the same view; where views
// differ, the next in rank stands in after a while.
func (d *Manager) fill() {
	if d.vacant == 0 || !d.fit || !d.dirty && d.now-d.planned < planEvery || d.self.State != membership.Alive {
		return
	}
	d.planned, d.dirty = d.now, false
	d.rooms()
	for i := range d.table {
		h := &d.table[i]
		if !h.vacant {
			continue
		}
		no := ID(i)
		three, rank := d.rank(no)
		first, second, third := three[0], three[1], three[2]
		if first == nil {
			continue
		}
		first.room--
		if rank != 0 {
			wait := Micros(2*rank-1)*standIn - (d.now - max(h.since, d.settled))
			if rank > 0 && wait < askBefore { // it may have claimed, and the word of it was lost
				d.write(first, no, ask)
			}
			if rank < 0 || wait > 0 {
				continue
			}
			d.by[d.me].room--
			second, third = first, second
		}
		old := d.by[h.by]
		switch {
		case old != nil: // it is going, and works until it hears of this
			d.tally.HandedOver++
			d.write(old, no, claims)
		case h.term > 0:
			d.tally.FromDead++
		}
		d.claim(no)
		d.write(second, no, claims)
		d.write(third, no, claims)
	}
}

// noteTaken tells of duties taken over, now and then.
func (d *Manager) noteTaken() {
	if d.tally.Acquired == d.noted || d.now-d.notedAt < clock.Second {
		return
	}
	d.post.Note(fmt.Sprintf("duties: %d taken, %d held of %d", d.tally.Acquired-d.noted, d.HeldCount(), len(d.table)))
	d.noted, d.notedAt = d.tally.Acquired, d.now
}

// best gives the members that suit a duty best. It is worked out for the duties that are asked for, and kept up as
// members come and go.
func (d *Manager) best(no ID) *top {
	t := &d.tops[no]
	if !t.known {
		*t = top{known: true}
		for _, p := range d.peers {
			t.enter(p, score(no, p, d.alike))
		}
	}
	return t
}

// rerank keeps the best of all duties up to date with one member that came or went.
func (d *Manager) rerank(came, went *peer) {
	alike := !slices.ContainsFunc(d.peers, func(o *peer) bool { return o.Weight != d.peers[0].Weight })
	for no := range d.tops {
		t := &d.tops[no]
		if alike != d.alike || went != nil && slices.Contains(t.peers[:t.n], went) {
			t.known = false
		} else if t.known && came != nil {
			t.enter(came, score(ID(no), came, d.alike))
		}
	}
	d.alike = alike
}

// rank finds the three members with room that suit a duty best, and this router's place among those with room: -1 if it
// is far behind, or has none.
func (d *Manager) rank(no ID) (three [3]*peer, mine int) {
	n := 0
	mine = -1
	t := d.best(no)
	for _, p := range t.peers[:t.n] {
		if p.room <= 0 {
			continue
		}
		if p.holder == d.me {
			mine = n
		}
		if n < len(three) {
			three[n] = p
		}
		n++
	}
	return three, mine
}

// level hands duties over where this router holds too many, or another far too few. It goes on a few at a time: each
// offer is taken up by a claim, and until that is heard this router works on.
func (d *Manager) level() {
	me := d.by[d.me]
	if d.vacant > len(d.table)/vacantShare || d.now-d.changed < evenAfter || d.now-d.evened < evenEvery || me == nil || !d.eligible(me) {
		return
	}
	d.evened = d.now
	d.rooms()
	if me.room < 0 {
		n := -me.room
		me.room = 0
		d.offer(n)
		return
	}
	rich, lack := 0, 0
	for _, p := range d.peers {
		if float64(p.load) > p.part {
			rich++
		}
		p.room = max(int(math.Ceil(p.part*d.even.MinShare))-p.load, 0)
		lack += p.room
	}
	if spare := me.load - int(math.Ceil(me.part)); spare > 0 && lack > 0 {
		d.offer(min(spare, lack/rich+1)) // each that has more than its part gives a part of what is lacking
	}
}

// offer offers so many duties to those that suit them best among those with room.
func (d *Manager) offer(n int) {
	for i := range d.table {
		h := &d.table[i]
		if n <= 0 || len(d.letters) >= lettersMost {
			return
		}
		if h.by != d.me || h.offered > 0 && d.now-h.offered < evenEvery/2 {
			continue
		}
		if three, _ := d.rank(ID(i)); three[0] != nil && three[0].holder != d.me {
			d.write(three[0], ID(i), offer)
			three[0].room--
			h.offered = d.now
			n--
		}
	}
}
