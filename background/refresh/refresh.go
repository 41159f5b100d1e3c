package refresh

import (
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/lru"
	"threadrun/internal/ratelimit"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Copy is a cached copy of a part of an object, as observed in the answer to a request.
type Copy struct {
	Class      int    // index into the list of classes passed to New
	Object     uint64 // ID of the object, the same at all routers
	Part       int
	Group      int
	SizeKB     float64
	FreshUntil Micros // end of the copy's freshness lifetime, on this router's clock
	RequestGap Micros // time between requests, as measured by the router that observed the copy
}

// Key returns the hash of the copy's object, part and class. It is the key of the copy's refresh task. Group, size
// and times do not affect it, so that a refreshed copy has the key of the copy that it replaces.
func (c *Copy) Key() uint64 {
	return hash.Combine(c.Object, hash.Combine(uint64(c.Part), uint64(c.Class)))
}

// Refresh is a copy that this router must refresh, with the times between which it should do so.
type Refresh struct {
	Copy
	NotBefore Micros // earliest start of the refresh
	Due       Micros // when it should run at the latest; from then on, caches revalidate the copy themselves
}

// LeaseTable says which router runs a task: the one that holds the task's lease.
type LeaseTable interface {
	// MayRun reports whether this router may run a task now: it holds the task's lease and is in contact with the
	// other routers.
	MayRun(t lease.Task) bool
	// LeaseHolder returns the address of the other router that holds the lease of a task, or false if none is known.
	LeaseHolder(t lease.Task) (netip.AddrPort, bool)
}

// Executor carries out the decisions of a Manager. The Manager calls it only from within its own methods.
type Executor interface {
	// Refresh schedules a refresh. The Manager may pass the same task again, with a later copy or when a lease is
	// acquired.
	Refresh(t lease.Task, r Refresh)
	// Send sends a datagram to a peer. The datagram is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
}

// Class contains the properties of a class of requests that decide whether and when its copies are refreshed.
type Class struct {
	FreshnessLifetime Micros // 0: copies do not become stale
	Idempotent        bool   // false: copies are not refreshed, because a refresh might be executed twice
}

const (
	maxTracked         = 4096                    // number of copies; the least recently used one is dropped
	maxQueued          = 512                     // number of reports waiting to be sent; further ones are dropped
	notBeforeShare     = 0.30                    // a refresh may start when this share of the freshness lifetime remains
	dueShare           = 0.20                    // a refresh is due before this share of the freshness lifetime remains
	sendInterval       = 100 * clock.Millisecond // minimum time between two rounds of sending
	datagramBurst      = 20.0                    // number of datagrams that may be sent at once after a silence
	datagramsPerSecond = 20.0
	// sameCopyTolerance is the maximum difference between the ends of the freshness lifetime in two observations of
	// the same copy. Reports carry rounded remaining times and take time to arrive, so the ends are not exact.
	sameCopyTolerance = 100 * clock.Millisecond
)

// Stats counts events since the start.
type Stats struct {
	Observed      uint64 // copies seen by this router's requests that are worth a refresh
	Sent          uint64 // copies reported to lease holders
	Received      uint64 // copies reported by peers
	DatagramsSent uint64
	Dropped       uint64 // copies not reported because the queue was full
	Refreshes     uint64 // refreshes passed to the Executor
	Unreadable    uint64 // unreadable datagrams
	Ignored       uint64 // copies of classes without refreshes, and copies that were already stale
}

// trackedCopy is the latest observed copy of a part of an object.
type trackedCopy struct {
	Copy
	// handledUntil is the end of the last freshness lifetime in which the copy was reported or scheduled for a
	// refresh; 0: not yet. Later observations of the same copy are ignored.
	handledUntil Micros
}

// queuedCopy is a copy waiting to be reported.
type queuedCopy struct {
	holder netip.AddrPort // the lease holder when the copy was queued
	Copy
}

// Manager tracks copies for one router. It is not safe for concurrent use.
type Manager struct {
	now        Micros // latest time passed by the caller; never goes back
	executor   Executor
	leases     LeaseTable
	classes    []Class
	copies     *lru.Map[trackedCopy] // by Copy.Key
	queue      []queuedCopy          // oldest first
	lastSentAt Micros                // when reports were last sent
	limiter    ratelimit.Limiter     // of sent datagrams
	stats      Stats
	buffer     [MaxPayload + maxCopyBytes]byte // the datagram under construction and a copy that does not fit
}

// New returns a Manager that tracks no copies. Copy.Class is an index into classes.
func New(now Micros, classes []Class, leases LeaseTable, executor Executor) *Manager {
	return &Manager{
		now:        now,
		executor:   executor,
		leases:     leases,
		classes:    classes,
		copies:     lru.New[trackedCopy](maxTracked),
		lastSentAt: now,
		limiter:    ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
}

// ObserveCopy records a copy that answered a request of this router and is worth a refresh.
func (m *Manager) ObserveCopy(now Micros, c Copy) {
	m.now = max(m.now, now)
	m.stats.Observed++
	m.handleCopy(c, true)
}

// handleCopy handles a copy once per freshness lifetime. It schedules a refresh if this router holds the lease.
// Otherwise it queues a report to the holder, but only of a copy that this router has observed itself: a peer's
// report is not forwarded, because the peer will learn the holder. A copy whose lease has no known holder counts as
// not handled, so that its next observation tries again.
func (m *Manager) handleCopy(c Copy, observedHere bool) {
	t, ok := m.task(&c)
	if !ok || c.FreshUntil <= m.now {
		m.stats.Ignored++
		return
	}
	tracked, added := m.copies.GetOrAdd(c.Key())
	if !added && c.FreshUntil < tracked.handledUntil+sameCopyTolerance {
		return // this copy or a later one was already handled
	}
	tracked.Copy = c
	if m.leases.MayRun(t) {
		tracked.handledUntil = c.FreshUntil
		m.scheduleRefresh(t, &tracked.Copy)
		return
	}
	holder, held := m.leases.LeaseHolder(t)
	if !observedHere || !held {
		return
	}
	tracked.handledUntil = c.FreshUntil
	if len(m.queue) >= maxQueued {
		m.stats.Dropped++
		return
	}
	m.queue = append(m.queue, queuedCopy{holder, c})
}

// task returns the task of refreshing a copy, or false if copies of its class are not refreshed: they do not become
// stale, their requests are not idempotent, or the class is unknown.
func (m *Manager) task(c *Copy) (lease.Task, bool) {
	if c.Class < 0 || c.Class >= len(m.classes) || m.classes[c.Class].FreshnessLifetime <= 0 {
		return lease.Task{}, false
	}
	t, err := lease.NewTask(lease.Refresh, c.Key(), m.classes[c.Class].Idempotent)
	return t, err == nil
}

// scheduleRefresh passes a refresh to the Executor, with times derived from the end of the copy's freshness
// lifetime.
func (m *Manager) scheduleRefresh(t lease.Task, c *Copy) {
	lifetime := float64(m.classes[c.Class].FreshnessLifetime)
	m.stats.Refreshes++
	m.executor.Refresh(t, Refresh{
		Copy:      *c,
		NotBefore: c.FreshUntil - Micros(notBeforeShare*lifetime),
		Due:       c.FreshUntil - Micros(dueShare*lifetime),
	})
}

// Lookup returns the tracked copy with a key, or false. It does not count as a use of the copy, which would delay
// its removal from the tracked copies.
func (m *Manager) Lookup(key uint64) (Copy, bool) {
	if tracked := m.copies.Peek(key); tracked != nil {
		return tracked.Copy, true
	}
	return Copy{}, false
}

// LeaseAcquired schedules the refreshes of the tracked copies that are still fresh and whose tasks belong to an
// acquired lease, which means that covers returns true for them. The previous holder, to which these copies were
// reported, may not have refreshed them.
func (m *Manager) LeaseAcquired(now Micros, covers func(lease.Task) bool) {
	m.now = max(m.now, now)
	m.copies.Each(func(tracked *trackedCopy) {
		t, ok := m.task(&tracked.Copy)
		if ok && tracked.FreshUntil > m.now && covers(t) {
			m.scheduleRefresh(t, &tracked.Copy)
		}
	})
}

// Stats returns counts of events since the start.
func (m *Manager) Stats() Stats { return m.stats }
