package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"threadrun/internal/octets"
)

// A datagram consists of: version, kind of the payload, ID of the key, sender ID, a counter that increases with each
// datagram of the sender, the payload, and a tag over all preceding fields. The tag is HMAC-SHA-256 truncated to 16
// bytes as permitted by RFC 2104. Sizes are in bytes; the counter is big-endian.
const (
	version     = 1
	keyIDSize   = 2
	senderSize  = 8
	counterSize = 6
	tagSize     = 16

	kindOffset    = 1
	keyIDOffset   = kindOffset + 1
	senderOffset  = keyIDOffset + keyIDSize
	counterOffset = senderOffset + senderSize
	payloadOffset = counterOffset + counterSize

	// Overhead is the size of a datagram with an empty payload, in bytes.
	Overhead = payloadOffset + tagSize
	// MaxDatagram is the largest datagram that the platform carries, in bytes.
	MaxDatagram = 256
)

// Reasons for dropping a datagram.
var (
	errMalformed  = errors.New("peers: malformed datagram")
	errUnknownKey = errors.New("peers: sealed with an unknown key")
	errBadTag     = errors.New("peers: forged or corrupted")
	errReplayed   = errors.New("peers: received before")
)

// senderID is a random number that identifies one start of a router.
type senderID [senderSize]byte

// sealer seals the datagrams of this router and opens those of others.
type sealer struct {
	keys    *Keys
	self    senderID
	counter uint64 // of the last sealed datagram
	replays replayFilter
	scratch [sha256.Size]byte // reused for each tag
}

func newSealer(keys *Keys, random func([]byte)) *sealer {
	s := &sealer{keys: keys, replays: replayFilter{windows: map[senderID]*replayWindow{}}}
	random(s.self[:])
	return s
}

// seal appends a sealed datagram to b, which must be empty.
func (s *sealer) seal(b []byte, kind byte, payload []byte) []byte {
	s.counter++
	b = append(b, version, kind)
	b = append(b, s.keys.ids[0][:]...)
	b = append(b, s.self[:]...)
	b = octets.AppendUint(b, s.counter, counterSize)
	b = append(b, payload...)
	return append(b, s.keys.appendTag(0, b, s.scratch[:0])...)
}

// open returns the payload of a datagram that is sealed with a known key and was not received before; the payload
// refers to b. A datagram of this router itself counts as replayed. open performs cheap checks first, so that a flood
// of invalid datagrams costs little. The errors are errMalformed, errUnknownKey, errBadTag and errReplayed.
func (s *sealer) open(b []byte) (kind byte, payload []byte, err error) {
	if len(b) < Overhead || len(b) > MaxDatagram || b[0] != version {
		return 0, nil, errMalformed
	}
	key := s.keys.find(b[keyIDOffset:senderOffset])
	if key < 0 {
		return 0, nil, errUnknownKey
	}
	body := b[:len(b)-tagSize]
	if !hmac.Equal(s.keys.appendTag(key, body, s.scratch[:0]), b[len(body):]) {
		return 0, nil, errBadTag
	}
	sender := senderID(b[senderOffset:counterOffset])
	if sender == s.self || !s.replays.accept(sender, counterOf(b)) {
		return 0, nil, errReplayed
	}
	return b[kindOffset], body[payloadOffset:], nil
}

// counterOf returns the counter of a datagram.
func counterOf(b []byte) uint64 {
	var padded [8]byte
	copy(padded[len(padded)-counterSize:], b[counterOffset:payloadOffset])
	return binary.BigEndian.Uint64(padded[:])
}
