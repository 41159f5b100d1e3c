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

func TestSnapshotLeases(t *testing.T) {
	other := netip.MustParseAddrPort("10.0.0.2:1")
	table := &leaseTable{mine: []bool{true, false, false}, holders: []netip.AddrPort{{}, other, {}}, held: 1}
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
		{"another's lease", true, 0, 1, false, other},
		{"vacant lease", true, 0, 2, false, netip.AddrPort{}},
		{"no such lease", true, 0, 3, false, netip.AddrPort{}},
	} {
		s := &Snapshot{CreatedAt: testNow, InContact: test.inContact, leases: table}
		if got := s.HoldsLease(test.id, testNow+test.age); got != test.holds {
			t.Errorf("%s: holds the lease: %v", test.name, got)
		}
		holder, known := s.LeaseHolder(test.id)
		if holder != test.holder || known != test.holder.IsValid() {
			t.Errorf("%s: holder %v, known %v", test.name, holder, known)
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

// A panic in a tick must end only that tick, not the router.
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

// A router that started without shard maps must ignore the operator's map, since only a restart enables them. A reload
// that enabled them used to end a tick with a panic.
func TestPinShardMapWithoutShardMaps(t *testing.T) {
	c := newTestController()
	c.PinShardMap(nil, nil)
	before := c.Snapshot()
	c.tick(time.Now())
	if c.Snapshot() == before {
		t.Error("the tick published no snapshot")
	}
}

// Datagrams that no core handles must become messages for request handling, with a copy of the payload.
func TestDatagramsForTraffic(t *testing.T) {
	c := newTestController()
	payload := []byte("payload")
	c.HandleDatagram(9, netip.AddrPort{}, payload)
	payload[0] = 'X'
	messages := c.TakeMessages()
	if len(messages) != 1 {
		t.Fatalf("%d messages", len(messages))
	}
	datagram, ok := messages[0].(Datagram)
	if !ok || datagram.Kind != 9 || string(datagram.Payload) != "payload" {
		t.Errorf("%T %+v", messages[0], messages[0])
	}
}
