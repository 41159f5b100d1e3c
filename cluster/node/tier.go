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
	KindMembership Kind = 1
	KindMapLease   Kind = iota + 16
	KindShardMap
	KindDirectory
	KindRecovery
	KindSummaryRequest
	KindSummary
	KindScatter
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
	ShardMapChanged(m *shardmap.Map, state shardmap.State)
	RecordRecovered(r directory.Record)
	RecoveryChanged(state recovery.State)
	QueryDone(no uint32, r scatter.Result)
	PurgeAudited(f purgeaudit.Finding)
	CopiesLocated(k shardmap.Key, copies []directory.Copy) // that are known of an object that was wished for, the one seen last first
}

// Features says which parts a router plays.
type Features struct {
	ShardMap       bool           // it goes by maps of keys
	Directory      bool           // it keeps rows, and tells of them; needs maps
	Recovery       bool           // it brings itself back from rows; needs rows
	Query          bool           // it answers those that ask it for rows, and may ask; needs rows
	Location       bool           // it asks where objects lie that are wished for, and what purges touch; needs query
	ConfiguredSize fleetsize.Size // that the settings name; who is there is counted. Zero: nobody counts
}

// Node is one router's part in the tier.
type Node struct {
	Membership     *membership.Members
	FleetSize      *fleetsize.Estimator // nil: nobody counts
	Shards         *shardmap.Manager    // nil: no maps are kept
	Directory      *directory.Directory // nil: none are kept
	Recovery       *recovery.Manager    // nil: this router starts with nothing
	Publisher      *summary.Publisher   // nil: nothing is asked of this router
	reader         *summary.Reader
	query          *scatter.Coordinator
	Locator        *location.Locator // nil: nothing is wished for
	touch          *purgeaudit.Auditor
	results        []result // handed out once the call that brought them is over
	queried        Micros   // the last query of this router's; 0: none
	shelved        Micros
	asks           float64
	turn           int
	PurgesCaughtUp bool           // purges have been heard up to now
	mapping        *lease.Manager // one duty, over all zones: to make maps
	post           Post
	now            Micros
}

// New makes the part of a router that has just started.
func New(now Micros, self membership.Identity, post Post, seed uint32, pace membership.Timing, doubt membership.Suspicion, parts Features) *Node {
	t := &Node{post: post, now: now}
	t.Membership = membership.New(now, self, membersPost{t}, seed, pace, doubt)
	at := t.Membership.Self()
	if parts.ConfiguredSize.Fleet > 0 {
		t.FleetSize = fleetsize.New(now, at.Zone, parts.ConfiguredSize, t, fleetsize.DefaultTiming)
	}
	if !parts.ShardMap {
		return t
	}
	t.Shards = shardmap.New(now, at, shardsPost{t}, seed^0x73686172, shardmap.DefaultBounds)
	t.mapping = lease.New(now, everywhere(at), mappingPost{t}, seed^0x6d617070, 1, lease.DefaultBalance)
	if parts.Directory {
		t.Directory = directory.New(now, shardmap.Owner{ID: at.ID, Incarnation: at.Incarnation}, rowsPost{t}, directory.DefaultBounds, t.seat)
	}
	if parts.Directory && parts.Recovery {
		t.Recovery = recovery.New(now, shardmap.Owner{ID: at.ID, Incarnation: at.Incarnation}, backPost{t}, t.Directory, seed^0x6261636b, recovery.DefaultBounds)
	}
	if parts.Directory && parts.Query {
		me := shardmap.Owner{ID: at.ID, Incarnation: at.Incarnation}
		t.Publisher, t.reader, t.query = summary.NewPublisher(me), summary.NewReader(), scatter.New(now, me, queryPost{t}, seed^0x71756572)
		if parts.Location {
			t.Locator = location.New(now, wherePost{t}, location.DefaultBounds)
			t.touch = purgeaudit.New(now, wherePost{t}, purgeaudit.DefaultBounds)
		}
	}
	return t
}

// result is what a query came to.
type result struct {
	no uint32
	scatter.Result
}

// Locate wishes to know which caches hold an object; Held tells.
func (t *Node) Locate(now Micros, k shardmap.Key) {
	if t.Locator != nil {
		t.Locator.Request(now, k)
	}
}

// ObservePurge tells of a purge of an object, or of a group.
func (t *Node) ObservePurge(now Micros, k shardmap.Key, g directory.Group, at Micros) {
	if t.Directory != nil {
		t.Directory.ObservePurge(now, k, g, at)
	}
	if t.Locator != nil {
		t.Locator.ObservePurge(now, k, g != 0, at)
		if g != 0 {
			t.touch.ObservePurge(now, g, at)
		}
	}
}

// handOut gives results to those who asked. Not from within Start: a query that this router answers alone ends before its number is known.
func (t *Node) handOut() {
	for len(t.results) > 0 {
		x := t.results[0]
		t.results = t.results[1:]
		if t.Locator == nil || !t.Locator.HandleResult(t.now, x.no, &x.Result) && !t.touch.HandleResult(t.now, x.no, &x.Result) {
			t.post.QueryDone(x.no, x.Result)
		}
	}
}

