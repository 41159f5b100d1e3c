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
	UseCase int
	Object  uint64 // the name that its origin knows it by
	Part    int
	Group   int
	KB      float64
	Until   Micros // the end of its fresh time
	Gap     Micros // between visits, as who saw it has it
}

// Key names the thing that it is a copy of.
func (c *Copy) Key() uint64 {
	return hash.Pair(c.Object, hash.Pair(uint64(c.Part), uint64(c.UseCase)))
}

// Renewal is a copy that this router is to renew.
type Renewal struct {
	Copy
	From, Due Micros
}

// Holder tells whose duty a piece of work is.
type Holder interface {
	Mine(w lease.Work) bool
	Where(w lease.Work) (netip.AddrPort, bool) // false: nobody is known to hold it
}

// Desk takes what comes out.
type Desk interface {
	Renew(w lease.Work, r Renewal)
	Send(to netip.AddrPort, b []byte) // b is good within the call only
}

// UseCase is what counts of one.
type UseCase struct {
	Fresh    Micros // 0: its copies do not age
	Harmless bool
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

// Room is the most that a datagram of this package takes.
const Room = 208

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("ageing: unreadable datagram")

// Tally counts what has happened since the start.
type Tally struct {
	Saw, Told, Heard    uint64 // copies: of own visits worth renewing, told to a holder, heard as a holder
	Sent                uint64 // datagrams
	Dropped             uint64 // copies not told for want of room or datagrams
	Renewals            uint64
	Unreadable, Useless uint64
}

// known is a copy that was told of or is to be renewed.
type known struct {
	Copy
	handled Micros // the end of the fresh time that was dealt with last
}

// Ageing is one router's part of it.
type Ageing struct {
	now    Micros
	desk   Desk
	holder Holder
	cases  []UseCase
	copies *lru.Table[known]
	pend   []pending
	told   Micros
	tokens float64
	filled Micros
	tally  Tally
	buf    [Room + copyMost]byte
}

// pending is a copy that waits to be told.
type pending struct {
	to netip.AddrPort
	Copy
}

// New makes it.
func New(now Micros, cases []UseCase, holder Holder, desk Desk) *Ageing {
	return &Ageing{now: now, desk: desk, holder: holder, cases: cases, copies: lru.New[known](most), told: now,
		tokens: burst, filled: now}
}

// work lets a copy in as a piece of shared work: only what may be fetched twice without harm.
func (a *Ageing) work(c *Copy) (lease.Work, bool) {
	if c.UseCase < 0 || c.UseCase >= len(a.cases) || a.cases[c.UseCase].Fresh <= 0 {
		return lease.Work{}, false
	}
	w, err := lease.NewWork(lease.Renewing, c.Key(), a.cases[c.UseCase].Harmless)
	return w, err == nil
}

// Saw tells of a copy that answered a visit and is worth a fill.
func (a *Ageing) Saw(now Micros, c Copy) {
	a.now = max(a.now, now)
	a.tally.Saw++
	a.take(c, true)
}

// take deals with a copy, once in each of its lives. Own are those of this router's visits: one that is another's to renew
// is told to that one; one that was told to us and is not ours is dropped, for its teller will hear who holds it.
func (a *Ageing) take(c Copy, own bool) {
	w, ok := a.work(&c)
	if !ok || c.Until <= a.now {
		a.tally.Useless++
		return
	}
	k, made := a.copies.Touch(c.Key())
	if !made && c.Until < k.handled+moved {
		return // dealt with, or an older copy
	}
	k.Copy = c
	switch at, held := a.holder.Where(w); {
	case a.holder.Mine(w):
		k.handled = c.Until
		a.renew(w, &k.Copy)
	case own && held:
		k.handled = c.Until
		if len(a.pend) >= pendMost {
			a.tally.Dropped++
			return
		}
		a.pend = append(a.pend, pending{at, c})
	}
}

func (a *Ageing) renew(w lease.Work, c *Copy) {
	fresh := float64(a.cases[c.UseCase].Fresh)
	a.tally.Renewals++
	a.desk.Renew(w, Renewal{Copy: *c, From: c.Until - Micros(fromPart*fresh), Due: c.Until - Micros(duePart*fresh)})
}

// Find gives a copy by its key, if it is known still.
func (a *Ageing) Find(key uint64) (Copy, bool) {
	if k := a.copies.Peek(key); k != nil {
		return k.Copy, true
	}
	return Copy{}, false
}

// Took tells that a duty is this router's from now on: what it knows of it is its to renew.
func (a *Ageing) Took(now Micros, is func(lease.Work) bool) {
	a.now = max(a.now, now)
	a.copies.Each(func(k *known) {
		if w, ok := a.work(&k.Copy); ok && k.Until > a.now && is(w) {
			a.renew(w, &k.Copy)
		}
	})
}

// Tick sends what waits to be told, that for one holder together.
func (a *Ageing) Tick(now Micros) {
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
			if p.to != to || len(more) > Room {
				left = append(left, p)
				continue
			}
			b = more
			a.tally.Told++
		}
		a.pend = left
		a.tally.Sent++
		a.desk.Send(to, b)
	}
}

const version = 1

// append writes a copy. Times go as what is left of them: clocks differ.
func (a *Ageing) append(b []byte, c *Copy) []byte {
	b = octets.AppendWord(b, c.Object, 8)
	b = append(b, byte(c.UseCase))
	b = binary.AppendUvarint(b, uint64(c.Part))
	b = binary.AppendUvarint(b, uint64(c.Group))
	b = binary.AppendUvarint(b, uint64(math.Min(math.Max(c.KB, 0), spanMost)))
	b = binary.AppendUvarint(b, uint64(max(c.Until-a.now, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(min(max(c.Gap, 0), farthest)/clock.Millisecond))
}

// Hear takes a datagram of a peer.
func (a *Ageing) Hear(now Micros, b []byte) error {
	a.now = max(a.now, now)
	r := octets.Reader{B: b}
	if len(b) > Room || r.Byte() != version {
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
		a.tally.Heard++
		a.take(a.read(&r), false)
	}
	return nil
}

func (a *Ageing) read(r *octets.Reader) (c Copy) {
	c.Object = r.Word(8)
	c.UseCase = int(r.Byte())
	c.Part = int(r.Number(1 << 30))
	c.Group = int(r.Number(1 << 20))
	c.KB = float64(r.Number(spanMost))
	c.Until = a.now + Micros(r.Number(spanMost))*clock.Millisecond
	c.Gap = Micros(r.Number(spanMost)) * clock.Millisecond
	return c
}

// Tally counts what has happened.
func (a *Ageing) Tally() Tally { return a.tally }
