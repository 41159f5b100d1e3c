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
	maxParts     = 32 // of an answer; at most 64, the number of bits in receivedParts.indexes
	partOverhead = 40 // upper bound of the size of a part's fields before its records, in bytes
)

// Matches reports whether a record matches the object, the group and the sizes of a query; a zero field of the
// query matches any record. It does not check CreatedBefore, which Store.EachCreatedBefore applies to the copies
// of a record.
func Matches(q *summary.Query, r *directory.Record) bool {
	objectMatches := q.Object == 0 || q.Object == r.Key
	groupMatches := q.Group == 0 || q.Group == r.Group
	sizeMatches := r.SizeKB >= q.MinSizeKB && (q.MaxSizeKB == 0 || r.SizeKB <= q.MaxSizeKB)
	return objectMatches && groupMatches && sizeMatches
}

// answer sends the matching records to a requester, in as many parts as needed, except the parts that the
// requester has already received. If this router does not serve all its keys under the requester's map, it sends
// an otherMapMessage instead, because its records may be incomplete. The answer is truncated to the requested
// limit and to maxParts parts.
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
		if r.received.has(w.answerDigest(), i) {
			continue
		}
		p := answerPart{
			mapDigest:    m.Digest,
			answerDigest: w.answerDigest(),
			index:        i,
			count:        len(w.parts),
			truncated:    truncated,
		}
		c.output.Send(to, p.append(c.header(recordsMessage, number), records))
	}
}

// findMatches returns the matching records sorted by key, so that the same records are always divided into the same
// parts and give the same digest.
func findMatches(q *summary.Query, store Store) (matches []*directory.Record) {
	collect := func(r *directory.Record) bool {
		if Matches(q, r) {
			matches = append(matches, r)
		}
		return true
	}
	if q.CreatedBefore != 0 {
		store.EachCreatedBefore(q.Group, q.CreatedBefore, collect)
	} else {
		store.Each(collect)
	}
	slices.SortFunc(matches, func(a, b *directory.Record) int { return cmp.Compare(a.Key, b.Key) })
	return matches
}

// answerWriter divides records into parts that fit in one datagram each, and computes a digest of their content.
type answerWriter struct {
	parts  [][]byte    // full parts, as encoded records; after finish all parts
	part   []byte      // the part being filled
	digest hash.Hash32 // of the records added so far
}

// add adds a record. It returns false, and adds nothing, if the record does not fit in maxParts parts.
func (w *answerWriter) add(now Micros, r *directory.Record) bool {
	extended := directory.AppendRecord(w.part, now, r)
	if len(extended)+partOverhead > MaxPayload {
		if len(w.parts) >= maxParts-1 {
			return false
		}
		w.parts = append(w.parts, w.part)
		extended = directory.AppendRecord(nil, now, r)
	}
	w.part = extended
	w.addDigest(r)
	return true
}

// addDigest adds the record's key, update time and copies and the index of its part to the digest. It uses times
// rather than the encoded records, in which ages change from one attempt to the next.
func (w *answerWriter) addDigest(r *directory.Record) {
	var buf [16 + 16*directory.MaxCopies]byte
	b := append(buf[:0], byte(len(w.parts)))
	b = octets.AppendUint(b, uint64(r.Key), 8)
	b = octets.AppendUint(b, uint64(r.UpdatedAt), 8)
	for _, c := range r.Copies {
		b = octets.AppendUint(b, uint64(c.Cache), 8)
		b = octets.AppendUint(b, uint64(c.CreatedAt), 8)
	}
	_, _ = w.digest.Write(b) // a hash never returns an error
}

// finish ends the last part, which is empty if no record matches. Every answer thus has at least one part.
func (w *answerWriter) finish() { w.parts = append(w.parts, w.part) }

// answerDigest returns the digest of the answer. It is never 0, which in receivedParts means that nothing was
// received.
func (w *answerWriter) answerDigest() uint32 { return w.digest.Sum32() | 1 }
