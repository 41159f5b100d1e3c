// Package scatter asks sites for rows: only those that could hold matching ones, a few at a time, again where one is silent. Free of I/O:
// time, the map, what summaries say and datagrams go in, datagrams and results come out.
//
// How it is called: New makes one router's part. Start begins a query, which ends with Done. Tick is called some tens of times a
// second, Hear with each datagram.
//
// How it is decided: a result is complete only if each site that could hold a matching row has answered for all its keys, as their
// keeper, under the very map that the query was planned by. One that goes by another map says so, and the query is planned anew by the
// map that stands then; one that is silent is asked again for as long as the query has, and after some tries its standbys give what they
// have, which completes nothing. An answer of several parts bears a digest of all that it says: parts that were lost are asked for again, and
// add up to a whole only with parts of the very same answer.
package scatter

import (
	"cmp"
	"encoding/binary"
	"errors"
	"hash"
	"hash/crc32"
	"math"
	"net/netip"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
	"threadrun/internal/random"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	// MaxPayload is the most that a datagram of this package takes.
	MaxPayload = 208

	patience   = 200 * clock.Millisecond
	patientFor = 2 // times patience at most
	triesAlone = 3 // then standbys are asked beside
	replans    = 3
	windowMost = 8
	queryMost  = 32 // at a time
	partsMost  = 32
	partHead   = 40 // bytes of a part before its rows, at most
	rowsMost   = 1 << 15
	perSecond  = 60.0
	burst      = 30.0
)

// Errors.
var (
	ErrUnreadable = errors.New("scatter: unreadable datagram")
	ErrBusy       = errors.New("scatter: too many queries at a time")
	ErrNoMap      = errors.New("scatter: no map")
)

// Span is a stretch of keys, both ends included.
type Span struct{ First, Last shardmap.Key }

// Result is what a query came to.
type Result struct {
	Records    []directory.Record // each object once, by key
	Complete   bool
	Truncated  bool   // at the limit
	Missing    []Span // keys that nobody answered for; none if complete
	MapVersion shardmap.Version
	Candidates int // sites that could match
	Queried    int
	Excluded   int // sites whose summaries said no
	Attempts   int // datagrams sent
}

// Output takes what comes out. It is called only from within calls of Scatter.
type Output interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Done(no uint32, r Result)
}

// Store is this router as one that is asked.
type Store interface {
	ShardMap() (*shardmap.Map, bool) // that it goes by, and whether it answers for all that the map gives it
	Each(f func(*directory.Record) bool)
	EachCreatedBefore(g directory.Group, before Micros, f func(*directory.Record) bool)
	Owns(k shardmap.Key) bool
}

// Cluster is what is known of the others.
type Cluster interface {
	ShardMap() (*shardmap.Map, bool)
	Address(mark membership.NodeID) (netip.AddrPort, bool)
	MayMatch(site shardmap.Owner, m shardmap.Digest, q *summary.Query) bool
}

// target is a site that could hold matching rows.
type target struct {
	at      uint16 // in the map's keepers
	sent    Micros
	tries   int
	out     bool
	covered bool
	helped  bool   // its standbys have been asked
	tag     uint32 // of the answer that the parts are of; 0: none has come
	parts   uint64
	of      int
}

// query is one under way.
type query struct {
	no      uint32
	q       summary.Query
	limit   int
	until   Micros
	m       *shardmap.Map
	targets []target
	rows    map[shardmap.Key]directory.Record
	result  Result
	plans   int
	over    bool
}

// Coordinator is one router's part.
type Coordinator struct {
	self   shardmap.Owner
	post   Output
	chance random.Source
	now    Micros
	no     uint32
	all    []*query
	tokens float64
	filled Micros
	buf    [MaxPayload + 128]byte
}

// New makes a router's part.
func New(now Micros, self shardmap.Owner, post Output, seed uint32) *Coordinator {
	return &Coordinator{self: self, post: post, chance: random.Source{Seed: seed}, now: now, tokens: burst, filled: now}
}

// kind of a datagram.
type kind byte

