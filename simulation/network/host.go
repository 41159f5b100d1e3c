package network

import "net/netip"

// Defaults of a host.
const (
	DefaultSendBuffer = 1 << 16 // bytes
	DefaultSplitShare = 0.1
)

const firstPort = 32768 // of outgoing connections

// Host is a machine with at most one process on it.
type Host struct {
	Name           string
	Addr           netip.Addr
	ClockSkew      Micros  // of its wall clock
	HangConnects   bool    // connects to it are neither accepted nor refused
	MaxDescriptors int     // limit of connections and listeners; 0: unlimited
	SendBuffer     int     // size of a connection's send buffer, in bytes
	SplitShare     float64 // of segments that are sent only in part

	world       *World
	index       int
	incarnation int
	running     bool
	paused      bool
	partitioned bool
	deferred    []func() // calls of a paused process, made when it is resumed
	listeners   map[uint16]*listener
	packetConns map[uint16]*packetConn
	sockets     []*socket
	lastPort    uint16
}

// AddHost adds a host.
func (w *World) AddHost(name string, addr netip.Addr) *Host {
	h := &Host{
		Name:        name,
		Addr:        addr,
		SendBuffer:  DefaultSendBuffer,
		SplitShare:  DefaultSplitShare,
		world:       w,
		index:       len(w.hosts),
		listeners:   map[uint16]*listener{},
		packetConns: map[uint16]*packetConn{},
		lastPort:    firstPort,
	}
	w.hosts = append(w.hosts, h)
	w.byAddress[addr] = h
	var links []*Link
	for i := range w.hosts {
		if i < h.index {
			w.links[i] = append(w.links[i], w.newLink())
		}
		links = append(links, w.newLink())
	}
	w.links = append(w.links, links)
	return h
}

func (w *World) newLink() *Link {
	l := w.DefaultLink
	return &l
}

// Running reports whether a process runs on the host, paused or not.
func (h *Host) Running() bool { return h.running }

// Paused reports whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// Partitioned reports whether the host is off the network.
func (h *Host) Partitioned() bool { return h.partitioned }

// Incarnation returns the number of processes started so far.
func (h *Host) Incarnation() int { return h.incarnation }

// Connections returns the number of connections of the host's process.
func (h *Host) Connections() int { return len(h.sockets) }

// Start starts a new process on the host and returns its runtime. A process that still runs is killed.
func (h *Host) Start() *Runtime {
	h.Kill()
	h.incarnation++
	h.running = true
	h.world.Record('b', uint64(h.index), uint64(h.incarnation))
	return &Runtime{host: h, incarnation: h.incarnation}
}

// Kill kills the process. Its connections are reset.
func (h *Host) Kill() {
	if !h.running {
		return
	}
	h.world.Record('k', uint64(h.index))
	h.running = false
	h.paused = false
	h.deferred = nil
	h.listeners = map[uint16]*listener{}
	h.packetConns = map[uint16]*packetConn{}
	sockets := h.sockets
	h.sockets = nil
	for _, s := range sockets {
		s.reset(false)
	}
}

// Pause suspends the process until Resume, like SIGSTOP; its kernel continues.
func (h *Host) Pause() {
	if h.running && !h.paused {
		h.paused = true
		h.world.Record('s', uint64(h.index))
	}
}

// Resume continues a paused process, like SIGCONT.
func (h *Host) Resume() {
	if !h.paused {
		return
	}
	h.paused = false
	h.world.Record('g', uint64(h.index))
	deferred := h.deferred
	h.deferred = nil
	for _, f := range deferred {
		h.world.At(h.world.now, f)
	}
}

// SetPartitioned takes the host off the network or puts it back on. Neither it nor other hosts are notified.
func (h *Host) SetPartitioned(partitioned bool) {
	h.partitioned = partitioned
	h.world.Record('o', uint64(h.index))
}

// After calls f in the current process after a span.
func (h *Host) After(span Micros, f func()) {
	incarnation := h.incarnation
	h.world.after(span, func() { h.run(incarnation, f) })
}

// run calls f in the process of an incarnation if that still runs. If it is paused, the call waits until it is resumed.
func (h *Host) run(incarnation int, f func()) {
	switch {
	case h.incarnation != incarnation || !h.running:
	case h.paused:
		h.deferred = append(h.deferred, func() { h.run(incarnation, f) })
	default:
		f()
	}
}

func (h *Host) addSocket(s *socket) { h.sockets = append(h.sockets, s) }

func (h *Host) removeSocket(s *socket) {
	for i, o := range h.sockets {
		if o == s {
			h.sockets = append(h.sockets[:i], h.sockets[i+1:]...)
			return
		}
	}
}

func (h *Host) descriptors() int { return len(h.sockets) + len(h.listeners) }

func (h *Host) descriptorsExhausted() bool {
	return h.MaxDescriptors > 0 && h.descriptors() >= h.MaxDescriptors
}

func (h *Host) nextPort() uint16 {
	h.lastPort++
	if h.lastPort < firstPort {
		h.lastPort = firstPort
	}
	return h.lastPort
}
