package invariants

import (
	"fmt"
	"math"
)

// Rule 4: the routers together don't overload a cache or parent that has just started. The rule is violated by the
// first overload of which more than two thirds came from routers that had been notified of the start.

const (
	informedShare = 2.0 / 3

	// A machine tolerates an allowance of N requests in a window, plus tolerance*sqrt(N) + tolerance for random variation.
	// The tolerance is higher for a small N.
	smallAllowance          = 30
	smallAllowanceTolerance = 3
	tolerance               = 2
)

// arrival is a request or a fill that a cold machine received.
type arrival struct {
	at       Micros
	informed bool // its router had been notified of the start before
	event    Event
}

// arrived counts an attempt or a fill that a machine has received.
func (c *Checker) arrived(e Event) {
	m := c.machine(e.Machine)
	slowStart, checked := c.settings.SlowStart[e.Machine]
	if !checked || !m.cold || m.overloaded {
		return
	}
	if e.At-m.startedAt > slowStart.WarmUp {
		m.cold = false
		m.arrivals = nil
		return
	}
	m.arrivals = append(m.arrivals, arrival{e.At, c.informedOfStart(m, e), e})
	m.dropArrivalsBefore(e.At - slowStart.Window)
	if float64(len(m.arrivals)) <= maxArrivals(slowStart.allowance(e.At-m.startedAt)) {
		return
	}
	m.overloaded = true
	c.checkInformed(m, e, slowStart)
}

// informedOfStart reports whether the router had been notified of the machine's start when it sent an event.
func (c *Checker) informedOfStart(m *machineState, e Event) bool {
	sentAt := e.At
	if e.SentAt > 0 {
		sentAt = e.SentAt
	}
	at, known := c.notifiedAt(e.Router, m.startedBy)
	return m.startedBy > 0 && known && sentAt > at
}

func (m *machineState) dropArrivalsBefore(at Micros) {
	n := 0
	for n < len(m.arrivals) && m.arrivals[n].at < at {
		n++
	}
	m.arrivals = m.arrivals[n:]
}

// allowance returns how many requests of mean size are allowed in a window, at a time since the start.
func (s SlowStart) allowance(sinceStart Micros) float64 {
	share := s.InitialShare + (1-s.InitialShare)*float64(sinceStart)/float64(s.WarmUp)
	return s.OverloadMultiple * share * s.Capacity * s.Window.Seconds()
}

// maxArrivals returns how many requests a cold machine tolerates in a window with an allowance.
func maxArrivals(allowance float64) float64 {
	if allowance < smallAllowance {
		return allowance + smallAllowanceTolerance*math.Sqrt(allowance) + smallAllowanceTolerance
	}
	return allowance + tolerance*math.Sqrt(allowance) + tolerance
}

// checkInformed reports an overload that was mostly caused by routers that had been notified of the start.
func (c *Checker) checkInformed(m *machineState, e Event, s SlowStart) {
	informed := 0
	for _, a := range m.arrivals {
		if a.informed {
			informed++
		}
	}
	if float64(informed) <= informedShare*float64(len(m.arrivals)) {
		return
	}
	reason := fmt.Sprintf(
		"machine %d, cold since %.3fs, got %d in its window of %.1f, %d of them from routers that knew",
		e.Machine,
		m.startedAt.Seconds(),
		len(m.arrivals),
		s.allowance(e.At-m.startedAt),
		informed,
	)
	c.violate(4, e.At, e.Request, reason, c.startHistory(m)...)
}

// startHistory returns the notice of the start and the arrivals in the window.
func (c *Checker) startHistory(m *machineState) []Event {
	var events []Event
	if m.startedBy > 0 {
		events = append(events, c.notices[m.startedBy-1])
	}
	for _, a := range m.arrivals {
		events = append(events, a.event)
	}
	return events
}
