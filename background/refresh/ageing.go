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
	most      = 4096 // copies known
	pendMost  = 512  // that wait to be told
	fromPart  = 0.30 // of the fresh time before its end
	duePart   = 0.20
	moved     = 100 * clock.Millisecond // an end of fresh time that differs by less is the same copy's
	tellEvery = 100 * clock.Millisecond
	perSecond = 20.0 // datagrams
	burst     = 20.0
	copyMost  = 8 + 3 + 5 + 2 + 5 + 5 + 5
	spanMost  = 1 << 32
	farthest  = 3600 * clock.Second
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

// known is a copy that was told of or is to be renewed.
type known struct {
	Copy
	handled Micros // the end of the fresh time that was dealt with last
}

// Manager is one router's part of it.
type Manager struct {
	now    Micros
	desk   Executor
	holder LeaseHolder
	cases  []Class
	copies *lru.Map[known]
	pend   []pending
	told   Micros
	tokens float64
	filled Micros
	tally  Stats
	buf    [MaxDatagram + copyMost]byte
}

// pending is a copy that waits to be told.
type pending struct {
	to netip.AddrPort
	Copy
}

// New makes it.
func New(now Micros, cases []Class, holder LeaseHolder, desk Executor) *Manager {
	return &Manager{now: now, desk: desk, holder: holder, cases: cases, copies: lru.New[known](most), told: now,
		tokens: burst, filled: now}
}

// work lets a copy in as a piece of shared work: only what may be fetched twice without harm.
func (a *Manager) work(c *Copy) (lease.Task, bool) {
	if c.Class < 0 || c.Class >= len(a.cases) || a.cases[c.Class].FreshTime <= 0 {
		return lease.Task{}, false
	}
	w, err := lease.NewTask(lease.Refresh, c.Key(), a.cases[c.Class].Idempotent)
	return w, err == nil
}

// ObserveCopy tells of a copy that answered a visit and is worth a fill.
func (a *Manager) ObserveCopy(now Micros, c Copy) {
	a.now = max(a.now, now)
	a.tally.Observed++
	a.take(c, true)
}

// take deals with a copy, once in each of its lives. Own are those of this router's visits: one that is another's to renew
// is told to that one; one that was told to us and is not ours is dropped, for its teller will hear who holds it.
func (a *Manager) take(c Copy, own bool) {
	w, ok := a.work(&c)
	if !ok || c.FreshUntil <= a.now {
		a.tally.Ignored++
		return
	}
	k, made := a.copies.GetOrAdd(c.Key())
	if !made && c.FreshUntil < k.handled+moved {
		return // dealt with, or an older copy
	}
	k.Copy = c
	switch at, held := a.holder.Where(w); {
	case a.holder.Mine(w):
		k.handled = c.FreshUntil
		a.renew(w, &k.Copy)
	case own && held:
		k.handled = c.FreshUntil
		if len(a.pend) >= pendMost {
			a.tally.Dropped++
			return
		}
		a.pend = append(a.pend, pending{at, c})
	}
}

func (a *Manager) renew(w lease.Task, c *Copy) {
	fresh := float64(a.cases[c.Class].FreshTime)
	a.tally.Refreshes++
	a.desk.Refresh(w, Refresh{Copy: *c, NotBefore: c.FreshUntil - Micros(fromPart*fresh), Due: c.FreshUntil - Micros(duePart*fresh)})
}

// Lookup gives a copy by its key, if it is known still.
func (a *Manager) Lookup(key uint64) (Copy, bool) {
	if k := a.copies.Peek(key); k != nil {
		return k.Copy, true
	}
	return Copy{}, false
}

// LeaseAcquired tells that a duty is this router's from now on: what it knows of it is its to renew.
func (a *Manager) LeaseAcquired(now Micros, is func(lease.Task) bool) {
	a.now = max(a.now, now)
	a.copies.Each(func(k *known) {
		if w, ok := a.work(&k.Copy); ok && k.FreshUntil > a.now && is(w) {
			a.renew(w, &k.Copy)
		}
	})
}

// Tick sends what waits to be told, that for one holder together.
func (a *Manager) Tick(now Micros) {
	a.now = max(a.now, now)
	if len(a.pend) == 0 || a.now-a.told < tellEvery {
		return
	}
	a.told = a.now
	for len(a.pend) > 0 {
		a.tokens = min(a.tokens+(a.now-a.filled).Seconds()*perSecond, burst)
		a.filled = a.now
		if a.tokens < 1 {
			return
		}
		a.tokens--
		to := a.pend[0].to
		b := append(a.buf[:0], version)
		left := a.pend[:0]
		for _, p := range a.pend {
			more := b
			if p.to == to {
				more = a.append(b, &p.Copy)
			}
			if p.to != to || len(more) > MaxDatagram {
				left = append(left, p)
				continue
			}
			b = more
			a.tally.Sent++
		}
		a.pend = left
		a.tally.DatagramsSent++
		a.desk.Send(to, b)
	}
}

const version = 1

// append writes a copy. Times go as what is left of them: clocks differ.
func (a *Manager) append(b []byte, c *Copy) []byte {
	b = octets.AppendWord(b, c.Object, 8)
	b = append(b, byte(c.Class))
	b = binary.AppendUvarint(b, uint64(c.Part))
	b = binary.AppendUvarint(b, uint64(c.Group))
	b = binary.AppendUvarint(b, uint64(math.Min(math.Max(c.SizeKB, 0), spanMost)))
	b = binary.AppendUvarint(b, uint64(max(c.FreshUntil-a.now, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(min(max(c.RequestGap, 0), farthest)/clock.Millisecond))
}

// Receive takes a datagram of a peer.
func (a *Manager) Receive(now Micros, b []byte) error {
	a.now = max(a.now, now)
	r := octets.Reader{B: b}
	if len(b) > MaxDatagram || r.Byte() != version {
		a.tally.Unreadable++
		return ErrUnreadable
	}
	whole := r // nothing is believed of a datagram that is not whole
	for len(whole.B) > 0 {
		a.read(&whole)
	}
	if whole.Bad {
		a.tally.Unreadable++
		return ErrUnreadable
	}
	for len(r.B) > 0 {
		a.tally.Received++
		a.take(a.read(&r), false)
	}
	return nil
}

func (a *Manager) read(r *octets.Reader) (c Copy) {
	c.Object = r.Word(8)
	c.Class = int(r.Byte())
	c.Part = int(r.Number(1 << 30))
	c.Group = int(r.Number(1 << 20))
	c.SizeKB = float64(r.Number(spanMost))
	c.FreshUntil = a.now + Micros(r.Number(spanMost))*clock.Millisecond
	c.RequestGap = Micros(r.Number(spanMost)) * clock.Millisecond
	return c
}

// Stats counts what has happened.
func (a *Manager) Stats() Stats { return a.tally }
