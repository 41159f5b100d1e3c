package node

import (
	"log/slog"
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

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 60) }

const second = clock.Second

// testRouter is a router's node. It implements Output and records the results of queries.
type testRouter struct {
	node         *Node
	address      netip.AddrPort
	inFlight     *[]datagram
	results      map[uint32]scatter.Result
	earlyResults int // number of results delivered before Query returned their numbers
}

// datagram is a datagram between two routers.
type datagram struct {
	from, to netip.AddrPort
	kind     Kind
	b        []byte
}

func (r *testRouter) Send(k Kind, to netip.AddrPort, b []byte) {
	*r.inFlight = append(*r.inFlight, datagram{r.address, to, k, append([]byte(nil), b...)})
}
func (r *testRouter) Changed(membership.Member)                     {}
func (r *testRouter) Log(string, ...slog.Attr)                      {}
func (r *testRouter) ShardMapChanged(*shardmap.Map, shardmap.State) {}
func (r *testRouter) RecordRecovered(directory.Record)              {}
func (r *testRouter) RecoveryChanged(recovery.State)                {}
func (r *testRouter) PurgeAudited(purgeaudit.Finding)               {}
func (r *testRouter) CopiesLocated(shardmap.Key, []directory.Copy)  {}
func (r *testRouter) QueryDone(number uint32, res scatter.Result)   { r.results[number] = res }

// testCluster is a number of routers in one zone, and the datagrams between them.
type testCluster struct {
	now      Micros
	routers  []*testRouter
	inFlight []datagram // sent since the last tick, not delivered yet
	sent     []datagram // all delivered datagrams
}

// newTestCluster returns a cluster of routers that know each other's addresses and have received all purges.
func newTestCluster(size int) *testCluster {
	c := &testCluster{now: 100 * second}
	features := Features{ShardMap: true, Directory: true, Recovery: true, Query: true, Location: true}
	var peers []membership.Peer
	for i := range size {
		id := membership.NodeID(i + 1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9)
		peers = append(peers, membership.Peer{ID: id, Address: address})
		self := membership.Identity{ID: id, Address: address, Zone: 1, Weight: 1, Incarnation: 1}
		r := &testRouter{address: address, inFlight: &c.inFlight, results: map[uint32]scatter.Result{}}
		r.node = New(c.now, self, r, uint32(i+1), membership.DefaultTiming, membership.DefaultSuspicion, features)
		c.routers = append(c.routers, r)
	}
	for _, r := range c.routers {
		r.node.Membership.AddPeers(peers)
		r.node.PurgesCaughtUp = true
	}
	return c
}

// run simulates the cluster for the given time. Each datagram is delivered in the tick after it was sent.
func (c *testCluster) run(span Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 20 * clock.Millisecond
		due := c.inFlight
		c.inFlight = nil
		for _, d := range due {
			c.deliver(d)
		}
		c.sent = append(c.sent, due...)
		for _, r := range c.routers {
			r.node.Tick(c.now)
		}
	}
}

func (c *testCluster) deliver(d datagram) {
	for _, r := range c.routers {
		if r.address == d.to {
			r.node.Receive(c.now, d.kind, d.from, d.b)
		}
	}
}

// testKey returns the key of the object with index i. The keys are spread over the key space.
func testKey(i int) shardmap.Key { return shardmap.Key(i+1) * 0x0123456789abcdef }

// observe makes each router observe a request for each of the given number of objects, in five groups.
func (c *testCluster) observe(objects int) {
	for _, r := range c.routers {
		for i := range objects {
			r.node.Directory.ObserveRequest(c.now, directory.Record{
				Key:    testKey(i),
				Group:  directory.Group(1 + i%5),
				SizeKB: uint32(i),
				Copies: [directory.MaxCopies]directory.Copy{{Cache: 3, LastSeen: c.now, CreatedAt: c.now - second}},
			})
		}
	}
}

// query queries all records from one router, and returns the result, or false if there is none.
func (c *testCluster) query(r *testRouter) (scatter.Result, bool) {
	number, err := r.node.Query(c.now, summary.Query{}, 0, c.now+2*second)
	if err != nil {
		return scatter.Result{}, false
	}
	if _, early := r.results[number]; early {
		r.earlyResults++
	}
	c.run(2500 * clock.Millisecond)
	result, ok := r.results[number]
	return result, ok
}

