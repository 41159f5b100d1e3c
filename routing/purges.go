package routing

import "threadrun/internal/hash"

const (
	purgeMargin    = ms     // a copy must be so much younger than the last purge
	purgeRetention = second // a purge is forgotten so long after it has reached every cache
)

// Purged reports that copies of an object, or with byGroup of its group, that are older than ago are out of
// date.
func (r *Router) Purged(object ObjectID, group GroupID, byGroup bool, ago Micros) {
	key := uint64(object)
	if byGroup {
		key = purgeGroupKey(group)
	}
	r.purgeTimes[key] = max(r.purgeTimes[key], r.now-ago)
}

// lastPurge finds the last purge that a request's copy must be younger than.
func (r *Router) lastPurge(req *request) (at Micros, purged bool) {
	object, objectPurged := r.purgeTimes[uint64(req.Object)]
	group, groupPurged := r.purgeTimes[purgeGroupKey(req.Group)]
	if groupPurged && (!objectPurged || group > object) {
		return group, true
	}
	return object, objectPurged
}

// maxAgeSincePurge bounds an accepted age (0: any) by the time since the last purge: no older copy is
// served.
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

func (r *Router) forgetOldPurges() {
	for key, at := range r.purgeTimes {
		if r.now-at > r.purgeTiming.Propagation+purgeRetention {
			delete(r.purgeTimes, key)
		}
	}
}

func purgeGroupKey(group GroupID) uint64 {
	const groupTag = 0x67726f7570 // keeps group keys apart from object keys
	return hash.Combine(uint64(group), groupTag)
}
