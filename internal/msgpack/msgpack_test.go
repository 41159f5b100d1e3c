package msgpack

import (
	"encoding/binary"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// drawValue draws a value with any nesting, in any of its encodings.
func drawValue(t *rapid.T) []byte {
	var b []byte
	var value func(depth int)
	value = func(depth int) {
		kind := rapid.IntRange(0, 7).Draw(t, "kind")
		if depth > 3 {
			kind %= 5
		}
		switch kind {
		case 0:
			b = AppendNil(b)
		case 1:
			b = AppendUint(b, rapid.Uint64().Draw(t, "n"))
		case 2:
			b = AppendStr(b, rapid.StringN(0, 300, 400).Draw(t, "s"))
		case 3:
			bin := rapid.SliceOfN(rapid.Byte(), 0, 70000).Draw(t, "bin")
			b = append(AppendBinHead(b, len(bin)), bin...)
		// Encodings that the append functions never produce: other widths, signed and floating-point numbers,
		// extensions.
		case 4:
			encodings := [][]byte{{0xd0, 0xff}, {0xd1, 1, 2}, {0xd2, 0, 0, 0, 1}, {0xcb, 1, 2, 3, 4, 5, 6, 7, 8}, {0xe0},
				{0xca, 1, 2, 3, 4}, {0xd4, 1, 2}, {0xc7, 1, 5, 9}, {0xda, 0, 1, 'x'}, {0xdb, 0, 0, 0, 1, 'y'}, {0xc3},
				{0xd3, 0, 0, 0, 0, 0, 0, 0, 9}, {0xc6, 0, 0, 0, 1, 7}, {0xdd, 0, 0, 0, 0}, {0xdf, 0, 0, 0, 0}}
			b = append(b, rapid.SampledFrom(encodings).Draw(t, "form")...)
		case 5, 6:
			n := rapid.IntRange(0, 20).Draw(t, "length")
			b = AppendArray(b, n)
			for ; n > 0; n-- {
				value(depth + 1)
			}
		default:
			n := rapid.IntRange(0, 4).Draw(t, "pairs")
			b = AppendMap(b, n)
			for ; n > 0; n-- {
				value(depth + 1)
				value(depth + 1)
			}
		}
	}
	value(0)
	return b
}

// Every prefix of a message must be incomplete. Size must return the size of the whole message whatever follows it,
// and must reject a message that is larger than the limit.
func TestSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawValue(t)
		length := len(b)
		cut := rapid.IntRange(0, length-1).Draw(t, "cut")
		if _, err := Size(b[:cut], length); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("first %d of %d bytes: %v", cut, length, err)
		}
		if n, err := Size(append(b, "more"...), length); n != length || err != nil {
			t.Fatalf("size %d, want %d; error %v", n, length, err)
		}
		if r := Read(b); true {
			if r.Skip(); r.Err() != nil || len(r.b) != 0 {
				t.Fatalf("%d bytes remain after skipping: %v", len(r.b), r.Err())
			}
		}
		if length > 1 {
			if _, err := Size(b, length-1); err == nil {
				t.Fatalf("a message of %d bytes was accepted, but the limit is %d", length, length-1)
			}
		}
	})
}

// Arbitrary input must never cause a panic or a size beyond the input. Nesting, the number of elements and the first
// byte must be checked before all bytes have arrived.
func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if n, err := Size(b, 1000); err == nil && (n < 1 || n > len(b)) {
			t.Fatalf("size %d of %d bytes of input", n, len(b))
		}
		r := Read(b)
		for i := 0; i < 5; i++ {
			r.Array()
			r.Uint()
			r.Bytes()
			r.Map()
			r.Skip()
		}
	})
	deep := make([]byte, 5000)
	for i := range deep {
		deep[i] = 0x91
	}
	if _, err := Size(deep, 1<<20); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("nesting beyond the limit: error %v", err)
	}
	if _, err := Size([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, 1<<20); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("elements beyond the limit: error %v", err)
	}
	if _, err := Size([]byte{0xc1}, 10); !errors.Is(err, ErrMalformed) {
		t.Fatalf("invalid first byte: error %v", err)
	}
}

// Numbers and strings of all widths must be decoded correctly.
func TestWidths(t *testing.T) {
	for _, n := range []uint64{0, 0x7f, 0x80, 0xff, 0x100, 0xffff, 0x10000, 0xffffffff, 0x100000000, 1<<64 - 1} {
		r := Read(AppendUint(nil, n))
		if got := r.Uint(); got != n || r.Err() != nil {
			t.Errorf("%d was read as %d, error %v", n, got, r.Err())
		}
	}
	r := Read(binary.BigEndian.AppendUint32([]byte{0xd2}, 77))
	if n := r.Uint(); n != 77 || r.Err() != nil {
		t.Errorf("77 in a signed encoding was read as %d, error %v", n, r.Err())
	}
	if r = Read([]byte{0xff}); r.Uint() != 0 || !errors.Is(r.Err(), ErrKind) {
		t.Error("Uint accepted -1")
	}
	for _, n := range []int{0, 31, 32, 255, 256, 65535, 65536} {
		s := make([]byte, n)
		r := Read(AppendStr(nil, s))
		if got := r.Bytes(); len(got) != n || r.Err() != nil {
			t.Errorf("a string of %d bytes was read as %d bytes, error %v", n, len(got), r.Err())
		}
		if r = Read(append(AppendBinHead(nil, n), s...)); len(r.Bytes()) != n || r.Err() != nil {
			t.Errorf("a binary value of %d bytes was not read, error %v", n, r.Err())
		}
	}
}
