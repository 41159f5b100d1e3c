package fleetsize

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

type notes []string

func (n *notes) Note(line string) { *n = append(*n, line) }

const second = clock.Second

var well = membership.Contact{Settled: true}

func member(i int, state membership.State) membership.Member {
	return membership.Member{Identity: membership.Identity{ID: membership.NodeID(i + 1), Zone: uint16(i % 2)}, State: state}
}

// After every step the count is no less than who is there, no less than what the settings name while this router is out of contact, no
// less than what they name less those that are gone for a hold, and it falls no faster than its pace.
func TestNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const all = 12
		named := Size{6, all + 1}
		p := New(0, 0, named, &notes{}, DefaultTiming)
		there := map[int]bool{}
		left := map[int]Micros{}
		now := Micros(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			was := p.Size()
			pause := Micros(rapid.IntRange(1, 4000).Draw(rt, "pause")) * clock.Millisecond
			now += pause
			at := membership.Contact{Settled: rapid.IntRange(0, 9).Draw(rt, "settled") > 0, Alone: rapid.IntRange(0, 9).Draw(rt, "alone") == 0,
				SinceAck: Micros(rapid.IntRange(0, 1500).Draw(rt, "silence")) * clock.Millisecond}
			p.Tick(now, at)
			i := rapid.IntRange(0, all-1).Draw(rt, "who")
			state := rapid.SampledFrom([]membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left}).Draw(rt, "state")
			if _, met := there[i]; !state.Present() && (there[i] || !met) {
				left[i] = now
			}
			there[i] = state.Present()
			p.MemberChanged(now, member(i, state))
			n, gone := 1, 0
			for j := range all {
				if there[j] {
					n++
				} else if left[j] > 0 && now-left[j] >= DefaultTiming.Hold {
					gone++
				}
			}
			got := p.Size().Fleet
			if got < n || p.State() == Named && got < named.Fleet || got < named.Fleet-gone {
				rt.Fatalf("%d share, %d there, %d gone for a hold, %v", got, n, gone, p.State())
			}
			if slow := DefaultTiming.Fall*float64(named.Fleet)*pause.Seconds() + 1; float64(was.Fleet-got) > slow {
				rt.Fatalf("fell from %d to %d in %v", was.Fleet, got, pause)
			}
		}
	})
}

// Seven in ten are gone: as a split looks the same, nothing falls for the long hold; then it falls to those that are there. With the
// first that are back it rises at once. Out of contact, it is at once what the settings name.
func TestMassDeathAndReturn(t *testing.T) {
	var lines notes
	p := New(0, 0, Size{5, 11}, &lines, DefaultTiming)
	now := Micros(0)
	run := func(span Micros, at membership.Contact) {
		for end := now + span; now < end; now += 20 * clock.Millisecond {
			p.Tick(now, at)
		}
	}
	for i := range 10 {
		p.MemberChanged(now, member(i, membership.Alive))
	}
	run(second, well)
	for i := range 7 {
		p.MemberChanged(now, member(i, membership.Dead))
	}
	run(DefaultTiming.Long-second, well)
	if p.Size().Fleet != 11 {
		t.Fatalf("%d share within the hold", p.Size().Fleet)
	}
	run(30*second, well)
	if p.Size() != (Size{2, 4}) {
		t.Fatalf("%+v share after it", p.Size())
	}
	p.MemberChanged(now, member(0, membership.Alive))
	p.MemberChanged(now, member(1, membership.Alive))
	if p.Size() != (Size{3, 6}) {
		t.Fatalf("%+v share with two back", p.Size())
	}
	run(second, membership.Contact{Settled: true, SinceAck: 2 * second})
	if p.Size() != (Size{5, 11}) || len(lines) != 1 {
		t.Fatalf("%+v share out of contact, %v", p.Size(), lines)
	}
}
