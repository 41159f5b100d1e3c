package directory

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 200) }

const second = clock.Second

// testCluster is a number of routers whose datagrams arrive without delay. A router's port is its index.
type testCluster struct{ routers []*Directory }

// testOutput is a router's Output. It delivers datagrams to the cluster and drops log lines.
type testOutput struct{ c *testCluster }

func (o testOutput) Send(to netip.AddrPort, b []byte) {
	if len(b) > MaxPayload {
		panic(fmt.Sprintf("datagram of %d bytes, want at most %d", len(b), MaxPayload))
	}
	receiver := o.c.routers[to.Port()]
	_ = receiver.Receive(receiver.now, b)
}
func (o testOutput) Log(string, ...slog.Attr) {}

func testID(i int) membership.NodeID { return membership.NodeID(i+1) * 0x9e3779b97f4a7c15 }

func testKey(i int) shardmap.Key { return shardmap.Key(i+1) * 0x9e3779b97f4a7c15 }

func testCandidate() shardmap.Candidate {
	return shardmap.Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
}

// newTestCluster returns a cluster of the given size, and the shard map that all its routers follow.
func newTestCluster(size int, bounds Bounds) (*testCluster, *shardmap.Map) {
	c := &testCluster{}
	candidates := shardmap.Candidates{}
	for i := range size {
		candidates[testID(i)] = testCandidate()
	}
	m := shardmap.Propose(nil, candidates, shardmap.Version{Term: 1, Number: 1})
	address := func(id membership.NodeID) (netip.AddrPort, bool) {
		for i := range size {
			if testID(i) == id {
				return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), true
			}
		}
		return netip.AddrPort{}, false
	}
	for i := range size {
		d := New(0, shardmap.Owner{ID: testID(i), Incarnation: 1}, testOutput{c}, bounds, address)
		d.SetShardMap(0, m)
		c.routers = append(c.routers, d)
	}
	return c, m
}

// run ticks all routers every 100 ms.
func (c *testCluster) run(from, span Micros) {
	for at := from; at < from+span; at += 100 * clock.Millisecond {
		for _, d := range c.routers {
			d.Tick(at)
		}
	}
}

// owner returns the owner of a key, or nil.
func (c *testCluster) owner(m *shardmap.Map, k shardmap.Key) *Directory {
	for i, d := range c.routers {
		if testID(i) == m.Owners[m.RangeOf(k).Owner].ID {
			return d
		}
	}
	return nil
}

// TestReportsReachOwners checks that reports reach the owners within the rate limit, and that the router that
// reports an object stores its record, too.
func TestReportsReachOwners(t *testing.T) {
	c, m := newTestCluster(5, DefaultBounds)
	for i := range 100 {
		c.routers[0].ObserveRequest(second, Record{
			Key: testKey(i), RequestGap: second, SizeKB: uint32(i),
			Copies: [3]Copy{{Cache: 7, LastSeen: second, CreatedAt: second}},
		})
	}
	c.run(second, 20*second)
	for i := range 100 {
		// The router stores each record: as the owner, as a replica, or because it has reported the object itself.
		if _, held := c.routers[0].Lookup(testKey(i)); !held {
			t.Fatalf("record %d is not stored by the router that reported it", i)
		}
		r, ok := c.owner(m, testKey(i)).Lookup(testKey(i))
		if !ok || r.SizeKB != uint32(i) || r.Copies[0].Cache != 7 {
			t.Fatalf("record %d at its owner: %+v (found: %v), want size %d and a copy at cache 7", i, r, ok, i)
		}
	}
	datagrams := c.routers[0].Stats().DatagramsSent
	if limit := 20*DefaultBounds.DatagramsPerSecond + burstDatagrams; datagrams > uint64(limit) || datagrams == 0 {
		t.Errorf("%d datagrams sent, want 1 to %v", datagrams, limit)
	}
}

