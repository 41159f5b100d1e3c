package invariants

import (
	"fmt"
	"math"
)

// Rule 4: the routers together don't overload a cache or parent that has just started. It is broken at the first
// overload of which more than two thirds came from routers that had been notified of the start.

const (
	informedShare = 2.0 / 3

	// What a machine bears beyond an allowance of N requests in a window: tolerance x root of N, plus tolerance. Chance
	// has more room where N is small.
	smallAllowance          = 30
	smallAllowanceTolerance = 3
	tolerance               = 2
)

// arrival is a request or a fill that came to a cold machine.
type arrival struct {
	at       Micros
	informed bool // its router had been notified of the start when it sent this
	event    Event
}

// arrived takes an attempt or a fill that came to a machine.
func (c *Checker) arrived(e Event) {
	m := c.machine(e.Machine)
	slowStart, checked := c.settings.SlowStart[e.Machine]
	if !checked || !m.cold || m.fell {
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
	m.fell = true
	c.checkInformed(m, e, slowStart)
}

// informedOfStart tells whether the router had been notified of the machine's start when it sent an event.
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

// allowance is how many requests of mean work the settings allow in a window, at an age.
func (s SlowStart) allowance(age Micros) float64 {
	share := s.InitialShare + (1-s.InitialShare)*float64(age)/float64(s.WarmUp)
	return s.OverloadMultiple * share * s.Capacity * s.Window.Seconds()
}

// maxArrivals is how many requests a cold machine bears in a window that allows so many.
func maxArrivals(allowance float64) float64 {
	if allowance < smallAllowance {
		return allowance + smallAllowanceTolerance*math.Sqrt(allowance) + smallAllowanceTolerance
	}
	return allowance + tolerance*math.Sqrt(allowance) + tolerance
}

// checkInformed reports an overload that mostly came from routers that knew of the start.
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

// startHistory is how the start was announced, and what came in the window.
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
