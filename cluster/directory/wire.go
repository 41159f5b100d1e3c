package directory

import (
	"encoding/binary"
	"errors"
	"math"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("holdings: unreadable datagram")

const (
	rowMost  = 8 + 5 + 1 + 4 + 5 + 4 + 4 + 1 + MaxCopies*(8+4+4) + 1
	rowsMost = 10
	tick     = 10 * clock.Millisecond // ages travel in these
)

// A datagram is whether its rows are whole ones of a keeper's, and rows up to its end.
const (
	some  = 1
	whole = 2
)

// age writes how long ago something was: times are not comparable between routers.
func age(b []byte, now, at Micros) []byte {
	return binary.AppendUvarint(b, uint64(max(now-at, 0)/tick))
}

// AppendRecord writes a row; times as ages.
func AppendRecord(b []byte, now Micros, r *Record) []byte {
	b = octets.AppendWord(b, uint64(r.Key), 8)
	b = binary.AppendUvarint(b, uint64(r.Group))
	b = append(b, r.Class, r.Reports)
	b = binary.AppendUvarint(b, uint64(r.SizeKB))
	b = binary.AppendUvarint(b, uint64(min(r.RequestGap, gapMost)/tick)+1)
	b = octets.AppendWord(b, uint64(math.Float32bits(r.UpdatesPerSecond)), 4)
	b = age(b, now, r.LastRequest)
	b = age(b, now, r.UpdatedAt)
	at := len(b)
	b = append(b, 0)
	for _, c := range r.Copies {
		if c.Cache != 0 {
			b[at]++
			b = octets.AppendWord(b, uint64(c.Cache), 8)
			b = age(age(b, now, c.LastSeen), now, c.CreatedAt)
		}
	}
	return b
}

const ageMost = uint64(24*60) * 6000 // a day

// Late is how late a datagram may come. Ages do not grow on the way: a copy made just before a purge would seem made after it.
const Late = 2 * clock.Second

// ReadRecord reads a row. Its copies are taken to be as old as they can be.
func ReadRecord(r *octets.Reader, now Micros) (x Record) {
	since := func() Micros { return now - Micros(r.Number(ageMost))*tick }
	x.Key = shardmap.Key(r.Word(8))
	x.Group = Group(r.Number(math.MaxUint64))
	x.Class, x.Reports = r.Byte(), r.Byte()
	x.SizeKB = uint32(r.Number(math.MaxUint32))
	x.RequestGap = min(Micros(r.Number(uint64(gapMost/tick)+1))*tick, gapMost)
	x.UpdatesPerSecond = math.Float32frombits(uint32(r.Word(4)))
	x.LastRequest, x.UpdatedAt = since(), since()
	for i, n := 0, r.Byte(); i < int(n) && !r.Bad; i++ {
		if i >= MaxCopies {
			r.Bad = true
			break
		}
		x.Copies[i] = Copy{Cache: CacheInstance(r.Word(8)), LastSeen: since(), CreatedAt: since() - Late}
		r.Bad = r.Bad || x.Copies[i].Cache == 0
	}
	if x.UpdatesPerSecond != x.UpdatesPerSecond || x.UpdatesPerSecond < 0 || x.RequestGap == 0 {
		r.Bad = true
	}
	return x
}

// send tells a router of rows, and gives how many there was room for. To itself it tells without a datagram.
func (h *Directory) send(to membership.NodeID, keys []shardmap.Key, kept bool) (n int) {
	get := func(k shardmap.Key) (r Record, ok bool) {
		if kept {
			return h.Lookup(k)
		}
		x := h.own[k]
		if x == nil {
			return r, false
		}
		r = x.row(h.now)
		h.cut(&r)
		return r, true
	}
	if to == h.self {
		for _, k := range keys {
			if r, ok := get(k); ok && !kept {
				h.Merge(h.now, r, false)
			}
		}
		return len(keys)
	}
	at, ok := h.seat(to)
	if !ok {
		return 0
	}
	b := append(h.buf[:0], some)
	if kept {
		b[0] = whole
	}
	for _, k := range keys {
		r, ok := get(k)
		if !ok {
			n++
			continue
		}
		more := AppendRecord(b, h.now, &r)
		if len(more) > MaxPayload {
			break
		}
		b = more
		n++
	}
	if len(b) > 1 {
		h.tokens--
		h.tally.Sent++
		h.post.Send(at, b)
	}
	return n
}

// Receive takes a datagram.
func (h *Directory) Receive(now Micros, b []byte) error {
	h.now = max(h.now, now)
	r := octets.Reader{B: b}
	kind := r.Byte()
	var rows []Record
	for len(r.B) > 0 && !r.Bad {
		rows = append(rows, ReadRecord(&r, h.now))
	}
	if r.Bad || kind != some && kind != whole || len(b) > MaxPayload {
		h.tally.Unreadable++
		return ErrUnreadable
	}
	for i := range rows {
		if !h.keeps(rows[i].Key) {
			h.tally.Astray++
			continue
		}
		h.Merge(h.now, rows[i], kind == whole)
	}
	return nil
}
