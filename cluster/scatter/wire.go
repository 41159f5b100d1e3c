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

// MaxPayload is the maximum size of a datagram of this package, in bytes. Receive rejects larger ones.
const MaxPayload = 208

// maxLimit is the highest limit on records that a request may contain; receivers reject requests with a higher one.
const maxLimit = 1 << 16

// messageKind is the first byte of a datagram. It is followed by the number of the query, the sender's ID and the
// fields of the kind. The values are part of the protocol between routers.
type messageKind byte

const (
	requestMessage  messageKind = iota + 1 // a request
	recordsMessage                         // an answerPart
	otherMapMessage                        // the sender follows another map, or does not serve all its keys yet
)

// header starts a datagram with the kind, the number of the query and this router's ID. It uses the Coordinator's
// buffer, so the datagram must be sent before the next one is started.
func (c *Coordinator) header(kind messageKind, number uint32) []byte {
	b := append(c.buf[:0], byte(kind))
	b = binary.AppendUvarint(b, uint64(number))
	return octets.AppendUint(b, uint64(c.self.ID), 8)
}

// receivedParts records which parts of an answer have been received.
type receivedParts struct {
	answerDigest uint32 // digest of the answer; 0: nothing received yet
	indexes      uint64 // bit set of part indexes
}

// has reports whether the part with an index has been received of the answer with a digest.
func (p receivedParts) has(answerDigest uint32, index int) bool {
	return p.answerDigest == answerDigest && p.indexes>>index&1 == 1
}

// request asks a router for its records that match a query, except the parts of its answer that have been received.
type request struct {
	mapDigest shardmap.Digest // of the map by which the query is planned
	received  receivedParts
	query     summary.Query
	limit     int
}

// append appends the encoded request. The time CreatedBefore is encoded as an age, since routers' clocks differ.
func (r *request) append(b []byte, now Micros) []byte {
	b = octets.AppendUint(b, uint64(r.mapDigest), 8)
	b = binary.AppendUvarint(b, uint64(r.received.answerDigest))
	b = binary.AppendUvarint(b, r.received.indexes)
	b = octets.AppendUint(b, uint64(r.query.Object), 8)
	b = binary.AppendUvarint(b, uint64(r.query.Group))
	b = binary.AppendUvarint(b, uint64(r.query.MinSizeKB))
	b = binary.AppendUvarint(b, uint64(r.query.MaxSizeKB))
	b = binary.AppendUvarint(b, encodeAge(r.query.CreatedBefore, now))
	return binary.AppendUvarint(b, uint64(r.limit))
}

// encodeAge returns the age of a time in milliseconds plus 1, or 0 for no time. The age is rounded down, so the
// receiver decodes a time that is not earlier, and misses no copy created before it.
func encodeAge(at, now Micros) uint64 {
	if at == 0 {
		return 0
	}
	return 1 + uint64(max(now-at, 0)/clock.Millisecond)
}

// readRequest decodes the fields of a request, which has arrived at the time now. The error is ErrUnreadable.
func readRequest(in *octets.Reader, now Micros) (*request, error) {
	r := &request{
		mapDigest: shardmap.Digest(in.Uint(8)),
		received: receivedParts{
			answerDigest: uint32(in.Uvarint(math.MaxUint32)),
			indexes:      in.Uvarint(math.MaxUint64),
		},
		query: summary.Query{
			Object:    shardmap.Key(in.Uint(8)),
			Group:     directory.Group(in.Uvarint(math.MaxUint64)),
			MinSizeKB: uint32(in.Uvarint(math.MaxUint32)),
			MaxSizeKB: uint32(in.Uvarint(math.MaxUint32)),
		},
	}
	if age := in.Uvarint(math.MaxUint32); age > 0 {
		r.query.CreatedBefore = max(now-Micros(age-1)*clock.Millisecond, 1)
	}
	r.limit = int(in.Uvarint(maxLimit))
	if in.Bad {
		return nil, ErrUnreadable
	}
	return r, nil
}

// answerPart is one part of an answer. All parts of an answer have the same fields except for index and records.
type answerPart struct {
	mapDigest    shardmap.Digest
	answerDigest uint32 // digest of the answer
	index        int
	count        int
	truncated    bool
	records      []directory.Record
}

// append appends the encoded part. records are the part's encoded records; p.records is not used.
func (p *answerPart) append(b, records []byte) []byte {
	b = octets.AppendUint(b, uint64(p.mapDigest), 8)
	b = binary.AppendUvarint(b, uint64(p.answerDigest))
	b = append(b, byte(p.index), byte(p.count), octets.FromBool(p.truncated))
	return append(b, records...)
}

// readAnswerPart decodes the fields of an answerPart, which has arrived at the time now. The error is ErrUnreadable.
func readAnswerPart(in *octets.Reader, now Micros) (*answerPart, error) {
	p := &answerPart{
		mapDigest:    shardmap.Digest(in.Uint(8)),
		answerDigest: uint32(in.Uvarint(math.MaxUint32)),
		index:        int(in.Byte()),
		count:        int(in.Byte()),
		truncated:    in.Byte() == 1,
	}
	for len(in.B) > 0 && !in.Bad {
		p.records = append(p.records, directory.ReadRecord(in, now))
	}
	validIndex := p.count > 0 && p.count <= maxParts && p.index < p.count
	if in.Bad || p.answerDigest == 0 || !validIndex {
		return nil, ErrUnreadable
	}
	return p, nil
}

// Receive handles a datagram. It does not retain the slice. Requests are answered at the sender's address
// according to cluster, or at from if cluster knows none; from is invalid for datagrams that this router sends to
// itself. The error is ErrUnreadable.
func (c *Coordinator) Receive(now Micros, from netip.AddrPort, b []byte, store Store, cluster Cluster) error {
	c.now = max(c.now, now)
	in := &octets.Reader{B: b}
	kind := messageKind(in.Byte())
	number := uint32(in.Uvarint(math.MaxUint32))
	sender := membership.NodeID(in.Uint(8))
	if in.Bad || len(b) > MaxPayload {
		return ErrUnreadable
	}
	switch kind {
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
		c.receivePart(number, sender, p, cluster)
	default:
		return ErrUnreadable
	}
	return nil
}
