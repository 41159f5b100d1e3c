package summary

import (
	"encoding/binary"
	"errors"
	"math"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("summary: unreadable datagram")

// MaxPayload is the maximum size of a datagram of this package, in bytes.
const MaxPayload = 208

const (
	pieceWords = 20 // maximum number of 64-bit words of a filter in a piece
	maxPieces  = 64 // maximum number of pieces of a summary: the size of assembly.receivedPieces in bits
	wordBytes  = 8
	wordBits   = 64
)

// request requests a piece of a summary under a lease. It is encoded as varints.
type request struct {
	number uint32 // identifies the request in its answer
	piece  int    // index of the piece
	lease  Micros // length of the lease, encoded in whole seconds
}

// append encodes a request.
func (r *request) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.number))
	b = binary.AppendUvarint(b, uint64(r.piece))
	return binary.AppendUvarint(b, uint64(r.lease/clock.Second))
}

// readRequest decodes a request. The error is ErrUnreadable.
func readRequest(b []byte) (*request, error) {
	in := octets.Reader{B: b}
	r := &request{
		number: uint32(in.Uvarint(math.MaxUint32)),
		piece:  int(in.Uvarint(maxPieces)),
		lease:  Micros(in.Uvarint(uint64(MaxLease/clock.Second))) * clock.Second,
	}
	if in.Bad || len(in.B) > 0 {
		return nil, ErrUnreadable
	}
	return r, nil
}

// piece is a part of a summary's filter, with all other fields of the summary, so that pieces can arrive in any
// order.
type piece struct {
	number     uint32   // number of the answered request
	summary    *Summary // without its filter if decoded
	filterBits uint     // size of the whole filter
	hashes     uint     // number of hash functions of the filter
	index      int      // index of this piece
	count      int      // number of pieces of the summary
	words      []uint64 // the words of the filter from index*pieceWords
}

// append encodes a piece. The words of the filter extend to the end of the datagram.
func (p *piece) append(b []byte) []byte {
	s := p.summary
	b = binary.AppendUvarint(b, uint64(p.number))
	b = octets.AppendUint(b, uint64(s.Owner.ID), 8)
	b = binary.AppendUvarint(b, uint64(s.Owner.Incarnation))
	b = octets.AppendUint(b, uint64(s.Map), 8)
	b = binary.AppendUvarint(b, uint64(s.Version))
	b = binary.AppendUvarint(b, uint64(s.records))
	b = binary.AppendUvarint(b, uint64(s.minSizeKB))
	b = binary.AppendUvarint(b, uint64(s.maxSizeKB))
	b = binary.AppendUvarint(b, uint64(p.filterBits))
	b = append(b, byte(p.hashes), byte(p.count), byte(p.index))
	for _, w := range p.words {
		b = octets.AppendUint(b, w, wordBytes)
	}
	return b
}

// readPiece decodes a piece. The error is ErrUnreadable.
func readPiece(b []byte) (*piece, error) {
	in := octets.Reader{B: b}
	p := &piece{number: uint32(in.Uvarint(math.MaxUint32)), summary: &Summary{}}
	s := p.summary
	s.Owner.ID = membership.NodeID(in.Uint(8))
	s.Owner.Incarnation = membership.Incarnation(in.Uvarint(math.MaxInt64))
	s.Map = shardmap.Digest(in.Uint(8))
	s.Version = uint32(in.Uvarint(math.MaxUint32))
	s.records = uint32(in.Uvarint(math.MaxUint32))
	s.minSizeKB = uint32(in.Uvarint(math.MaxUint32))
	s.maxSizeKB = uint32(in.Uvarint(math.MaxUint32))
	p.filterBits = uint(in.Uvarint(maxPieces * pieceWords * wordBits))
	p.hashes = uint(in.Byte())
	p.count = int(in.Byte())
	p.index = int(in.Byte())
	validFilter := p.hashes > 0 && p.filterBits > 0 && len(in.B)%wordBytes == 0
	validIndex := p.count > 0 && p.count <= maxPieces && p.index < p.count
	if in.Bad || len(b) > MaxPayload || !validFilter || !validIndex {
		return nil, ErrUnreadable
	}
	for len(in.B) > 0 {
		p.words = append(p.words, in.Uint(wordBytes))
	}
	return p, nil
}
