package resp

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// Every prefix of an array must be incomplete, and the array must be parsed into its words whatever follows it.
func TestSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3000), 1, 4).Draw(t, "words")
		b := AppendArray(nil, len(words))
		for _, w := range words {
			b = AppendWord(b, w)
		}
		var got [4][]byte
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		if _, _, err := Parse(b[:cut], got[:], 3000); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("first %d of %d bytes: %v", cut, len(b), err)
		}
		n, size, err := Parse(append(b, '*'), got[:], 3000)
		if err != nil || n != len(words) || size != len(b) {
			t.Fatalf("parsed %d words and %d of %d bytes, error %v", n, size, len(b), err)
		}
		for i, w := range words {
			if string(got[i]) != string(w) {
				t.Fatalf("word %d: parsed %q, want %q", i, got[i], w)
			}
		}
	})
}

// Arbitrary input must never cause a panic or a size beyond the input. An invalid array must be rejected without
// waiting for more bytes.
func TestGarbage(t *testing.T) {
	var got [4][]byte
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.SampledFrom([]byte("*$1230\r\n-ab")), 0, 40).Draw(t, "bytes")
		if _, size, err := Parse(b, got[:], 100); err == nil && size > len(b) {
			t.Fatalf("size %d of %d bytes of input", size, len(b))
		}
	})
	for s, want := range map[string]error{
		"+OK\r\n":               ErrMalformed,
		"*-1\r\n":               ErrMalformed,
		"*5\r\n":                ErrTooLarge,
		"*0\r\n":                ErrTooLarge,
		"*1\r\n$101\r\n":        ErrTooLarge,
		"*1\r\n$9999999999\r\n": ErrMalformed,
		"*1\r\n$1\r\nabc":       ErrMalformed,
		"*1\n":                  ErrMalformed,
		"*1\r\n$\r\n":           ErrMalformed,
		"*1\r\n$2\r\nab\rx":     ErrMalformed,
	} {
		if _, _, err := Parse([]byte(s), got[:], 100); !errors.Is(err, want) {
			t.Errorf("%q: error %v, want %v", s, err, want)
		}
	}
}
