package refresh

import (
	"errors"
	"net/netip"
	"testing"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
)

var peer = netip.MustParseAddrPort("127.0.0.1:7000")

// testHost is a LeaseTable and Executor that records the Manager's output. Either this router holds all leases, or peer
// does.
type testHost struct {
	holdsLeases bool // whether this router holds all leases
	refreshes   []Refresh
	datagrams   [][]byte
}

func (h *testHost) MayRun(lease.Task) bool { return h.holdsLeases }

func (h *testHost) LeaseHolder(lease.Task) (netip.AddrPort, bool) { return peer, !h.holdsLeases }

func (h *testHost) Refresh(_ lease.Task, r Refresh) { h.refreshes = append(h.refreshes, r) }

func (h *testHost) Send(_ netip.AddrPort, datagram []byte) {
	h.datagrams = append(h.datagrams, append([]byte(nil), datagram...))
}

// newTestManager returns a Manager with three classes: 0 can be refreshed, 1 is not idempotent, and the copies of 2
// do not become stale.
func newTestManager(holdsLeases bool) (*Manager, *testHost) {
	host := &testHost{holdsLeases: holdsLeases}
	classes := []Class{
		{FreshnessLifetime: 10 * clock.Second, Idempotent: true},
		{FreshnessLifetime: 10 * clock.Second},
		{Idempotent: true},
	}
	return New(0, classes, host, host), host
}

// TestOwnCopyIsRefreshedOncePerLifetime checks that the lease's holder schedules one refresh of a copy per
// freshness lifetime, in its last 30% and due before its last 20%, and ignores copies that can't be refreshed.
func TestOwnCopyIsRefreshedOncePerLifetime(t *testing.T) {
	m, host := newTestManager(true)
	const second = clock.Second
	for _, step := range []struct {
		name      string
		now       Micros
		copy      Copy
		refreshes int // total number after the step
		notBefore Micros
		due       Micros
	}{
		{"a copy", 0, Copy{Object: 1, FreshUntil: 10 * second}, 1, 7 * second, 8 * second},
		{"the same copy again", second, Copy{Object: 1, FreshUntil: 10 * second}, 1, 0, 0},
		{"a later fill", 8 * second, Copy{Object: 1, FreshUntil: 18 * second}, 2, 15 * second, 16 * second},
		{"a stale copy", 9 * second, Copy{Object: 2, FreshUntil: 9 * second}, 2, 0, 0},
		{"a class that is not idempotent", 9 * second, Copy{Object: 3, Class: 1, FreshUntil: 18 * second}, 2, 0, 0},
		{"a class without staleness", 9 * second, Copy{Object: 4, Class: 2, FreshUntil: 18 * second}, 2, 0, 0},
		{"an unknown class", 9 * second, Copy{Object: 5, Class: 3, FreshUntil: 18 * second}, 2, 0, 0},
	} {
		before := len(host.refreshes)
		m.ObserveCopy(step.now, step.copy)
		if len(host.refreshes) != step.refreshes {
			t.Fatalf("%s: %d refreshes, want %d", step.name, len(host.refreshes), step.refreshes)
		}
		if step.refreshes == before {
			continue
		}
		last := host.refreshes[step.refreshes-1]
		if last.NotBefore != step.notBefore || last.Due != step.due {
			t.Errorf("%s: not before %d, due %d, want %d and %d",
				step.name, last.NotBefore, last.Due, step.notBefore, step.due)
		}
	}
	if m.Stats().Ignored != 4 {
		t.Errorf("%d copies ignored, want 4", m.Stats().Ignored)
	}
}

// TestReportReachesTheHolder checks that a copy whose lease another router holds is reported to that router
// unchanged, except that the end of its freshness lifetime is converted to that router's clock.
func TestReportReachesTheHolder(t *testing.T) {
	m, host := newTestManager(false)
	holderManager, holderHost := newTestManager(true)
	observed := Copy{
		Object:     7,
		Part:       3,
		Group:      9,
		SizeKB:     40,
		FreshUntil: 6 * clock.Second,
		RequestGap: 250 * clock.Millisecond,
	}
	m.ObserveCopy(0, observed)
	m.Tick(sendInterval)
	if len(host.datagrams) != 1 || len(host.refreshes) != 0 {
		t.Fatalf("%d datagrams and %d refreshes, want 1 and 0", len(host.datagrams), len(host.refreshes))
	}
	const holderTime = clock.Minute // the clocks of two routers are unrelated
	if err := holderManager.Receive(holderTime, host.datagrams[0]); err != nil {
		t.Fatal(err)
	}
	want := observed
	want.FreshUntil += holderTime - sendInterval
	if len(holderHost.refreshes) != 1 || holderHost.refreshes[0].Copy != want {
		t.Fatalf("the holder scheduled the refreshes %+v, want one of copy %+v", holderHost.refreshes, want)
	}
	if got, ok := holderManager.Lookup(want.Key()); !ok || got != want {
		t.Errorf("the holder tracks copy %+v (found: %v), want %+v", got, ok, want)
	}
}

// TestReportsAreRateLimited checks that the queue of reports is limited, and that datagrams to other routers are
// limited to a burst and a steady rate.
func TestReportsAreRateLimited(t *testing.T) {
	m, host := newTestManager(false)
	for object := range uint64(maxQueued + 1) {
		m.ObserveCopy(0, Copy{Object: object + 1, FreshUntil: clock.Minute})
	}
	if m.Stats().Dropped != 1 {
		t.Errorf("%d copies dropped, want 1: the queue holds all but one", m.Stats().Dropped)
	}
	m.Tick(sendInterval)
	if len(host.datagrams) != datagramBurst {
		t.Fatalf("%d datagrams in a burst, want %v", len(host.datagrams), datagramBurst)
	}
	m.Tick(2 * sendInterval)
	// 2 = datagramsPerSecond * sendInterval
	if further := len(host.datagrams) - datagramBurst; further != 2 {
		t.Errorf("%d datagrams in the next %d ms, want 2", further, sendInterval/clock.Millisecond)
	}
}

// TestUnreadableDatagrams checks that no copy of a datagram is used if the datagram is empty, truncated, too long
// or of another version.
func TestUnreadableDatagrams(t *testing.T) {
	sender, host := newTestManager(false)
	sender.ObserveCopy(0, Copy{Object: 1, FreshUntil: clock.Minute})
	sender.ObserveCopy(0, Copy{Object: 2, FreshUntil: clock.Minute})
	sender.Tick(sendInterval)
	valid := host.datagrams[0]
	for _, unreadable := range [][]byte{nil, {wireVersion + 1}, valid[:len(valid)-1], make([]byte, MaxPayload+1)} {
		m, receiver := newTestManager(true)
		if err := m.Receive(0, unreadable); !errors.Is(err, ErrUnreadable) {
			t.Errorf("datagram of %d bytes: error %v, want %v", len(unreadable), err, ErrUnreadable)
		}
		if len(receiver.refreshes) != 0 || m.Stats().Unreadable != 1 {
			t.Errorf("datagram of %d bytes: %d refreshes, want none; %d datagrams counted as unreadable, want 1",
				len(unreadable), len(receiver.refreshes), m.Stats().Unreadable)
		}
	}
}
