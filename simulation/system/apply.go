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
	retransmitTail = 500 * ms // until what was on its way meanwhile has been sent again
	slowConnect    = 250 * ms // connects over a narrow way; the settings allow 300 ms for one
)

var errUnknownName = errors.New("no such name here")

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
			return fmt.Errorf("%w: %s", errUnknownName, n)
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
	during := func(n *overlaps) {
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
		done = m.replace(l)
	case faults.Purge:
		var group int
		if n, ok := d.object(l.Targets[0]); ok {
			d.issuePurge(n, 0)
		} else {
			_, _ = fmt.Sscanf(l.Targets[0], "group-%d", &group)
			d.issuePurge(-1, group)
		}
	case faults.Crash:
		if r != nil {
			done = r.crash(l.Span)
		} else {
			done = m.crash(l.Span)
		}
	case faults.Shutdown:
		done = r.shutDown(l.Span)
	case faults.Pause:
		h := d.host(l.Targets[0])
		if done = h.Running() && !h.Paused(); done {
			h.Pause()
			r.addPauses(1)
			after(func() {
				r.addPauses(-1)
				h.Resume()
			})
		}
	case faults.Partition:
		h := d.host(l.Targets[0])
		if done = !h.Partitioned(); done {
			h.SetPartitioned(true)
			r.addPauses(1)
			r.networkChanged(invariants.RouterPartitioned)
			after(func() {
				h.SetPartitioned(false)
				d.world.At(d.world.Now()+retransmitTail, func() {
					r.networkChanged(invariants.RouterRejoined)
					r.addPauses(-1)
				})
			})
		}
	case faults.Slow:
		m.slowFactor = max(m.slowFactor, l.Magnitude)
		m.slow++
		after(func() {
			if m.slow--; m.slow == 0 {
				m.slowFactor = 0
			}
		})
	case faults.Reject:
		during(&m.rejecting)
	case faults.Fail:
		during(&m.failing)
	case faults.Truncate:
		during(&m.truncating)
	case faults.HalfClose:
		during(&m.halfClosing)
	case faults.HangConnects:
		m.host.HangConnects = true
		after(func() { m.host.HangConnects = false })
	case faults.ExhaustDescriptors:
		if done = r.host.MaxDescriptors == 0; done {
			r.host.MaxDescriptors = r.host.Connections() + 1
			r.addPauses(1)
			after(func() {
				r.host.MaxDescriptors = 0
				r.addPauses(-1)
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
			y.BytesPerMillisecond, y.ConnectDelay, a.SplitShare, a.SendBuffer = 20, slowConnect, 0.9, 512
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
		d.clients.surgeFactor = max(l.Magnitude, 1)
		during(&d.clients.surging)
	case faults.HotObject:
		d.clients.hotObject, _ = d.object(l.Targets[0])
		during(&d.clients.hotObjectOn)
	case faults.LargeWrites:
		during(&d.clients.largeWrites)
	case faults.ClientsCancel:
		d.clients.cancelShare = l.Magnitude
		during(&d.clients.canceling)
	}
	if done {
		d.world.Record('F', uint64(l.Kind))
		d.history.faultBegan(l)
	}
}

// addPauses has the rules know that a router can't answer, for a fault that is not its own.
func (r *router) addPauses(more int) {
	if r == nil {
		return
	}
	if r.pauses += more; r.pauses == 1 && more > 0 {
		r.d.observe(invariants.Event{Kind: invariants.RouterPaused, Router: r.id()})
	} else if r.pauses == 0 {
		r.d.observe(invariants.Event{Kind: invariants.RouterResumed, Router: r.id()})
	}
}

// networkChanged tells the rules that a router's network goes or is back.
func (r *router) networkChanged(what invariants.EventKind) {
	if r != nil {
		r.d.observe(invariants.Event{Kind: what, Router: r.id()})
	}
}

func (m *machine) announce(state string) {
	m.d.discovery.postEndpoints(false, []string{m.endpoint(state)}, []invariants.Event{{Kind: invariants.EndpointListed, Machine: m.id, Usable: state == "up", EffectiveAt: m.bootedAt}})
}

// replace drains, removes or replaces a machine; what has started anew is cold.
func (m *machine) replace(l faults.Line) bool {
	d := m.d
	if m.restarting || !m.running || m.kind == "origin" {
		return false
	}
	m.restarting = true
	switch l.Kind {
	case faults.Drain:
		m.announce("draining")
		d.world.At(d.world.Now()+l.Span, func() {
			m.stop()
			d.world.At(d.world.Now()+500*ms, m.restart)
		})
	case faults.Remove:
		m.announce("removed")
		d.world.At(d.world.Now()+min(l.Span, 600*ms), m.stop)
		d.world.At(d.world.Now()+max(l.Span, 700*ms), m.restart)
	default:
		was := m.endpoint("removed")
		gone := invariants.Event{Kind: invariants.EndpointListed, Machine: m.id}
		m.stop()
		m.name = fmt.Sprintf("%s-n%d", m.slot, d.nextID)
		d.assignID(m, d.checker.Settings())
		m.start(true)
		d.world.At(d.world.Now()+announceDelay, func() {
			d.discovery.postEndpoints(false, []string{was, m.endpoint("up")}, []invariants.Event{gone, {Kind: invariants.EndpointListed, Machine: m.id, Usable: true, EffectiveAt: m.bootedAt}})
			m.restarting = false
		})
	}
	return true
}

func (m *machine) crash(span Micros) bool {
	d := m.d
	if m.restarting || !m.running {
		return false
	}
	m.restarting = true
	m.stop()
	d.world.At(d.world.Now()+span, m.restart)
	return true
}

// restart has a machine start anew, and be told of a little later.
func (m *machine) restart() {
	m.start(m.kind != "origin")
	m.d.world.At(m.d.world.Now()+announceDelay, func() {
		m.announce("up")
		m.restarting = false
	})
}

// crash kills a router's process; a new one follows.
func (r *router) crash(span Micros) bool {
	if r.restarting || !r.host.Running() {
		return false
	}
	r.restarting = true
	r.crashFor(span)
	return true
}

func (r *router) crashFor(span Micros) {
	d := r.d
	r.acceptsClients = false
	r.host.Kill()
	d.observe(invariants.Event{Kind: invariants.RouterDied, Router: r.id()})
	d.world.At(d.world.Now()+span, func() {
		if err := r.start(); err != nil {
			d.problem("a router did not start: %v", err)
		}
		r.restarting = false
	})
}

// shutDown asks a router to end, and kills it at the last.
func (r *router) shutDown(span Micros) bool {
	d := r.d
	if r.restarting || !r.host.Running() {
		return false
	}
	r.restarting = true
	life := r.incarnation
	var step func() bool
	r.host.After(0, func() { step = r.server.BeginShutdown() })
	d.world.At(d.world.Now()+300*ms, func() { r.acceptsClients = false })
	over := false
	end := func() {
		if !over && r.incarnation == life {
			over = true
			r.crashFor(span)
		}
	}
	var turn func()
	turn = func() {
		switch {
		case over || r.incarnation != life:
		case step != nil && step():
			r.server.Stop()
			r.host.After(ms, end)
		default:
			r.host.After(5*ms, turn)
		}
	}
	r.host.After(5*ms, turn)
	d.world.At(d.world.Now()+maxShutdown, end)
	return true
}
