package lease

import (
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

const (
	ms         = clock.Millisecond
	leaseCount = 37
)

// recorder records what a table gives out.
type recorder struct {
	took, yielded map[ID]Term
	sent          [][]byte
}

func (b *recorder) Send(_ netip.AddrPort, d []byte) {
	b.sent = append(b.sent, append([]byte(nil), d...))
}
func (b *recorder) Acquired(no ID, t Term) { b.took[no] = t }
func (b *recorder) Released(no ID, t Term) { b.yielded[no] = t }
func (b *recorder) Note(string)            {}

func testMember(i int, life membership.Incarnation) membership.Member {
	return membership.Member{Identity: membership.Identity{ID: membership.NodeID(i + 1), Incarnation: life, Zone: 1, Weight: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7946)}, State: membership.Alive}
}

func newTestManager() (*Manager, *recorder) {
	b := &recorder{took: map[ID]Term{}, yielded: map[ID]Term{}}
	return New(0, testMember(0, 1), b, 3, leaseCount, DefaultBalance), b
}

var inContact = membership.Contact{Settled: true}

// Against a plain model, after every step: of all claims heard for a duty the one with the highest term stands, of those
// the one that ranks first; a duty of this router's is told as taken, and as yielded once another's stands.
func TestHighestClaimWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, b := newTestManager()
		type plain struct {
			term Term
			by   Holder
		}
		model := make([]plain, leaseCount)
		for i := 1; i < 5; i++ {
			d.MemberChanged(0, testMember(i, 1))
		}
		now := Micros(0)
		teller, _ := newTestManager()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 200).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				d.Tick(now, inContact)
				for no, term := range b.took {
					if m := &model[no]; term > m.term {
						if term != m.term+1 {
							rt.Fatalf("duty %d taken under term %d after %d", no, term, m.term)
						}
						*m = plain{term, d.selfHolder}
					}
				}
			case 1:
				i := rapid.IntRange(1, 4).Draw(rt, "member")
				m := testMember(i, membership.Incarnation(rapid.IntRange(1, 3).Draw(rt, "life")))
				m.State = rapid.SampledFrom([]membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead}).Draw(rt, "state")
				d.MemberChanged(now, m)
			default:
				by := HolderOf(membership.NodeID(rapid.IntRange(2, 5).Draw(rt, "by")), 1)
				no := ID(rapid.IntRange(0, leaseCount-1).Draw(rt, "duty"))
				term := Term(rapid.IntRange(1, 6).Draw(rt, "term"))
				teller.table[no] = record{term: term, holder: by}
				sent := len(b.sent)
				teller.output.(*recorder).sent, teller.tokens = nil, datagramBurst
				teller.sendList(claims, netip.AddrPort{}, []ID{no})
				if err := d.Receive(now, netip.AddrPort{}, teller.output.(*recorder).sent[0]); err != nil {
					rt.Fatal(err)
				}
				m := &model[no]
				if term > m.term || term == m.term && outranks(no, by, m.by) {
					if m.by == d.selfHolder && b.yielded[no] != m.term {
						rt.Fatalf("duty %d of term %d was not told as yielded", no, m.term)
					}
					*m = plain{term, by}
				} else if by != m.by && len(b.sent) == sent && d.tokens >= 1 {
					rt.Fatalf("a claim of term %d was not answered with that of term %d", term, m.term)
				}
			}
			vacant := 0
			for no := range leaseCount {
				h, m := &d.table[no], &model[no]
				if h.term != m.term || h.holder != m.by {
					rt.Fatalf("duty %d: term %d by %x, the model has %d by %x", no, h.term, h.holder, m.term, m.by)
				}
				p := d.byHolder[m.by]
				if gone := p == nil || p.State == membership.Leaving; gone != h.vacant {
					rt.Fatalf("duty %d is vacant: %v", no, h.vacant)
				}
				if h.vacant {
					vacant++
				}
				if _, mine := d.Holds(ID(no), now); mine && (m.by != d.selfHolder || !d.inContact) {
					rt.Fatalf("duty %d is taken for this router's", no)
				}
			}
			sums := append([]uint32(nil), d.sums...)
			clear(d.sums)
			for no := range leaseCount {
				d.toggleSum(ID(no))
			}
			for i := range sums {
				if sums[i] != d.sums[i] {
					rt.Fatalf("the sum over bucket %d went astray", i)
				}
			}
			if vacant != d.vacantCount {
				rt.Fatalf("%d vacant, %d counted", vacant, d.vacantCount)
			}
			for _, p := range d.peers {
				held := 0
				for no := range leaseCount {
					if d.table[no].holder == p.holder {
						held++
					}
				}
				if held != p.load {
					rt.Fatalf("a load of %d counted as %d", held, p.load)
				}
			}
		}
	})
}

