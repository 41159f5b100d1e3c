// Package msgpack decodes MessagePack in place and encodes it. It implements only what the client protocol needs. The
// caller passes an incomplete message to Size again when more bytes have arrived; only a Skipper keeps state.
package msgpack

import (
	"encoding/binary"
	"errors"
)

var (
	// ErrIncomplete means that more bytes are needed to complete the value.
	ErrIncomplete = errors.New("msgpack: incomplete value")
	// ErrMalformed means that the bytes are not the start of a valid value.
	ErrMalformed = errors.New("msgpack: malformed value")
	// ErrTooLarge means that a value exceeds a limit on its size, nesting or number of elements.
	ErrTooLarge = errors.New("msgpack: value too large")
	// ErrKind means that a value is not of the requested kind.
	ErrKind = errors.New("msgpack: unexpected kind of value")
)

const (
	maxDepth    = 16   // maximum nesting of arrays and maps
	maxElements = 1024 // maximum number of elements of an array, or of pairs of a map
)

// Kind is the kind of a value. Encodings of different widths, such as fixstr and str 8, have the same Kind.
type Kind uint8

// The kinds of values.
const (
	Nil Kind = iota
	Bool
	Int
	Float
	Str
	Bin
	Array
	Map
	Ext
)

// head decodes the head of a value. It returns the value's kind, the size of the head (n), and its argument (arg): the
// value of a number or boolean, the number of elements or pairs, or the number of bytes that follow. neg means that
// arg is a negative number in two's complement.
func head(b []byte) (k Kind, n int, arg uint64, neg bool, err error) {
	if len(b) == 0 {
		return 0, 0, 0, false, ErrIncomplete
	}
	// withArg decodes an argument of w bytes after the first byte.
	withArg := func(k Kind, w int) (Kind, int, uint64, bool, error) {
		if len(b) < 1+w {
			return 0, 0, 0, false, ErrIncomplete
		}
		switch w {
		case 1:
			return k, 2, uint64(b[1]), false, nil
		case 2:
			return k, 3, uint64(binary.BigEndian.Uint16(b[1:])), false, nil
		case 4:
			return k, 5, uint64(binary.BigEndian.Uint32(b[1:])), false, nil
		}
		return k, 9, binary.BigEndian.Uint64(b[1:]), false, nil
	}
	c := b[0]
	switch {
	case c < 0x80:
		return Int, 1, uint64(c), false, nil
	case c < 0x90:
		return Map, 1, uint64(c & 15), false, nil
	case c < 0xa0:
		return Array, 1, uint64(c & 15), false, nil
	case c < 0xc0:
		return Str, 1, uint64(c & 31), false, nil
	case c >= 0xe0:
		return Int, 1, uint64(int64(int8(c))), true, nil
	}
	switch c {
	case 0xc0:
		return Nil, 1, 0, false, nil
	case 0xc2, 0xc3:
		return Bool, 1, uint64(c & 1), false, nil
	case 0xc4, 0xc5, 0xc6:
		return withArg(Bin, 1<<(c-0xc4))
	case 0xc7, 0xc8, 0xc9:
		k, n, arg, _, err = withArg(Ext, 1<<(c-0xc7))
		return k, n, arg + 1, false, err // + 1: the type byte of the extension
	case 0xca, 0xcb:
		return withArg(Float, 4<<(c-0xca))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return withArg(Int, 1<<(c-0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		w := 1 << (c - 0xd0)
		k, n, arg, _, err = withArg(Int, w)
		shift := 64 - 8*w
		signed := int64(arg<<shift) >> shift
		return k, n, uint64(signed), signed < 0, err
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return Ext, 1, 1 + 1<<(c-0xd4), false, nil // 1 +: the type byte
	case 0xd9, 0xda, 0xdb:
		return withArg(Str, 1<<(c-0xd9))
	case 0xdc, 0xdd:
		return withArg(Array, 2<<(c-0xdc))
	case 0xde, 0xdf:
		return withArg(Map, 2<<(c-0xde))
	}
	return 0, 0, 0, false, ErrMalformed
}

// Size returns the size of the value at the start of b. It returns ErrIncomplete if bytes are missing, and another
// error if the value is invalid or would be larger than maxSize bytes.
func Size(b []byte, maxSize int) (int, error) {
	n, err := size(b, maxSize, 0)
	if err == nil && n > maxSize {
		return 0, ErrTooLarge
	}
	return n, err
}

// size returns the size of the value at the start of b, which is nested in depth arrays and maps. Limits are checked
// before all bytes have arrived.
func size(b []byte, maxSize, depth int) (int, error) {
	if depth > maxDepth {
		return 0, ErrTooLarge
	}
	k, total, arg, _, err := head(b)
	if err != nil {
		return 0, err
	}
	switch k {
	case Str, Bin, Ext:
		if arg > uint64(maxSize) {
			return 0, ErrTooLarge
		}
		total += int(arg)
	case Array, Map:
		if arg > maxElements {
			return 0, ErrTooLarge
		}
		if k == Map {
			arg *= 2
		}
		for ; arg > 0; arg-- {
			if total > maxSize {
				return 0, ErrTooLarge
			}
			n, err := size(b[total:], maxSize-total, depth+1)
			if err != nil {
				return 0, err
			}
			total += n
		}
	}
	if total > maxSize {
		return 0, ErrTooLarge
	}
	if total > len(b) {
		return 0, ErrIncomplete
	}
	return total, nil
}

// Reader decodes complete values in sequence. After the first error, its methods return zero values.
type Reader struct {
	b   []byte
	err error
}

// Read returns a Reader that starts at the beginning of b.
func Read(b []byte) Reader { return Reader{b: b} }

// Err returns the first error.
func (r *Reader) Err() error { return r.err }

// Peek returns the kind of the next value without removing it. An incomplete or malformed head is an error.
func (r *Reader) Peek() Kind {
	k, _, _, _, err := head(r.b)
	if err != nil && r.err == nil {
		r.err = err
	}
	return k
}

// readHead removes the head of a value, which must be of the kind want. It returns the argument of the head and
// whether that is a negative number.
func (r *Reader) readHead(want Kind) (uint64, bool) {
	if r.err != nil {
		return 0, false
	}
	k, n, arg, neg, err := head(r.b)
	if err == nil && k != want {
		err = ErrKind
	}
	if err != nil {
		r.err = err
		return 0, false
	}
	r.b = r.b[n:]
	return arg, neg
}

// Array decodes the head of an array and returns the number of its elements, which follow.
func (r *Reader) Array() int { n, _ := r.readHead(Array); return int(n) }

// Map decodes the head of a map and returns the number of its pairs of key and value, which follow.
func (r *Reader) Map() int { n, _ := r.readHead(Map); return int(n) }

// Uint decodes a nonnegative integer.
func (r *Reader) Uint() uint64 {
	n, neg := r.readHead(Int)
	if neg && r.err == nil {
		r.err = ErrKind
		return 0
	}
	return n
}

// Bool decodes a boolean.
func (r *Reader) Bool() bool { n, _ := r.readHead(Bool); return n == 1 }

// Bytes decodes a string or binary value. The result shares memory with the Reader's input.
func (r *Reader) Bytes() []byte {
	k := r.Peek()
	if k != Str {
		k = Bin
	}
	n, _ := r.readHead(k)
	if r.err == nil && n > uint64(len(r.b)) {
		r.err = ErrIncomplete
	}
	if r.err != nil {
		return nil
	}
	content := r.b[:n:n]
	r.b = r.b[n:]
	return content
}

// Skip skips one value, including its elements.
func (r *Reader) Skip() {
	if r.err != nil {
		return
	}
	n, err := size(r.b, len(r.b), 0)
	if err != nil {
		r.err = err
		return
	}
	r.b = r.b[n:]
}

// AppendArray appends the head of an array of n elements, which the caller must append. n must be less than 65536.
func AppendArray(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x90|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(b, 0xdc), uint16(n))
}

// AppendMap appends the head of a map of n pairs, which the caller must append. n must be less than 65536.
func AppendMap(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x80|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(b, 0xde), uint16(n))
}

// AppendNil appends nil.
func AppendNil(b []byte) []byte { return append(b, 0xc0) }

// AppendBool appends a boolean.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

// AppendUint appends a nonnegative integer in its shortest encoding.
func AppendUint(b []byte, n uint64) []byte {
	switch {
	case n < 0x80:
		return append(b, byte(n))
	case n <= 0xff:
		return append(b, 0xcc, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(n))
	case n <= 0xffffffff:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), n)
}

// AppendStr appends a string in its shortest encoding.
func AppendStr[T string | []byte](b []byte, s T) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n <= 0xff:
		b = append(b, 0xd9, byte(n))
	case n <= 0xffff:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}

// AppendBinHead appends the head of a binary value of n bytes, which the caller must append.
func AppendBinHead(b []byte, n int) []byte {
	switch {
	case n <= 0xff:
		return append(b, 0xc4, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}
