// Package http1 parses HTTP/1.1 responses in place and encodes GET requests, as far as long polling needs them (RFC
// 9112). It is used by internal/discovery. It keeps no state: an incomplete response must be parsed again when more
// bytes have arrived.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrIncomplete means that the response is not complete yet.
	ErrIncomplete = errors.New("http1: incomplete response")
	// ErrMalformed means that the bytes are not the start of a valid response.
	ErrMalformed = errors.New("http1: malformed response")
	// ErrTooLarge means that the response exceeds a limit.
	ErrTooLarge = errors.New("http1: response too large")
)

const (
	maxHead   = 16 << 10 // in bytes; also limits a chunk's size line
	unknown   = -1       // value of framing.length if the head does not specify a length
	minStatus = 100
)

var (
	lineEnd       = []byte("\r\n")
	headEnd       = []byte("\r\n\r\n")
	versionPrefix = []byte("HTTP/1.")
)

// Response is a parsed response. Body refers to the parsed bytes.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection ends after the response
	Size   int  // size of the complete response, in bytes
}

// framing describes how the body is delimited.
type framing struct {
	length  int // length of the body, or unknown
	chunked bool
}

// Parse parses the response at the start of b, whose body must not exceed maxBody bytes. It joins a chunked body in
// place, so b must not be parsed again after a complete response. ended means that no more bytes will arrive. The
// errors are ErrIncomplete, ErrMalformed and ErrTooLarge.
func Parse(b []byte, maxBody int, ended bool) (Response, error) {
	var r Response
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return r, incompleteHead(b)
	}
	framing, err := r.parseHead(b[:end])
	if err != nil {
		return r, err
	}
	bodyStart := end + len(headEnd)
	bodySize, err := r.parseBody(b[bodyStart:], framing, maxBody, ended)
	if err != nil {
		return r, err
	}
	r.Size = bodyStart + bodySize
	return r, nil
}

// incompleteHead returns ErrIncomplete if more bytes could complete the head, and another error otherwise.
func incompleteHead(b []byte) error {
	if len(b) > maxHead {
		return ErrTooLarge
	}
	n := min(len(b), len(versionPrefix))
	if !bytes.Equal(b[:n], versionPrefix[:n]) {
		return ErrMalformed
	}
	return ErrIncomplete
}

func (r *Response) parseHead(head []byte) (framing, error) {
	statusLine, fields, _ := bytes.Cut(head, lineEnd)
	if err := r.parseStatusLine(statusLine); err != nil {
		return framing{}, err
	}
	f := framing{length: unknown}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, lineEnd)
		if err := r.parseField(field, &f); err != nil {
			return framing{}, err
		}
	}
	return f, nil
}

// parseStatusLine parses "HTTP/1.x NNN reason".
func (r *Response) parseStatusLine(line []byte) error {
	const minor, space, status, statusEnd = 7, 8, 9, 12
	if len(line) < statusEnd || !bytes.HasPrefix(line, versionPrefix) || line[space] != ' ' {
		return ErrMalformed
	}
	code, err := strconv.Atoi(string(line[status:statusEnd]))
	if err != nil || code < minStatus {
		return ErrMalformed
	}
	r.Status = code
	r.Close = line[minor] == '0'
	return nil
}

// parseField parses one header field. It ignores fields that do not affect the framing.
func (r *Response) parseField(line []byte, f *framing) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return ErrMalformed
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("content-length")):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || f.length != unknown && f.length != int(n) {
			return ErrMalformed
		}
		f.length = int(n)
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		f.chunked = bytes.EqualFold(value, []byte("chunked"))
		if !f.chunked {
			return ErrMalformed
		}
	case bytes.EqualFold(name, []byte("connection")):
		r.Close = bytes.EqualFold(value, []byte("close"))
	}
	return nil
}

// parseBody parses the body at the start of b and returns its encoded size.
func (r *Response) parseBody(b []byte, f framing, maxBody int, ended bool) (size int, err error) {
	switch {
	case hasNoBody(r.Status):
		return 0, nil
	case f.chunked:
		return r.parseChunked(b, maxBody)
	case f.length == unknown:
		return r.parseUntilEnd(b, maxBody, ended)
	case f.length > maxBody:
		return 0, ErrTooLarge
	case len(b) < f.length:
		return 0, ErrIncomplete
	default:
		r.Body = b[:f.length]
		return f.length, nil
	}
}

func hasNoBody(status int) bool { return status < 200 || status == 204 || status == 304 }

// parseUntilEnd parses a body that lasts until the connection ends.
func (r *Response) parseUntilEnd(b []byte, maxBody int, ended bool) (size int, err error) {
	if len(b) > maxBody {
		return 0, ErrTooLarge
	}
	if !ended {
		return 0, ErrIncomplete
	}
	r.Body = b
	r.Close = true
	return len(b), nil
}

// parseChunked parses a chunked body. It modifies b only if the body is complete.
func (r *Response) parseChunked(b []byte, maxBody int) (size int, err error) {
	if len(b) > 2*maxBody+maxHead {
		return 0, ErrTooLarge
	}
	size, err = eachChunk(b, maxBody, func([]byte) {})
	if err != nil {
		return 0, err
	}
	joined := b[:0]
	if _, err := eachChunk(b, maxBody, func(chunk []byte) { joined = append(joined, chunk...) }); err != nil {
		return 0, err
	}
	r.Body = joined
	return size, nil
}

// eachChunk calls take for each chunk of a body, and returns the encoded size of the body and its trailers. It
// rejects a body that is too large because of its chunk sizes, before the bytes have arrived.
func eachChunk(b []byte, maxBody int, take func(chunk []byte)) (size int, err error) {
	at, total := 0, 0
	for {
		length, lineSize, err := chunkLine(b[at:])
		if err != nil {
			return 0, err
		}
		at += lineSize
		if length == 0 {
			break
		}
		total += length
		if total > maxBody {
			return 0, ErrTooLarge
		}
		end := at + length
		if len(b) < end+len(lineEnd) {
			return 0, ErrIncomplete
		}
		if !bytes.HasPrefix(b[end:], lineEnd) {
			return 0, ErrMalformed
		}
		take(b[at:end])
		at = end + len(lineEnd)
	}
	trailers, err := trailerSize(b[at:])
	return at + trailers, err
}

// chunkLine parses the line before a chunk: its length in hexadecimal, followed by optional extensions.
func chunkLine(b []byte) (length, lineSize int, err error) {
	line, _, ok := bytes.Cut(b, lineEnd)
	if !ok {
		if len(b) > maxHead {
			return 0, 0, ErrTooLarge
		}
		return 0, 0, ErrIncomplete
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(n), len(line) + len(lineEnd), nil
}

// trailerSize returns the size of the trailer fields after the last chunk, including the empty line.
func trailerSize(b []byte) (int, error) {
	at := 0
	for {
		line, _, ok := bytes.Cut(b[at:], lineEnd)
		if !ok {
			return 0, ErrIncomplete
		}
		at += len(line) + len(lineEnd)
		if len(line) == 0 {
			return at, nil
		}
	}
}

// AppendGet appends an encoded GET request.
func AppendGet(b []byte, host, path string) []byte {
	b = append(b, "GET "...)
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\nAccept: application/json\r\n\r\n"...)
}
