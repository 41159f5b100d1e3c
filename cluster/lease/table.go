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

// record is what is known of one duty.
type record struct {
	term          Term
	holder        Holder
	vacant        bool   // its holder is unknown, gone or going
	vacantSince   Micros // vacant since
	transmissions int    // how often it is to be told still
	offeredAt     Micros // to another, by this router
}

const (
	bucketSize       = 16
	maxDigestBuckets = 88 // buckets in one digest
	maxMessages      = 512
	messageRepeats   = 3 // how often a claim is told to those it matters to
	messageInterval  = 100 * clock.Millisecond
	ownClaimFactor   = 3 // times the logarithm of the members
	relayReduction   = 6 // than that: how often a claim of another's is told on
	roundRobinPeers  = 40
	offerTimeout     = 2 * clock.Second
)

// message is a claim for one peer in particular.
type message struct {
	to        membership.NodeID
	id        ID
	kind      messageKind
	remaining int
	due       Micros
}

// score ranks a member for a duty by weighted rendezvous hashing; with equal weights the hash alone does.
func score(no ID, p *peer, even bool) float64 {
	u := (float64(hashRank(no, p.holder)>>11) + 0.5) / (1 << 53)
	if even {
		return u
	}
	return float64(p.Weight) / -math.Log(u)
}

func hashRank(no ID, by Holder) uint64 { return hash.Combine(uint64(no), uint64(by)) }

// outranks settles a tie of terms, alike at every router whatever it knows of the two.
func outranks(no ID, a, b Holder) bool {
	x, y := hashRank(no, a), hashRank(no, b)
	return x > y || x == y && a > b
}

// claim takes a duty for this router, with the next term.
func (d *Manager) claim(no ID) {
	h := &d.table[no]
	d.set(no, h.term+1, d.selfHolder)
	d.enqueueGossip(no, d.transmissions(true))
	d.stats.Acquired++
	d.output.Acquired(no, h.term)
}

// set is the one place where a holding changes.
func (d *Manager) set(no ID, term Term, by Holder) {
	h := &d.table[no]
	d.revision++
	if p := d.byHolder[h.holder]; p != nil {
		p.load--
	}
	d.toggleSum(no)
	h.term, h.holder = term, by
	d.toggleSum(no)
	p := d.byHolder[by]
	if p != nil {
		p.load++
	}
	d.setVacant(h, p == nil || p.State == membership.Leaving)
}

func (d *Manager) setVacant(h *record, vacant bool) {
	switch {
	case vacant && !h.vacant:
		h.vacant, h.vacantSince = true, d.now
		d.vacantCount++
	case !vacant && h.vacant:
		h.vacant = false
		d.vacantCount--
	}
}

// recountHolder goes over what one holder has, after it came, went or told that it will go.
func (d *Manager) recountHolder(by Holder) {
	if by == 0 {
		return
	}
	p := d.byHolder[by]
	load := 0
	for i := range d.table {
		if h := &d.table[i]; h.holder == by {
			load++
			d.setVacant(h, p == nil || p.State == membership.Leaving)
		}
	}
	if p != nil {
		p.load = load
	}
}

// merge takes in a claim, and tells whether it stands.
func (d *Manager) merge(no ID, term Term, by Holder) bool {
	h := &d.table[no]
	if term < h.term || term == h.term && (by == h.holder || !outranks(no, by, h.holder)) {
		return term == h.term && by == h.holder
	}
	if h.holder == d.selfHolder {
		d.stats.Released++
		if d.self.State == membership.Alive && (h.offeredAt == 0 || d.now-h.offeredAt > offerTimeout) {
			d.stats.Conflicts++
		}
		defer d.output.Released(no, h.term)
	}
	d.set(no, term, by)
	d.enqueueGossip(no, d.transmissions(false))
	d.lastLearned = d.now
	return true
}

// transmissions is how often a claim is told to one more peer: each hears of it from who made it where they are few, else the
// logarithm of their number has it go round.
func (d *Manager) transmissions(own bool) int {
	n := bits.Len(uint(len(d.peers)))
	if own {
		return min(len(d.peers), ownClaimFactor*n)
	}
	return max(n-relayReduction, 1)
}

