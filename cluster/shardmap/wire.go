package shardmap

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/octets"
)

// MaxPayload is the most that a datagram of this package takes.
const MaxPayload = 208

const (
	piece      = 170 // bytes of a map's text in one datagram
	piecesMost = 2048
	// MaxOwners bounds the routers that one map names, RangesMost its ranges.
	MaxOwners = 1400
	MaxRanges = 1 << 15
	markSize  = 8
)

// ErrUnreadable is the error of a datagram that is not one of this package's, or of a text that is no map.
var ErrUnreadable = errors.New("shards: unreadable")

// A datagram is a kind, who sends it in which life, and what belongs to the kind.
type kind byte

const (
	tell    kind = iota + 1 // the version that the sender goes by, its pieces, and who is known to go by it
	want                    // a version, and which pieces of it
	part                    // a version, how many pieces it has, which one this is, and the piece
	whose                   // a version of no weight, and a key: whether the hearer answers for it is wanted
	answers                 // the version under which the sender answers, the key, and whether it does
	kindsEnd
)

// seal writes a map's text and takes its digest.
func (m *Map) seal() {
	b := binary.AppendUvarint(nil, uint64(m.Term))
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = octets.AppendWord(b, uint64(m.Predecessor), 8)
	b = binary.AppendUvarint(b, uint64(len(m.Owners)))
	for _, k := range m.Owners {
		b = octets.AppendWord(b, uint64(k.ID), markSize)
		b = binary.AppendUvarint(b, uint64(k.Incarnation))
	}
	b = binary.AppendUvarint(b, uint64(len(m.Ranges)))
	next := Key(0)
	for i := range m.Ranges {
		r := &m.Ranges[i]
		// From the end of the one before, and how many keys: whole grains turn into small numbers, faults are told as they are.
		b = binary.AppendUvarint(b, uint64(r.First-next))
		b = binary.AppendUvarint(b, bits.RotateLeft64(uint64(r.Last-r.First)+1, 64-grainBits))
		b = binary.AppendUvarint(b, uint64(r.Owner))
		for _, s := range r.Replicas {
			b = binary.AppendUvarint(b, uint64(s+1)) // nobody is 0
		}
		next = r.Last + 1
	}
	m.text, m.Digest = b, Digest(xxhash.Sum64(b))
}

// read takes a map's text apart. What it says may still break every rule.
func read(text []byte) (*Map, error) {
	r := octets.Reader{B: text}
	m := &Map{text: text}
	m.Term = lease.Term(r.Number(math.MaxInt32))
	m.Number = uint32(r.Number(math.MaxUint32))
	m.Predecessor = Digest(r.Word(8))
	for n := r.Number(MaxOwners); n > 0 && !r.Bad; n-- {
		m.Owners = append(m.Owners, Owner{membership.NodeID(r.Word(markSize)), membership.Incarnation(r.Number(math.MaxInt64))})
	}
	next := Key(0)
	for n := r.Number(MaxRanges); n > 0 && !r.Bad; n-- {
		at := Range{First: next + Key(r.Number(math.MaxUint64))}
		at.Last = at.First + Key(bits.RotateLeft64(r.Number(math.MaxUint64), grainBits-64)) - 1
		at.Owner = uint16(r.Number(math.MaxUint16))
		for i := range at.Replicas {
			at.Replicas[i] = uint16(r.Number(math.MaxUint16)) - 1
		}
		m.Ranges = append(m.Ranges, at)
		next = at.Last + 1
	}
	if r.Bad || len(r.B) > 0 {
		return nil, ErrUnreadable
	}
	m.Digest = Digest(xxhash.Sum64(text))
	return m, nil
}

// pieces is how many datagrams a map's text takes.
func (m *Map) pieces() int { return (len(m.text) + piece - 1) / piece }

func (s *Manager) begin(k kind) []byte {
	b := octets.AppendWord(append(s.buf[:0], byte(k)), uint64(s.self.ID), markSize)
	return binary.AppendUvarint(b, uint64(s.self.Incarnation))
}

func appendVersion(b []byte, v Version) []byte {
	b = binary.AppendUvarint(b, uint64(v.Term))
	b = binary.AppendUvarint(b, uint64(v.Number))
	return octets.AppendWord(b, uint64(v.Digest), 8)
}

func readVersion(r *octets.Reader) Version {
	return Version{lease.Term(r.Number(math.MaxInt32)), uint32(r.Number(math.MaxUint32)), Digest(r.Word(8))}
}

// send gives a datagram out, unless there have been too many.
func (s *Manager) send(to netip.AddrPort, b []byte) {
	s.tokens = min(s.tokens+(s.now-s.filled).Seconds()*perSecond, burst)
	s.filled = s.now
	if s.tokens < 1 || !to.IsValid() {
		s.tally.RateLimited++
		return
	}
	s.tokens--
	s.tally.Sent++
	s.post.Send(to, b)
}

