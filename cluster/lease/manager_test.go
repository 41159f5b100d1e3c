package lease

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/ratelimit"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

const (
	ms         = clock.Millisecond
	second     = clock.Second
	leaseCount = 37 // not a multiple of the bucket size
)

var inContact = membership.Contact{Settled: true}

// recorder is an Output that records its calls.
type recorder struct {
	acquired, released map[ID]Term
	sent               [][]byte
}

func (r *recorder) Send(_ netip.AddrPort, datagram []byte) {
	r.sent = append(r.sent, slices.Clone(datagram))
}
func (r *recorder) Acquired(id ID, term Term) { r.acquired[id] = term }
func (r *recorder) Released(id ID, term Term) { r.released[id] = term }
func (r *recorder) Log(string, ...slog.Attr)  {}

// testMember returns the alive member with index i in the zone of the test. Index 0 is the router under test.
func testMember(i int, incarnation membership.Incarnation) membership.Member {
	identity := membership.Identity{
		ID:          membership.NodeID(i + 1),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7946),
		Zone:        1,
		Weight:      1,
		Incarnation: incarnation,
	}
	return membership.Member{Identity: identity, State: membership.Alive}
}

// newTestManager returns the Manager of router 0, and its output.
func newTestManager() (*Manager, *recorder) {
	output := &recorder{acquired: map[ID]Term{}, released: map[ID]Term{}}
	return New(0, testMember(0, 1), output, 3, leaseCount, DefaultBalance), output
}

// modelLease is the expected claim of a lease.
type modelLease struct {
	term   Term
	holder Holder
}

// checkTable compares the table and the values derived from it with the model.
func checkTable(rt *rapid.T, mgr *Manager, model []modelLease, now Micros) {
	vacant := 0
	for id := range leaseCount {
		got, expected := &mgr.table[id], &model[id]
		if got.term != expected.term || got.holder != expected.holder {
			rt.Fatalf("lease %d: holder %x in term %d, want %x in term %d", id, got.holder, got.term, expected.holder,
				expected.term)
		}
		holder := mgr.byHolder[expected.holder]
		if departed := holder == nil || holder.State == membership.Leaving; departed != got.vacant {
			rt.Fatalf("lease %d: vacant is %v, want %v", id, got.vacant, departed)
		}
		if got.vacant {
			vacant++
		}
		if _, held := mgr.MayRun(ID(id), now); held && (expected.holder != mgr.selfHolder || !mgr.inContact) {
			rt.Fatalf("lease %d: MayRun returns true, but the holder is %x, this router is %x, in contact: %v", id,
				expected.holder, mgr.selfHolder, mgr.inContact)
		}
	}
	if vacant != mgr.vacantCount {
		rt.Fatalf("%d leases are vacant, vacantCount is %d", vacant, mgr.vacantCount)
	}
	sums := slices.Clone(mgr.bucketSums)
	clear(mgr.bucketSums)
	for id := range leaseCount {
		mgr.toggleSum(ID(id))
	}
	for i := range sums {
		if sums[i] != mgr.bucketSums[i] {
			rt.Fatalf("the sum of bucket %d is %x, want %x", i, sums[i], mgr.bucketSums[i])
		}
	}
	for _, peer := range mgr.peers {
		held := 0
		for id := range leaseCount {
			if mgr.table[id].holder == peer.holder {
				held++
			}
		}
		if held != peer.load {
			rt.Fatalf("member %d holds %d leases, its load is %d", peer.ID, held, peer.load)
		}
	}
}

