// Package tier ties together what routers agree on: who runs, who makes the map, and the map itself. Free of I/O: it hands each
// core the time, the datagrams of its kind and what the others have found out, in one order, on sockets and in models alike.
package node

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/location"
	"threadrun/cluster/membership"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Kind is whose a datagram is.
type Kind byte

// Kinds of datagrams, after those of other parts of the router.
const (
	OfMembers Kind = 1
	OfMapping Kind = iota + 16
	OfShards
	OfHoldings
	OfComeback
	OfSummaryAsks
	OfSummaries
	OfScatter
)

const (
	summariesPerS = 12.0         // asks for summaries, however many sites there are
	summaryWay    = 6.0          // times the asks of all sites once, that a lease lasts
	asksFor       = clock.Minute // summaries are kept for so long after a query
	shelfEvery    = 500 * clock.Millisecond
)

// Post takes what comes out. It is called only from within calls of Tier.
type Post interface {
	Send(k Kind, to netip.AddrPort, b []byte)
	Changed(m membership.Member)
	Note(line string)
	Moved(m *shardmap.Map, state shardmap.State)
	Recalled(r directory.Row)
	Back(state recovery.State)
	Found(no uint32, r scatter.Result)
	Touches(f purgeaudit.Finding)
	Held(k shardmap.Key, copies []directory.Copy) // that are known of an object that was wished for, the one seen last first
}

// Parts says which parts a router plays.
type Parts struct {
	Maps   bool              // it goes by maps of keys
	Rows   bool              // it keeps rows, and tells of them; needs maps
	Recall bool              // it brings itself back from rows; needs rows
	Query  bool              // it answers those that ask it for rows, and may ask; needs rows
	Where  bool              // it asks where objects lie that are wished for, and what purges touch; needs query
	Named  fleetsize.Sharers // that the settings name; who is there is counted. Zero: nobody counts
}

// Tier is one router's part in the tier.
type Tier struct {
	Members *membership.Members
	Present *fleetsize.Presence // nil: nobody counts
	Shards  *shardmap.Shards    // nil: no maps are kept
	Rows    *directory.Holdings // nil: none are kept
	Back    *recovery.Comeback  // nil: this router starts with nothing
	Shelf   *summary.Shelf      // nil: nothing is asked of this router
	reader  *summary.Reader
	query   *scatter.Scatter
	Where   *location.Whereabouts // nil: nothing is wished for
	touch   *purgeaudit.Touched
	results []result // handed out once the call that brought them is over
	queried Micros   // the last query of this router's; 0: none
	shelved Micros
	asks    float64
	turn    int
	Caught  bool          // purges have been heard up to now
	mapping *lease.Duties // one duty, over all zones: to make maps
	post    Post
	now     Micros
}

// New makes the part of a router that has just started.
func New(now Micros, self membership.Self, post Post, seed uint32, pace membership.Pace, doubt membership.Doubt, parts Parts) *Tier {
	t := &Tier{post: post, now: now}
	t.Members = membership.New(now, self, membersPost{t}, seed, pace, doubt)
	at := t.Members.Self()
	if parts.Named.Fleet > 0 {
		t.Present = fleetsize.New(now, at.Zone, parts.Named, t, fleetsize.OrdinaryPace)
	}
	if !parts.Maps {
		return t
	}
	t.Shards = shardmap.New(now, at, shardsPost{t}, seed^0x73686172, shardmap.OrdinaryBounds)
	t.mapping = lease.New(now, everywhere(at), mappingPost{t}, seed^0x6d617070, 1, lease.OrdinaryEvenness)
	if parts.Rows {
		t.Rows = directory.New(now, shardmap.Keeper{Mark: at.Mark, Life: at.Life}, rowsPost{t}, directory.OrdinaryBounds, t.seat)
	}
	if parts.Rows && parts.Recall {
		t.Back = recovery.New(now, shardmap.Keeper{Mark: at.Mark, Life: at.Life}, backPost{t}, t.Rows, seed^0x6261636b, recovery.OrdinaryBounds)
	}
	if parts.Rows && parts.Query {
		me := shardmap.Keeper{Mark: at.Mark, Life: at.Life}
		t.Shelf, t.reader, t.query = summary.NewShelf(me), summary.NewReader(), scatter.New(now, me, queryPost{t}, seed^0x71756572)
		if parts.Where {
			t.Where = location.New(now, wherePost{t}, location.OrdinaryBounds)
			t.touch = purgeaudit.New(now, wherePost{t}, purgeaudit.OrdinaryBounds)
		}
	}
	return t
}