func (d *Manager) enqueueGossip(no ID, times int) {
	h := &d.table[no]
	if h.transmissions <= 0 {
		d.gossipQueue = append(d.gossipQueue, no)
	}
	h.transmissions = max(h.transmissions, times)
}

// sendLater notes a claim for a peer that it matters to: who held the duty, and who would stand in. Or it asks a peer.
func (d *Manager) sendLater(to *peer, no ID, k messageKind) {
	if to == nil || to.holder == d.selfHolder || len(d.messages) >= maxMessages {
		return
	}
	if k == query {
		for _, l := range d.messages {
			if l.to == to.ID && l.id == no && l.kind == query {
				return
			}
		}
	}
	times := messageRepeats
	if k == offer { // made again if need be
		times = 1
	}
	d.messages = append(d.messages, message{to.ID, no, k, times, d.now})
}

// sendMessages sends the letters that are due, those to one peer together.
func (d *Manager) sendMessages() {
	if len(d.messages) == 0 {
		return
	}
	for _, p := range d.peers {
		for _, k := range [...]messageKind{claims, query, offer} {
			d.scratch = d.scratch[:0]
			for i := range d.messages {
				l := &d.messages[i]
				if l.to == p.ID && l.kind == k && l.due <= d.now && l.remaining > 0 && len(d.scratch) < maxClaims {
					d.scratch = append(d.scratch, l.id)
					l.remaining--
					l.due = d.now + messageInterval
				}
			}
			if len(d.scratch) > 0 {
				d.sendList(k, p.Address, d.scratch)
			}
		}
	}
	d.messages = slices.DeleteFunc(d.messages, func(l message) bool { return l.remaining <= 0 || d.now-l.due > clock.Second })
}

// gossip spreads the freshest claims to a peer by chance.
func (d *Manager) gossip() {
	if len(d.gossipQueue) == 0 || d.now-d.lastGossip < gossipInterval || len(d.peers) < 2 {
		return
	}
	d.lastGossip = d.now
	slices.SortFunc(d.gossipQueue, func(a, b ID) int {
		x, y := &d.table[a], &d.table[b] // those of one holder side by side: its name is said once
		return cmp.Or(cmp.Compare(y.transmissions, x.transmissions), cmp.Compare(x.holder, y.holder), cmp.Compare(a, b))
	})
	for range 2 {
		to := d.pickPeer()
		if to == nil {
			return
		}
		for _, no := range d.gossipQueue[:d.sendList(claims, to.Address, d.gossipQueue)] {
			d.table[no].transmissions--
		}
		if d.gossipQueue = slices.DeleteFunc(d.gossipQueue, func(no ID) bool { return d.table[no].transmissions <= 0 }); len(d.gossipQueue) == 0 {
			return
		}
	}
}

// pickPeer is a peer, not this router; nil if there is none. Few are taken in turn, so that each hears; of many, one by
// chance: were all routers to go round in one order, the first would hear everything and the last nothing.
func (d *Manager) pickPeer() *peer {
	n := len(d.peers)
	if n < 2 {
		return nil
	}
	if d.nextPeer++; n > roundRobinPeers || d.nextPeer == 1 {
		d.nextPeer = d.random.IntN(n) + 1
	}
	p := d.peers[d.nextPeer%n]
	if p.holder == d.selfHolder {
		d.nextPeer++
		p = d.peers[d.nextPeer%n]
	}
	return p
}

// sendNextDigest tells a peer by chance, in short, what this router knows; that one answers with what differs.
func (d *Manager) sendNextDigest() {
	every := digestIdle
	if d.vacantCount > 0 || d.settledAt == 0 || d.now-d.lastLearned < busyTime {
		every = digestBusy
	}
	if d.now-d.lastDigest < every || d.tokens < digestReserve && d.now-d.lastDigest < digestIdle {
		return
	}
	d.lastDigest = d.now
	if to := d.pickPeer(); to != nil {
		n := d.bucketCount()
		first := d.digestStart
		end := min(first+maxDigestBuckets, n)
		if d.digestStart = end; end >= n {
			d.digestStart = 0
		}
		d.sendDigest(to.Address, first, end)
	}
}

