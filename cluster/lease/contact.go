package lease

import (
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router whose contact is back listens for what others have claimed.
const contactRecovery = 400 * clock.Millisecond

// fence suspends this router's tasks while nothing proves that others hear it: they may believe it dead, and have
// claimed its leases. Where no other router is present it goes on, as does each side of a network split.
func (mgr *Manager) fence(contact membership.Contact, stopped bool) {
	switch {
	case !contact.MayWork(stopped):
		if mgr.inContact {
			mgr.stats.Fenced++
			mgr.output.Note("lease: no contact, tasks are suspended", map[string]any{
				"silence_ms": int64(contact.SinceAck / clock.Millisecond),
				"held":       mgr.HeldCount(),
			})
		}
		mgr.inContact = false
		mgr.inContactFrom = mgr.now + contactRecovery
	case !mgr.inContact && mgr.now >= mgr.inContactFrom:
		mgr.inContact = true
		if mgr.stats.Fenced > 0 {
			mgr.output.Note("lease: in contact again", map[string]any{"held": mgr.HeldCount()})
		}
	case !mgr.inContact:
		// The next digest goes out at once: its answers tell what others have claimed.
		mgr.lastDigest = min(mgr.lastDigest, mgr.now-digestIdle)
	}
}
