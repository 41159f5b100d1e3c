package scatter

import (
	"cmp"
	"hash"
	"hash/crc32"
	"net/netip"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/summary"
	"threadrun/internal/octets"
)

const (
	maxParts     = 32
	partOverhead = 40 // maximum size of a part before its records, in bytes
)

// Matches reports whether a record matches a query.
func Matches(q *summary.Query, r *directory.Record) bool {
	object := q.Object == 0 || q.Object == r.Key
	group := q.Group == 0 || q.Group == r.Group
	size := r.SizeKB >= q.MinSizeKB && (q.MaxSizeKB == 0 || r.SizeKB <= q.MaxSizeKB)
	return object && group && size
}

// answer sends the matching records, in as many parts as needed, except the parts that the requester already has. A
// router answers only if it serves all its keys under the requester's map.
func (c *Coordinator) answer(to netip.AddrPort, number uint32, r *request, store Store) {
	m, complete := store.ShardMap()
	if m == nil || m.Digest != r.mapDigest || !complete {
		c.output.Send(to, c.header(otherMapMessage, number))
		return
	}
	matches := findMatches(&r.query, store)
	w := answerWriter{digest: crc32.NewIEEE()}
	truncated := len(matches) > r.limit
	for _, x := range matches[:min(len(matches), r.limit)] {
		if !w.add(c.now, x) {
			truncated = true
			break
		}
	}
	w.finish()
	for i, records := range w.parts {
		if r.received.has(w.sum(), i) {
			continue
		}
		p := answerPart{mapDigest: m.Digest, answer: w.sum(), index: i, count: len(w.parts), truncated: truncated}
		c.output.Send(to, p.append(c.header(recordsMessage, number), records))
	}
}

// findMatches returns the matching records sorted by key, so that the same records always make the same answer.
func findMatches(q *summary.Query, store Store) (matches []*directory.Record) {
	take := func(r *directory.Record) bool {
		if Matches(q, r) {
			matches = append(matches, r)
		}
		return true
	}
	if q.CreatedBefore != 0 {
		store.EachCreatedBefore(q.Group, q.CreatedBefore, take)
	} else {
		store.Each(take)
	}
	slices.SortFunc(matches, func(a, b *directory.Record) int { return cmp.Compare(a.Key, b.Key) })
	return matches
}

// answerWriter divides records into parts, and computes a digest of their content.
type answerWriter struct {
	parts  [][]byte
	part   []byte
	digest hash.Hash32
}

// add adds a record and reports whether it fitted.
func (w *answerWriter) add(now Micros, r *directory.Record) bool {
	longer := directory.AppendRecord(w.part, now, r)
	if len(longer)+partOverhead > MaxPayload {
		if len(w.parts) >= maxParts-1 {
			return false
		}
		w.parts = append(w.parts, w.part)
		longer = directory.AppendRecord(nil, now, r)
	}
	w.part = longer
	w.addDigest(r)
	return true
}

// addDigest adds a record's content and the number of its part to the digest. It uses the record's times, because
// encoded ages change with time.
func (w *answerWriter) addDigest(r *directory.Record) {
	var buf [16 + 16*directory.MaxCopies]byte
	b := append(buf[:0], byte(len(w.parts)))
	b = octets.AppendWord(b, uint64(r.Key), 8)
	b = octets.AppendWord(b, uint64(r.UpdatedAt), 8)
	for _, c := range r.Copies {
		b = octets.AppendWord(b, uint64(c.Cache), 8)
		b = octets.AppendWord(b, uint64(c.CreatedAt), 8)
	}
	_, _ = w.digest.Write(b) // a hash never returns an error
}

// finish ends the last part, which is empty if no record matches.
func (w *answerWriter) finish() { w.parts = append(w.parts, w.part) }

// sum returns the digest of the answer, which is never 0.
func (w *answerWriter) sum() uint32 { return w.digest.Sum32() | 1 }
