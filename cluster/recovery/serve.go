package recovery

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

const (
	minDeferral = 20 * clock.Millisecond
	maxDeferral = 2 * clock.Second
	// deferralCost is the number of pages that a deferred request counts for. It is less than one because not all
	// deferred requests are repeated.
	deferralCost = 0.5
	sliceSalt    = 0x736c696365 // distinguishes slices from other hashes of keys
)

// serve answers a request with records, or defers it.
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

// fillPage adds the records of a slice to a page until it is full, skipping those already fetched.
func (m *Manager) fillPage(w *pageWriter, r request) {
	each := m.store.Hottest
	if r.slices == 0 {
		each = m.store.HottestReported
	}
	seen := 0
	each(func(x *directory.Record) bool {
		if x.RequestGap >= directory.UnknownGap || !r.includes(x) {
			return true
		}
		seen++
		return seen <= r.skip || w.add(m.now, x)
	})
}

// includes reports whether a record belongs to the requested slice.
func (r request) includes(x *directory.Record) bool {
	if r.slices == 0 {
		return true
	}
	return int(hash.Combine(uint64(x.Key), sliceSalt)%uint64(r.slices)) == r.slice
}

// deferRequest replies with the time after which to ask again, when the previously deferred requests will have been
// served.
func (m *Manager) deferRequest(to netip.AddrPort, number uint32) {
	if m.pageTokens > -m.bounds.PagesPerSecond*maxDeferral.Seconds() {
		m.pageTokens -= deferralCost
	}
	m.stats.Deferred++
	const shortest, longest = float64(minDeferral / clock.Millisecond), float64(maxDeferral / clock.Millisecond)
	ms := -m.pageTokens/m.bounds.PagesPerSecond*1000 + shortest
	d := deferral{number: number, wait: Micros(min(max(ms, shortest), longest)) * clock.Millisecond}
	m.output.Send(to, d.append(m.buf[:0]))
}