// result is what a query came to.
type result struct {
	no uint32
	scatter.Result
}

// Want wishes to know which caches hold an object; Held tells.
func (t *Tier) Want(now Micros, k shardmap.Key) {
	if t.Where != nil {
		t.Where.Want(now, k)
	}
}

// Purged tells of a purge of an object, or of a group.
func (t *Tier) Purged(now Micros, k shardmap.Key, g directory.Group, at Micros) {
	if t.Rows != nil {
		t.Rows.Purged(now, k, g, at)
	}
	if t.Where != nil {
		t.Where.Purged(now, k, g != 0, at)
		if g != 0 {
			t.touch.Purged(now, g, at)
		}
	}
}

// handOut gives results to those who asked. Not from within Start: a query that this router answers alone ends before its number is known.
func (t *Tier) handOut() {
	for len(t.results) > 0 {
		x := t.results[0]
		t.results = t.results[1:]
		if t.Where == nil || !t.Where.Found(t.now, x.no, &x.Result) && !t.touch.Found(t.now, x.no, &x.Result) {
			t.post.Found(x.no, x.Result)
		}
	}
}

// Query asks the sites that could hold matching rows; Found has the result, after this call and by the time given at the latest.
func (t *Tier) Query(now Micros, q summary.Query, limit int, until Micros) (uint32, error) {
	if t.query == nil {
		return 0, scatter.ErrNoMap
	}
	t.now, t.queried = now, now
	return t.query.Start(now, q, limit, until, fleet{t})
}

// asking goes on with queries, and keeps summaries while there are any.
func (t *Tier) asking(now Micros) {
	m, all := fleet{t}.Map()
	if m != nil && all && now-t.shelved >= shelfEvery {
		t.shelved = now
		t.Shelf.Make(now, m.Digest, func(f func(*directory.Row)) {
			t.Rows.Each(func(r *directory.Row) bool {
				if t.Rows.Keeps(r.Key) {
					f(r)
				}
				return true
			})
		})
	}
	if t.Where != nil {
		t.Where.Tick(now, func(k shardmap.Key, until Micros) (uint32, bool) {
			no, err := t.Query(now, summary.Query{Object: k}, 1, until)
			return no, err == nil
		})
		t.touch.Tick(now, t.Mapping(now), func(g directory.Group, before, until Micros) (uint32, bool) {
			no, err := t.Query(now, summary.Query{Group: g, Before: before}, 0, until)
			return no, err == nil
		})
	}
	t.query.Tick(now, fleet{t})
	t.handOut()
	if t.queried == 0 || now-t.queried > asksFor || m == nil {
		return
	}
	for range len(m.Keepers) {
		if t.asks < 1 {
			return
		}
		t.turn = (t.turn + 1) % len(m.Keepers)
		k := m.Keepers[t.turn]
		if at, ok := t.seat(k.Mark); ok && k.Mark != t.Members.Self().Mark {
			t.reader.Tick(now, k, leaseFor(len(m.Keepers)), func(b []byte) {
				t.asks--
				t.post.Send(OfSummaryAsks, at, b)
			})
		}
	}
}

