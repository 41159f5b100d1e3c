package system

import (
	"errors"
	"fmt"
	"strings"

	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	tail      = 500 * ms // until what was on its way meanwhile has been sent again
	opensLate = 250 * ms // connects over a narrow way; the settings allow 300 ms for one
)

var errName = errors.New("no such name here")

// check tells whether a line's names are of this deployment.
func (d *Drill) check(l faults.Line) error {
	for _, n := range l.Names {
		ok := d.slot(n) != nil
		switch l.Do {
		case faults.Purge, faults.Hot:
			_, is := d.object(n)
			ok = is || l.Do == faults.Purge && strings.HasPrefix(n, "group-")
		case faults.Leaves, faults.Full:
			ok = d.routerNamed(n) != nil
		case faults.Dies, faults.Stops, faults.Lost, faults.Leaps, faults.Cut, faults.Lossy, faults.Narrow, faults.Reset:
			ok = ok || d.routerNamed(n) != nil
		}
		if !ok {
			return fmt.Errorf("%w: %s", errName, n)
		}
	}
	return nil
}

func (d *Drill) routerNamed(name string) *router {
	for _, r := range d.routers {
		if r.host.Name == name {
			return r
		}
	}
	return nil
}

func (d *Drill) object(name string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(name, "object-%d", &n); err != nil || n < 0 || n >= d.plan.Objects {
		return 0, false
	}
	return n, true
}

func (d *Drill) host(name string) *network.Host {
	if r := d.routerNamed(name); r != nil {
		return r.host
	}
	return d.slot(name).host
}

// apply carries a line out, and has its end come.
func (d *Drill) apply(l faults.Line) {
	after := func(f func()) { d.w.At(d.w.Now()+l.Span, f) }
	during := func(n *nested) {
		*n++
		after(func() { *n-- })
	}
	var m *machine
	var r *router
	if len(l.Names) == 1 {
		m, r = d.slot(l.Names[0]), d.routerNamed(l.Names[0])
	}
	done := true
	switch l.Do {
	case faults.Drain, faults.Remove, faults.Replace:
		done = m.replaced(l)
	case faults.Purge:
		var group int
		if n, ok := d.object(l.Names[0]); ok {
			d.issue(n, 0)
		} else {
			_, _ = fmt.Sscanf(l.Names[0], "group-%d", &group)
			d.issue(-1, group)
		}
	case faults.Dies:
		if r != nil {
			done = r.dies(l.Span)
		} else {
			done = m.dies(l.Span)
		}
	case faults.Leaves:
		done = r.leaves(l.Span)
	case faults.Stops:
		h := d.host(l.Names[0])
		if done = h.Up() && !h.Stopped(); done {
			h.Stop()
			r.spare(1)
			after(func() {
				r.spare(-1)
				h.Go()
			})
		}
	case faults.Lost:
		h := d.host(l.Names[0])
		if done = !h.Away(); done {
			h.Gone(true)
			r.spare(1)
			r.parted(invariants.RouterPartitioned)
			after(func() {
				h.Gone(false)
				d.w.At(d.w.Now()+tail, func() {
					r.parted(invariants.RouterRejoined)
					r.spare(-1)
				})
			})
		}
	case faults.Slow:
		m.factor = max(m.factor, l.Size)
		m.slow++
		after(func() {
			if m.slow--; m.slow == 0 {
				m.factor = 0
			}
		})
	case faults.Refuses:
		during(&m.refuses)
	case faults.Fails:
		during(&m.fails)
	case faults.Halves:
		during(&m.halves)
	case faults.Finishes:
		during(&m.finishes)
	case faults.Hangs:
		m.host.Hang = true
		after(func() { m.host.Hang = false })
	case faults.Full:
		if done = r.host.Most == 0; done {
			r.host.Most = r.host.Open() + 1
			r.spare(1)
			after(func() {
				r.host.Most = 0
				r.spare(-1)
			})
		}
	case faults.Leaps:
		h, life := d.host(l.Names[0]), d.host(l.Names[0]).Lives()
		h.Skew += l.Span
		d.w.At(d.w.Now()+max(l.Span, -l.Span), func() {
			if h.Lives() == life {
				h.Skew -= l.Span
			}
		})
	case faults.Cut:
		y := d.w.Way(d.host(l.Names[0]), d.host(l.Names[1]))
		if done = !y.Cut; done {
			y.Cut = true
			after(func() { y.Cut = false })
		}
	case faults.Lossy:
		y := d.w.Way(d.host(l.Names[0]), d.host(l.Names[1]))
		y.Loss, y.Double = l.Size, l.Size
		after(func() { y.Loss, y.Double = 0, 0 })
	case faults.Narrow:
		a, b := d.host(l.Names[0]), d.host(l.Names[1])
		y := d.w.Way(a, b)
		if done = y.PerMs == 0; done {
			y.PerMs, y.Opens, a.Torn, a.Sends = 20, opensLate, 0.9, 512
			after(func() { y.PerMs, y.Opens, a.Torn, a.Sends = 0, 0, 0.1, 1<<16 })
		}
	case faults.Reset:
		a, b := d.host(l.Names[0]), d.host(l.Names[1])
		d.w.Reset(a, b, int(l.Size), func(unread, unsent int, anew bool) bool {
			switch l.Mood {
			case "new":
				return anew
			case "idle":
				return !anew && unread+unsent == 0
			}
			return !anew
		})
	case faults.Late:
		d.board.late = max(d.board.late, d.w.Now()+l.Span)
	case faults.Pieces:
		during(&d.board.pieces)
	case faults.Down:
		h := d.board.host
		if done = !h.Away(); done {
			h.Gone(true)
			d.tell(invariants.Event{Kind: invariants.DiscoveryDown})
			after(func() {
				h.Gone(false)
				d.tell(invariants.Event{Kind: invariants.DiscoveryUp})
			})
		}
	case faults.Crowd:
		d.clients.times = max(l.Size, 1)
		during(&d.clients.crowd)
	case faults.Hot:
		d.clients.object, _ = d.object(l.Names[0])
		during(&d.clients.hot)
	case faults.Heavy:
		during(&d.clients.heavy)
	case faults.Leave:
		d.clients.share = l.Size
		during(&d.clients.leave)
	}
	if done {
		d.w.Note('F', uint64(l.Do))
		d.story.began(l)
	}
}

