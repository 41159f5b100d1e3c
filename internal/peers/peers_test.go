package peers

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

type ear struct {
	heard []string
	from  []netip.AddrPort
}

func (e *ear) HandleDatagram(kind byte, from netip.AddrPort, held []byte) {
	e.heard, e.from = append(e.heard, string(kind)+string(held)), append(e.from, from)
}

func keys(t testing.TB, secrets ...string) *Keys {
	t.Helper()
	var list [][]byte
	for _, s := range secrets {
		list = append(list, []byte(s))
	}
	k, err := NewKeys(list)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func line(t testing.TB, k *Keys) (*Channel, *ear) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &ear{}
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), k, e, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, e
}

// until beats a line until something is so; only a hang lasts as long as this waits.
func until(t testing.TB, l *Channel, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if l.Tick(time.Now()); time.Now().After(end) {
			t.Fatalf("never: %+v", l.Stats())
		}
	}
}

const one, two = "an old secret of routers", "a new secret of routers"

// Datagrams go from one to the other, with the old key and the new one during a change, and not with one that has gone.
func TestKeysChange(t *testing.T) {
	a, _ := line(t, keys(t, one))
	b, ear := line(t, keys(t, one, two))
	a.Send(3, b.LocalAddr(), []byte("first"))
	until(t, b, func() bool { return len(ear.heard) == 1 })
	a.SetKeys(keys(t, two, one))
	a.Send(3, b.LocalAddr(), []byte("second"))
	until(t, b, func() bool { return len(ear.heard) == 2 })
	b.SetKeys(keys(t, two))
	a.SetKeys(keys(t, one))
	a.Send(3, b.LocalAddr(), []byte("third"))
	until(t, b, func() bool { return b.Stats().UnknownKey == 1 })
	if ear.heard[0] != "\x03first" || ear.heard[1] != "\x03second" || len(ear.heard) != 2 || ear.from[0] != a.LocalAddr() {
		t.Errorf("%q from %v", ear.heard, ear.from)
	}
}

// What is noise, too long, sealed by who does not know the key, changed on the way or comes again is dropped and counted, and
// nothing is said to it.
func TestDropped(t *testing.T) {
	k := keys(t, one)
	b, ear := line(t, k)
	raw, _ := line(t, k)
	send := func(x []byte) {
		if !raw.way.Send(x, b.LocalAddr()) {
			t.Fatal("not sent")
		}
	}
	seal, _ := NewSeal(k)
	good := seal.Close(nil, 1, []byte("good"))
	forged, _ := NewSeal(keys(t, one))
	bad := forged.Close(nil, 1, []byte("evil"))
	bad[len(bad)-1] ^= 1
	send(good)
	send(good)
	send(bad)
	send(make([]byte, 300))
	send([]byte("noise"))
	alien, _ := NewSeal(keys(t, two))
	send(alien.Close(nil, 1, []byte("alien")))
	until(t, b, func() bool {
		y := b.Stats()
		return y.Received+y.Replayed+y.BadTag+y.Malformed+y.UnknownKey == 6
	})
	if y := b.Stats(); y.Received != 1 || y.Replayed != 1 || y.BadTag != 1 || y.Malformed != 2 || y.UnknownKey != 1 || y.Sent != 0 || len(ear.heard) != 1 {
		t.Errorf("%+v, %q", y, ear.heard)
	}
	if b.Send(1, raw.LocalAddr(), make([]byte, MaxDatagram-Overhead+1)); b.Stats().TooLong != 1 || b.Stats().Sent != 0 {
		t.Error("a datagram over 256 bytes went out")
	}
}

// Each bit of a sealed datagram counts.
func TestEveryBit(t *testing.T) {
	k := keys(t, one)
	seal, _ := NewSeal(k)
	good := seal.Close(nil, 1, []byte("what is held"))
	open, _ := NewSeal(k)
	for i := range len(good) * 8 {
		x := append([]byte(nil), good...)
		x[i/8] ^= 1 << (i % 8)
		if _, held, err := open.Open(x); err == nil {
			t.Fatalf("bit %d changed, %q opened", i, held)
		}
	}
	if _, held, err := open.Open(good); err != nil || string(held) != "what is held" {
		t.Fatalf("%q, %v", held, err)
	}
}

// Numbers that overtake one another are each taken once; what is far behind is not taken.
func TestWindow(t *testing.T) {
	w := &window{}
	for _, n := range []uint64{5, 3, 4, 70, 69, 8, 7} {
		if got := w.take(n); got != (w.top-n < windowSize) {
			t.Errorf("number %d taken: %v", n, got)
		}
		if w.take(n) {
			t.Errorf("number %d taken twice", n)
		}
	}
	if w.take(1) || !w.take(1000) || w.take(70) {
		t.Error("the window does not move")
	}
}

// A flood is read a bounded number at a time, and costs the senders that are known nothing but room.
func TestFlood(t *testing.T) {
	b, ear := line(t, keys(t, one))
	raw, _ := line(t, keys(t, two))
	for range 2000 {
		raw.way.Send(make([]byte, 200), b.LocalAddr())
	}
	before := b.Stats().Malformed
	if b.Tick(time.Now()); b.Stats().Malformed-before > perBeat {
		t.Errorf("%d read at a time", b.Stats().Malformed-before)
	}
	a, _ := line(t, keys(t, one))
	until(t, b, func() bool {
		a.Send(1, b.LocalAddr(), []byte("through"))
		return len(ear.heard) > 0
	})
}

// Senders' starts are kept within a bound, the one heard of longest ago goes.
func TestManyStarts(t *testing.T) {
	k := keys(t, one)
	open, _ := NewSeal(k)
	for range startsMost + 50 {
		s, _ := NewSeal(k)
		if _, _, err := open.Open(s.Close(nil, 1, nil)); err != nil {
			t.Fatal(err)
		}
	}
	if len(open.starts) != startsMost {
		t.Errorf("%d starts are kept", len(open.starts))
	}
}

func BenchmarkSealAndOpen(b *testing.B) {
	k := keys(b, one)
	from, _ := NewSeal(k)
	to, _ := NewSeal(k)
	held := make([]byte, 200)
	var buf [MaxDatagram]byte
	b.ReportAllocs()
	for range b.N {
		if _, _, err := to.Open(from.Close(buf[:0], 1, held)); err != nil {
			b.Fatal(err)
		}
	}
}
