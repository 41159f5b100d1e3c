package recovery

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const second = clock.Second

// party is a router of a test: one that comes back, or one that has rows for others.
type party struct {
	c     *Manager
	at    netip.AddrPort
	out   []letter
	rows  []directory.Record
	got   []directory.Record
	steps []State
	mute  bool
}

type letter struct {
	to netip.AddrPort
	b  []byte
}

func (p *party) Send(to netip.AddrPort, b []byte) {
	p.out = append(p.out, letter{to, append([]byte(nil), b...)})
}
func (p *party) RecordRecovered(r directory.Record)             { p.got = append(p.got, r) }
func (p *party) StateChanged(_, to State)                       { p.steps = append(p.steps, to) }
func (p *party) Note(string)                                    {}
func (p *party) Len() int                                       { return len(p.rows) }
func (p *party) HottestReported(f func(*directory.Record) bool) { p.Hottest(f) }
func (p *party) Hottest(f func(*directory.Record) bool) {
	for i := range p.rows {
		if !f(&p.rows[i]) {
			return
		}
	}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 9)
}

func newParty(i int, now Micros) *party {
	p := &party{at: address(i)}
	p.c = New(now, shardmap.Owner{ID: membership.NodeID(i + 1), Incarnation: membership.Incarnation(1000 * i)}, p, p, uint32(i), DefaultBounds)
	return p
}

func nobody(membership.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

// One comes back among others that have rows, have none, are mute, stop to answer or answer late and twice; spoilt datagrams come between. After every
// step it has asked for no more than it may, and none gave more than it may; steps follow the table; it is full within its bounds, has no row
// that nobody had, and all rows of some that answered if little was asked for and nothing lost.
func TestComesBack(t *testing.T) {
	whole := 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(rt, "others")
		loss := rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(rt, "loss")
		now := 10 * second
		me := newParty(0, now)
		all := []*party{me}
		known := map[shardmap.Key]bool{}
		for i := range n {
			p := newParty(i+1, now)
			p.mute = rapid.IntRange(0, 4).Draw(rt, "mute") == 0
			p.c.state = Recovered
			for k := range rapid.SampledFrom([]int{0, 3, 40}).Draw(rt, "rows") {
				key := shardmap.Key(1000*(i+1) + k + 1)
				p.rows = append(p.rows, directory.Record{Key: key, RequestGap: second + Micros(k)*clock.Millisecond, UpdatedAt: now})
				known[key] = true
			}
			all = append(all, p)
		}
		peers := func(f func(Peer)) {
			for i := range all {
				f(Peer{membership.NodeID(i + 1), address(i), membership.Incarnation(1000 * i)})
			}
		}
		caught := rapid.Bool().Draw(rt, "caught")
		var way []letter
		var from []int
		asks, began := 0, now
		for step := 0; me.c.State() != Recovered; step++ {
			now += 20 * clock.Millisecond
			me.c.Tick(now, membership.Contact{Alone: n == 0, Settled: step > 10}, caught, peers)
			for i, p := range all {
				if i > 0 {
					p.c.Tick(now, membership.Contact{Settled: true}, true, peers)
				}
				for _, l := range p.out {
					if i == 0 {
						asks++
					}
					if len(l.b) > MaxPayload {
						rt.Fatalf("%d bytes", len(l.b))
					}
					if rapid.IntRange(0, 9).Draw(rt, "fate") >= loss {
						way, from = append(way, l), append(from, i)
					}
				}
				p.out = nil
			}
			if span := (now - began).Seconds(); float64(asks) > span*DefaultBounds.PerS+askBurst+1 {
				rt.Fatalf("%d asks in %.2f s", asks, span)
			}
			late := rapid.IntRange(0, len(way)).Draw(rt, "late")
			due, by := way[late:], from[late:]
			way, from = way[:late:late], from[:late:late]
			for i, l := range due {
				to := int(l.to.Addr().As4()[3])
				if all[to].mute {
					continue
				}
				_ = all[to].c.Receive(now, address(by[i]), l.b, nobody)
				spoilt := append([]byte(nil), l.b...)
				spoilt[rapid.IntRange(0, len(spoilt)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
				if by[i] == 0 { // a spoilt ask at worst gets an answer; a spoilt answer could hold any row, as the line's seal lets none in
					_ = all[to].c.Receive(now, address(by[i]), spoilt, nobody)
				}
				_ = all[to].c.Receive(now, address(by[i]), l.b, nobody) // twice
			}
			if now-began > DefaultBounds.Most+DefaultBounds.Catch+second {
				rt.Fatalf("%v after %v", me.c.State(), now-began)
			}
		}
		for i := 1; i < len(me.steps); i++ {
			ok := false
			for _, s := range follows[me.steps[i-1]] {
				ok = ok || s == me.steps[i]
			}
			if !ok {
				rt.Fatalf("%v", me.steps)
			}
		}
		got := map[shardmap.Key]bool{}
		for _, r := range me.got {
			if got[r.Key] = true; !known[r.Key] {
				rt.Fatalf("row %d was nobody's", r.Key)
			}
		}
		missing := 0
		for _, p := range all {
			for _, r := range p.rows {
				if !p.mute && !got[r.Key] {
					missing++
				}
			}
		}
		if loss == 0 && missing == 0 && len(got) > 0 {
			whole++
		}
		if me.c.Permissions() != leaves[Recovered] {
			rt.Fatal("full, and may not do all")
		}
	})
	if whole < 10 {
		t.Errorf("all rows came back %d times", whole)
	}
}

// Hundreds that ask at one moment are given turns: no more pages than may be served, and each one's turn comes.
func TestTurns(t *testing.T) {
	now := 10 * second
	p := newParty(1, now)
	p.c.state = Recovered
	for k := range 50 {
		p.rows = append(p.rows, directory.Record{Key: shardmap.Key(k + 1), RequestGap: second, UpdatedAt: now})
	}
	ask := []byte{byte(ask), 1, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0}
	pages, turns := 0, 0
	for range 40 { // 40 times in a second
		now += 25 * clock.Millisecond
		p.c.Tick(now, membership.Contact{Settled: true}, true, func(func(Peer)) {})
		for range 6 {
			if err := p.c.Receive(now, address(7), ask, nobody); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, l := range p.out {
		if l.b[0] == byte(page) {
			pages++
		} else {
			turns++
		}
	}
	if most := int(DefaultBounds.Pages + pageBurst); pages > most || pages < most/4 || turns < 100 {
		t.Errorf("%d pages, %d turns", pages, turns)
	}
}

// Any bytes: read or refused, never more than that.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newParty(1, 10*second)
		if err := p.c.Receive(10*second, address(2), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes"), nobody); err != nil && p.c.Stats().Unreadable != 1 {
			rt.Fatal("not counted")
		}
	})
}
