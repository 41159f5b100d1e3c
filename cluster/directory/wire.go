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
	rowMost  = 8 + 5 + 1 + 4 + 5 + 4 + 4 + 1 + CopiesMost*(8+4+4) + 1
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

// AppendRow writes a row; times as ages.
func AppendRow(b []byte, now Micros, r *Row) []byte {
	b = octets.AppendWord(b, uint64(r.Key), 8)
	b = binary.AppendUvarint(b, uint64(r.Group))
	b = append(b, r.UseCase, r.From)
	b = binary.AppendUvarint(b, uint64(r.KB))
	b = binary.AppendUvarint(b, uint64(min(r.Gap, gapMost)/tick)+1)
	b = octets.AppendWord(b, uint64(math.Float32bits(r.Updates)), 4)
	b = age(b, now, r.Last)
	b = age(b, now, r.Told)
	at := len(b)
	b = append(b, 0)
	for _, c := range r.Copies {
		if c.Cache != 0 {
			b[at]++
			b = octets.AppendWord(b, uint64(c.Cache), 8)
			b = age(age(b, now, c.Seen), now, c.Born)
		}
	}
	return b
}

const ageMost = uint64(24*60) * 6000 // a day

// Late is how late a datagram may come. Ages do not grow on the way: a copy made just before a purge would seem made after it.
const Late = 2 * clock.Second

// ReadRow reads a row. Its copies are taken to be as old as they can be.
func ReadRow(r *octets.Reader, now Micros) (x Row) {
	since := func() Micros { return now - Micros(r.Number(ageMost))*tick }
	x.Key = shardmap.Key(r.Word(8))
	x.Group = Group(r.Number(math.MaxUint64))
	x.UseCase, x.From = r.Byte(), r.Byte()
	x.KB = uint32(r.Number(math.MaxUint32))
	x.Gap = min(Micros(r.Number(uint64(gapMost/tick)+1))*tick, gapMost)
	x.Updates = math.Float32frombits(uint32(r.Word(4)))
	x.Last, x.Told = since(), since()
	for i, n := 0, r.Byte(); i < int(n) && !r.Bad; i++ {
		if i >= CopiesMost {
			r.Bad = true
			break
		}
		x.Copies[i] = Copy{Cache: Cache(r.Word(8)), Seen: since(), Born: since() - Late}
		r.Bad = r.Bad || x.Copies[i].Cache == 0
	}
	if x.Updates != x.Updates || x.Updates < 0 || x.Gap == 0 {
		r.Bad = true
	}
	return x
}

// send tells a router of rows, and gives how many there was room for. To itself it tells without a datagram.
func (h *Holdings) send(to membership.Mark, keys []shardmap.Key, kept bool) (n int) {
	get := func(k shardmap.Key) (r Row, ok bool) {
		if kept {
			return h.Find(k)
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
				h.Take(h.now, r, false)
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
		more := AppendRow(b, h.now, &r)
		if len(more) > Room {
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

// Hear takes a datagram.
func (h *Holdings) Hear(now Micros, b []byte) error {
	h.now = max(h.now, now)
	r := octets.Reader{B: b}
	kind := r.Byte()
	var rows []Row
	for len(r.B) > 0 && !r.Bad {
		rows = append(rows, ReadRow(&r, h.now))
	}
	if r.Bad || kind != some && kind != whole || len(b) > Room {
		h.tally.Unreadable++
		return ErrUnreadable
	}
	for i := range rows {
		if !h.keeps(rows[i].Key) {
			h.tally.Astray++
			continue
		}
		h.Take(h.now, rows[i], kind == whole)
	}
	return nil
}
