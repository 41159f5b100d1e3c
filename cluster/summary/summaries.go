// Package summaries says, in a few hundred bytes, what a site could hold: filters over its objects and groups, and the least and
// greatest of some figures. Free of I/O: time, rows and datagrams go in, datagrams come out.
//
// The one rule: a site that could hold a published row is always asked. It is kept so. A reader asks a site for its summary, and holds
// it for a lease from the moment that the ask left; the site notes the same lease, which the ask names, from the moment that the answer
// left, which is later. A row
// that is newer than a summary is published once the site has noted no lease on any summary without it: then no reader goes by such a
// one, whatever was lost, doubled or late, and clocks need not agree. A reader that misses a piece, whose lease has run out, that goes by
// another map or has the summary of another life of the site takes the site for one that could hold everything.
//
// Of filters: Bloom (a library's) for its size at a few hundred keys, and since pieces that come in any order make it up; cuckoo and
// quotient filters can take keys out, which a new version every Turn does as well; xor and ribbon filters are a quarter smaller and
// must be built whole, which would do, but ask for a construction that may fail.
package summary

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/bits-and-blooms/bloom/v3"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	// MinLease is how long a reader goes by a summary at least, LeaseMost at most: one of many sites asks each seldom.
	MinLease = 30 * clock.Second
	MaxLease = 300 * clock.Second
	// Turn is how often a site makes a new version, if it has new rows.
	Turn = 10 * clock.Second
	// MaxPayload is the most that a datagram of this package takes.
	MaxPayload = 208

	renewAt    = 2 // a reader asks anew when this part of a lease is left
	askGap     = 100 * clock.Millisecond
	pieceWords = 20 // of a filter, in one datagram
	piecesMost = 64
	falseShare = 0.01
	groupSalt  = 0x67727570
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("summaries: unreadable datagram")

// Bounds of what a site holds.
type figures struct {
	rows            uint32
	leastKB, mostKB uint32
}

// Summary is what a site could hold, at one version.
type Summary struct {
	Site    shardmap.Owner
	Map     shardmap.Digest
	Version uint32
	figures
	filter *bloom.BloomFilter // over objects and groups alike
}

// Query is what could be asked of a site.
type Query struct {
	Object        shardmap.Key // 0: any
	Group         directory.Group
	MinSizeKB     uint32
	MaxSizeKB     uint32 // 0: any
	CreatedBefore Micros // not 0: rows of the group with copies made by then, also those that a purge has made old, and no other copies
}

// word is what goes into the filter.
func word(b []byte, k uint64) []byte { return binary.BigEndian.AppendUint64(b[:0], k) }

// MayMatch tells whether the site could hold a row that a query asks for.
func (s *Summary) MayMatch(q *Query) bool {
	if s.rows == 0 {
		return false
	}
	var b [8]byte
	if q.Object != 0 && !s.filter.Test(word(b[:], uint64(q.Object))) {
		return false
	}
	if q.Group != 0 && !s.filter.Test(word(b[:], hash.Combine(uint64(q.Group), groupSalt))) {
		return false
	}
	return (q.MaxSizeKB == 0 || s.leastKB <= q.MaxSizeKB) && s.mostKB >= q.MinSizeKB
}

// Publisher is a site's side.
type Publisher struct {
	self   shardmap.Owner
	now    Micros
	sum    *Summary
	words  []uint64
	made   Micros
	leased Micros // until when a reader may go by the version that stands, or one before it
	rows   map[shardmap.Key]entry
}

// entry is a row as readers may know of it.
type entry struct {
	group directory.Group
	kb    uint32 // when it came in: all versions since allow for half and double of that
	from  Micros // published from then on: no lease is left on a summary without it
}

// NewPublisher makes the shelf of a site.
func NewPublisher(self shardmap.Owner) *Publisher {
	return &Publisher{self: self, rows: map[shardmap.Key]entry{}}
}

