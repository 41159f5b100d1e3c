package control

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const testNow = 1000 * clock.Second

// A router must not run the tasks of its leases while it is out of contact or its control goroutine has stalled, since
// another router may have claimed them. An ID beyond the table must not be treated as a lease.
func TestSnapshotLeases(t *testing.T) {
	other := netip.MustParseAddrPort("10.0.0.2:1")
	table := &leaseTable{heldHere: []bool{true, false, false}, holders: []netip.AddrPort{{}, other, {}}, heldCount: 1}
	for _, test := range []struct {
		name      string
		inContact bool
		age       Micros
		id        lease.ID
		holds     bool
		holder    netip.AddrPort
	}{
		{"own lease", true, 0, 0, true, netip.AddrPort{}},
		{"own lease, oldest snapshot trusted", true, maxSnapshotAge, 0, true, netip.AddrPort{}},
		{"own lease, control has stopped", true, maxSnapshotAge + 1, 0, false, netip.AddrPort{}},
		{"own lease, out of contact", false, 0, 0, false, netip.AddrPort{}},
		{"lease of another router", true, 0, 1, false, other},
		{"vacant lease", true, 0, 2, false, netip.AddrPort{}},
		{"lease ID beyond the table", true, 0, 3, false, netip.AddrPort{}},
	} {
		s := &Snapshot{CreatedAt: testNow, InContact: test.inContact, leases: table}
		if got := s.MayRun(test.id, testNow+test.age); got != test.holds {
			t.Errorf("%s: MayRun returns %v, want %v", test.name, got, test.holds)
		}
		holder, known := s.LeaseHolder(test.id)
		if holder != test.holder || known != test.holder.IsValid() {
			t.Errorf("%s: holder %v, known %v, want %v, %v", test.name, holder, known, test.holder, test.holder.IsValid())
		}
	}
}

func newTestController() *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := Config{
		Self:   membership.Identity{ID: 1, Incarnation: 1, Weight: 1},
		Leases: 3,
		Clock:  func() Micros { return testNow },
		Log:    log,
	}
	return New(config, nil)
}

// A panic in a tick must end only that tick, not the router: later ticks must run commands and publish snapshots.
func TestPanicInTick(t *testing.T) {
	c := newTestController()
	c.mailbox.addCommand(func() { panic("a fault") })
	c.tick(time.Now())
	ran := false
	c.mailbox.addCommand(func() { ran = true })
	before := c.Snapshot()
	c.tick(time.Now())
	if !ran {
		t.Error("a command after the panic did not run")
	}
	if c.Snapshot() == before {
		t.Error("no snapshot is published after the panic")
	}
}

// A router that started without shard maps must ignore the operator's map, since only a restart enables them. Without
// the check, a reload that enables them makes the tick panic on a nil shard map manager.
func TestPinShardMapWithoutShardMaps(t *testing.T) {
	c := newTestController()
	c.PinShardMap(nil, nil)
	before := c.Snapshot()
	c.tick(time.Now())
	if c.Snapshot() == before {
		t.Error("the tick published no snapshot")
	}
}

// Datagrams of a kind that no core of the control goroutine handles must become messages for request handling. The
// message must have a copy of the payload, because the channel reuses its buffer.
func TestUnhandledDatagrams(t *testing.T) {
	c := newTestController()
	payload := []byte("payload")
	c.HandleDatagram(9, netip.AddrPort{}, payload)
	payload[0] = 'X'
	messages := c.TakeMessages()
	if len(messages) != 1 {
		t.Fatalf("%d messages, want 1", len(messages))
	}
	datagram, ok := messages[0].(Datagram)
	if !ok || datagram.Kind != 9 || string(datagram.Payload) != "payload" {
		t.Errorf("message %T %+v, want a Datagram of kind 9 with \"payload\"", messages[0], messages[0])
	}
}
