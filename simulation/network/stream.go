package network

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	segment  = 1 << 14 // bytes on the way at a time
	receives = 1 << 16 // bytes that wait to be read at most
	again    = 200 * clock.Millisecond
	dialed   = clock.Second // until a connect is tried again
)

type door struct {
	d    *transport.Listener
	life int
}

type standing uint8

const (
	connecting standing = iota
	open
	closing // by its owner: what it has sent still goes
	dead
)

// end is one end of a connection, with what a kernel holds of it.
type end struct {
	h        *Host
	life     int
	conn     *transport.Conn // nil: its process has not taken it in yet
	peer     *end            // nil: it never stood
	remote   netip.AddrPort
	is       standing
	rest     []byte // given, and not taken by the kernel
	snd      []byte // taken, and not at the other side
	rcv      []byte // at this side, and not read
	flying   bool
	reading  bool
	finish   bool // no more is written
	finished bool // and the other side was told
	ended    bool // the other side writes no more
	told     bool // the owner, of the end
	given    int64
	stamps   []stamp // of what was given
	closed   Micros  // by its owner; 0: not
}

// stamp says when the bytes from a place on were given.
type stamp struct {
	from int64
	at   Micros
}

// Written tells when the other side gave the byte at a place of what comes over a connection; 0: not known. Places are asked for in their
// order.
func Written(wire transport.Socket, place int64) Micros {
	e, ok := wire.(*end)
	if !ok || e.peer == nil {
		return 0
	}
	p := e.peer
	for len(p.stamps) > 1 && p.stamps[1].from <= place {
		p.stamps = p.stamps[1:]
	}
	if len(p.stamps) == 0 {
		return 0
	}
	return p.stamps[0].at
}

// Shut tells when the other side's owner ended a connection; 0: it did not.
func Shut(wire transport.Socket) Micros {
	if e, ok := wire.(*end); ok && e.peer != nil {
		return e.peer.closed
	}
	return 0
}

func (h *Host) enter(e *end) { h.ends = append(h.ends, e) }

func (h *Host) leave(e *end) {
	for i, o := range h.ends {
		if o == e {
			h.ends = append(h.ends[:i], h.ends[i+1:]...)
			return
		}
	}
}

func (h *Host) full() bool { return h.Most > 0 && len(h.ends)+len(h.doors) >= h.Most }

// dial begins a connect.
func (h *Host) dial(to netip.AddrPort, c *transport.Conn) (*end, error) {
	if h.full() {
		return nil, syscall.EMFILE
	}
	e := &end{h: h, life: h.life, conn: c, remote: to}
	h.enter(e)
	e.knock()
	return e, nil
}

func (e *end) knock() {
	w := e.h.w
	to := w.at[e.remote.Addr()]
	if to == nil {
		w.At(w.now+clock.Millisecond, func() { e.fail(syscall.EHOSTUNREACH) })
		return
	}
	way := w.Way(e.h, to)
	w.At(w.now+way.Opens+w.takes(way, 60), func() {
		switch d := to.doors[e.remote.Port()]; {
		case e.is != connecting:
		case w.cut(e.h, to) || to.Hang:
			w.At(w.now+dialed, func() {
				if e.is == connecting {
					e.knock()
				}
			})
		case d == nil:
			w.Note('r', uint64(e.h.no), uint64(to.no))
			e.over(to, func() { e.fail(syscall.ECONNREFUSED) })
		default:
			w.Note('c', uint64(e.h.no), uint64(to.no))
			e.peer = &end{h: to, life: to.life, peer: e, is: open, remote: netip.AddrPortFrom(e.h.Addr, e.h.next())}
			p := e.peer
			to.enter(p)
			life := to.life
			w.At(w.now, func() { to.turn(life, func() { p.arrive(d.d) }) })
			e.over(to, e.stand)
		}
	})
}

func (h *Host) next() uint16 {
	if h.port++; h.port < 32768 {
		h.port = 32768
	}
	return h.port
}

