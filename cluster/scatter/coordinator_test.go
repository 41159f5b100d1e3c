package scatter

import (
	"net/netip"
	"testing"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const second = clock.Second

// testRouter is a router's Coordinator, and implements its Output, Store and Cluster.
type testRouter struct {
	coordinator *Coordinator
	index       int           // in the slice of all routers of the test
	shardMap    *shardmap.Map // the map that the router follows
	complete    bool          // the router serves all its keys
	records     []directory.Record
	sent        []datagram                 // not delivered yet
	results     []Result                   // of ended queries
	excluded    map[membership.NodeID]bool // owners that the router's summaries rule out
}

// datagram is a datagram between two routers.
type datagram struct {
	from, to int // indexes of routers
	b        []byte
}

func testID(i int) membership.NodeID { return membership.NodeID(i+1) * 0x9e3779b97f4a7c15 }

func testAddress(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)) }

func (r *testRouter) Send(to netip.AddrPort, b []byte) {
	b = append([]byte(nil), b...)
	if !to.IsValid() {
		_ = r.coordinator.Receive(r.coordinator.now, to, b, r, r)
		return
	}
	r.sent = append(r.sent, datagram{from: r.index, to: int(to.Port()), b: b})
}
func (r *testRouter) Done(_ uint32, res Result)       { r.results = append(r.results, res) }
func (r *testRouter) ShardMap() (*shardmap.Map, bool) { return r.shardMap, r.complete }
func (r *testRouter) Address(id membership.NodeID) (netip.AddrPort, bool) {
	for i := range 8 {
		if testID(i) == id {
			return testAddress(i), true
		}
	}
	return netip.AddrPort{}, false
}
func (r *testRouter) MayMatch(owner shardmap.Owner, _ shardmap.Digest, _ *summary.Query) bool {
	return !r.excluded[owner.ID]
}
func (r *testRouter) Each(f func(*directory.Record) bool) {
	for i := range r.records {
		if !f(&r.records[i]) {
			return
		}
	}
}
func (r *testRouter) EachCreatedBefore(directory.Group, directory.Micros, func(*directory.Record) bool) {
}

// start starts a query for all records of group 3, with a deadline of 4 s.
func (r *testRouter) start(t *testing.T) {
	t.Helper()
	if _, err := r.coordinator.Start(second, summary.Query{Group: 3}, 0, 4*second, r); err != nil {
		t.Fatal(err)
	}
}

// newTestRouters returns routers that all follow a map that assigns keys to each of them.
func newTestRouters(count int) []*testRouter {
	candidates := shardmap.Candidates{}
	for i := range count {
		candidates[testID(i)] = shardmap.Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
	}
	m := shardmap.Propose(nil, candidates, shardmap.Version{Term: 1, Number: 1})
	var routers []*testRouter
	for i := range count {
		r := &testRouter{index: i, shardMap: m, complete: true, excluded: map[membership.NodeID]bool{}}
		r.coordinator = New(second, shardmap.Owner{ID: testID(i), Incarnation: 1}, r)
		routers = append(routers, r)
	}
	return routers
}

// testRecord returns a record of group 3.
func testRecord(k uint64) directory.Record {
	return directory.Record{Key: shardmap.Key(k), Group: 3, RequestGap: second, UpdatedAt: second, SizeKB: 1}
}

// deliver delivers the sent datagrams, and then those sent in answer, until there are none. Datagrams for which keep
// returns false are lost; a nil keep loses none.
func deliver(routers []*testRouter, keep func(d datagram) bool) {
	for more := true; more; {
		more = false
		for _, r := range routers {
			sent := r.sent
			r.sent = nil
			for _, d := range sent {
				more = true
				if keep == nil || keep(d) {
					to := routers[d.to]
					_ = to.coordinator.Receive(to.coordinator.now, testAddress(d.from), d.b, to, to)
				}
			}
		}
	}
}

// tick calls the Tick method of all Coordinators.
func tick(routers []*testRouter, now Micros) {
	for _, r := range routers {
		r.coordinator.Tick(now, r)
	}
}

// TestComplete checks that the result is complete if all owners answer, that it contains each object once even if
// two routers store a record of it, and that an owner ruled out by its summary is not asked.
func TestComplete(t *testing.T) {
	routers := newTestRouters(4)
	routers[1].records = []directory.Record{testRecord(1), testRecord(2)}
	routers[2].records = []directory.Record{testRecord(2), testRecord(3)}
	routers[0].excluded[testID(3)] = true
	routers[0].start(t)
	deliver(routers, func(d datagram) bool {
		if d.to == 3 {
			t.Error("the excluded owner was asked")
		}
		return true
	})
	results := routers[0].results
	if len(results) != 1 || !results[0].Complete || len(results[0].Records) != 3 || results[0].Excluded != 1 ||
		results[0].Targets != 3 {
		t.Fatalf("results %+v, want one complete result with 3 records of 3 targets, 1 owner excluded", results)
	}
}

