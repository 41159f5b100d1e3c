// Package resp decodes RESP arrays of bulk strings in place, and encodes them. It keeps no state: an incomplete
// message must be parsed again when more bytes have arrived.
package resp

import (
	"errors"
	"strconv"
)

var (
	// ErrIncomplete means that the array is not complete yet.
	ErrIncomplete = errors.New("resp: incomplete array")
	// ErrMalformed means that the bytes are not the start of a valid array of bulk strings.
	ErrMalformed = errors.New("resp: malformed array")
	// ErrTooLarge means that an array has too many words, or a word is too long.
	ErrTooLarge = errors.New("resp: array too large")
)

const maxDigits = 9

// Parse parses the array at the start of b. It stores slices of b in words, and returns the number of words and the
// size of the array in bytes. The array may have at most len(words) words, each of at most maxWordSize bytes.
func Parse(b []byte, words [][]byte, maxWordSize int) (count, size int, err error) {
	count, at, err := number(b, 0, '*')
	if err != nil {
		return 0, 0, err
	}
	if count < 1 || count > len(words) {
		return 0, 0, ErrTooLarge
	}
	for i := 0; i < count; i++ {
		n, next, err := number(b, at, '$')
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
		words[i], at = b[next:end:end], end+2
	}
	return count, at, nil
}

// number parses the given type byte, a number and the end of the line.
func number(b []byte, at int, typeByte byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, ErrIncomplete
	}
	if b[at] != typeByte {
		return 0, 0, ErrMalformed
	}
	for i := at + 1; i < len(b); i++ {
		switch c := b[i]; {
		case c >= '0' && c <= '9' && i-at <= maxDigits:
			n = n*10 + int(c-'0')
		case c == '\r' && i > at+1:
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

// AppendArray appends the head of an array of n words, which must follow.
func AppendArray(b []byte, n int) []byte { return line(b, '*', n) }

// AppendWord appends one word.
func AppendWord[T string | []byte](b []byte, s T) []byte {
	return append(append(AppendHead(b, len(s)), s...), '\r', '\n')
}

// AppendHead appends the head of a word of n bytes. The word and a line end must follow.
func AppendHead(b []byte, n int) []byte { return line(b, '$', n) }

func line(b []byte, typeByte byte, n int) []byte {
	return append(strconv.AppendInt(append(b, typeByte), int64(n), 10), '\r', '\n')
}