// leaseFor is how long a reader of so many sites goes by a summary of each: all can be asked anew, some pieces each, in half of it.
func leaseFor(sites int) Micros {
	return max(Micros(float64(sites)/summariesPerS*summaryWay*float64(clock.Second)), summary.Lease)
}

// fleet is what the tier knows, for queries.
type fleet struct{ *Tier }

func (f fleet) Map() (*shardmap.Map, bool) {
	m, state := f.Shards.Map()
	return m, state == shardmap.InForce && f.Shards.Fit()
}

func (f fleet) Seat(mark membership.Mark) (netip.AddrPort, bool) { return f.seat(mark) }

func (f fleet) Could(site shardmap.Keeper, m shardmap.Digest, q *summary.Query) bool {
	if site.Mark == f.Members.Self().Mark { // its own rows are all here
		any := false
		f.Rows.Each(func(r *directory.Row) bool {
			any = scatter.Matches(q, r) && f.Rows.Keeps(r.Key)
			return !any
		})
		return any
	}
	return f.reader.Could(f.now, site, m, q)
}

func (f fleet) Each(g func(*directory.Row) bool) { f.Rows.Each(g) }

func (f fleet) Touched(g directory.Group, before Micros, h func(*directory.Row) bool) {
	f.Rows.Touched(g, before, h)
}

func (f fleet) Keeps(k shardmap.Key) bool { return f.Rows.Keeps(k) }

type queryPost struct{ *Tier }

func (p queryPost) Send(to netip.AddrPort, b []byte) {
	if to.IsValid() {
		p.post.Send(OfScatter, to, b)
		return
	}
	own := append([]byte(nil), b...) // of this router's to itself
	_ = p.query.Hear(p.now, to, own, fleet(p), fleet(p))
}

func (p queryPost) Done(no uint32, r scatter.Result) { p.results = append(p.results, result{no, r}) }

type wherePost struct{ *Tier }

func (p wherePost) Touches(f purgeaudit.Finding) { p.post.Touches(f) }

func (p wherePost) Held(k shardmap.Key, copies []directory.Copy) { p.post.Held(k, copies) }

// seat tells where a router that is there is reached.
func (t *Tier) seat(mark membership.Mark) (netip.AddrPort, bool) {
	at, ok := t.Shards.Seat(mark)
	return at.Address, ok && at.Present && at.Address.IsValid()
}

// everywhere puts a member into the one zone of the duty to make maps.
func everywhere(m membership.Member) membership.Member {
	m.Zone = 0
	return m
}

// Tick does what is due.
func (t *Tier) Tick(now Micros) {
	t.asks = min(t.asks+(now-t.now).Seconds()*summariesPerS, summariesPerS)
	t.now = now
	t.Members.Tick(now)
	at := t.Members.Standing()
	if t.Present != nil {
		t.Present.Tick(now, at)
	}
	if t.Shards == nil {
		return
	}
	t.mapping.Tick(now, at)
	term, mine := t.mapping.Mine(0, now)
	t.Shards.Tick(now, at, mine && (t.Back == nil || t.Back.Leave().Map), term)
	if t.Rows != nil {
		t.Rows.Tick(now)
	}
	if t.query != nil {
		t.asking(now)
	}
	if t.Back != nil {
		t.Back.Tick(now, at, t.Caught, func(f func(recovery.Peer)) {
			t.Members.Each(func(m membership.Member) {
				if m.State.Present() {
					f(recovery.Peer{Mark: m.Mark, Address: m.Address, Life: m.Life})
				}
			})
		})
	}
}

// Mapping tells whether this router holds the duty to make maps.
func (t *Tier) Mapping(now Micros) bool {
	if t.Shards == nil {
		return false
	}
	_, mine := t.mapping.Mine(0, now)
	return mine
}

