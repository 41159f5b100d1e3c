package shardmap

import (
	"encoding/binary"
	"net/netip"

	"threadrun/cluster/membership"
	"threadrun/internal/octets"
)

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

const (
	pieceSize = 170 // bytes of an encoded map per datagram
	keySize   = 8   // in bytes

	datagramsPerSecond = 100.0
	datagramBurst      = 240.0 // four complete maps of 300 routers
	pieceReserve       = 120.0 // tokens of the burst that only pieces may use
)

// messageKind is the first byte of a datagram. The sender's ID and incarnation and a version follow, then the
// fields of the kind. The numbers are part of the protocol between routers.
type messageKind byte

const (
	announcement   messageKind = iota + 1 // version followed; its number of pieces, the owners known to follow it
	pieceRequest                          // version requested; indexes of the requested pieces
	pieceReply                            // version; its number of pieces, index of this piece, the piece
	ownershipQuery                        // empty version; a key that the receiver may serve
	ownershipReply                        // version followed; the key, whether the sender serves it
	kindsEnd
)

// Receive handles a datagram. Replies are sent to the sender's address according to membership, or to from if the
// sender is unknown. The error is ErrUnreadable.
func (mgr *Manager) Receive(now Micros, from netip.AddrPort, datagram []byte) error {
	mgr.now = max(mgr.now, now)
	mgr.stats.Received++
	r := octets.Reader{B: datagram}
	kind := messageKind(r.Byte())
	sender := readOwner(&r)
	version := readVersion(&r)
	if r.Bad || len(datagram) > MaxPayload || kind == 0 || kind >= kindsEnd || sender.ID == mgr.self.ID {
		return mgr.unreadable()
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
	case ownershipReply: // only observers send queries, so routers receive no replies
	}
	if r.Bad {
		return mgr.unreadable()
	}
	return nil
}

func (mgr *Manager) unreadable() error {
	mgr.stats.Unreadable++
	return ErrUnreadable
}

func (mgr *Manager) onAnnouncement(sender Owner, from netip.AddrPort, version Version, r *octets.Reader) {
	pieces := int(r.Number(maxPieces))
	if !r.Bad {
		mgr.receiveAnnouncement(sender, from, version, pieces, r.B)
	}
}

func (mgr *Manager) onPieceRequest(from netip.AddrPort, version Version, r *octets.Reader) {
	if !mgr.admitTransfer(from) {
		return
	}
	for n := 0; n < maxPiecesPerRequest && len(r.B) > 0; n++ {
		index := int(r.Number(maxPieces))
		if r.Bad {
			return
		}
		if mgr.current != nil && version == mgr.current.Version && index < mgr.current.pieceCount() {
			mgr.sendPiece(from, index)
		}
	}
}

func (mgr *Manager) onPieceReply(version Version, r *octets.Reader) {
	pieces := int(r.Number(maxPieces))
	index := int(r.Number(maxPieces))
	if index >= pieces || len(r.B) == 0 || len(r.B) > pieceSize {
		r.Bad = true
	}
	if !r.Bad {
		mgr.receivePiece(version, pieces, index, r.B)
	}
}

func (mgr *Manager) onOwnershipQuery(from netip.AddrPort, r *octets.Reader) {
	key := Key(r.Word(keySize))
	if r.Bad {
		return
	}
	version, serves := mgr.Serves(key, mgr.now)
	b := appendVersion(mgr.newDatagram(ownershipReply), version)
	b = octets.AppendWord(b, uint64(key), keySize)
	mgr.send(from, append(b, octets.FromBool(serves)))
}

// newDatagram starts a datagram in the Manager's buffer.
func (mgr *Manager) newDatagram(kind messageKind) []byte {
	return appendOwner(append(mgr.buffer[:0], byte(kind)), mgr.selfOwner())
}

// hasSpareTokens reports whether the rate limit permits datagrams other than pieces.
func (mgr *Manager) hasSpareTokens() bool { return mgr.limiter.Tokens() > pieceReserve }

// send sends a datagram unless the rate limit is exceeded.
func (mgr *Manager) send(to netip.AddrPort, datagram []byte) {
	mgr.limiter.Refill(mgr.now)
	if !to.IsValid() || !mgr.limiter.Take() {
		mgr.stats.RateLimited++
		return
	}
	mgr.stats.Sent++
	mgr.output.Send(to, datagram)
}

func (mgr *Manager) sendAnnouncement(to netip.AddrPort) {
	pieces := 0
	if mgr.current != nil {
		pieces = mgr.current.pieceCount()
	}
	b := appendVersion(mgr.newDatagram(announcement), mgr.currentVersion())
	b = binary.AppendUvarint(b, uint64(pieces))
	mgr.send(to, append(b, mgr.confirmed...))
}

// sendPieceRequest requests missing pieces of the pending map. It starts at a random piece, so that several sources
// are asked for different pieces.
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

// pieceCount returns the number of datagrams that the encoded map takes.
func (m *Map) pieceCount() int { return (len(m.encoded) + pieceSize - 1) / pieceSize }

func (mgr *Manager) sendPiece(to netip.AddrPort, index int) {
	m := mgr.current
	b := appendVersion(mgr.newDatagram(pieceReply), m.Version)
	b = binary.AppendUvarint(b, uint64(m.pieceCount()))
	b = binary.AppendUvarint(b, uint64(index))
	end := min((index+1)*pieceSize, len(m.encoded))
	mgr.send(to, append(b, m.encoded[index*pieceSize:end]...))
}

// OwnershipQuery returns a datagram by which an observer, which is not a router, asks a router whether it serves a
// key.
func OwnershipQuery(observer membership.NodeID, key Key) []byte {
	b := appendOwner([]byte{byte(ownershipQuery)}, Owner{ID: observer})
	return octets.AppendWord(appendVersion(b, Version{}), uint64(key), keySize)
}

// ParseOwnershipReply decodes the reply to an OwnershipQuery. It returns the router that sent the reply, the key,
// the map version, and whether the router serves the key. The error is ErrUnreadable.
func ParseOwnershipReply(datagram []byte) (sender Owner, key Key, version Version, serves bool, err error) {
	r := octets.Reader{B: datagram}
	kind := messageKind(r.Byte())
	sender = readOwner(&r)
	version = readVersion(&r)
	key = Key(r.Word(keySize))
	serves = r.Byte() == 1
	if r.Bad || kind != ownershipReply {
		return sender, key, version, false, ErrUnreadable
	}
	return sender, key, version, serves, nil
}
