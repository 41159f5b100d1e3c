package lease

import (
	"fmt"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	// contactLease is how long a proof of contact lasts. Less than it takes the others to believe a death: a router
	// suspends its tasks before others claim its leases.
	contactLease = 1200 * clock.Millisecond
	// contactRecovery is how long a router whose contact is back listens for what others have claimed.
	contactRecovery = 400 * clock.Millisecond
	// maxTickGap is the longest time between two ticks of a process that was not stopped in between.
	maxTickGap = 300 * clock.Millisecond
)

// fence suspends this router's tasks while nothing proves that others hear it: they may believe it dead, and have
// claimed its leases. Where no other router is present it goes on, as does each side of a network split.
func (mgr *Manager) fence(contact membership.Contact, stopped bool) {
	reachable := contact.Alone || contact.SinceAck < contactLease && !stopped
	switch {
	case !reachable:
		if mgr.inContact {
			mgr.stats.Fenced++
			silence := contact.SinceAck / clock.Millisecond
			mgr.output.Note(fmt.Sprintf("lease: no contact for %dms, %d leases suspended", silence, mgr.HeldCount()))
		}
		mgr.inContact = false
		mgr.inContactFrom = mgr.now + contactRecovery
	case !mgr.inContact && mgr.now >= mgr.inContactFrom:
		mgr.inContact = true
		if mgr.stats.Fenced > 0 {
			mgr.output.Note(fmt.Sprintf("lease: in contact again, %d leases held", mgr.HeldCount()))
		}
	case !mgr.inContact:
		// The next digest goes out at once: its answers tell what others have claimed.
		mgr.lastDigest = min(mgr.lastDigest, mgr.now-digestIdle)
	}
}
