package lease

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// holding is what is known of one duty.
type holding struct {
	term    Term
	by      Holder
	vacant  bool   // its holder is unknown, gone or going
	since   Micros // vacant since
	tells   int    // how often it is to be told still
	offered Micros // to another, by this router
}

const (
	bucketSize  = 16
	windowMost  = 88 // buckets in one digest
	lettersMost = 512
	letterTimes = 3 // how often a claim is told to those it matters to
	letterPause = 100 * clock.Millisecond
	ownTells    = 3 // times the logarithm of the members
	relayLess   = 6 // than that: how often a claim of another's is told on
	inTurn      = 40
	offerHolds  = 2 * clock.Second
)

// letter is a claim for one peer in particular.
type letter struct {
	to   membership.NodeID
	no   ID
	kind kind
	left int
	at   Micros
}

// score ranks a member for a duty by weighted rendezvous hashing; with equal weights the hash alone does.
func score(no ID, p *peer, even bool) float64 {
	u := (float64(lot(no, p.holder)>>11) + 0.5) / (1 << 53)
	if even {
		return u
	}
	return float64(p.Weight) / -math.Log(u)
}

func lot(no ID, by Holder) uint64 { return hash.Combine(uint64(no), uint64(by)) }

// outranks settles a tie of terms, alike at every router whatever it knows of the two.
func outranks(no ID, a, b Holder) bool {
	x, y := lot(no, a), lot(no, b)
	return x > y || x == y && a > b
}

// claim takes a duty for this router, with the next term.
func (d *Manager) claim(no ID) {
	h := &d.table[no]
	d.set(no, h.term+1, d.me)
	d.heat(no, d.tells(true))
	d.tally.Acquired++
	d.post.Acquired(no, h.term)
}

// set is the one place where a holding changes.
func (d *Manager) set(no ID, term Term, by Holder) {
	h := &d.table[no]
	d.edits++
	if p := d.by[h.by]; p != nil {
		p.load--
	}
	d.mark(no)
	h.term, h.by = term, by
	d.mark(no)
	p := d.by[by]
	if p != nil {
		p.load++
	}
	d.vacate(h, p == nil || p.State == membership.Leaving)
}

func (d *Manager) vacate(h *holding, vacant bool) {
	switch {
	case vacant && !h.vacant:
		h.vacant, h.since = true, d.now
		d.vacant++
	case !vacant && h.vacant:
		h.vacant = false
		d.vacant--
	}
}

// recount goes over what one holder has, after it came, went or told that it will go.
func (d *Manager) recount(by Holder) {
	if by == 0 {
		return
	}
	p := d.by[by]
	load := 0
	for i := range d.table {
		if h := &d.table[i]; h.by == by {
			load++
			d.vacate(h, p == nil || p.State == membership.Leaving)
		}
	}
	if p != nil {
		p.load = load
	}
}

// merge takes in a claim, and tells whether it stands.
func (d *Manager) merge(no ID, term Term, by Holder) bool {
	h := &d.table[no]
	if term < h.term || term == h.term && (by == h.by || !outranks(no, by, h.by)) {
		return term == h.term && by == h.by
	}
	if h.by == d.me {
		d.tally.Released++
		if d.self.State == membership.Alive && (h.offered == 0 || d.now-h.offered > offerHolds) {
			d.tally.Conflicts++
		}
		defer d.post.Released(no, h.term)
	}
	d.set(no, term, by)
	d.heat(no, d.tells(false))
	d.learned = d.now
	return true
}

// tells is how often a claim is told to one more peer: each hears of it from who made it where they are few, else the
// logarithm of their number has it go round.
func (d *Manager) tells(own bool) int {
	n := bits.Len(uint(len(d.peers)))
	if own {
		return min(len(d.peers), ownTells*n)
	}
	return max(n-relayLess, 1)
}

func (d *Manager) heat(no ID, times int) {
	h := &d.table[no]
	if h.tells <= 0 {
		d.hot = append(d.hot, no)
	}
	h.tells = max(h.tells, times)
}

// write notes a claim for a peer that it matters to: who held the duty, and who would stand in. Or it asks a peer.
func (d *Manager) write(to *peer, no ID, k kind) {
	if to == nil || to.holder == d.me || len(d.letters) >= lettersMost {
		return
	}
	if k == ask {
		for _, l := range d.letters {
			if l.to == to.ID && l.no == no && l.kind == ask {
				return
			}
		}
	}
	times := letterTimes
	if k == offer { // made again if need be
		times = 1
	}
	d.letters = append(d.letters, letter{to.ID, no, k, times, d.now})
}

// deliver sends the letters that are due, those to one peer together.
func (d *Manager) deliver() {
	if len(d.letters) == 0 {
		return
	}
	for _, p := range d.peers {
		for _, k := range [...]kind{claims, ask, offer} {
			d.list = d.list[:0]
			for i := range d.letters {
				l := &d.letters[i]
				if l.to == p.ID && l.kind == k && l.at <= d.now && l.left > 0 && len(d.list) < claimsMost {
					d.list = append(d.list, l.no)
					l.left--
					l.at = d.now + letterPause
				}
			}
			if len(d.list) > 0 {
				d.sendList(k, p.Address, d.list)
			}
		}
	}
	d.letters = slices.DeleteFunc(d.letters, func(l letter) bool { return l.left <= 0 || d.now-l.at > clock.Second })
}