// over has something happen at this end once a packet from the other machine has come, however long that takes.
func (e *end) over(from *Host, f func()) {
	w := e.h.w
	w.At(w.now+w.takes(w.Way(from, e.h), 60), func() {
		switch {
		case e.is == dead:
		case w.cut(from, e.h):
			w.At(w.now+again, func() { e.over(from, f) })
		default:
			f()
		}
	})
}

// arrive has the process at a door take a connection in.
func (p *end) arrive(d *transport.Listener) {
	if p.is == dead {
		return
	}
	if p.h.Most > 0 && len(p.h.ends)+len(p.h.doors) > p.h.Most { // its process has no descriptor for it: it waits
		p.h.After(5*clock.Millisecond, func() { p.arrive(d) })
		return
	}
	if !d.Admit(func(c *transport.Conn) (transport.Socket, error) { p.conn = c; return p, nil }) {
		p.conn = nil
		p.close()
		return
	}
	p.read()
	if p.ended {
		p.end()
	}
}

// stand has a connect come up.
func (e *end) stand() {
	if e.is != connecting {
		return
	}
	e.is = open
	e.h.w.At(e.h.w.now, func() {
		e.h.turn(e.life, func() {
			if e.is != open || !e.conn.HandleConnected(func() (transport.Socket, error) { return e, nil }) {
				return
			}
			if e.read(); e.ended {
				e.end()
			}
		})
	})
}

// fill has the kernel take what it has room for.
func (e *end) fill() {
	if n := min(len(e.rest), e.h.Sends-len(e.snd)); n > 0 && (e.is == open || e.is == closing) {
		e.snd = append(e.snd, e.rest[:n]...)
		e.rest = e.rest[n:]
		e.conn.HandleWritten(n)
	}
}

// pump sends the next segment, or that there is nothing more.
func (e *end) pump() {
	if e.flying || e.is != open && e.is != closing {
		return
	}
	w, p := e.h.w, e.peer
	if len(e.snd) == 0 {
		if e.finish && !e.finished {
			e.finished = true
			p.over(e.h, p.endsHere)
		}
		return
	}
	n := min(len(e.snd), receives-len(p.rcv), segment)
	if n <= 0 { // until the other side reads
		return
	}
	if e.h.Torn > 0 && w.Chance.Float64() < e.h.Torn {
		n = 1 + w.Chance.IntN(n)
	}
	e.flying = true
	w.At(w.now+w.takes(w.Way(e.h, p.h), n), func() { e.land(n) })
}

// land has a segment arrive.
func (e *end) land(n int) {
	w, p := e.h.w, e.peer
	switch {
	case e.is == dead:
		return
	case w.cut(e.h, p.h):
		w.At(w.now+again, func() { e.land(n) })
		return
	case p.is == dead || p.is == closing && p.told: // nobody is there any more
		e.over(p.h, func() { e.fail(syscall.ECONNRESET) })
		return
	}
	e.flying = false
	if p.is == connecting {
		p.stand()
	}
	w.Note('d', uint64(e.h.no), uint64(p.h.no), xxhash.Sum64(e.snd[:n]))
	p.rcv = append(p.rcv, e.snd[:n]...)
	e.snd = e.snd[n:]
	e.fill()
	p.read()
	e.pump()
}

// read has the process read what has come.
func (e *end) read() {
	if e.reading || e.conn == nil || !e.conn.Connected() || len(e.rcv) == 0 || e.is != open {
		return
	}
	e.reading = true
	w := e.h.w
	w.At(w.now, func() {
		e.h.turn(e.life, func() {
			e.reading = false
			if e.is != open || len(e.rcv) == 0 {
				return
			}
			b := e.rcv
			e.rcv = nil
			e.conn.HandleData(b)
			if e.is == open {
				e.peer.pump()
				if e.ended {
					e.end()
				}
			}
		})
	})
}

// endsHere hears that the other side writes no more.
func (e *end) endsHere() {
	e.ended = true
	e.end()
}

