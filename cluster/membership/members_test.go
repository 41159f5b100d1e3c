package membership

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

type box struct {
	sent    [][]byte
	changes []Member
}

func (b *box) Send(_ netip.AddrPort, d []byte) { b.sent = append(b.sent, append([]byte(nil), d...)) }
func (b *box) Changed(m Member)                { b.changes = append(b.changes, m) }
func (b *box) Note(string)                     {}

func self(i int, life Incarnation) Identity {
	return Identity{ID: NodeID(i + 1), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7946),
		Zone: 1, Weight: 1, Incarnation: life}
}

func view(peers int) (*Members, *box) {
	b := &box{}
	m := New(0, self(0, 10), b, 5, DefaultTiming, DefaultSuspicion)
	var known []Peer
	for i := 1; i <= peers; i++ {
		known = append(known, Peer{NodeID(i + 1), self(i, 0).Address})
	}
	m.AddPeers(known)
	return m, b
}

// said is a datagram of one router that tells of itself and of another.
func said(by Identity, inc Refutations, state State, news ...entry) []byte {
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: by, refutations: inc, state: state})
	b = append(b, 0)
	for i := range news {
		b = appendEntry(b, &news[i])
	}
	return b
}

// Against a plain model, after every step: a life never goes back, within a life an incarnation never does, a death comes
// only after a suspicion that lasted, and never on another's word alone.
func TestNewsIsOrdered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, b := view(4)
		type plain struct {
			life    Incarnation
			inc     Refutations
			state   State
			suspect Micros
		}
		model := map[NodeID]*plain{}
		now := Micros(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 400).Draw(rt, "pause")) * clock.Millisecond
			b.changes = b.changes[:0]
			if rapid.Bool().Draw(rt, "tick") {
				m.Tick(now)
			} else {
				by := self(rapid.IntRange(1, 4).Draw(rt, "by"), Incarnation(rapid.IntRange(1, 3).Draw(rt, "its life")))
				of := self(rapid.IntRange(0, 5).Draw(rt, "of"), Incarnation(rapid.IntRange(1, 12).Draw(rt, "life")))
				e := entry{Identity: of, refutations: Refutations(rapid.IntRange(0, 4).Draw(rt, "inc")),
					state: State(rapid.IntRange(1, int(Left)).Draw(rt, "state"))}
				if err := m.Receive(now, by.Address, said(by, Refutations(rapid.IntRange(0, 4).Draw(rt, "its inc")), Alive, e)); err != nil {
					rt.Fatal(err)
				}
			}
			for _, c := range b.changes {
				if c.ID == m.self.ID {
					continue
				}
				p := model[c.ID]
				if p == nil {
					p = &plain{}
					model[c.ID] = p
				}
				switch {
				case c.Incarnation < p.life:
					rt.Fatalf("life %d after %d", c.Incarnation, p.life)
				case c.Incarnation > p.life:
					*p = plain{life: c.Incarnation, state: c.State, suspect: m.now}
					if !c.State.Present() {
						rt.Fatalf("a life that begins as %v", c.State)
					}
					continue
				}
				if c.State == Dead && (p.state != Suspect || m.now-p.suspect < m.suspicion.MinTimeout) {
					rt.Fatalf("dead after %v, suspected for %v ms", p.state, (m.now - p.suspect).Millis())
				}
				if c.State == Suspect && p.state != Suspect {
					p.suspect = m.now
				}
				p.state = c.State
			}
			for _, r := range m.all {
				if p := model[r.ID]; p != nil {
					if r.Incarnation != p.life || r.State != p.state || r.refutations < p.inc && r.Incarnation == p.life {
						rt.Fatalf("member %d is %v in life %d, the model has %v in %d", r.ID, r.State, r.Incarnation, p.state, p.life)
					}
					p.inc = r.refutations
				}
			}
			for _, d := range b.sent {
				if h, err := decode(d); err != nil || len(d) > MaxPayload || h.sender.Incarnation < 10 || h.sender.state != Alive {
					rt.Fatalf("%d bytes sent, %v: %+v", len(d), err, h.sender)
				}
			}
			b.sent = nil
		}
	})
}

