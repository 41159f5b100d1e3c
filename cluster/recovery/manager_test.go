package recovery

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const second = clock.Second

// testRouter is a recovering router, or one that has records for others. It is the Output and the Store of its
// Manager.
type testRouter struct {
	manager   *Manager
	sent      []datagram         // since the last tick
	records   []directory.Record // records for other routers, most requested first
	recovered []directory.Record // records passed to RecordRecovered
	states    []State            // in order of the transitions
	silent    bool               // it ignores all datagrams
}

// datagram is a datagram between two routers of a testCluster.
type datagram struct {
	from, to int // indexes of routers
	b        []byte
}

func (r *testRouter) Send(to netip.AddrPort, b []byte) {
	r.sent = append(r.sent, datagram{to: indexOf(to), b: append([]byte(nil), b...)})
}
func (r *testRouter) RecordRecovered(rec directory.Record)           { r.recovered = append(r.recovered, rec) }
func (r *testRouter) StateChanged(_, to State)                       { r.states = append(r.states, to) }
func (r *testRouter) Log(string, ...slog.Attr)                       {}
func (r *testRouter) Len() int                                       { return len(r.records) }
func (r *testRouter) HottestReported(f func(*directory.Record) bool) { r.Hottest(f) }
func (r *testRouter) Hottest(f func(*directory.Record) bool) {
	for i := range r.records {
		if !f(&r.records[i]) {
			return
		}
	}
}

// address returns the address of the router with an index.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 9)
}

// indexOf returns the index of the router with an address.
func indexOf(a netip.AddrPort) int { return int(a.Addr().As4()[3]) }

// newTestRouter returns a router that has just started. Routers with a higher index have started later.
func newTestRouter(i int, now Micros) *testRouter {
	r := &testRouter{}
	self := shardmap.Owner{ID: membership.NodeID(i + 1), Incarnation: membership.Incarnation(1000 * i)}
	r.manager = New(now, self, r, r, uint32(i), DefaultBounds)
	return r
}

// noAddress knows no router's address, so that requests are answered at the address they came from.
func noAddress(membership.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

// testCluster consists of a recovering router, which has index 0, and of other routers. Datagrams between them are
// lost, delayed and duplicated.
type testCluster struct {
	t          *rapid.T
	now        Micros
	routers    []*testRouter
	keys       map[shardmap.Key]bool // keys of all records
	lossPerTen int                   // lost datagrams out of ten
	inFlight   []datagram
	requests   int // datagrams sent by the recovering router
}

// newTestCluster returns a cluster with up to 8 other routers. Each has 0, 3 or 40 records, and one in five is
// silent.
func newTestCluster(t *rapid.T, now Micros) *testCluster {
	others := rapid.IntRange(0, 8).Draw(t, "others")
	c := &testCluster{
		t:          t,
		now:        now,
		routers:    []*testRouter{newTestRouter(0, now)},
		keys:       map[shardmap.Key]bool{},
		lossPerTen: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "loss"),
	}
	for i := range others {
		r := newTestRouter(i+1, now)
		r.silent = rapid.IntRange(0, 4).Draw(t, "mute") == 0
		r.manager.state = Recovered
		for k := range rapid.SampledFrom([]int{0, 3, 40}).Draw(t, "records") {
			key := shardmap.Key(1000*(i+1) + k + 1)
			gap := second + Micros(k)*clock.Millisecond
			r.records = append(r.records, directory.Record{Key: key, RequestGap: gap, UpdatedAt: now})
			c.keys[key] = true
		}
		c.routers = append(c.routers, r)
	}
	return c
}

// eachPeer calls f for all routers, including the recovering one, which must ignore itself.
func (c *testCluster) eachPeer(f func(Peer)) {
	for i := range c.routers {
		f(Peer{membership.NodeID(i + 1), address(i), membership.Incarnation(1000 * i)})
	}
}

// tick ticks all routers, and collects their datagrams, some of which are lost.
func (c *testCluster) tick(contact membership.Contact, purgesCaughtUp bool) {
	c.now += 20 * clock.Millisecond
	c.routers[0].manager.Tick(c.now, contact, purgesCaughtUp, c.eachPeer)
	for i, r := range c.routers {
		if i > 0 {
			r.manager.Tick(c.now, membership.Contact{Settled: true}, true, c.eachPeer)
		}
		for _, d := range r.sent {
			if i == 0 {
				c.requests++
			}
			if len(d.b) > MaxPayload {
				c.t.Fatalf("a datagram of %d bytes was sent, want at most %d", len(d.b), MaxPayload)
			}
			if rapid.IntRange(0, 9).Draw(c.t, "fate") >= c.lossPerTen {
				d.from = i
				c.inFlight = append(c.inFlight, d)
			}
		}
		r.sent = nil
	}
}