const (
	ask   kind = iota + 1 // number, who, map, the parts that are here already and of which answer, query, limit
	rows                  // number, who, map, which part of how many, and rows
	other                 // number, who: it goes by another map, or does not answer yet
)

// Start begins a query that has until a time.
func (s *Coordinator) Start(now Micros, q summary.Query, limit int, until Micros, f Cluster) (uint32, error) {
	s.now = max(s.now, now)
	if len(s.all) >= queryMost {
		return 0, ErrBusy
	}
	m, _ := f.ShardMap()
	if m == nil {
		return 0, ErrNoMap
	}
	if s.no++; limit <= 0 {
		limit = rowsMost
	}
	x := &query{no: s.no, q: q, limit: limit, until: until}
	s.plan(x, m, f)
	s.all = append(s.all, x)
	s.step(x, f)
	return x.no, nil
}

// plan names the sites that could match under a map. What was found under another is asked for again.
func (s *Coordinator) plan(x *query, m *shardmap.Map, f Cluster) {
	x.m, x.rows, x.targets = m, map[shardmap.Key]directory.Record{}, x.targets[:0]
	x.result = Result{MapVersion: m.Version, Attempts: x.result.Attempts}
	x.plans++
	seen := make([]bool, len(m.Owners))
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if x.q.Object != 0 && (x.q.Object < r.First || x.q.Object > r.Last) || seen[r.Owner] {
			continue
		}
		seen[r.Owner] = true
		if !f.MayMatch(m.Owners[r.Owner], m.Digest, &x.q) {
			x.result.Excluded++
			continue
		}
		x.result.Candidates++
		x.targets = append(x.targets, target{at: r.Owner})
	}
}

// Tick goes on with all queries.
func (s *Coordinator) Tick(now Micros, f Cluster) {
	s.now = max(s.now, now)
	s.tokens = min(s.tokens+(s.now-s.filled).Seconds()*perSecond, burst)
	s.filled = s.now
	for _, x := range slices.Clone(s.all) {
		if !x.over {
			s.step(x, f)
		}
	}
}

// step goes on with one.
func (s *Coordinator) step(x *query, f Cluster) {
	out, left := 0, 0
	for i := range x.targets {
		if t := &x.targets[i]; !t.covered {
			left++
			if t.out {
				out++
			}
		}
	}
	if left == 0 || s.now >= x.until {
		s.end(x)
		return
	}
	// Wards off going on with what is over: what this router asks itself is answered within the call, and may end the query or have all of it
	// asked for anew under another map.
	plans := x.plans
	stands := func() bool { return !x.over && x.plans == plans }
	for i := 0; stands() && i < len(x.targets); i++ {
		t := &x.targets[i]
		if t.covered || t.out && s.now-t.sent < patience*Micros(min(t.tries, patientFor)) {
			continue
		}
		if !t.out && out >= windowMost || s.tokens < 1 {
			continue
		}
		if t.tries == 0 {
			x.result.Queried++
			out++
		}
		if t.tries >= triesAlone && !t.helped {
			t.helped = true
			if s.standbys(x, t.at, f); !stands() {
				return
			}
		}
		t.out, t.sent = true, s.now
		t.tries++
		s.send(x, x.m.Owners[t.at].ID, t, f)
	}
}

// standbys asks one that stands by a silent site: what it has is better than nothing, and proves nothing.
func (s *Coordinator) standbys(x *query, at uint16, f Cluster) {
	for i := range x.m.Ranges {
		if r := &x.m.Ranges[i]; r.Owner == at && r.Replicas[0] != shardmap.NoOwner && s.tokens >= 1 {
			s.send(x, x.m.Owners[r.Replicas[0]].ID, &target{}, f)
			return
		}
	}
}