// A router whose own later life is known to others goes on as a new one after it.
func TestLaterLifeOfOnesOwn(t *testing.T) {
	m, b := view(1)
	_ = m.Receive(1, self(1, 1).Address, said(self(1, 1), 0, Alive, entry{Identity: self(0, 99), state: Dead}))
	if m.self.Incarnation != 100 || len(b.changes) < 2 || b.changes[len(b.changes)-1].Incarnation != 100 {
		t.Fatalf("life %d, %+v", m.self.Incarnation, b.changes)
	}
}

// More accusers leave less time, and a slow router leaves more.
func TestPatience(t *testing.T) {
	m, _ := view(6)
	for i := 1; i <= 6; i++ {
		_ = m.Receive(1, self(i, 1).Address, said(self(i, 1), 0, Alive))
	}
	r := m.find(2)
	var last Micros
	for by := NodeID(3); by < 7; by++ {
		m.suspect(r, 0, by)
		p := m.suspicionTimeout(r)
		if last > 0 && p >= last || p < m.suspicion.MinTimeout || p > m.suspicion.MaxTimeout {
			t.Errorf("%d accusers leave %v ms after %v", r.accuserCount, p.Millis(), last.Millis())
		}
		last = p
	}
	if m.health = maxHealth; m.suspicionTimeout(r) <= last {
		t.Error("a slow router is not more patient")
	}
}

// Whatever bytes come, nothing breaks.
func TestAnyBytes(t *testing.T) {
	m, b := view(3)
	rapid.Check(t, func(rt *rapid.T) {
		x := said(self(1, 5), 1, Alive, entry{Identity: self(2, 3), state: Suspect, accuser: 9})
		x[0] = byte(rapid.IntRange(0, int(kindsEnd)).Draw(rt, "kind"))
		switch rapid.IntRange(0, 2).Draw(rt, "how") {
		case 0:
			x = x[:rapid.IntRange(0, len(x)).Draw(rt, "cut")]
		case 1:
			x[rapid.IntRange(0, len(x)-1).Draw(rt, "at")] ^= byte(1 << rapid.IntRange(0, 7).Draw(rt, "bit"))
		default:
			x = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "noise")
		}
		_ = m.Receive(m.clock+1, self(1, 5).Address, x)
		b.sent, b.changes = nil, nil
	})
	if m.stats.Unreadable == 0 {
		t.Error("nothing was found unreadable")
	}
}

func full() *Members {
	m, _ := view(99)
	for i := 1; i <= 99; i++ {
		_ = m.Receive(1, self(i, 1).Address, said(self(i, 1), 0, Alive))
	}
	m.post = quiet{}
	return m
}

type quiet struct{}

func (quiet) Send(netip.AddrPort, []byte) {}
func (quiet) Changed(Member)              {}
func (quiet) Note(string)                 {}

func BenchmarkTick(b *testing.B) {
	m := full()
	b.ReportAllocs()
	for i := range b.N {
		m.Tick(Micros(i) * 20 * clock.Millisecond)
		if i%50 == 0 { // they answer: else all would be dead by and by
			for _, r := range m.all {
				r.State = Alive
			}
			m.ownSuspects, m.health = m.ownSuspects[:0], 0
		}
	}
}

func BenchmarkDatagram(b *testing.B) {
	m := full()
	x := said(self(1, 1), 0, Alive, entry{Identity: self(2, 1), state: Alive}, entry{Identity: self(3, 1), state: Alive})
	x[0] = byte(ping)
	b.ReportAllocs()
	for i := range b.N {
		_ = m.Receive(Micros(i)*10*clock.Millisecond, self(1, 1).Address, x)
	}
}
