package directory

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 200) }

const second = clock.Second

// town is some routers that tell one another at once, but for what is lost.
type town struct {
	all  []*Directory
	lost func() bool
}

type way struct {
	t    *town
	from int
}

func (w way) Send(to netip.AddrPort, b []byte) {
	if len(b) > MaxPayload {
		panic("too long")
	}
	if w.t.lost == nil || !w.t.lost() {
		_ = w.t.all[to.Port()].Receive(w.t.all[to.Port()].now, b)
	}
}
func (w way) Note(string) {}

func mark(i int) membership.NodeID { return membership.NodeID(i+1) * 0x9e3779b97f4a7c15 }

func newTown(n int, bounds Bounds) (*town, *shardmap.Map) {
	t := &town{}
	who := shardmap.Candidates{}
	for i := range n {
		who[mark(i)] = shardmap.Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
	}
	m := shardmap.Propose(nil, who, shardmap.Version{Term: 1, Number: 1})
	for i := range n {
		h := New(0, shardmap.Owner{ID: mark(i), Incarnation: 1}, way{t, i}, bounds, func(id membership.NodeID) (netip.AddrPort, bool) {
			for j := range n {
				if mark(j) == id {
					return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(j)), true
				}
			}
			return netip.AddrPort{}, false
		})
		h.SetShardMap(0, m)
		t.all = append(t.all, h)
	}
	return t, m
}

func (t *town) run(from, span Micros) {
	for at := from; at < from+span; at += 100 * clock.Millisecond {
		for _, h := range t.all {
			h.Tick(at)
		}
	}
}

func keeper(t *town, m *shardmap.Map, k shardmap.Key) *Directory {
	for i, h := range t.all {
		if mark(i) == m.Owners[m.RangeOf(k).Owner].ID {
			return h
		}
	}
	return nil
}

// What routers see reaches the keeper and the first that stands by, and no more than the budget is sent.
func TestNewsReachesKeepers(t *testing.T) {
	town, m := newTown(5, DefaultBounds)
	key := func(i int) shardmap.Key { return shardmap.Key(i+1) * 0x9e3779b97f4a7c15 }
	for i := range 100 {
		town.all[0].ObserveRequest(second, Record{Key: key(i), RequestGap: second, SizeKB: uint32(i), Copies: [3]Copy{{Cache: 7, LastSeen: second, CreatedAt: second}}})
	}
	town.run(second, 20*second)
	for i := range 100 {
		if _, near := town.all[0].Lookup(key(i)); !near { // whoever of all stands by
			t.Fatalf("row %d is not near who told of it", i)
		}
		r, ok := keeper(town, m, key(i)).Lookup(key(i))
		if !ok || r.SizeKB != uint32(i) || r.Copies[0].Cache != 7 {
			t.Fatalf("row %d: %+v, %v", i, r, ok)
		}
	}
	if y := town.all[0].Stats(); y.Sent > uint64(20*DefaultBounds.PerS+burst) || y.Sent == 0 {
		t.Errorf("%d datagrams", y.Sent)
	}
}

// After any purges and news, in any order and with what is told late: no copy stands that a purge had made old, the rows are bounded,
// and the most asked come first.
func TestPurgesAndBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		town, _ := newTown(1, Bounds{Rows: 20, Pending: 50, PerS: 100, Keep: 100 * second})
		h := town.all[0]
		now := 100 * second
		purged := map[Group]Micros{}
		single := map[shardmap.Key]Micros{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(0, 3).Draw(rt, "pause")) * second
			k, g := shardmap.Key(rapid.IntRange(1, 30).Draw(rt, "key")), Group(rapid.IntRange(0, 3).Draw(rt, "group"))
			born := now - Micros(rapid.IntRange(0, 20).Draw(rt, "age"))*second
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				if h.ObservePurge(now, k, g, now); g != 0 {
					purged[g] = now
				} else {
					single[k] = now
				}
			default:
				h.Merge(now, Record{Key: k, Group: g, RequestGap: Micros(rapid.IntRange(1, 50).Draw(rt, "gap")) * second, UpdatedAt: born, LastRequest: born,
					Copies: [3]Copy{{Cache: CacheInstance(rapid.IntRange(1, 5).Draw(rt, "cache")), LastSeen: now, CreatedAt: born}}}, rapid.Bool().Draw(rt, "whole"))
			}
			h.Tick(now)
			last, n := Micros(0), 0
			h.Hottest(func(r *Record) bool {
				if r.RequestGap < last {
					rt.Fatal("out of order")
				}
				last = r.RequestGap
				n++
				for _, c := range r.Copies {
					if at := max(single[r.Key], purged[r.Group]); c.Cache != 0 && at > 0 && c.CreatedAt <= at {
						rt.Fatalf("a copy born %v stands though purged at %v", c.CreatedAt, at)
					}
				}
				return true
			})
			if n != h.Len() || n > 20 {
				rt.Fatalf("%d rows, %d in order", h.Len(), n)
			}
		}
	})
}

