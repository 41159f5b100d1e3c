package membership

import (
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// Sums mend what news does not bring. The members are cut into parts by the start of their marks; each ping bears the sums of some
// parts in turn, and its answer tells of the members of those that the one asked holds otherwise. After a mass restart hundreds
// of pieces of news are dropped at once, told too seldom to reach all; asked for page by page the last ones came 30 s late.
const (
	partBits  = 7
	sumsOf    = 4  // parts that one ping bears the sums of
	sumBytes  = 2  // of each: of two lists that differ one in 65,536 passes, and another ping asks anew
	mendLeave = 56 // bytes of an answer that stay for news
	noSums    = 0xff
)

type part uint8

const parts = 1 << partBits

// sums are those of some parts, and which the first is.
type sums struct {
	first part
	of    [sumsOf]uint16
}

// sum is that of one part: of who is present in which life, this router among them, alike wherever the same is known.
func (m *Members) sum(p part) (x uint16) {
	if partOf(m.self.ID) == p && m.state != Left {
		x ^= sumOf(m.self.ID, m.self.Incarnation)
	}
	m.inPart(p, func(r *member) {
		if r.State.Present() {
			x ^= sumOf(r.ID, r.Incarnation)
		}
	})
	return x
}

func partOf(id NodeID) part { return part(uint64(id) >> (64 - partBits)) }

func sumOf(id NodeID, life Incarnation) uint16 { return uint16(hash.Combine(uint64(id), uint64(life))) }

func (m *Members) inPart(p part, f func(*member)) {
	at, _ := m.place(NodeID(uint64(p) << (64 - partBits)))
	for ; at < len(m.all) && partOf(m.all[at].ID) == p; at++ {
		f(m.all[at])
	}
}

// sums adds those of the next parts to a ping.
func (d draft) sums() draft {
	m := d.m
	if m.healed > 0 && m.now-m.healed < waryFor { // what a split did is refuted by news, which needs the room
		d.n = len(append(m.buf[:d.n], noSums))
		return d
	}
	b := append(m.buf[:d.n], byte(m.summed))
	for i := range part(sumsOf) {
		b = octets.AppendWord(b, uint64(m.sum((m.summed+i)%parts)), sumBytes)
	}
	m.summed = (m.summed + sumsOf) % parts
	d.n = len(b)
	return d
}

func readSums(r *octets.Reader) (s sums) {
	if s.first = part(r.Byte()); s.first == noSums {
		return s
	}
	for i := range s.of {
		s.of[i] = uint16(r.Word(sumBytes))
	}
	r.Bad = r.Bad || s.first >= parts
	return s
}

// mend tells the sender of a ping of the members of parts that it holds otherwise, from one by chance on: what finds no room comes
// with another answer.
func (d draft) mend(s *sums, to *member) draft {
	m := d.m
	if m.differ = m.differ[:0]; s.first == noSums {
		return d
	}
	for i, x := range s.of {
		if p := (s.first + part(i)) % parts; m.sum(p) != x {
			m.inPart(p, func(r *member) {
				if r != to && (r.State == Alive || r.State == Leaving) { // accusations go round as news, once each
					m.differ = append(m.differ, r)
				}
			})
		}
	}
	n := len(m.differ)
	if n == 0 {
		return d
	}
	at := m.chance.IntN(n)
	for i := range n {
		next, fits := d.entry(m.differ[(at+i)%n])
		if !fits || next.n > MaxPayload-mendLeave {
			break
		}
		m.tally.Repaired++
		d = next
	}
	return d
}
