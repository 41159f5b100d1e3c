package peers

import (
	"crypto/rand"
	"testing"
)

// newTestSealer returns a sealer with a new sender ID.
func newTestSealer(keys *Keys) *sealer {
	return newSealer(keys, func(b []byte) { _, _ = rand.Read(b) })
}

// A datagram with any single bit changed must not be opened, and must not prevent that the original is opened.
func TestEveryBitIsAuthenticated(t *testing.T) {
	keys := newTestKeys(t, oldSecret)
	const payload = "a payload"
	valid := newTestSealer(keys).seal(nil, 1, []byte(payload))
	receiver := newTestSealer(keys)
	for i := range len(valid) * 8 {
		damaged := append([]byte(nil), valid...)
		damaged[i/8] ^= 1 << (i % 8)
		if _, opened, err := receiver.open(damaged); err == nil {
			t.Fatalf("a datagram with bit %d changed was opened: payload %q", i, opened)
		}
	}
	if _, opened, err := receiver.open(valid); err != nil || string(opened) != payload {
		t.Fatalf("the unchanged datagram: payload %q, want %q; error %v", opened, payload, err)
	}
}

// Reordered counters must be accepted once each, but not those at least windowSize below the highest one.
func TestReplayWindow(t *testing.T) {
	w := &replayWindow{}
	for _, n := range []uint64{5, 3, 4, 70, 69, 8, 7} {
		if got := w.accept(n); got != (w.highest-n < windowSize) {
			t.Errorf("counter %d accepted: %v, want %v; the highest counter is %d", n, got, w.highest-n < windowSize, w.highest)
		}
		if w.accept(n) {
			t.Errorf("counter %d accepted twice", n)
		}
	}
	if w.accept(1) || !w.accept(1000) || w.accept(70) {
		t.Error("the window did not move: want counter 1 rejected, 1000 accepted, and 70 rejected after it")
	}
}

// The number of senders whose windows are kept must be limited, and a new sender must be accepted at the limit.
func TestSendersAreBounded(t *testing.T) {
	keys := newTestKeys(t, oldSecret)
	receiver := newTestSealer(keys)
	for range maxSenders + 50 {
		if _, _, err := receiver.open(newTestSealer(keys).seal(nil, 1, nil)); err != nil {
			t.Fatal(err)
		}
	}
	if len(receiver.replays.windows) != maxSenders {
		t.Errorf("the windows of %d senders are kept, want %d", len(receiver.replays.windows), maxSenders)
	}
}

// BenchmarkSealAndOpen measures sealing and opening a datagram with a payload of 200 bytes.
func BenchmarkSealAndOpen(b *testing.B) {
	keys := newTestKeys(b, oldSecret)
	sender, receiver := newTestSealer(keys), newTestSealer(keys)
	payload := make([]byte, 200)
	var buffer [MaxDatagram]byte
	b.ReportAllocs()
	for range b.N {
		if _, _, err := receiver.open(sender.seal(buffer[:0], 1, payload)); err != nil {
			b.Fatal(err)
		}
	}
}
