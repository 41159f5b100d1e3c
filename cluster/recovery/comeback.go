// Package comeback brings a router back after a restart: step by step, from the rows that others hold. Free of I/O: time, who is
// there and datagrams go in, datagrams and rows come out.
//
// How it is called: New makes the state of a router that has just started. Tick is called some tens of times a second with how the
// router stands, Hear with each datagram. Leave tells what the state allows.
//
// How it is decided: what every router has seen itself is the same few objects, so the keys are cut into slices by hash for it, and each
// slice is asked of another router, in an order by chance; where one has none, or is silent, its slice is asked of one that has served. What
// routers keep for others each has alone: all are asked for it, those first that by their clocks began earlier than this one (a hint, clocks
// need not agree: one that came back as this one did has nothing, and says so in one datagram). Some are asked at a time, the
// most asked rows come first. One that has many to serve gives out turns, which are times to come again, so that hundreds of newcomers do
// not crush the few that are left. No newcomer waits past a bound: it goes on with what it has, and says so. What a router recalls starts its figures and no more.
package recovery

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/octets"
	"threadrun/internal/random"
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("comeback: unreadable datagram")

const (
	patience   = 150 * clock.Millisecond // for an answer
	triesMost  = 3
	turnsMost  = 6 // that one router is waited for
	turnLong   = 2 * clock.Second
	pageBurst  = 20.0
	askBurst   = 8.0
	slicesMost = 16
	sourceMost = 1024 // asked for what they keep
	older      = 2000 // ms by which a life seems to have begun earlier than this one
	sliceSalt  = 0x736c696365
)

// kind of a datagram. Each bears a number, given back with the answer.
type kind byte

const (
	// Ask: who asks, which slice of how many, and how many rows of it were had: those after them are wanted. Slice 0 of none: what is kept
	// for others.
	ask  kind = iota + 1
	page      // how many rows there are in all, whether more would come, and rows
	turn      // in how many milliseconds to ask again
)

// slice is a part of the keys that is asked for, or, fixed, what one router keeps for others.
type slice struct {
	fixed bool
	of    int // in the pool: who is asked; -1: nobody yet
	no    uint32
	had   int
	tries int
	turns int
	moves int
	due   Micros
	out   bool
	done  bool
}

// source is one that may be asked.
type source struct {
	Peer
	asked, serves, empty bool
}

// Manager is one router's state.
type Manager struct {
	state  State
	self   shardmap.Owner
	post   Output
	rows   Source
	bounds Bounds
	chance random.Source
	now    Micros
	began  Micros
	since  Micros // of the state
	list   []slice
	pool   []source
	parts  int // slices; behind them in list is what routers keep
	before int // of the pool: those that seem to have begun earlier
	share  int // rows wanted of each slice
	no     uint32
	asks   float64
	pages  float64
	filled Micros
	tally  Stats
	kept   []directory.Record    // of the life before
	had    map[shardmap.Key]bool // recalled from others
	buf    [MaxPayload + 64]byte
}

// New makes the state of a router that has just started.
func New(now Micros, self shardmap.Owner, post Output, rows Source, seed uint32, bounds Bounds) *Manager {
	return &Manager{self: self, post: post, rows: rows, bounds: bounds, chance: random.Source{Seed: seed}, now: now, began: now,
		since: now, asks: askBurst, pages: pageBurst, filled: now, had: map[shardmap.Key]bool{}}
}

// State is how far this router has come.
func (c *Manager) State() State { return c.state }

// Permissions is what that allows.
func (c *Manager) Permissions() Permissions { return leaves[c.state] }

// Stats counts what has happened.
func (c *Manager) Stats() Stats { return c.tally }

// move is the one place where the state changes.
func (c *Manager) move(to State) {
	for _, ok := range follows[c.state] {
		if ok == to {
			from := c.state
			c.state, c.since = to, c.now
			if to == CatchingUp || to == Alone {
				c.restore()
			}
			if to == Recovered || to == Alone {
				c.tally.TookMs = int64((c.now - c.began) / clock.Millisecond)
			}
			c.post.StateChanged(from, to)
			return
		}
	}
	panic(fmt.Sprintf("comeback: %v after %v", to, c.state))
}

