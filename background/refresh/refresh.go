package refresh

import (
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/lru"
	"threadrun/internal/ratelimit"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Copy is a cached copy of a part of an object, as a request that it answered showed it.
type Copy struct {
	Class      int
	Object     uint64 // the name that its origin knows it by
	Part       int
	Group      int
	SizeKB     float64
	FreshUntil Micros
	RequestGap Micros // between requests, as the router that saw it has it
}

// Key identifies what it is a copy of.
func (c *Copy) Key() uint64 {
	return hash.Combine(c.Object, hash.Combine(uint64(c.Part), uint64(c.Class)))
}

// Refresh is a copy that this router is to refresh.
type Refresh struct {
	Copy
	NotBefore, Due Micros
}

// LeaseHolder reports who holds the lease of a task.
type LeaseHolder interface {
	Mine(t lease.Task) bool
	Where(t lease.Task) (netip.AddrPort, bool) // false: nobody is known to hold it
}

// Executor carries out what the Manager decides.
type Executor interface {
	Refresh(t lease.Task, r Refresh)
	Send(to netip.AddrPort, datagram []byte) // datagram is valid within the call only
}

// Class is what matters of a class of requests.
type Class struct {
	FreshTime  Micros // 0: its copies do not age
	Idempotent bool
}

const (
	maxTracked         = 4096 // copies
	maxQueued          = 512  // reports
	notBeforeShare     = 0.30 // of the fresh time, before its end
	dueShare           = 0.20 // of the fresh time, before its end
	sendInterval       = 100 * clock.Millisecond
	datagramBurst      = 20.0
	datagramsPerSecond = 20.0
	sameCopyTolerance  = 100 * clock.Millisecond // ends of fresh time that differ by less are the same copy's
)

// Stats counts what has happened since the start.
type Stats struct {
	Observed      uint64 // copies of own requests that are worth a refresh
	Sent          uint64 // copies reported to a lease holder
	Received      uint64 // copies reported to this router
	DatagramsSent uint64
	Dropped       uint64 // copies not reported, as the queue was full
	Refreshes     uint64
	Unreadable    uint64 // datagrams
	Ignored       uint64 // copies that can't be refreshed, or are past their fresh time
}

// trackedCopy is a copy that was reported or is to be refreshed.
type trackedCopy struct {
	Copy
	handledUntil Micros // the end of the fresh time that was dealt with last
}

// queuedCopy is a copy that waits to be reported.
type queuedCopy struct {
	holder netip.AddrPort
	Copy
}

// Manager is one router's part. It is not safe for concurrent use.
type Manager struct {
	now      Micros
	executor Executor
	holder   LeaseHolder
	classes  []Class
	copies   *lru.Map[trackedCopy]
	queue    []queuedCopy
	lastSend Micros
	limiter  ratelimit.Limiter // of datagrams
	stats    Stats
	buffer   [MaxDatagram + maxCopyBytes]byte
}

// New makes a Manager.
func New(now Micros, classes []Class, holder LeaseHolder, executor Executor) *Manager {
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

// ObserveCopy reports a copy that answered a request of this router and is worth a fill.
func (m *Manager) ObserveCopy(now Micros, c Copy) {
	m.now = max(m.now, now)
	m.stats.Observed++
	m.handleCopy(c, true)
}

// handleCopy deals with a copy, once for each of its fresh times. A copy that own requests showed is reported to the
// holder of its lease. One that a peer reported by mistake is dropped: the peer will learn who holds the lease.
func (m *Manager) handleCopy(c Copy, own bool) {
	t, ok := m.task(&c)
	if !ok || c.FreshUntil <= m.now {
		m.stats.Ignored++
		return
	}
	tracked, made := m.copies.GetOrAdd(c.Key())
	if !made && c.FreshUntil < tracked.handledUntil+sameCopyTolerance {
		return // dealt with, or an older copy
	}
	tracked.Copy = c
	if m.holder.Mine(t) {
		tracked.handledUntil = c.FreshUntil
		m.scheduleRefresh(t, &tracked.Copy)
		return
	}
	holder, held := m.holder.Where(t)
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

// task makes a copy a task under a lease: only a copy whose request is idempotent, and that ages, can be one.
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

// Lookup returns a tracked copy by its key.
func (m *Manager) Lookup(key uint64) (Copy, bool) {
	if tracked := m.copies.Peek(key); tracked != nil {
		return tracked.Copy, true
	}
	return Copy{}, false
}

// LeaseAcquired says that the tasks that a test names are this router's from now on: the copies that it tracks of
// them are its to refresh.
func (m *Manager) LeaseAcquired(now Micros, covers func(lease.Task) bool) {
	m.now = max(m.now, now)
	m.copies.Each(func(tracked *trackedCopy) {
		t, ok := m.task(&tracked.Copy)
		if ok && tracked.FreshUntil > m.now && covers(t) {
			m.scheduleRefresh(t, &tracked.Copy)
		}
	})
}

// Stats counts what has happened since the start.
func (m *Manager) Stats() Stats { return m.stats }
