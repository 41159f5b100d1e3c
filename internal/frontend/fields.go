package frontend

import (
	"bytes"
	"strconv"

	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// fieldBits are the fields that count, each with its bit; others are passed over. The first five are needed.
var fieldBits = map[string]int{"trace": 1, "entity": 2, "piece": 4, "lot": 8, "patience": 16, "size": 32, "ver": 64, "nonce": 128, "customer": 256}

const requiredFields = 1 | 2 | 4 | 8 | 16

// readRequest checks all that a client says before any of it is passed on.
func (c *connection) readRequest(r *msgpack.Reader, method []byte, a *Request) error {
	use, ok := c.server.handler.Class(method)
	if !ok {
		return errUnknownMethod
	}
	a.Class, a.Tenant = use, routing.NoTenant
	args := r.Array()
	if r.Err() != nil || args < 1 {
		return errMissingField
	}
	seen := 0
	for pairs := r.Map(); pairs > 0; pairs-- {
		key := r.Bytes()
		if r.Err() != nil {
			return errBadField
		}
		bit := fieldBits[string(key)]
		if bit == 0 {
			r.Skip()
			continue
		}
		if k := r.Peek(); k != msgpack.Str && k != msgpack.Bin {
			return errBadField
		}
		value := r.Bytes()
		ok := true
		switch string(key) {
		case "trace":
			ok = parseHexID(&a.TraceID, value)
		case "entity":
			ok = parseHexID(&a.Object, value)
		case "piece":
			var n uint64
			n, ok = parseUint(value, 1<<30)
			a.Part = int(n)
		case "lot":
			var n uint64
			n, ok = parseUint(value, 255)
			a.Group = routing.GroupID(n)
		case "patience":
			a.Timeout, ok = parseTimeout(value)
		case "size":
			a.SizeKB, ok = parseDecimal(value)
		case "ver":
			ok = isTag(value)
			a.CachedVersion = value
		case "nonce":
			ok = isTag(value)
			a.IdempotencyKey = value
		case "customer":
			a.Tenant = c.server.handler.Tenant(value)
		}
		if !ok {
			return errBadField
		}
		if seen&bit != 0 {
			return errDuplicateField
		}
		seen |= bit
	}
	if r.Err() != nil {
		return errBadField
	}
	if seen&requiredFields != requiredFields {
		return errMissingField
	}
	if args > 1 {
		if r.Peek() == msgpack.Nil {
			return nil
		}
		if a.Body = r.Bytes(); r.Err() != nil {
			return errBadBody
		}
		if len(a.Body) > maxBody {
			return errBodyTooLarge
		}
	}
	return nil
}

func parseHexID(m *HexID, b []byte) bool {
	if len(b) != len(m) {
		return false
	}
	for i, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
		m[i] = c
	}
	return true
}

func parseUint(b []byte, most uint64) (uint64, bool) {
	if len(b) == 0 || len(b) > 12 {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, n <= most
}

// parseDecimal reads a plain number, not below 0.
func parseDecimal(b []byte) (float64, bool) {
	if len(b) == 0 || len(b) > 24 || bytes.ContainsAny(b, "xXpP_iInN") {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil && x >= 0 && x < 1e9
}

// parseTimeout reads milliseconds; what is below 0 is no time at all.
func parseTimeout(b []byte) (routing.Micros, bool) {
	if len(b) > 1 && b[0] == '-' {
		_, ok := parseDecimal(b[1:])
		return 0, ok
	}
	ms, ok := parseDecimal(b)
	return routing.Micros(ms * 1000), ok
}

// isTag checks a tag that is to stand in a list of fields.
func isTag(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == ',' || c >= 0x7f {
			return false
		}
	}
	return len(b) <= maxTag
}
