package shardmap

import (
	"encoding/binary"
	"net/netip"

	"threadrun/cluster/membership"
	"threadrun/internal/octets"
)

// MaxPayload is the maximum size of a datagram of this package, in bytes. Receive rejects larger ones.
const MaxPayload = 208

const (
	pieceSize = 170 // bytes of an encoded map per datagram
	keySize   = 8   // in bytes

	// The rate limit of sent datagrams. Announcements in reply to a peer's announcement are sent only if they leave
	// pieceReserve tokens for other datagrams, mainly pieces.
	datagramsPerSecond = 100.0
	datagramBurst      = 240.0 // four complete maps of 300 routers
	pieceReserve       = 120.0
)

// messageKind is the first byte of a datagram. It is followed by the sender's ID and incarnation, a version, and the
// fields of the kind, which are listed below. The numbers are part of the protocol between routers.
type messageKind byte

const (
	announcement   messageKind = iota + 1 // version of the sender's map; number of pieces, bit set of confirmed owners
	pieceRequest                          // version requested; indexes of the requested pieces
	pieceReply                            // version sent; number of its pieces, index of this piece, the piece
	ownershipQuery                        // zero version; the key asked about
	ownershipReply                        // version of the sender's map; the key, whether the sender serves it
	kindsEnd                              // first invalid kind
)

// Receive handles a datagram. It does not retain the slice. Replies are sent to the sender's address according to
// membership, or to from if membership has none. Datagrams of earlier incarnations are ignored without an error. The
// error is ErrUnreadable.
func (mgr *Manager) Receive(now Micros, from netip.AddrPort, datagram []byte) error {
	mgr.now = max(mgr.now, now)
	mgr.stats.Received++
	r := octets.Reader{B: datagram}
	kind := messageKind(r.Byte())
	sender := readOwner(&r)
	version := readVersion(&r)
	if r.Bad || len(datagram) > MaxPayload || kind == 0 || kind >= kindsEnd || sender.ID == mgr.self.ID {
		return mgr.countUnreadable()
	}
	candidate, known := mgr.candidates[sender.ID]
	if known && candidate.Incarnation > sender.Incarnation {
		return nil
	}
	if known && candidate.Address.IsValid() {
		from = candidate.Address
	}
	switch kind {
	case announcement:
		mgr.onAnnouncement(sender, from, version, &r)
	case pieceRequest:
		mgr.onPieceRequest(from, version, &r)
	case pieceReply:
		mgr.onPieceReply(version, &r)
	case ownershipQuery:
		mgr.onOwnershipQuery(from, &r)
	case ownershipReply: // ignored: routers send no queries, only observers do
	}
	if r.Bad {
		return mgr.countUnreadable()
	}
	return nil
}

// countUnreadable counts an unreadable datagram and returns ErrUnreadable.
func (mgr *Manager) countUnreadable() error {
	mgr.stats.Unreadable++
	return ErrUnreadable
}

func (mgr *Manager) onAnnouncement(sender Owner, from netip.AddrPort, version Version, r *octets.Reader) {
	pieces := int(r.Uvarint(maxPieces))
	if !r.Bad {
		mgr.receiveAnnouncement(sender, from, version, pieces, r.B)
	}
}

// onPieceRequest sends the requested pieces if this router follows the requested version.
func (mgr *Manager) onPieceRequest(from netip.AddrPort, version Version, r *octets.Reader) {
	if !mgr.admitTransfer(from) {
		return
	}
	for n := 0; n < maxPiecesPerRequest && len(r.B) > 0; n++ {
		index := int(r.Uvarint(maxPieces))
		if r.Bad {
			return
		}
		if mgr.current != nil && version == mgr.current.Version && index < mgr.current.pieceCount() {
			mgr.sendPiece(from, index)
		}
	}
}

func (mgr *Manager) onPieceReply(version Version, r *octets.Reader) {
	pieces := int(r.Uvarint(maxPieces))
	index := int(r.Uvarint(maxPieces))
	if index >= pieces || len(r.B) == 0 || len(r.B) > pieceSize {
		r.Bad = true
	}
	if !r.Bad {
		mgr.receivePiece(version, pieces, index, r.B)
	}
}

