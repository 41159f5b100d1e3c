package shardmap

import (
	"log/slog"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router that is back in contact waits for announcements of higher maps before it
// serves keys again or proposes a map.
const contactRecovery = 3 * clock.Second

// updateContact prevents this router from serving keys while it has no proof that others hear it, because the others
// may believe it dead and another router may serve its keys. It lets the router resume once mayResume permits. A
// router without present peers continues to serve keys, so that each side of a network partition continues. stalled
// says that this process was stalled since the last tick; see membership.MaxTickGap.
func (mgr *Manager) updateContact(contact membership.Contact, stalled bool) {
	if !contact.MayWork(stalled) {
		if mgr.inContact && mgr.current != nil {
			mgr.output.Log("shardmap: out of contact, no keys are served",
				slog.Int64("silence_ms", int64(contact.SinceAck/clock.Millisecond)),
			)
		}
		mgr.inContact = false
		mgr.lastOutOfContact = mgr.now
		return
	}
	if !mgr.inContact && mgr.mayResume(contact) {
		mgr.inContact = true
	}
}

// mayResume reports whether a router that is back in contact may serve keys again. Routers that believed this router
// dead did not wait for its confirmation, and may serve its keys under a map that it has not adopted. It therefore
// resumes only if a peer announces the map that this router follows, or if no higher map has been announced for
// contactRecovery.
func (mgr *Manager) mayResume(contact membership.Contact) bool {
	if contact.Alone || mgr.current == nil {
		return true
	}
	if mgr.currentAnnouncedAt > mgr.lastOutOfContact {
		return true
	}
	return mgr.now-mgr.lastOutOfContact > contactRecovery && !mgr.isBehind()
}

// isBehind reports whether a present router has announced a higher map than the current one within rejectionTime.
func (mgr *Manager) isBehind() bool {
	return mgr.highestAnnouncedAt > 0 && mgr.now-mgr.highestAnnouncedAt < rejectionTime &&
		mgr.highest.Compare(mgr.currentVersion()) > 0
}

// hasRejectedHighest reports whether this router is behind a map that it has rejected. The proposer must then propose
// a map higher than that one: two proposers, one from each side of a healed partition, would otherwise keep rejecting
// each other's maps.
func (mgr *Manager) hasRejectedHighest() bool {
	return mgr.isBehind() && slices.ContainsFunc(mgr.rejected, func(r rejectedMap) bool {
		return r.Digest == mgr.highest.Digest
	})
}
