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

// checkLine tells whether a line's names are of this deployment.
func (d *Simulation) checkLine(l faults.Line) error {
	for _, n := range l.Targets {
		ok := d.machineInSlot(n) != nil
		switch l.Kind {
		case faults.Purge, faults.HotObject:
			_, is := d.object(n)
			ok = is || l.Kind == faults.Purge && strings.HasPrefix(n, "group-")
		case faults.Shutdown, faults.ExhaustDescriptors:
			ok = d.routerNamed(n) != nil
		case faults.Crash, faults.Pause, faults.Partition, faults.ClockJump, faults.Cut, faults.Loss, faults.Throttle, faults.Reset:
			ok = ok || d.routerNamed(n) != nil
		}
		if !ok {
			return fmt.Errorf("%w: %s", errName, n)
		}
	}
	return nil
}

func (d *Simulation) routerNamed(name string) *router {
	for _, r := range d.routers {
		if r.host.Name == name {
			return r
		}
	}
	return nil
}

func (d *Simulation) object(name string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(name, "object-%d", &n); err != nil || n < 0 || n >= d.plan.Objects {
		return 0, false
	}
	return n, true
}

func (d *Simulation) host(name string) *network.Host {
	if r := d.routerNamed(name); r != nil {
		return r.host
	}
	return d.machineInSlot(name).host
}

// apply carries a line out, and has its end come.
func (d *Simulation) apply(l faults.Line) {
	after := func(f func()) { d.world.At(d.world.Now()+l.Span, f) }
	during := func(n *nested) {
		*n++
		after(func() { *n-- })
	}
	var m *machine
	var r *router
	if len(l.Targets) == 1 {
		m, r = d.machineInSlot(l.Targets[0]), d.routerNamed(l.Targets[0])
	}
	done := true
	switch l.Kind {
	case faults.Drain, faults.Remove, faults.Replace:
		done = m.replaced(l)
	case faults.Purge:
		var group int
		if n, ok := d.object(l.Targets[0]); ok {
			d.issue(n, 0)
		} else {
			_, _ = fmt.Sscanf(l.Targets[0], "group-%d", &group)
			d.issue(-1, group)
		}
	case faults.Crash:
		if r != nil {
			done = r.dies(l.Span)
		} else {
			done = m.dies(l.Span)
		}
	case faults.Shutdown:
		done = r.leaves(l.Span)
	case faults.Pause:
		h := d.host(l.Targets[0])
		if done = h.Running() && !h.Paused(); done {
			h.Pause()
			r.spare(1)
			after(func() {
				r.spare(-1)
				h.Resume()
			})
		}
	case faults.Partition:
		h := d.host(l.Targets[0])
		if done = !h.Partitioned(); done {
			h.SetPartitioned(true)
			r.spare(1)
			r.parted(invariants.RouterPartitioned)
			after(func() {
				h.SetPartitioned(false)
				d.world.At(d.world.Now()+tail, func() {
					r.parted(invariants.RouterRejoined)
					r.spare(-1)
				})
			})
		}
	case faults.Slow:
		m.factor = max(m.factor, l.Magnitude)
		m.slow++
		after(func() {
			if m.slow--; m.slow == 0 {
				m.factor = 0
			}
		})
	case faults.Reject:
		during(&m.refuses)
	case faults.Fail:
		during(&m.fails)
	case faults.Truncate:
		during(&m.halves)
	case faults.HalfClose:
		during(&m.finishes)
	case faults.HangConnects:
		m.host.HangConnects = true
		after(func() { m.host.HangConnects = false })
	case faults.ExhaustDescriptors:
		if done = r.host.MaxDescriptors == 0; done {
			r.host.MaxDescriptors = r.host.Connections() + 1
			r.spare(1)
			after(func() {
				r.host.MaxDescriptors = 0
				r.spare(-1)
			})
		}
	case faults.ClockJump:
		h, life := d.host(l.Targets[0]), d.host(l.Targets[0]).Incarnation()
		h.ClockSkew += l.Span
		d.world.At(d.world.Now()+max(l.Span, -l.Span), func() {
			if h.Incarnation() == life {
				h.ClockSkew -= l.Span
			}
		})
	case faults.Cut:
		y := d.world.Link(d.host(l.Targets[0]), d.host(l.Targets[1]))
		if done = !y.Cut; done {
			y.Cut = true
			after(func() { y.Cut = false })
		}
	case faults.Loss:
		y := d.world.Link(d.host(l.Targets[0]), d.host(l.Targets[1]))
		y.LossShare, y.DuplicateShare = l.Magnitude, l.Magnitude
		after(func() { y.LossShare, y.DuplicateShare = 0, 0 })
	case faults.Throttle:
		a, b := d.host(l.Targets[0]), d.host(l.Targets[1])
		y := d.world.Link(a, b)
		if done = y.BytesPerMillisecond == 0; done {
			y.BytesPerMillisecond, y.ConnectDelay, a.SplitShare, a.SendBuffer = 20, opensLate, 0.9, 512
			after(func() { y.BytesPerMillisecond, y.ConnectDelay, a.SplitShare, a.SendBuffer = 0, 0, 0.1, 1<<16 })
		}
	case faults.Reset:
		a, b := d.host(l.Targets[0]), d.host(l.Targets[1])
		d.world.Reset(a, b, int(l.Magnitude), func(unread, unsent int, anew bool) bool {
			switch l.Variant {
			case "new":
				return anew
			case "idle":
				return !anew && unread+unsent == 0
			}
			return !anew
		})
	case faults.DelayDiscovery:
		d.discovery.delayedUntil = max(d.discovery.delayedUntil, d.world.Now()+l.Span)
	case faults.FragmentDiscovery:
		during(&d.discovery.fragments)
	case faults.DiscoveryOutage:
		h := d.discovery.host
		if done = !h.Partitioned(); done {
			h.SetPartitioned(true)
			d.observe(invariants.Event{Kind: invariants.DiscoveryDown})
			after(func() {
				h.SetPartitioned(false)
				d.observe(invariants.Event{Kind: invariants.DiscoveryUp})
			})
		}
	case faults.LoadSurge:
		d.clients.times = max(l.Magnitude, 1)
		during(&d.clients.crowd)
	case faults.HotObject:
		d.clients.object, _ = d.object(l.Targets[0])
		during(&d.clients.hot)
	case faults.LargeWrites:
		during(&d.clients.heavy)
	case faults.ClientsCancel:
		d.clients.share = l.Magnitude
		during(&d.clients.leave)
	}
	if done {
		d.world.Record('F', uint64(l.Kind))
		d.history.began(l)
	}
}

