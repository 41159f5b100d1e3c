package testserver

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Fields parses a list of fields of the cache protocol: name=value pairs separated by commas.
func Fields(s string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Split(s, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			fields[name] = value
		}
	}
	return fields
}

// Array encodes words as an array of bulk strings in RESP, the Redis protocol, which the cache protocol uses.
func Array(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// ReadArray reads a RESP array of bulk strings. It returns an error if reading fails or the input is not such an
// array.
func ReadArray(r *bufio.Reader) ([]string, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

// readLength reads a line that consists of a type byte and a length.
func readLength(r *bufio.Reader, typeByte byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != typeByte {
		return 0, fmt.Errorf("cache protocol: line %q does not begin with %q", line, typeByte)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
