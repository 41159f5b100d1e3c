package lease

import (
	"cmp"
	"encoding/binary"
	"log/slog"
	"math"
	"net/netip"
	"slices"

	"threadrun/internal/octets"
)

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

const (
	holderSize      = holderBits / 8 // in bytes
	sumSize         = 2              // in bytes
	groupHeaderSize = holderSize + 1 // in bytes: a holder and the number of its claims that follow
	maxClaimSize    = 10             // in bytes, when estimating whether another group fits
	maxClaims       = 90             // per datagram

	datagramsPerSecond = 50.0 // rate limit of sent datagrams
	datagramBurst      = 60.0 // datagrams that may be sent at once
)

// messageKind is the first byte of a datagram, and its values are part of the protocol between routers. The
// sender's zone, the number of leases in its table and its Holder follow, then the fields of the kind. In a group
// of claims and in a query, each lease ID is encoded as its difference from the one before.
type messageKind byte

const (
	claims      messageKind = iota + 1 // leases and terms, grouped by holder
	offer                              // like claims, for leases that the sender hands over
	query                              // leases whose holders are requested
	digest                             // whether a digestMatch is requested, first bucket, salt, one sum per bucket
	digestMatch                        // first bucket of a digest that matched
	kindsEnd
)

// Receive handles a datagram. Replies are sent to the sender's address according to membership, or to from if the
// sender is unknown. The error is ErrUnreadable or ErrForeign; the datagram is then ignored.
func (mgr *Manager) Receive(now Micros, from netip.AddrPort, datagram []byte) error {
	mgr.now = max(mgr.now, now)
	mgr.stats.Received++
	r := octets.Reader{B: datagram}
	kind, sender, err := mgr.readHeader(&r, len(datagram))
	if err != nil {
		return err
	}
	if p := mgr.byHolder[sender]; p != nil {
		from = p.Address
	}
	switch kind {
	case digest:
		mgr.onDigest(from, &r)
	case digestMatch:
		mgr.onDigestMatch(&r)
	case query:
		return mgr.onQuery(from, &r)
	case claims, offer:
		return mgr.onClaims(kind, sender, from, &r)
	}
	return nil
}

// countUnreadable counts an unreadable datagram and returns the error for it.
func (mgr *Manager) countUnreadable() error {
	mgr.stats.Unreadable++
	return ErrUnreadable
}

// onClaims merges claims or accepts offers. It replies with the claims in this router's table that win over those
// of the sender.
func (mgr *Manager) onClaims(kind messageKind, sender Holder, from netip.AddrPort, r *octets.Reader) error {
	check := *r // a copy, to validate the complete datagram before merging any of it
	eachClaim(&check, len(mgr.table), func(Holder, ID, Term) {})
	if check.Bad {
		return mgr.countUnreadable()
	}
	mgr.scratch = mgr.scratch[:0]
	eachClaim(r, len(mgr.table), func(holder Holder, id ID, term Term) {
		if kind == offer {
			mgr.receiveOffer(sender, holder, id, term)
			return
		}
		if !mgr.mergeClaim(id, term, holder) && len(mgr.scratch) < maxClaims {
			mgr.scratch = append(mgr.scratch, id)
		}
	})
	if len(mgr.scratch) > 0 {
		mgr.sendClaims(claims, from, mgr.sortByHolder(mgr.scratch))
	}
	return nil
}

// onQuery replies with the claims of those requested leases that are not vacant in this router's table.
func (mgr *Manager) onQuery(from netip.AddrPort, r *octets.Reader) error {
	mgr.scratch = mgr.scratch[:0]
	id := uint64(0)
	for len(r.B) > 0 && !r.Bad {
		id += r.Uvarint(MaxLeases)
		if id < uint64(len(mgr.table)) && mgr.table[id].term > 0 && !mgr.table[id].vacant {
			mgr.scratch = append(mgr.scratch, ID(id))
		}
	}
	if r.Bad {
		return mgr.countUnreadable()
	}
	mgr.sendClaims(claims, from, mgr.sortByHolder(mgr.scratch))
	return nil
}

// readHeader reads the header of a datagram of the given size. It rejects datagrams of another zone or of a router
// with a different number of leases; the first of the latter is logged, because it shows that the settings differ.
func (mgr *Manager) readHeader(r *octets.Reader, size int) (kind messageKind, sender Holder, err error) {
	kind = messageKind(r.Byte())
	zone := r.Uvarint(math.MaxUint16)
	leases := r.Uvarint(MaxLeases)
	sender = Holder(r.Uint(holderSize))
	switch {
	case r.Bad || size > MaxPayload || kind == 0 || kind >= kindsEnd:
		return kind, sender, mgr.countUnreadable()
	case zone != uint64(mgr.self.Zone):
		return kind, sender, ErrForeign
	case int(leases) != len(mgr.table):
		mgr.stats.Foreign++
		if !mgr.foreignLogged {
			mgr.foreignLogged = true
			mgr.output.Log("lease: ignoring datagrams of a router with a different number of leases",
				slog.Any("theirs", leases), slog.Int("ours", len(mgr.table)))
		}
		return kind, sender, ErrForeign
	}
	return kind, sender, nil
}