// The newer sighting of a copy wins, whatever comes first.
func TestNewerSightingWins(t *testing.T) {
	town, _ := newTown(1, DefaultBounds)
	h := town.all[0]
	for _, seen := range []Micros{5, 9, 7} {
		h.Merge(20*second, Record{Key: 1, RequestGap: second, UpdatedAt: seen * second, Copies: [3]Copy{{Cache: 3, LastSeen: seen * second, CreatedAt: seen * second}}}, false)
	}
	if r, _ := h.Lookup(1); r.Copies[0].CreatedAt != 9*second {
		t.Errorf("%+v", r)
	}
}

// Routers that see an object once in a minute each know no gap of it; their keeper does, from the rate of them all. One whose visits come ten
// times as often has a tenth of the gap.
func TestRatesAdd(t *testing.T) {
	const routers = 20
	town, m := newTown(routers, DefaultBounds)
	rare, often := shardmap.Key(0x1111111111111111), shardmap.Key(0x7777777777777777)
	for i := range 1200 {
		now := second + Micros(i)*300*clock.Millisecond
		for _, h := range town.all {
			h.Tick(now)
		}
		if i%10 == 0 {
			town.all[i/10%routers].ObserveRequest(now, Record{Key: rare, SizeKB: 1})
		}
		town.all[i%routers].ObserveRequest(now, Record{Key: often, SizeKB: 1})
	}
	for key, want := range map[shardmap.Key]Micros{rare: 60 * second, often: 6 * second} {
		r, ok := keeper(town, m, key).Lookup(key)
		if !ok || r.RequestGap < want*2/3 || r.RequestGap > want*3/2 {
			t.Errorf("%x: a gap of %.1f s, %.1f in truth", key, r.RequestGap.Seconds(), want.Seconds())
		}
	}
}

// Keys that a map gives to another go there with what is known, also when their first keeper is gone.
func TestHandOver(t *testing.T) {
	town, m := newTown(4, DefaultBounds)
	k := shardmap.Key(0x4242424242424242)
	old := keeper(town, m, k)
	old.Merge(second, Record{Key: k, RequestGap: second, SizeKB: 9, UpdatedAt: second}, false)
	who := shardmap.Candidates{}
	for i := range 4 {
		if town.all[i] != old {
			who[mark(i)] = shardmap.Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
		}
	}
	next := shardmap.Propose(m, who, shardmap.Version{Term: 1, Number: 2})
	for _, h := range town.all {
		h.SetShardMap(2*second, next)
	}
	town.run(2*second, 5*second)
	if r, ok := keeper(town, next, k).Lookup(k); !ok || r.SizeKB != 9 {
		t.Errorf("%+v, %v", r, ok)
	}
}

// An object that was seen once has a gap that nobody knows: it is told all the same.
func TestSeenOnce(t *testing.T) {
	town, m := newTown(3, DefaultBounds)
	for i := range 30 {
		town.all[0].ObserveRequest(second, Record{Key: shardmap.Key(i+1) * 0x9e3779b97f4a7c15, SizeKB: 5})
	}
	town.run(second, 10*second)
	for i := range 30 {
		k := shardmap.Key(i+1) * 0x9e3779b97f4a7c15
		if r, ok := keeper(town, m, k).Lookup(k); !ok || r.SizeKB != 5 || r.RequestGap != UnknownGap {
			t.Errorf("%+v, %v", r, ok)
		}
	}
	for i, h := range town.all {
		if n := h.Stats().Unreadable; n > 0 {
			t.Errorf("router %d could not read %d datagrams", i, n)
		}
	}
}