// spare has the rules know that a router can't answer, for a fault that is not its own.
func (r *router) spare(more int) {
	if r == nil {
		return
	}
	if r.spares += more; r.spares == 1 && more > 0 {
		r.d.tell(invariants.Event{Kind: invariants.RouterPaused, Router: r.id()})
	} else if r.spares == 0 {
		r.d.tell(invariants.Event{Kind: invariants.RouterResumed, Router: r.id()})
	}
}

// parted tells the rules that a router's network goes or is back.
func (r *router) parted(what invariants.EventKind) {
	if r != nil {
		r.d.tell(invariants.Event{Kind: what, Router: r.id()})
	}
}

func (m *machine) list(state string) {
	m.d.board.roster(false, []string{m.line(state)}, []invariants.Event{{Kind: invariants.EndpointListed, Machine: m.id, Usable: state == "up", EffectiveAt: m.boot}})
}

// replaced drains, removes or replaces a machine; what has started anew is cold.
func (m *machine) replaced(l faults.Line) bool {
	d := m.d
	if m.taken || !m.alive || m.kind == "origin" {
		return false
	}
	m.taken = true
	switch l.Do {
	case faults.Drain:
		m.list("draining")
		d.w.At(d.w.Now()+l.Span, func() {
			m.die()
			d.w.At(d.w.Now()+500*ms, m.back)
		})
	case faults.Remove:
		m.list("removed")
		d.w.At(d.w.Now()+min(l.Span, 600*ms), m.die)
		d.w.At(d.w.Now()+max(l.Span, 700*ms), m.back)
	default:
		was := m.line("removed")
		gone := invariants.Event{Kind: invariants.EndpointListed, Machine: m.id}
		m.die()
		m.name = fmt.Sprintf("%s-n%d", m.slot, d.nextID)
		d.identify(m, d.watch.Settings())
		m.rise(true)
		d.w.At(d.w.Now()+listLag, func() {
			d.board.roster(false, []string{was, m.line("up")}, []invariants.Event{gone, {Kind: invariants.EndpointListed, Machine: m.id, Usable: true, EffectiveAt: m.boot}})
			m.taken = false
		})
	}
	return true
}

func (m *machine) dies(span Micros) bool {
	d := m.d
	if m.taken || !m.alive {
		return false
	}
	m.taken = true
	m.die()
	d.w.At(d.w.Now()+span, m.back)
	return true
}

// back has a machine start anew, and be told of a little later.
func (m *machine) back() {
	m.rise(m.kind != "origin")
	m.d.w.At(m.d.w.Now()+listLag, func() {
		m.list("up")
		m.taken = false
	})
}

// dies kills a router's process; a new one follows.
func (r *router) dies(span Micros) bool {
	if r.taken || !r.host.Up() {
		return false
	}
	r.taken = true
	r.kill(span)
	return true
}

func (r *router) kill(span Micros) {
	d := r.d
	r.takes = false
	r.host.Kill()
	d.tell(invariants.Event{Kind: invariants.RouterDied, Router: r.id()})
	d.w.At(d.w.Now()+span, func() {
		if err := r.start(); err != nil {
			d.fault("a router did not start: %v", err)
		}
		r.taken = false
	})
}

// leaves asks a router to end, and kills it at the last.
func (r *router) leaves(span Micros) bool {
	d := r.d
	if r.taken || !r.host.Up() {
		return false
	}
	r.taken = true
	life := r.life
	var step func() bool
	r.host.After(0, func() { step = r.running.BeginShutdown() })
	d.w.At(d.w.Now()+300*ms, func() { r.takes = false })
	over := false
	end := func() {
		if !over && r.life == life {
			over = true
			r.kill(span)
		}
	}
	var turn func()
	turn = func() {
		switch {
		case over || r.life != life:
		case step != nil && step():
			r.running.Stop()
			r.host.After(ms, end)
		default:
			r.host.After(5*ms, turn)
		}
	}
	r.host.After(5*ms, turn)
	d.w.At(d.w.Now()+termMost, end)
	return true
}