func (s *Coordinator) send(x *query, to membership.NodeID, t *target, f Cluster) {
	at, ok := f.Address(to)
	if to == s.self.ID {
		at, ok = netip.AddrPort{}, true
	}
	if !ok {
		return
	}
	s.tokens--
	x.result.Attempts++
	b := binary.AppendUvarint(append(s.buf[:0], byte(ask)), uint64(x.no))
	b = octets.AppendWord(b, uint64(s.self.ID), 8)
	b = octets.AppendWord(b, uint64(x.m.Digest), 8)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(t.tag)), t.parts)
	b = octets.AppendWord(b, uint64(x.q.Object), 8)
	b = binary.AppendUvarint(b, uint64(x.q.Group))
	b = binary.AppendUvarint(b, uint64(x.q.MinSizeKB))
	b = binary.AppendUvarint(b, uint64(x.q.MaxSizeKB))
	if x.q.CreatedBefore != 0 { // as an age, rounded so that no copy is left out
		b = binary.AppendUvarint(b, 1+uint64(max(s.now-x.q.CreatedBefore, 0)/clock.Millisecond))
	} else {
		b = append(b, 0)
	}
	s.post.Send(at, binary.AppendUvarint(b, uint64(x.limit)))
}

// Matches tells whether a row is one that a query asks for.
func Matches(q *summary.Query, r *directory.Record) bool {
	return (q.Object == 0 || q.Object == r.Key) && (q.Group == 0 || q.Group == r.Group) && r.SizeKB >= q.MinSizeKB && (q.MaxSizeKB == 0 || r.SizeKB <= q.MaxSizeKB)
}

// Receive takes a datagram. What goes to this router itself comes here too, from no address.
func (s *Coordinator) Receive(now Micros, from netip.AddrPort, b []byte, site Store, f Cluster) error {
	s.now = max(s.now, now)
	r := octets.Reader{B: b}
	k, no := kind(r.Byte()), uint32(r.Number(math.MaxUint32))
	who := membership.NodeID(r.Word(8))
	if r.Bad || len(b) > MaxPayload {
		return ErrUnreadable
	}
	switch k {
	case ask:
		m := shardmap.Digest(r.Word(8))
		had := target{tag: uint32(r.Number(math.MaxUint32)), parts: r.Number(math.MaxUint64)}
		q := summary.Query{Object: shardmap.Key(r.Word(8)), Group: directory.Group(r.Number(math.MaxUint64)),
			MinSizeKB: uint32(r.Number(math.MaxUint32)), MaxSizeKB: uint32(r.Number(math.MaxUint32))}
		if ago := r.Number(math.MaxUint32); ago > 0 {
			q.CreatedBefore = max(s.now-Micros(ago-1)*clock.Millisecond, 1)
		}
		limit := int(r.Number(1 << 16))
		if r.Bad {
			return ErrUnreadable
		}
		if at, ok := f.Address(who); ok && who != s.self.ID {
			from = at
		}
		s.answer(from, no, m, &q, limit, &had, site)
	case other:
		if x := s.find(no); x != nil {
			if m, _ := f.ShardMap(); m != nil && m.Digest != x.m.Digest && x.plans < replans {
				s.plan(x, m, f)
			}
		}
	case rows:
		return s.take(no, who, &r, f)
	default:
		return ErrUnreadable
	}
	return nil
}

func (s *Coordinator) find(no uint32) *query {
	for _, x := range s.all {
		if x.no == no {
			return x
		}
	}
	return nil
}

// answer gives the rows that match, in as many parts as they take, less those that the asker has. Only a keeper that answers for all its
// keys under the asker's map covers them.
func (s *Coordinator) answer(to netip.AddrPort, no uint32, digest shardmap.Digest, q *summary.Query, limit int, had *target, site Store) {
	head := func(k kind) []byte {
		return octets.AppendWord(binary.AppendUvarint(append(s.buf[:0], byte(k)), uint64(no)), uint64(s.self.ID), 8)
	}
	m, all := site.ShardMap()
	if m == nil || m.Digest != digest || !all {
		s.post.Send(to, head(other))
		return
	}
	var match []*directory.Record
	take := func(r *directory.Record) bool {
		if Matches(q, r) {
			match = append(match, r)
		}
		return true
	}
	if q.CreatedBefore != 0 {
		site.EachCreatedBefore(q.Group, q.CreatedBefore, take)
	} else {
		site.Each(take)
	}
	slices.SortFunc(match, func(a, b *directory.Record) int { return cmp.Compare(a.Key, b.Key) }) // the same answer each time
	cut := len(match) > limit
	var parts [][]byte
	var part []byte
	tag := crc32.NewIEEE()
	for _, r := range match[:min(len(match), limit)] {
		more := directory.AppendRecord(part, s.now, r)
		if len(more)+partHead > MaxPayload {
			if len(parts) >= partsMost-1 {
				cut = true
				break
			}
			parts, more = append(parts, part), directory.AppendRecord(nil, s.now, r)
		}
		part = more
		enter(tag, len(parts), r)
	}
	parts = append(parts, part)
	sum := tag.Sum32() | 1
	for i, p := range parts {
		if had.tag == sum && had.parts>>i&1 == 1 {
			continue
		}
		b := octets.AppendWord(head(rows), uint64(digest), 8)
		b = append(binary.AppendUvarint(b, uint64(sum)), byte(i), byte(len(parts)), octets.Truth(cut))
		s.post.Send(to, append(b, p...))
	}
}

