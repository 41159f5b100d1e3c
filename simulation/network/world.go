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
	at Micros
	no uint64
	f  func()
}

// World is a network and its time.
type World struct {
	Chance  random.Source
	Default Way    // of each two machines, until it is changed
	Steps   uint64 // events so far

	now    Micros
	queue  []event // a heap, the earliest first
	no     uint64
	hosts  []*Host
	ways   [][]*Way
	at     map[netip.Addr]*Host
	digest *xxhash.Digest
	noted  [64]byte
}

// Way is the way from one machine to another.
type Way struct {
	Delay  Micros
	Jitter Micros  // at most this is added, by chance
	PerMs  int     // bytes a millisecond; 0: no bound
	Opens  Micros  // by so much later connects come up
	Loss   float64 // shares of datagrams
	Double float64
	Cut    bool // nothing arrives
}

// New makes an empty world.
func New(seed uint32) *World {
	return &World{Chance: random.Source{Seed: seed}, Default: Way{Delay: clock.Millisecond, Jitter: 200}, at: map[netip.Addr]*Host{},
		digest: xxhash.New()}
}

// Now is the world's time.
func (w *World) Now() Micros { return w.now }

// At has f called at a time.
func (w *World) At(at Micros, f func()) {
	w.no++
	s := append(w.queue, event{max(at, w.now), w.no, f})
	i := len(s) - 1
	for i > 0 && s[i].before(&s[(i-1)/2]) {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	w.queue = s
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.no < o.no }

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
		e := w.pop()
		w.now = e.at
		w.Steps++
		e.f()
	}
	w.now = max(w.now, until)
}

// Note takes what has happened into the hash of the history.
func (w *World) Note(what byte, x ...uint64) {
	b := append(w.noted[:0], what)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, n := range x {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = w.digest.Write(b)
}

// Hash tells one history from another.
func (w *World) Hash() uint64 { return w.digest.Sum64() }

// Way is the way between two machines, to be changed at will.
func (w *World) Way(from, to *Host) *Way { return w.ways[from.no][to.no] }

// takes is how long so many bytes are on a way.
func (w *World) takes(y *Way, n int) Micros {
	d := y.Delay
	if y.Jitter > 0 {
		d += Micros(w.Chance.IntN(int(y.Jitter) + 1))
	}
	if y.PerMs > 0 {
		d += Micros(n) * clock.Millisecond / Micros(y.PerMs)
	}
	return d
}

// Host is a machine with at most one process on it.
type Host struct {
	Name  string
	Addr  netip.Addr
	Skew  Micros // of its wall clock
	Hang  bool   // new connections to it come to nothing
	Most  int    // connections and doors that its process may hold; 0: no bound
	Sends int    // bytes that a connection takes before any arrives
	Torn  float64

	w       *World
	no      int
	life    int
	up      bool
	stopped bool
	gone    bool
	held    []func()
	doors   map[uint16]*door
	grams   map[uint16]*grams
	ends    []*end
	port    uint16
}

// Host adds a machine.
func (w *World) Host(name string, addr netip.Addr) *Host {
	h := &Host{Name: name, Addr: addr, w: w, no: len(w.hosts), doors: map[uint16]*door{}, grams: map[uint16]*grams{}, port: 32768,
		Sends: 1 << 16, Torn: 0.1}
	w.hosts = append(w.hosts, h)
	w.at[addr] = h
	var to []*Way
	for i := range w.hosts {
		if i < h.no {
			y := w.Default
			w.ways[i] = append(w.ways[i], &y)
		}
		y := w.Default
		to = append(to, &y)
	}
	w.ways = append(w.ways, to)
	return h
}

// Up tells whether a process runs on it, be it stopped.
func (h *Host) Up() bool { return h.up }

// Stopped tells whether the process gets no turn.
func (h *Host) Stopped() bool { return h.stopped }

// Lives counts the processes that there have been.
func (h *Host) Lives() int { return h.life }

// turn has the process of a life do something, if that still runs: later, if it is stopped now.
func (h *Host) turn(life int, f func()) {
	switch {
	case h.life != life || !h.up:
	case h.stopped:
		h.held = append(h.held, func() { h.turn(life, f) })
	default:
		f()
	}
}

// After has the process that runs now do something after a span.
func (h *Host) After(span Micros, f func()) {
	life := h.life
	h.w.At(h.w.now+span, func() { h.turn(life, f) })
}

// Stop has the process get no turn until Go, as SIGSTOP has; what its kernel does goes on.
func (h *Host) Stop() {
	if h.up && !h.stopped {
		h.stopped = true
		h.w.Note('s', uint64(h.no))
	}
}

// Go ends Stop.
func (h *Host) Go() {
	if !h.stopped {
		return
	}
	h.stopped = false
	h.w.Note('g', uint64(h.no))
	held := h.held
	h.held = nil
	for _, f := range held {
		h.w.At(h.w.now, f)
	}
}

// Kill ends the process outright: its connections are reset.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	h.w.Note('k', uint64(h.no))
	h.up, h.stopped, h.held = false, false, nil
	h.doors, h.grams = map[uint16]*door{}, map[uint16]*grams{}
	ends := h.ends
	h.ends = nil
	for _, e := range ends {
		e.reset(false)
	}
}

// Gone has the machine be off the network, silently, or on it again. Its process does not hear of it.
func (h *Host) Gone(gone bool) {
	h.gone = gone
	h.w.Note('o', uint64(h.no))
}

// Away tells whether the machine is off the network.
func (h *Host) Away() bool { return h.gone }

// Start begins a new process on the machine, and gives its ground.
func (h *Host) Start() *Ground {
	h.Kill()
	h.life++
	h.up = true
	h.w.Note('b', uint64(h.no), uint64(h.life))
	return &Ground{h: h, life: h.life}
}

// cut tells whether nothing gets from one machine to another.
func (w *World) cut(from, to *Host) bool { return from.gone || to.gone || w.Way(from, to).Cut }
