package lease

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router whose contact is back listens for what others have claimed.
const contactRecovery = 400 * clock.Millisecond

// updateContact suspends this router's tasks, and resumes them later, as its contact goes and returns. It suspends
// them while nothing proves that others hear it: they may believe it dead, and have claimed its leases. Where no
// other router is present it goes on, as does each side of a network split.
func (mgr *Manager) updateContact(contact membership.Contact, stopped bool) {
	switch {
	case !contact.MayWork(stopped):
		if mgr.inContact {
			mgr.stats.Suspensions++
			mgr.output.Log("lease: no contact, tasks are suspended",
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
		// The next digest goes out at once: its answers tell what others have claimed.
		mgr.lastDigest = min(mgr.lastDigest, mgr.now-digestIdle)
	}
}
