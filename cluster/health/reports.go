package health

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// CacheID names a cache: a hash of its name, the same at every router.
type CacheID uint64

// Report is what a health check has shown.
type Report struct {
	Cache      CacheID
	Healthy    bool
	Latency    Micros // until the cache answered
	ObservedAt Micros
}

// Output takes what comes out. It is called only from within calls of Reports.
type Output interface {
	Updated(r Report, own bool)       // a report that is newer than what was known
	Send(to netip.AddrPort, b []byte) // b is valid within the call only
	Peers(f func(netip.AddrPort))     // calls f for those that share the caches, in a stable order
}

const (
	maxCaches          = 1024
	maxAge             = 3 * clock.Second  // of a report that still says something
	retention          = 60 * clock.Second // of a report, for ProbeDue
	sendInterval       = 50 * clock.Millisecond
	datagramsPerSecond = 20.0
	burstDatagrams     = 20.0 // that may be sent at once after a silence

	// A report goes to a few peers each time it is passed on, by the logarithm of their number n: to
	// ownSpread*log(n) by the router that made it, to log(n)-relayReduction by each that receives it.
	ownSpread      = 3
	relayReduction = 2
)

// Stats counts what has happened since the start.
type Stats struct {
	OwnProbes  uint64
	Received   uint64 // reports
	Updated    uint64 // reports that were newer than what was known
	Sent       uint64 // datagrams
	Unreadable uint64 // datagrams
	TableFull  uint64 // reports that found no space
}

// entry is the last report of a cache.
type entry struct {
	Report
	sends int // peers that it is still to be sent to
}

// Reports is one router's table of reports.
type Reports struct {
	now        Micros
	output     Output
	random     random.Source
	entries    []entry // by cache
	sentAt     Micros
	sweptAt    Micros
	tokens     float64 // datagrams that may be sent now
	refilledAt Micros
	peers      []netip.AddrPort // reused by send
	stats      Stats
	buf        [MaxPayload + maxReportSize]byte
}

// New makes an empty table.
func New(now Micros, seed uint32, output Output) *Reports {
	return &Reports{
		now:        now,
		output:     output,
		random:     random.Source{Seed: seed},
		sentAt:     now,
		sweptAt:    now,
		tokens:     burstDatagrams,
		refilledAt: now,
	}
}

// RecordProbe takes the outcome of an own health check.
func (r *Reports) RecordProbe(now Micros, x Report) {
	r.now = max(r.now, now)
	r.stats.OwnProbes++
	r.update(x, true)
}

// find returns the place of a cache among the entries, and whether it is there.
func (r *Reports) find(id CacheID) (int, bool) {
	return slices.BinarySearchFunc(r.entries, id, func(e entry, id CacheID) int { return cmp.Compare(e.Cache, id) })
}

// update takes a report if it is newer than what is known.
func (r *Reports) update(x Report, own bool) {
	if r.now-x.ObservedAt > maxAge {
		return
	}
	at, found := r.find(x.Cache)
	switch {
	case !found && len(r.entries) >= maxCaches:
		r.stats.TableFull++
		return
	case !found:
		r.entries = slices.Insert(r.entries, at, entry{})
	case x.ObservedAt <= r.entries[at].ObservedAt:
		return
	}
	r.entries[at] = entry{Report: x, sends: r.spread(own)}
	r.stats.Updated++
	r.output.Updated(x, own)
}

// spread is how many peers a report is sent to.
func (r *Reports) spread(own bool) int {
	peers := 0
	r.output.Peers(func(netip.AddrPort) { peers++ })
	if own {
		return min(peers, ownSpread*bits.Len(uint(peers)))
	}
	return max(bits.Len(uint(peers))-relayReduction, 0)
}

// ProbeDue reports whether a cache is to be checked: no check of any router has shown anything of it for so long.
func (r *Reports) ProbeDue(now Micros, id CacheID, interval Micros) bool {
	at, found := r.find(id)
	return !found || now-r.entries[at].ObservedAt >= interval
}

// Tick sends peers what is new, and forgets what is old.
func (r *Reports) Tick(now Micros) {
	r.now = max(r.now, now)
	if r.now-r.sweptAt > retention {
		r.sweptAt = r.now
		r.entries = slices.DeleteFunc(r.entries, func(e entry) bool { return r.now-e.ObservedAt > retention })
	}
	if r.now-r.sentAt < sendInterval {
		return
	}
	r.sentAt = r.now
	if slices.ContainsFunc(r.entries, r.unsent) {
		r.send()
	}
}

// unsent reports whether a report is still to be sent to peers.
func (r *Reports) unsent(e entry) bool { return e.sends > 0 && r.now-e.ObservedAt < maxAge }

// send sends peers in random order what is new, within the budget.
func (r *Reports) send() {
	r.peers = r.peers[:0]
	r.output.Peers(func(p netip.AddrPort) { r.peers = append(r.peers, p) })
	r.random.Shuffle(len(r.peers), func(i, j int) { r.peers[i], r.peers[j] = r.peers[j], r.peers[i] })
	for _, to := range r.peers {
		refill := (r.now - r.refilledAt).Seconds() * datagramsPerSecond
		r.tokens = min(r.tokens+refill, burstDatagrams)
		r.refilledAt = r.now
		if r.tokens < 1 {
			return
		}
		b, count := r.nextDatagram()
		if count == 0 {
			return
		}
		r.tokens--
		r.stats.Sent++
		r.output.Send(to, b)
	}
}

// Stats counts what has happened.
func (r *Reports) Stats() Stats { return r.stats }
