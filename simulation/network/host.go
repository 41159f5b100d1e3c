package network

import "net/netip"

// Defaults of the fields of Host.
const (
	DefaultSendBuffer = 1 << 16 // bytes
	DefaultSplitShare = 0.1
)

const firstPort = 32768 // lowest local port of outgoing connections

// Host is a machine on the network. At most one process runs on it at a time.
type Host struct {
	Name           string
	Addr           netip.Addr
	ClockSkew      Micros  // offset of the wall clock from the virtual time
	HangConnects   bool    // connects to the host are neither accepted nor refused
	MaxDescriptors int     // limit on the number of connections and listeners; 0: unlimited
	SendBuffer     int     // size of a connection's send buffer, in bytes
	SplitShare     float64 // share of segments of which only a random part is sent at first

	world       *World
	index       int // in World.hosts
	incarnation int // number of processes started so far
	running     bool
	paused      bool
	partitioned bool
	deferred    []func()               // calls into the paused process, made when it is resumed
	listeners   map[uint16]*listener   // by port
	packetConns map[uint16]*packetConn // by port
	sockets     []*socket              // connecting or open, in the order of their creation
	lastPort    uint16                 // last port given to an outgoing connection
}

// AddHost adds a host without a process. Its links to and from the other hosts, and to itself, are copies of
// DefaultLink.
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

// Partitioned reports whether the host is cut off from the network.
func (h *Host) Partitioned() bool { return h.partitioned }

// Incarnation returns the number of processes started so far on the host.
func (h *Host) Incarnation() int { return h.incarnation }

// Connections returns the number of connections of the host's process.
func (h *Host) Connections() int { return len(h.sockets) }

// Start starts a new process on the host and returns its runtime. If a process is still running, it is killed first.
func (h *Host) Start() *Runtime {
	h.Kill()
	h.incarnation++
	h.running = true
	h.world.Record('b', uint64(h.index), uint64(h.incarnation))
	return &Runtime{host: h, incarnation: h.incarnation}
}

// Kill kills the process, if one is running. Its connections are reset; it is not notified.
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

// Pause suspends the process until Resume, like SIGSTOP. The host's kernel continues to establish connections and to
// receive data.
func (h *Host) Pause() {
	if h.running && !h.paused {
		h.paused = true
		h.world.Record('s', uint64(h.index))
	}
}

// Resume continues a paused process, like SIGCONT. The deferred calls are made in their order at the current time.
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

// SetPartitioned cuts the host off from the network or reconnects it. No host is notified: connections stay open, and
// their packets are sent again until they arrive.
func (h *Host) SetPartitioned(partitioned bool) {
	h.partitioned = partitioned
	h.world.Record('o', uint64(h.index))
}

// After calls f in the current process after a delay. The call is dropped if the process has ended by then, and
// deferred if it is paused.
func (h *Host) After(delay Micros, f func()) {
	incarnation := h.incarnation
	h.world.after(delay, func() { h.run(incarnation, f) })
}

// run calls f if the process of an incarnation is still running. If it is paused, the call is deferred until Resume.
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
	for i, other := range h.sockets {
		if other == s {
			h.sockets = append(h.sockets[:i], h.sockets[i+1:]...)
			return
		}
	}
}

// descriptors returns the number of descriptors that count towards MaxDescriptors. Datagram sockets do not.
func (h *Host) descriptors() int { return len(h.sockets) + len(h.listeners) }

func (h *Host) descriptorsExhausted() bool {
	return h.MaxDescriptors > 0 && h.descriptors() >= h.MaxDescriptors
}

// nextPort returns the local port of the next outgoing connection. Ports are reused after the highest one.
func (h *Host) nextPort() uint16 {
	h.lastPort++
	if h.lastPort < firstPort {
		h.lastPort = firstPort
	}
	return h.lastPort
}
