// Package http1 reads answers of HTTP/1.1 and writes its requests, as far as a long poll needs them. It holds no
// state: an answer that has not come whole is measured again when more has come.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrShort says that the answer has not come whole.
	ErrShort = errors.New("http1: incomplete")
	// ErrBroken says that no more bytes can make this an answer.
	ErrBroken = errors.New("http1: broken framing")
	// ErrBound says that an answer is larger than is taken.
	ErrBound = errors.New("http1: beyond bounds")
)

const headMost = 16 << 10

// Answer is one answer, in place.
type Answer struct {
	Code  int
	Body  []byte
	Close bool // the connection ends with it
	Size  int  // of all of it
}

// Parse reads one answer from the start of b, with a body of most bytes at most. A chunked body is drawn together
// in place, so b is not to be parsed again after a whole answer. Ended tells that no more bytes will come.
func Parse(b []byte, most int, ended bool) (Answer, error) {
	var a Answer
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > headMost {
			return a, ErrBound
		}
		if n := min(len(b), 7); !bytes.Equal(b[:n], []byte("HTTP/1.")[:n]) {
			return a, ErrBroken
		}
		return a, ErrShort
	}
	head, rest := b[:end], b[end+4:]
	status, head, _ := bytes.Cut(head, []byte("\r\n"))
	if len(status) < 12 || !bytes.HasPrefix(status, []byte("HTTP/1.")) || status[8] != ' ' {
		return a, ErrBroken
	}
	code, err := strconv.Atoi(string(status[9:12]))
	if err != nil || code < 100 {
		return a, ErrBroken
	}
	a.Code, a.Close = code, status[7] == '0'
	length, chunked := -1, false
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return a, ErrBroken
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return a, ErrBroken
			}
			length = int(n)
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
			if !chunked {
				return a, ErrBroken
			}
		case bytes.EqualFold(name, []byte("connection")):
			a.Close = bytes.EqualFold(value, []byte("close"))
		}
	}
	switch {
	case code < 200 || code == 204 || code == 304:
		a.Size = end + 4
	case chunked:
		if len(rest) > 2*most+headMost {
			return a, ErrBound
		}
		n, body, err := chunks(rest, most)
		if err != nil {
			return a, err
		}
		a.Body, a.Size = body, end+4+n
	case length < 0: // the body lasts until the connection ends
		if len(rest) > most {
			return a, ErrBound
		}
		if !ended {
			return a, ErrShort
		}
		a.Body, a.Size, a.Close = rest, len(b), true
	case length > most:
		return a, ErrBound
	case len(rest) < length:
		return a, ErrShort
	default:
		a.Body, a.Size = rest[:length], end+4+length
	}
	return a, nil
}

// chunks measures a chunked body first and then draws it together.
func chunks(b []byte, most int) (size int, body []byte, err error) {
	for pass := 0; pass < 2; pass++ {
		at, total := 0, 0
		for {
			line, _, ok := bytes.Cut(b[at:], []byte("\r\n"))
			if !ok {
				if len(b)-at > headMost {
					return 0, nil, ErrBound
				}
				return 0, nil, ErrShort
			}
			digits, _, _ := bytes.Cut(line, []byte(";"))
			n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
			if err != nil {
				return 0, nil, ErrBroken
			}
			at += len(line) + 2
			if n == 0 {
				break
			}
			if total += int(n); total > most {
				return 0, nil, ErrBound
			}
			if len(b) < at+int(n)+2 {
				return 0, nil, ErrShort
			}
			if b[at+int(n)] != '\r' || b[at+int(n)+1] != '\n' {
				return 0, nil, ErrBroken
			}
			if pass == 1 {
				copy(b[total-int(n):], b[at:at+int(n)])
			}
			at += int(n) + 2
		}
		for { // trailers
			line, _, ok := bytes.Cut(b[at:], []byte("\r\n"))
			if !ok {
				return 0, nil, ErrShort
			}
			at += len(line) + 2
			if len(line) == 0 {
				break
			}
		}
		size, body = at, b[:total]
	}
	return size, body, nil
}

// AppendGet writes a request.
func AppendGet(b []byte, host, path string) []byte {
	b = append(append(append(b, "GET "...), path...), " HTTP/1.1\r\nHost: "...)
	return append(append(b, host...), "\r\nAccept: application/json\r\n\r\n"...)
}
