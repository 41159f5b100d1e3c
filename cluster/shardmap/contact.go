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
		mgr.contactExpired = mgr.contactExpired || !contact.Recent()
		return
	}
	if !mgr.inContact && mgr.mayResume(contact) {
		mgr.inContact = true
		mgr.contactExpired = false
	}
}

// mayResume reports whether a router that is back in contact may serve keys again. Routers that believed this router
// dead did not wait for its confirmation, and may serve its keys under a map that it has not adopted. Unless it was
// stalled too briefly for that, it therefore resumes only if no higher map has been announced for contactRecovery.
//
// That a peer announces the map that this router follows is no proof that the map is still in use: the datagram may
// have waited in this router's socket while the process was stalled, or the peer may have been believed dead, too.
func (mgr *Manager) mayResume(contact membership.Contact) bool {
	if contact.Alone || mgr.current == nil || !mgr.contactExpired {
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
