package invariants

import (
	"fmt"
	"math"
)

// Rule 4: the routers together don't overload a cache or parent that has just started. Only the first overload after a
// start is checked. It violates the rule if more than two thirds of the arrivals in the window came from routers that
// had been notified of the start.

const (
	// maxInformedShare is the largest share of arrivals from informed routers at which an overload is no violation.
	maxInformedShare = 2.0 / 3

	// A machine with an allowance of N requests in a window is overloaded by more than N + tolerance*sqrt(N) + tolerance
	// requests, because the number of arrivals varies randomly. For an N below smallAllowance, the tolerance is
	// smallAllowanceTolerance.
	smallAllowance          = 30
	smallAllowanceTolerance = 3
	tolerance               = 2
)

// arrival is a request or a fill that a cold machine received.
type arrival struct {
	at       Micros
	informed bool // its router had been notified of the start before it sent the request
	event    Event
}

// countArrival counts an attempt or a fill that a machine has received while cold, and checks whether it overloads the
// machine.
func (c *Checker) countArrival(e Event) {
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
	c.checkOverload(m, e, slowStart)
}

// informedOfStart reports whether the router had been notified of the machine's start when it sent the attempt. For a
// fill, whose time of sending is unknown, the time of its arrival counts.
func (c *Checker) informedOfStart(m *machineState, e Event) bool {
	sentAt := e.At
	if e.SentAt > 0 {
		sentAt = e.SentAt
	}
	at, ok := c.notifiedAt(e.Router, m.startNotice)
	return m.startNotice > 0 && ok && sentAt > at
}

func (m *machineState) dropArrivalsBefore(at Micros) {
	expired := 0
	for expired < len(m.arrivals) && m.arrivals[expired].at < at {
		expired++
	}
	m.arrivals = m.arrivals[expired:]
}

// allowance returns how many requests of mean size are allowed in a window that ends at a time after the start.
func (s SlowStart) allowance(sinceStart Micros) float64 {
	share := s.InitialShare + (1-s.InitialShare)*float64(sinceStart)/float64(s.WarmUp)
	return s.OverloadMultiple * share * s.Capacity * s.Window.Seconds()
}

// maxArrivals returns the number of requests in a window above which a cold machine with an allowance is overloaded.
func maxArrivals(allowance float64) float64 {
	if allowance < smallAllowance {
		return allowance + smallAllowanceTolerance*math.Sqrt(allowance) + smallAllowanceTolerance
	}
	return allowance + tolerance*math.Sqrt(allowance) + tolerance
}

// checkOverload reports an overload if more than maxInformedShare of the arrivals came from informed routers.
func (c *Checker) checkOverload(m *machineState, e Event, s SlowStart) {
	informed := 0
	for _, a := range m.arrivals {
		if a.informed {
			informed++
		}
	}
	if float64(informed) <= maxInformedShare*float64(len(m.arrivals)) {
		return
	}
	reason := fmt.Sprintf(
		"machine %d, cold since %.3fs, got %d arrivals in a window that allows %.1f, %d of them from notified routers",
		e.Machine,
		m.startedAt.Seconds(),
		len(m.arrivals),
		s.allowance(e.At-m.startedAt),
		informed,
	)
	c.report(4, e.At, e.Request, reason, c.startHistory(m)...)
}

// startHistory returns the notice of the start and the arrivals in the window.
func (c *Checker) startHistory(m *machineState) []Event {
	var events []Event
	if m.startNotice > 0 {
		events = append(events, c.notices[m.startNotice-1])
	}
	for _, a := range m.arrivals {
		events = append(events, a.event)
	}
	return events
}