// purges contains the time of the latest purge of each group and of each object.
type purges struct {
	groups  map[Group]Micros
	objects map[shardmap.Key]Micros
}

// checkRecords checks that records are ordered by request gap and that every copy was created after the last purge,
// and returns the number of records.
func (p *purges) checkRecords(t *rapid.T, d *Directory) (count int) {
	previousGap := Micros(0)
	d.Hottest(func(r *Record) bool {
		if r.RequestGap < previousGap {
			t.Fatalf("a record with a request gap of %v us follows one with %v us", r.RequestGap, previousGap)
		}
		previousGap = r.RequestGap
		count++
		for _, c := range r.Copies {
			purgedAt := max(p.objects[r.Key], p.groups[r.Group])
			if c.Cache != 0 && purgedAt > 0 && c.CreatedAt <= purgedAt {
				t.Fatalf("a copy created at %.3f s remains after a purge at %.3f s", c.CreatedAt.Seconds(), purgedAt.Seconds())
			}
		}
		return true
	})
	return count
}

// TestPurgesAndBounds checks, for random purges and reports in any order including late reports, that no
// invalidated copy remains, that the number of records is limited, and that records are ordered by request gap.
func TestPurgesAndBounds(t *testing.T) {
	bounds := Bounds{Records: 20, PendingReports: 50, DatagramsPerSecond: 100, Retention: 100 * second}
	rapid.Check(t, func(rt *rapid.T) {
		c, _ := newTestCluster(1, bounds)
		d := c.routers[0]
		now := 100 * second
		p := purges{groups: map[Group]Micros{}, objects: map[shardmap.Key]Micros{}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(0, 3).Draw(rt, "pause")) * second
			k := shardmap.Key(rapid.IntRange(1, 30).Draw(rt, "key"))
			g := Group(rapid.IntRange(0, 3).Draw(rt, "group"))
			created := now - Micros(rapid.IntRange(0, 20).Draw(rt, "age"))*second
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				d.ObservePurge(now, k, g, now)
				if g != 0 {
					p.groups[g] = now
				} else {
					p.objects[k] = now
				}
			default:
				gap := Micros(rapid.IntRange(1, 50).Draw(rt, "gap")) * second
				cache := CacheInstance(rapid.IntRange(1, 5).Draw(rt, "cache"))
				r := Record{
					Key: k, Group: g, RequestGap: gap, UpdatedAt: created, LastRequest: created,
					Copies: [3]Copy{{Cache: cache, LastSeen: now, CreatedAt: created}},
				}
				d.Merge(now, r, rapid.Bool().Draw(rt, "complete"))
			}
			d.Tick(now)
			if n := p.checkRecords(rt, d); n != d.Len() || n > bounds.Records {
				rt.Fatalf("Len returns %d, Hottest passes %d records; want the same number, at most %d", d.Len(), n,
					bounds.Records)
			}
		}
	})
}

// TestNewerCopyWins checks that the most recent observation of a copy wins, in whichever order they are merged.
func TestNewerCopyWins(t *testing.T) {
	c, _ := newTestCluster(1, DefaultBounds)
	d := c.routers[0]
	for _, observedAt := range []Micros{5, 9, 7} {
		d.Merge(20*second, Record{
			Key: 1, RequestGap: second, UpdatedAt: observedAt * second,
			Copies: [3]Copy{{Cache: 3, LastSeen: observedAt * second, CreatedAt: observedAt * second}},
		}, false)
	}
	if r, _ := d.Lookup(1); r.Copies[0].CreatedAt != 9*second {
		t.Errorf("record %+v, want the copy created at 9 s", r)
	}
}

