package fleetsize

import (
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

// logLines implements Output. It records the messages.
type logLines []string

func (l *logLines) Log(message string, _ ...slog.Attr) { *l = append(*l, message) }

const second = clock.Second

// testMember returns the router with index i. Routers with even indexes are in zone 0, the others in zone 1.
func testMember(i int, state membership.State) membership.Member {
	self := membership.Identity{ID: membership.NodeID(i + 1), Zone: uint16(i % 2)}
	return membership.Member{Identity: self, State: state}
}

// drawContact draws a state of contact. In most cases the router is settled and not alone.
func drawContact(t *rapid.T) membership.Contact {
	return membership.Contact{
		Settled:  rapid.IntRange(0, 9).Draw(t, "settled") > 0,
		Alone:    rapid.IntRange(0, 9).Draw(t, "alone") == 0,
		SinceAck: Micros(rapid.IntRange(0, 1500).Draw(t, "since ack")) * clock.Millisecond,
	}
}

// TestNeverTooSmall guards against an estimate that overloads the shared endpoints: after each random change of a
// member, the estimate must be at least the number of present routers, at least the configured size while this
// router is out of contact, and at least that size minus the routers gone for longer than the hold. It must fall
// no faster than permitted.
func TestNeverTooSmall(t *testing.T) {
	states := []membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left}
	rapid.Check(t, func(rt *rapid.T) {
		const others = 12
		configured := Size{6, others + 1} // routers in the zone and in the fleet
		e := New(0, 0, configured, &logLines{}, DefaultTiming)
		present := map[int]bool{}
		goneAt := map[int]Micros{}
		now := Micros(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			before := e.Size()
			pause := Micros(rapid.IntRange(1, 4000).Draw(rt, "pause")) * clock.Millisecond
			now += pause
			e.Tick(now, drawContact(rt))
			i := rapid.IntRange(0, others-1).Draw(rt, "who")
			state := rapid.SampledFrom(states).Draw(rt, "state")
			if _, known := present[i]; !state.Present() && (present[i] || !known) {
				goneAt[i] = now
			}
			present[i] = state.Present()
			e.MemberChanged(now, testMember(i, state))
			presentCount, goneCount := 1, 0
			for j := range others {
				if present[j] {
					presentCount++
				} else if goneAt[j] > 0 && now-goneAt[j] >= DefaultTiming.Hold {
					goneCount++
				}
			}
			got := e.Size().Fleet
			tooSmall := got < presentCount || got < configured.Fleet-goneCount
			if tooSmall || e.State() == Configured && got < configured.Fleet {
				rt.Fatalf("size %d in state %v, want at least the %d present routers, and %d less the %d gone for the hold",
					got, e.State(), presentCount, configured.Fleet, goneCount)
			}
			maxFall := DefaultTiming.FallSharePerSecond*float64(configured.Fleet)*pause.Seconds() + 1
			if float64(before.Fleet-got) > maxFall {
				rt.Fatalf("size fell from %d to %d within %.3f s, want a fall of at most %.2f",
					before.Fleet, got, pause.Seconds(), maxFall)
			}
		}
	})
}

// TestMassDeathAndReturn removes 7 of 11 routers at once. Since this may be a partition, the estimate must not
// fall during the longer hold; falling then would overload the endpoints that both sides share. After the hold it
// must fall to the number of present routers, rise at once with the first returning routers, and be the configured
// size at once when this router is out of contact.
func TestMassDeathAndReturn(t *testing.T) {
	var lines logLines
	e := New(0, 0, Size{5, 11}, &lines, DefaultTiming)
	now := Micros(0)
	run := func(span Micros, contact membership.Contact) {
		for end := now + span; now < end; now += 20 * clock.Millisecond {
			e.Tick(now, contact)
		}
	}
	inContact := membership.Contact{Settled: true}
	for i := range 10 {
		e.MemberChanged(now, testMember(i, membership.Alive))
	}
	run(second, inContact)
	for i := range 7 {
		e.MemberChanged(now, testMember(i, membership.Dead))
	}
	run(DefaultTiming.PartitionHold-second, inContact)
	if e.Size().Fleet != 11 {
		t.Fatalf("fleet size %d during the longer hold, want 11", e.Size().Fleet)
	}
	run(30*second, inContact)
	if e.Size() != (Size{2, 4}) {
		t.Fatalf("size %+v after the hold, want 2 in the zone and 4 in the fleet", e.Size())
	}
	e.MemberChanged(now, testMember(0, membership.Alive))
	e.MemberChanged(now, testMember(1, membership.Alive))
	if e.Size() != (Size{3, 6}) {
		t.Fatalf("size %+v after two routers returned, want 3 in the zone and 6 in the fleet", e.Size())
	}
	run(second, membership.Contact{Settled: true, SinceAck: 2 * second})
	if e.Size() != (Size{5, 11}) || len(lines) != 1 {
		t.Fatalf("size %+v and log lines %q out of contact, want the configured size and one line", e.Size(), lines)
	}
}
