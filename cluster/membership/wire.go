package membership

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// A datagram is a kind, what the sender tells of itself, what belongs to the kind, and news of others up to its end.
type messageKind byte

const (
	ping        messageKind = iota + 1 // a number, and sums of some parts of the list; to be answered
	ack                                // the number of the ping, and members of parts that are held otherwise
	pingRequest                        // a number and whom to probe for the sender
	nack                               // the number of the ask: no answer so far, but the helper is there
	pull                               // from which mark on the list of members is wanted
	page                               // a part of that list, and where the next begins
	kindsEnd
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("members: unreadable datagram")

const (
	stateMask            = 0x07
	ipv6Flag             = 0x08
	accuserFlag          = 0x10
	briefFlag            = 0x20 // of one that its hearers know: the start of its mark, a sum of its life, and the news
	briefIDSize          = 5
	briefIncarnationSize = 2
	maxEntrySize         = 1 + 8 + 10 + 5 + 3 + 3 + 18 + 8
	maxWeight            = 1 << 12
)

// entry is news of one member.
type entry struct {
	Identity
	refutations Refutations
	state       State
	accuser     NodeID
	brief       bool // only the start of its mark and of its accuser's, and a sum of its life, are known
}

// appendBrief writes news of a member in less than half of the bytes: its hearers know the rest, or pass it over.
func appendBrief(b []byte, e *entry) []byte {
	flags := byte(e.state) | briefFlag
	if e.accuser != 0 {
		flags |= accuserFlag
	}
	b = octets.AppendWord(append(b, flags), idPrefix(e.ID), briefIDSize)
	b = octets.AppendWord(b, shortIncarnation(e.Incarnation), briefIncarnationSize)
	b = binary.AppendUvarint(b, uint64(e.refutations))
	if e.accuser != 0 {
		b = octets.AppendWord(b, idPrefix(e.accuser), briefIDSize)
	}
	return b
}

func idPrefix(m NodeID) uint64 { return uint64(m) >> (8 * (8 - briefIDSize)) }

func shortIncarnation(l Incarnation) uint64 {
	return hash.Combine(uint64(l), 1) & (1<<(8*briefIncarnationSize) - 1)
}

// findByPrefix finds the one member whose mark begins so; nil: none, or two.
func (m *Members) findByPrefix(at uint64) *record {
	i, _ := m.search(NodeID(at << (8 * (8 - briefIDSize))))
	if i >= len(m.all) || idPrefix(m.all[i].ID) != at || i+1 < len(m.all) && idPrefix(m.all[i+1].ID) == at {
		return nil
	}
	return m.all[i]
}

// expandBrief fills in what a brief entry leaves out, and tells whether that is known.
func (m *Members) expandBrief(e *entry) bool {
	if !e.brief {
		return true
	}
	self, life := m.self, m.self.Incarnation
	if uint64(e.ID) != idPrefix(m.self.ID) {
		r := m.findByPrefix(uint64(e.ID))
		if r == nil || r.State == Unknown {
			return false
		}
		self, life = r.Identity, r.Incarnation
	}
	if shortIncarnation(life) != uint64(e.Incarnation) {
		return false
	}
	e.Identity = self
	switch a := m.findByPrefix(uint64(e.accuser)); {
	case e.accuser == 0:
	case uint64(e.accuser) == idPrefix(m.self.ID):
		e.accuser = m.self.ID
	case a != nil:
		e.accuser = a.ID
	default:
		e.accuser = 0
	}
	return true
}

func appendEntry(b []byte, e *entry) []byte {
	flags := byte(e.state)
	if octets.Long(e.Address) {
		flags |= ipv6Flag
	}
	if e.accuser != 0 {
		flags |= accuserFlag
	}
	b = octets.AppendWord(append(b, flags), uint64(e.ID), 8)
	b = binary.AppendUvarint(b, uint64(e.Incarnation))
	b = binary.AppendUvarint(b, uint64(e.refutations))
	b = binary.AppendUvarint(b, uint64(e.Zone))
	b = binary.AppendUvarint(b, uint64(e.Weight))
	b = octets.AppendAddress(b, e.Address)
	if e.accuser != 0 {
		b = octets.AppendWord(b, uint64(e.accuser), 8)
	}
	return b
}

func readEntry(r *octets.Reader) (e entry) {
	flags := r.Byte()
	e.state = State(flags & stateMask)
	if flags&briefFlag != 0 {
		return readBrief(r, flags, e)
	}
	e.ID = NodeID(r.Word(8))
	e.Incarnation = Incarnation(r.Number(1 << 62))
	e.refutations = Refutations(r.Number(math.MaxInt32))
	e.Zone = uint16(r.Number(math.MaxUint16))
	e.Weight = uint16(r.Number(maxWeight))
	e.Address = r.Address(flags&ipv6Flag != 0)
	if flags&accuserFlag != 0 {
		e.accuser = NodeID(r.Word(8))
	}
	if e.state == Unknown || e.state > Left || e.ID == 0 || flags&^(stateMask|ipv6Flag|accuserFlag) != 0 {
		r.Bad = true
	}
	return e
}

func readBrief(r *octets.Reader, flags byte, e entry) entry {
	e.brief = true
	e.ID, e.Incarnation = NodeID(r.Word(briefIDSize)), Incarnation(r.Word(briefIncarnationSize))
	e.refutations = Refutations(r.Number(math.MaxInt32))
	if flags&accuserFlag != 0 {
		e.accuser = NodeID(r.Word(briefIDSize))
	}
	if e.state == Unknown || e.state > Left || flags&^(stateMask|accuserFlag|briefFlag) != 0 {
		r.Bad = true
	}
	return e
}

// message is a datagram as it was read, but for its news.
type message struct {
	kind    messageKind
	sender  entry
	seq     uint32
	id      NodeID
	address netip.AddrPort
	sums    partitionSums
	gossip  octets.Reader
}

// decode takes a datagram apart. Nothing is believed of one that is not whole.
func decode(b []byte) (h message, err error) {
	r := octets.Reader{B: b}
	if len(b) > MaxPayload {
		return h, ErrUnreadable
	}
	h.kind = messageKind(r.Byte())
	if h.sender = readEntry(&r); h.sender.brief {
		r.Bad = true
	}
	switch h.kind {
	case ping:
		h.seq, h.sums = uint32(r.Number(math.MaxUint32)), readSums(&r)
	case ack, nack:
		h.seq = uint32(r.Number(math.MaxUint32))
	case pingRequest:
		h.seq, h.id = uint32(r.Number(math.MaxUint32)), NodeID(r.Word(8))
		h.address = r.Address(r.Byte() != 0)
	case pull, page:
		h.id = NodeID(r.Word(8))
	default:
		r.Bad = true
	}
	for h.gossip = r; len(r.B) > 0 && !r.Bad; {
		readEntry(&r)
	}
	if r.Bad {
		return h, ErrUnreadable
	}
	return h, nil
}

// datagram is a datagram in the making. It lives in the view's own buffer: one at a time.
type datagram struct {
	m    *Members
	size int
}

// newDatagram starts a datagram with what this router tells of itself.
func (m *Members) newDatagram(k messageKind) datagram {
	m.datagramSeq++
	b := append(m.buffer[:0], byte(k))
	return datagram{m, len(appendEntry(b, &entry{Identity: m.self, refutations: m.refutations, state: m.state}))}
}

func (d datagram) number(x uint32) datagram {
	d.size = len(binary.AppendUvarint(d.m.buffer[:d.size], uint64(x)))
	return d
}

func (d datagram) id(x NodeID) datagram {
	d.size = len(octets.AppendWord(d.m.buffer[:d.size], uint64(x), 8))
	return d
}

func (d datagram) address(x netip.AddrPort) datagram {
	long := byte(0)
	if octets.Long(x) {
		long = 1
	}
	d.size = len(octets.AppendAddress(append(d.m.buffer[:d.size], long), x))
	return d
}

// entry adds all that is known of a member, where there is room.
func (d datagram) entry(r *record) (datagram, bool) { return d.add(r, appendEntry) }

// gossipEntry adds news of a member: of a life that has been told of, in brief.
func (d datagram) gossipEntry(r *record) (datagram, bool) {
	if r.urgent || r.transmissions <= 0 {
		return d.add(r, appendBrief)
	}
	return d.entry(r)
}

func (d datagram) add(r *record, form func([]byte, *entry) []byte) (datagram, bool) {
	e := entry{Identity: r.Identity, refutations: r.refutations, state: r.State}
	if (r.State == Suspect || r.State == Dead) && r.accuserCount > 0 {
		e.accuser = r.accusers[d.m.random.IntN(r.accuserCount)]
		for _, a := range r.accusers[:r.accuserCount] {
			if a == d.m.self.ID { // what one has seen oneself goes first
				e.accuser = a
			}
		}
	}
	n := len(form(d.m.buffer[:d.size], &e))
	if n > MaxPayload {
		return d, false
	}
	d.size = n
	return d, true
}

// send gives the datagram out, unless there have been too many.
func (d datagram) send(to netip.AddrPort) {
	m := d.m
	m.tokens = min(m.tokens+(m.now-m.lastRefill).Seconds()*datagramsPerSecond, datagramBurst)
	m.lastRefill = m.now
	if m.tokens < 1 || !to.IsValid() {
		m.stats.RateLimited++
		return
	}
	m.tokens--
	m.stats.Sent++
	m.post.Send(to, m.buffer[:d.size])
}

// ForgeGossip makes the datagram of a router that holds another to be in some state, true or not: for tests of those that hear it.
func ForgeGossip(by, of Member, state State) []byte {
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: by.Identity, refutations: 0, state: Alive})
	b = append(b, 0)
	return appendEntry(b, &entry{Identity: of.Identity, refutations: 1 << 20, state: state, accuser: by.ID})
}
