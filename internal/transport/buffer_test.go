package transport

import (
	"errors"
	"strings"
	"testing"
)

// lineDecoder is a Decoder of lines. It fails at a line with an exclamation mark.
type lineDecoder struct{ lines []string }

var errExclamation = errors.New("exclamation mark")

func (d *lineDecoder) Next(b []byte) (int, error) {
	line, _, complete := strings.Cut(string(b), "\n")
	switch {
	case strings.Contains(line, "!"):
		return 0, errExclamation
	case !complete:
		return 0, nil
	}
	d.lines = append(d.lines, line)
	return len(line) + 1, nil
}

// Complete messages must be decoded however the bytes are divided among calls, and the rest must be stored.
func TestReceiveBuffer(t *testing.T) {
	for _, test := range []struct {
		name     string
		received []string
		lines    string
		stored   string
		err      error
	}{
		{"complete messages", []string{"a\nb\n", "c\n"}, "a b c", "", nil},
		{"a message in pieces", []string{"a", "b", "c\n"}, "abc", "", nil},
		{"an incomplete message is stored", []string{"a\nb", "c\nd"}, "a bc", "d", nil},
		{"a stored message is completed and another stored", []string{"ab", "c\nd\nef"}, "abc d", "ef", nil},
		{"an error", []string{"a\n", "!"}, "a", "", errExclamation},
	} {
		e := &Engine{}
		var buffer ReceiveBuffer
		decoder := &lineDecoder{}
		var err error
		for _, b := range test.received {
			err = buffer.Decode(e, []byte(b), decoder)
		}
		if !errors.Is(err, test.err) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.err)
		}
		if got := strings.Join(decoder.lines, " "); got != test.lines {
			t.Errorf("%s: decoded %q, want %q", test.name, got, test.lines)
		}
		if string(buffer.Bytes()) != test.stored || buffer.Len() != len(test.stored) {
			t.Errorf("%s: stored %q, want %q", test.name, buffer.Bytes(), test.stored)
		}
		if buffer.Release(e); buffer.Len() != 0 {
			t.Errorf("%s: %d bytes are stored after Release, want 0", test.name, buffer.Len())
		}
	}
}

// Buffers must be kept for reuse up to the limit of spare bytes, and a buffer must never be smaller than
// requested.
func TestBufferReuse(t *testing.T) {
	e := &Engine{}
	e.SetMaxSpareBytes(3 * minBuffer)
	large := e.GetBuffer(minBuffer + 1)
	if cap(large) != 2*minBuffer {
		t.Errorf("got a buffer of %d bytes for %d, want %d", cap(large), minBuffer+1, 2*minBuffer)
	}
	e.PutBuffer(large)
	e.PutBuffer(e.GetBuffer(2*minBuffer + 1)) // exceeds the limit: dropped
	e.PutBuffer(make([]byte, minBuffer-1))    // too small: dropped
	if e.spareBytes != 2*minBuffer || len(e.spareBuffers) != 1 {
		t.Fatalf("%d bytes in %d buffers are kept, want %d in 1", e.spareBytes, len(e.spareBuffers), 2*minBuffer)
	}
	if reused := e.GetBuffer(1); &reused[:1][0] != &large[:1][0] || len(reused) != 0 {
		t.Errorf("got a buffer of capacity %d and length %d, want the kept one of capacity %d and length 0", cap(reused),
			len(reused), cap(large))
	}
	if e.spareBytes != 0 || len(e.spareBuffers) != 0 {
		t.Errorf("%d bytes in %d buffers are kept after the reuse, want none", e.spareBytes, len(e.spareBuffers))
	}
}

// The end of a connection by the peer must be distinguishable from one by this router, without hiding its cause.
func TestIsLocalError(t *testing.T) {
	cause := errors.New("reset")
	if IsLocalError(&RemoteError{cause}) || !errors.Is(&RemoteError{cause}, cause) {
		t.Error("a remote error is reported as local, or hides its cause")
	}
	if !IsLocalError(cause) {
		t.Error("a local error is reported as remote")
	}
}
