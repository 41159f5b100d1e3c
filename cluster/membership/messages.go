package membership

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/internal/octets"
)

// MaxPayload is the size of the largest datagram of this package, in bytes. What carries it may add to that.
const MaxPayload = 208

const (
	datagramsPerSecond = 60.0 // three times what ordinary operation takes
	datagramBurst      = 30.0
)

// messageKind is the first byte of a datagram; the sender's own entry follows, then what belongs to the kind, then
// entries of other members up to the end. The numbers are part of the protocol between routers.
type messageKind byte

const (
	ping        messageKind = iota + 1 // its number, sums of some partitions
	ack                                // the ping's number; members of partitions whose sums differ are among the entries
	pingRequest                        // its number, the ID and address of the member to ping
	nack                               // the number of the ping request: no ack so far
	pull                               // the ID after which the list of members is wanted
	page                               // the ID after which the next page begins; entries of the list
	kindsEnd
)

// ErrUnreadable is returned for a datagram that is not one of this package's.
var ErrUnreadable = errors.New("membership: unreadable datagram")

// message is a datagram that was read, but for its gossip.
type message struct {
	kind    messageKind
	sender  entry
	seq     uint32
	id      NodeID
	address netip.AddrPort
	sums    partitionSums
	gossip  octets.Reader
}

// Receive takes a datagram. Replies go to the address that the sender tells of itself.
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
		if m.expandBrief(&e) {
			m.merge(&e, sender.ID, false)
		}
	}
	if sender.Address.IsValid() {
		from = sender.Address
	}
	m.dispatch(&received, from)
	return nil
}

// dispatch does what a datagram asks for.
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

// decode reads a datagram. Nothing is taken from one that is cut short or damaged.
func decode(b []byte) (received message, err error) {
	if len(b) > MaxPayload {
		return received, ErrUnreadable
	}
	r := octets.Reader{B: b}
	received.kind = messageKind(r.Byte())
	received.sender = readEntry(&r)
	if received.sender.brief {
		r.Bad = true
	}
	switch received.kind {
	case ping:
		received.seq = uint32(r.Number(math.MaxUint32))
		received.sums = readSums(&r)
	case ack, nack:
		received.seq = uint32(r.Number(math.MaxUint32))
	case pingRequest:
		received.seq = uint32(r.Number(math.MaxUint32))
		received.id = NodeID(r.Word(idSize))
		received.address = r.Address(r.Byte() != 0)
	case pull, page:
		received.id = NodeID(r.Word(idSize))
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

// datagram is one being made, in the buffer of Members: there is one at a time.
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

// newPing makes a ping that is complete but for its receiver's address.
func (m *Members) newPing(seq uint32, receiver *record) datagram {
	return m.newDatagram(ping).number(seq).sums().gossip(receiver)
}

func (d datagram) bytes(b ...byte) datagram {
	d.size = len(append(d.m.buffer[:d.size], b...))
	return d
}

func (d datagram) number(n uint32) datagram {
	d.size = len(binary.AppendUvarint(d.m.buffer[:d.size], uint64(n)))
	return d
}

func (d datagram) id(id NodeID) datagram {
	d.size = len(octets.AppendWord(d.m.buffer[:d.size], uint64(id), idSize))
	return d
}

func (d datagram) address(address netip.AddrPort) datagram {
	b := append(d.m.buffer[:d.size], octets.Truth(octets.Long(address)))
	d.size = len(octets.AppendAddress(b, address))
	return d
}

// entry adds all that is known of a member, and reports whether that fits.
func (d datagram) entry(r *record) (datagram, bool) { return d.add(r, appendEntry) }

// gossipEntry adds what has changed of a member: in brief where its incarnation has been told before.
func (d datagram) gossipEntry(r *record) (datagram, bool) {
	if r.urgent || r.transmissions <= 0 {
		return d.add(r, appendBrief)
	}
	return d.entry(r)
}

func (d datagram) add(r *record, appendTo func([]byte, *entry) []byte) (datagram, bool) {
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

// pickAccuser picks the accuser that is told with a suspicion: this router before others.
func (m *Members) pickAccuser(r *record) NodeID {
	accuser := r.accusers[m.random.IntN(r.accuserCount)]
	for _, id := range r.accusers[:r.accuserCount] {
		if id == m.self.ID {
			accuser = id
		}
	}
	return accuser
}

// send sends the datagram within the rate limit.
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

// ForgeGossip makes a datagram in which one router reports a state of another, true or not, for tests of receivers.
func ForgeGossip(by, of Member, state State) []byte {
	const refutations = 1 << 20
	b := appendEntry([]byte{byte(ack)}, &entry{Identity: by.Identity, state: Alive})
	b = append(b, 0) // the ping's number
	return appendEntry(b, &entry{Identity: of.Identity, refutations: refutations, state: state, accuser: by.ID})
}
