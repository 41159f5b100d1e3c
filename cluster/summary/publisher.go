package summary

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// updateInterval is the minimum time between two versions of an owner's summary under the same map. A new map
// causes a new version at once.
const updateInterval = 10 * clock.Second

// Publisher maintains an owner's summary and the leases of its readers. It is not safe for concurrent use.
type Publisher struct {
	self        shardmap.Owner
	now         Micros                 // latest time passed by the caller; never goes back
	current     *Summary               // nil: none yet
	words       []uint64               // words of the filter of current
	updatedAt   Micros                 // when current was made
	leasedUntil Micros                 // until then, a reader may use current or an earlier version
	entries     map[shardmap.Key]entry // the records of current
}

// entry is a record as the current version describes it.
type entry struct {
	group       directory.Group
	sizeKB      uint32 // size when entered; each version since then allows for half to double this size
	publishedAt Micros // time from which the record is published: no lease on a summary without it remains
}

// NewPublisher returns the Publisher of an owner, without a summary.
func NewPublisher(self shardmap.Owner) *Publisher {
	return &Publisher{self: self, entries: map[shardmap.Key]entry{}}
}

// Update makes a new version if one is due. each iterates over the records that this router owns under the map m;
// the records must not change during the call. A record that is new or does not match its entry is published when
// all leases that exist now have expired.
func (p *Publisher) Update(now Micros, m shardmap.Digest, each func(f func(*directory.Record))) {
	p.now = max(p.now, now)
	if p.current != nil && p.current.Map == m && p.now-p.updatedAt < updateInterval {
		return
	}
	version := uint32(1)
	if p.current != nil {
		version = p.current.Version + 1
	}
	var records []*directory.Record
	each(func(r *directory.Record) { records = append(records, r) })
	next := newSummary(p.self, m, version, len(records))
	entries := make(map[shardmap.Key]entry, len(records))
	for _, r := range records {
		e, known := p.entries[r.Key]
		if !known || !e.matches(r) {
			e = entry{r.Group, r.SizeKB, max(p.leasedUntil, p.now)}
		}
		entries[r.Key] = e
		next.add(r, e.sizeKB)
	}
	p.entries = entries
	p.current = next
	p.updatedAt = p.now
	p.words = next.filter.BitSet().Words()
}

// matches reports whether a record is unchanged since it was entered as far as queries can tell. Sizes may change
// by half to double, so that a growing object is not entered again with each version.
func (e *entry) matches(r *directory.Record) bool {
	return e.group == r.Group && r.SizeKB >= e.sizeKB/2 && r.SizeKB <= double(e.sizeKB)
}

// Published reports whether every reader queries this owner for a record, because no lease on a summary without it
// remains.
func (p *Publisher) Published(now Micros, r *directory.Record) bool {
	e, ok := p.entries[r.Key]
	return ok && e.matches(r) && now >= e.publishedAt
}

// pieceCount returns the number of pieces of the current summary, one per datagram. Even an empty filter takes
// one.
func (p *Publisher) pieceCount() int { return max((len(p.words)+pieceWords-1)/pieceWords, 1) }

// Answer handles a reader's request: it records the reader's lease and passes one piece of the summary to send, which
// may keep the slice. If there is no summary, or it has more than maxPieces, Answer sends none, and the reader assumes
// that this owner could hold everything. The error is ErrUnreadable.
func (p *Publisher) Answer(now Micros, b []byte, send func(b []byte)) error {
	p.now = max(p.now, now)
	r, err := readRequest(b)
	if err != nil {
		return err
	}
	if p.current == nil || p.pieceCount() > maxPieces {
		return nil
	}
	index := r.piece
	if index >= p.pieceCount() { // the reader is assembling an earlier, larger version
		index = 0
	}
	p.leasedUntil = max(p.leasedUntil, p.now+r.lease)
	first := min(index*pieceWords, len(p.words))
	end := min((index+1)*pieceWords, len(p.words))
	x := piece{
		number:     r.number,
		summary:    p.current,
		filterBits: p.current.filter.Cap(),
		hashes:     p.current.filter.K(),
		index:      index,
		count:      p.pieceCount(),
		words:      p.words[first:end],
	}
	send(x.append(make([]byte, 0, MaxPayload)))
	return nil
}