// end tells the owner that the other side has ended, once all that came before is read.
func (e *end) end() {
	if e.conn == nil || !e.conn.Connected() || len(e.rcv) > 0 || e.told || e.is != open {
		return
	}
	e.h.w.At(e.h.w.now, func() {
		e.h.turn(e.life, func() {
			if e.told || e.is != open || len(e.rcv) > 0 {
				return
			}
			e.close() // the poller closes what the other side has ended
			e.tell(io.EOF)
		})
	})
}

// tell tells the owner of the end, once.
func (e *end) tell(err error) {
	if e.conn == nil || e.told {
		return
	}
	e.told = true
	e.h.w.Note('e', uint64(e.h.no), uint64(e.remote.Port()))
	e.conn.HandleClosed(err)
}

// fail ends this end by what came from the network.
func (e *end) fail(err error) {
	if e.is == dead {
		return
	}
	e.is = dead
	e.h.leave(e)
	w := e.h.w
	w.At(w.now, func() { e.h.turn(e.life, func() { e.tell(err) }) })
}

// reset ends this end and tells the other one in the rudest way; the owner hears of it if it is to.
func (e *end) reset(tell bool) {
	if e.is == dead {
		return
	}
	if tell {
		e.fail(syscall.ECONNRESET)
	} else {
		e.is = dead
		e.h.leave(e)
	}
	if p := e.peer; p != nil && p.is != dead {
		p.over(e.h, func() { p.fail(syscall.ECONNRESET) })
	}
}

// close ends this end by its owner's will.
func (e *end) close() {
	switch {
	case e.is == dead || e.is == closing:
		return
	case e.is == connecting || len(e.rcv) > 0:
		e.reset(false)
	default:
		e.is, e.finish, e.rest = closing, true, nil
		e.h.leave(e)
		e.pump()
	}
}

// Close ends the connection by its owner's will. As with a poller, the owner's side hears of it later.
func (e *end) Close() {
	e.closed = e.h.w.now
	e.close()
	e.h.w.At(e.h.w.now, func() { e.h.turn(e.life, func() { e.tell(net.ErrClosed) }) })
}

// Send takes bytes as a kernel does: as many as there is room for, the rest later.
func (e *end) Send(parts [][]byte, waits bool) (gone int) {
	if e.is == dead || e.is == closing || e.finish {
		return 0
	}
	e.stamps = append(e.stamps, stamp{e.given, e.h.w.now})
	for _, p := range parts {
		e.given += int64(len(p))
		if e.is == open && len(e.rest) == 0 {
			n := max(min(len(p), e.h.Sends-len(e.snd)), 0) // its room may be less than it was
			e.snd = append(e.snd, p[:n]...)
			p, gone = p[n:], gone+n
		}
		e.rest = append(e.rest, p...)
	}
	e.pump()
	return gone
}

func (e *end) Peek(b []byte) (int, bool) { return copy(b, e.rcv), e.ended && len(e.rcv) == 0 }

func (e *end) String() string { return e.remote.String() }

// Half has no more written on a connection that is read on.
func Half(wire transport.Socket) {
	if e, ok := wire.(*end); ok && e.is == open {
		e.finish = true
		e.pump()
	}
}

// Reset ends connections between two machines, up to a number of them, in a mood: those with something under way, idle ones, or new ones.
func (w *World) Reset(a, b *Host, most int, which func(unread, unsent int, new bool) bool) (n int) {
	for _, e := range append([]*end(nil), a.ends...) {
		if e.peer == nil || e.peer.h != b || n >= most || e.is == dead {
			continue
		}
		if which(len(e.rcv)+len(e.peer.rcv), len(e.snd)+len(e.rest)+len(e.peer.snd), e.is == connecting) {
			e.peer.reset(true)
			e.fail(syscall.ECONNRESET)
			n++
		}
	}
	return n
}

// Open counts the connections of a machine's process.
func (h *Host) Open() int { return len(h.ends) }

var errTaken = errors.New("address in use")
