package health

import (
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261203, 0) }

const second = clock.Second

// testRouter is a router's table of reports. It implements Output and records the calls.
type testRouter struct {
	reports *Reports
	index   int
	size    int // number of routers in the cluster
	updates []Report
	sent    []datagram
}

// datagram is a sent datagram that has not been delivered yet.
type datagram struct {
	to int // index of a router
	b  []byte
}

func (r *testRouter) Updated(report Report, _ bool) { r.updates = append(r.updates, report) }
func (r *testRouter) Send(to netip.AddrPort, b []byte) {
	r.sent = append(r.sent, datagram{int(to.Port()), append([]byte(nil), b...)})
}
func (r *testRouter) EachPeer(f func(netip.AddrPort)) {
	for i := range r.size {
		if i != r.index {
			f(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)))
		}
	}
}

// newTestRouters returns a cluster of routers with empty tables. The port of a router's address is its index.
func newTestRouters(size int, now Micros) []*testRouter {
	var routers []*testRouter
	for i := range size {
		r := &testRouter{index: i, size: size}
		r.reports = New(now, uint32(i+1), r)
		routers = append(routers, r)
	}
	return routers
}

// run simulates the cluster for the given time. Each datagram arrives in the tick in which it was sent.
func run(routers []*testRouter, now, span Micros) {
	for end := now + span; now < end; now += 20 * clock.Millisecond {
		for _, r := range routers {
			r.reports.Tick(now)
			for _, d := range r.sent {
				_ = routers[d.to].reports.Receive(now, d.b)
			}
			r.sent = nil
		}
	}
}

// TestReportReachesPeers checks that one router's health check makes checks by its peers unnecessary until the
// report is as old as the interval.
func TestReportReachesPeers(t *testing.T) {
	now := 100 * second
	routers := newTestRouters(6, now)
	routers[0].reports.RecordCheck(now, Report{Cache: 7, Healthy: true, Latency: 5 * clock.Millisecond, ObservedAt: now})
	run(routers, now, second)
	now += second
	for i, r := range routers {
		if len(r.updates) != 1 || !r.updates[0].Healthy || r.updates[0].Cache != 7 {
			t.Errorf("router %d received reports %+v, want one healthy report of cache 7", i, r.updates)
		}
		if r.reports.CheckDue(now, 7, 2*second) || !r.reports.CheckDue(now+2*second, 7, 2*second) {
			t.Errorf("router %d: check due after 0 s: %v, after the interval of 2 s: %v; want only the latter", i,
				r.reports.CheckDue(now, 7, 2*second), r.reports.CheckDue(now+2*second, 7, 2*second))
		}
		if !r.reports.CheckDue(now, 8, 2*second) {
			t.Errorf("router %d: no check is due for a cache that no router has checked", i)
		}
	}
}

// TestNewerReportWins checks that only a report that is newer than the known one of the cache, and not older than
// maxAge, replaces it and is passed to the Output.
func TestNewerReportWins(t *testing.T) {
	now := 100 * second
	tests := map[string]struct {
		observedAt Micros
		updates    int
	}{
		"newer":             {now, 2},
		"equally old":       {now - second, 1},
		"older":             {now - 2*second, 1},
		"older than maxAge": {now - maxAge - 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouters(1, now)[0]
			r.reports.RecordCheck(now, Report{Cache: 7, ObservedAt: now - second})
			r.reports.RecordCheck(now, Report{Cache: 7, ObservedAt: test.observedAt})
			if len(r.updates) != test.updates {
				t.Errorf("%d updates, want %d", len(r.updates), test.updates)
			}
		})
	}
}

// TestAnyBytes guards against datagrams that crash the decoder or are accepted in part: arbitrary bytes must be
// decoded, or rejected with ErrUnreadable, counted, and change nothing.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := 100 * second
		r := newTestRouters(1, now)[0]
		b := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes")
		if rapid.Bool().Draw(rt, "right version") && len(b) > 0 {
			b[0] = version
		}
		err := r.reports.Receive(now, b)
		rejected := r.reports.Stats().Unreadable == 1
		if errors.Is(err, ErrUnreadable) != rejected || rejected && len(r.updates) > 0 {
			rt.Fatalf("Receive returned %v, counts %+v, reports stored %+v; want no error and no unreadable datagram, "+
				"or %v, one unreadable datagram and no report", err, r.reports.Stats(), r.updates, ErrUnreadable)
		}
	})
}
