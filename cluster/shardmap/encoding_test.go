package shardmap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestDecodeArbitraryBytes corrupts and truncates an encoded map. decode must return a map or an error and must not
// panic; a decoded map that passes Validate must cover every key exactly once.
func TestDecodeArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := testCandidates(5, 2)
		m := Propose(nil, candidates, Version{Term: 1, Number: 1})
		encoded := slices.Clone(m.encoded)
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			i := rapid.IntRange(0, len(encoded)-1).Draw(rt, "index")
			encoded[i] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
		}
		encoded = encoded[:rapid.IntRange(0, len(encoded)).Draw(rt, "length")]
		decoded, err := decode(encoded)
		if err != nil {
			return
		}
		if decoded.Digest == m.Digest && string(encoded) != string(m.encoded) {
			rt.Fatalf("two encodings have the digest %x", m.Digest)
		}
		if err := Validate(decoded, nil, candidates, DefaultBounds); err == nil && !coversEachKeyOnce(decoded.Ranges) {
			rt.Fatalf("Validate accepts ranges %v, which do not cover every key exactly once", decoded.Ranges)
		}
	})
}
