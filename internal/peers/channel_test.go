package peers

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// recorder is a Handler that records received datagrams.
type recorder struct {
	received []string         // kind and payload of each datagram
	from     []netip.AddrPort // sender of each datagram
}

func (r *recorder) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	r.received = append(r.received, string(kind)+string(payload))
	r.from = append(r.from, from)
}

func newTestKeys(t testing.TB, secrets ...string) *Keys {
	t.Helper()
	var list [][]byte
	for _, secret := range secrets {
		list = append(list, []byte(secret))
	}
	keys, err := newKeys(list)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func newTestChannel(t testing.TB, keys *Keys) (*Channel, *recorder) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{}
	c, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys, r, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, r
}

// tickUntil ticks a channel until a condition holds, and fails the test after 10 s, which only a hang reaches.
func tickUntil(t testing.TB, c *Channel, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if c.Tick(time.Now()); time.Now().After(end) {
			t.Fatalf("the condition did not hold within 10 s: %+v", c.Stats())
		}
	}
}

const oldSecret, newSecret = "an old secret of routers", "a new secret of routers"

// While keys are replaced, a router that has the old and the new key must accept datagrams sealed with either, but not
// those sealed with a removed key.
func TestReplaceKeys(t *testing.T) {
	a, _ := newTestChannel(t, newTestKeys(t, oldSecret))
	b, got := newTestChannel(t, newTestKeys(t, oldSecret, newSecret))
	a.Send(3, b.LocalAddr(), []byte("first"))
	tickUntil(t, b, func() bool { return len(got.received) == 1 })
	a.SetKeys(newTestKeys(t, newSecret, oldSecret))
	a.Send(3, b.LocalAddr(), []byte("second"))
	tickUntil(t, b, func() bool { return len(got.received) == 2 })
	b.SetKeys(newTestKeys(t, newSecret))
	a.SetKeys(newTestKeys(t, oldSecret))
	a.Send(3, b.LocalAddr(), []byte("third"))
	tickUntil(t, b, func() bool { return b.Stats().UnknownKey == 1 })
	if got.received[0] != "\x03first" || got.received[1] != "\x03second" || len(got.received) != 2 ||
		got.from[0] != a.LocalAddr() {
		t.Errorf("received %q from %v, want \"first\" and \"second\" from %v", got.received, got.from, a.LocalAddr())
	}
}

// A malformed, forged or replayed datagram, and one sealed with an unknown key, must be dropped and counted, and must
// not be answered. A datagram over MaxDatagram must not be sent.
func TestDropped(t *testing.T) {
	keys := newTestKeys(t, oldSecret)
	b, got := newTestChannel(t, keys)
	sender, _ := newTestChannel(t, keys)
	send := func(datagram []byte) {
		if !sender.conn.Send(datagram, b.LocalAddr()) {
			t.Fatal("the datagram was not sent")
		}
	}
	valid := newTestSealer(keys).seal(nil, 1, []byte("good"))
	forged := newTestSealer(newTestKeys(t, oldSecret)).seal(nil, 1, []byte("evil"))
	forged[len(forged)-1] ^= 1
	send(valid)
	send(valid)
	send(forged)
	send(make([]byte, 300))
	send([]byte("noise"))
	send(newTestSealer(newTestKeys(t, newSecret)).seal(nil, 1, []byte("alien")))
	tickUntil(t, b, func() bool {
		s := b.Stats()
		return s.Received+s.Replayed+s.BadTag+s.Malformed+s.UnknownKey == 6
	})
	s := b.Stats()
	if s.Received != 1 || s.Replayed != 1 || s.BadTag != 1 || s.Malformed != 2 || s.UnknownKey != 1 || s.Sent != 0 ||
		len(got.received) != 1 {
		t.Errorf("received %q, want one datagram; counters %+v, want 2 malformed, 1 each of Received, Replayed, BadTag and "+
			"UnknownKey, and none sent", got.received, s)
	}
	b.Send(1, sender.LocalAddr(), make([]byte, MaxDatagram-Overhead+1))
	if b.Stats().TooLong != 1 || b.Stats().Sent != 0 {
		t.Errorf("a datagram of more than %d bytes: %d counted as too long, want 1; %d sent, want none", MaxDatagram,
			b.Stats().TooLong, b.Stats().Sent)
	}
}

// A tick must read a limited number of datagrams during a flood, so that the flood does not stop the control goroutine.
// The flood may fill the kernel's buffer, but datagrams of known senders must arrive once it is read.
func TestFlood(t *testing.T) {
	b, got := newTestChannel(t, newTestKeys(t, oldSecret))
	attacker, _ := newTestChannel(t, newTestKeys(t, newSecret))
	for range 2000 {
		attacker.conn.Send(make([]byte, 200), b.LocalAddr())
	}
	before := b.Stats().Malformed
	if b.Tick(time.Now()); b.Stats().Malformed-before > maxPerTick {
		t.Errorf("%d datagrams were read in a tick, want at most %d", b.Stats().Malformed-before, maxPerTick)
	}
	a, _ := newTestChannel(t, newTestKeys(t, oldSecret))
	tickUntil(t, b, func() bool {
		a.Send(1, b.LocalAddr(), []byte("through"))
		return len(got.received) > 0
	})
}