// Only harmless work can be shared: there is no other way to come by a piece of work than the one check.
func TestOnlyIdempotentTasks(t *testing.T) {
	for k := TaskKind(0); k < 10; k++ {
		if w, err := NewTask(k, 1, false); !errors.Is(err, ErrNotIdempotent) || w.Valid() {
			t.Errorf("kind %d that must not run twice was let in", k)
		}
		w, err := NewTask(k, 1, true)
		if known := k == Refresh || k == HealthCheck; known != (err == nil) || known != w.Valid() || known && k.RepeatCost() == "" {
			t.Errorf("kind %d: %v", k, err)
		}
	}
	if (Task{}).Valid() {
		t.Error("work of no kind is valid")
	}
	s := Partitions{Refresh: 10, HealthChecks: 5}
	for key := range uint64(200) {
		w, _ := NewTask(Refresh, key, true)
		p, _ := NewTask(HealthCheck, key, true)
		if a, ok := s.LeaseOf(w); !ok || a >= 10 {
			t.Fatal("a renewal's duty", a)
		}
		if a, ok := s.LeaseOf(p); !ok || a < 10 || a >= 15 {
			t.Fatal("a probe's duty", a)
		}
	}
	if _, ok := s.LeaseOf(Task{}); ok {
		t.Error("work of no kind has a duty")
	}
}

// Whatever bytes come, nothing breaks, and what is cut short changes nothing.
func TestReceiveArbitraryBytes(t *testing.T) {
	d, b := newTestManager()
	for i := 1; i < 4; i++ {
		d.MemberChanged(0, testMember(i, 1))
	}
	other, theirs := newTestManager()
	for no := range leaseCount {
		other.claim(ID(no))
	}
	other.sendList(claims, netip.AddrPort{}, []ID{1, 5, 9, 30})
	other.sendDigest(netip.AddrPort{}, 0, other.bucketCount())
	other.sendQuery(netip.AddrPort{}, other.newDatagram(query), []ID{1, 2})
	whole := theirs.sent
	rapid.Check(t, func(rt *rapid.T) {
		x := append([]byte(nil), rapid.SampledFrom(whole).Draw(rt, "datagram")...)
		switch rapid.IntRange(0, 2).Draw(rt, "how") {
		case 0:
			x = x[:rapid.IntRange(0, len(x)).Draw(rt, "cut")]
		case 1:
			x[rapid.IntRange(0, len(x)-1).Draw(rt, "at")] ^= byte(1 << rapid.IntRange(0, 7).Draw(rt, "bit"))
		default:
			x = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "noise")
		}
		_ = d.Receive(1, netip.AddrPort{}, x)
		b.sent = nil
	})
	_ = d.Receive(1, netip.AddrPort{}, whole[0][:len(whole[0])-1])
	if d.stats.Unreadable == 0 {
		t.Error("nothing was found unreadable")
	}
}

func BenchmarkHolds(b *testing.B) {
	d, _ := newTestManager()
	d.Tick(second, inContact)
	d.Tick(2*second, inContact)
	b.ReportAllocs()
	for i := range b.N {
		d.Holds(ID(i%leaseCount), 2*second)
	}
}

const second = clock.Second
