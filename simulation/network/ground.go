package network

import (
	"net/netip"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

// Ground is what one process stands on.
type Ground struct {
	h    *Host
	life int
}

// Now is the machine's time; it does not go by the wall clock.
func (g *Ground) Now() time.Time { return Epoch.Add(span(g.h.w.now)) }

// WallTime is the machine's wall clock.
func (g *Ground) WallTime() time.Time { return Epoch.Add(span(g.h.w.now + g.h.Skew)) }

func span(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// Listen opens a door.
func (g *Ground) Listen(address string, d *transport.Listener) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if g.h.doors[at.Port()] != nil {
		return nil, errTaken
	}
	mine := &door{d, g.life}
	g.h.doors[at.Port()] = mine
	return func() {
		if g.h.doors[at.Port()] == mine {
			delete(g.h.doors, at.Port())
		}
	}, nil
}

// Dial begins a connect.
func (g *Ground) Dial(address string, c *transport.Conn) (func(), error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	e, err := g.h.dial(to, c)
	if err != nil {
		return nil, err
	}
	return e.Close, nil
}

// Random draws from the world's chance.
func (g *Ground) Random(b []byte) {
	for i := range b {
		b[i] = byte(g.h.w.Chance.Uint64() >> 32)
	}
}

// Stop ends all connections of the process, and its doors.
func (g *Ground) Stop() {
	if g.h.life == g.life {
		for _, e := range append([]*end(nil), g.h.ends...) {
			e.close()
		}
		g.h.doors = map[uint16]*door{}
	}
}

// turns are calls on virtual time.
type turns struct {
	g      *Ground
	f      func() time.Duration
	ended  func()
	at     Micros
	no     int
	inside bool
	rung   bool
	done   bool
}

// StartLoop calls f again and again.
func (g *Ground) StartLoop(f func() time.Duration, ended func()) transport.Loop {
	t := &turns{g: g, f: f, ended: ended}
	t.set(g.h.w.now)
	return t
}

func (t *turns) set(at Micros) {
	t.no++
	t.at = at
	no := t.no
	t.g.h.w.At(at, func() {
		if t.no == no {
			t.g.h.turn(t.g.life, func() {
				if t.no == no {
					t.call()
				}
			})
		}
	})
}

func (t *turns) call() {
	if t.done {
		return
	}
	t.inside, t.rung = true, false
	next := t.f()
	if t.inside = false; t.rung {
		next = 0
	}
	if !t.done {
		t.set(t.g.h.w.now + max(Micros(next.Microseconds()), 1))
	}
}

func (t *turns) Wake() {
	switch {
	case t.done:
	case t.inside:
		t.rung = true
	case t.at > t.g.h.w.now:
		t.set(t.g.h.w.now)
	}
}

func (t *turns) Stop(time.Duration) {
	if !t.done {
		t.done = true
		t.ended()
	}
}

// gram is a datagram that has come.
type gram struct {
	b    []byte
	from netip.AddrPort
}

type grams struct {
	h     *Host
	at    netip.AddrPort
	in    []gram
	bytes int
}

const gramsHold = 1 << 17

// ListenPacket opens an address for datagrams.
func (g *Ground) ListenPacket(address netip.AddrPort) (transport.PacketConn, error) {
	if g.h.grams[address.Port()] != nil {
		return nil, errTaken
	}
	d := &grams{h: g.h, at: netip.AddrPortFrom(g.h.Addr, address.Port())}
	g.h.grams[address.Port()] = d
	return d, nil
}

func (d *grams) LocalAddr() netip.AddrPort { return d.at }

func (d *grams) Close() {
	if d.h.grams[d.at.Port()] == d {
		delete(d.h.grams, d.at.Port())
	}
}

// Send: what is lost on the way is lost, some of it comes twice, and jitter has it come in another order.
func (d *grams) Send(b []byte, address netip.AddrPort) bool {
	w := d.h.w
	to := w.at[address.Addr()]
	if to == nil {
		return true
	}
	y := w.Way(d.h, to)
	if y.Loss > 0 && w.Chance.Float64() < y.Loss {
		return true
	}
	times := 1
	if y.Double > 0 && w.Chance.Float64() < y.Double {
		times = 2
	}
	held := append([]byte(nil), b...)
	for range times {
		delay := w.takes(y, len(b))
		if y.Loss > 0 { // a bad way also brings them in another order
			delay += Micros(w.Chance.IntN(int(20 * clock.Millisecond)))
		}
		w.At(w.now+delay, func() {
			in := to.grams[address.Port()]
			if w.cut(d.h, to) || in == nil || in.bytes+len(held) > gramsHold {
				return
			}
			w.Note('u', uint64(d.h.no), uint64(to.no), uint64(len(held)))
			in.in, in.bytes = append(in.in, gram{held, d.at}), in.bytes+len(held)
		})
	}
	return true
}

func (d *grams) Receive(room []byte) (int, netip.AddrPort, bool) {
	if len(d.in) == 0 {
		return 0, netip.AddrPort{}, false
	}
	x := d.in[0]
	d.in = d.in[1:]
	d.bytes -= len(x.b)
	return copy(room, x.b), x.from, true
}