// Tick does what is due. Caught is whether purges have been heard up to now; peers calls its argument for those that are there.
func (c *Manager) Tick(now Micros, at membership.Contact, caught bool, peers func(f func(Peer))) {
	span := max(now-c.now, 0)
	c.now = max(c.now, now)
	c.asks = min(c.asks+span.Seconds()*c.bounds.PerS, askBurst)
	c.pages = min(c.pages+span.Seconds()*c.bounds.Pages, pageBurst)
	switch c.state {
	case Joining:
		switch {
		case at.Alone && at.Settled:
			c.post.Note("comeback: nobody is there to ask, goes on with nothing recalled")
			c.move(Alone)
		case at.Settled:
			c.begin(peers)
		}
	case Alone:
		if !at.Alone && c.now-c.since < c.bounds.Most { // somebody came: perhaps with rows
			c.begin(peers)
		} else if c.now-c.since >= c.bounds.Most {
			c.move(Recovered)
		}
	case Fetching:
		c.recall()
	case CatchingUp:
		if caught || c.now-c.since >= c.bounds.Catch {
			if !caught {
				c.post.Note("comeback: purges were not heard in time, goes on")
			}
			c.move(Recovered)
			c.post.Note(fmt.Sprintf("comeback: full after %dms, %d rows recalled, %d routers there, %d silent", c.tally.TookMs, c.tally.Records,
				len(c.pool), c.tally.Unresponsive))
		}
	}
}

// begin makes the list of what to ask, and of whom.
func (c *Manager) begin(peers func(f func(Peer))) {
	c.pool, c.list = c.pool[:0], c.list[:0]
	peers(func(p Peer) {
		if p.ID != c.self.ID && p.Address.IsValid() {
			c.pool = append(c.pool, source{Peer: p})
		}
	})
	if len(c.pool) == 0 {
		return
	}
	c.chance.Shuffle(len(c.pool), func(i, j int) { c.pool[i], c.pool[j] = c.pool[j], c.pool[i] })
	later := func(p *source) byte { return octets.Truth(p.Incarnation+older > c.self.Incarnation) }
	slices.SortStableFunc(c.pool, func(a, b source) int { return cmp.Compare(later(&a), later(&b)) })
	for range min(len(c.pool), slicesMost) {
		c.list = append(c.list, slice{of: -1})
	}
	c.parts = len(c.list)
	c.share = (c.bounds.Rows + c.parts - 1) / c.parts
	for i := range c.pool[:min(len(c.pool), sourceMost)] {
		c.list = append(c.list, slice{of: i, fixed: true})
		if later(&c.pool[i]) == 0 {
			c.before = i + 1
		}
	}
	c.move(Fetching)
}

// pick finds whom a slice is asked of: one of before that is not known to have nothing, or another that has not been asked; -1: nobody.
func (c *Manager) pick() int {
	for _, span := range [...][2]int{{0, c.before}, {c.before, len(c.pool)}} {
		n := span[1] - span[0]
		if n == 0 {
			continue
		}
		found := -1
		for i, at := 0, c.chance.IntN(n); i < n; i++ {
			j := span[0] + (at+i)%n
			switch p := &c.pool[j]; {
			case p.empty:
			case p.serves:
				return j
			case !p.asked && found < 0:
				found = j
			}
		}
		if found >= 0 {
			return found
		}
	}
	return -1
}

// recall goes on asking.
func (c *Manager) recall() {
	out, left := 0, 0
	for i := range c.list {
		if a := &c.list[i]; !a.done {
			left++
			if a.out {
				out++
			}
		}
	}
	late := c.now-c.since >= c.bounds.Most
	if left == 0 || late || len(c.had) >= c.bounds.Rows {
		if late && left > 0 {
			c.post.Note(fmt.Sprintf("comeback: goes on without %d of %d parts, %d rows recalled in %dms", left, len(c.list), c.tally.Records,
				(c.now-c.since)/clock.Millisecond))
		}
		c.move(CatchingUp)
		return
	}
	for i := range c.list {
		a := &c.list[i]
		if a.done || c.asks < 1 {
			continue
		}
		switch {
		case a.out && c.now >= a.due:
			if a.tries >= triesMost || a.turns > turnsMost {
				c.tally.Unresponsive++
				c.pool[a.of].empty, c.pool[a.of].serves = true, false
				c.leave(a)
				continue
			}
			c.ask(i)
		case !a.out && out < c.bounds.Window:
			if a.of < 0 {
				if a.of = c.pick(); a.of < 0 || a.moves > len(c.pool) {
					a.done = true
					continue
				}
				c.pool[a.of].asked = true
			}
			out++
			c.ask(i)
		}
	}
}

// leave has a slice be asked of another. What one router alone keeps is not to be had elsewhere.
func (c *Manager) leave(a *slice) {
	if a.fixed {
		a.done = true
		return
	}
	a.of, a.out, a.tries, a.turns = -1, false, 0, 0
	a.moves++
}

