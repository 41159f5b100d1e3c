package system

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"threadrun/simulation/faults"
)

var errUnknownTarget = errors.New("unknown target")

// checkLine returns an error that wraps errUnknownTarget if the deployment does not have a target of a line.
func (s *Simulation) checkLine(l faults.Line) error {
	for _, name := range l.Targets {
		if !s.isTarget(l.Kind, name) {
			return fmt.Errorf("%w: %s", errUnknownTarget, name)
		}
	}
	return nil
}

// isTarget reports whether the deployment has a target with a name for a kind of fault.
func (s *Simulation) isTarget(kind faults.Kind, name string) bool {
	switch kind {
	case faults.Purge:
		_, isObject := s.objectNamed(name)
		_, isGroup := s.groupNamed(name)
		return isObject || isGroup
	case faults.HotObject:
		_, isObject := s.objectNamed(name)
		return isObject
	case faults.Shutdown, faults.ExhaustDescriptors:
		return s.routerNamed(name) != nil
	case faults.Crash, faults.Pause, faults.Partition, faults.ClockJump, faults.Cut, faults.Loss, faults.Throttle,
		faults.Reset:
		return s.machineInSlot(name) != nil || s.routerNamed(name) != nil
	default:
		return s.machineInSlot(name) != nil
	}
}

// objectNamed returns the number of an object by its name in scripts.
func (s *Simulation) objectNamed(name string) (int, bool) {
	n, ok := numberAfter(name, "object-")
	return n, ok && n < s.plan.Objects
}

// groupNamed returns the number of a group by its name in scripts.
func (s *Simulation) groupNamed(name string) (int, bool) {
	n, ok := numberAfter(name, "group-")
	return n, ok && n < s.plan.Groups
}

// numberAfter parses a name that consists of a prefix and a number. It returns false if the name has another form.
func numberAfter(name, prefix string) (int, bool) {
	digits, found := strings.CutPrefix(name, prefix)
	n, err := strconv.ParseUint(digits, 10, 31)
	return int(n), found && err == nil
}

// apply begins the fault of a line of the script, and records it in the history if the target's state allows the
// fault.
func (s *Simulation) apply(l faults.Line) {
	applied := s.begin(l)
	if s.plan.Log != nil {
		s.plan.Log.Fault(s.world.Now(), l, applied)
	}
	if !applied {
		return
	}
	s.world.Record('F', uint64(l.Kind))
	s.history.faultBegan(l)
}

// begin begins a fault and schedules its end. It returns false if the target's state does not allow the fault.
func (s *Simulation) begin(l faults.Line) bool {
	switch l.Kind {
	case faults.Drain, faults.Remove, faults.Replace, faults.Slow, faults.Reject, faults.Fail, faults.HangConnects,
		faults.Truncate, faults.HalfClose:
		return s.beginMachineFault(s.machineInSlot(l.Targets[0]), l)
	case faults.Crash, faults.Shutdown, faults.Pause, faults.Partition, faults.ExhaustDescriptors, faults.ClockJump:
		return s.beginProcessFault(l)
	case faults.Cut, faults.Loss, faults.Throttle, faults.Reset:
		return s.beginLinkFault(l)
	case faults.DelayDiscovery, faults.FragmentDiscovery, faults.DiscoveryOutage:
		return s.beginDiscoveryFault(l)
	case faults.Purge:
		s.beginPurge(l.Targets[0])
	default:
		s.beginClientFault(l)
	}
	return true
}

// activateFor adds one to the active faults of a kind for a span.
func (s *Simulation) activateFor(active *activeFaults, span Micros) {
	*active++
	s.after(span, func() { *active-- })
}

// beginPurge purges the object or the group of a name in scripts.
func (s *Simulation) beginPurge(name string) {
	if object, ok := s.objectNamed(name); ok {
		s.issuePurge(object, 0)
		return
	}
	group, _ := s.groupNamed(name)
	s.issuePurge(-1, group)
}

func (s *Simulation) beginMachineFault(m *machine, l faults.Line) bool {
	switch l.Kind {
	case faults.Drain:
		return m.drain(l.Span)
	case faults.Remove:
		return m.remove(l.Span)
	case faults.Replace:
		return m.replace()
	case faults.Slow:
		m.slowDown(l.Magnitude, l.Span)
	case faults.Reject:
		s.activateFor(&m.rejecting, l.Span)
	case faults.Fail:
		s.activateFor(&m.failing, l.Span)
	case faults.Truncate:
		s.activateFor(&m.truncating, l.Span)
	case faults.HalfClose:
		s.activateFor(&m.halfClosing, l.Span)
	case faults.HangConnects:
		m.hangConnects(l.Span)
	}
	return true
}

// hangConnects makes a machine neither accept nor refuse new connections for a span. Overlapping faults end with the
// last one.
func (m *machine) hangConnects(span Micros) {
	m.hanging++
	m.host.HangConnects = true
	m.sim.after(span, func() {
		m.hanging--
		m.host.HangConnects = m.hanging > 0
	})
}

// slowDown divides a machine's rate by a factor for a span. While faults overlap, the largest of their factors
// applies until the last one ends.
func (m *machine) slowDown(factor float64, span Micros) {
	m.slowFactor = max(m.slowFactor, factor)
	m.slow++
	m.sim.after(span, func() {
		m.slow--
		if m.slow == 0 {
			m.slowFactor = 0
		}
	})
}

func (s *Simulation) beginClientFault(l faults.Line) {
	c := s.clients
	switch l.Kind {
	case faults.LoadSurge:
		c.surgeFactor = max(l.Magnitude, 1)
		s.activateFor(&c.surging, l.Span)
	case faults.HotObject:
		c.hotObject, _ = s.objectNamed(l.Targets[0])
		s.activateFor(&c.hotObjectActive, l.Span)
	case faults.LargeWrites:
		s.activateFor(&c.largeWrites, l.Span)
	case faults.ClientsCancel:
		c.cancelShare = l.Magnitude
		s.activateFor(&c.canceling, l.Span)
	}
}
