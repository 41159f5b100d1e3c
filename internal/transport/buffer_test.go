package transport

import (
	"errors"
	"strings"
	"testing"
)

// lineDecoder decodes lines, and fails at an exclamation mark.
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

func TestReceiveBuffer(t *testing.T) {
	for _, test := range []struct {
		name     string
		received []string
		lines    string
		held     string
		err      error
	}{
		{"complete messages", []string{"a\nb\n", "c\n"}, "a b c", "", nil},
		{"a message in pieces", []string{"a", "b", "c\n"}, "abc", "", nil},
		{"a rest is held", []string{"a\nb", "c\nd"}, "a bc", "d", nil},
		{"a rest of what was held", []string{"ab", "c\nd\nef"}, "abc d", "ef", nil},
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
		if string(buffer.Bytes()) != test.held || buffer.Len() != len(test.held) {
			t.Errorf("%s: stored %q, want %q", test.name, buffer.Bytes(), test.held)
		}
		if buffer.Release(e); buffer.Len() != 0 {
			t.Errorf("%s: %d bytes are stored after a release", test.name, buffer.Len())
		}
	}
}

// Buffers must be reused up to the limit, and must never be too small.
func TestBufferReuse(t *testing.T) {
	e := &Engine{}
	e.SetMaxSpareBytes(3 * minBuffer)
	large := e.GetBuffer(minBuffer + 1)
	if cap(large) != 2*minBuffer {
		t.Errorf("a buffer of %d bytes for %d", cap(large), minBuffer+1)
	}
	e.PutBuffer(large)
	e.PutBuffer(e.GetBuffer(2*minBuffer + 1)) // beyond the limit: dropped
	e.PutBuffer(make([]byte, minBuffer-1))    // too small: dropped
	if e.spareBytes != 2*minBuffer || len(e.freeBuffers) != 1 {
		t.Fatalf("%d bytes in %d buffers are kept", e.spareBytes, len(e.freeBuffers))
	}
	if again := e.GetBuffer(1); &again[:1][0] != &large[:1][0] || len(again) != 0 {
		t.Error("the free buffer is not reused")
	}
	if e.spareBytes != 0 || len(e.freeBuffers) != 0 {
		t.Errorf("%d bytes in %d buffers are kept after the reuse", e.spareBytes, len(e.freeBuffers))
	}
}

func TestIsLocalError(t *testing.T) {
	cause := errors.New("reset")
	if IsLocalError(&RemoteError{cause}) || !errors.Is(&RemoteError{cause}, cause) {
		t.Error("a remote error is mistaken for a local one, or hides its cause")
	}
	if !IsLocalError(cause) {
		t.Error("a local error is mistaken for a remote one")
	}
}
