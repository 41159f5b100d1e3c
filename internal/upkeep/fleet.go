package upkeep

import (
	"math"
	"net/netip"

	"github.com/sirupsen/logrus"

	"threadrun/decide"
	"threadrun/fleet/duties"
	"threadrun/fleet/holdings"
	"threadrun/fleet/presence"
	"threadrun/fleet/shards"
	"threadrun/instant"
	"threadrun/internal/front"
	"threadrun/internal/mix"
)

// share has the module go by another count of routers. A line each second at most: a count falls one by one.
func (u *Upkeep) share(s presence.Sharers) {
	if at := u.host.Now(); s.Fleet > u.sharers.Fleet || at-u.sharedAt >= instant.Second {
		u.sharedAt = at
		u.log.WithFields(logrus.Fields{"branch": s.Zone, "all": s.Fleet, "before": u.sharers.Fleet}).Info("presence: limits are shared by")
	}
	u.sharers = s
	u.host.Router().Sharing(s.Zone, s.Fleet)
}

// Visited hears of a visit that was delivered: by its object's key, from which cache, and when the copy was made; 0: not told.
func (u *Upkeep) Visited(key uint64, ask *front.Request, cache uint64, made decide.Micros) {
	if !u.rows || ask.Behind || !u.cases[ask.Case].Harmless {
		return
	}
	now := u.host.Now()
	r := holdings.Row{Key: shards.Key(key), Group: holdings.Group(max(int(ask.Group), 0)), UseCase: uint8(ask.Case),
		KB: uint32(min(max(ask.KB, 0), math.MaxUint32)), Last: now}
	if made > 0 {
		r.Copies[0] = holdings.Copy{Cache: holdings.Cache(cache), Seen: now, Born: made}
	}
	u.control.Saw(r)
}

// Seek has others asked which caches hold an object, by its key.
func (u *Upkeep) Seek(key uint64) {
	if u.asks {
		u.control.Want(shards.Key(key))
	}
}

// Purged hears of a purge of an object, or of a group as a whole.
func (u *Upkeep) Purged(object uint64, group int, whole bool, at decide.Micros) {
	if !u.rows {
		return
	}
	g := holdings.Group(0)
	if whole {
		g = holdings.Group(group)
	}
	u.control.Purged(shards.Key(mix.Pair(object, 0)), g, at)
}

// Caught hears that all purges up to now have been told.
func (u *Upkeep) Caught() {
	if u.rows {
		u.control.Caught()
	}
}

// Mine tells whether a piece of work is this router's to do now.
func (u *Upkeep) Mine(w duties.Work) bool {
	no, ok := u.shares.Of(w)
	if !ok {
		return false
	}
	return u.control.View().Mine(no, u.host.Now())
}

// Where tells who else holds a piece of work.
func (u *Upkeep) Where(w duties.Work) (netip.AddrPort, bool) {
	no, ok := u.shares.Of(w)
	if !ok {
		return netip.AddrPort{}, false
	}
	v := u.control.View()
	at, held := v.Where(no)
	return at, held && at != v.Self.Address
}
