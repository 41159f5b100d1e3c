// Package resp reads and writes RESP arrays of bulk strings in place. It holds no state: a message that has not
// come whole is measured again, from length to length, when more has come.
package resp

import (
	"errors"
	"strconv"
)

var (
	// ErrIncomplete says that the array has not come whole.
	ErrIncomplete = errors.New("resp: incomplete")
	// ErrMalformed says that no more bytes can make this an array of bulk strings.
	ErrMalformed = errors.New("resp: broken framing")
	// ErrTooLarge says that an array holds more, or longer, words than are taken.
	ErrTooLarge = errors.New("resp: beyond bounds")
)

const maxDigits = 9

// Parse reads one array from the start of b into words, in place, and gives its size. An array has as many words
// as there is room for, at most; no word is longer than most.
func Parse(b []byte, words [][]byte, most int) (count, size int, err error) {
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
		if n > most {
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

// number reads a mark, a count and the line's end.
func number(b []byte, at int, mark byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, ErrIncomplete
	}
	if b[at] != mark {
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

// AppendArray begins an array of so many words.
func AppendArray(b []byte, n int) []byte { return line(b, '*', n) }

// AppendWord writes one word.
func AppendWord[T string | []byte](b []byte, s T) []byte {
	return append(append(AppendHead(b, len(s)), s...), '\r', '\n')
}

// AppendHead begins a word of the given length; the word and a line's end are to follow.
func AppendHead(b []byte, n int) []byte { return line(b, '$', n) }

func line(b []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(b, mark), int64(n), 10), '\r', '\n')
}
