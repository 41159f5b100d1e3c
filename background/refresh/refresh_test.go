package refresh

import (
	"errors"
	"net/netip"
	"testing"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
)

var peer = netip.MustParseAddrPort("127.0.0.1:7000")

// testHost is a LeaseTable and Executor. It holds all leases itself or knows that the peer does, and records the
// Manager's output.
type testHost struct {
	mine      bool
	refreshes []Refresh
	datagrams [][]byte
}

func (h *testHost) HoldsLease(lease.Task) bool { return h.mine }

func (h *testHost) LeaseHolder(lease.Task) (netip.AddrPort, bool) { return peer, !h.mine }

func (h *testHost) Refresh(_ lease.Task, r Refresh) { h.refreshes = append(h.refreshes, r) }

func (h *testHost) Send(_ netip.AddrPort, datagram []byte) {
	h.datagrams = append(h.datagrams, append([]byte(nil), datagram...))
}

func newTestManager(mine bool) (*Manager, *testHost) {
	host := &testHost{mine: mine}
	classes := []Class{
		{FreshTime: 10 * clock.Second, Idempotent: true},
		{FreshTime: 10 * clock.Second},
		{Idempotent: true},
	}
	return New(0, classes, host, host), host
}

// A copy must be refreshed by the lease's holder, within the last third of its freshness lifetime and once per
// lifetime.
func TestOwnCopyIsRefreshedOncePerFreshTime(t *testing.T) {
	m, host := newTestManager(true)
	const second = clock.Second
	for _, step := range []struct {
		name      string
		now       Micros
		copy      Copy
		refreshes int
		notBefore Micros
		due       Micros
	}{
		{"a copy", 0, Copy{Object: 1, FreshUntil: 10 * second}, 1, 7 * second, 8 * second},
		{"the same again", second, Copy{Object: 1, FreshUntil: 10 * second}, 1, 0, 0},
		{"a later fill", 8 * second, Copy{Object: 1, FreshUntil: 18 * second}, 2, 15 * second, 16 * second},
		{"past its fresh time", 9 * second, Copy{Object: 2, FreshUntil: 9 * second}, 2, 0, 0},
		{"not idempotent", 9 * second, Copy{Object: 3, Class: 1, FreshUntil: 18 * second}, 2, 0, 0},
		{"does not age", 9 * second, Copy{Object: 4, Class: 2, FreshUntil: 18 * second}, 2, 0, 0},
		{"unknown class", 9 * second, Copy{Object: 5, Class: 3, FreshUntil: 18 * second}, 2, 0, 0},
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
			t.Errorf("%s: from %d, due %d, want %d and %d", step.name, last.NotBefore, last.Due, step.notBefore, step.due)
		}
	}
	if m.Stats().Ignored != 4 {
		t.Errorf("%d copies ignored, want 4", m.Stats().Ignored)
	}
}

// A copy whose lease another router holds must reach that router unchanged, except for the clock.
func TestReportReachesTheHolder(t *testing.T) {
	m, host := newTestManager(false)
	holder, holderHost := newTestManager(true)
	seen := Copy{
		Object:     7,
		Part:       3,
		Group:      9,
		SizeKB:     40,
		FreshUntil: 6 * clock.Second,
		RequestGap: 250 * clock.Millisecond,
	}
	m.ObserveCopy(0, seen)
	m.Tick(sendInterval)
	if len(host.datagrams) != 1 || len(host.refreshes) != 0 {
		t.Fatalf("%d datagrams and %d refreshes, want 1 and 0", len(host.datagrams), len(host.refreshes))
	}
	const holderTime = clock.Minute
	if err := holder.Receive(holderTime, host.datagrams[0]); err != nil {
		t.Fatal(err)
	}
	want := seen
	want.FreshUntil += holderTime - sendInterval
	if len(holderHost.refreshes) != 1 || holderHost.refreshes[0].Copy != want {
		t.Fatalf("refreshes %+v, want one of %+v", holderHost.refreshes, want)
	}
	if got, ok := holder.Lookup(want.Key()); !ok || got != want {
		t.Errorf("tracked copy %+v, %v", got, ok)
	}
}

// Datagrams to other routers must be limited to a burst and a steady rate.
func TestReportsAreRateLimited(t *testing.T) {
	m, host := newTestManager(false)
	for object := range uint64(maxQueued + 1) {
		m.ObserveCopy(0, Copy{Object: object + 1, FreshUntil: clock.Minute})
	}
	if m.Stats().Dropped != 1 {
		t.Errorf("%d copies dropped, want 1, which exceeds the queue's limit", m.Stats().Dropped)
	}
	m.Tick(sendInterval)
	if len(host.datagrams) != datagramBurst {
		t.Fatalf("%d datagrams in a burst, want %v", len(host.datagrams), datagramBurst)
	}
	m.Tick(2 * sendInterval)
	if further := len(host.datagrams) - datagramBurst; further != 2 {
		t.Errorf("%d datagrams in the next %d ms, want 2", further, sendInterval/clock.Millisecond)
	}
}

// No part of a truncated datagram may be used.
func TestUnreadableDatagrams(t *testing.T) {
	sender, host := newTestManager(false)
	sender.ObserveCopy(0, Copy{Object: 1, FreshUntil: clock.Minute})
	sender.ObserveCopy(0, Copy{Object: 2, FreshUntil: clock.Minute})
	sender.Tick(sendInterval)
	complete := host.datagrams[0]
	for _, faulty := range [][]byte{nil, {wireVersion + 1}, complete[:len(complete)-1], make([]byte, MaxDatagram+1)} {
		m, receiver := newTestManager(true)
		if err := m.Receive(0, faulty); !errors.Is(err, ErrUnreadable) {
			t.Errorf("datagram of %d bytes: error %v", len(faulty), err)
		}
		if len(receiver.refreshes) != 0 || m.Stats().Unreadable != 1 {
			t.Errorf("datagram of %d bytes: %d refreshes, %d unreadable",
				len(faulty), len(receiver.refreshes), m.Stats().Unreadable)
		}
	}
}
