package lease

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router that is back in contact waits for the claims of others before it resumes its
// tasks.
const contactRecovery = 400 * clock.Millisecond

// updateContact suspends this router's tasks while nothing proves that others hear it, because they may believe it
// dead and have claimed its leases. It resumes the tasks contactRecovery after the router is back in contact. If
// no other router is present, the tasks continue, so that a router that is alone on its side of a network
// partition does not stop working. stalled says that the process was stalled since the last tick.
func (mgr *Manager) updateContact(contact membership.Contact, stalled bool) {
	switch {
	case !contact.MayWork(stalled):
		if mgr.inContact {
			mgr.stats.Suspensions++
			mgr.output.Log("lease: out of contact, tasks are suspended",
				slog.Int64("silence_ms", int64(contact.SinceAck/clock.Millisecond)),
				slog.Int("held", mgr.HeldCount()),
			)
		}
		mgr.inContact = false
		mgr.resumeAt = mgr.now + contactRecovery
	case !mgr.inContact && mgr.now >= mgr.resumeAt:
		mgr.inContact = true
		if mgr.stats.Suspensions > 0 {
			mgr.output.Log("lease: in contact again", slog.Int("held", mgr.HeldCount()))
		}
	case !mgr.inContact:
		// Make a digest due at each tick: the replies contain the claims that this router has missed.
		mgr.lastDigest = min(mgr.lastDigest, mgr.now-idleDigestInterval)
	}
}