// Update makes a new version, if it is time, of the rows that each gives: those that the site keeps under a map.
func (s *Publisher) Update(now Micros, m shardmap.Digest, each func(f func(*directory.Record))) {
	s.now = max(s.now, now)
	if s.sum != nil && s.sum.Map == m && s.now-s.made < Turn {
		return
	}
	next := &Summary{Site: s.self, Map: m, Version: 1, figures: figures{leastKB: math.MaxUint32}}
	if s.sum != nil {
		next.Version = s.sum.Version + 1
	}
	var list []*directory.Record
	each(func(r *directory.Record) { list = append(list, r) })
	next.filter = bloom.NewWithEstimates(uint(max(2*len(list), 8)), falseShare)
	rows := make(map[shardmap.Key]entry, len(list))
	var b [8]byte
	for _, r := range list {
		was, known := s.rows[r.Key]
		if !known || !was.is(r) {
			was = entry{r.Group, r.SizeKB, max(s.leased, s.now)}
		}
		rows[r.Key] = was
		next.leastKB, next.mostKB = min(next.leastKB, was.kb/2), max(next.mostKB, double(was.kb))
		next.filter.Add(word(b[:], uint64(r.Key)))
		if r.Group != 0 {
			next.filter.Add(word(b[:], hash.Combine(uint64(r.Group), groupSalt)))
		}
	}
	next.rows = uint32(len(list))
	s.rows, s.sum, s.made = rows, next, s.now
	s.words = next.filter.BitSet().Words()
}

// is tells whether a row is as it was when it came in, as far as a query could tell.
func (e *entry) is(r *directory.Record) bool {
	return e.group == r.Group && r.SizeKB >= e.kb/2 && r.SizeKB <= double(e.kb)
}

func double(kb uint32) uint32 { return 2 * min(kb, math.MaxUint32/2) }

// Published tells whether a row is one that every reader asks for: no lease is left on a summary without it, as it is now.
func (s *Publisher) Published(now Micros, r *directory.Record) bool {
	at, ok := s.rows[r.Key]
	return ok && at.is(r) && now >= at.from
}

// pieces is how many datagrams the summary that stands takes.
func (s *Publisher) pieces() int { return max((len(s.words)+pieceWords-1)/pieceWords, 1) }

// Answer answers a reader's ask with a piece, and notes its lease.
func (s *Publisher) Answer(now Micros, ask []byte, send func(b []byte)) error {
	s.now = max(s.now, now)
	r := octets.Reader{B: ask}
	no, at, lease := r.Number(math.MaxUint32), int(r.Number(piecesMost)), Micros(r.Number(uint64(MaxLease/clock.Second)))*clock.Second
	if r.Bad || len(r.B) > 0 {
		return ErrUnreadable
	}
	if s.sum == nil || s.pieces() > piecesMost || at >= s.pieces() {
		at = 0
		if s.sum == nil || s.pieces() > piecesMost {
			return nil // such a site could hold everything
		}
	}
	s.leased = max(s.leased, s.now+lease)
	x := s.sum
	b := binary.AppendUvarint(make([]byte, 0, MaxPayload), no)
	b = octets.AppendWord(b, uint64(x.Site.ID), 8)
	b = binary.AppendUvarint(b, uint64(x.Site.Incarnation))
	b = octets.AppendWord(b, uint64(x.Map), 8)
	b = binary.AppendUvarint(b, uint64(x.Version))
	b = binary.AppendUvarint(b, uint64(x.rows))
	b = binary.AppendUvarint(b, uint64(x.leastKB))
	b = binary.AppendUvarint(b, uint64(x.mostKB))
	b = binary.AppendUvarint(b, uint64(x.filter.Cap()))
	b = append(b, byte(x.filter.K()), byte(s.pieces()), byte(at))
	for _, w := range s.words[min(at*pieceWords, len(s.words)):min((at+1)*pieceWords, len(s.words))] {
		b = octets.AppendWord(b, w, 8)
	}
	send(b)
	return nil
}

// copyOf is a site's summary as a reader has it.
type copyOf struct {
	sum    *Summary // whole; nil: none
	until  Micros
	next   *Summary // being gathered
	words  []uint64
	k      uint
	bits   uint
	have   uint64 // pieces, by bits
	pieces int
	ends   Micros // of the lease, by the ask that a piece of it answered whose ends first
	lease  Micros
	asked  Micros
	asks   map[uint32]leased
}

// leased is an ask that is out, and until when an answer to it holds.
type leased struct{ ends, lease Micros }

// Reader is a reader's side.
type Reader struct {
	now   Micros
	no    uint32
	sites map[shardmap.Owner]*copyOf
}

