package system

import (
	"fmt"

	"threadrun/simulation/invariants"
)

const (
	maxRunAfterRemoval = 600 * ms // after its removal from the endpoint list, until a machine is stopped
	minRemoval         = 700 * ms // after its removal, until a machine is restarted
)

// canRestart reports whether a fault may stop a machine's process now.
func (m *machine) canRestart() bool { return !m.restarting && m.running }

// drain drains a machine for a span, and then restarts it.
func (m *machine) drain(span Micros) bool {
	if !m.canRestart() || m.kind == kindOrigin {
		return false
	}
	m.restarting = true
	m.announce(stateDraining)
	m.sim.after(span, func() {
		m.stop()
		m.sim.after(restartDelay, m.restart)
	})
	return true
}

// remove removes a machine from the endpoint list, and restarts it after a span.
func (m *machine) remove(span Micros) bool {
	if !m.canRestart() || m.kind == kindOrigin {
		return false
	}
	m.restarting = true
	m.announce(stateRemoved)
	m.sim.after(min(span, maxRunAfterRemoval), m.stop)
	m.sim.after(max(span, minRemoval), m.restart)
	return true
}

// replace stops a machine, and starts another one with a new name at the same address.
func (m *machine) replace() bool {
	s := m.sim
	if !m.canRestart() || m.kind == kindOrigin {
		return false
	}
	m.restarting = true
	replaced := m.endpoint(stateRemoved)
	removed := invariants.Event{Kind: invariants.EndpointListed, Machine: m.id}
	m.stop()
	m.name = fmt.Sprintf("%s-n%d", m.slot, s.nextID)
	s.assignID(m)
	m.start(true)
	s.after(announceDelay, func() {
		endpoints := []string{replaced, m.endpoint(stateUp)}
		s.discovery.postEndpoints(false, endpoints, []invariants.Event{removed, m.listedEvent(stateUp)})
		m.restarting = false
	})
	return true
}

// crash kills a machine's process, and starts the next one after a span. The endpoint list does not change
// meanwhile.
func (m *machine) crash(span Micros) bool {
	if !m.canRestart() {
		return false
	}
	m.restarting = true
	m.stop()
	m.sim.after(span, m.restart)
	return true
}

// restart starts the next process, and announces it after announceDelay.
func (m *machine) restart() {
	m.start(m.kind != kindOrigin)
	m.sim.after(announceDelay, func() {
		m.announce(stateUp)
		m.restarting = false
	})
}
