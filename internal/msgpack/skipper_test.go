package msgpack

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// A Skipper must skip exactly the bytes of the value, in whichever pieces they arrive, and must reject a value that is
// larger than the limit.
func TestSkipperInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawValue(t)
		s, tooSmall := NewSkipper(len(b)), NewSkipper(len(b)-1)
		var limitErr error
		followed := append(append([]byte(nil), b...), "more"...)
		for at := 0; at < len(b); {
			end := min(at+rapid.IntRange(1, 40).Draw(t, "piece"), len(followed))
			if rapid.Bool().Draw(t, "long") {
				end = len(followed)
			}
			if limitErr == nil {
				_, _, limitErr = tooSmall.Skip(followed[at:end])
			}
			n, complete, err := s.Skip(followed[at:end])
			if want := min(end, len(b)) - at; err != nil || n != want || complete != (end >= len(b)) {
				t.Fatalf("of the bytes from %d to %d of %d: %d skipped, want %d; complete: %v; error %v", at, end, len(b), n,
					want, complete, err)
			}
			at += n
		}
		if !errors.Is(limitErr, ErrTooLarge) {
			t.Fatalf("a value of %d bytes, with a limit of one less: error %v", len(b), limitErr)
		}
	})
}

// Invalid values must be rejected before all bytes have arrived, as by Size.
func TestSkipperRejectsInvalidValues(t *testing.T) {
	for _, c := range []struct {
		name string
		b    []byte
		want error
	}{
		{"invalid first byte", []byte{0xc1}, ErrMalformed},
		{"invalid first byte of an element", []byte{0x92, 1, 0xc1}, ErrMalformed},
		{"elements beyond the limit", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, ErrTooLarge},
		{"more elements than bytes", []byte{0xdc, 4, 0, 0xdc, 4, 0}, ErrTooLarge},
		{"a string beyond the limit", []byte{0x91, 0xdb, 0xff, 0xff, 0xff, 0xff}, ErrTooLarge},
		{"a string that ends at the limit, and a further element", []byte{0x92, 0xda, 0x07, 0xcc}, ErrTooLarge},
	} {
		for _, piece := range []int{1, len(c.b)} {
			s := NewSkipper(2000)
			var err error
			for at := 0; at < len(c.b) && err == nil; at += piece {
				_, _, err = s.Skip(c.b[at : at+piece])
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%s, in pieces of %d bytes: error %v, want %v", c.name, piece, err, c.want)
			}
		}
	}
}
