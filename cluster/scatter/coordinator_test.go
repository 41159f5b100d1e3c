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

// testRouter is a router's Coordinator, its records and its output.
type testRouter struct {
	coordinator *Coordinator
	index       int
	shardMap    *shardmap.Map
	complete    bool // it serves all its keys
	records     []directory.Record
	sent        []datagram
	results     []Result
	excluded    map[membership.NodeID]bool // owners that its summaries rule out
}

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
func (r *testRouter) Done(_ uint32, x Result)         { r.results = append(r.results, x) }
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

// start starts a query for all records of a group.
func (r *testRouter) start(t *testing.T) {
	t.Helper()
	if _, err := r.coordinator.Start(second, summary.Query{Group: 3}, 0, 4*second, r); err != nil {
		t.Fatal(err)
	}
}

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

func testRecord(k uint64) directory.Record {
	return directory.Record{Key: shardmap.Key(k), Group: 3, RequestGap: second, UpdatedAt: second, SizeKB: 1}
}

// deliver delivers all datagrams for which keep returns true, and those that result from them. A nil keep keeps
// all.
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

func tick(routers []*testRouter, now Micros) {
	for _, r := range routers {
		r.coordinator.Tick(now, r)
	}
}

// TestComplete checks that the result is complete and contains each record once if all owners answer, even a record
// stored by two routers, and that an owner ruled out by the summaries is not asked.
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
	x := routers[0].results
	if len(x) != 1 || !x[0].Complete || len(x[0].Records) != 3 || x[0].Excluded != 1 || x[0].Candidates != 3 {
		t.Fatalf("%+v", x)
	}
}

// TestNeverWronglyComplete checks that the result is not complete and lists the missing keys if an owner does not
// answer, follows another map, or does not serve all its keys yet.
func TestNeverWronglyComplete(t *testing.T) {
	keepAll := func(datagram) bool { return true }
	tests := map[string]struct {
		spoil func(r *testRouter)
		keep  func(d datagram) bool
	}{
		"silent": {
			spoil: func(*testRouter) {},
			keep:  func(d datagram) bool { return d.to != 2 && d.from != 2 },
		},
		"another map": {
			spoil: func(r *testRouter) {
				other := *r.shardMap
				other.Digest++
				r.shardMap = &other
			},
			keep: keepAll,
		},
		"not complete yet": {
			spoil: func(r *testRouter) { r.complete = false },
			keep:  keepAll,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			routers := newTestRouters(4)
			routers[2].records = []directory.Record{testRecord(5)}
			test.spoil(routers[2])
			routers[0].start(t)
			for now := second; now <= 5*second; now += 100 * clock.Millisecond {
				deliver(routers, test.keep)
				tick(routers, now)
			}
			x := routers[0].results
			if len(x) != 1 || x[0].Complete || len(x[0].Missing) == 0 {
				t.Fatalf("%+v", x)
			}
			m := routers[0].shardMap
			for _, k := range x[0].Missing {
				if owner := m.Owners[m.RangeOf(k.First).Owner]; owner.ID != testID(2) || k.Last < k.First {
					t.Errorf("keys %+v are reported as missing", k)
				}
			}
		})
	}
}

// TestPartsOfTwoAnswers loses one part of an answer of several parts each time. Only the missing part must be
// requested again and complete the answer; parts of two different answers must never complete it.
func TestPartsOfTwoAnswers(t *testing.T) {
	for _, changed := range []bool{false, true} {
		routers := newTestRouters(2)
		asking, asked := routers[0], routers[1]
		for i := range 30 {
			asked.records = append(asked.records, testRecord(uint64(i+1)))
		}
		asking.start(t)
		answers := 0
		lose := func(lost int) func(d datagram) bool {
			answers = 0
			return func(d datagram) bool {
				if d.from == asked.index {
					answers++
				}
				return d.from != asked.index || answers != lost
			}
		}
		deliver(routers, lose(1))
		count := answers
		if count < 3 || len(asking.results) > 0 {
			t.Fatalf("%d parts, results %+v", count, asking.results)
		}
		if changed { // change a record in a part that has arrived
			asked.records[29].UpdatedAt += second
		}
		asking.coordinator.Tick(second+300*clock.Millisecond, asking)
		deliver(routers, lose(2))
		if changed {
			if len(asking.results) > 0 || answers != count {
				t.Fatalf("%d parts of two answers are complete: %+v", answers, asking.results)
			}
			asking.coordinator.Tick(second+900*clock.Millisecond, asking)
			deliver(routers, lose(0))
		} else if answers != 1 {
			t.Errorf("%d parts were sent although one was missing", answers)
		}
		if x := asking.results; len(x) != 1 || !x[0].Complete || len(x[0].Records) != 30 {
			t.Fatalf("record changed %v: result %+v", changed, x)
		}
	}
}

// TestLoss checks that most queries are complete in the end if half of all datagrams are lost, and that no result
// is complete without all records.
func TestLoss(t *testing.T) {
	complete := 0
	for seed := range 40 {
		routers := newTestRouters(4)
		for i := range 20 {
			r := routers[1+i%3]
			r.records = append(r.records, testRecord(uint64(i+1)))
		}
		routers[0].start(t)
		c := random.Source{Seed: uint32(seed)}
		for now := second; now <= 4*second; now += 50 * clock.Millisecond {
			deliver(routers, func(datagram) bool { return c.Float64() < 0.5 })
			tick(routers, now)
		}
		x := routers[0].results
		if len(x) != 1 || x[0].Complete && len(x[0].Records) != 20 {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		if x[0].Complete {
			complete++
		}
	}
	if complete < 28 {
		t.Errorf("%d of 40 queries are complete", complete)
	}
}

// TestOwnAnswerUnderNewMap covers a router that also asks itself while a new map with fewer owners arrives. Its own
// answer arrives within the call and plans the query again; to continue with the targets of the previous plan would
// panic or never end.
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
			if x := r.results; len(x) != 1 || !x[0].Complete || len(x[0].Records) != 1 {
				t.Fatalf("%d owners, %d asks itself: %+v", count, self, x)
			}
		}
	}
}
