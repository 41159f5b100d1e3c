package network

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a span in microseconds. A world begins at time 0.
type Micros = clock.Micros

// Epoch is the wall time at which a world begins.
var Epoch = time.Unix(1_767_225_600, 0).UTC()

const (
	defaultDelay  = clock.Millisecond
	defaultJitter = Micros(200)
	controlBytes  = 60 // size of a packet without data
)

// World is a network with its virtual time.
type World struct {
	Random      random.Source
	DefaultLink Link   // between hosts that are added
	Steps       uint64 // events so far

	now       Micros
	events    eventHeap
	lastEvent uint64
	hosts     []*Host
	links     [][]*Link // by the indices of their hosts
	byAddress map[netip.Addr]*Host
	digest    *xxhash.Digest
	scratch   [64]byte
}

// Link is the link from one host to another. It may be changed at any time.
type Link struct {
	Delay               Micros
	Jitter              Micros  // maximum random addition to Delay
	BytesPerMillisecond int     // 0: unlimited
	ConnectDelay        Micros  // additional delay of connects
	LossShare           float64 // of datagrams
	DuplicateShare      float64 // of datagrams that are not lost
	Cut                 bool    // nothing arrives
}

// New returns an empty world.
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

// At schedules a call of f. A time in the past means now.
func (w *World) At(at Micros, f func()) {
	w.lastEvent++
	w.events.Push(event{max(at, w.now), w.lastEvent, f})
}

// after schedules a call of f after a span.
func (w *World) after(span Micros, f func()) { w.At(w.now+span, f) }

// Run runs all events up to and including a time.
func (w *World) Run(until Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.Pop()
		w.now = e.at
		w.Steps++
		e.run()
	}
	w.now = max(w.now, until)
}

// Record adds an event that happens now to the hash of the history.
func (w *World) Record(kind byte, values ...uint64) {
	b := append(w.scratch[:0], kind)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	_, _ = w.digest.Write(b)
}

// Hash returns the hash of the history.
func (w *World) Hash() uint64 { return w.digest.Sum64() }

// Link returns the link from one host to another.
func (w *World) Link(from, to *Host) *Link { return w.links[from.index][to.index] }

// cut reports whether no packet gets from one host to another.
func (w *World) cut(from, to *Host) bool {
	return from.partitioned || to.partitioned || w.Link(from, to).Cut
}

// transit returns the time that a packet takes on a link.
func (w *World) transit(l *Link, bytes int) Micros {
	span := l.Delay
	if l.Jitter > 0 {
		span += Micros(w.Random.IntN(int(l.Jitter) + 1))
	}
	if l.BytesPerMillisecond > 0 {
		span += Micros(bytes) * clock.Millisecond / Micros(l.BytesPerMillisecond)
	}
	return span
}
