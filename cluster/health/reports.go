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

// CacheID identifies a cache: a hash of its name, which is the same at every router.
type CacheID uint64

// Report is the result of a health check.
type Report struct {
	Cache      CacheID
	Healthy    bool
	Latency    Micros // time until the cache answered
	ObservedAt Micros // time of the result on this router's clock
}

// Output receives the results of Reports. Reports calls it only from within its own methods.
type Output interface {
	// Updated handles a report that is newer than the last known one of its cache. own says that this router made
	// the check.
	Updated(r Report, own bool)
	// Send sends a datagram to a peer. b is valid only during the call.
	Send(to netip.AddrPort, b []byte)
	// EachPeer calls f for each other router that shares the caches, in a stable order.
	EachPeer(f func(netip.AddrPort))
}

const (
	maxCaches          = 1024                   // maximum number of reports in the table
	maxAge             = 3 * clock.Second       // maximum age of a report that is stored or sent
	retention          = 60 * clock.Second      // minimum time for which CheckDue uses a report; time between cleanups
	sendInterval       = 50 * clock.Millisecond // minimum time between two rounds of datagrams
	datagramsPerSecond = 20.0                   // rate limit of a router, whatever the number of peers
	burstDatagrams     = 20.0                   // maximum number of datagrams that may be sent at once

	// The number of peers to which a report is sent depends on n, the number of peers, by log(n) = bits.Len(n). The
	// router that made the report sends it to ownFanoutFactor*log(n) of them, and each router that receives a newer
	// report sends it to log(n)-relayFanoutReduction of them.
	ownFanoutFactor      = 3
	relayFanoutReduction = 2
)

// Stats counts events since the start.
type Stats struct {
	OwnChecks  uint64 // checks made by this router
	Received   uint64 // reports in readable datagrams
	Updated    uint64 // reports that were newer than the last known one
	Sent       uint64 // datagrams
	Unreadable uint64 // unreadable datagrams
	TableFull  uint64 // reports dropped because of maxCaches
}

// entry is the newest known report of a cache.
type entry struct {
	Report
	sendsLeft int // number of peers to which the report must still be sent
}

// Reports is one router's table of reports. It is not safe for concurrent use.
type Reports struct {
	now         Micros // latest time passed by the caller; never goes back
	output      Output
	random      random.Source
	entries     []entry // sorted by cache, without duplicates
	lastSend    Micros
	lastCleanup Micros
	tokens      float64          // number of datagrams that may be sent now
	refilledAt  Micros           // when tokens was last refilled
	peers       []netip.AddrPort // reused by send
	stats       Stats
	buf         [MaxPayload + maxReportSize]byte // space for a full datagram and one report that does not fit
}

// New returns the empty table of one router. The seed determines the order in which peers are chosen.
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

// RecordCheck records the result of this router's own health check.
func (r *Reports) RecordCheck(now Micros, x Report) {
	r.now = max(r.now, now)
	r.stats.OwnChecks++
	r.storeNewer(x, true)
}

// find returns the index in entries of a cache, or the index at which to insert it, and whether it is present.
func (r *Reports) find(id CacheID) (int, bool) {
	return slices.BinarySearchFunc(r.entries, id, func(e entry, id CacheID) int { return cmp.Compare(e.Cache, id) })
}

// storeNewer stores a report, schedules it for sending and passes it to Output. It drops a report that is older
// than maxAge, is not newer than the known one, or does not fit into the table.
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

// fanout returns the number of peers to which a new report is sent.
func (r *Reports) fanout(own bool) int {
	peers := 0
	r.output.EachPeer(func(netip.AddrPort) { peers++ })
	if own {
		return min(peers, ownFanoutFactor*bits.Len(uint(peers)))
	}
	return max(bits.Len(uint(peers))-relayFanoutReduction, 0)
}

// CheckDue reports whether a cache should be checked: no router is known to have checked it for at least interval.
// Checks older than the retention time may be forgotten, so interval should not be longer than that.
func (r *Reports) CheckDue(now Micros, id CacheID, interval Micros) bool {
	at, found := r.find(id)
	return !found || now-r.entries[at].ObservedAt >= interval
}

// Tick sends new reports to peers and deletes reports older than the retention time. The caller must call it some
// tens of times per second.
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

// needsSending reports whether a report must still be sent to peers and is young enough for it.
func (r *Reports) needsSending(e entry) bool { return e.sendsLeft > 0 && r.now-e.ObservedAt < maxAge }

// send sends one datagram each to random peers until no report needs sending. A report that does not fit into a
// datagram, or that the rate limit holds back, is sent later.
func (r *Reports) send() {
	r.peers = r.peers[:0]
	r.output.EachPeer(func(p netip.AddrPort) { r.peers = append(r.peers, p) })
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

// Stats returns the counts of events since the start.
func (r *Reports) Stats() Stats { return r.stats }