// enter notes what an answer says of a row, and in which part, in the digest of the answer. Times are those of the row: ages would differ each time.
func enter(h hash.Hash32, part int, r *directory.Record) {
	var b [16 + 16*directory.MaxCopies]byte
	w := octets.AppendWord(append(b[:0], byte(part)), uint64(r.Key), 8)
	w = octets.AppendWord(w, uint64(r.UpdatedAt), 8)
	for _, c := range r.Copies {
		w = octets.AppendWord(octets.AppendWord(w, uint64(c.Cache), 8), uint64(c.CreatedAt), 8)
	}
	_, _ = h.Write(w)
}

// take takes a part of an answer.
func (s *Coordinator) take(no uint32, who membership.NodeID, r *octets.Reader, f Cluster) error {
	digest := shardmap.Digest(r.Word(8))
	tag := uint32(r.Number(math.MaxUint32))
	part, of, cut := int(r.Byte()), int(r.Byte()), r.Byte() == 1
	var list []directory.Record
	for len(r.B) > 0 && !r.Bad {
		list = append(list, directory.ReadRecord(r, s.now))
	}
	if r.Bad || tag == 0 || of == 0 || of > partsMost || part >= of {
		return ErrUnreadable
	}
	x := s.find(no)
	if x == nil || digest != x.m.Digest {
		return nil // under another map: it proves nothing here
	}
	for i := range list {
		if Matches(&x.q, &list[i]) {
			if was, ok := x.rows[list[i].Key]; !ok || was.UpdatedAt < list[i].UpdatedAt {
				x.rows[list[i].Key] = list[i]
			}
		}
	}
	for i := range x.targets {
		t := &x.targets[i]
		if x.m.Owners[t.at].ID != who {
			continue
		}
		if t.of != of || t.tag != tag { // parts of two answers make none
			t.of, t.tag, t.parts = of, tag, 0
		}
		if t.parts |= 1 << part; t.parts == 1<<of-1 {
			t.covered, t.out = true, false
		}
		x.result.Truncated = x.result.Truncated || cut
	}
	s.step(x, f)
	return nil
}

// end gives the result out.
func (s *Coordinator) end(x *query) {
	x.over = true
	s.all = slices.DeleteFunc(s.all, func(o *query) bool { return o == x })
	covered := map[uint16]bool{}
	named := map[uint16]bool{}
	for i := range x.targets {
		named[x.targets[i].at], covered[x.targets[i].at] = true, x.targets[i].covered
	}
	for i := range x.m.Ranges {
		if r := &x.m.Ranges[i]; named[r.Owner] && !covered[r.Owner] && (x.q.Object == 0 || x.q.Object >= r.First && x.q.Object <= r.Last) {
			x.result.Missing = append(x.result.Missing, Span{r.First, r.Last})
		}
	}
	for _, row := range x.rows {
		x.result.Records = append(x.result.Records, row)
	}
	slices.SortFunc(x.result.Records, func(a, b directory.Record) int { return cmp.Compare(a.Key, b.Key) })
	if x.limit > 0 && len(x.result.Records) > x.limit {
		x.result.Records, x.result.Truncated = x.result.Records[:x.limit], true
	}
	x.result.Complete = len(x.result.Missing) == 0 && !x.result.Truncated
	s.post.Done(x.no, x.result)
}
