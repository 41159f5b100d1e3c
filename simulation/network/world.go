package network

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a duration in microseconds. The time in a new world is 0.
type Micros = clock.Micros

// Epoch is the wall time that corresponds to time 0.
var Epoch = time.Unix(1_767_225_600, 0).UTC()

const (
	defaultDelay  = clock.Millisecond
	defaultJitter = Micros(200)
	controlBytes  = 60 // size of a packet without data, such as a SYN, a FIN or a RST
)

// World is a simulated network and its virtual time.
type World struct {
	Random      random.Source
	DefaultLink Link   // copied by AddHost for the links of a new host
	Steps       uint64 // number of events run so far

	now          Micros
	events       eventHeap
	lastSequence uint64 // sequence number of the event scheduled last
	hosts        []*Host
	links        [][]*Link // by the index of the sender, then of the receiver
	byAddress    map[netip.Addr]*Host
	digest       *xxhash.Digest // of the events passed to Record
	scratch      [64]byte       // buffer of Record
}

// Link holds the properties of the link from one host to another. They may be changed at any time.
type Link struct {
	Delay               Micros  // one way
	Jitter              Micros  // maximum random addition to Delay
	BytesPerMillisecond int     // 0: unlimited
	ConnectDelay        Micros  // additional delay of connects
	LossShare           float64 // share of datagrams that are lost
	DuplicateShare      float64 // share of the remaining datagrams that arrive twice
	Cut                 bool    // no packet arrives
}

// New returns a world without hosts whose random values are drawn from a seed.
func New(seed uint32) *World {
	return &World{
		Random:      random.Source{Seed: seed},
		DefaultLink: Link{Delay: defaultDelay, Jitter: defaultJitter},
		byAddress:   map[netip.Addr]*Host{},
		digest:      xxhash.New(),
	}
}

// Now returns the virtual time.
func (w *World) Now() Micros { return w.now }

// At schedules a call of f at a time, or at the current time if that is later. Calls of the same time are made in the
// order in which they were scheduled.
func (w *World) At(at Micros, f func()) {
	w.lastSequence++
	w.events.Push(event{max(at, w.now), w.lastSequence, f})
}

// after schedules a call of f after a delay.
func (w *World) after(delay Micros, f func()) { w.At(w.now+delay, f) }

// Run runs all events up to and including a time, also those that are scheduled by these events, and advances the
// virtual time to it.
func (w *World) Run(until Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.Pop()
		w.now = e.at
		w.Steps++
		e.run()
	}
	w.now = max(w.now, until)
}

// Record adds an event of the current time to the hash that Hash returns. The network records these kinds:
//
//	b  a process was started         r  a connect was refused
//	k  a process was killed          c  a connect was accepted
//	s  a process was paused          d  a segment arrived
//	g  a process was resumed         e  the owner of a socket was notified of the connection's end
//	o  a partition began or ended    u  a datagram arrived
func (w *World) Record(kind byte, values ...uint64) {
	b := append(w.scratch[:0], kind)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	_, _ = w.digest.Write(b)
}

// Hash returns the hash of all events recorded so far.
func (w *World) Hash() uint64 { return w.digest.Sum64() }

// Link returns the link from one host to another. The caller may modify it.
func (w *World) Link(from, to *Host) *Link { return w.links[from.index][to.index] }

// unreachable reports whether packets from one host to another don't arrive, because the link is cut or one of the
// hosts is partitioned.
func (w *World) unreachable(from, to *Host) bool {
	return from.partitioned || to.partitioned || w.Link(from, to).Cut
}

// transitTime returns how long a packet takes on a link: the delay, a random jitter and the time to transmit its bytes.
func (w *World) transitTime(l *Link, bytes int) Micros {
	duration := l.Delay
	if l.Jitter > 0 {
		duration += Micros(w.Random.IntN(int(l.Jitter) + 1))
	}
	if l.BytesPerMillisecond > 0 {
		duration += Micros(bytes) * clock.Millisecond / Micros(l.BytesPerMillisecond)
	}
	return duration
}
