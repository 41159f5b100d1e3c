package shardmap

import (
	"log/slog"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// contactRecovery is how long a router listens for other maps after it is back in contact.
const contactRecovery = 3 * clock.Second

// updateContact stops this router from serving keys while nothing proves that others hear it, and lets it resume
// later: the others may believe it dead, and another router may serve its keys. An isolated router without present
// peers continues.
func (mgr *Manager) updateContact(contact membership.Contact, stopped bool) {
	if !contact.MayWork(stopped) {
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

// mayResume reports whether a router that is back in contact may serve keys again. Otherwise two routers may serve
// a key: those that believed this router dead did not wait for it, and follow a map that it has not adopted.
func (mgr *Manager) mayResume(contact membership.Contact) bool {
	if contact.Alone || mgr.current == nil {
		return true
	}
	if mgr.sameMapAt > mgr.lastOutOfContact {
		return true
	}
	return mgr.now-mgr.lastOutOfContact > contactRecovery && !mgr.isBehind()
}

// isBehind reports whether a present router follows a higher map than this one.
func (mgr *Manager) isBehind() bool {
	return mgr.highestAt > 0 && mgr.now-mgr.highestAt < rejectionTime && mgr.highest.Compare(mgr.currentVersion()) > 0
}

// rejectedHighest reports whether this router has rejected the map that isBehind refers to. The proposer must then
// make a still higher one: two proposers, one on each side of a partition, would otherwise keep rejecting each other's
// maps.
func (mgr *Manager) rejectedHighest() bool {
	return mgr.isBehind() && slices.ContainsFunc(mgr.rejected, func(r rejectedMap) bool {
		return r.Digest == mgr.highest.Digest
	})
}
