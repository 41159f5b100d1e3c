package membership

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/internal/octets"
)

// MaxPayload is the size of the largest datagram of this package, in bytes. Lower layers may add headers.
const MaxPayload = 208

const (
	datagramsPerSecond = 60.0 // rate limit of sent datagrams; three times the rate of normal operation
	datagramBurst      = 30.0 // datagrams that may be sent at once
)

// messageKind is the first byte of a datagram. The sender's own entry follows, then the fields of the kind, then
// entries of other members up to the end of the datagram. The numbers are part of the protocol between routers.
type messageKind byte

const (
	ping        messageKind = iota + 1 // sequence number, sums of some buckets
	ack                                // sequence number of the ping; entries include members of differing buckets
	pingRequest                        // sequence number, ID and address of the member to ping
	nack                               // sequence number of the ping request, which had no ack so far
	pull                               // ID after which the list of members is requested
	page                               // ID after which the next page begins; entries of the list
	kindsEnd
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("membership: unreadable datagram")

// message is a decoded datagram. Its gossip, the entries of other members, is validated but kept encoded. Fields
// that its kind does not contain are zero.
type message struct {
	kind    messageKind
	sender  entry
	seq     uint32         // ping, ack, pingRequest and nack
	id      NodeID         // pingRequest, pull and page
	address netip.AddrPort // pingRequest
	sums    bucketSums     // ping
	gossip  octets.Reader
}

// Receive handles a datagram. Replies are sent to the address that the sender reports about itself, or to from if
// that is invalid. The error is ErrUnreadable; the datagram is then ignored. A datagram from this router itself
// counts as unreadable.
func (m *Members) Receive(now Micros, from netip.AddrPort, datagram []byte) error {
	m.advanceClock(now)
	m.stats.Received++
	if m.state == Left {
		return nil
	}
	received, err := decode(datagram)
	sender := &received.sender
	if err != nil || sender.ID == m.self.ID && sender.Incarnation == m.self.Incarnation {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	m.lastReceived = m.now
	m.merge(sender, sender.ID, true)
	for len(received.gossip.B) > 0 {
		e := readEntry(&received.gossip)
		if m.expandCompact(&e) {
			m.merge(&e, sender.ID, false)
		}
	}
	if sender.Address.IsValid() {
		from = sender.Address
	}
	m.dispatch(&received, from)
	return nil
}

// dispatch calls the handler of a datagram's kind.
func (m *Members) dispatch(received *message, from netip.AddrPort) {
	sender := m.find(received.sender.ID)
	switch received.kind {
	case ping:
		m.newDatagram(ack).number(received.seq).repairs(&received.sums, sender).gossip(sender).send(from)
	case ack:
		m.onAck(received.seq)
		m.forwardAck(received.seq, sender)
	case pingRequest:
		m.onPingRequest(received, from)
	case nack:
		m.onNack(received.seq)
	case pull:
		m.sendPages(from, received.id)
	case page:
		m.onPage(received.id)
	}
}

// decode decodes a datagram. It returns ErrUnreadable if any part of the datagram is truncated or malformed, so
// that Receive merges either all of its entries or none.
func decode(b []byte) (received message, err error) {
	if len(b) > MaxPayload {
		return received, ErrUnreadable
	}
	r := octets.Reader{B: b}
	received.kind = messageKind(r.Byte())
	received.sender = readEntry(&r)
	if received.sender.compact {
		r.Bad = true
	}
	switch received.kind {
	case ping:
		received.seq = uint32(r.Uvarint(math.MaxUint32))
		received.sums = readSums(&r)
	case ack, nack:
		received.seq = uint32(r.Uvarint(math.MaxUint32))
	case pingRequest:
		received.seq = uint32(r.Uvarint(math.MaxUint32))
		received.id = NodeID(r.Uint(idSize))
		received.address = r.Address(r.Byte() != 0)
	case pull, page:
		received.id = NodeID(r.Uint(idSize))
	default:
		r.Bad = true
	}
	received.gossip = r
	for len(r.B) > 0 && !r.Bad {
		readEntry(&r)
	}
	if r.Bad {
		return received, ErrUnreadable
	}
	return received, nil
}

// datagram is a datagram under construction in the buffer of Members. Only one exists at a time. Its methods append
// a field to the buffer and return the extended datagram; the original value keeps its size, but shares the buffer.
type datagram struct {
	m    *Members
	size int
}

// newDatagram starts a datagram with this router's own entry.
func (m *Members) newDatagram(kind messageKind) datagram {
	m.datagramNumber++
	b := append(m.buffer[:0], byte(kind))
	b = appendEntry(b, &entry{Identity: m.self, refutations: m.refutations, state: m.state})
	return datagram{m, len(b)}
}

// newPing returns a ping that is ready to be sent. receiver may be nil if it is not a known member.
func (m *Members) newPing(seq uint32, receiver *knownMember) datagram {
	return m.newDatagram(ping).number(seq).sums().gossip(receiver)
}

// bytes appends bytes.
func (d datagram) bytes(b ...byte) datagram {
	d.size = len(append(d.m.buffer[:d.size], b...))
	return d
}

// number appends a varint.
func (d datagram) number(n uint32) datagram {
	d.size = len(binary.AppendUvarint(d.m.buffer[:d.size], uint64(n)))
	return d
}

// id appends an ID as a big-endian word.
func (d datagram) id(id NodeID) datagram {
	d.size = len(octets.AppendUint(d.m.buffer[:d.size], uint64(id), idSize))
	return d
}

// address appends a byte that is 1 for an IPv6 address and 0 for an IPv4 address, and the address.
func (d datagram) address(address netip.AddrPort) datagram {
	b := append(d.m.buffer[:d.size], octets.FromBool(octets.IsIPv6(address)))
	d.size = len(octets.AppendAddress(b, address))
	return d
}

// entry appends a member's full entry, and reports whether it fits.
func (d datagram) entry(r *knownMember) (datagram, bool) { return d.addEntry(r, appendEntry) }

// gossipEntry appends a member's state: as a compact entry if the receiver is likely to know the member's
// incarnation, because its change is urgent or not queued for gossip, otherwise as a full entry. It reports whether
// the entry fits.
func (d datagram) gossipEntry(r *knownMember) (datagram, bool) {
	if r.urgent || r.transmissions <= 0 {
		return d.addEntry(r, appendCompact)
	}
	return d.entry(r)
}

// addEntry appends an entry in the given encoding. If it does not fit, addEntry returns the datagram unchanged and
// false. Members.buffer has space for one entry beyond MaxPayload, so that trying needs no allocation.
func (d datagram) addEntry(r *knownMember, appendTo func([]byte, *entry) []byte) (datagram, bool) {
	e := entry{Identity: r.Identity, refutations: r.refutations, state: r.State}
	if (r.State == Suspect || r.State == Dead) && r.accuserCount > 0 {
		e.accuser = d.m.pickAccuser(r)
	}
	size := len(appendTo(d.m.buffer[:d.size], &e))
	if size > MaxPayload {
		return d, false
	}
	d.size = size
	return d, true
}

// pickAccuser returns the accuser to send with a suspicion or death: this router if it is an accuser, otherwise a
// random one. There must be at least one.
func (m *Members) pickAccuser(r *knownMember) NodeID {
	accuser := r.accusers[m.random.IntN(r.accuserCount)]
	for _, id := range r.accusers[:r.accuserCount] {
		if id == m.self.ID {
			accuser = id
		}
	}
	return accuser
}

// send sends the datagram unless the rate limit is exceeded or the address is invalid.
func (d datagram) send(to netip.AddrPort) {
	m := d.m
	m.limiter.Refill(m.now)
	if !to.IsValid() || !m.limiter.Take() {
		m.stats.RateLimited++
		return
	}
	m.stats.Sent++
	m.output.Send(to, m.buffer[:d.size])
}

// ForgeGossip returns a datagram in which one router reports a state of another, true or not, with a refutation
// count higher than any real one. It is for tests of receivers.
func ForgeGossip(reporter, subject Member, state State) []byte {
	const refutations = 1 << 20
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: reporter.Identity, state: Alive})
	b = append(b, 0) // sequence number of the ping
	return appendEntry(b, &entry{Identity: subject.Identity, refutations: refutations, state: state, accuser: reporter.ID})
}
