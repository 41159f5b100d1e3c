// Package http1 parses HTTP/1.1 responses in place and encodes GET requests (RFC 9112). It implements only what the
// long polling of internal/discovery needs. It keeps no state: an incomplete response must be parsed again from its
// start when more bytes have arrived.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	// ErrIncomplete means that more bytes are needed to complete the response.
	ErrIncomplete = errors.New("http1: incomplete response")
	// ErrMalformed means that the bytes are not the start of a valid response.
	ErrMalformed = errors.New("http1: malformed response")
	// ErrTooLarge means that the response exceeds a limit.
	ErrTooLarge = errors.New("http1: response too large")
)

const (
	maxHead       = 16 << 10 // limit of an incomplete head, and of the line before a chunk, in bytes
	unknownLength = -1       // value of framing.length if the head does not specify a length
	minStatus     = 100
)

var (
	lineEnd       = []byte("\r\n")
	headEnd       = []byte("\r\n\r\n")
	versionPrefix = []byte("HTTP/1.")
)

// Response is a parsed response. Body shares memory with the parsed bytes.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the server closes the connection after the response
	Size   int  // size of the complete response, in bytes
}

// framing describes how the body is delimited.
type framing struct {
	length  int // length of the body in bytes, or unknownLength
	chunked bool
}

// Parse parses the response at the start of b, whose body must not exceed maxBody bytes. It joins the chunks of a
// chunked body in place, which modifies b, so b must not be parsed again after a complete response. ended means that
// no more bytes will arrive. The errors are ErrIncomplete, ErrMalformed and ErrTooLarge.
func Parse(b []byte, maxBody int, ended bool) (Response, error) {
	var r Response
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return r, incompleteHeadError(b)
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

// incompleteHeadError returns ErrIncomplete if more bytes could complete the head, and another error otherwise.
func incompleteHeadError(b []byte) error {
	if len(b) > maxHead {
		return ErrTooLarge
	}
	n := min(len(b), len(versionPrefix))
	if !bytes.Equal(b[:n], versionPrefix[:n]) {
		return ErrMalformed
	}
	return ErrIncomplete
}

// parseHead parses the status line and the header fields, without the empty line after them.
func (r *Response) parseHead(head []byte) (framing, error) {
	statusLine, fields, _ := bytes.Cut(head, lineEnd)
	if err := r.parseStatusLine(statusLine); err != nil {
		return framing{}, err
	}
	f := framing{length: unknownLength}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, lineEnd)
		if err := r.parseField(field, &f); err != nil {
			return framing{}, err
		}
	}
	return f, nil
}

// parseStatusLine parses "HTTP/1.x NNN reason". By default, HTTP/1.0 closes the connection after the response.
func (r *Response) parseStatusLine(line []byte) error {
	const minor, space, status, statusEnd = 7, 8, 9, 12 // offsets in the line
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

// parseField parses one header field. It ignores fields that affect neither the framing nor the connection. Different
// lengths and transfer codings other than chunked are errors.
func (r *Response) parseField(line []byte, f *framing) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return ErrMalformed
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("content-length")):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || f.length != unknownLength && f.length != int(n) {
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

// parseBody parses the body at the start of b and returns its encoded size in bytes.
func (r *Response) parseBody(b []byte, f framing, maxBody int, ended bool) (size int, err error) {
	switch {
	case hasNoBody(r.Status):
		return 0, nil
	case f.chunked:
		return r.parseChunked(b, maxBody)
	case f.length == unknownLength:
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

// hasNoBody reports whether responses with a status have no body, whatever their header fields say.
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
	if len(b) > 2*maxBody+maxHead { // size lines may double the size of the body
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

// eachChunk calls handle for each chunk of a body, and returns the encoded size of the body and its trailer fields. It
// rejects a body that is too large as soon as the size lines show this, before the bytes have arrived.
func eachChunk(b []byte, maxBody int, handle func(chunk []byte)) (size int, err error) {
	offset, total := 0, 0
	for {
		length, lineSize, err := parseChunkLine(b[offset:])
		if err != nil {
			return 0, err
		}
		offset += lineSize
		if length == 0 {
			break
		}
		total += length
		if total > maxBody {
			return 0, ErrTooLarge
		}
		end := offset + length
		if len(b) < end+len(lineEnd) {
			return 0, ErrIncomplete
		}
		if !bytes.HasPrefix(b[end:], lineEnd) {
			return 0, ErrMalformed
		}
		handle(b[offset:end])
		offset = end + len(lineEnd)
	}
	trailers, err := trailerSize(b[offset:])
	return offset + trailers, err
}

// parseChunkLine parses the line before a chunk: its length in hexadecimal, followed by optional extensions.
func parseChunkLine(b []byte) (length, lineSize int, err error) {
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

// trailerSize returns the size of the trailer fields after the last chunk, including the empty line at their end.
func trailerSize(b []byte) (int, error) {
	offset := 0
	for {
		line, _, ok := bytes.Cut(b[offset:], lineEnd)
		if !ok {
			return 0, ErrIncomplete
		}
		offset += len(line) + len(lineEnd)
		if len(line) == 0 {
			return offset, nil
		}
	}
}

// AppendGet appends an encoded GET request for a path, which may include a query. host is host:port.
func AppendGet(b []byte, host, path string) []byte {
	b = append(b, "GET "...)
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\nAccept: application/json\r\n\r\n"...)
}
