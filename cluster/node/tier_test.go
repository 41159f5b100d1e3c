package node

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 60) }

const second = clock.Second

// router is one of a test: its tier, and what comes out.
type router struct {
	t     *Node
	at    netip.AddrPort
	way   *[]datagram
	found map[uint32]scatter.Result
	early int // results that came before their number
}

type datagram struct {
	from, to netip.AddrPort
	kind     Kind
	b        []byte
}

func (r *router) Send(k Kind, to netip.AddrPort, b []byte) {
	*r.way = append(*r.way, datagram{r.at, to, k, append([]byte(nil), b...)})
}
func (r *router) Changed(membership.Member)                     {}
func (r *router) Note(string)                                   {}
func (r *router) ShardMapChanged(*shardmap.Map, shardmap.State) {}
func (r *router) RecordRecovered(directory.Record)              {}
func (r *router) RecoveryChanged(recovery.State)                {}
func (r *router) PurgeAudited(purgeaudit.Finding)               {}
func (r *router) CopiesLocated(shardmap.Key, []directory.Copy)  {}
func (r *router) QueryDone(no uint32, x scatter.Result)         { r.found[no] = x }

// crew is some routers, and all that they have ever sent.
type crew struct {
	now  Micros
	all  []*router
	way  []datagram
	sent []datagram
}

func newCrew(n int) *crew {
	c := &crew{now: 100 * second}
	var known []membership.Peer
	for i := range n {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9)
		known = append(known, membership.Peer{ID: membership.NodeID(i + 1), Address: at})
		r := &router{at: at, way: &c.way, found: map[uint32]scatter.Result{}}
		r.t = New(c.now, membership.Identity{ID: membership.NodeID(i + 1), Address: at, Zone: 1, Weight: 1, Incarnation: 1}, r, uint32(i+1), membership.DefaultTiming,
			membership.DefaultSuspicion, Features{ShardMap: true, Directory: true, Recovery: true, Query: true, Location: true})
		c.all = append(c.all, r)
	}
	for _, r := range c.all {
		r.t.Membership.AddPeers(known)
		r.t.PurgesCaughtUp = true
	}
	return c
}

// run plays a while; each datagram comes at the next beat.
func (c *crew) run(span Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 20 * clock.Millisecond
		due := c.way
		c.way = nil
		for _, d := range due {
			for _, r := range c.all {
				if r.at == d.to {
					r.t.Receive(c.now, d.kind, d.from, d.b)
				}
			}
		}
		c.sent = append(c.sent, due...)
		for _, r := range c.all {
			r.t.Tick(c.now)
		}
	}
}

func (c *crew) see(rows int) {
	for _, r := range c.all {
		for k := range rows {
			r.t.Directory.ObserveRequest(c.now, directory.Record{Key: shardmap.Key(k+1) * 0x0123456789abcdef, Group: directory.Group(1 + k%5), SizeKB: uint32(k),
				Copies: [directory.MaxCopies]directory.Copy{{Cache: 3, LastSeen: c.now, CreatedAt: c.now - second}}})
		}
	}
}

// query asks one router for all rows, and gives what came of it.
func (c *crew) query(r *router) (scatter.Result, bool) {
	no, err := r.t.Query(c.now, summary.Query{}, 0, c.now+2*second)
	if err != nil {
		return scatter.Result{}, false
	}
	if _, early := r.found[no]; early {
		r.early++
	}
	c.run(2500 * clock.Millisecond)
	x, ok := r.found[no]
	return x, ok
}

// Datagrams of all kinds that three routers have sent, spoilt in any way, come in at every door beside any bytes at all: nothing breaks off, one
// map stands at all of them in the end, and a query for all rows is complete and has each once.
func TestFalseDatagramsAtEveryDoor(t *testing.T) {
	c := newCrew(3)
	c.run(8 * second)
	for range 4 {
		c.see(30)
		c.run(6 * second)
	}
	if x, ok := c.query(c.all[0]); !ok || !x.Complete || len(x.Records) != 30 {
		t.Fatalf("%v, %+v", ok, x)
	}
	kinds := map[Kind][]datagram{}
	for _, d := range c.sent {
		if len(kinds[d.kind]) < 400 {
			kinds[d.kind] = append(kinds[d.kind], d)
		}
	}
	for _, k := range [...]Kind{KindMembership, KindMapLease, KindShardMap, KindDirectory, KindRecovery, KindSummaryRequest, KindSummary, KindScatter} {
		if len(kinds[k]) == 0 {
			t.Fatalf("nothing of kind %d was sent", k)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		for range 200 {
			var list []datagram
			k := rapid.SampledFrom([]Kind{KindMapLease, KindShardMap, KindDirectory, KindRecovery, KindSummaryRequest, KindSummary, KindScatter}).Draw(rt, "kind")
			list = kinds[k]
			d := list[rapid.IntRange(0, len(list)-1).Draw(rt, "datagram")]
			b := append([]byte(nil), d.b...)
			switch rapid.IntRange(0, 3).Draw(rt, "how") {
			case 0:
				b = b[:rapid.IntRange(0, len(b)).Draw(rt, "cut")]
			case 1:
				b = append(b, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(rt, "more")...)
			case 2:
				b = rapid.SliceOfN(rapid.Byte(), 0, 208).Draw(rt, "bytes")
			default: // the kind within, or a length
				b[rapid.IntRange(0, min(2, len(b)-1)).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
			}
			c.all[rapid.IntRange(0, 2).Draw(rt, "to")].t.Receive(c.now, k, d.from, b)
		}
		c.run(200 * clock.Millisecond)
	})
	for range 6 {
		c.see(30)
		c.run(5500 * clock.Millisecond)
	}
	m0, state := c.all[0].t.Shards.Map()
	for i, r := range c.all {
		if m, s := r.t.Shards.Map(); m == nil || m.Version != m0.Version || s != shardmap.Active || state != s {
			t.Errorf("router %d goes by %v, %v", i, m, s)
		}
	}
	got := map[shardmap.Key]int{}
	x, ok := c.query(c.all[1])
	for _, row := range x.Records {
		got[row.Key]++
	}
	for k := range 30 {
		if n := got[shardmap.Key(k+1)*0x0123456789abcdef]; n != 1 {
			t.Errorf("row %d comes %d times of %d, complete %v, %v", k, n, len(x.Records), x.Complete, ok)
		}
	}
}

// A query that a router answers alone has its result after its number is known.
func TestResultsComeAfterTheirNumber(t *testing.T) {
	c := newCrew(1)
	c.run(5 * second)
	c.see(5)
	c.run(3 * second)
	r := c.all[0]
	x, ok := c.query(r)
	if !ok || r.early > 0 || !x.Complete || len(x.Records) != 5 {
		t.Errorf("%v, %d early, %+v", ok, r.early, x)
	}
	for k := range 40 { // each wish gets its place back
		r.t.Locate(c.now, shardmap.Key(k+1)*0x0123456789abcdef)
		c.run(200 * clock.Millisecond)
	}
	if y := r.t.Locator.Stats(); y.Located != 5 || y.NotFound != 35 {
		t.Errorf("%+v", y)
	}
}
