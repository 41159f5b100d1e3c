package summary

import (
	"github.com/bits-and-blooms/bloom/v3"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

const (
	// MinLease is the minimum time for which a reader uses a summary.
	MinLease = 30 * clock.Second
	// MaxLease is the maximum time for which a reader uses a summary. A reader of many owners requests each summary
	// rarely.
	MaxLease = 300 * clock.Second

	renewalFraction = 2 // a summary is requested again when 1/renewalFraction of its lease is left
	requestInterval = 100 * clock.Millisecond
)

// Reader maintains the summaries of other owners. It is not safe for concurrent use.
type Reader struct {
	now        Micros
	lastNumber uint32 // number of the last request
	owners     map[shardmap.Owner]*ownerState
}

// ownerState is a reader's state of one owner's summary.
type ownerState struct {
	current     *Summary // nil: none
	validUntil  Micros
	lease       Micros // lease of the current summary
	assembly    *assembly
	requestedAt Micros
	requests    map[uint32]lease // requests that are not answered yet, or may be answered again
}

// lease is how long the answer to a request may be used.
type lease struct{ end, length Micros }

// assembly is a summary whose pieces are being received.
type assembly struct {
	summary        *Summary
	words          []uint64
	filterBits     uint
	hashes         uint
	receivedPieces uint64 // bit set of the received pieces
	pieceCount     int
	lease          lease // of the answered requests, the lease that ends first
}

// NewReader returns a Reader without summaries.
func NewReader() *Reader { return &Reader{owners: map[shardmap.Owner]*ownerState{}} }

// MayMatch reports whether an owner could hold a record that matches a query, under the map m. It returns true if
// there is no valid summary.
func (r *Reader) MayMatch(now Micros, owner shardmap.Owner, m shardmap.Digest, q *Query) bool {
	o := r.owners[owner]
	if o == nil || o.current == nil || now >= o.validUntil || o.current.Map != m {
		return true
	}
	return o.current.MayMatch(q)
}

// Tick requests a piece of an owner's summary under a lease of the given length if one is due. It passes the
// request to send.
func (r *Reader) Tick(now Micros, owner shardmap.Owner, length Micros, send func(b []byte)) {
	r.now = max(r.now, now)
	length = min(max(length, MinLease), MaxLease) / clock.Second * clock.Second
	o := r.owners[owner]
	if o == nil {
		o = &ownerState{requests: map[uint32]lease{}}
		r.owners[owner] = o
	}
	if !o.due(r.now) {
		return
	}
	o.requestedAt = r.now
	o.deleteExpiredRequests(r.now)
	r.lastNumber++
	o.requests[r.lastNumber] = lease{end: r.now + length, length: length}
	x := request{number: r.lastNumber, piece: o.nextPiece(), lease: length}
	send(x.append(nil))
}

// due reports whether a piece must be requested.
func (o *ownerState) due(now Micros) bool {
	fresh := o.current != nil && now < o.validUntil-o.lease/renewalFraction
	if fresh && o.assembly == nil {
		return false
	}
	return now-o.requestedAt >= requestInterval || o.requestedAt <= 0
}

// nextPiece returns the index of the first missing piece.
func (o *ownerState) nextPiece() int {
	a := o.assembly
	if a == nil {
		return 0
	}
	i := 0
	for i < a.pieceCount-1 && a.receivedPieces>>i&1 == 1 {
		i++
	}
	return i
}

// forgetEnded deletes the requests whose leases have expired.
func (o *ownerState) deleteExpiredRequests(now Micros) {
	for number, l := range o.requests {
		if now > l.end {
			delete(o.requests, number)
		}
	}
}

// Receive handles a piece. It ignores a piece of an older version, and one that answers no request with an
// unexpired lease. The error is ErrUnreadable.
func (r *Reader) Receive(now Micros, b []byte) error {
	r.now = max(r.now, now)
	p, err := readPiece(b)
	if err != nil {
		return err
	}
	o := r.owners[p.summary.Owner]
	if o == nil {
		return nil
	}
	l, requested := o.requests[p.number]
	if !requested || r.now >= l.end || o.isSuperseded(p.summary) {
		return nil
	}
	if o.assembly == nil || !o.assembly.accepts(p) {
		o.assembly = newAssembly(p, l)
	}
	if o.assembly.add(p, l) {
		o.current = o.assembly.buildSummary()
		o.validUntil = o.assembly.lease.end
		o.lease = o.assembly.lease.length
		o.assembly = nil
	}
	return nil
}

// isOld reports whether a newer version is present or being received.
func (o *ownerState) isSuperseded(s *Summary) bool {
	if o.assembly != nil && s.Version < o.assembly.summary.Version {
		return true
	}
	return o.current != nil && s.Version < o.current.Version
}

func newAssembly(p *piece, l lease) *assembly {
	return &assembly{
		summary:    p.summary,
		words:      make([]uint64, (p.filterBits+wordBits-1)/wordBits),
		filterBits: p.filterBits,
		hashes:     p.hashes,
		pieceCount: p.count,
		lease:      l,
	}
}

// continues reports whether a piece belongs to the same summary.
func (a *assembly) accepts(p *piece) bool {
	s := a.summary
	return s.Version == p.summary.Version && s.Map == p.summary.Map && a.pieceCount == p.count
}

// add adds a piece and reports whether all pieces are present. The lease that ends first applies to all of them.
func (a *assembly) add(p *piece, l lease) bool {
	a.lease.end = min(a.lease.end, l.end)
	a.lease.length = min(a.lease.length, l.length)
	for i, w := range p.words {
		if at := p.index*pieceWords + i; at < len(a.words) {
			a.words[at] = w
		}
	}
	a.receivedPieces |= 1 << p.index
	return a.receivedPieces == 1<<a.pieceCount-1
}

func (a *assembly) buildSummary() *Summary {
	a.summary.filter = bloom.FromWithM(a.words, a.filterBits, a.hashes)
	return a.summary
}
