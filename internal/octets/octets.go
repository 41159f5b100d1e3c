// Package octets encodes and decodes the fields of the binary datagrams between routers.
package octets

import (
	"encoding/binary"
	"net/netip"
)

// Reader decodes fields from B and removes them from it. At the first malformed field it sets Bad and empties B, so
// that all further fields are malformed too. The methods return zero values for malformed fields.
type Reader struct {
	B   []byte // bytes that are not decoded yet
	Bad bool   // a field was malformed
}

// fail marks the input as malformed.
func (r *Reader) fail() { r.Bad, r.B = true, nil }

// Uvarint decodes an unsigned varint. A number greater than limit is malformed.
func (r *Reader) Uvarint(limit uint64) uint64 {
	x, n := binary.Uvarint(r.B)
	if n <= 0 || x > limit {
		r.fail()
		return 0
	}
	r.B = r.B[n:]
	return x
}

// Byte decodes one byte.
func (r *Reader) Byte() byte {
	if len(r.B) == 0 {
		r.fail()
		return 0
	}
	b := r.B[0]
	r.B = r.B[1:]
	return b
}

// Uint decodes a big-endian integer of n bytes. n must be at most 8.
func (r *Reader) Uint(n int) (x uint64) {
	if len(r.B) < n {
		r.fail()
		return 0
	}
	for _, b := range r.B[:n] {
		x = x<<8 | uint64(b)
	}
	r.B = r.B[n:]
	return x
}

// Bytes returns the next n bytes, which share memory with the input, or nil if there are fewer. The input is also
// malformed if n is negative.
func (r *Reader) Bytes(n int) []byte {
	if n < 0 || len(r.B) < n {
		r.fail()
		return nil
	}
	b := r.B[:n]
	r.B = r.B[n:]
	return b
}

// Address decodes an address and a port, as encoded by AppendAddress: 18 bytes if ipv6 is set, 6 bytes otherwise.
func (r *Reader) Address(ipv6 bool) netip.AddrPort {
	var a netip.Addr
	if ipv6 {
		if b := r.Bytes(16); b != nil {
			a = netip.AddrFrom16([16]byte(b))
		}
	} else if b := r.Bytes(4); b != nil {
		a = netip.AddrFrom4([4]byte(b))
	}
	return netip.AddrPortFrom(a, uint16(r.Uint(2)))
}

// AppendUint appends the lowest n bytes of x in big-endian order.
func AppendUint(b []byte, x uint64, n int) []byte {
	for n--; n >= 0; n-- {
		b = append(b, byte(x>>(8*n)))
	}
	return b
}

// AppendAddress appends an address and a port, in 6 bytes for IPv4 or 18 bytes for IPv6. The encoding does not contain
// its length: the caller must also encode IsIPv6.
func AppendAddress(b []byte, x netip.AddrPort) []byte {
	if a := x.Addr().Unmap(); a.Is4() {
		ipv4 := a.As4()
		b = append(b, ipv4[:]...)
	} else {
		ipv6 := a.As16()
		b = append(b, ipv6[:]...)
	}
	return binary.BigEndian.AppendUint16(b, x.Port())
}

// FromBool returns 1 for true and 0 for false.
func FromBool(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// IsIPv6 reports whether AppendAddress encodes an address as IPv6. IPv4-mapped addresses are encoded as IPv4.
func IsIPv6(x netip.AddrPort) bool { return !x.Addr().Unmap().Is4() }
