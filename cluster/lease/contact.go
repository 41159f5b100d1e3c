package lease

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router listens for claims of others after it is back in contact.
const contactRecovery = 400 * clock.Millisecond

// updateContact suspends this router's tasks while nothing proves that others hear it, and resumes them later: the
// others may believe it dead and have claimed its leases. If no other router is present, the tasks continue, as
// they do on each side of a network partition.
func (mgr *Manager) updateContact(contact membership.Contact, stopped bool) {
	switch {
	case !contact.MayWork(stopped):
		if mgr.inContact {
			mgr.stats.Suspensions++
			mgr.output.Log("lease: out of contact, tasks are suspended",
				slog.Int64("silence_ms", int64(contact.SinceAck/clock.Millisecond)),
				slog.Int("held", mgr.HeldCount()),
			)
		}
		mgr.inContact = false
		mgr.inContactFrom = mgr.now + contactRecovery
	case !mgr.inContact && mgr.now >= mgr.inContactFrom:
		mgr.inContact = true
		if mgr.stats.Suspensions > 0 {
			mgr.output.Log("lease: in contact again", slog.Int("held", mgr.HeldCount()))
		}
	case !mgr.inContact:
		// Send the next digest at once: its answers contain the claims of others.
		mgr.lastDigest = min(mgr.lastDigest, mgr.now-digestIdle)
	}
}
