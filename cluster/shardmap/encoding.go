package shardmap

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/octets"
)

// Maximum sizes of an encoded map.
const (
	MaxOwners = 1400 // an announcement carries a bit set of the owners, of at most 175 bytes
	MaxRanges = 1 << 15
)

const (
	idSize     = 8 // in bytes
	digestSize = 8 // in bytes
)

// ErrUnreadable is returned for a datagram or an encoded map that is malformed or exceeds a size limit.
var ErrUnreadable = errors.New("shardmap: unreadable datagram or map")

// encode sets the map's encoded form and its digest from its other fields. The encoding consists of the term, the
// number, the predecessor, the owners and the ranges; the digest is not part of it.
func (m *Map) encode() {
	b := binary.AppendUvarint(nil, uint64(m.Term))
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = octets.AppendUint(b, uint64(m.Predecessor), digestSize)
	b = binary.AppendUvarint(b, uint64(len(m.Owners)))
	for _, owner := range m.Owners {
		b = appendOwner(b, owner)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Ranges)))
	next := Key(0)
	for i := range m.Ranges {
		r := &m.Ranges[i]
		// A range is encoded as its distance from the previous range, which is 0 in a valid map, and its length. The
		// length is rotated so that a number of complete slots becomes a small number. All arithmetic wraps around, so
		// ranges that break the rules are preserved, too.
		b = binary.AppendUvarint(b, uint64(r.First-next))
		b = binary.AppendUvarint(b, bits.RotateLeft64(uint64(r.Last-r.First)+1, 64-slotBits))
		b = binary.AppendUvarint(b, uint64(r.Owner))
		for _, replica := range r.Replicas {
			b = binary.AppendUvarint(b, uint64(replica+1)) // encodes NoOwner as 0
		}
		next = r.Last + 1
	}
	m.encoded = b
	m.Digest = Digest(xxhash.Sum64(b))
}

// decode decodes a map, computes its digest and retains the slice. The map may break any rule: see Validate. The
// error is ErrUnreadable.
func decode(encoded []byte) (*Map, error) {
	r := octets.Reader{B: encoded}
	m := &Map{encoded: encoded}
	m.Term = lease.Term(r.Uvarint(math.MaxInt32))
	m.Number = uint32(r.Uvarint(math.MaxUint32))
	m.Predecessor = Digest(r.Uint(digestSize))
	for n := r.Uvarint(MaxOwners); n > 0 && !r.Bad; n-- {
		m.Owners = append(m.Owners, readOwner(&r))
	}
	next := Key(0)
	for n := r.Uvarint(MaxRanges); n > 0 && !r.Bad; n-- {
		keys := readRange(&r, next)
		m.Ranges = append(m.Ranges, keys)
		next = keys.Last + 1
	}
	if r.Bad || len(r.B) > 0 {
		return nil, ErrUnreadable
	}
	m.Digest = Digest(xxhash.Sum64(encoded))
	return m, nil
}

// readRange decodes a range. next is the key after the last one of the previous range.
func readRange(r *octets.Reader, next Key) Range {
	keys := Range{First: next + Key(r.Uvarint(math.MaxUint64))}
	keys.Last = keys.First + Key(bits.RotateLeft64(r.Uvarint(math.MaxUint64), slotBits-64)) - 1
	keys.Owner = uint16(r.Uvarint(math.MaxUint16))
	for i := range keys.Replicas {
		keys.Replicas[i] = uint16(r.Uvarint(math.MaxUint16)) - 1
	}
	return keys
}

func appendOwner(b []byte, owner Owner) []byte {
	b = octets.AppendUint(b, uint64(owner.ID), idSize)
	return binary.AppendUvarint(b, uint64(owner.Incarnation))
}

func readOwner(r *octets.Reader) Owner {
	id := membership.NodeID(r.Uint(idSize))
	return Owner{id, membership.Incarnation(r.Uvarint(math.MaxInt64))}
}

func appendVersion(b []byte, version Version) []byte {
	b = binary.AppendUvarint(b, uint64(version.Term))
	b = binary.AppendUvarint(b, uint64(version.Number))
	return octets.AppendUint(b, uint64(version.Digest), digestSize)
}

func readVersion(r *octets.Reader) Version {
	term := lease.Term(r.Uvarint(math.MaxInt32))
	number := uint32(r.Uvarint(math.MaxUint32))
	return Version{term, number, Digest(r.Uint(digestSize))}
}
