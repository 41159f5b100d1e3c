package lease

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// A datagram is a kind, the sender's zone, how many duties it knows of, and who it is; then what belongs to the kind.
type messageKind byte

const (
	claims      messageKind = iota + 1 // who holds what under which term, by holder
	offer                              // the same, of duties that the sender hands over
	query                              // which duties' holders are wanted
	digest                             // whether to be told that all is the same, the first bucket, and a sum over each
	digestMatch                        // the first bucket of a digest that is the same
	kindsEnd
)

const (
	holderSize     = holderBits / 8
	sumSize        = 2
	maxClaims      = 90 // that a datagram is tried to be filled with
	offerMost      = 32
	maxDigestReply = 3 * maxClaims // claims that one digest is answered with
)

// newDatagram starts a datagram in the router's own buffer.
func (d *Manager) newDatagram(k messageKind) []byte {
	b := append(d.buffer[:0], byte(k))
	b = binary.AppendUvarint(b, uint64(d.self.Zone))
	b = binary.AppendUvarint(b, uint64(len(d.table)))
	return appendHolder(b, d.selfHolder)
}

func appendHolder(b []byte, h Holder) []byte { return octets.AppendWord(b, uint64(h), holderSize) }

// sortByHolder puts those of one holder side by side: its name is said once.
func (d *Manager) sortByHolder(list []ID) []ID {
	slices.SortFunc(list, func(x, y ID) int {
		return cmp.Or(cmp.Compare(d.table[x].holder, d.table[y].holder), cmp.Compare(x, y))
	})
	return list
}

// sendList sends claims of duties, in the order given, and tells how many of the list went.
func (d *Manager) sendList(k messageKind, to netip.AddrPort, list []ID) (sent int) {
	b := d.newDatagram(k)
	list = list[:min(len(list), maxClaims)]
	if k == query {
		return d.sendQuery(to, b, list)
	}
	for sent < len(list) {
		by, end := d.table[list[sent]].holder, sent
		for end++; end < len(list) && d.table[list[end]].holder == by && list[end] > list[end-1]; {
			end++
		}
		head := len(b)
		b = append(appendHolder(b, by), 0)
		last := ID(0)
		n := 0
		for _, no := range list[sent:end] {
			more := binary.AppendUvarint(b, uint64(no-last))
			more = binary.AppendUvarint(more, uint64(d.table[no].term))
			if len(more) > MaxPayload {
				break
			}
			b, last = more, no
			n++
		}
		if n == 0 {
			b = b[:head]
			break
		}
		b[head+holderSize] = byte(n)
		if sent += n; sent < end {
			break
		}
		if len(b)+holderSize+1+10 > MaxPayload {
			break
		}
	}
	if sent > 0 && !d.send(to, b) {
		return 0
	}
	return sent
}

// sendQuery asks for the holders of duties.
func (d *Manager) sendQuery(to netip.AddrPort, b []byte, list []ID) (sent int) {
	slices.Sort(list)
	last := ID(0)
	for _, no := range list {
		more := binary.AppendUvarint(b, uint64(no-last))
		if len(more) > MaxPayload {
			break
		}
		b, last = more, no
		sent++
	}
	d.send(to, b)
	return sent
}

// sendDigest sends the sums of some buckets.
func (d *Manager) sendDigest(to netip.AddrPort, first, end int) {
	salt := byte(d.random.Uint64())
	asks := byte(0)
	if d.settledAt == 0 {
		asks = 1
	}
	b := append(binary.AppendUvarint(append(d.newDatagram(digest), asks), uint64(first)), salt)
	for _, s := range d.sums[first:end] {
		if len(b)+sumSize > MaxPayload {
			break
		}
		b = octets.AppendWord(b, uint64(truncateSum(s, salt)), sumSize)
	}
	d.send(to, b)
}

// truncateSum cuts a sum down. The salt is another each time: two sums that are alike for once are not so for ever.
func truncateSum(sum uint32, salt byte) uint16 {
	return uint16(hash.Combine(uint64(sum), uint64(salt)))
}

// send gives a datagram out, unless there have been too many.
func (d *Manager) send(to netip.AddrPort, b []byte) bool {
	d.tokens = min(d.tokens+(d.now-d.lastRefill).Seconds()*datagramsPerSecond, datagramBurst)
	d.lastRefill = d.now
	if d.tokens < 1 {
		d.stats.RateLimited++
		return false
	}
	d.tokens--
	d.stats.Sent++
	d.output.Send(to, b)
	return true
}

// newSums makes the sums.
func (d *Manager) newSums() { d.sums = make([]uint32, d.bucketCount()) }

// toggleSum enters a holding in its bucket's sum, or takes it out: a sum is that of its holdings by exclusive or.
func (d *Manager) toggleSum(no ID) {
	if h := &d.table[no]; h.term > 0 {
		d.sums[no/bucketSize] ^= uint32(hash.Combine(uint64(no)<<32|uint64(h.term), uint64(h.holder)))
	}
}

// readHeader reads a datagram's head.
func (d *Manager) readHeader(b []byte) (k messageKind, sender Holder, r octets.Reader, err error) {
	r = octets.Reader{B: b}
	k = messageKind(r.Byte())
	zone, all := r.Number(math.MaxUint16), r.Number(MaxLeases)
	sender = Holder(r.Word(holderSize))
	switch {
	case r.Bad || len(b) > MaxPayload || k == 0 || k >= kindsEnd:
		d.stats.Unreadable++
		return k, sender, r, ErrUnreadable
	case zone != uint64(d.self.Zone):
		return k, sender, r, ErrForeign
	case int(all) != len(d.table):
		d.stats.Foreign++
		if !d.foreignNoted {
			d.foreignNoted = true
			d.output.Note("duties: a router of this zone shares another number of duties, what it says is passed over")
		}
		return k, sender, r, ErrForeign
	}
	return k, sender, r, nil
}

// readClaims reads those of one holder, and tells whether there may be more.
func readClaims(r *octets.Reader, all int, f func(by Holder, no ID, term Term)) bool {
	if len(r.B) == 0 {
		return false
	}
	by := Holder(r.Word(holderSize))
	no := uint64(0)
	for n := r.Byte(); n > 0 && !r.Bad; n-- {
		no += r.Number(MaxLeases)
		term := r.Number(math.MaxInt32)
		if r.Bad = r.Bad || no >= uint64(all) || term == 0; !r.Bad {
			f(by, ID(no), Term(term))
		}
	}
	return !r.Bad && len(r.B) > 0
}

// readDigest reads the sums of some buckets.
func readDigest(r *octets.Reader) (first int, salt byte, sums []uint16, asks bool) {
	asks = r.Byte() == 1
	first, salt = int(r.Number(MaxLeases)), r.Byte()
	for !r.Bad && len(r.B) >= sumSize && len(sums) < maxDigestBuckets {
		sums = append(sums, uint16(r.Word(sumSize)))
	}
	return first, salt, sums, asks
}
