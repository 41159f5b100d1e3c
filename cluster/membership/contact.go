package membership

import "threadrun/internal/clock"

const (
	// contactLease is how long a proof of contact lasts. Less than it takes the others to believe a death: a router
	// suspends what it holds before another takes that over.
	contactLease = 1200 * clock.Millisecond

	// MaxTickGap is the longest time between two ticks of a process that was not stopped in between.
	MaxTickGap = 300 * clock.Millisecond

	minSettleTime = 1500 * clock.Millisecond // after the start, in which peers are being found
	maxSettleTime = 6 * clock.Second

	// aloneAfter is the time without a datagram after which a router may be alone. Before, it may be one that others
	// do not hear although it hears them.
	aloneAfter = clock.Second
)

// Contact is how a router stands to the others.
type Contact struct {
	SinceAck Micros // since the last datagram left that is known to have been answered
	Alone    bool   // no other router is taken to run
	Settled  bool   // this router has run long enough to know the others
}

// Proven reports whether another router is known to hear this one. It is not for a process that was stopped since its
// last tick: no proof holds over a stop.
func (c Contact) Proven(stopped bool) bool { return c.SinceAck < contactLease && !stopped }

// MayWork reports whether a router may use what it holds: the others hear it, or there are none. Each side of a network
// split works on.
func (c Contact) MayWork(stopped bool) bool { return c.Alone || c.Proven(stopped) }

// Contact returns how this router stands to the others.
func (m *Members) Contact() Contact {
	age := m.now - m.startedAt
	knowsNobody := len(m.members)+len(m.seeds) == 0
	return Contact{
		SinceAck: m.now - max(m.lastAcked, m.startedAt),
		Alone:    m.Present() == 0 && m.now-m.lastReceived >= aloneAfter,
		Settled:  age >= minSettleTime && m.listComplete || age >= maxSettleTime || knowsNobody,
	}
}
