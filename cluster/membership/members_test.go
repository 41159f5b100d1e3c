package membership

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// recorder is an Output that records its calls.
type recorder struct {
	sent    [][]byte
	changes []Member
}

func (r *recorder) Send(_ netip.AddrPort, datagram []byte) {
	r.sent = append(r.sent, slices.Clone(datagram))
}
func (r *recorder) Changed(m Member)         { r.changes = append(r.changes, m) }
func (r *recorder) Log(string, ...slog.Attr) {}

// testIdentity returns the identity of router i. Router 0 is the one under test.
func testIdentity(i int, incarnation Incarnation) Identity {
	return Identity{
		ID:          NodeID(i + 1),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7946),
		Zone:        1,
		Weight:      1,
		Incarnation: incarnation,
	}
}

// newTestMembers returns the Members of router 0 in incarnation 10, with the given number of configured peers.
func newTestMembers(peers int) (*Members, *recorder) {
	output := &recorder{}
	m := New(0, testIdentity(0, 10), output, 5, DefaultTiming, DefaultSuspicion)
	var configured []Peer
	for i := 1; i <= peers; i++ {
		configured = append(configured, Peer{NodeID(i + 1), testIdentity(i, 0).Address})
	}
	m.AddPeers(configured)
	return m, output
}

// testDatagram returns an ack of an alive router for the ping with sequence number 0, with entries of other
// members.
func testDatagram(reporter Identity, refutations Refutations, others ...entry) []byte {
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: reporter, refutations: refutations, state: Alive})
	b = append(b, 0)
	for i := range others {
		b = appendEntry(b, &others[i])
	}
	return b
}

// modelMember is the expected state of a member.
type modelMember struct {
	incarnation Incarnation
	refutations Refutations
	state       State
	suspected   Micros // time of the last suspicion
}

// checkAndApply fails the test if a reported change is not permitted in the member's present state, and applies it
// to the model.
func (p *modelMember) checkAndApply(rt *rapid.T, m *Members, reported Member) {
	switch {
	case reported.Incarnation < p.incarnation:
		rt.Fatalf("member %d: incarnation %d is reported after %d", reported.ID, reported.Incarnation, p.incarnation)
	case reported.Incarnation > p.incarnation:
		*p = modelMember{incarnation: reported.Incarnation, state: reported.State, suspected: m.now}
		if !reported.State.Present() {
			rt.Fatalf("member %d: incarnation %d begins in state %v", reported.ID, reported.Incarnation, reported.State)
		}
		return
	}
	sinceSuspicion := m.now - p.suspected
	if reported.State == Dead && (p.state != Suspect || sinceSuspicion < m.suspicion.MinTimeout) {
		rt.Fatalf("member %d: dead after state %v, suspected %v ms ago; want a suspicion at least %v ms ago", reported.ID,
			p.state, sinceSuspicion.Millis(), m.suspicion.MinTimeout.Millis())
	}
	if reported.State == Suspect && p.state != Suspect {
		p.suspected = m.now
	}
	p.state = reported.State
}

// Compares the Members with a model after random ticks and received reports. The incarnation of a member must
// never decrease, and neither must the number of its refutations within an incarnation. A member must be declared
// dead only after a suspicion that it did not refute, never because of a single report: otherwise one faulty
// router could make all others declare running routers dead. Every sent datagram must be decodable.
func TestMergeAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, output := newTestMembers(4)
		model := map[NodeID]*modelMember{}
		now := Micros(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 400).Draw(rt, "pause")) * clock.Millisecond
			output.changes = output.changes[:0]
			if rapid.Bool().Draw(rt, "tick") {
				m.Tick(now)
			} else {
				receiveRandom(rt, m, now)
			}
			for _, reported := range output.changes {
				if reported.ID == m.self.ID {
					continue
				}
				if model[reported.ID] == nil {
					model[reported.ID] = &modelMember{}
				}
				model[reported.ID].checkAndApply(rt, m, reported)
			}
			for _, member := range m.members {
				expected := model[member.ID]
				if expected == nil {
					continue
				}
				decreased := member.refutations < expected.refutations && member.Incarnation == expected.incarnation
				if member.Incarnation != expected.incarnation || member.State != expected.state || decreased {
					rt.Fatalf("member %d is %v in incarnation %d with %d refutations, want %v in %d with at least %d",
						member.ID, member.State, member.Incarnation, member.refutations,
						expected.state, expected.incarnation, expected.refutations)
				}
				expected.refutations = member.refutations
			}
			for _, b := range output.sent {
				sent, err := decode(b)
				// Router 0 starts with incarnation 10.
				if err != nil || len(b) > MaxPayload || sent.sender.Incarnation < 10 || sent.sender.state != Alive {
					rt.Fatalf("invalid datagram of %d bytes sent, error %v, sender's entry %+v", len(b), err, sent.sender)
				}
			}
			output.sent = nil
		}
	})
}