// Hear takes a datagram, and tells whether its kind is the tier's. What can't be read is counted where it is read.
func (t *Tier) Hear(now Micros, k Kind, from netip.AddrPort, b []byte) bool {
	t.now = now
	if t.Shards == nil && k != OfMembers {
		return false
	}
	switch k {
	case OfMembers:
		_ = t.Members.Hear(now, from, b)
	case OfMapping:
		_ = t.mapping.Hear(now, from, b)
	case OfShards:
		_ = t.Shards.Hear(now, from, b)
	case OfHoldings:
		if t.Rows != nil {
			_ = t.Rows.Hear(now, b)
		}
	case OfComeback:
		if t.Back != nil {
			_ = t.Back.Hear(now, from, b, t.seat)
		}
	case OfSummaryAsks:
		if t.Shelf != nil {
			_ = t.Shelf.Answer(now, b, func(b []byte) { t.post.Send(OfSummaries, from, b) })
		}
	case OfSummaries:
		if t.reader != nil {
			_ = t.reader.Hear(now, b)
		}
	case OfScatter:
		if t.query != nil {
			_ = t.query.Hear(now, from, b, fleet{t}, fleet{t})
			t.handOut()
		}
	default:
		return false
	}
	return true
}

// Leave tells that this router is to go.
func (t *Tier) Leave(now Micros) {
	t.now = now
	t.Members.Leave(now)
	t.heard(t.Members.Self())
}

func (t *Tier) heard(m membership.Member) {
	if t.Present != nil && m.Mark != t.Members.Self().Mark {
		t.Present.Member(t.now, m)
	}
	if t.Shards == nil {
		return
	}
	t.mapping.Member(t.now, everywhere(m))
	t.Shards.Member(t.now, m)
}

// Note passes a change of mode on.
func (t *Tier) Note(line string) { t.post.Note(line) }

type membersPost struct{ *Tier }

func (p membersPost) Send(to netip.AddrPort, b []byte) { p.post.Send(OfMembers, to, b) }

func (p membersPost) Changed(m membership.Member) {
	if m.Mark == p.Members.Self().Mark {
		m = p.Members.Self()
	}
	p.heard(m)
	p.post.Changed(m)
}

func (p membersPost) Note(line string) { p.post.Note(line) }

type mappingPost struct{ *Tier }

func (p mappingPost) Send(to netip.AddrPort, b []byte) { p.post.Send(OfMapping, to, b) }

func (p mappingPost) Took(lease.No, lease.Term) { p.post.Note("shards: this router makes the maps") }

func (p mappingPost) Yielded(lease.No, lease.Term) { p.post.Note("shards: another makes the maps") }

func (p mappingPost) Note(string) {} // of one duty: what matters is said above

type shardsPost struct{ *Tier }

func (p shardsPost) Send(to netip.AddrPort, b []byte) { p.post.Send(OfShards, to, b) }

func (p shardsPost) Moved(m *shardmap.Map, state shardmap.State) {
	if p.Rows != nil && state == shardmap.Prepared { // rows go where the map says, whoever answers yet
		p.Rows.Map(p.now, m)
	}
	p.post.Moved(m, state)
}

func (p shardsPost) Gained(shardmap.Key, shardmap.Key, shardmap.Keeper) {}

func (p shardsPost) Lost(shardmap.Key, shardmap.Key, shardmap.Keeper) {}

func (p shardsPost) Seek(mark membership.Mark) { p.Members.Seek(mark) }

func (p shardsPost) Note(line string) { p.post.Note(line) }

type rowsPost struct{ *Tier }

func (p rowsPost) Send(to netip.AddrPort, b []byte) { p.post.Send(OfHoldings, to, b) }

func (p rowsPost) Note(line string) { p.post.Note(line) }

type backPost struct{ *Tier }

func (p backPost) Send(to netip.AddrPort, b []byte) { p.post.Send(OfComeback, to, b) }

func (p backPost) Recalled(r directory.Row) { p.post.Recalled(r) }

func (p backPost) Moved(_, to recovery.State) { p.post.Back(to) }

func (p backPost) Note(line string) { p.post.Note(line) }