// NewReader makes a reader that knows of no summary.
func NewReader() *Reader { return &Reader{sites: map[shardmap.Owner]*copyOf{}} }

// MayMatch tells whether a site could hold a row that a query asks for, under a map. With no summary that holds, it could.
func (r *Reader) MayMatch(now Micros, site shardmap.Owner, m shardmap.Digest, q *Query) bool {
	c := r.sites[site]
	if c == nil || c.sum == nil || now >= c.until || c.sum.Map != m {
		return true
	}
	return c.sum.MayMatch(q)
}

// Tick asks a site for the pieces that are wanted, if it is time, under a lease. Send gives the ask out.
func (r *Reader) Tick(now Micros, site shardmap.Owner, lease Micros, send func(b []byte)) {
	r.now = max(r.now, now)
	lease = min(max(lease, MinLease), MaxLease) / clock.Second * clock.Second
	c := r.sites[site]
	if c == nil {
		c = &copyOf{asks: map[uint32]leased{}}
		r.sites[site] = c
	}
	if c.sum != nil && r.now < c.until-c.lease/renewAt && c.next == nil || r.now-c.asked < askGap && c.asked > 0 {
		return
	}
	c.asked = r.now
	at := 0
	if c.next != nil {
		for at < c.pieces-1 && c.have>>at&1 == 1 {
			at++
		}
	}
	for no, ask := range c.asks {
		if r.now > ask.ends {
			delete(c.asks, no)
		}
	}
	r.no++
	c.asks[r.no] = leased{r.now + lease, lease}
	b := binary.AppendUvarint(binary.AppendUvarint(nil, uint64(r.no)), uint64(at))
	send(binary.AppendUvarint(b, uint64(lease/clock.Second)))
}

// Receive takes a piece.
func (r *Reader) Receive(now Micros, b []byte) error {
	r.now = max(r.now, now)
	in := octets.Reader{B: b}
	no := uint32(in.Number(math.MaxUint32))
	x := &Summary{}
	x.Site.ID = membership.NodeID(in.Word(8))
	x.Site.Incarnation = membership.Incarnation(in.Number(math.MaxInt64))
	x.Map = shardmap.Digest(in.Word(8))
	x.Version = uint32(in.Number(math.MaxUint32))
	x.rows = uint32(in.Number(math.MaxUint32))
	x.leastKB, x.mostKB = uint32(in.Number(math.MaxUint32)), uint32(in.Number(math.MaxUint32))
	bits := uint(in.Number(piecesMost * pieceWords * 64))
	k, pieces, at := uint(in.Byte()), int(in.Byte()), int(in.Byte())
	if in.Bad || len(b) > MaxPayload || len(in.B)%8 != 0 || k == 0 || bits == 0 || pieces == 0 || pieces > piecesMost || at >= pieces {
		return ErrUnreadable
	}
	c := r.sites[x.Site]
	if c == nil {
		return nil
	}
	ask, ours := c.asks[no]
	if !ours || r.now >= ask.ends {
		return nil // of no ask that could still give a lease
	}
	if c.next != nil && x.Version < c.next.Version || c.sum != nil && x.Version < c.sum.Version {
		return nil // late
	}
	if n := c.next; n == nil || n.Version != x.Version || n.Map != x.Map || c.pieces != pieces {
		c.next, c.words, c.have, c.pieces, c.ends, c.lease, c.k, c.bits = x, make([]uint64, (bits+63)/64), 0, pieces, ask.ends, ask.lease, k, bits
	}
	c.ends, c.lease = min(c.ends, ask.ends), min(c.lease, ask.lease) // what ends first counts
	for i := 0; len(in.B) >= 8; i++ {
		w := in.Word(8)
		if j := at*pieceWords + i; j < len(c.words) {
			c.words[j] = w
		}
	}
	if c.have |= 1 << at; c.have == 1<<c.pieces-1 {
		c.next.filter = bloom.FromWithM(c.words, c.bits, c.k)
		c.sum, c.until, c.next = c.next, c.ends, nil
	}
	return nil
}

// Forget drops what is known of sites that a map does not name.
func (r *Reader) Forget(named func(shardmap.Owner) bool) {
	for k := range r.sites {
		if !named(k) {
			delete(r.sites, k)
		}
	}
}
