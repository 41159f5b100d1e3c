package frontend

import (
	"bytes"
	"strconv"

	"threadrun/routing"
)

const (
	maxUintDigits   = 12  // digits of an integer, so that it can't overflow a uint64
	maxDecimalBytes = 24  // bytes of a decimal number
	maxDecimal      = 1e9 // decimal numbers must be less
)

// parseHexID sets id to the hexadecimal digits in b, and reports whether b is valid.
func parseHexID(id *HexID, b []byte) bool {
	if len(b) != len(id) {
		return false
	}
	for i, digit := range b {
		if !isHexDigit(digit) {
			return false
		}
		id[i] = digit
	}
	return true
}

func isHexDigit(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

// parseUint parses a nonnegative decimal integer that is at most limit.
func parseUint(b []byte, limit uint64) (uint64, bool) {
	if len(b) == 0 || len(b) > maxUintDigits {
		return 0, false
	}
	var n uint64
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = n*10 + uint64(digit-'0')
	}
	return n, n <= limit
}

// parseDecimal parses a nonnegative decimal number, possibly with an exponent. It refuses hexadecimal numbers,
// infinities and NaN, which strconv.ParseFloat accepts.
func parseDecimal(b []byte) (float64, bool) {
	if len(b) == 0 || len(b) > maxDecimalBytes || bytes.ContainsAny(b, "xXpP_iInN") {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil && x >= 0 && x < maxDecimal
}

// parseTimeout parses a timeout in milliseconds. A negative number means that the timeout has already passed; the
// result is 0.
func parseTimeout(b []byte) (routing.Micros, bool) {
	if len(b) > 1 && b[0] == '-' {
		_, ok := parseDecimal(b[1:])
		return 0, ok
	}
	milliseconds, ok := parseDecimal(b)
	return routing.Micros(milliseconds * 1000), ok
}

// isForwardable reports whether b may be forwarded in the field lists of the cache protocol, which are separated by
// commas: it is printable ASCII without spaces and commas, and at most maxForwardableBytes long.
func isForwardable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == ',' || c >= 0x7f {
			return false
		}
	}
	return len(b) <= maxForwardableBytes
}
