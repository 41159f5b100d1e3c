package shardmap

import (
	"fmt"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	// contactLease is how long a proof of contact lasts. Less than it takes the others to believe a death: a router
	// stops serving before another takes over.
	contactLease = 1200 * clock.Millisecond
	// maxTickGap is the longest time between two ticks of a process that was not stopped in between.
	maxTickGap = 300 * clock.Millisecond
	// contactRecovery is how long a router whose contact is back waits for word of another map.
	contactRecovery = 3 * clock.Second
)

// fence makes this router stop serving while nothing proves that others hear it: they may believe it dead, and another
// may serve its keys. An isolated router with no peer present goes on.
func (mgr *Manager) fence(contact membership.Contact, stopped bool) {
	reachable := contact.Alone || contact.SinceAck < contactLease && !stopped
	if !reachable {
		if mgr.inContact && mgr.current != nil {
			mgr.output.Note(fmt.Sprintf("shardmap: no contact for %dms, serves no key", contact.SinceAck/clock.Millisecond))
		}
		mgr.inContact = false
		mgr.lastOutOfContact = mgr.now
		return
	}
	if !mgr.inContact && mgr.mayResume(contact) {
		mgr.inContact = true
	}
}

// mayResume tells whether a router whose contact is back may serve again. Without this two routers may serve a key:
// those that believed this router dead did not wait for it, and follow a map that it has not adopted.
func (mgr *Manager) mayResume(contact membership.Contact) bool {
	if contact.Alone || mgr.current == nil {
		return true
	}
	if mgr.sameMapAt > mgr.lastOutOfContact {
		return true
	}
	return mgr.now-mgr.lastOutOfContact > contactRecovery && !mgr.isBehind()
}

// isBehind tells whether a router that is present follows a higher map than this one.
func (mgr *Manager) isBehind() bool {
	return mgr.highestAt > 0 && mgr.now-mgr.highestAt < rejectionTime && mgr.highest.Compare(mgr.currentVersion()) > 0
}

// rejectedHighest tells whether this router has rejected that higher map. Only a still higher one resolves this: two
// makers of maps, one on each side of a split, would otherwise keep rejecting each other'mgr.
func (mgr *Manager) rejectedHighest() bool {
	return mgr.isBehind() && slices.ContainsFunc(mgr.rejected, func(r rejectedMap) bool {
		return r.Digest == mgr.highest.Digest
	})
}
