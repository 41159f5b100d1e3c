package health

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// CacheID identifies a cache: a hash of its name, identical at every router.
type CacheID uint64

// Report is the result of a health check.
type Report struct {
	Cache      CacheID
	Healthy    bool
	Latency    Micros // time until the cache answered
	ObservedAt Micros
}

// Output receives the results of Reports. Reports calls it only from within its own methods.
type Output interface {
	Updated(r Report, own bool)       // handles a report that is newer than the last known one
	Send(to netip.AddrPort, b []byte) // b is valid only during the call
	Peers(f func(netip.AddrPort))     // calls f for each router that shares the caches, in a stable order
}

const (
	maxCaches          = 1024
	maxAge             = 3 * clock.Second  // age at which a report is no longer distributed or used
	retention          = 60 * clock.Second // how long a report is kept for ProbeDue
	sendInterval       = 50 * clock.Millisecond
	datagramsPerSecond = 20.0
	burstDatagrams     = 20.0 // datagrams that may be sent at once after a silence

	// Each report is sent to a number of peers that depends on the logarithm of their number n: to ownSpread*log(n)
	// peers by the router that made it, and to log(n)-relayReduction peers by each router that receives it.
	ownFanoutFactor      = 3
	relayFanoutReduction = 2
)

// Stats counts events since the start.
type Stats struct {
	OwnProbes  uint64
	Received   uint64 // reports
	Updated    uint64 // reports that were newer than the last known one
	Sent       uint64 // datagrams
	Unreadable uint64 // unreadable datagrams
	TableFull  uint64 // reports dropped because the table was full
}

// entry is the latest report of a cache.
type entry struct {
	Report
	sendsLeft int // number of peers to which it must still be sent
}

// Reports is one router's table of reports. It is not safe for concurrent use.
type Reports struct {
	now         Micros
	output      Output
	random      random.Source
	entries     []entry // sorted by cache
	lastSend    Micros
	lastCleanup Micros
	tokens      float64 // datagrams that may be sent now
	refilledAt  Micros
	peers       []netip.AddrPort // reused by send
	stats       Stats
	buf         [MaxPayload + maxReportSize]byte
}

// New returns an empty table.
func New(now Micros, seed uint32, output Output) *Reports {
	return &Reports{
		now:         now,
		output:      output,
		random:      random.Source{Seed: seed},
		lastSend:    now,
		lastCleanup: now,
		tokens:      burstDatagrams,
		refilledAt:  now,
	}
}

// RecordProbe records the result of this router's own health check.
func (r *Reports) RecordProbe(now Micros, x Report) {
	r.now = max(r.now, now)
	r.stats.OwnProbes++
	r.storeNewer(x, true)
}

// find returns the index of a cache in entries, and whether it is present.
func (r *Reports) find(id CacheID) (int, bool) {
	return slices.BinarySearchFunc(r.entries, id, func(e entry, id CacheID) int { return cmp.Compare(e.Cache, id) })
}

// update stores a report if it is newer than the last known one.
func (r *Reports) storeNewer(x Report, own bool) {
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
	r.entries[at] = entry{Report: x, sendsLeft: r.fanout(own)}
	r.stats.Updated++
	r.output.Updated(x, own)
}

// spread returns the number of peers to which a report is sent.
func (r *Reports) fanout(own bool) int {
	peers := 0
	r.output.Peers(func(netip.AddrPort) { peers++ })
	if own {
		return min(peers, ownFanoutFactor*bits.Len(uint(peers)))
	}
	return max(bits.Len(uint(peers))-relayFanoutReduction, 0)
}

// ProbeDue reports whether a cache should be checked: no router has reported a check for at least interval.
func (r *Reports) ProbeDue(now Micros, id CacheID, interval Micros) bool {
	at, found := r.find(id)
	return !found || now-r.entries[at].ObservedAt >= interval
}

// Tick sends new reports to peers and deletes old ones. The caller must call it some tens of times per second.
func (r *Reports) Tick(now Micros) {
	r.now = max(r.now, now)
	if r.now-r.lastCleanup > retention {
		r.lastCleanup = r.now
		r.entries = slices.DeleteFunc(r.entries, func(e entry) bool { return r.now-e.ObservedAt > retention })
	}
	if r.now-r.lastSend < sendInterval {
		return
	}
	r.lastSend = r.now
	if slices.ContainsFunc(r.entries, r.needsSending) {
		r.send()
	}
}

// unsent reports whether a report must still be sent to peers.
func (r *Reports) needsSending(e entry) bool { return e.sendsLeft > 0 && r.now-e.ObservedAt < maxAge }

// send sends new reports to peers in random order, within the rate limit.
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

// Stats returns counts of events since the start.
func (r *Reports) Stats() Stats { return r.stats }
