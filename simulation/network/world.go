package network

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a span in microseconds; a world begins at 0.
type Micros = clock.Micros

// Epoch is the wall time at which a world begins.
var Epoch = time.Unix(1_767_225_600, 0).UTC()

const (
	defaultDelay  = clock.Millisecond
	defaultJitter = Micros(200)
	controlBytes  = 60 // of a packet without data, such as that of a connect
)

// World is a network and its time.
type World struct {
	Random      random.Source
	DefaultLink Link   // of hosts that are added
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

// Link is the way from one host to another. It may be changed at any time.
type Link struct {
	Delay               Micros
	Jitter              Micros  // the most that is added to Delay, by chance
	BytesPerMillisecond int     // 0: unlimited
	ConnectDelay        Micros  // added to connects
	LossShare           float64 // of datagrams
	DuplicateShare      float64 // of datagrams that are not lost
	Cut                 bool    // nothing arrives
}

// New makes an empty world.
func New(seed uint32) *World {
	return &World{
		Random:      random.Source{Seed: seed},
		DefaultLink: Link{Delay: defaultDelay, Jitter: defaultJitter},
		byAddress:   map[netip.Addr]*Host{},
		digest:      xxhash.New(),
	}
}

// Now is the world's time.
func (w *World) Now() Micros { return w.now }

// At has f called at a time; a time that is past means now.
func (w *World) At(at Micros, f func()) {
	w.lastEvent++
	w.events.Push(event{max(at, w.now), w.lastEvent, f})
}

// after has f called when a span has passed.
func (w *World) after(span Micros, f func()) { w.At(w.now+span, f) }

// Run runs all events until a time, that included.
func (w *World) Run(until Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.Pop()
		w.now = e.at
		w.Steps++
		e.run()
	}
	w.now = max(w.now, until)
}

// Record adds what has happened now to the hash of the history.
func (w *World) Record(kind byte, values ...uint64) {
	b := append(w.scratch[:0], kind)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	_, _ = w.digest.Write(b)
}

// Hash tells one history from another.
func (w *World) Hash() uint64 { return w.digest.Sum64() }

// Link is the way from one host to another.
func (w *World) Link(from, to *Host) *Link { return w.links[from.index][to.index] }

// cut tells whether nothing gets from one host to another.
func (w *World) cut(from, to *Host) bool {
	return from.partitioned || to.partitioned || w.Link(from, to).Cut
}

// transit is how long so many bytes are under way on a link.
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
