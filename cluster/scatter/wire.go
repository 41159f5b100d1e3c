package scatter

import (
	"encoding/binary"
	"math"
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

// maxLimit is the maximum encoded limit on records.
const maxLimit = 1 << 16

// messageType is the first byte of a datagram. The number of the query and the sender's ID follow.
type messageType byte

const (
	requestMessage  messageType = iota + 1
	recordsMessage              // one part of an answer
	otherMapMessage             // the sender follows another map, or does not serve all its keys yet
)

// header starts a datagram.
func (c *Coordinator) header(t messageType, number uint32) []byte {
	b := append(c.buf[:0], byte(t))
	b = binary.AppendUvarint(b, uint64(number))
	return octets.AppendWord(b, uint64(c.self.ID), 8)
}

// parts records which parts of an answer have been received.
type parts struct {
	answer uint32 // digest of the answer; 0: nothing received yet
	set    uint64 // bit set of part indexes
}

func (p parts) has(answer uint32, index int) bool {
	return p.answer == answer && p.set>>index&1 == 1
}

// request requests the matching records.
type request struct {
	mapDigest shardmap.Digest
	received  parts
	query     summary.Query
	limit     int
}

func (r *request) append(b []byte, now Micros) []byte {
	b = octets.AppendWord(b, uint64(r.mapDigest), 8)
	b = binary.AppendUvarint(b, uint64(r.received.answer))
	b = binary.AppendUvarint(b, r.received.set)
	b = octets.AppendWord(b, uint64(r.query.Object), 8)
	b = binary.AppendUvarint(b, uint64(r.query.Group))
	b = binary.AppendUvarint(b, uint64(r.query.MinSizeKB))
	b = binary.AppendUvarint(b, uint64(r.query.MaxSizeKB))
	b = binary.AppendUvarint(b, ageOf(r.query.CreatedBefore, now))
	return binary.AppendUvarint(b, uint64(r.limit))
}

// ageOf returns the age of a time in milliseconds plus 1, rounded so that no copy is missed; 0 means no time.
func ageOf(at, now Micros) uint64 {
	if at == 0 {
		return 0
	}
	return 1 + uint64(max(now-at, 0)/clock.Millisecond)
}

func readRequest(in *octets.Reader, now Micros) (*request, error) {
	r := &request{
		mapDigest: shardmap.Digest(in.Word(8)),
		received: parts{
			answer: uint32(in.Number(math.MaxUint32)),
			set:    in.Number(math.MaxUint64),
		},
		query: summary.Query{
			Object:    shardmap.Key(in.Word(8)),
			Group:     directory.Group(in.Number(math.MaxUint64)),
			MinSizeKB: uint32(in.Number(math.MaxUint32)),
			MaxSizeKB: uint32(in.Number(math.MaxUint32)),
		},
	}
	if age := in.Number(math.MaxUint32); age > 0 {
		r.query.CreatedBefore = max(now-Micros(age-1)*clock.Millisecond, 1)
	}
	r.limit = int(in.Number(maxLimit))
	if in.Bad {
		return nil, ErrUnreadable
	}
	return r, nil
}

// answerPart is one part of an answer.
type answerPart struct {
	mapDigest shardmap.Digest
	answer    uint32 // digest of the answer
	index     int
	count     int
	truncated bool
	records   []directory.Record
}

// append appends the encoded part and its records, which are already encoded.
func (p *answerPart) append(b, records []byte) []byte {
	b = octets.AppendWord(b, uint64(p.mapDigest), 8)
	b = binary.AppendUvarint(b, uint64(p.answer))
	b = append(b, byte(p.index), byte(p.count), octets.FromBool(p.truncated))
	return append(b, records...)
}

func readAnswerPart(in *octets.Reader, now Micros) (*answerPart, error) {
	p := &answerPart{
		mapDigest: shardmap.Digest(in.Word(8)),
		answer:    uint32(in.Number(math.MaxUint32)),
		index:     int(in.Byte()),
		count:     int(in.Byte()),
		truncated: in.Byte() == 1,
	}
	for len(in.B) > 0 && !in.Bad {
		p.records = append(p.records, directory.ReadRecord(in, now))
	}
	inRange := p.count > 0 && p.count <= maxParts && p.index < p.count
	if in.Bad || p.answer == 0 || !inRange {
		return nil, ErrUnreadable
	}
	return p, nil
}

// Receive handles a datagram. Datagrams that this router sends to itself have an invalid from. The error is
// ErrUnreadable.
func (c *Coordinator) Receive(now Micros, from netip.AddrPort, b []byte, store Store, cluster Cluster) error {
	c.now = max(c.now, now)
	in := &octets.Reader{B: b}
	message := messageType(in.Byte())
	number := uint32(in.Number(math.MaxUint32))
	sender := membership.NodeID(in.Word(8))
	if in.Bad || len(b) > MaxPayload {
		return ErrUnreadable
	}
	switch message {
	case requestMessage:
		r, err := readRequest(in, c.now)
		if err != nil {
			return err
		}
		if address, ok := cluster.Address(sender); ok && sender != c.self.ID {
			from = address
		}
		c.answer(from, number, r, store)
	case otherMapMessage:
		if q := c.find(number); q != nil {
			c.replan(q, cluster)
		}
	case recordsMessage:
		p, err := readAnswerPart(in, c.now)
		if err != nil {
			return err
		}
		c.takePart(number, sender, p, cluster)
	default:
		return ErrUnreadable
	}
	return nil
}