func (d *Manager) bucketCount() int { return (len(d.table) + bucketSize - 1) / bucketSize }

// Receive takes a datagram.
func (d *Manager) Receive(now Micros, from netip.AddrPort, b []byte) error {
	d.now = max(d.now, now)
	d.stats.Received++
	k, sender, r, err := d.readHeader(b)
	if err != nil {
		return err
	}
	if p := d.byHolder[sender]; p != nil {
		from = p.Address
	}
	switch k {
	case digest:
		d.receiveDigest(from, &r)
		return nil
	case digestMatch:
		if first := r.Number(MaxLeases); !r.Bad {
			d.matchedWindows |= 1 << (first / maxDigestBuckets)
		}
		return nil
	case query:
		return d.receiveQuery(from, &r)
	}
	whole := r // nothing is believed of a datagram that is not whole
	for readClaims(&whole, len(d.table), func(Holder, ID, Term) {}) {
	}
	if whole.Bad {
		d.stats.Unreadable++
		return ErrUnreadable
	}
	d.scratch = d.scratch[:0]
	for readClaims(&r, len(d.table), func(by Holder, no ID, term Term) {
		if k == offer {
			d.receiveOffer(sender, by, no, term)
		} else if !d.merge(no, term, by) && len(d.scratch) < maxClaims {
			d.scratch = append(d.scratch, no) // ours is the higher: whoever told this is to know
		}
	}) {
	}
	if len(d.scratch) > 0 {
		d.sendList(claims, from, d.sortByHolder(d.scratch))
	}
	return nil
}

// receiveOffer takes up a duty that its holder hands over, if there is room here.
func (d *Manager) receiveOffer(sender, by Holder, no ID, term Term) {
	me, from := d.byHolder[d.selfHolder], d.byHolder[sender]
	if by != sender || from == nil || me == nil || !d.inContact || !d.merge(no, term, by) {
		return
	}
	if d.planCapacity(); me.capacity <= 0 {
		return
	}
	d.claim(no)
	d.stats.HandedOver++
	d.sendLater(from, no, claims)
}

// receiveQuery answers with what is known of some duties.
func (d *Manager) receiveQuery(from netip.AddrPort, r *octets.Reader) error {
	d.scratch = d.scratch[:0]
	for no := uint64(0); len(r.B) > 0 && !r.Bad; {
		if no += r.Number(MaxLeases); no < uint64(len(d.table)) && d.table[no].term > 0 && !d.table[no].vacant {
			d.scratch = append(d.scratch, ID(no))
		}
	}
	if r.Bad {
		d.stats.Unreadable++
		return ErrUnreadable
	}
	d.sendList(claims, from, d.sortByHolder(d.scratch))
	return nil
}

// receiveDigest answers a digest with the claims of the buckets that differ.
func (d *Manager) receiveDigest(from netip.AddrPort, r *octets.Reader) {
	first, salt, sums, asks := readDigest(r)
	d.scratch = d.scratch[:0]
	start := 0
	if len(sums) > 0 { // from anywhere: else the last ones would wait until the first agree
		start = d.random.IntN(len(sums))
	}
	for i := range sums {
		i = (start + i) % len(sums)
		bucket := first + i
		if bucket >= d.bucketCount() || truncateSum(d.sums[bucket], salt) == sums[i] {
			continue
		}
		for no := bucket * bucketSize; no < min((bucket+1)*bucketSize, len(d.table)); no++ {
			if d.table[no].term > 0 {
				d.scratch = append(d.scratch, ID(no))
			}
		}
		if len(d.scratch) >= maxDigestReply {
			break
		}
	}
	if len(d.scratch) == 0 && asks {
		d.send(from, binary.AppendUvarint(d.newDatagram(digestMatch), uint64(first)))
	}
	for rest := d.sortByHolder(d.scratch); len(rest) > 0; {
		n := d.sendList(claims, from, rest)
		if n == 0 {
			break
		}
		rest = rest[n:]
	}
}
