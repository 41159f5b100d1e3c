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
func (u *Upkeep) share(s fleetsize.Sharers) {
	if at := u.host.Now(); s.Fleet > u.sharers.Fleet || at-u.sharedAt >= clock.Second {
		u.sharedAt = at
		u.log.WithFields(logrus.Fields{"branch": s.Zone, "all": s.Fleet, "before": u.sharers.Fleet}).Info("presence: limits are shared by")
	}
	u.sharers = s
	u.host.Router().Sharing(s.Zone, s.Fleet)
}

// Visited hears of a visit that was delivered: by its object's key, from which cache, and when the copy was made; 0: not told.
func (u *Upkeep) Visited(key uint64, ask *frontend.Request, cache uint64, made routing.Micros) {
	if !u.rows || ask.Behind || !u.cases[ask.Case].Harmless {
		return
	}
	now := u.host.Now()
	r := directory.Row{Key: shardmap.Key(key), Group: directory.Group(max(int(ask.Group), 0)), UseCase: uint8(ask.Case),
		KB: uint32(min(max(ask.KB, 0), math.MaxUint32)), Last: now}
	if made > 0 {
		r.Copies[0] = directory.Copy{Cache: directory.Cache(cache), Seen: now, Born: made}
	}
	u.control.Saw(r)
}

// Seek has others asked which caches hold an object, by its key.
func (u *Upkeep) Seek(key uint64) {
	if u.asks {
		u.control.Want(shardmap.Key(key))
	}
}

// Purged hears of a purge of an object, or of a group as a whole.
func (u *Upkeep) Purged(object uint64, group int, whole bool, at routing.Micros) {
	if !u.rows {
		return
	}
	g := directory.Group(0)
	if whole {
		g = directory.Group(group)
	}
	u.control.Purged(shardmap.Key(hash.Pair(object, 0)), g, at)
}

// Caught hears that all purges up to now have been told.
func (u *Upkeep) Caught() {
	if u.rows {
		u.control.Caught()
	}
}

// Mine tells whether a piece of work is this router's to do now.
func (u *Upkeep) Mine(w lease.Work) bool {
	no, ok := u.shares.Of(w)
	if !ok {
		return false
	}
	return u.control.View().Mine(no, u.host.Now())
}

// Where tells who else holds a piece of work.
func (u *Upkeep) Where(w lease.Work) (netip.AddrPort, bool) {
	no, ok := u.shares.Of(w)
	if !ok {
		return netip.AddrPort{}, false
	}
	v := u.control.View()
	at, held := v.Where(no)
	return at, held && at != v.Self.Address
}