// TestRatesAddUp checks that an owner knows the request gap of an object that each router receives a request for
// only once per minute, from the rate of all routers. An object that is requested ten times as often must have a
// tenth of the gap.
func TestRatesAddUp(t *testing.T) {
	const routers = 20
	c, m := newTestCluster(routers, DefaultBounds)
	rare, frequent := shardmap.Key(0x1111111111111111), shardmap.Key(0x7777777777777777)
	for i := range 1200 {
		now := second + Micros(i)*300*clock.Millisecond
		for _, d := range c.routers {
			d.Tick(now)
		}
		if i%10 == 0 {
			c.routers[i/10%routers].ObserveRequest(now, Record{Key: rare, SizeKB: 1})
		}
		c.routers[i%routers].ObserveRequest(now, Record{Key: frequent, SizeKB: 1})
	}
	for key, want := range map[shardmap.Key]Micros{rare: 60 * second, frequent: 6 * second} {
		r, ok := c.owner(m, key).Lookup(key)
		if !ok || r.RequestGap < want*2/3 || r.RequestGap > want*3/2 {
			t.Errorf("object %x (found: %v): request gap %.1f s, want about %.1f s", key, ok, r.RequestGap.Seconds(),
				want.Seconds())
		}
	}
}

// TestHandOver checks that a record moves to the owner in a new map, even if the new map does not name the old
// owner.
func TestHandOver(t *testing.T) {
	c, m := newTestCluster(4, DefaultBounds)
	k := shardmap.Key(0x4242424242424242)
	old := c.owner(m, k)
	old.Merge(second, Record{Key: k, RequestGap: second, SizeKB: 9, UpdatedAt: second}, false)
	candidates := shardmap.Candidates{}
	for i, d := range c.routers {
		if d != old {
			candidates[testID(i)] = testCandidate()
		}
	}
	next := shardmap.Propose(m, candidates, shardmap.Version{Term: 1, Number: 2})
	for _, d := range c.routers {
		d.SetShardMap(2*second, next)
	}
	c.run(2*second, 5*second)
	if r, ok := c.owner(next, k).Lookup(k); !ok || r.SizeKB != 9 {
		t.Errorf("record at the new owner: %+v (found: %v), want size 9", r, ok)
	}
}

// TestObjectRequestedOnce checks that an object that was requested only once is reported, with an unknown request gap.
func TestObjectRequestedOnce(t *testing.T) {
	c, m := newTestCluster(3, DefaultBounds)
	for i := range 30 {
		c.routers[0].ObserveRequest(second, Record{Key: testKey(i), SizeKB: 5})
	}
	c.run(second, 10*second)
	for i := range 30 {
		r, ok := c.owner(m, testKey(i)).Lookup(testKey(i))
		if !ok || r.SizeKB != 5 || r.RequestGap != UnknownGap {
			t.Errorf("record %d at its owner: %+v (found: %v), want size 5 and an unknown request gap", i, r, ok)
		}
	}
	for i, d := range c.routers {
		if n := d.Stats().Unreadable; n > 0 {
			t.Errorf("router %d counted %d datagrams as unreadable, want none", i, n)
		}
	}
}

// TestLateReportOfPurgedCopy guards against keeping a purged copy. The copy is created just before the purge, but
// since ages do not grow in transit, its delayed report says that it was created after the purge.
func TestLateReportOfPurgedCopy(t *testing.T) {
	c, _ := newTestCluster(1, DefaultBounds)
	d := c.routers[0]
	now := 100 * second
	r := Record{
		Key: 9, RequestGap: second, UpdatedAt: now, LastRequest: now,
		Copies: [3]Copy{{Cache: 4, LastSeen: now, CreatedAt: now - second}},
	}
	b := AppendRecord([]byte{byte(reportMessage)}, now, &r)
	d.ObservePurge(now, 9, 0, now-second+50*clock.Millisecond)
	if err := d.Receive(now+1900*clock.Millisecond, b); err != nil {
		t.Fatal(err)
	}
	if record, ok := d.Lookup(9); !ok || record.Copies[0].Cache != 0 {
		t.Errorf("record %+v (found: %v), want one without copies", record, ok)
	}
}