// TestNeverWronglyComplete guards against a complete result that lacks records: if an owner does not answer,
// follows another map, or does not serve all its keys yet, the result must be incomplete and list the owner's keys
// as missing.
func TestNeverWronglyComplete(t *testing.T) {
	keepAll := func(datagram) bool { return true }
	tests := map[string]struct {
		prepare func(r *testRouter)
		keep    func(d datagram) bool
	}{
		"silent": {
			prepare: func(*testRouter) {},
			keep:    func(d datagram) bool { return d.to != 2 && d.from != 2 },
		},
		"another map": {
			prepare: func(r *testRouter) {
				other := *r.shardMap
				other.Digest++
				r.shardMap = &other
			},
			keep: keepAll,
		},
		"not complete yet": {
			prepare: func(r *testRouter) { r.complete = false },
			keep:    keepAll,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			routers := newTestRouters(4)
			routers[2].records = []directory.Record{testRecord(5)}
			test.prepare(routers[2])
			routers[0].start(t)
			for now := second; now <= 5*second; now += 100 * clock.Millisecond {
				deliver(routers, test.keep)
				tick(routers, now)
			}
			results := routers[0].results
			if len(results) != 1 || results[0].Complete || len(results[0].Missing) == 0 {
				t.Fatalf("results %+v, want one incomplete result with missing keys", results)
			}
			m := routers[0].shardMap
			for _, k := range results[0].Missing {
				if owner := m.Owners[m.RangeOf(k.First).Owner]; owner.ID != testID(2) || k.Last < k.First {
					t.Errorf("keys %+v are reported as missing, want non-empty ranges of the faulty owner only", k)
				}
			}
		})
	}
}

// TestPartsOfTwoAnswers guards against an answer put together from parts of two different answers. The first
// answer loses its first part, and the second answer, if it has several parts, its second part. If the records
// have not changed in between, only the missing part must be sent again. If they have, the query must not end
// before all parts of one answer have arrived.
func TestPartsOfTwoAnswers(t *testing.T) {
	for _, changed := range []bool{false, true} { // whether a record changes between the two answers
		routers := newTestRouters(2)
		requester, responder := routers[0], routers[1]
		for i := range 30 {
			responder.records = append(responder.records, testRecord(uint64(i+1)))
		}
		requester.start(t)
		partsSent := 0
		// lose loses the responder's part with the given number, counted from 1; 0 loses none.
		lose := func(lost int) func(d datagram) bool {
			partsSent = 0
			return func(d datagram) bool {
				if d.from == responder.index {
					partsSent++
				}
				return d.from != responder.index || partsSent != lost
			}
		}
		deliver(routers, lose(1))
		partCount := partsSent
		if partCount < 3 || len(requester.results) > 0 {
			t.Fatalf("%d parts sent, results %+v; want at least 3 parts and no result", partCount, requester.results)
		}
		if changed { // change a record in a part that has arrived
			responder.records[29].UpdatedAt += second
		}
		requester.coordinator.Tick(second+300*clock.Millisecond, requester)
		deliver(routers, lose(2))
		if changed {
			if len(requester.results) > 0 || partsSent != partCount {
				t.Fatalf("%d parts sent, want %d; results %+v, want none", partsSent, partCount, requester.results)
			}
			requester.coordinator.Tick(second+900*clock.Millisecond, requester)
			deliver(routers, lose(0))
		} else if partsSent != 1 {
			t.Errorf("%d parts were sent again, want 1", partsSent)
		}
		if results := requester.results; len(results) != 1 || !results[0].Complete || len(results[0].Records) != 30 {
			t.Fatalf("record changed %v: results %+v, want one complete result with 30 records", changed, results)
		}
	}
}

// TestLoss checks that at least 28 of 40 queries are complete if half of all datagrams are lost, and that no
// result is complete without all records.
func TestLoss(t *testing.T) {
	complete := 0
	for seed := range 40 {
		routers := newTestRouters(4)
		for i := range 20 {
			r := routers[1+i%3]
			r.records = append(r.records, testRecord(uint64(i+1)))
		}
		routers[0].start(t)
		source := random.Source{Seed: uint32(seed)}
		for now := second; now <= 4*second; now += 50 * clock.Millisecond {
			deliver(routers, func(datagram) bool { return source.Float64() < 0.5 })
			tick(routers, now)
		}
		results := routers[0].results
		if len(results) != 1 || results[0].Complete && len(results[0].Records) != 20 {
			t.Fatalf("seed %d: results %+v, want one, with 20 records if complete", seed, results)
		}
		if results[0].Complete {
			complete++
		}
	}
	if complete < 28 {
		t.Errorf("%d of 40 queries are complete, want at least 28", complete)
	}
}

// TestOwnAnswerUnderNewMap guards against a panic or an endless loop in advance. A router that is itself a target
// has switched to a map with fewer owners. Its answer to its own request is handled within the call that sends the
// request, and plans the query again, so advance must not continue with the targets of the previous plan.
func TestOwnAnswerUnderNewMap(t *testing.T) {
	for count := 2; count <= 8; count++ {
		for self := range count {
			routers := newTestRouters(count)
			r := routers[self]
			for i := range count {
				routers[i].records = []directory.Record{testRecord(uint64(i + 1))}
			}
			r.start(t)
			deliver(routers, func(d datagram) bool { return d.to == self })
			oneOwner := *newTestRouters(1)[0].shardMap
			oneOwner.Owners = []shardmap.Owner{{ID: testID(self), Incarnation: 1}}
			r.shardMap = &oneOwner
			r.results = nil
			q := &query{number: 99, Query: summary.Query{Group: 3}, limit: maxRecords, deadline: 4 * second}
			q.plan(routers[(self+1)%count].shardMap, r)
			r.coordinator.queries = []*query{q}
			r.coordinator.Tick(second+100*clock.Millisecond, r)
			r.coordinator.Tick(second+200*clock.Millisecond, r)
			if results := r.results; len(results) != 1 || !results[0].Complete || len(results[0].Records) != 1 {
				t.Fatalf("%d owners, router %d: results %+v, want one complete result with 1 record", count, self, results)
			}
		}
	}
}