// receiveRandom passes the router a datagram in which a random router reports about itself and about another
// router, which may be the router under test or an unknown one.
func receiveRandom(rt *rapid.T, m *Members, now Micros) {
	reporter := testIdentity(
		rapid.IntRange(1, 4).Draw(rt, "by"), Incarnation(rapid.IntRange(1, 3).Draw(rt, "its incarnation")))
	subject := testIdentity(
		rapid.IntRange(0, 5).Draw(rt, "of"), Incarnation(rapid.IntRange(1, 12).Draw(rt, "incarnation")))
	e := entry{
		Identity:    subject,
		refutations: Refutations(rapid.IntRange(0, 4).Draw(rt, "refutations")),
		state:       State(rapid.IntRange(1, int(Left)).Draw(rt, "state")),
	}
	datagram := testDatagram(reporter, Refutations(rapid.IntRange(0, 4).Draw(rt, "its refutations")), e)
	if err := m.Receive(now, reporter.Address, datagram); err != nil {
		rt.Fatal(err)
	}
}

// If others know a later incarnation of a router than its own, because its clock was ahead at an earlier start,
// they ignore its reports. It must then continue with a still later incarnation, and report the change.
func TestLaterIncarnationOfSelf(t *testing.T) {
	m, output := newTestMembers(1)
	later := entry{Identity: testIdentity(0, 99), state: Dead}
	_ = m.Receive(1, testIdentity(1, 1).Address, testDatagram(testIdentity(1, 1), 0, later))
	n := len(output.changes)
	if m.self.Incarnation != 100 || n < 2 || output.changes[n-1].Incarnation != 100 {
		t.Fatalf("incarnation %d, want 100; reported changes: %+v", m.self.Incarnation, output.changes)
	}
}

// Each further accuser must shorten the timeout of a suspicion within its limits, and a slow router must extend it,
// so that it does not declare members dead whose refutations it receives late.
func TestSuspicionTimeout(t *testing.T) {
	m, _ := newTestMembers(6)
	for i := 1; i <= 6; i++ {
		_ = m.Receive(1, testIdentity(i, 1).Address, testDatagram(testIdentity(i, 1), 0))
	}
	suspect := m.find(2)
	var last Micros // timeout with one accuser less
	for accuser := NodeID(3); accuser < 7; accuser++ {
		m.suspect(suspect, 0, accuser)
		timeout := m.suspicionTimeout(suspect)
		if last > 0 && timeout >= last || timeout < m.suspicion.MinTimeout || timeout > m.suspicion.MaxTimeout {
			t.Errorf("with %d accusers the timeout is %v ms, want less than %v ms within %v to %v ms", suspect.accuserCount,
				timeout.Millis(), last.Millis(), m.suspicion.MinTimeout.Millis(), m.suspicion.MaxTimeout.Millis())
		}
		last = timeout
	}
	m.localHealth = maxLocalHealth
	if m.suspicionTimeout(suspect) <= last {
		t.Errorf("the timeout at a slow router is %v ms, want more than %v ms", m.suspicionTimeout(suspect).Millis(),
			last.Millis())
	}
}

// Arbitrary bytes, truncated datagrams and flipped bits must not cause a panic, and some must count as unreadable.
func TestReceiveArbitraryBytes(t *testing.T) {
	m, output := newTestMembers(3)
	rapid.Check(t, func(rt *rapid.T) {
		b := testDatagram(testIdentity(1, 5), 1, entry{Identity: testIdentity(2, 3), state: Suspect, accuser: 9})
		b[0] = byte(rapid.IntRange(0, int(kindsEnd)).Draw(rt, "kind"))
		switch rapid.IntRange(0, 2).Draw(rt, "fault") {
		case 0:
			b = b[:rapid.IntRange(0, len(b)).Draw(rt, "length")]
		case 1:
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "index")] ^= byte(1 << rapid.IntRange(0, 7).Draw(rt, "bit"))
		default:
			b = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "noise")
		}
		_ = m.Receive(m.callerClock+1, testIdentity(1, 5).Address, b)
		output.sent, output.changes = nil, nil
	})
	if m.stats.Unreadable == 0 {
		t.Error("no datagram was counted as unreadable, want at least one")
	}
}

// newFullMembers returns the Members of a router that knows 99 alive members.
func newFullMembers() *Members {
	m, _ := newTestMembers(99)
	for i := 1; i <= 99; i++ {
		_ = m.Receive(1, testIdentity(i, 1).Address, testDatagram(testIdentity(i, 1), 0))
	}
	m.output = discard{}
	return m
}

// discard is an Output that ignores its calls.
type discard struct{}

func (discard) Send(netip.AddrPort, []byte) {}
func (discard) Changed(Member)              {}
func (discard) Log(string, ...slog.Attr)    {}

// BenchmarkTick measures a Tick every 20 ms of a router with 99 other members.
func BenchmarkTick(b *testing.B) {
	m := newFullMembers()
	b.ReportAllocs()
	for i := range b.N {
		m.Tick(Micros(i) * 20 * clock.Millisecond)
		if i%50 == 0 { // no member answers, so without this all would soon be dead
			for _, r := range m.members {
				r.State = Alive
			}
			m.ownSuspects = m.ownSuspects[:0]
			m.localHealth = 0
		}
	}
}

// BenchmarkReceive measures the handling of a ping with two entries of alive members, including its ack.
func BenchmarkReceive(b *testing.B) {
	m := newFullMembers()
	datagram := testDatagram(testIdentity(1, 1), 0,
		entry{Identity: testIdentity(2, 1), state: Alive}, entry{Identity: testIdentity(3, 1), state: Alive})
	datagram[0] = byte(ping)
	b.ReportAllocs()
	for i := range b.N {
		_ = m.Receive(Micros(i)*10*clock.Millisecond, testIdentity(1, 1).Address, datagram)
	}
}