// ask asks for the next rows of a slice.
func (c *Manager) ask(i int) {
	a := &c.list[i]
	c.no++
	a.no, a.out, a.due = c.no, true, c.now+patience*Micros(1+a.tries)
	a.tries++
	c.asks--
	c.tally.RequestsSent++
	b := binary.AppendUvarint(append(c.buf[:0], byte(ask)), uint64(c.no))
	b = octets.AppendWord(b, uint64(c.self.ID), 8)
	if a.fixed {
		b = append(b, 0, 0)
	} else {
		b = append(b, byte(i), byte(c.parts))
	}
	c.post.Send(c.pool[a.of].Address, binary.AppendUvarint(b, uint64(a.had)))
}

// Receive takes a datagram.
func (c *Manager) Receive(now Micros, from netip.AddrPort, b []byte, seat func(membership.NodeID) (netip.AddrPort, bool)) error {
	c.now = max(c.now, now)
	r := octets.Reader{B: b}
	k, no := kind(r.Byte()), uint32(r.Number(math.MaxUint32))
	bad := func() error {
		c.tally.Unreadable++
		return ErrUnreadable
	}
	switch k {
	case ask:
		who := membership.NodeID(r.Word(8))
		at, of := int(r.Byte()), int(r.Byte())
		had := int(r.Number(1 << 20))
		if r.Bad || len(r.B) > 0 || at >= max(of, 1) {
			return bad()
		}
		if seated, ok := seat(who); ok {
			from = seated
		}
		c.serve(from, no, at, of, had)
	case turn:
		wait := Micros(r.Number(60_000)) * clock.Millisecond
		if r.Bad {
			return bad()
		}
		if a := c.find(no); a != nil {
			a.due, a.tries = c.now+min(wait, turnLong), 0
			a.turns++
		}
	case page:
		all, more := int(r.Number(1<<20)), r.Byte() == 1
		var rows []directory.Record
		for len(r.B) > 0 && !r.Bad {
			rows = append(rows, directory.ReadRecord(&r, c.now))
		}
		if r.Bad || len(b) > MaxPayload {
			return bad()
		}
		if a := c.find(no); a != nil { // an answer that comes twice is of no number that is out
			p := &c.pool[a.of]
			if p.serves, p.empty = all > 0, all == 0; p.empty {
				c.leave(a)
				return nil
			}
			a.had += len(rows)
			a.out, a.tries, a.no = false, 0, 0
			a.done = !more || len(rows) == 0 || !a.fixed && a.had >= c.share
			for _, x := range rows {
				c.tally.Records++
				if c.had != nil {
					c.had[x.Key] = true
				}
				c.post.RecordRecovered(x)
			}
		}
	default:
		return bad()
	}
	return nil
}

// find gives the slice that was asked for under a number; nil: none waits for it.
func (c *Manager) find(no uint32) *slice {
	for i := range c.list {
		if a := &c.list[i]; a.out && a.no == no && !a.done && c.state == Fetching {
			return a
		}
	}
	return nil
}

// serve answers with rows, or gives a turn out.
func (c *Manager) serve(to netip.AddrPort, no uint32, at, of, had int) {
	b := c.buf[:0]
	if c.pages < 1 {
		if c.pages > -c.bounds.Pages*turnLong.Seconds() { // each turn that is given out takes its place in the line
			c.pages -= 0.5
		}
		c.tally.Deferred++
		wait := -c.pages/c.bounds.Pages*1000 + 20
		b = binary.AppendUvarint(append(b, byte(turn)), uint64(no))
		c.post.Send(to, binary.AppendUvarint(b, uint64(min(max(wait, 20), 2000))))
		return
	}
	c.pages--
	c.tally.PagesServed++
	all := 0
	if leaves[c.state].ServeRecords {
		all = c.rows.Len()
	}
	b = binary.AppendUvarint(append(b, byte(page)), uint64(no))
	b = binary.AppendUvarint(b, uint64(all))
	more := len(b)
	b = append(b, 0)
	i := 0
	each := c.rows.Hottest
	if of == 0 {
		each, of, at = c.rows.HottestReported, 1, 0
	}
	if all > 0 {
		each(func(r *directory.Record) bool {
			if r.RequestGap >= directory.UnknownGap || int(hash.Combine(uint64(r.Key), sliceSalt)%uint64(of)) != at {
				return true
			}
			if i++; i <= had {
				return true
			}
			next := directory.AppendRecord(b, c.now, r)
			if len(next) > MaxPayload {
				b[more] = 1
				return false
			}
			b = next
			return true
		})
	}
	c.post.Send(to, b)
}
