package network

import (
	"net/netip"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

// Runtime is what one process stands on.
type Runtime struct {
	host        *Host
	incarnation int
}

// Now is the machine's time; it does not go by the wall clock.
func (g *Runtime) Now() time.Time { return Epoch.Add(duration(g.host.world.now)) }

// WallTime is the machine's wall clock.
func (g *Runtime) WallTime() time.Time {
	return Epoch.Add(duration(g.host.world.now + g.host.ClockSkew))
}

func duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// Listen opens a door.
func (g *Runtime) Listen(address string, d *transport.Listener) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if g.host.listeners[at.Port()] != nil {
		return nil, errAddressInUse
	}
	mine := &listener{d, g.incarnation}
	g.host.listeners[at.Port()] = mine
	return func() {
		if g.host.listeners[at.Port()] == mine {
			delete(g.host.listeners, at.Port())
		}
	}, nil
}

// Dial begins a connect.
func (g *Runtime) Dial(address string, c *transport.Conn) (func(), error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	s, err := g.host.dial(to, c)
	if err != nil {
		return nil, err
	}
	return s.Close, nil
}

// Random draws from the world's chance.
func (g *Runtime) Random(b []byte) {
	for i := range b {
		b[i] = byte(g.host.world.Random.Uint64() >> 32)
	}
}

// Stop ends all connections of the process, and its doors.
func (g *Runtime) Stop() {
	if g.host.incarnation == g.incarnation {
		for _, s := range append([]*socket(nil), g.host.sockets...) {
			s.close()
		}
		g.host.listeners = map[uint16]*listener{}
	}
}

// loop are calls on virtual time.
type loop struct {
	runtime   *Runtime
	step      func() time.Duration
	onEnd     func()
	at        Micros
	scheduled int
	running   bool
	woken     bool
	stopped   bool
}

// StartLoop calls f again and again.
func (g *Runtime) StartLoop(f func() time.Duration, ended func()) transport.Loop {
	t := &loop{runtime: g, step: f, onEnd: ended}
	t.schedule(g.host.world.now)
	return t
}

func (t *loop) schedule(at Micros) {
	t.scheduled++
	t.at = at
	no := t.scheduled
	t.runtime.host.world.At(at, func() {
		if t.scheduled == no {
			t.runtime.host.run(t.runtime.incarnation, func() {
				if t.scheduled == no {
					t.run()
				}
			})
		}
	})
}

func (t *loop) run() {
	if t.stopped {
		return
	}
	t.running, t.woken = true, false
	next := t.step()
	if t.running = false; t.woken {
		next = 0
	}
	if !t.stopped {
		t.schedule(t.runtime.host.world.now + max(Micros(next.Microseconds()), 1))
	}
}

func (t *loop) Wake() {
	switch {
	case t.stopped:
	case t.running:
		t.woken = true
	case t.at > t.runtime.host.world.now:
		t.schedule(t.runtime.host.world.now)
	}
}

func (t *loop) Stop(time.Duration) {
	if !t.stopped {
		t.stopped = true
		t.onEnd()
	}
}

// datagram is a datagram that has come.
type datagram struct {
	payload []byte
	from    netip.AddrPort
}

type packetConn struct {
	host        *Host
	local       netip.AddrPort
	queue       []datagram
	queuedBytes int
}

const maxQueuedDatagramBytes = 1 << 17

// ListenPacket opens an address for datagrams.
func (g *Runtime) ListenPacket(address netip.AddrPort) (transport.PacketConn, error) {
	if g.host.packetConns[address.Port()] != nil {
		return nil, errAddressInUse
	}
	d := &packetConn{host: g.host, local: netip.AddrPortFrom(g.host.Addr, address.Port())}
	g.host.packetConns[address.Port()] = d
	return d, nil
}

func (d *packetConn) LocalAddr() netip.AddrPort { return d.local }

func (d *packetConn) Close() {
	if d.host.packetConns[d.local.Port()] == d {
		delete(d.host.packetConns, d.local.Port())
	}
}

// Send: what is lost on the way is lost, some of it comes twice, and jitter has it come in another order.
func (d *packetConn) Send(b []byte, address netip.AddrPort) bool {
	w := d.host.world
	to := w.byAddress[address.Addr()]
	if to == nil {
		return true
	}
	link := w.Link(d.host, to)
	if link.LossShare > 0 && w.Random.Float64() < link.LossShare {
		return true
	}
	times := 1
	if link.DuplicateShare > 0 && w.Random.Float64() < link.DuplicateShare {
		times = 2
	}
	held := append([]byte(nil), b...)
	for range times {
		delay := w.transit(link, len(b))
		if link.LossShare > 0 { // a bad way also brings them in another order
			delay += Micros(w.Random.IntN(int(20 * clock.Millisecond)))
		}
		w.At(w.now+delay, func() {
			in := to.packetConns[address.Port()]
			if w.cut(d.host, to) || in == nil || in.queuedBytes+len(held) > maxQueuedDatagramBytes {
				return
			}
			w.Record('u', uint64(d.host.index), uint64(to.index), uint64(len(held)))
			in.queue, in.queuedBytes = append(in.queue, datagram{held, d.local}), in.queuedBytes+len(held)
		})
	}
	return true
}

func (d *packetConn) Receive(room []byte) (int, netip.AddrPort, bool) {
	if len(d.queue) == 0 {
		return 0, netip.AddrPort{}, false
	}
	x := d.queue[0]
	d.queue = d.queue[1:]
	d.queuedBytes -= len(x.payload)
	return copy(room, x.payload), x.from, true
}
