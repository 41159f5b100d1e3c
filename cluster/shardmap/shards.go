// Package shards keeps the map of who keeps which keys: it checks that each new map covers every key exactly once, and has maps
// come into force so that no key has two keepers that answer for it among routers that hear one another. Free of I/O: time,
// changes of membership and datagrams go in, datagrams and what this router answers for come out.
//
// How it is called: New makes one router's view. Member tells of each change of membership, its own included. Tick is called some
// tens of times a second, with whether this router holds the duty of making maps; Hear with each datagram. Answers tells, right
// before an answer, whether a key is this router's to answer for.
//
// How it is decided: who holds the duty proposes a successor when the routers that are present are no longer those that the map
// names. A map goes from router to router in pieces; nothing of it counts before all are there and its digest is right. A router
// goes by a map as soon as it has checked it: from then on it answers for no key that the map gives to another. For keys that it
// gains it answers only once all that are present are known to go by exactly that map, so nobody answers for them under an
// earlier one; keys that it had and still has it answers for throughout. check.go has the rules, propose.go the next map.
//
// In a split each side goes on with maps of its own. Once they hear one another the higher version stands; until a router has
// heard of it, two may answer.
package shardmap

import (
	"fmt"
	"net/netip"
	"slices"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const (
	ownershipLease = 1200 * clock.Millisecond // of proven contact; less than a death takes to be believed
	tickStale      = 300 * clock.Millisecond  // since the last tick: this router was stopped
	lapseMost      = 3 * clock.Second         // after a lapse, until it goes on without having heard of another map

	proposeEvery = clock.Second
	spreadMost   = 8 * clock.Second        // that a map gets to come into force before another is made
	calmFor      = 500 * clock.Millisecond // without changes of membership, before a map is made
	calmMost     = 6 * clock.Second        // but no longer
	newMost      = 3 * clock.Second        // a newcomer that holds the duty first asks whether there is a map

	tellBusy  = 100 * clock.Millisecond // while not all go by one map
	tellIdle  = clock.Second
	wantGap   = 60 * clock.Millisecond
	wantMost  = 12 // pieces asked for at a time
	guestIdle = 4 * wantGap
	staleFor  = 2 * clock.Second // a map being gathered that gets no piece is given up

	refusedMost = 16
	refusedFor  = 5 * clock.Second // a view that has changed since may see it otherwise
	sourcesMost = 8
	perSecond   = 100.0 // datagrams at most; while nothing changes it is one
	burst       = 240.0 // four whole maps of 300 routers: each that has one serves the next
	partsKeep   = 120.0 // of these, that nothing but pieces may use
)

// stretch of keys that this router answers for.
type stretch struct{ first, last Key }

// pendingMap is a map that this router does not go by yet.
type pendingMap struct {
	Version
	state   State
	pieces  [][]byte
	have    int
	sources []netip.AddrPort
	whole   *Map
	heard   Micros // the last piece
	asked   Micros
	checked Micros
}

// told is what a peer goes by.
type told struct {
	Version
	life membership.Incarnation
	at   Micros
}

// refused is a map that did not pass, and when.
type refused struct {
	Digest
	at Micros
}

// Manager is one router's view.
type Manager struct {
	self     membership.Member
	post     Post
	bounds   Bounds
	chance   random.Source
	now      Micros
	began    Micros
	ticked   Micros
	who      Candidates
	order    []membership.NodeID // that tells go to
	turn     int
	changed  Micros // the last change of who is present
	unmet    Micros // since when who is present is not who the map names; 0: it is
	map0     *Map   // the map that this router goes by
	state    State  // of it: Prepared or InForce
	by       []byte // bits: keepers of it that are known to go by it
	kept     []stretch
	told     map[membership.NodeID]told
	next     *pendingMap
	refused  []refused
	above    Version // the highest that one who is present goes by, where this router does not
	aboveAt  Micros  // when that was heard last; 0: there is none
	pin      *Map    // the operator's; its keepers have no lives
	made     Digest
	unpinned Digest // of the operator's map, as it was refused last
	fit      bool
	lapsed   Micros // when it last was not
	strange  Micros // when a map of a later maker was last heard of that this router does not go by; 0: none
	same     Micros // when a peer last said that it goes by the same map
	tellAt   Micros
	propAt   Micros
	tokens   float64
	filled   Micros
	guests   [3]guest
	tally    Stats
	buf      [MaxPayload + 8]byte
}

// New makes the view of a router that has just started.
func New(now Micros, self membership.Member, post Post, seed uint32, bounds Bounds) *Manager {
	s := &Manager{self: self, post: post, bounds: bounds, chance: random.Source{Seed: seed}, now: now, began: now, ticked: now,
		changed: now, who: Candidates{}, told: map[membership.NodeID]told{}, tokens: burst, filled: now}
	s.MemberChanged(now, self)
	return s
}

// MemberChanged takes a change of membership.
func (s *Manager) MemberChanged(now Micros, m membership.Member) {
	s.now = max(s.now, now)
	if m.ID == s.self.ID {
		if m.Incarnation != s.self.Incarnation { // what was kept was kept in another life
			s.drop(nil)
		}
		s.self = m
	}
	was, known := s.who[m.ID]
	is := Candidate{m.Incarnation, m.Zone, max(m.Weight, 1), m.State.Present() && m.State != membership.Leaving, m.Address}
	s.who[m.ID] = is
	if !known {
		s.order = append(s.order, m.ID)
		s.chance.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	if was.Present != is.Present || was.Incarnation != is.Incarnation {
		s.changed = s.now
		if t := s.told[m.ID]; t.life != m.Incarnation {
			delete(s.told, m.ID)
		}
	}
}

// Pin has the maps that this router makes be one that an operator has written, whenever all that it names are there; nil: no more. It goes
// through the same door as any other. What shows without knowing who is there is refused here, the rest when it is proposed.
func (s *Manager) Pin(ranges []Range, keepers []membership.NodeID) *ValidationError {
	if ranges == nil {
		s.pin = nil
		return nil
	}
	m, why := NewPinnedMap(ranges, keepers)
	if why == nil {
		s.pin, s.unpinned = m, 0
	}
	return why
}

// NewPinnedMap checks a map that an operator has written against itself.
func NewPinnedMap(ranges []Range, keepers []membership.NodeID) (*Map, *ValidationError) {
	m := &Map{Ranges: ranges}
	for _, k := range keepers {
		m.Owners = append(m.Owners, Owner{ID: k})
	}
	if at := ValidateCoverage(ranges); at != nil {
		return nil, at
	}
	return m, m.named()
}

// pinned gives the operator's map with the lives that its keepers have now, as the one that follows base; nil: none is to be made of it.
func (s *Manager) pinned(base *Map, v Version) *Map {
	if s.pin == nil {
		return nil
	}
	m := &Map{Version: v, Ranges: s.pin.Ranges}
	for _, k := range s.pin.Owners {
		at := s.who[k.ID]
		if !at.Present {
			return nil
		}
		m.Owners = append(m.Owners, Owner{k.ID, at.Incarnation})
	}
	if base != nil {
		m.Predecessor = base.Digest
	}
	if m.seal(); s.unpinned == m.Digest || base != nil && alike(m, base) {
		return nil
	}
	return m
}

// Map gives the map that this router goes by, and where it stands; nil: none.
func (s *Manager) Map() (*Map, State) { return s.map0, s.state }

// Candidate tells what is known of a router.
func (s *Manager) Candidate(mark membership.NodeID) (Candidate, bool) {
	at, ok := s.who[mark]
	return at, ok
}

// InContact tells whether this router may answer as a keeper at all.
func (s *Manager) InContact() bool { return s.fit }

// Stats counts what has happened.
func (s *Manager) Stats() Stats { return s.tally }

// Serves tells whether a key is this router's to answer for now, and under which map. It is asked right before the answer: a
// router that was stopped since its last tick must not go on as if no time had passed.
func (s *Manager) Serves(k Key, now Micros) (Version, bool) {
	if s.map0 == nil || !s.fit || s.strange > 0 || now-s.ticked > tickStale {
		return Version{}, false
	}
	lo, hi := 0, len(s.kept)
	for lo < hi {
		if mid := int(uint(lo+hi) >> 1); s.kept[mid].last < k {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return s.map0.Version, lo < len(s.kept) && s.kept[lo].first <= k
}

// Each calls f for each span of keys that this router answers for.
func (s *Manager) Each(f func(first, last Key)) {
	for _, k := range s.kept {
		f(k.first, k.last)
	}
}

// Tick does what is due. Mapping is whether this router holds the duty of making maps, under which term.
func (s *Manager) Tick(now Micros, at membership.Contact, mapping bool, term lease.Term) {
	stopped := now-s.ticked > tickStale
	s.now = max(s.now, now)
	s.ticked = now
	s.fence(at, stopped)
	s.gather()
	s.force()
	if mapping && at.Settled && (s.fit || s.stuck() && s.now-s.lapsed > lapseMost && at.SinceAck < ownershipLease && !stopped) {
		s.propose(term)
	}
	s.tellOn()
}

// fence stops this router's answers when nothing proves that others hear it: they may believe it dead, and another may answer.
// After such a lapse it goes on once a peer has said that it goes by the same map.
func (s *Manager) fence(at membership.Contact, stopped bool) {
	ok := at.Alone || at.SinceAck < ownershipLease && !stopped
	if !ok {
		if s.fit && s.map0 != nil {
			s.post.Note(fmt.Sprintf("shards: no contact for %dms, answers for no key", at.SinceAck/clock.Millisecond))
		}
		s.fit, s.lapsed = false, s.now
		return
	}
	// Wards off two keepers: those that believed this router dead waited for nobody, and go by a map that it has not taken up.
	if !s.fit && (at.Alone || s.same > s.lapsed || s.now-s.lapsed > lapseMost && !s.behind() || s.map0 == nil) {
		s.fit = true
	}
}

// behind tells whether one who is present goes by a higher map than this router.
func (s *Manager) behind() bool {
	return s.aboveAt > 0 && s.now-s.aboveAt < refusedFor && s.above.Compare(s.version()) > 0
}

// stuck tells whether that map was refused here: it is only got over by one that is higher still. After a split with one maker on each side, or where
// the maker was believed dead, two would else go by maps of their own for good, each refusing the other's.
func (s *Manager) stuck() bool {
	return s.behind() && slices.ContainsFunc(s.refused, func(r refused) bool { return r.Digest == s.above.Digest })
}

// propose makes the next map, where one is due.
func (s *Manager) propose(term lease.Term) {
	base := s.base()
	switch {
	case s.now-s.propAt < proposeEvery, s.state == Prepared && s.now-s.propAt < spreadMost && !s.map0.gone(s.who),
		s.next != nil && s.next.Compare(s.version()) > 0 && s.next.state != Complete:
		return
	case base == nil && s.now-s.began < newMost && s.present() > 1 && !s.lone():
		return
	}
	v := Version{Term: term, Number: 1}
	if base != nil {
		v.Term, v.Number = max(term, base.Term), base.Number+1
	}
	stuck := s.stuck()
	if stuck { // not the next after either: that would have to follow the one that was refused
		v.Term, v.Number = max(v.Term, s.above.Term), max(v.Number, s.above.Number+2)
	}
	m := s.pinned(base, v)
	due := m != nil || stuck || base == nil || base.NeedsSuccessor(s.who) && !s.asPinned(base)
	if !due {
		s.unmet = 0
		return
	}
	if s.unmet == 0 {
		s.unmet = s.now
	}
	if s.now-s.changed < calmFor && s.now-s.unmet < calmMost {
		return
	}
	s.propAt = s.now
	pinned := m != nil
	if !pinned {
		if m = Propose(base, s.who, v); m == nil {
			return
		}
	}
	s.tally.Proposed++
	c := &pendingMap{Version: m.Version, whole: m, state: Proposed}
	if why := Validate(m, base, s.who, s.bounds); why != nil {
		if pinned { // the next one is made as if there were none, until the routers are others
			s.unpinned = m.Digest
			s.post.Note("shards: the operator's map is not taken")
		}
		s.refuse(c, why)
		return
	}
	s.next, s.made = c, m.Digest
	s.move(c, Validated)
	s.adopt(c)
}

// asPinned tells whether a map is the operator's, all of whose keepers are there: newcomers that it does not name get no keys.
func (s *Manager) asPinned(m *Map) bool {
	if s.pin == nil || m.gone(s.who) {
		return false
	}
	p := &Map{Ranges: s.pin.Ranges}
	for _, k := range s.pin.Owners {
		p.Owners = append(p.Owners, Owner{k.ID, s.who[k.ID].Incarnation})
	}
	return alike(p, m)
}

// gone tells whether a map names a router that is no more: it can't spread, and is not waited for.
func (m *Map) gone(who Candidates) bool {
	for _, k := range m.Owners {
		if at := who[k.ID]; at.Incarnation > k.Incarnation || at.Incarnation == k.Incarnation && !at.Present {
			return true
		}
	}
	return false
}

// base is the map that the next one follows: the one that this router goes by, or a higher one that is here as a whole and names those
// that are gone. A newcomer after a mass death knows no other: were it to begin anew, all keys would move.
func (s *Manager) base() *Map {
	if c := s.next; c != nil && c.state == Complete && c.Compare(s.version()) > 0 {
		return c.whole
	}
	return s.map0
}

// IsProposer tells whether this router made a map, the last one that it proposed.
func (s *Manager) IsProposer(d Digest) bool { return s.made == d }

// room tells whether there are datagrams to spare beyond what pieces of maps may need.
func (s *Manager) room() bool { return s.tokens > partsKeep }

func (s *Manager) present() (n int) {
	for _, at := range s.who {
		if at.Present {
			n++
		}
	}
	return n
}

// lone tells whether all that are present have said that they have no map: a first one need not be waited for.
func (s *Manager) lone() bool {
	for mark, at := range s.who {
		if t, ok := s.told[mark]; at.Present && mark != s.self.ID && (!ok || t.Version != Version{}) {
			return false
		}
	}
	return true
}

func alike(a, b *Map) bool {
	if len(a.Ranges) != len(b.Ranges) {
		return false
	}
	for i := range a.Ranges {
		x, y := &a.Ranges[i], &b.Ranges[i]
		if x.First != y.First || x.Last != y.Last || a.Owners[x.Owner] != b.Owners[y.Owner] {
			return false
		}
	}
	return true
}

func (s *Manager) version() Version {
	if s.map0 == nil {
		return Version{}
	}
	return s.map0.Version
}

// move is the one place where a map that is not gone by yet changes its state.
func (s *Manager) move(c *pendingMap, to State) {
	for _, ok := range follows[c.state] {
		if ok == to {
			c.state = to
			return
		}
	}
	panic(fmt.Sprintf("shards: %v after %v", to, c.state))
}

// refuse drops a map for good.
func (s *Manager) refuse(c *pendingMap, why *ValidationError) {
	s.tally.Rejected++
	s.post.Note(fmt.Sprintf("shards: map %v refused: %v", c.Version, why))
	s.move(c, Rejected)
	if s.refused = append(s.refused, refused{c.Digest, s.now}); len(s.refused) > refusedMost {
		s.refused = s.refused[1:]
	}
	if s.next == c {
		s.next = nil
	}
}

func (s *Manager) isRefused(d Digest) bool {
	return slices.ContainsFunc(s.refused, func(r refused) bool { return r.Digest == d && s.now-r.at < refusedFor })
}

// adopt has this router go by a map that was checked. What the map gives to others it answers for no more from this moment.
func (s *Manager) adopt(c *pendingMap) {
	s.move(c, Prepared)
	s.strange = 0
	m := c.whole
	s.next = nil
	s.tally.Adopted++
	s.map0, s.state = m, Prepared
	s.by = make([]byte, (len(m.Owners)+7)/8)
	if at := m.OwnerIndex(s.me()); at != NoOwner {
		s.by[at/8] |= 1 << (at % 8)
	}
	if !s.fit || s.now-s.ticked > tickStale { // out of contact others may have kept its keys meanwhile, under a map it never went by
		s.drop(nil)
	}
	s.drop(m)
	s.tellAt = min(s.tellAt, s.now)
	s.post.MapChanged(m, Prepared)
}

func (s *Manager) me() Owner { return Owner{s.self.ID, s.self.Incarnation} }

// drop takes out of what this router answers for all that a map gives to others; nil: everything.
func (s *Manager) drop(m *Map) {
	old := s.kept
	s.kept = nil
	if m == nil {
		return
	}
	me := m.OwnerIndex(s.me())
	j := 0
	for _, k := range old {
		for j < len(m.Ranges) && m.Ranges[j].Last < k.first {
			j++
		}
		for i := j; i < len(m.Ranges) && m.Ranges[i].First <= k.last; i++ {
			r := &m.Ranges[i]
			first, last := max(r.First, k.first), min(r.Last, k.last)
			if r.Owner == me {
				s.kept = append(s.kept, stretch{first, last})
			} else {
				s.post.Lost(first, last, m.Owners[r.Owner])
			}
		}
	}
}

// force brings the map into force once all that are present are known to go by it.
func (s *Manager) force() {
	if s.state != Prepared || s.map0 == nil || !s.allGoBy() {
		return
	}
	s.state = Active
	s.tally.Activated++
	m := s.map0
	me := m.OwnerIndex(s.me())
	had := s.kept
	s.kept = nil
	n := 0
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Owner == me {
			s.kept = append(s.kept, stretch{r.First, r.Last})
			n++
			if !covers(had, r.First, r.Last) {
				s.post.Acquired(r.First, r.Last, m.Owners[r.Owner])
			}
		}
	}
	s.post.MapChanged(m, Active)
	s.post.Note(fmt.Sprintf("shards: map %v in force, %d of %d ranges kept here, %d keepers", m.Version, n, len(m.Ranges), len(m.Owners)))
}

func covers(had []stretch, first, last Key) bool {
	for _, k := range had {
		if k.first <= first && last <= k.last {
			return true
		}
	}
	return false
}

// allGoBy tells whether every router that is present is known to go by the map. One that the map does not name can't answer under
// it; it counts against it only if it has said that it goes by another.
func (s *Manager) allGoBy() bool {
	m := s.map0
	named := 0
	for i, k := range m.Owners {
		if at := s.who[k.ID]; !at.Present || at.Incarnation != k.Incarnation {
			continue
		}
		named++
		if s.by[i/8]&(1<<(i%8)) == 0 {
			return false
		}
	}
	for mark, t := range s.told {
		if at := s.who[mark]; at.Present && at.Incarnation == t.life && t.Version != m.Version && t.Version != (Version{}) &&
			m.OwnerIndex(Owner{mark, at.Incarnation}) == NoOwner {
			return false
		}
	}
	return named > 0
}

// heardTell takes in what a peer goes by.
func (s *Manager) heardTell(sender Owner, from netip.AddrPort, v Version, n int, bits []byte) {
	s.told[sender.ID] = told{v, sender.Incarnation, s.now}
	if at := s.who[sender.ID]; at.Present && at.Incarnation == sender.Incarnation && (v.Compare(s.above) >= 0 || !s.behind()) {
		s.above, s.aboveAt = v, s.now
	}
	mine := s.version()
	switch c := v.Compare(mine); {
	case c < 0:
		if s.room() { // it hears of it from others too
			s.sendTell(from)
		}
	case c == 0:
		if mine == (Version{}) {
			return
		}
		s.same = s.now
		lacks := false
		for i := range s.by {
			if i < len(bits) {
				lacks = lacks || s.by[i]&^bits[i] != 0
				s.by[i] |= bits[i]
			}
		}
		if lacks && s.room() { // it waits for what is known here
			s.sendTell(from)
		}
	case n > 0 && n <= piecesMost:
		if v.Term > mine.Term && !s.isRefused(v.Digest) { // another made maps meanwhile, beyond a split perhaps: nothing is sure
			s.strange = s.now
		}
		s.learnOf(v, n, from)
	}
}

// learnOf begins to gather a map that a peer goes by, unless a higher one is being gathered.
func (s *Manager) learnOf(v Version, n int, from netip.AddrPort) {
	if s.isRefused(v.Digest) {
		return
	}
	c := s.next
	if c == nil || v.Compare(c.Version) > 0 || s.now-c.heard > staleFor && c.state == Fetching {
		if c != nil && c.state == Fetching {
			s.move(c, Retired)
		}
		c = &pendingMap{Version: v, pieces: make([][]byte, n), heard: s.now}
		s.move(c, Fetching)
		s.next = c
	}
	if c.Version != v || len(c.pieces) != n {
		return
	}
	known := false
	for _, a := range c.sources {
		known = known || a == from
	}
	if !known {
		if len(c.sources) >= sourcesMost { // those heard of first have most to do
			c.sources = c.sources[1:]
		}
		c.sources = append(c.sources, from)
	}
	s.ask()
}

// heardPart takes a piece in. Pieces of other maps, whatever their numbers, are of another digest.
func (s *Manager) heardPart(v Version, n, at int, b []byte) {
	c := s.next
	if c == nil || c.state != Fetching || c.Version != v || len(c.pieces) != n || c.pieces[at] != nil {
		return
	}
	c.pieces[at] = append([]byte(nil), b...)
	c.have++
	c.heard = s.now
	if c.have < n {
		return
	}
	var text []byte
	for _, p := range c.pieces {
		text = append(text, p...)
	}
	m, err := read(text)
	if err != nil || m.Version != c.Version { // pieces of two, or a digest that lies
		s.tally.DigestMismatches++
		s.post.Note(fmt.Sprintf("shards: the pieces of map %v make no such map", c.Version))
		s.move(c, Retired)
		s.next = nil
		return
	}
	c.whole, c.pieces = m, nil
	s.move(c, Complete)
	s.try()
}

// try checks a map that is here as a whole. One that names routers not heard of yet waits.
func (s *Manager) try() {
	c := s.next
	c.checked = s.now
	if c.Compare(s.version()) <= 0 {
		s.move(c, Retired)
		s.next = nil
		return
	}
	if why := Validate(c.whole, s.map0, s.who, s.bounds); why != nil {
		if !why.Rule.Transient() {
			s.refuse(c, why)
			return
		}
		for _, k := range c.whole.Owners {
			if at, ok := s.who[k.ID]; !ok || !at.Present || at.Incarnation != k.Incarnation {
				s.post.RequestMember(k.ID)
				break
			}
		}
		return
	}
	s.move(c, Validated)
	s.adopt(c)
}

// gather goes on with the map that is not gone by yet.
func (s *Manager) gather() {
	c := s.next
	if s.strange > 0 && s.now-s.strange > staleFor { // it can't be had, and nobody speaks of it any more
		s.strange = 0
	}
	switch {
	case c == nil:
	case c.state == Complete && s.now-c.checked >= tellBusy:
		if s.try(); s.next == c && s.now-c.heard > 2*staleFor { // it names who is gone: its maker will make another
			s.move(c, Retired)
			s.next = nil
		}
	case c.state == Fetching && s.now-c.heard > staleFor:
		s.move(c, Retired)
		s.next = nil
	case c.state == Fetching:
		s.ask()
	}
}

func (s *Manager) ask() {
	c := s.next
	if c == nil || c.state != Fetching || s.now-c.asked < wantGap || len(c.sources) == 0 {
		return
	}
	c.asked = s.now
	s.sendWant(c.sources[s.chance.IntN(len(c.sources))])
}

// tellOn tells a peer what this router goes by.
func (s *Manager) tellOn() {
	every := tellIdle
	if s.state == Prepared || s.next != nil || s.map0 == nil || !s.fit {
		every = tellBusy
	}
	if s.now-s.tellAt < every || len(s.order) < 2 {
		return
	}
	s.tellAt = s.now
	for range s.order {
		s.turn = (s.turn + 1) % len(s.order)
		if mark := s.order[s.turn]; mark != s.self.ID && s.who[mark].Present {
			s.sendTell(s.who[mark].Address)
			return
		}
	}
}