// eachClaim decodes claims up to the end of the datagram and calls f for each of them. It stops and sets r.Bad at a
// malformed one; leases is the number of leases, and terms begin at 1.
func eachClaim(r *octets.Reader, leases int, f func(holder Holder, id ID, term Term)) {
	for len(r.B) > 0 && !r.Bad {
		holder := Holder(r.Uint(holderSize))
		id := uint64(0)
		for n := r.Byte(); n > 0 && !r.Bad; n-- {
			id += r.Uvarint(MaxLeases)
			term := r.Uvarint(math.MaxInt32)
			if id >= uint64(leases) || term == 0 {
				r.Bad = true
			}
			if !r.Bad {
				f(holder, ID(id), Term(term))
			}
		}
	}
}

// newDatagram starts a datagram in the Manager's buffer, which holds one datagram at a time.
func (mgr *Manager) newDatagram(kind messageKind) []byte {
	b := append(mgr.buffer[:0], byte(kind))
	b = binary.AppendUvarint(b, uint64(mgr.self.Zone))
	b = binary.AppendUvarint(b, uint64(len(mgr.table)))
	return appendHolder(b, mgr.selfHolder)
}

func appendHolder(b []byte, holder Holder) []byte {
	return octets.AppendUint(b, uint64(holder), holderSize)
}

// sortByHolder sorts leases by holder and then by ID, because a datagram groups claims by holder. It sorts in
// place.
func (mgr *Manager) sortByHolder(ids []ID) []ID {
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(mgr.table[a].holder, mgr.table[b].holder), cmp.Compare(a, b))
	})
	return ids
}

// sendClaims sends the claims of leases in the given order, as many as fit into one datagram. It returns how many
// were sent, 0 if the rate limit was exceeded.
func (mgr *Manager) sendClaims(kind messageKind, to netip.AddrPort, ids []ID) (sent int) {
	b := mgr.newDatagram(kind)
	ids = ids[:min(len(ids), maxClaims)]
	for sent < len(ids) {
		group := mgr.firstGroup(ids[sent:])
		var fitting int
		b, fitting = mgr.appendGroup(b, group)
		sent += fitting
		if fitting < len(group) || len(b)+groupHeaderSize+maxClaimSize > MaxPayload {
			break
		}
	}
	if sent > 0 && !mgr.send(to, b) {
		return 0
	}
	return sent
}

// firstGroup returns the longest prefix of a list whose leases have the same holder and increasing IDs. The list
// must not be empty.
func (mgr *Manager) firstGroup(ids []ID) []ID {
	end := 1
	for end < len(ids) && mgr.table[ids[end]].holder == mgr.table[ids[0]].holder && ids[end] > ids[end-1] {
		end++
	}
	return ids[:end]
}

// appendGroup appends a group with as many claims as fit, and returns their number. The leases must have the same
// holder and increasing IDs. If none fits, it appends nothing.
func (mgr *Manager) appendGroup(b []byte, ids []ID) (extended []byte, fitting int) {
	header := len(b)
	b = append(appendHolder(b, mgr.table[ids[0]].holder), 0)
	last := ID(0)
	for _, id := range ids {
		longer := binary.AppendUvarint(b, uint64(id-last))
		longer = binary.AppendUvarint(longer, uint64(mgr.table[id].term))
		if len(longer) > MaxPayload {
			break
		}
		b = longer
		last = id
		fitting++
	}
	if fitting == 0 {
		return b[:header], 0
	}
	b[header+holderSize] = byte(fitting)
	return b, fitting
}

// sendQuery requests the holders of as many leases as fit into one datagram. It sorts ids in place.
func (mgr *Manager) sendQuery(to netip.AddrPort, ids []ID) {
	b := mgr.newDatagram(query)
	slices.Sort(ids)
	last := ID(0)
	for _, id := range ids {
		longer := binary.AppendUvarint(b, uint64(id-last))
		if len(longer) > MaxPayload {
			break
		}
		b = longer
		last = id
	}
	mgr.send(to, b)
}

// send sends a datagram unless the rate limit is exceeded, and reports whether it did.
func (mgr *Manager) send(to netip.AddrPort, datagram []byte) bool {
	mgr.limiter.Refill(mgr.now)
	if !mgr.limiter.Take() {
		mgr.stats.RateLimited++
		return false
	}
	mgr.stats.Sent++
	mgr.output.Send(to, datagram)
	return true
}
