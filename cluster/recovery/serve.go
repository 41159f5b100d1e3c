package recovery

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

const (
	minDeferral = 20 * clock.Millisecond // shortest time after which a deferred request may be repeated
	maxDeferral = 2 * clock.Second       // longest time after which a deferred request may be repeated
	// deferralCost is the number of pages that are reserved for a deferred request. It is less than one because not
	// all deferred requests are repeated.
	deferralCost = 0.5
	// sliceSalt makes the division of keys into slices independent of other hashes of keys. All routers must use the
	// same value.
	sliceSalt = 0x736c696365
)

// serve answers a request with a page of records, or defers it if no more pages may be sent now. A router that has
// no records, or may not serve them in its current state, answers with an empty page.
func (m *Manager) serve(to netip.AddrPort, r request) {
	if m.pageTokens < 1 {
		m.deferRequest(to, r.number)
		return
	}
	m.pageTokens--
	m.stats.PagesServed++
	total := 0
	if m.Permissions().ServeRecords {
		total = m.store.Len()
	}
	w := newPageWriter(m.buf[:0], r.number, total)
	if total > 0 {
		m.fillPage(w, r)
	}
	m.output.Send(to, w.b)
}

// fillPage adds the records of a slice to a page, most requested first, until the page is full. It skips as many
// records as the requesting router has already fetched. The order may change between pages, so that a record may be
// sent twice or not at all. Records with an unknown request gap are not sent.
func (m *Manager) fillPage(w *pageWriter, r request) {
	each := m.store.Hottest
	if r.sliceCount == 0 {
		each = m.store.HottestReported
	}
	matching := 0
	each(func(x *directory.Record) bool {
		if x.RequestGap >= directory.UnknownGap || !r.includes(x) {
			return true
		}
		matching++
		return matching <= r.fetched || w.add(m.now, x)
	})
}

// includes reports whether a record belongs to the requested slice. In a request for the records stored for others,
// all records do.
func (r request) includes(x *directory.Record) bool {
	if r.sliceCount == 0 {
		return true
	}
	return int(hash.Combine(uint64(x.Key), sliceSalt)%uint64(r.sliceCount)) == r.slice
}

// deferRequest asks the requester to repeat its request after a wait, in which the pages reserved for the previously
// deferred requests can be sent. Reservations are limited to what can be sent within maxDeferral.
func (m *Manager) deferRequest(to netip.AddrPort, number uint32) {
	if m.pageTokens > -m.bounds.PagesPerSecond*maxDeferral.Seconds() {
		m.pageTokens -= deferralCost
	}
	m.stats.Deferred++
	const shortestMS, longestMS = float64(minDeferral / clock.Millisecond), float64(maxDeferral / clock.Millisecond)
	waitMS := -m.pageTokens/m.bounds.PagesPerSecond*1000 + shortestMS
	d := deferral{number: number, wait: Micros(min(max(waitMS, shortestMS), longestMS)) * clock.Millisecond}
	m.output.Send(to, d.append(m.buf[:0]))
}
