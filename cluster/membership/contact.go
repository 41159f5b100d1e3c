package membership

import "threadrun/internal/clock"

const (
	// contactTimeout is how long an answered ping proves contact after it was sent. It must be shorter than the time in
	// which others declare a router dead, so that a router suspends its leases before another one claims them.
	contactTimeout = 1200 * clock.Millisecond

	// MaxTickGap is the longest time between two ticks of a process that was not stopped. After a longer one, the
	// process may have been suspended, and others may have declared this router dead.
	MaxTickGap = 300 * clock.Millisecond

	minSettleTime = 1500 * clock.Millisecond // time after the start for finding peers
	maxSettleTime = 6 * clock.Second         // time after the start that suffices without a complete list

	// aloneAfter is the time without any received datagram after which a router may consider itself alone. A router
	// that hears others must not consider itself alone although they do not hear it.
	aloneAfter = clock.Second
)

// Contact describes whether the other routers hear this router.
type Contact struct {
	SinceAck Micros // time since the latest answered ping was sent, or since the start if none was answered
	Alone    bool   // no other router is believed to be running
	Settled  bool   // this router has run long enough to know the others, or knows of no others
}

// Proven reports whether another router is known to hear this one. stopped says that this process was stopped since
// its last tick, which voids any earlier proof.
func (c Contact) Proven(stopped bool) bool { return c.SinceAck < contactTimeout && !stopped }

// MayWork reports whether a router may use its leases: the others hear it, or there are no others. Thus routers on
// each side of a network partition continue to work. stopped has the same meaning as for Proven.
func (c Contact) MayWork(stopped bool) bool { return c.Alone || c.Proven(stopped) }

// Contact returns the state of this router's contact with the others, at the time of the last Tick or Receive.
func (m *Members) Contact() Contact {
	age := m.now - m.startedAt
	knowsNoOthers := len(m.members)+len(m.seeds) == 0
	return Contact{
		SinceAck: m.now - max(m.lastAcked, m.startedAt),
		Alone:    m.PresentCount() == 0 && m.now-m.lastReceived >= aloneAfter,
		Settled:  age >= minSettleTime && m.listComplete || age >= maxSettleTime || knowsNoOthers,
	}
}
