package summary

import (
	"github.com/bits-and-blooms/bloom/v3"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

const (
	// MinLease is the minimum length of a lease, for which a reader uses a summary.
	MinLease = 30 * clock.Second
	// MaxLease is the maximum length of a lease. A reader of many owners requests each summary rarely and needs long
	// leases; an owner publishes new records only when they have expired.
	MaxLease = 300 * clock.Second

	renewalFraction = 2                       // a summary is requested again when 1/renewalFraction of its lease is left
	requestInterval = 100 * clock.Millisecond // minimum time between two requests to one owner
)

// Reader maintains the summaries of other owners. It is not safe for concurrent use.
type Reader struct {
	now        Micros // latest time passed by the caller; never goes back
	lastNumber uint32 // number of the last request, to any owner
	owners     map[shardmap.Owner]*ownerState
}

// ownerState is a reader's state of one owner's summary.
type ownerState struct {
	current     *Summary         // nil: none; it may have expired
	validUntil  Micros           // end of the lease of current
	lease       Micros           // length of the lease of current
	assembly    *assembly        // nil: no summary is being received
	requestedAt Micros           // time of the last request; 0: none
	requests    map[uint32]lease // leases of the requests that are not answered yet, or may be answered again
}

// lease limits the use of the answers to a request. It starts when the request is sent.
type lease struct{ end, length Micros }

// assembly is a summary whose pieces are being received.
type assembly struct {
	summary        *Summary
	words          []uint64 // words of the filter
	filterBits     uint     // size of the filter
	hashes         uint     // number of hash functions of the filter
	receivedPieces uint64   // bit set of the received pieces
	pieceCount     int
	lease          lease // earliest end and smallest length of the leases of the answered requests
}

// NewReader returns the Reader of a router, without summaries.
func NewReader(self shardmap.Owner) *Reader {
	return &Reader{
		owners:     map[shardmap.Owner]*ownerState{},
		lastNumber: membership.FirstNumber(self.ID, self.Incarnation),
	}
}

// MayMatch reports whether an owner could hold a record that matches a query, under the map m. It returns true if
// there is no valid summary of this incarnation of the owner under m.
func (r *Reader) MayMatch(now Micros, owner shardmap.Owner, m shardmap.Digest, q *Query) bool {
	o := r.owners[owner]
	if o == nil || o.current == nil || now >= o.validUntil || o.current.Map != m {
		return true
	}
	return o.current.MayMatch(q)
}

// Tick requests the next missing piece of an owner's summary if one is due, and passes the request to send. The
// lease has the given length, limited to MinLease and MaxLease and rounded down to whole seconds as in the encoded
// request.
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

// due reports whether a piece must be requested: a summary is being received, or less than 1/renewalFraction of
// the lease of the current one is left. Requests to one owner are at least requestInterval apart.
func (o *ownerState) due(now Micros) bool {
	fresh := o.current != nil && now < o.validUntil-o.lease/renewalFraction
	if fresh && o.assembly == nil {
		return false
	}
	return now-o.requestedAt >= requestInterval || o.requestedAt <= 0
}

// nextPiece returns the index of the first missing piece, or 0 if no summary is being received.
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

// deleteExpiredRequests deletes the requests whose leases have expired.
func (o *ownerState) deleteExpiredRequests(now Micros) {
	for number, l := range o.requests {
		if now > l.end {
			delete(o.requests, number)
		}
	}
}

// Receive handles a piece of an owner's summary. The summary becomes current when its last piece has been
// received. Receive ignores a piece of an older version, and a piece that answers no request with an unexpired
// lease. The error is ErrUnreadable.
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

// isSuperseded reports whether a version newer than s is current or being received.
func (o *ownerState) isSuperseded(s *Summary) bool {
	if o.assembly != nil && s.Version < o.assembly.summary.Version {
		return true
	}
	return o.current != nil && s.Version < o.current.Version
}

// newAssembly returns the assembly of the summary to which a piece belongs, without any piece.
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

// accepts reports whether a piece belongs to the summary that is being assembled.
func (a *assembly) accepts(p *piece) bool {
	s := a.summary
	return s.Version == p.summary.Version && s.Map == p.summary.Map && a.pieceCount == p.count
}

// add adds a piece, and reports whether all pieces are present. Since the assembled summary depends on all pieces,
// it is valid only until the first of their leases ends.
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

// buildSummary returns the assembled summary. All pieces must be present.
func (a *assembly) buildSummary() *Summary {
	a.summary.filter = bloom.FromWithM(a.words, a.filterBits, a.hashes)
	return a.summary
}
