// Package resp decodes arrays of bulk strings in RESP, the Redis serialization protocol, in place, and encodes them.
// The bulk strings are called words. The package keeps no state: an incomplete array must be parsed again from its
// start when more bytes have arrived.
package resp

import (
	"errors"
	"strconv"
)

var (
	// ErrIncomplete means that more bytes are needed to complete the array.
	ErrIncomplete = errors.New("resp: incomplete array")
	// ErrMalformed means that the bytes are not the start of a valid array of bulk strings.
	ErrMalformed = errors.New("resp: malformed array")
	// ErrTooLarge means that the array is empty or has too many words, or that a word is too long.
	ErrTooLarge = errors.New("resp: array too large")
)

const maxDigits = 9 // of a number, which therefore fits into 32 bits

// Parse parses the array at the start of b. It stores slices of b in words, and returns the number of words and the
// size of the array in bytes. The array must have 1 to len(words) words, each of at most maxWordSize bytes.
func Parse(b []byte, words [][]byte, maxWordSize int) (count, size int, err error) {
	count, offset, err := parseLine(b, 0, '*')
	if err != nil {
		return 0, 0, err
	}
	if count < 1 || count > len(words) {
		return 0, 0, ErrTooLarge
	}
	for i := 0; i < count; i++ {
		n, next, err := parseLine(b, offset, '$')
		if err != nil {
			return 0, 0, err
		}
		if n > maxWordSize {
			return 0, 0, ErrTooLarge
		}
		end := next + n
		if len(b) < end+2 {
			if len(b) > end && b[end] != '\r' {
				return 0, 0, ErrMalformed
			}
			return 0, 0, ErrIncomplete
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return 0, 0, ErrMalformed
		}
		words[i], offset = b[next:end:end], end+2
	}
	return count, offset, nil
}

// parseLine parses a line that starts at an offset: the given type byte, a decimal number and the end of the line. It
// returns the number and the offset of the next line.
func parseLine(b []byte, offset int, typeByte byte) (n, next int, err error) {
	if offset >= len(b) {
		return 0, 0, ErrIncomplete
	}
	if b[offset] != typeByte {
		return 0, 0, ErrMalformed
	}
	for i := offset + 1; i < len(b); i++ {
		switch c := b[i]; {
		case c >= '0' && c <= '9' && i-offset <= maxDigits:
			n = n*10 + int(c-'0')
		case c == '\r' && i > offset+1:
			if i+1 == len(b) {
				return 0, 0, ErrIncomplete
			}
			if b[i+1] != '\n' {
				return 0, 0, ErrMalformed
			}
			return n, i + 2, nil
		default:
			return 0, 0, ErrMalformed
		}
	}
	return 0, 0, ErrIncomplete
}

// AppendArray appends the head of an array of n words, which the caller must append.
func AppendArray(b []byte, n int) []byte { return appendLine(b, '*', n) }

// AppendWord appends one word.
func AppendWord[T string | []byte](b []byte, s T) []byte {
	return append(append(AppendHead(b, len(s)), s...), '\r', '\n')
}

// AppendHead appends the head of a word of n bytes. The caller must append the word and "\r\n".
func AppendHead(b []byte, n int) []byte { return appendLine(b, '$', n) }

// appendLine appends a line of a type byte and a decimal number.
func appendLine(b []byte, typeByte byte, n int) []byte {
	return append(strconv.AppendInt(append(b, typeByte), int64(n), 10), '\r', '\n')
}