// Query asks the sites that could hold matching rows; Found has the result, after this call and by the time given at the latest.
func (t *Node) Query(now Micros, q summary.Query, limit int, until Micros) (uint32, error) {
	if t.query == nil {
		return 0, scatter.ErrNoMap
	}
	t.now, t.queried = now, now
	return t.query.Start(now, q, limit, until, fleet{t})
}

// asking goes on with queries, and keeps summaries while there are any.
func (t *Node) asking(now Micros) {
	m, all := fleet{t}.Map()
	if m != nil && all && now-t.shelved >= shelfEvery {
		t.shelved = now
		t.Publisher.Update(now, m.Digest, func(f func(*directory.Record)) {
			t.Directory.Each(func(r *directory.Record) bool {
				if t.Directory.Owns(r.Key) {
					f(r)
				}
				return true
			})
		})
	}
	if t.Locator != nil {
		t.Locator.Tick(now, func(k shardmap.Key, until Micros) (uint32, bool) {
			no, err := t.Query(now, summary.Query{Object: k}, 1, until)
			return no, err == nil
		})
		t.touch.Tick(now, t.OwnsShardMap(now), func(g directory.Group, before, until Micros) (uint32, bool) {
			no, err := t.Query(now, summary.Query{Group: g, CreatedBefore: before}, 0, until)
			return no, err == nil
		})
	}
	t.query.Tick(now, fleet{t})
	t.handOut()
	if t.queried == 0 || now-t.queried > asksFor || m == nil {
		return
	}
	for range len(m.Owners) {
		if t.asks < 1 {
			return
		}
		t.turn = (t.turn + 1) % len(m.Owners)
		k := m.Owners[t.turn]
		if at, ok := t.seat(k.ID); ok && k.ID != t.Membership.Self().ID {
			t.reader.Tick(now, k, leaseFor(len(m.Owners)), func(b []byte) {
				t.asks--
				t.post.Send(KindSummaryRequest, at, b)
			})
		}
	}
}

// leaseFor is how long a reader of so many sites goes by a summary of each: all can be asked anew, some pieces each, in half of it.
func leaseFor(sites int) Micros {
	return max(Micros(float64(sites)/summariesPerS*summaryWay*float64(clock.Second)), summary.MinLease)
}

// fleet is what the tier knows, for queries.
type fleet struct{ *Node }

func (f fleet) Map() (*shardmap.Map, bool) {
	m, state := f.Shards.Map()
	return m, state == shardmap.Active && f.Shards.InContact()
}

func (f fleet) Seat(mark membership.NodeID) (netip.AddrPort, bool) { return f.seat(mark) }

func (f fleet) MayMatch(site shardmap.Owner, m shardmap.Digest, q *summary.Query) bool {
	if site.ID == f.Membership.Self().ID { // its own rows are all here
		any := false
		f.Directory.Each(func(r *directory.Record) bool {
			any = scatter.Matches(q, r) && f.Directory.Owns(r.Key)
			return !any
		})
		return any
	}
	return f.reader.MayMatch(f.now, site, m, q)
}

func (f fleet) Each(g func(*directory.Record) bool) { f.Directory.Each(g) }

func (f fleet) EachCreatedBefore(g directory.Group, before Micros, h func(*directory.Record) bool) {
	f.Directory.EachCreatedBefore(g, before, h)
}

func (f fleet) Owns(k shardmap.Key) bool { return f.Directory.Owns(k) }

type queryPost struct{ *Node }

func (p queryPost) Send(to netip.AddrPort, b []byte) {
	if to.IsValid() {
		p.post.Send(KindScatter, to, b)
		return
	}
	own := append([]byte(nil), b...) // of this router's to itself
	_ = p.query.Receive(p.now, to, own, fleet(p), fleet(p))
}

func (p queryPost) Done(no uint32, r scatter.Result) { p.results = append(p.results, result{no, r}) }

type wherePost struct{ *Node }

func (p wherePost) PurgeAudited(f purgeaudit.Finding) { p.post.PurgeAudited(f) }

func (p wherePost) CopiesLocated(k shardmap.Key, copies []directory.Copy) {
	p.post.CopiesLocated(k, copies)
}

// seat tells where a router that is there is reached.
func (t *Node) seat(mark membership.NodeID) (netip.AddrPort, bool) {
	at, ok := t.Shards.Candidate(mark)
	return at.Address, ok && at.Present && at.Address.IsValid()
}

// everywhere puts a member into the one zone of the duty to make maps.
func everywhere(m membership.Member) membership.Member {
	m.Zone = 0
	return m
}

