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

// A body is parsed completely, with a length or in chunks, however its bytes are split.
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
		a, err := Parse([]byte(msg+"HTTP"), 300, false)
		if err != nil || string(a.Body) != string(body) || a.Size != len(msg) || a.Status != 200 {
			t.Fatalf("%+v: %v", a, err)
		}
	})
}

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
			t.Errorf("%.60q: %v, not %v", msg, err, want)
		}
	}
	if a, err := Parse([]byte("HTTP/1.0 200 OK\r\n\r\nrest"), 10, true); err != nil || string(a.Body) != "rest" ||
		!a.Close {
		t.Errorf("a body up to the end: %+v, %v", a, err)
	}
	if a, err := Parse([]byte("HTTP/1.1 204 No\r\nConnection: close\r\n\r\n"), 10, false); err != nil || !a.Close {
		t.Errorf("no body: %+v, %v", a, err)
	}
}
