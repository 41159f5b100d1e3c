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
type kind byte

const (
	ping kind = iota + 1 // a number, and sums of some parts of the list; to be answered
	ack                  // the number of the ping, and members of parts that are held otherwise
	ask                  // a number and whom to probe for the sender
	nack                 // the number of the ask: no answer so far, but the helper is there
	pull                 // from which mark on the list of members is wanted
	page                 // a part of that list, and where the next begins
	kindsEnd
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("members: unreadable datagram")

const (
	stateMask  = 0x07
	longAddr   = 0x08
	hasAccuser = 0x10
	brief      = 0x20 // of one that its hearers know: the start of its mark, a sum of its life, and the news
	briefMark  = 5
	briefLife  = 2
	entryMost  = 1 + 8 + 10 + 5 + 3 + 3 + 18 + 8
	weightMost = 1 << 12
)

// entry is news of one member.
type entry struct {
	Identity
	inc     Refutations
	state   State
	accuser NodeID
	brief   bool // only the start of its mark and of its accuser's, and a sum of its life, are known
}

// appendBrief writes news of a member in less than half of the bytes: its hearers know the rest, or pass it over.
func appendBrief(b []byte, e *entry) []byte {
	flags := byte(e.state) | brief
	if e.accuser != 0 {
		flags |= hasAccuser
	}
	b = octets.AppendWord(append(b, flags), start(e.ID), briefMark)
	b = octets.AppendWord(b, sum(e.Incarnation), briefLife)
	b = binary.AppendUvarint(b, uint64(e.inc))
	if e.accuser != 0 {
		b = octets.AppendWord(b, start(e.accuser), briefMark)
	}
	return b
}

func start(m NodeID) uint64 { return uint64(m) >> (8 * (8 - briefMark)) }

func sum(l Incarnation) uint64 { return hash.Combine(uint64(l), 1) & (1<<(8*briefLife) - 1) }

// begins finds the one member whose mark begins so; nil: none, or two.
func (m *Members) begins(at uint64) *member {
	i, _ := m.place(NodeID(at << (8 * (8 - briefMark))))
	if i >= len(m.all) || start(m.all[i].ID) != at || i+1 < len(m.all) && start(m.all[i+1].ID) == at {
		return nil
	}
	return m.all[i]
}

// whole fills in what a brief entry leaves out, and tells whether that is known.
func (m *Members) whole(e *entry) bool {
	if !e.brief {
		return true
	}
	self, life := m.self, m.self.Incarnation
	if uint64(e.ID) != start(m.self.ID) {
		r := m.begins(uint64(e.ID))
		if r == nil || r.State == Unknown {
			return false
		}
		self, life = r.Identity, r.Incarnation
	}
	if sum(life) != uint64(e.Incarnation) {
		return false
	}
	e.Identity = self
	switch a := m.begins(uint64(e.accuser)); {
	case e.accuser == 0:
	case uint64(e.accuser) == start(m.self.ID):
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
		flags |= longAddr
	}
	if e.accuser != 0 {
		flags |= hasAccuser
	}
	b = octets.AppendWord(append(b, flags), uint64(e.ID), 8)
	b = binary.AppendUvarint(b, uint64(e.Incarnation))
	b = binary.AppendUvarint(b, uint64(e.inc))
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
	if flags&brief != 0 {
		return readBrief(r, flags, e)
	}
	e.ID = NodeID(r.Word(8))
	e.Incarnation = Incarnation(r.Number(1 << 62))
	e.inc = Refutations(r.Number(math.MaxInt32))
	e.Zone = uint16(r.Number(math.MaxUint16))
	e.Weight = uint16(r.Number(weightMost))
	e.Address = r.Address(flags&longAddr != 0)
	if flags&hasAccuser != 0 {
		e.accuser = NodeID(r.Word(8))
	}
	if e.state == Unknown || e.state > Left || e.ID == 0 || flags&^(stateMask|longAddr|hasAccuser) != 0 {
		r.Bad = true
	}
	return e
}

func readBrief(r *octets.Reader, flags byte, e entry) entry {
	e.brief = true
	e.ID, e.Incarnation = NodeID(r.Word(briefMark)), Incarnation(r.Word(briefLife))
	e.inc = Refutations(r.Number(math.MaxInt32))
	if flags&hasAccuser != 0 {
		e.accuser = NodeID(r.Word(briefMark))
	}
	if e.state == Unknown || e.state > Left || flags&^(stateMask|hasAccuser|brief) != 0 {
		r.Bad = true
	}
	return e
}

// heard is a datagram as it was read, but for its news.
type heard struct {
	kind   kind
	sender entry
	seq    uint32
	who    NodeID
	where  netip.AddrPort
	sums   sums
	news   octets.Reader
}

// read takes a datagram apart. Nothing is believed of one that is not whole.
func read(b []byte) (h heard, err error) {
	r := octets.Reader{B: b}
	if len(b) > MaxPayload {
		return h, ErrUnreadable
	}
	h.kind = kind(r.Byte())
	if h.sender = readEntry(&r); h.sender.brief {
		r.Bad = true
	}
	switch h.kind {
	case ping:
		h.seq, h.sums = uint32(r.Number(math.MaxUint32)), readSums(&r)
	case ack, nack:
		h.seq = uint32(r.Number(math.MaxUint32))
	case ask:
		h.seq, h.who = uint32(r.Number(math.MaxUint32)), NodeID(r.Word(8))
		h.where = r.Address(r.Byte() != 0)
	case pull, page:
		h.who = NodeID(r.Word(8))
	default:
		r.Bad = true
	}
	for h.news = r; len(r.B) > 0 && !r.Bad; {
		readEntry(&r)
	}
	if r.Bad {
		return h, ErrUnreadable
	}
	return h, nil
}

// draft is a datagram in the making. It lives in the view's own buffer: one at a time.
type draft struct {
	m *Members
	n int
}

// begin starts a datagram with what this router tells of itself.
func (m *Members) begin(k kind) draft {
	m.drafts++
	b := append(m.buf[:0], byte(k))
	return draft{m, len(appendEntry(b, &entry{Identity: m.self, inc: m.inc, state: m.state}))}
}

func (d draft) number(x uint32) draft {
	d.n = len(binary.AppendUvarint(d.m.buf[:d.n], uint64(x)))
	return d
}

func (d draft) mark(x NodeID) draft {
	d.n = len(octets.AppendWord(d.m.buf[:d.n], uint64(x), 8))
	return d
}

func (d draft) address(x netip.AddrPort) draft {
	long := byte(0)
	if octets.Long(x) {
		long = 1
	}
	d.n = len(octets.AppendAddress(append(d.m.buf[:d.n], long), x))
	return d
}

// entry adds all that is known of a member, where there is room.
func (d draft) entry(r *member) (draft, bool) { return d.add(r, appendEntry) }

// word adds news of a member: of a life that has been told of, in brief.
func (d draft) word(r *member) (draft, bool) {
	if r.urgent || r.tells <= 0 {
		return d.add(r, appendBrief)
	}
	return d.entry(r)
}

func (d draft) add(r *member, form func([]byte, *entry) []byte) (draft, bool) {
	e := entry{Identity: r.Identity, inc: r.inc, state: r.State}
	if (r.State == Suspect || r.State == Dead) && r.accused > 0 {
		e.accuser = r.accusers[d.m.chance.IntN(r.accused)]
		for _, a := range r.accusers[:r.accused] {
			if a == d.m.self.ID { // what one has seen oneself goes first
				e.accuser = a
			}
		}
	}
	n := len(form(d.m.buf[:d.n], &e))
	if n > MaxPayload {
		return d, false
	}
	d.n = n
	return d, true
}

// send gives the datagram out, unless there have been too many.
func (d draft) send(to netip.AddrPort) {
	m := d.m
	m.tokens = min(m.tokens+(m.now-m.filled).Seconds()*perSecond, burst)
	m.filled = m.now
	if m.tokens < 1 || !to.IsValid() {
		m.tally.RateLimited++
		return
	}
	m.tokens--
	m.tally.Sent++
	m.post.Send(to, m.buf[:d.n])
}

// ForgeGossip makes the datagram of a router that holds another to be in some state, true or not: for tests of those that hear it.
func ForgeGossip(by, of Member, state State) []byte {
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: by.Identity, inc: 0, state: Alive})
	b = append(b, 0)
	return appendEntry(b, &entry{Identity: of.Identity, inc: 1 << 20, state: state, accuser: by.ID})
}
