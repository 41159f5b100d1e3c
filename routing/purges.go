package routing

import "threadrun/internal/hash"

const (
	purgeMargin    = ms     // minimum age difference between the last purge and an acceptable copy
	purgeRetention = second // how long a purge is remembered after it has reached every cache
)

// Purged reports that all copies of an object that are older than age are out of date. If byGroup is set,
// the purge applies to all objects of the group instead.
func (r *Router) Purged(object ObjectID, group GroupID, byGroup bool, age Micros) {
	key := uint64(object)
	if byGroup {
		key = purgeGroupKey(group)
	}
	r.purgeTimes[key] = max(r.purgeTimes[key], r.now-age)
}

// lastPurge returns the time of the last purge of a request's object or of its group.
func (r *Router) lastPurge(req *request) (at Micros, purged bool) {
	object, objectPurged := r.purgeTimes[uint64(req.Object)]
	group, groupPurged := r.purgeTimes[purgeGroupKey(req.Group)]
	if groupPurged && (!objectPurged || group > object) {
		return group, true
	}
	return object, objectPurged
}

// maxAgeSincePurge limits an accepted age (0: any age) to the time since the last purge, so that no older
// copy is served.
func (r *Router) maxAgeSincePurge(req *request, maxAge Micros) Micros {
	if req.Write {
		return maxAge
	}
	purgedAt, purged := r.lastPurge(req)
	if !purged {
		return maxAge
	}
	sincePurge := max(r.now-purgedAt-purgeMargin, 1)
	if maxAge == 0 {
		return sincePurge
	}
	return min(maxAge, sincePurge)
}

// removeExpiredPurges removes purges that have reached every cache more than purgeRetention ago.
func (r *Router) removeExpiredPurges() {
	for key, at := range r.purgeTimes {
		if r.now-at > r.purgeTiming.Propagation+purgeRetention {
			delete(r.purgeTimes, key)
		}
	}
}

func purgeGroupKey(group GroupID) uint64 {
	const groupTag = 0x67726f7570 // distinguishes keys of groups from keys of objects
	return hash.Combine(uint64(group), groupTag)
}
