package peers

import (
	"crypto/rand"
	"testing"
)

func testSealer(keys *Keys) *sealer {
	return newSealer(keys, func(b []byte) { _, _ = rand.Read(b) })
}

// A datagram with any bit changed must not be opened.
func TestEveryBitIsSealed(t *testing.T) {
	keys := testKeys(t, oldSecret)
	const payload = "a payload"
	good := testSealer(keys).seal(nil, 1, []byte(payload))
	receiver := testSealer(keys)
	for i := range len(good) * 8 {
		damaged := append([]byte(nil), good...)
		damaged[i/8] ^= 1 << (i % 8)
		if _, opened, err := receiver.open(damaged); err == nil {
			t.Fatalf("bit %d changed, %q opened", i, opened)
		}
	}
	if _, opened, err := receiver.open(good); err != nil || string(opened) != payload {
		t.Fatalf("%q, %v", opened, err)
	}
}

// Reordered counters must be accepted once each, but not those too far back.
func TestReplayWindow(t *testing.T) {
	w := &replayWindow{}
	for _, n := range []uint64{5, 3, 4, 70, 69, 8, 7} {
		if got := w.accept(n); got != (w.highest-n < windowSize) {
			t.Errorf("counter %d accepted: %v", n, got)
		}
		if w.accept(n) {
			t.Errorf("counter %d accepted twice", n)
		}
	}
	if w.accept(1) || !w.accept(1000) || w.accept(70) {
		t.Error("the window did not move")
	}
}

// The number of remembered senders must be limited; the one heard least recently must be forgotten.
func TestSendersAreBounded(t *testing.T) {
	keys := testKeys(t, oldSecret)
	receiver := testSealer(keys)
	for range maxSenders + 50 {
		if _, _, err := receiver.open(testSealer(keys).seal(nil, 1, nil)); err != nil {
			t.Fatal(err)
		}
	}
	if len(receiver.replays.windows) != maxSenders {
		t.Errorf("%d senders are remembered", len(receiver.replays.windows))
	}
}

func BenchmarkSealAndOpen(b *testing.B) {
	keys := testKeys(b, oldSecret)
	sender, receiver := testSealer(keys), testSealer(keys)
	payload := make([]byte, 200)
	var buffer [MaxDatagram]byte
	b.ReportAllocs()
	for range b.N {
		if _, _, err := receiver.open(sender.seal(buffer[:0], 1, payload)); err != nil {
			b.Fatal(err)
		}
	}
}
