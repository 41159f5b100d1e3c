package msgpack

import "errors"

// maxHead is the size in bytes of the largest head of a value.
const maxHead = 9

// Skipper skips one value whose bytes arrive in pieces, without storing them. It applies the limits of Size except the
// one on nesting, since it does not recurse.
//
// Invariant: values is the number of values that have not begun yet, apart from the value whose content is being
// skipped: an array or a map adds its elements to it.
type Skipper struct {
	maxSize int
	skipped int    // bytes of the value that were skipped so far
	values  uint64 // values that have yet to begin
	content uint64 // bytes of a string, binary value or extension that have yet to be skipped
	head    []byte // received part of the head of the next value
}

// NewSkipper returns a Skipper of a value of at most maxSize bytes.
func NewSkipper(maxSize int) Skipper { return Skipper{maxSize: maxSize, values: 1} }

// Skip skips the bytes of b that belong to the value, and returns their number. complete reports whether the value ends
// with them. The error is the one that Size would return for a value that is invalid or too large. Skip must not be
// called again after it has returned complete or an error.
func (s *Skipper) Skip(b []byte) (n int, complete bool, err error) {
	for {
		n += s.skipContent(b[n:])
		if s.content > 0 {
			return n, false, nil
		}
		if s.values == 0 {
			return n, true, nil
		}
		if n == len(b) {
			return n, false, nil
		}
		size, err := s.beginValue(b[n:])
		if err != nil {
			return n, false, err
		}
		n += size
		s.skipped += size
	}
}

// skipContent skips as much of the content as b has, and returns the number of bytes.
func (s *Skipper) skipContent(b []byte) int {
	n := min(s.content, uint64(len(b)))
	s.content -= n
	s.skipped += int(n)
	return int(n)
}

// beginValue reads the head of the next value and returns how many bytes of b belong to it. If the head is incomplete,
// that is all of b, which is stored.
func (s *Skipper) beginValue(b []byte) (int, error) {
	stored := len(s.head)
	whole := append(s.head[:stored:stored], b[:min(len(b), maxHead)]...)
	kind, size, arg, _, err := head(whole)
	if errors.Is(err, ErrIncomplete) {
		s.head = whole
		return len(b), nil
	}
	if err != nil {
		return 0, err
	}
	s.head = nil
	s.values--
	switch kind {
	case Str, Bin, Ext:
		s.content = arg
	case Array, Map:
		if arg > maxElements {
			return 0, ErrTooLarge
		}
		if kind == Map {
			arg *= 2
		}
		s.values += arg
	}
	if s.exceedsLimit(size - stored) {
		return 0, ErrTooLarge
	}
	return size - stored, nil
}

// exceedsLimit reports whether the value has more than maxSize bytes, given that size further ones are about to be
// skipped. Each value that has yet to begin has at least one byte.
func (s *Skipper) exceedsLimit(size int) bool {
	limit := uint64(s.maxSize)
	return s.content > limit || s.values > limit || uint64(s.skipped+size)+s.content+s.values > limit
}