// spare has the rules know that a router can't answer, for a fault that is not its own.
func (r *router) spare(more int) {
	if r == nil {
		return
	}
	if r.spares += more; r.spares == 1 && more > 0 {
		r.d.observe(invariants.Event{Kind: invariants.RouterPaused, Router: r.id()})
	} else if r.spares == 0 {
		r.d.observe(invariants.Event{Kind: invariants.RouterResumed, Router: r.id()})
	}
}

// parted tells the rules that a router's network goes or is back.
func (r *router) parted(what invariants.EventKind) {
	if r != nil {
		r.d.observe(invariants.Event{Kind: what, Router: r.id()})
	}
}

func (m *machine) list(state string) {
	m.d.discovery.postEndpoints(false, []string{m.line(state)}, []invariants.Event{{Kind: invariants.EndpointListed, Machine: m.id, Usable: state == "up", EffectiveAt: m.boot}})
}

// replaced drains, removes or replaces a machine; what has started anew is cold.
func (m *machine) replaced(l faults.Line) bool {
	d := m.d
	if m.taken || !m.alive || m.kind == "origin" {
		return false
	}
	m.taken = true
	switch l.Kind {
	case faults.Drain:
		m.list("draining")
		d.world.At(d.world.Now()+l.Span, func() {
			m.die()
			d.world.At(d.world.Now()+500*ms, m.back)
		})
	case faults.Remove:
		m.list("removed")
		d.world.At(d.world.Now()+min(l.Span, 600*ms), m.die)
		d.world.At(d.world.Now()+max(l.Span, 700*ms), m.back)
	default:
		was := m.line("removed")
		gone := invariants.Event{Kind: invariants.EndpointListed, Machine: m.id}
		m.die()
		m.name = fmt.Sprintf("%s-n%d", m.slot, d.nextID)
		d.identify(m, d.checker.Settings())
		m.rise(true)
		d.world.At(d.world.Now()+listLag, func() {
			d.discovery.postEndpoints(false, []string{was, m.line("up")}, []invariants.Event{gone, {Kind: invariants.EndpointListed, Machine: m.id, Usable: true, EffectiveAt: m.boot}})
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
	d.world.At(d.world.Now()+span, m.back)
	return true
}

// back has a machine start anew, and be told of a little later.
func (m *machine) back() {
	m.rise(m.kind != "origin")
	m.d.world.At(m.d.world.Now()+listLag, func() {
		m.list("up")
		m.taken = false
	})
}

// dies kills a router's process; a new one follows.
func (r *router) dies(span Micros) bool {
	if r.taken || !r.host.Running() {
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
	d.observe(invariants.Event{Kind: invariants.RouterDied, Router: r.id()})
	d.world.At(d.world.Now()+span, func() {
		if err := r.start(); err != nil {
			d.problem("a router did not start: %v", err)
		}
		r.taken = false
	})
}

// leaves asks a router to end, and kills it at the last.
func (r *router) leaves(span Micros) bool {
	d := r.d
	if r.taken || !r.host.Running() {
		return false
	}
	r.taken = true
	life := r.life
	var step func() bool
	r.host.After(0, func() { step = r.running.BeginShutdown() })
	d.world.At(d.world.Now()+300*ms, func() { r.takes = false })
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
	d.world.At(d.world.Now()+termMost, end)
	return true
}