// A copy made just before a purge that is told of on a slow way is not taken for one made after it.
func TestLateNewsOfAPurgedCopy(t *testing.T) {
	town, _ := newTown(1, DefaultBounds)
	h := town.all[0]
	now := 100 * second
	r := Record{Key: 9, RequestGap: second, UpdatedAt: now, LastRequest: now, Copies: [3]Copy{{Cache: 4, LastSeen: now, CreatedAt: now - second}}}
	b := AppendRecord([]byte{some}, now, &r)
	h.ObservePurge(now, 9, 0, now-second+50*clock.Millisecond)
	if err := h.Receive(now+1900*clock.Millisecond, b); err != nil {
		t.Fatal(err)
	}
	if x, ok := h.Lookup(9); !ok || x.Copies[0].Cache != 0 {
		t.Errorf("%+v, %v", x, ok)
	}
}

// Rows read back as they were written, within a tick; any bytes are read or refused.
func TestWire(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := 1000 * second
		age := func(s string) Micros { return now - Micros(rapid.IntRange(0, 500).Draw(rt, s))*second }
		r := Record{Key: shardmap.Key(rapid.Uint64().Draw(rt, "key")), Group: Group(rapid.Uint32().Draw(rt, "group")),
			Class: uint8(rapid.IntRange(0, 255).Draw(rt, "case")), Reports: 3, SizeKB: rapid.Uint32().Draw(rt, "kb"),
			RequestGap: Micros(rapid.IntRange(1, int(UnknownGap/second)).Draw(rt, "gap")) * second, UpdatesPerSecond: 0.5, LastRequest: age("last"), UpdatedAt: age("told")}
		for i := range rapid.IntRange(0, MaxCopies).Draw(rt, "copies") {
			r.Copies[i] = Copy{Cache: CacheInstance(i + 1), LastSeen: age("seen"), CreatedAt: age("born")}
		}
		b := AppendRecord(nil, now, &r)
		in := octets.Reader{B: b}
		back := ReadRecord(&in, now)
		if back.RequestGap < UnknownGap {
			back.RequestGap -= tick
		}
		for i := range back.Copies { // as old as they can be
			if c := &back.Copies[i]; c.Cache != 0 {
				c.CreatedAt += Late
			}
		}
		if in.Bad || back != r {
			rt.Fatalf("%+v\n%+v", r, back)
		}
		if len(b) > 0 {
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		town, _ := newTown(2, DefaultBounds)
		_ = town.all[0].Receive(now, append([]byte{some}, b...))
	})
}

// What a group's purge touches is told after it as well: copies from before it, of that group alone, once each.
func TestTouched(t *testing.T) {
	town, _ := newTown(1, DefaultBounds)
	h := town.all[0]
	now := 100 * second
	for k := range 6 {
		h.Merge(now, Record{Key: shardmap.Key(k + 1), Group: Group(1 + k%2), RequestGap: second, UpdatedAt: now,
			Copies: [3]Copy{{Cache: 3, LastSeen: now, CreatedAt: now - 5*second}, {Cache: 4, LastSeen: now, CreatedAt: now - second + Micros(k)}}}, false)
	}
	at := now - 3*second
	count := func() (rows, copies int) {
		h.EachCreatedBefore(1, at, func(r *Record) bool {
			rows++
			for _, c := range r.Copies {
				if c.Cache != 0 {
					copies++
				}
				if c.CreatedAt > at || r.Group != 1 {
					t.Errorf("%+v", r)
				}
			}
			return true
		})
		return rows, copies
	}
	if r, c := count(); r != 3 || c != 3 {
		t.Errorf("%d rows, %d copies before", r, c)
	}
	h.ObservePurge(now, 0, 1, at)
	h.ObservePurge(now, 0, 1, at+second)
	if r, c := count(); r != 3 || c != 3 {
		t.Errorf("%d rows, %d copies after", r, c)
	}
	if x, _ := h.Lookup(1); x.Copies[0].Cache != 0 || x.Copies[1].Cache != 4 {
		t.Errorf("%+v", x)
	}
}
