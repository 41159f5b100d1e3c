package backgroundwork

import (
	"math"
	"net/netip"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// share has the module go by another count of routers. A line each second at most: a count falls one by one.
func (u *Manager) share(s fleetsize.Size) {
	if at := u.host.Now(); s.Fleet > u.sharers.Fleet || at-u.sharedAt >= clock.Second {
		u.sharedAt = at
		u.log.WithFields(logrus.Fields{"branch": s.Zone, "all": s.Fleet, "before": u.sharers.Fleet}).Info("presence: limits are shared by")
	}
	u.sharers = s
	u.host.Router().SetFleetSize(s.Zone, s.Fleet)
}

// RequestAnswered hears of a visit that was delivered: by its object's key, from which cache, and when the copy was made; 0: not told.
func (u *Manager) RequestAnswered(key uint64, ask *frontend.Request, cache uint64, made routing.Micros) {
	if !u.rows || ask.Background || !u.cases[ask.Class].Idempotent {
		return
	}
	now := u.host.Now()
	r := directory.Record{Key: shardmap.Key(key), Group: directory.Group(max(int(ask.Group), 0)), Class: uint8(ask.Class),
		SizeKB: uint32(min(max(ask.SizeKB, 0), math.MaxUint32)), LastRequest: now}
	if made > 0 {
		r.Copies[0] = directory.Copy{Cache: directory.CacheInstance(cache), LastSeen: now, CreatedAt: made}
	}
	u.control.ReportObject(r)
}

// Locate has others asked which caches hold an object, by its key.
func (u *Manager) Locate(key uint64) {
	if u.asks {
		u.control.Locate(shardmap.Key(key))
	}
}

// Purged hears of a purge of an object, or of a group as a whole.
func (u *Manager) Purged(object uint64, group int, whole bool, at routing.Micros) {
	if !u.rows {
		return
	}
	g := directory.Group(0)
	if whole {
		g = directory.Group(group)
	}
	u.control.Purge(shardmap.Key(hash.Combine(object, 0)), g, at)
}

// PurgesCaughtUp hears that all purges up to now have been told.
func (u *Manager) PurgesCaughtUp() {
	if u.rows {
		u.control.PurgesCaughtUp()
	}
}

// Mine tells whether a piece of work is this router's to do now.
func (u *Manager) Mine(w lease.Task) bool {
	no, ok := u.shares.LeaseOf(w)
	if !ok {
		return false
	}
	return u.control.Snapshot().HoldsLease(no, u.host.Now())
}

// Where tells who else holds a piece of work.
func (u *Manager) Where(w lease.Task) (netip.AddrPort, bool) {
	no, ok := u.shares.LeaseOf(w)
	if !ok {
		return netip.AddrPort{}, false
	}
	v := u.control.Snapshot()
	at, held := v.LeaseHolder(no)
	return at, held && at != v.Self.Address
}
