package membership

import (
	"encoding/binary"
	"math"

	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// Bits of the first byte of an entry: the state, and which fields follow. They are part of the protocol between
// routers.
const (
	stateMask   = 0x07
	ipv6Flag    = 0x08 // the address is an IPv6 address
	accuserFlag = 0x10 // an accuser's ID follows
	compactFlag = 0x20 // compact entry: prefixes and a short incarnation, for receivers that know the member
)

const (
	idSize                 = 8       // bytes
	compactIDSize          = 5       // bytes
	compactIncarnationSize = 2       // bytes
	maxIncarnation         = 1 << 62 // highest incarnation accepted in an entry

	// maxEntrySize is the size of the largest entry, in bytes: flags, ID, incarnation, refutations, zone, weight,
	// address and accuser.
	maxEntrySize = 1 + idSize + 10 + 5 + 3 + 3 + 18 + idSize
)

// entry is one router's report about a member.
type entry struct {
	Identity
	refutations Refutations
	state       State
	accuser     NodeID // a router that has accused the member; noNode: none
	compact     bool   // the IDs are prefixes, the incarnation is shortened, and other fields are missing
}

// appendEntry appends a full entry. IDs and the address have a fixed size, all numbers are varints.
func appendEntry(b []byte, e *entry) []byte {
	flags := byte(e.state)
	if octets.IsIPv6(e.Address) {
		flags |= ipv6Flag
	}
	if e.accuser != noNode {
		flags |= accuserFlag
	}
	b = octets.AppendUint(append(b, flags), uint64(e.ID), idSize)
	b = binary.AppendUvarint(b, uint64(e.Incarnation))
	b = binary.AppendUvarint(b, uint64(e.refutations))
	b = binary.AppendUvarint(b, uint64(e.Zone))
	b = binary.AppendUvarint(b, uint64(e.Weight))
	b = octets.AppendAddress(b, e.Address)
	if e.accuser != noNode {
		b = octets.AppendUint(b, uint64(e.accuser), idSize)
	}
	return b
}

// appendCompact appends a compact entry, which takes less than half of the bytes of a full one. expandCompact
// restores the fields that it omits.
func appendCompact(b []byte, e *entry) []byte {
	flags := byte(e.state) | compactFlag
	if e.accuser != noNode {
		flags |= accuserFlag
	}
	b = octets.AppendUint(append(b, flags), idPrefix(e.ID), compactIDSize)
	b = octets.AppendUint(b, shortIncarnation(e.Incarnation), compactIncarnationSize)
	b = binary.AppendUvarint(b, uint64(e.refutations))
	if e.accuser != noNode {
		b = octets.AppendUint(b, idPrefix(e.accuser), compactIDSize)
	}
	return b
}

// readEntry decodes a full or compact entry. It sets r.Bad if the entry is malformed.
func readEntry(r *octets.Reader) (e entry) {
	flags := r.Byte()
	e.state = State(flags & stateMask)
	if e.state == Unknown || e.state > Left {
		r.Bad = true
	}
	if flags&compactFlag != 0 {
		readCompact(r, flags, &e)
		return e
	}
	e.ID = NodeID(r.Uint(idSize))
	e.Incarnation = Incarnation(r.Uvarint(maxIncarnation))
	e.refutations = Refutations(r.Uvarint(math.MaxInt32))
	e.Zone = uint16(r.Uvarint(math.MaxUint16))
	e.Weight = uint16(r.Uvarint(maxWeight))
	e.Address = r.Address(flags&ipv6Flag != 0)
	if flags&accuserFlag != 0 {
		e.accuser = NodeID(r.Uint(idSize))
	}
	if e.ID == noNode || flags&^(stateMask|ipv6Flag|accuserFlag) != 0 {
		r.Bad = true
	}
	return e
}

// readCompact decodes a compact entry after its flags.
func readCompact(r *octets.Reader, flags byte, e *entry) {
	e.compact = true
	e.ID = NodeID(r.Uint(compactIDSize))
	e.Incarnation = Incarnation(r.Uint(compactIncarnationSize))
	e.refutations = Refutations(r.Uvarint(math.MaxInt32))
	if flags&accuserFlag != 0 {
		e.accuser = NodeID(r.Uint(compactIDSize))
	}
	if flags&^(stateMask|accuserFlag|compactFlag) != 0 {
		r.Bad = true
	}
}

const prefixShift = 8 * (idSize - compactIDSize)

// idPrefix returns the first compactIDSize bytes of an ID.
func idPrefix(id NodeID) uint64 { return uint64(id) >> prefixShift }

// shortIncarnation returns a hash of an incarnation, compactIncarnationSize bytes long. It only shows whether a
// receiver knows the same incarnation.
func shortIncarnation(incarnation Incarnation) uint64 {
	return hash.Combine(uint64(incarnation), 1) & (1<<(8*compactIncarnationSize) - 1)
}

// findByPrefix returns the only member whose ID begins with a prefix, or nil if there is none or more than one.
func (m *Members) findByPrefix(prefix uint64) *knownMember {
	i, _ := m.search(NodeID(prefix << prefixShift))
	if i >= len(m.members) || idPrefix(m.members[i].ID) != prefix {
		return nil
	}
	if i+1 < len(m.members) && idPrefix(m.members[i+1].ID) == prefix {
		return nil
	}
	return m.members[i]
}

// expandCompact fills in the fields that a compact entry omits. It reports whether this router knows them: the
// entry must identify one known member, in the incarnation that this router knows. Full entries are complete
// already.
func (m *Members) expandCompact(e *entry) bool {
	if !e.compact {
		return true
	}
	identity := m.self
	if uint64(e.ID) != idPrefix(m.self.ID) {
		r := m.findByPrefix(uint64(e.ID))
		if r == nil || r.State == Unknown {
			return false
		}
		identity = r.Identity
	}
	if shortIncarnation(identity.Incarnation) != uint64(e.Incarnation) {
		return false
	}
	e.Identity = identity
	e.accuser = m.expandID(uint64(e.accuser))
	return true
}

// expandID returns the ID of the router whose ID begins with a prefix, or noNode if it is unknown.
func (m *Members) expandID(prefix uint64) NodeID {
	if prefix == 0 {
		return noNode
	}
	if prefix == idPrefix(m.self.ID) {
		return m.self.ID
	}
	if r := m.findByPrefix(prefix); r != nil {
		return r.ID
	}
	return noNode
}