// onOwnershipQuery replies with the result of Serves for the key asked about.
func (mgr *Manager) onOwnershipQuery(from netip.AddrPort, r *octets.Reader) {
	key := Key(r.Uint(keySize))
	if r.Bad {
		return
	}
	version, serves := mgr.Serves(key, mgr.now)
	b := appendVersion(mgr.newDatagram(ownershipReply), version)
	b = octets.AppendUint(b, uint64(key), keySize)
	mgr.send(from, append(b, octets.FromBool(serves)))
}

// newDatagram starts a datagram with its kind and sender. It uses the Manager's buffer, so the datagram must be sent
// before the next one is started.
func (mgr *Manager) newDatagram(kind messageKind) []byte {
	return appendOwner(append(mgr.buffer[:0], byte(kind)), mgr.selfOwner())
}

// hasSpareTokens reports whether the rate limit permits an announcement that is sent only in reply to another one.
func (mgr *Manager) hasSpareTokens() bool { return mgr.limiter.Tokens() > pieceReserve }

// send sends a datagram unless the rate limit is exceeded or the address is invalid. A dropped datagram is not
// repeated here: announcements and piece requests recur.
func (mgr *Manager) send(to netip.AddrPort, datagram []byte) {
	mgr.limiter.Refill(mgr.now)
	if !to.IsValid() || !mgr.limiter.Take() {
		mgr.stats.RateLimited++
		return
	}
	mgr.stats.Sent++
	mgr.output.Send(to, datagram)
}

// sendAnnouncement sends the version that this router follows, or the zero version with no pieces.
func (mgr *Manager) sendAnnouncement(to netip.AddrPort) {
	pieces := 0
	if mgr.current != nil {
		pieces = mgr.current.pieceCount()
	}
	b := appendVersion(mgr.newDatagram(announcement), mgr.currentVersion())
	b = binary.AppendUvarint(b, uint64(pieces))
	mgr.send(to, append(b, mgr.confirmed...))
}

// sendPieceRequest requests up to maxPiecesPerRequest missing pieces of the pending map. It starts at a random
// piece, so that several sources are asked for different pieces.
func (mgr *Manager) sendPieceRequest(to netip.AddrPort) {
	p := mgr.pending
	b := appendVersion(mgr.newDatagram(pieceRequest), p.Version)
	count := len(p.pieces)
	start := mgr.random.IntN(count)
	requested := 0
	for i := 0; i < count && requested < maxPiecesPerRequest; i++ {
		index := (start + i) % count
		if p.pieces[index] == nil {
			b = binary.AppendUvarint(b, uint64(index))
			requested++
		}
	}
	mgr.send(to, b)
}

// pieceCount returns the number of pieces of the encoded map, each of which is sent in one datagram.
func (m *Map) pieceCount() int { return (len(m.encoded) + pieceSize - 1) / pieceSize }

// sendPiece sends the piece of the current map with an index less than its pieceCount.
func (mgr *Manager) sendPiece(to netip.AddrPort, index int) {
	m := mgr.current
	b := appendVersion(mgr.newDatagram(pieceReply), m.Version)
	b = binary.AppendUvarint(b, uint64(m.pieceCount()))
	b = binary.AppendUvarint(b, uint64(index))
	end := min((index+1)*pieceSize, len(m.encoded))
	mgr.send(to, append(b, m.encoded[index*pieceSize:end]...))
}

// OwnershipQuery returns a datagram by which an observer asks a router whether it serves a key. An observer, such as
// a test program, is not a router; its ID must not be that of the router asked.
func OwnershipQuery(observer membership.NodeID, key Key) []byte {
	b := appendOwner([]byte{byte(ownershipQuery)}, Owner{ID: observer})
	return octets.AppendUint(appendVersion(b, Version{}), uint64(key), keySize)
}

// ParseOwnershipReply decodes the reply to an OwnershipQuery. It returns the router that sent the reply, the key,
// the map version, and whether the router serves the key. The error is ErrUnreadable.
func ParseOwnershipReply(datagram []byte) (sender Owner, key Key, version Version, serves bool, err error) {
	r := octets.Reader{B: datagram}
	kind := messageKind(r.Byte())
	sender = readOwner(&r)
	version = readVersion(&r)
	key = Key(r.Uint(keySize))
	serves = r.Byte() == 1
	if r.Bad || kind != ownershipReply {
		return sender, key, version, false, ErrUnreadable
	}
	return sender, key, version, serves, nil
}
