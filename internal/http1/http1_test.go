package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

// Every prefix of a response must be incomplete, and the whole response must be parsed with its body, whether the body
// has a length or chunks, and whatever follows it.
func TestSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		msg := fmt.Sprintf("HTTP/1.1 200 OK\r\ncontent-LENGTH: %d\r\n\r\n%s", len(body), body)
		if rapid.Bool().Draw(t, "chunked") {
			msg = "HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n"
			for rest := body; len(rest) > 0; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				msg += fmt.Sprintf("%x;ext=1\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			msg += "0\r\nTrailer: z\r\n\r\n"
		}
		cut := rapid.IntRange(0, len(msg)-1).Draw(t, "cut")
		if _, err := Parse([]byte(msg[:cut]), 300, false); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("first %d of %d bytes: %v", cut, len(msg), err)
		}
		response, err := Parse([]byte(msg+"HTTP"), 300, false)
		if err != nil || string(response.Body) != string(body) || response.Size != len(msg) || response.Status != 200 {
			t.Fatalf("parsed %+v, error %v", response, err)
		}
	})
}

// Arbitrary bytes must not cause a panic. Malformed and too large responses must be reported as such as soon as that
// is certain. A body without a length lasts until the connection ends.
func TestMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.SampledFrom([]byte("HTP/1. 204:\r\n\r\nchunkedTransfer-Encoding")), 0, 60).
			Draw(t, "bytes")
		_, _ = Parse(append([]byte("HTTP/1.1 200 OK\r\n"), b...), 10, true)
	})
	for msg, want := range map[string]error{
		"SSH-2.0\r\n":                                   ErrMalformed,
		"HTTP/1.1 abc\r\n\r\n":                          ErrMalformed,
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":           ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n": ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n": ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n":                     ErrTooLarge,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n":       ErrTooLarge,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":       ErrMalformed,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHead):             ErrTooLarge,
	} {
		if _, err := Parse([]byte(msg), 10, false); !errors.Is(err, want) {
			t.Errorf("%.60q: error %v, want %v", msg, err, want)
		}
	}
	if response, err := Parse([]byte("HTTP/1.0 200 OK\r\n\r\nrest"), 10, true); err != nil ||
		string(response.Body) != "rest" || !response.Close {
		t.Errorf("body that ends with the connection: %+v, error %v", response, err)
	}
	if response, err := Parse([]byte("HTTP/1.1 204 No\r\nConnection: close\r\n\r\n"), 10, false); err != nil ||
		!response.Close {
		t.Errorf("status without a body: %+v, error %v", response, err)
	}
}
