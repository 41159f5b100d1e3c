// Package ageing keeps which copies are to be renewed before they are past their fresh time. Each router hears from its
// own visits how old the copies are that answer them, and passes what is worth renewing on to the router that holds that
// duty. Free of I/O: time, copies and datagrams go in, datagrams and renewals come out.
//
// How it is called: Saw tells of a copy that answered a visit and is worth a fill. Hear takes a datagram of a peer, Took
// tells that a duty is this router's from now on, Tick sends what waits. Results go to the Desk within that call.
//
// How it is decided: a copy is told once for each of its lives, to its duty's holder alone; its renewal is due before the
// last fifth of its fresh time, where caches begin to renew by themselves behind visits.
package refresh

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/lru"
	"threadrun/internal/octets"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Copy is a kept copy of a part of an object, as a visit that it answered showed it.
type Copy struct {
	Class      int
	Object     uint64 // the name that its origin knows it by
	Part       int
	Group      int
	SizeKB     float64
	FreshUntil Micros // the end of its fresh time
	RequestGap Micros // between visits, as who saw it has it
}

// Key names the thing that it is a copy of.
func (c *Copy) Key() uint64 {
	return hash.Combine(c.Object, hash.Combine(uint64(c.Part), uint64(c.Class)))
}

// Refresh is a copy that this router is to renew.
type Refresh struct {
	Copy
	NotBefore, Due Micros
}

// LeaseHolder tells whose duty a piece of work is.
type LeaseHolder interface {
	Mine(w lease.Task) bool
	Where(w lease.Task) (netip.AddrPort, bool) // false: nobody is known to hold it
}

// Executor takes what comes out.
type Executor interface {
	Refresh(w lease.Task, r Refresh)
	Send(to netip.AddrPort, b []byte) // b is good within the call only
}

// Class is what counts of one.
type Class struct {
	FreshTime  Micros // 0: its copies do not age
	Idempotent bool
}

const (
	maxTracked         = 4096 // copies known
	maxQueued          = 512  // that wait to be told
	notBeforeShare     = 0.30 // of the fresh time before its end
	dueShare           = 0.20
	sameCopyTolerance  = 100 * clock.Millisecond // an end of fresh time that differs by less is the same copy's
	sendInterval       = 100 * clock.Millisecond
	datagramsPerSecond = 20.0 // datagrams
	datagramBurst      = 20.0
	maxCopyBytes       = 8 + 3 + 5 + 2 + 5 + 5 + 5
	maxNumber          = 1 << 32
	maxRequestGap      = 3600 * clock.Second
)

// MaxDatagram is the most that a datagram of this package takes.
const MaxDatagram = 208

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("ageing: unreadable datagram")

// Stats counts what has happened since the start.
type Stats struct {
	Observed, Sent, Received uint64 // copies: of own visits worth renewing, told to a holder, heard as a holder
	DatagramsSent            uint64 // datagrams
	Dropped                  uint64 // copies not told for want of room or datagrams
	Refreshes                uint64
	Unreadable, Ignored      uint64
}

// trackedCopy is a copy that was told of or is to be renewed.
type trackedCopy struct {
	Copy
	handledUntil Micros // the end of the fresh time that was dealt with last
}

// Manager is one router's part of it.
type Manager struct {
	now        Micros
	executor   Executor
	holder     LeaseHolder
	classes    []Class
	copies     *lru.Map[trackedCopy]
	queue      []queuedCopy
	lastSend   Micros
	tokens     float64
	lastRefill Micros
	stats      Stats
	buffer     [MaxDatagram + maxCopyBytes]byte
}

// queuedCopy is a copy that waits to be told.
type queuedCopy struct {
	holder netip.AddrPort
	Copy
}

// New makes it.
func New(now Micros, cases []Class, holder LeaseHolder, desk Executor) *Manager {
	return &Manager{now: now, executor: desk, holder: holder, classes: cases, copies: lru.New[trackedCopy](maxTracked), lastSend: now,
		tokens: datagramBurst, lastRefill: now}
}

// task lets a copy in as a piece of shared work: only what may be fetched twice without harm.
func (m *Manager) task(c *Copy) (lease.Task, bool) {
	if c.Class < 0 || c.Class >= len(m.classes) || m.classes[c.Class].FreshTime <= 0 {
		return lease.Task{}, false
	}
	w, err := lease.NewTask(lease.Refresh, c.Key(), m.classes[c.Class].Idempotent)
	return w, err == nil
}

// ObserveCopy tells of a copy that answered a visit and is worth a fill.
func (m *Manager) ObserveCopy(now Micros, c Copy) {
	m.now = max(m.now, now)
	m.stats.Observed++
	m.handleCopy(c, true)
}