// deliver delivers the newest of the datagrams in flight, each twice, with corrupted copies of requests in between.
// The others remain in flight.
func (c *testCluster) deliver() {
	remaining := rapid.IntRange(0, len(c.inFlight)).Draw(c.t, "late")
	due := c.inFlight[remaining:]
	c.inFlight = c.inFlight[:remaining:remaining]
	for _, d := range due {
		to := c.routers[d.to]
		if to.silent {
			continue
		}
		_ = to.manager.Receive(c.now, address(d.from), d.b, noAddress)
		corrupted := append([]byte(nil), d.b...)
		at := rapid.IntRange(0, len(corrupted)-1).Draw(c.t, "at")
		corrupted[at] ^= byte(rapid.IntRange(1, 255).Draw(c.t, "bits"))
		// At worst, a corrupted request is answered. A corrupted answer could contain any record, but the sealed channels
		// between routers drop it.
		if d.from == 0 {
			_ = to.manager.Receive(c.now, address(d.from), corrupted, noAddress)
		}
		_ = to.manager.Receive(c.now, address(d.from), d.b, noAddress)
	}
}

// missing returns the number of records that were not recovered, of the routers that are not silent.
func (c *testCluster) missing(recovered map[shardmap.Key]bool) (count int) {
	for _, r := range c.routers {
		for _, record := range r.records {
			if !r.silent && !recovered[record.Key] {
				count++
			}
		}
	}
	return count
}

// TestRecovery recovers a router among others that have records or none, and that never answer, or answer late and
// twice; corrupted requests are delivered in between. After each step the router must not have exceeded its rate limit
// or sent too long a datagram. It must recover within its time limits, only by transitions that the table permits, and
// must not have a record that no router had. In at least 10 runs without loss it must have all records of the routers
// that are not silent.
func TestRecovery(t *testing.T) {
	longest := DefaultBounds.FetchTimeout + DefaultBounds.PurgeTimeout + second
	complete := 0
	rapid.Check(t, func(rt *rapid.T) {
		started := 10 * second
		c := newTestCluster(rt, started)
		r := c.routers[0]
		purgesCaughtUp := rapid.Bool().Draw(rt, "caught up")
		for step := 0; r.manager.State() != Recovered; step++ {
			contact := membership.Contact{Alone: len(c.routers) == 1, Settled: step > 10}
			c.tick(contact, purgesCaughtUp)
			span := (c.now - started).Seconds()
			if float64(c.requests) > span*DefaultBounds.RequestsPerSecond+burstRequests+1 {
				rt.Fatalf("%d requests were sent in %.2f s, want at most %v per second and a burst of %v", c.requests, span,
					DefaultBounds.RequestsPerSecond, burstRequests)
			}
			c.deliver()
			if c.now-started > longest {
				rt.Fatalf("still in state %v after %.2f s, want %v", r.manager.State(), span, Recovered)
			}
		}
		for i := 1; i < len(r.states); i++ {
			if !slices.Contains(transitions[r.states[i-1]], r.states[i]) {
				rt.Fatalf("illegal transition in the sequence of states %v", r.states)
			}
		}
		recovered := map[shardmap.Key]bool{}
		for _, record := range r.recovered {
			recovered[record.Key] = true
			if !c.keys[record.Key] {
				rt.Fatalf("record %d was recovered, but no router had it", record.Key)
			}
		}
		if c.lossPerTen == 0 && c.missing(recovered) == 0 && len(recovered) > 0 {
			complete++
		}
		if r.manager.Permissions() != permissions[Recovered] {
			rt.Fatalf("a recovered router has permissions %+v, want %+v", r.manager.Permissions(), permissions[Recovered])
		}
	})
	if complete < 10 {
		t.Errorf("all records were recovered in %d runs without loss, want at least 10", complete)
	}
}

// TestDeferral checks that no more pages are served than permitted if hundreds of requests arrive per second, and
// that the other requests are deferred.
func TestDeferral(t *testing.T) {
	now := 10 * second
	r := newTestRouter(1, now)
	r.manager.state = Recovered
	for k := range 50 {
		r.records = append(r.records, directory.Record{Key: shardmap.Key(k + 1), RequestGap: second, UpdatedAt: now})
	}
	requestDatagram := request{number: 1, from: 9}.append(nil)
	for range 40 { // for a second, with 240 requests
		now += 25 * clock.Millisecond
		r.manager.Tick(now, membership.Contact{Settled: true}, true, func(func(Peer)) {})
		for range 6 {
			if err := r.manager.Receive(now, address(7), requestDatagram, noAddress); err != nil {
				t.Fatal(err)
			}
		}
	}
	pages, deferrals := 0, 0
	for _, d := range r.sent {
		if messageKind(d.b[0]) == pageMessage {
			pages++
		} else {
			deferrals++
		}
	}
	maxPages := int(DefaultBounds.PagesPerSecond + burstPages)
	if pages > maxPages || pages < maxPages/4 || deferrals < 100 {
		t.Errorf("%d pages, want %d to %d; %d deferrals, want at least 100", pages, maxPages/4, maxPages, deferrals)
	}
}

// TestAnyBytes checks that arbitrary bytes are decoded or rejected, and that rejected datagrams are counted.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newTestRouter(1, 10*second)
		b := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes")
		err := r.manager.Receive(10*second, address(2), b, noAddress)
		if err != nil && r.manager.Stats().Unreadable != 1 {
			rt.Fatal("a rejected datagram was not counted")
		}
	})
}
