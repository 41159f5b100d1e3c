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

// Copy is a cached copy of a part of an object, as seen by a request that it answered.
type Copy struct {
	Class      int
	Object     uint64 // the object's name at its origin
	Part       int
	Group      int
	SizeKB     float64
	FreshUntil Micros
	RequestGap Micros // time between requests, as measured by the router that saw the copy
}

// Key returns a key that identifies the part of the object and its class.
func (c *Copy) Key() uint64 {
	return hash.Combine(c.Object, hash.Combine(uint64(c.Part), uint64(c.Class)))
}

// Refresh is a copy that this router must refresh.
type Refresh struct {
	Copy
	NotBefore, Due Micros
}

// LeaseTable provides the holders of the leases of tasks.
type LeaseTable interface {
	HoldsLease(t lease.Task) bool
	LeaseHolder(t lease.Task) (netip.AddrPort, bool) // false: no holder is known
}

// Executor carries out the decisions of a Manager.
type Executor interface {
	Refresh(t lease.Task, r Refresh)
	Send(to netip.AddrPort, datagram []byte) // datagram is valid only during the call
}

// Class contains the properties of a class of requests that matter for refreshes.
type Class struct {
	FreshTime  Micros // freshness lifetime; 0: copies do not become stale
	Idempotent bool
}

const (
	maxTracked         = 4096 // number of copies
	maxQueued          = 512  // number of reports
	notBeforeShare     = 0.30 // share of the freshness lifetime, before its end, in which a refresh may run
	dueShare           = 0.20 // share of the freshness lifetime, before its end, at which a refresh is due
	sendInterval       = 100 * clock.Millisecond
	datagramBurst      = 20.0
	datagramsPerSecond = 20.0
	// sameCopyTolerance is the greatest difference of the freshness ends of two reports of the same copy.
	sameCopyTolerance = 100 * clock.Millisecond
)

// Stats counts events since the start.
type Stats struct {
	Observed      uint64 // copies seen by this router's requests that are worth a refresh
	Sent          uint64 // copies reported to a lease holder
	Received      uint64 // copies reported to this router
	DatagramsSent uint64
	Dropped       uint64 // copies not reported because the queue was full
	Refreshes     uint64
	Unreadable    uint64 // unreadable datagrams
	Ignored       uint64 // copies that can't be refreshed, or are already stale
}

// trackedCopy is a copy that was reported or will be refreshed.
type trackedCopy struct {
	Copy
	handledUntil Micros // end of the last freshness lifetime that was handled
}

// queuedCopy is a copy waiting to be reported.
type queuedCopy struct {
	holder netip.AddrPort
	Copy
}

// Manager tracks copies for one router. It is not safe for concurrent use.
type Manager struct {
	now      Micros
	executor Executor
	holder   LeaseTable
	classes  []Class
	copies   *lru.Map[trackedCopy]
	queue    []queuedCopy
	lastSend Micros
	limiter  ratelimit.Limiter // of sent datagrams
	stats    Stats
	buffer   [MaxDatagram + maxCopyBytes]byte
}

// New returns a Manager.
func New(now Micros, classes []Class, holder LeaseTable, executor Executor) *Manager {
	return &Manager{
		now:      now,
		executor: executor,
		holder:   holder,
		classes:  classes,
		copies:   lru.New[trackedCopy](maxTracked),
		lastSend: now,
		limiter:  ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
}

// ObserveCopy records a copy that answered a request of this router and is worth a refresh.
func (m *Manager) ObserveCopy(now Micros, c Copy) {
	m.now = max(m.now, now)
	m.stats.Observed++
	m.handleCopy(c, true)
}

// handleCopy handles a copy once per freshness lifetime. It reports a copy seen by this router (own) to the holder
// of its lease. It drops a copy that a peer reported although another router holds the lease: the peer will learn
// the holder.
func (m *Manager) handleCopy(c Copy, own bool) {
	t, ok := m.task(&c)
	if !ok || c.FreshUntil <= m.now {
		m.stats.Ignored++
		return
	}
	tracked, made := m.copies.GetOrAdd(c.Key())
	if !made && c.FreshUntil < tracked.handledUntil+sameCopyTolerance {
		return // already handled, or an older copy
	}
	tracked.Copy = c
	if m.holder.HoldsLease(t) {
		tracked.handledUntil = c.FreshUntil
		m.scheduleRefresh(t, &tracked.Copy)
		return
	}
	holder, held := m.holder.LeaseHolder(t)
	if !own || !held {
		return
	}
	tracked.handledUntil = c.FreshUntil
	if len(m.queue) >= maxQueued {
		m.stats.Dropped++
		return
	}
	m.queue = append(m.queue, queuedCopy{holder, c})
}

// task returns the task of refreshing a copy. Only copies that become stale and whose requests are idempotent have
// one.
func (m *Manager) task(c *Copy) (lease.Task, bool) {
	if c.Class < 0 || c.Class >= len(m.classes) || m.classes[c.Class].FreshTime <= 0 {
		return lease.Task{}, false
	}
	t, err := lease.NewTask(lease.Refresh, c.Key(), m.classes[c.Class].Idempotent)
	return t, err == nil
}

func (m *Manager) scheduleRefresh(t lease.Task, c *Copy) {
	freshTime := float64(m.classes[c.Class].FreshTime)
	m.stats.Refreshes++
	m.executor.Refresh(t, Refresh{
		Copy:      *c,
		NotBefore: c.FreshUntil - Micros(notBeforeShare*freshTime),
		Due:       c.FreshUntil - Micros(dueShare*freshTime),
	})
}

// Lookup returns the tracked copy with a key.
func (m *Manager) Lookup(key uint64) (Copy, bool) {
	if tracked := m.copies.Peek(key); tracked != nil {
		return tracked.Copy, true
	}
	return Copy{}, false
}

// LeaseAcquired schedules the refreshes of the tracked copies whose tasks belong to an acquired lease, for which
// covers returns true.
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
