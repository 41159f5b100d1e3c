package peers

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// recorder records received datagrams.
type recorder struct {
	received []string // kind and payload
	from     []netip.AddrPort
}

func (r *recorder) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	r.received = append(r.received, string(kind)+string(payload))
	r.from = append(r.from, from)
}

func testKeys(t testing.TB, secrets ...string) *Keys {
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

func testChannel(t testing.TB, keys *Keys) (*Channel, *recorder) {
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

// tickUntil ticks a channel until a condition holds. Only a hang reaches the limit.
func tickUntil(t testing.TB, c *Channel, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if c.Tick(time.Now()); time.Now().After(end) {
			t.Fatalf("the condition never held: %+v", c.Stats())
		}
	}
}

const oldSecret, newSecret = "an old secret of routers", "a new secret of routers"

// While keys are replaced, datagrams sealed with the old or the new key must be accepted, but not those sealed with
// a removed key.
func TestReplaceKeys(t *testing.T) {
	a, _ := testChannel(t, testKeys(t, oldSecret))
	b, got := testChannel(t, testKeys(t, oldSecret, newSecret))
	a.Send(3, b.LocalAddr(), []byte("first"))
	tickUntil(t, b, func() bool { return len(got.received) == 1 })
	a.SetKeys(testKeys(t, newSecret, oldSecret))
	a.Send(3, b.LocalAddr(), []byte("second"))
	tickUntil(t, b, func() bool { return len(got.received) == 2 })
	b.SetKeys(testKeys(t, newSecret))
	a.SetKeys(testKeys(t, oldSecret))
	a.Send(3, b.LocalAddr(), []byte("third"))
	tickUntil(t, b, func() bool { return b.Stats().UnknownKey == 1 })
	if got.received[0] != "\x03first" || got.received[1] != "\x03second" || len(got.received) != 2 ||
		got.from[0] != a.LocalAddr() {
		t.Errorf("%q from %v", got.received, got.from)
	}
}

// A malformed, forged or replayed datagram must be dropped and counted, and must not be answered.
func TestDropped(t *testing.T) {
	keys := testKeys(t, oldSecret)
	b, got := testChannel(t, keys)
	raw, _ := testChannel(t, keys)
	send := func(datagram []byte) {
		if !raw.conn.Send(datagram, b.LocalAddr()) {
			t.Fatal("the datagram was not sent")
		}
	}
	good := testSealer(keys).seal(nil, 1, []byte("good"))
	forged := testSealer(testKeys(t, oldSecret)).seal(nil, 1, []byte("evil"))
	forged[len(forged)-1] ^= 1
	send(good)
	send(good)
	send(forged)
	send(make([]byte, 300))
	send([]byte("noise"))
	send(testSealer(testKeys(t, newSecret)).seal(nil, 1, []byte("alien")))
	tickUntil(t, b, func() bool {
		s := b.Stats()
		return s.Received+s.Replayed+s.BadTag+s.Malformed+s.UnknownKey == 6
	})
	s := b.Stats()
	if s.Received != 1 || s.Replayed != 1 || s.BadTag != 1 || s.Malformed != 2 || s.UnknownKey != 1 || s.Sent != 0 ||
		len(got.received) != 1 {
		t.Errorf("%+v, %q", s, got.received)
	}
	b.Send(1, raw.LocalAddr(), make([]byte, MaxDatagram-Overhead+1))
	if b.Stats().TooLong != 1 || b.Stats().Sent != 0 {
		t.Error("a datagram over 256 bytes was sent")
	}
}

// The number of datagrams read at a time must be limited during a flood, which must cost known senders only buffer
// space.
func TestFlood(t *testing.T) {
	b, got := testChannel(t, testKeys(t, oldSecret))
	raw, _ := testChannel(t, testKeys(t, newSecret))
	for range 2000 {
		raw.conn.Send(make([]byte, 200), b.LocalAddr())
	}
	before := b.Stats().Malformed
	if b.Tick(time.Now()); b.Stats().Malformed-before > maxPerTick {
		t.Errorf("%d datagrams were read in a tick", b.Stats().Malformed-before)
	}
	a, _ := testChannel(t, testKeys(t, oldSecret))
	tickUntil(t, b, func() bool {
		a.Send(1, b.LocalAddr(), []byte("through"))
		return len(got.received) > 0
	})
}
