package summary

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// updateInterval is how often an owner makes a new version.
const updateInterval = 10 * clock.Second

// Publisher is an owner's side.
type Publisher struct {
	self        shardmap.Owner
	now         Micros
	current     *Summary // nil: none yet
	words       []uint64 // of its filter
	madeAt      Micros
	leasedUntil Micros // a reader may go by the current version, or one before it
	entries     map[shardmap.Key]entry
}

// entry is a record as readers may know of it.
type entry struct {
	group  directory.Group
	sizeKB uint32 // when it was entered: all versions since allow for half and double of that
	from   Micros // published from then on: no lease is left on a summary without it
}

// NewPublisher makes the side of an owner.
func NewPublisher(self shardmap.Owner) *Publisher {
	return &Publisher{self: self, entries: map[shardmap.Key]entry{}}
}

// Update makes a new version, if it is time, of the records that each gives: those that this router owns under a map.
func (p *Publisher) Update(now Micros, m shardmap.Digest, each func(f func(*directory.Record))) {
	p.now = max(p.now, now)
	if p.current != nil && p.current.Map == m && p.now-p.madeAt < updateInterval {
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
	p.madeAt = p.now
	p.words = next.filter.BitSet().Words()
}

// matches reports whether a record is as it was when it was entered, as far as a query could tell.
func (e *entry) matches(r *directory.Record) bool {
	return e.group == r.Group && r.SizeKB >= e.sizeKB/2 && r.SizeKB <= double(e.sizeKB)
}

// Published reports whether every reader asks for a record: no lease is left on a summary without it, as it is now.
func (p *Publisher) Published(now Micros, r *directory.Record) bool {
	e, ok := p.entries[r.Key]
	return ok && e.matches(r) && now >= e.from
}

// pieces is how many datagrams the current summary takes.
func (p *Publisher) pieces() int { return max((len(p.words)+pieceWords-1)/pieceWords, 1) }

// Answer answers a reader's request with a piece of the summary, and notes the reader's lease. Send is given
// the answer; without a summary that can be sent there is none, and the reader takes this owner for one that
// could hold everything. The error is ErrUnreadable.
func (p *Publisher) Answer(now Micros, b []byte, send func(b []byte)) error {
	p.now = max(p.now, now)
	r, err := readRequest(b)
	if err != nil {
		return err
	}
	if p.current == nil || p.pieces() > maxPieces {
		return nil
	}
	index := r.piece
	if index >= p.pieces() {
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
		count:      p.pieces(),
		words:      p.words[first:end],
	}
	send(x.append(make([]byte, 0, MaxPayload)))
	return nil
}
