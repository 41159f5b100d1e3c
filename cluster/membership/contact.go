package membership

import "threadrun/internal/clock"

const (
	// contactTimeout is how long an answered ping proves contact after it was sent. It must be shorter than the time in
	// which others declare a router dead, so that a router suspends its leases before another one claims them.
	contactTimeout = 1200 * clock.Millisecond

	// MaxTickGap is the time between two ticks above which the process counts as stalled: it did not run meanwhile, for
	// example because it was paused, and others may have declared this router dead.
	MaxTickGap = 300 * clock.Millisecond

	// A router is settled, see Contact, once it has received the end of another router's member list, but not before
	// minSettleTime after its start. After maxSettleTime it is settled in any case.
	minSettleTime = 1500 * clock.Millisecond
	maxSettleTime = 6 * clock.Second

	// aloneAfter is the time without any received datagram after which a router may consider itself alone. A router
	// that hears others must not consider itself alone even if they do not hear it.
	aloneAfter = clock.Second
)

// Contact describes whether the other routers hear this router.
type Contact struct {
	SinceAck Micros // time since the latest answered ping was sent, or since the start if none was answered
	Alone    bool   // no other router is believed to be running, nor was any heard for aloneAfter
	Settled  bool   // this router has run long enough to know the others, or knows of no others
}

// Recent reports whether another router is known to have heard this one so recently that none can have declared it
// dead since, even if this process was stalled meanwhile.
func (c Contact) Recent() bool { return c.SinceAck < contactTimeout }

// Proven reports whether another router is known to hear this one. stalled says that this process was stalled since
// its last tick (see MaxTickGap), which voids any earlier proof.
func (c Contact) Proven(stalled bool) bool { return c.Recent() && !stalled }

// MayWork reports whether a router may run the tasks of its leases and serve its keys: the others hear it, or there
// are no others. Thus routers on each side of a network partition continue to work. stalled has the same meaning as
// for Proven.
func (c Contact) MayWork(stalled bool) bool { return c.Alone || c.Proven(stalled) }

// Contact returns the state of this router's contact with the others, at the time of the last Tick or Receive.
func (m *Members) Contact() Contact {
	age := m.now - m.startedAt
	knowsNoOthers := len(m.members)+len(m.seeds) == 0
	return Contact{
		SinceAck: m.now - max(m.lastAckedPing, m.startedAt),
		Alone:    m.PresentCount() == 0 && m.now-m.lastReceived >= aloneAfter,
		Settled:  age >= minSettleTime && m.listComplete || age >= maxSettleTime || knowsNoOthers,
	}
}