// Compares the Manager with a model after random ticks, membership changes and received claims. Of all claims of a
// lease the one with the highest term must win, and at equal terms the one whose holder has the higher hash:
// otherwise tables would never converge. A lease of this router must be reported as acquired under the next term,
// and as released when another claim wins. A claim that loses must be answered with the one that wins.
func TestHighestClaimWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mgr, output := newTestManager()
		sender, senderOutput := newTestManager()
		model := make([]modelLease, leaseCount)
		for i := 1; i < 5; i++ {
			mgr.MemberChanged(0, testMember(i, 1))
		}
		now := Micros(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 200).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				mgr.Tick(now, inContact)
				for id, term := range output.acquired {
					expected := &model[id]
					if term <= expected.term {
						continue
					}
					if term != expected.term+1 {
						rt.Fatalf("lease %d was acquired under term %d, want %d", id, term, expected.term+1)
					}
					*expected = modelLease{term, mgr.selfHolder}
				}
			case 1:
				mgr.MemberChanged(now, drawMember(rt))
			default:
				holder := HolderOf(membership.NodeID(rapid.IntRange(2, 5).Draw(rt, "holder")), 1)
				id := ID(rapid.IntRange(0, leaseCount-1).Draw(rt, "lease"))
				term := Term(rapid.IntRange(1, 6).Draw(rt, "term"))
				sender.table[id] = leaseEntry{term: term, holder: holder}
				sentBefore := len(output.sent)
				senderOutput.sent, sender.limiter = nil, ratelimit.New(sender.now, datagramsPerSecond, datagramBurst)
				sender.sendClaims(claims, netip.AddrPort{}, []ID{id})
				if err := mgr.Receive(now, netip.AddrPort{}, senderOutput.sent[0]); err != nil {
					rt.Fatal(err)
				}
				expected := &model[id]
				if term > expected.term || term == expected.term && outranks(id, holder, expected.holder) {
					if expected.holder == mgr.selfHolder && output.released[id] != expected.term {
						rt.Fatalf("lease %d was not reported as released from term %d", id, expected.term)
					}
					*expected = modelLease{term, holder}
				} else if holder != expected.holder && len(output.sent) == sentBefore && mgr.limiter.Tokens() >= 1 {
					rt.Fatalf("lease %d: a claim of term %d had no reply with the claim of term %d", id, term, expected.term)
				}
			}
			checkTable(rt, mgr, model, now)
		}
	})
}

// drawMember returns one of the other members in a random incarnation and state.
func drawMember(rt *rapid.T) membership.Member {
	i := rapid.IntRange(1, 4).Draw(rt, "member")
	member := testMember(i, membership.Incarnation(rapid.IntRange(1, 3).Draw(rt, "incarnation")))
	states := []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead}
	member.State = rapid.SampledFrom(states).Draw(rt, "state")
	return member
}

// Arbitrary bytes, truncated datagrams and flipped bits must not cause a panic, and a truncated datagram must count
// as unreadable.
func TestReceiveArbitraryBytes(t *testing.T) {
	mgr, output := newTestManager()
	for i := 1; i < 4; i++ {
		mgr.MemberChanged(0, testMember(i, 1))
	}
	sender, senderOutput := newTestManager()
	for id := range leaseCount {
		sender.claim(ID(id))
	}
	sender.sendClaims(claims, netip.AddrPort{}, []ID{1, 5, 9, 30})
	sender.sendDigest(netip.AddrPort{}, 0, sender.bucketCount())
	sender.sendQuery(netip.AddrPort{}, []ID{1, 2})
	validDatagrams := senderOutput.sent
	rapid.Check(t, func(rt *rapid.T) {
		b := slices.Clone(rapid.SampledFrom(validDatagrams).Draw(rt, "datagram"))
		switch rapid.IntRange(0, 2).Draw(rt, "fault") {
		case 0:
			b = b[:rapid.IntRange(0, len(b)).Draw(rt, "length")]
		case 1:
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "index")] ^= byte(1 << rapid.IntRange(0, 7).Draw(rt, "bit"))
		default:
			b = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "noise")
		}
		_ = mgr.Receive(1, netip.AddrPort{}, b)
		output.sent = nil
	})
	_ = mgr.Receive(1, netip.AddrPort{}, validDatagrams[0][:len(validDatagrams[0])-1])
	if mgr.stats.Unreadable == 0 {
		t.Error("no datagram was counted as unreadable, want at least the one truncated by a byte")
	}
}

// BenchmarkMayRun measures the check before each task.
func BenchmarkMayRun(b *testing.B) {
	mgr, _ := newTestManager()
	mgr.Tick(second, inContact)
	mgr.Tick(2*second, inContact)
	b.ReportAllocs()
	for i := range b.N {
		mgr.MayRun(ID(i%leaseCount), 2*second)
	}
}
