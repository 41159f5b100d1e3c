package service

import (
	"threadrun/internal/hash"
	"threadrun/routing"
)

// Purge implements discovery.Handler: it applies a purge of an object, or of all objects of a group if byGroup is
// set. issued is the purge's Unix time in milliseconds.
func (p *proxy) Purge(object string, byGroup bool, group int, issued int64) {
	if p.failpoints.shouldDropPurge(p, object) {
		return
	}
	p.setRouterTime()
	age := max(p.now-p.fromUnixMillis(issued), 0)
	p.router.Purged(routing.ObjectID(hash.String(object)), routing.GroupID(group), byGroup, age)
	// The accepted ages of queued attempts were computed before the purge, so these attempts must be planned again.
	p.withdrawQueued(func(r *request, _ *attempt) bool {
		if byGroup {
			return r.params.Group == routing.GroupID(group)
		}
		return string(r.params.Object[:]) == object
	})
	if p.background != nil {
		p.background.Purged(hash.String(object), group, byGroup, p.now-age)
	}
}

// CaughtUp implements discovery.Handler: it reports to background work that all purges up to now have been applied.
func (p *proxy) CaughtUp() {
	p.failpoints.pollEnded(p.clockNow())
	if p.background != nil {
		p.background.PurgesCaughtUp()
	}
}