// sendTell says what this router goes by, and who else is known to.
func (s *Manager) sendTell(to netip.AddrPort) {
	v, n := Version{}, 0
	if s.map0 != nil {
		v, n = s.map0.Version, s.map0.pieces()
	}
	b := binary.AppendUvarint(appendVersion(s.begin(tell), v), uint64(n))
	s.send(to, append(b, s.by...))
}

// sendWant asks for pieces of the map being gathered.
func (s *Manager) sendWant(to netip.AddrPort) {
	c := s.next
	b := appendVersion(s.begin(want), c.Version)
	n := 0
	start := s.chance.IntN(len(c.pieces)) // several are asked at once, each for others
	for i := range c.pieces {
		if i = (start + i) % len(c.pieces); c.pieces[i] == nil && n < wantMost {
			b = binary.AppendUvarint(b, uint64(i))
			n++
		}
	}
	s.send(to, b)
}

func (s *Manager) sendPart(to netip.AddrPort, at int) {
	m := s.map0
	b := binary.AppendUvarint(appendVersion(s.begin(part), m.Version), uint64(m.pieces()))
	b = binary.AppendUvarint(b, uint64(at))
	s.send(to, append(b, m.text[at*piece:min((at+1)*piece, len(m.text))]...))
}

// guest is one that is served with pieces.
type guest struct {
	at    netip.AddrPort
	asked Micros
}

// guest tells whether one that asks for pieces is to be served: a few at a time, each to the end, so that soon there are more that
// have the whole. Were all served at once, none would have it for long.
func (s *Manager) guest(from netip.AddrPort) bool {
	free := -1
	for i := range s.guests {
		switch g := &s.guests[i]; {
		case g.at == from:
			g.asked = s.now
			return true
		case s.now-g.asked > guestIdle:
			free = i
		}
	}
	if free < 0 || s.tokens < 1 {
		return false
	}
	s.guests[free] = guest{from, s.now}
	return true
}

// OwnershipQuery makes the datagram that asks a router whether it answers for a key, for observers that are no routers.
func OwnershipQuery(by membership.NodeID, k Key) []byte {
	b := binary.AppendUvarint(octets.AppendWord([]byte{byte(whose)}, uint64(by), markSize), 0)
	return octets.AppendWord(appendVersion(b, Version{}), uint64(k), 8)
}

// ParseOwnershipReply reads what comes back: who says it, for which key, and whether it answers for it, under which map.
func ParseOwnershipReply(b []byte) (by Owner, k Key, v Version, yes bool, err error) {
	r := octets.Reader{B: b}
	is := kind(r.Byte())
	by = Owner{membership.NodeID(r.Word(markSize)), membership.Incarnation(r.Number(math.MaxInt64))}
	v = readVersion(&r)
	k = Key(r.Word(8))
	yes = r.Byte() == 1
	if r.Bad || is != answers {
		return by, k, v, false, ErrUnreadable
	}
	return by, k, v, yes, nil
}

// Receive takes a datagram. It is answered where its sender is known to be.
func (s *Manager) Receive(now Micros, from netip.AddrPort, b []byte) error {
	s.now = max(s.now, now)
	s.tally.Received++
	r := octets.Reader{B: b}
	k := kind(r.Byte())
	sender := Owner{membership.NodeID(r.Word(markSize)), membership.Incarnation(r.Number(math.MaxInt64))}
	v := readVersion(&r)
	if r.Bad || len(b) > MaxPayload || k == 0 || k >= kindsEnd || sender.ID == s.self.ID {
		s.tally.Unreadable++
		return ErrUnreadable
	}
	seat, known := s.who[sender.ID]
	if known && seat.Incarnation > sender.Incarnation {
		return nil // of a life that has passed
	}
	if known && seat.Address.IsValid() {
		from = seat.Address // whatever way this came
	}
	switch k {
	case tell:
		n := int(r.Number(piecesMost))
		if r.Bad {
			break
		}
		s.heardTell(sender, from, v, n, r.B)
	case want:
		if !s.guest(from) {
			return nil
		}
		for n := 0; n < wantMost && len(r.B) > 0 && !r.Bad; n++ {
			if at := int(r.Number(piecesMost)); !r.Bad && s.map0 != nil && v == s.map0.Version && at < s.map0.pieces() {
				s.sendPart(from, at)
			}
		}
	case whose:
		key := Key(r.Word(8))
		if r.Bad {
			break
		}
		version, yes := s.Serves(key, s.now)
		b := octets.AppendWord(appendVersion(s.begin(answers), version), uint64(key), 8)
		s.send(from, append(b, octets.Truth(yes)))
	case answers: // this router asks nobody: who does is an observer
	case part:
		n, at := int(r.Number(piecesMost)), int(r.Number(piecesMost))
		if r.Bad || at >= n || len(r.B) == 0 || len(r.B) > piece {
			r.Bad = true
			break
		}
		s.heardPart(v, n, at, r.B)
	}
	if r.Bad {
		s.tally.Unreadable++
		return ErrUnreadable
	}
	return nil
}