// tell spreads the freshest claims to a peer by chance.
func (d *Manager) tell() {
	if len(d.hot) == 0 || d.now-d.spread < spreadEvery || len(d.peers) < 2 {
		return
	}
	d.spread = d.now
	slices.SortFunc(d.hot, func(a, b ID) int {
		x, y := &d.table[a], &d.table[b] // those of one holder side by side: its name is said once
		return cmp.Or(cmp.Compare(y.tells, x.tells), cmp.Compare(x.by, y.by), cmp.Compare(a, b))
	})
	for range 2 {
		to := d.other()
		if to == nil {
			return
		}
		for _, no := range d.hot[:d.sendList(claims, to.Address, d.hot)] {
			d.table[no].tells--
		}
		if d.hot = slices.DeleteFunc(d.hot, func(no ID) bool { return d.table[no].tells <= 0 }); len(d.hot) == 0 {
			return
		}
	}
}

// other is a peer, not this router; nil if there is none. Few are taken in turn, so that each hears; of many, one by
// chance: were all routers to go round in one order, the first would hear everything and the last nothing.
func (d *Manager) other() *peer {
	n := len(d.peers)
	if n < 2 {
		return nil
	}
	if d.turn++; n > inTurn || d.turn == 1 {
		d.turn = d.chance.IntN(n) + 1
	}
	p := d.peers[d.turn%n]
	if p.holder == d.me {
		d.turn++
		p = d.peers[d.turn%n]
	}
	return p
}

// digest tells a peer by chance, in short, what this router knows; that one answers with what differs.
func (d *Manager) digest() {
	every := digestEvery
	if d.vacant > 0 || d.settled == 0 || d.now-d.learned < busyFor {
		every = digestBusy
	}
	if d.now-d.digested < every || d.tokens < digestLeaves && d.now-d.digested < digestEvery {
		return
	}
	d.digested = d.now
	if to := d.other(); to != nil {
		n := d.bucketCount()
		first := d.window
		end := min(first+windowMost, n)
		if d.window = end; end >= n {
			d.window = 0
		}
		d.sendDigest(to.Address, first, end)
	}
}

func (d *Manager) bucketCount() int { return (len(d.table) + bucketSize - 1) / bucketSize }

// Receive takes a datagram.
func (d *Manager) Receive(now Micros, from netip.AddrPort, b []byte) error {
	d.now = max(d.now, now)
	d.tally.Received++
	k, sender, r, err := d.open(b)
	if err != nil {
		return err
	}
	if p := d.by[sender]; p != nil {
		from = p.Address
	}
	switch k {
	case digest:
		d.compare(from, &r)
		return nil
	case same:
		if first := r.Number(MaxLeases); !r.Bad {
			d.matched |= 1 << (first / windowMost)
		}
		return nil
	case ask:
		return d.asked(from, &r)
	}
	whole := r // nothing is believed of a datagram that is not whole
	for readClaims(&whole, len(d.table), func(Holder, ID, Term) {}) {
	}
	if whole.Bad {
		d.tally.Unreadable++
		return ErrUnreadable
	}
	d.list = d.list[:0]
	for readClaims(&r, len(d.table), func(by Holder, no ID, term Term) {
		if k == offer {
			d.offered(sender, by, no, term)
		} else if !d.merge(no, term, by) && len(d.list) < claimsMost {
			d.list = append(d.list, no) // ours is the higher: whoever told this is to know
		}
	}) {
	}
	if len(d.list) > 0 {
		d.sendList(claims, from, d.byHolder(d.list))
	}
	return nil
}

// offered takes up a duty that its holder hands over, if there is room here.
func (d *Manager) offered(sender, by Holder, no ID, term Term) {
	me, from := d.by[d.me], d.by[sender]
	if by != sender || from == nil || me == nil || !d.fit || !d.merge(no, term, by) {
		return
	}
	if d.rooms(); me.room <= 0 {
		return
	}
	d.claim(no)
	d.tally.HandedOver++
	d.write(from, no, claims)
}

// asked answers with what is known of some duties.
func (d *Manager) asked(from netip.AddrPort, r *octets.Reader) error {
	d.list = d.list[:0]
	for no := uint64(0); len(r.B) > 0 && !r.Bad; {
		if no += r.Number(MaxLeases); no < uint64(len(d.table)) && d.table[no].term > 0 && !d.table[no].vacant {
			d.list = append(d.list, ID(no))
		}
	}
	if r.Bad {
		d.tally.Unreadable++
		return ErrUnreadable
	}
	d.sendList(claims, from, d.byHolder(d.list))
	return nil
}

// compare answers a digest with the claims of the buckets that differ.
func (d *Manager) compare(from netip.AddrPort, r *octets.Reader) {
	first, salt, sums, asks := readDigest(r)
	d.list = d.list[:0]
	start := 0
	if len(sums) > 0 { // from anywhere: else the last ones would wait until the first agree
		start = d.chance.IntN(len(sums))
	}
	for i := range sums {
		i = (start + i) % len(sums)
		bucket := first + i
		if bucket >= d.bucketCount() || short(d.sums[bucket], salt) == sums[i] {
			continue
		}
		for no := bucket * bucketSize; no < min((bucket+1)*bucketSize, len(d.table)); no++ {
			if d.table[no].term > 0 {
				d.list = append(d.list, ID(no))
			}
		}
		if len(d.list) >= answerMost {
			break
		}
	}
	if len(d.list) == 0 && asks {
		d.send(from, binary.AppendUvarint(d.begin(same), uint64(first)))
	}
	for rest := d.byHolder(d.list); len(rest) > 0; {
		n := d.sendList(claims, from, rest)
		if n == 0 {
			break
		}
		rest = rest[n:]
	}
}
