// Package simnet is a network in memory on virtual time: machines with their clocks, connections that are written and read in parts,
// datagrams, and all that can go wrong with them. It is a ground for internal/transport: the router's own code runs on it.
//
// Nothing in it waits, and nothing goes by the turn of a goroutine: one seed is one history, and Hash tells whether two are the same.
package network

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a span in whole microseconds; a world begins at 0.
type Micros = clock.Micros

// Epoch is the Unix time at which a world begins.
var Epoch = time.Unix(1_767_225_600, 0).UTC()

type event struct {
	at    Micros
	order uint64
	run   func()
}

// World is a network and its time.
type World struct {
	Random      random.Source
	DefaultLink Link   // of each two machines, until it is changed
	Steps       uint64 // events so far

	now       Micros
	queue     []event // a heap, the earliest first
	nextEvent uint64
	hosts     []*Host
	links     [][]*Link
	byAddress map[netip.Addr]*Host
	digest    *xxhash.Digest
	scratch   [64]byte
}

// Link is the way from one machine to another.
type Link struct {
	Delay               Micros
	Jitter              Micros  // at most this is added, by chance
	BytesPerMillisecond int     // bytes a millisecond; 0: no bound
	ConnectDelay        Micros  // by so much later connects come up
	LossShare           float64 // shares of datagrams
	DuplicateShare      float64
	Cut                 bool // nothing arrives
}

// New makes an empty world.
func New(seed uint32) *World {
	return &World{Random: random.Source{Seed: seed}, DefaultLink: Link{Delay: clock.Millisecond, Jitter: 200}, byAddress: map[netip.Addr]*Host{},
		digest: xxhash.New()}
}

// Now is the world's time.
func (w *World) Now() Micros { return w.now }

// At has f called at a time.
func (w *World) At(at Micros, f func()) {
	w.nextEvent++
	s := append(w.queue, event{max(at, w.now), w.nextEvent, f})
	i := len(s) - 1
	for i > 0 && s[i].before(&s[(i-1)/2]) {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	w.queue = s
}

func (s *event) before(o *event) bool { return s.at < o.at || s.at == o.at && s.order < o.order }

func (w *World) pop() event {
	s := w.queue
	first, n := s[0], len(s)-1
	s[0], s[n] = s[n], event{}
	s = s[:n]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < n; c++ {
			if s[c].before(&s[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	w.queue = s
	return first
}

// Run has happen what is due until a time, that included.
func (w *World) Run(until Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		s := w.pop()
		w.now = s.at
		w.Steps++
		s.run()
	}
	w.now = max(w.now, until)
}

// Record takes what has happened into the hash of the history.
func (w *World) Record(what byte, x ...uint64) {
	b := append(w.scratch[:0], what)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, n := range x {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = w.digest.Write(b)
}

// Hash tells one history from another.
func (w *World) Hash() uint64 { return w.digest.Sum64() }

// Link is the way between two machines, to be changed at will.
func (w *World) Link(from, to *Host) *Link { return w.links[from.index][to.index] }

// transit is how long so many bytes are on a way.
func (w *World) transit(link *Link, n int) Micros {
	d := link.Delay
	if link.Jitter > 0 {
		d += Micros(w.Random.IntN(int(link.Jitter) + 1))
	}
	if link.BytesPerMillisecond > 0 {
		d += Micros(n) * clock.Millisecond / Micros(link.BytesPerMillisecond)
	}
	return d
}

// Host is a machine with at most one process on it.
type Host struct {
	Name           string
	Addr           netip.Addr
	ClockSkew      Micros // of its wall clock
	HangConnects   bool   // new connections to it come to nothing
	MaxDescriptors int    // connections and doors that its process may hold; 0: no bound
	SendBuffer     int    // bytes that a connection takes before any arrives
	SplitShare     float64

	world       *World
	index       int
	incarnation int
	running     bool
	paused      bool
	partitioned bool
	deferred    []func()
	listeners   map[uint16]*listener
	packetConns map[uint16]*packetConn
	sockets     []*socket
	lastPort    uint16
}

// Host adds a machine.
func (w *World) Host(name string, addr netip.Addr) *Host {
	h := &Host{Name: name, Addr: addr, world: w, index: len(w.hosts), listeners: map[uint16]*listener{}, packetConns: map[uint16]*packetConn{}, lastPort: 32768,
		SendBuffer: 1 << 16, SplitShare: 0.1}
	w.hosts = append(w.hosts, h)
	w.byAddress[addr] = h
	var to []*Link
	for i := range w.hosts {
		if i < h.index {
			link := w.DefaultLink
			w.links[i] = append(w.links[i], &link)
		}
		link := w.DefaultLink
		to = append(to, &link)
	}
	w.links = append(w.links, to)
	return h
}

// Running tells whether a process runs on it, be it stopped.
func (h *Host) Running() bool { return h.running }

// Paused tells whether the process gets no turn.
func (h *Host) Paused() bool { return h.paused }

// Incarnation counts the processes that there have been.
func (h *Host) Incarnation() int { return h.incarnation }

// run has the process of a life do something, if that still runs: later, if it is stopped now.
func (h *Host) run(life int, f func()) {
	switch {
	case h.incarnation != life || !h.running:
	case h.paused:
		h.deferred = append(h.deferred, func() { h.run(life, f) })
	default:
		f()
	}
}

// After has the process that runs now do something after a span.
func (h *Host) After(span Micros, f func()) {
	life := h.incarnation
	h.world.At(h.world.now+span, func() { h.run(life, f) })
}

// Pause has the process get no turn until Go, as SIGSTOP has; what its kernel does goes on.
func (h *Host) Pause() {
	if h.running && !h.paused {
		h.paused = true
		h.world.Record('s', uint64(h.index))
	}
}

// Resume ends Stop.
func (h *Host) Resume() {
	if !h.paused {
		return
	}
	h.paused = false
	h.world.Record('g', uint64(h.index))
	held := h.deferred
	h.deferred = nil
	for _, f := range held {
		h.world.At(h.world.now, f)
	}
}

// Kill ends the process outright: its connections are reset.
func (h *Host) Kill() {
	if !h.running {
		return
	}
	h.world.Record('k', uint64(h.index))
	h.running, h.paused, h.deferred = false, false, nil
	h.listeners, h.packetConns = map[uint16]*listener{}, map[uint16]*packetConn{}
	ends := h.sockets
	h.sockets = nil
	for _, s := range ends {
		s.reset(false)
	}
}

// SetPartitioned has the machine be off the network, silently, or on it again. Its process does not hear of it.
func (h *Host) SetPartitioned(gone bool) {
	h.partitioned = gone
	h.world.Record('o', uint64(h.index))
}

// Partitioned tells whether the machine is off the network.
func (h *Host) Partitioned() bool { return h.partitioned }

// Start begins a new process on the machine, and gives its ground.
func (h *Host) Start() *Runtime {
	h.Kill()
	h.incarnation++
	h.running = true
	h.world.Record('b', uint64(h.index), uint64(h.incarnation))
	return &Runtime{host: h, incarnation: h.incarnation}
}

// cut tells whether nothing gets from one machine to another.
func (w *World) cut(from, to *Host) bool {
	return from.partitioned || to.partitioned || w.Link(from, to).Cut
}