// sentByKind returns the first 400 datagrams of each kind, or all if there are fewer.
func (c *testCluster) sentByKind() map[Kind][]datagram {
	kinds := map[Kind][]datagram{}
	for _, d := range c.sent {
		if len(kinds[d.kind]) < 400 {
			kinds[d.kind] = append(kinds[d.kind], d)
		}
	}
	return kinds
}

// corrupt returns the bytes of a datagram truncated, extended, replaced, or with changed bits near the start.
func corrupt(t *rapid.T, d datagram) []byte {
	b := append([]byte(nil), d.b...)
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0:
		b = b[:rapid.IntRange(0, len(b)).Draw(t, "cut")]
	case 1:
		b = append(b, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "more")...)
	case 2:
		b = rapid.SliceOfN(rapid.Byte(), 0, 208).Draw(t, "bytes")
	default: // changes the message type or a length
		b[rapid.IntRange(0, min(2, len(b)-1)).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
	}
	return b
}

// TestCorruptDatagrams guards against datagrams that crash a router or corrupt its state. It delivers corrupted
// datagrams of all kinds but membership to random routers. No router may panic, all routers must follow one map in
// the end, and a query for all records must be complete and return each record once.
func TestCorruptDatagrams(t *testing.T) {
	c := newTestCluster(3)
	c.run(8 * second)
	for range 4 {
		c.observe(30)
		c.run(6 * second)
	}
	if result, ok := c.query(c.routers[0]); !ok || !result.Complete || len(result.Records) != 30 {
		t.Fatalf("query before the corruption: answered %v, result %+v, want 30 records and complete", ok, result)
	}
	kinds := c.sentByKind()
	corruptible := []Kind{
		KindMapLease, KindShardMap, KindDirectory, KindRecovery, KindSummaryRequest, KindSummary, KindScatter,
	}
	for _, k := range append([]Kind{KindMembership}, corruptible...) {
		if len(kinds[k]) == 0 {
			t.Fatalf("no datagram of kind %d was sent", k)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		for range 200 {
			k := rapid.SampledFrom(corruptible).Draw(rt, "kind")
			list := kinds[k]
			d := list[rapid.IntRange(0, len(list)-1).Draw(rt, "datagram")]
			b := corrupt(rt, d)
			to := c.routers[rapid.IntRange(0, 2).Draw(rt, "to")]
			to.node.Receive(c.now, k, d.from, b)
		}
		c.run(200 * clock.Millisecond)
	})
	for range 6 {
		c.observe(30)
		c.run(5500 * clock.Millisecond)
	}
	c.checkSameMap(t)
	c.checkEachRecordOnce(t, 30)
}

// checkSameMap checks that all routers follow the same map and that it is active.
func (c *testCluster) checkSameMap(t *testing.T) {
	first, firstState := c.routers[0].node.Shards.Map()
	for i, r := range c.routers {
		m, state := r.node.Shards.Map()
		if m == nil || m.Version != first.Version || state != shardmap.Active || firstState != state {
			t.Errorf("router %d follows map %v in state %v, want the active map %v of router 0, whose state is %v", i, m,
				state, first, firstState)
		}
	}
}

// checkEachRecordOnce checks that a query for all records returns each record exactly once.
func (c *testCluster) checkEachRecordOnce(t *testing.T, objects int) {
	found := map[shardmap.Key]int{}
	result, ok := c.query(c.routers[1])
	for _, r := range result.Records {
		found[r.Key]++
	}
	for i := range objects {
		if n := found[testKey(i)]; n != 1 {
			t.Errorf("record %d occurs %d times among %d, want once; answered %v, complete %v",
				i, n, len(result.Records), ok, result.Complete)
		}
	}
}

// TestResultComesAfterItsNumber guards against a result that is delivered before Query has returned its number, as
// can happen if a router answers a query alone: the result would have no receiver, and a request of the locator
// would never end.
func TestResultComesAfterItsNumber(t *testing.T) {
	c := newTestCluster(1)
	c.run(5 * second)
	c.observe(5)
	c.run(3 * second)
	r := c.routers[0]
	result, ok := c.query(r)
	if !ok || r.earlyResults > 0 || !result.Complete || len(result.Records) != 5 {
		t.Errorf("answered %v, %d early results, result %+v; want no early result, 5 records and complete", ok,
			r.earlyResults, result)
	}
	for i := range 40 {
		r.node.Locate(c.now, testKey(i))
		c.run(200 * clock.Millisecond)
	}
	if stats := r.node.Locator.Stats(); stats.Located != 5 || stats.NotFound != 35 {
		t.Errorf("counts of the locator %+v, want 5 objects located and 35 not found", stats)
	}
}