// Tick does what is due.
func (t *Node) Tick(now Micros) {
	t.asks = min(t.asks+(now-t.now).Seconds()*summariesPerS, summariesPerS)
	t.now = now
	t.Membership.Tick(now)
	at := t.Membership.Contact()
	if t.FleetSize != nil {
		t.FleetSize.Tick(now, at)
	}
	if t.Shards == nil {
		return
	}
	t.mapping.Tick(now, at)
	term, mine := t.mapping.Holds(0, now)
	t.Shards.Tick(now, at, mine && (t.Recovery == nil || t.Recovery.Permissions().MakeShardMap), term)
	if t.Directory != nil {
		t.Directory.Tick(now)
	}
	if t.query != nil {
		t.asking(now)
	}
	if t.Recovery != nil {
		t.Recovery.Tick(now, at, t.PurgesCaughtUp, func(f func(recovery.Peer)) {
			t.Membership.Each(func(m membership.Member) {
				if m.State.Present() {
					f(recovery.Peer{ID: m.ID, Address: m.Address, Incarnation: m.Incarnation})
				}
			})
		})
	}
}

// OwnsShardMap tells whether this router holds the duty to make maps.
func (t *Node) OwnsShardMap(now Micros) bool {
	if t.Shards == nil {
		return false
	}
	_, mine := t.mapping.Holds(0, now)
	return mine
}

// Receive takes a datagram, and tells whether its kind is the tier's. What can't be read is counted where it is read.
func (t *Node) Receive(now Micros, k Kind, from netip.AddrPort, b []byte) bool {
	t.now = now
	if t.Shards == nil && k != KindMembership {
		return false
	}
	switch k {
	case KindMembership:
		_ = t.Membership.Receive(now, from, b)
	case KindMapLease:
		_ = t.mapping.Receive(now, from, b)
	case KindShardMap:
		_ = t.Shards.Receive(now, from, b)
	case KindDirectory:
		if t.Directory != nil {
			_ = t.Directory.Receive(now, b)
		}
	case KindRecovery:
		if t.Recovery != nil {
			_ = t.Recovery.Receive(now, from, b, t.seat)
		}
	case KindSummaryRequest:
		if t.Publisher != nil {
			_ = t.Publisher.Answer(now, b, func(b []byte) { t.post.Send(KindSummary, from, b) })
		}
	case KindSummary:
		if t.reader != nil {
			_ = t.reader.Receive(now, b)
		}
	case KindScatter:
		if t.query != nil {
			_ = t.query.Receive(now, from, b, fleet{t}, fleet{t})
			t.handOut()
		}
	default:
		return false
	}
	return true
}

// Leave tells that this router is to go.
func (t *Node) Leave(now Micros) {
	t.now = now
	t.Membership.Leave(now)
	t.heard(t.Membership.Self())
}

func (t *Node) heard(m membership.Member) {
	if t.FleetSize != nil && m.ID != t.Membership.Self().ID {
		t.FleetSize.MemberChanged(t.now, m)
	}
	if t.Shards == nil {
		return
	}
	t.mapping.MemberChanged(t.now, everywhere(m))
	t.Shards.MemberChanged(t.now, m)
}

// Note passes a change of mode on.
func (t *Node) Note(line string) { t.post.Note(line) }

type membersPost struct{ *Node }

func (p membersPost) Send(to netip.AddrPort, b []byte) { p.post.Send(KindMembership, to, b) }

func (p membersPost) Changed(m membership.Member) {
	if m.ID == p.Membership.Self().ID {
		m = p.Membership.Self()
	}
	p.heard(m)
	p.post.Changed(m)
}

func (p membersPost) Note(line string) { p.post.Note(line) }

type mappingPost struct{ *Node }

func (p mappingPost) Send(to netip.AddrPort, b []byte) { p.post.Send(KindMapLease, to, b) }

func (p mappingPost) Acquired(lease.ID, lease.Term) {
	p.post.Note("shards: this router makes the maps")
}

func (p mappingPost) Released(lease.ID, lease.Term) { p.post.Note("shards: another makes the maps") }

func (p mappingPost) Note(string) {} // of one duty: what matters is said above

type shardsPost struct{ *Node }

func (p shardsPost) Send(to netip.AddrPort, b []byte) { p.post.Send(KindShardMap, to, b) }

func (p shardsPost) MapChanged(m *shardmap.Map, state shardmap.State) {
	if p.Directory != nil && state == shardmap.Prepared { // rows go where the map says, whoever answers yet
		p.Directory.SetShardMap(p.now, m)
	}
	p.post.ShardMapChanged(m, state)
}

func (p shardsPost) Acquired(shardmap.Key, shardmap.Key, shardmap.Owner) {}

func (p shardsPost) Lost(shardmap.Key, shardmap.Key, shardmap.Owner) {}

func (p shardsPost) RequestMember(mark membership.NodeID) { p.Membership.RequestMember(mark) }

func (p shardsPost) Note(line string) { p.post.Note(line) }

type rowsPost struct{ *Node }

func (p rowsPost) Send(to netip.AddrPort, b []byte) { p.post.Send(KindDirectory, to, b) }

func (p rowsPost) Note(line string) { p.post.Note(line) }

type backPost struct{ *Node }

func (p backPost) Send(to netip.AddrPort, b []byte) { p.post.Send(KindRecovery, to, b) }

func (p backPost) RecordRecovered(r directory.Record) { p.post.RecordRecovered(r) }

func (p backPost) StateChanged(_, to recovery.State) { p.post.RecoveryChanged(to) }

func (p backPost) Note(line string) { p.post.Note(line) }