// TestWire checks that records are decoded as they were encoded, except for rounding, and that a datagram with a
// changed byte is decoded or rejected without a panic.
func TestWire(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := 1000 * second
		timeBefore := func(label string) Micros { return now - Micros(rapid.IntRange(0, 500).Draw(rt, label))*second }
		r := Record{
			Key:              shardmap.Key(rapid.Uint64().Draw(rt, "key")),
			Group:            Group(rapid.Uint32().Draw(rt, "group")),
			Class:            uint8(rapid.IntRange(0, 255).Draw(rt, "class")),
			Reports:          3,
			SizeKB:           rapid.Uint32().Draw(rt, "kb"),
			RequestGap:       Micros(rapid.IntRange(1, int(UnknownGap/second)).Draw(rt, "gap")) * second,
			UpdatesPerSecond: 0.5,
			LastRequest:      timeBefore("last"),
			UpdatedAt:        timeBefore("updated"),
		}
		for i := range rapid.IntRange(0, MaxCopies).Draw(rt, "copies") {
			r.Copies[i] = Copy{Cache: CacheInstance(i + 1), LastSeen: timeBefore("seen"), CreatedAt: timeBefore("created")}
		}
		b := AppendRecord(nil, now, &r)
		in := octets.Reader{B: b}
		decoded := ReadRecord(&in, now)
		if decoded.RequestGap < UnknownGap { // known gaps are rounded up by one unit, so that none is 0
			decoded.RequestGap -= ageUnit
		}
		for i := range decoded.Copies { // decoded copies are as old as they may be after the longest transit
			if c := &decoded.Copies[i]; c.Cache != 0 {
				c.CreatedAt += maxTransitTime
			}
		}
		if in.Bad || decoded != r {
			rt.Fatalf("encoded %+v\ndecoded %+v, want the same; malformed: %v, want false", r, decoded, in.Bad)
		}
		if len(b) > 0 {
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		c, _ := newTestCluster(2, DefaultBounds)
		_ = c.routers[0].Receive(now, append([]byte{byte(reportMessage)}, b...))
	})
}

// TestEachCreatedBefore checks that exactly the group's copies from before a given time are listed, once each, even
// after a purge has invalidated them.
func TestEachCreatedBefore(t *testing.T) {
	c, _ := newTestCluster(1, DefaultBounds)
	d := c.routers[0]
	now := 100 * second
	for i := range 6 {
		d.Merge(now, Record{
			Key: shardmap.Key(i + 1), Group: Group(1 + i%2), RequestGap: second, UpdatedAt: now,
			Copies: [3]Copy{
				{Cache: 3, LastSeen: now, CreatedAt: now - 5*second},
				{Cache: 4, LastSeen: now, CreatedAt: now - second + Micros(i)},
			},
		}, false)
	}
	before := now - 3*second
	count := func() (records, copies int) {
		d.EachCreatedBefore(1, before, func(r *Record) bool {
			records++
			for _, c := range r.Copies {
				if c.Cache != 0 {
					copies++
				}
				if c.CreatedAt > before || r.Group != 1 {
					t.Errorf("record %+v with copy %+v is listed, want only copies of group 1 created by %.3f s", r, c,
						before.Seconds())
				}
			}
			return true
		})
		return records, copies
	}
	if records, copies := count(); records != 3 || copies != 3 {
		t.Errorf("%d records, %d copies before the purge, want 3 and 3", records, copies)
	}
	d.ObservePurge(now, 0, 1, before)
	d.ObservePurge(now, 0, 1, before+second)
	if records, copies := count(); records != 3 || copies != 3 {
		t.Errorf("%d records, %d copies after the purge, want 3 and 3", records, copies)
	}
	if record, _ := d.Lookup(1); record.Copies[0].Cache != 0 || record.Copies[1].Cache != 4 {
		t.Errorf("record %+v, want only the copy at cache 4", record)
	}
}