// handleCopy deals with a copy, once in each of its lives. Own are those of this router's visits: one that is another's to renew
// is told to that one; one that was told to us and is not ours is dropped, for its teller will hear who holds it.
func (m *Manager) handleCopy(c Copy, own bool) {
	w, ok := m.task(&c)
	if !ok || c.FreshUntil <= m.now {
		m.stats.Ignored++
		return
	}
	k, made := m.copies.GetOrAdd(c.Key())
	if !made && c.FreshUntil < k.handledUntil+sameCopyTolerance {
		return // dealt with, or an older copy
	}
	k.Copy = c
	switch at, held := m.holder.Where(w); {
	case m.holder.Mine(w):
		k.handledUntil = c.FreshUntil
		m.scheduleRefresh(w, &k.Copy)
	case own && held:
		k.handledUntil = c.FreshUntil
		if len(m.queue) >= maxQueued {
			m.stats.Dropped++
			return
		}
		m.queue = append(m.queue, queuedCopy{at, c})
	}
}

func (m *Manager) scheduleRefresh(w lease.Task, c *Copy) {
	fresh := float64(m.classes[c.Class].FreshTime)
	m.stats.Refreshes++
	m.executor.Refresh(w, Refresh{Copy: *c, NotBefore: c.FreshUntil - Micros(notBeforeShare*fresh), Due: c.FreshUntil - Micros(dueShare*fresh)})
}

// Lookup gives a copy by its key, if it is known still.
func (m *Manager) Lookup(key uint64) (Copy, bool) {
	if k := m.copies.Peek(key); k != nil {
		return k.Copy, true
	}
	return Copy{}, false
}

// LeaseAcquired tells that a duty is this router's from now on: what it knows of it is its to renew.
func (m *Manager) LeaseAcquired(now Micros, is func(lease.Task) bool) {
	m.now = max(m.now, now)
	m.copies.Each(func(k *trackedCopy) {
		if w, ok := m.task(&k.Copy); ok && k.FreshUntil > m.now && is(w) {
			m.scheduleRefresh(w, &k.Copy)
		}
	})
}

// Tick sends what waits to be told, that for one holder together.
func (m *Manager) Tick(now Micros) {
	m.now = max(m.now, now)
	if len(m.queue) == 0 || m.now-m.lastSend < sendInterval {
		return
	}
	m.lastSend = m.now
	for len(m.queue) > 0 {
		m.tokens = min(m.tokens+(m.now-m.lastRefill).Seconds()*datagramsPerSecond, datagramBurst)
		m.lastRefill = m.now
		if m.tokens < 1 {
			return
		}
		m.tokens--
		to := m.queue[0].holder
		b := append(m.buffer[:0], wireVersion)
		left := m.queue[:0]
		for _, p := range m.queue {
			more := b
			if p.holder == to {
				more = m.appendCopy(b, &p.Copy)
			}
			if p.holder != to || len(more) > MaxDatagram {
				left = append(left, p)
				continue
			}
			b = more
			m.stats.Sent++
		}
		m.queue = left
		m.stats.DatagramsSent++
		m.executor.Send(to, b)
	}
}

const wireVersion = 1

// appendCopy writes a copy. Times go as what is left of them: clocks differ.
func (m *Manager) appendCopy(b []byte, c *Copy) []byte {
	b = octets.AppendWord(b, c.Object, 8)
	b = append(b, byte(c.Class))
	b = binary.AppendUvarint(b, uint64(c.Part))
	b = binary.AppendUvarint(b, uint64(c.Group))
	b = binary.AppendUvarint(b, uint64(math.Min(math.Max(c.SizeKB, 0), maxNumber)))
	b = binary.AppendUvarint(b, uint64(max(c.FreshUntil-m.now, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(min(max(c.RequestGap, 0), maxRequestGap)/clock.Millisecond))
}

// Receive takes a datagram of a peer.
func (m *Manager) Receive(now Micros, b []byte) error {
	m.now = max(m.now, now)
	r := octets.Reader{B: b}
	if len(b) > MaxDatagram || r.Byte() != wireVersion {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	whole := r // nothing is believed of a datagram that is not whole
	for len(whole.B) > 0 {
		m.readCopy(&whole)
	}
	if whole.Bad {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	for len(r.B) > 0 {
		m.stats.Received++
		m.handleCopy(m.readCopy(&r), false)
	}
	return nil
}

func (m *Manager) readCopy(r *octets.Reader) (c Copy) {
	c.Object = r.Word(8)
	c.Class = int(r.Byte())
	c.Part = int(r.Number(1 << 30))
	c.Group = int(r.Number(1 << 20))
	c.SizeKB = float64(r.Number(maxNumber))
	c.FreshUntil = m.now + Micros(r.Number(maxNumber))*clock.Millisecond
	c.RequestGap = Micros(r.Number(maxNumber)) * clock.Millisecond
	return c
}

// Stats counts what has happened.
func (m *Manager) Stats() Stats { return m.stats }
