package backgroundwork

import (
	"fmt"
	"net/netip"

	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/lease"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// Saw hears of a copy that answered a visit and is worth renewing.
func (u *Upkeep) Saw(c refresh.Copy) { u.ageing.Saw(u.host.Now(), c) }

// where tells the scheduler where a chore would go.
func (u *Upkeep) where(c *scheduler.Chore) (scheduler.Route, scheduler.Answer) {
	route := scheduler.Route{Cache: -1, Parent: -1}
	if !u.Mine(c.Work) { // another router holds it now, or this one must rest
		return route, scheduler.Never
	}
	if c.Class == probing {
		id := routing.CacheID(-1)
		u.host.Caches(func(at routing.CacheID, mark uint64, _ routing.Tier) {
			if mark == c.Work.Key() {
				id = at
			}
		})
		if id < 0 || !u.host.Router().MayProbe(id) {
			return route, scheduler.Never
		}
		route.Cache = int32(id)
		return route, scheduler.Go
	}
	ask, ok := u.ask(c)
	if !ok {
		return route, scheduler.Never
	}
	e, ok := u.host.Way(&ask)
	if !ok {
		return route, scheduler.Later
	}
	route.Cache, route.Link = int32(e.Cache), true
	if u.host.Tier(e.Source) == routing.Parent {
		route.Parent = int32(e.Source)
	}
	route.Origin = !e.HeldOnly
	return route, scheduler.Go
}

// ask words a renewal as the service takes it.
func (u *Upkeep) ask(c *scheduler.Chore) (ask frontend.Request, ok bool) {
	now := u.host.Now()
	copied, ok := u.ageing.Find(c.Work.Key())
	if !ok || !u.renews || copied.Until <= now {
		return ask, false
	}
	ask = frontend.Request{Case: routing.UseCaseID(copied.UseCase), Object: hexed(copied.Object), Part: copied.Part,
		Group: routing.GroupID(copied.Group), Tenant: routing.NoTenant, KB: copied.KB, Behind: true, Gap: copied.Gap,
		Patience: min(max(copied.Until-now, renewLeast), renewMost)}
	return ask, true
}

func hexed(x uint64) (m frontend.TraceID) {
	copy(m[:], fmt.Sprintf("%016x", x))
	return m
}

// renew sends a renewal out, as a visit that no client waits for.
func (u *Upkeep) renew(now routing.Micros, ticket scheduler.Ticket, c *scheduler.Chore) {
	ask, ok := u.ask(c)
	if !ok {
		u.chores.Ended(now, ticket, scheduler.TurnedAway)
		return
	}
	u.marks++
	self := u.control.View().Self
	ask.Mark = hexed(hash.Pair(uint64(self.Mark)^uint64(self.Life), u.marks))
	if !u.host.Arrive(renewals{u}, uint64(ticket), &ask) {
		u.chores.Ended(now, ticket, scheduler.TurnedAway)
	}
}

// renewals is the client of visits that no client waits for.
type renewals struct{ u *Upkeep }

func (r renewals) end(no uint64, how scheduler.Result) {
	r.u.chores.Ended(r.u.host.Now(), scheduler.Ticket(no), how)
}

// Answer hears that a copy was renewed.
func (r renewals) Answer(no uint64, _, _ []byte, _ bool) { r.end(no, scheduler.Done) }

// Reject hears that there was no room.
func (r renewals) Reject(no uint64, _ routing.Micros) { r.end(no, scheduler.TurnedAway) }

// Fail hears that a renewal failed.
func (r renewals) Fail(no uint64) { r.end(no, scheduler.Failed) }

// Assigned needs nothing of it.
func (r renewals) Assigned(uint64, routing.VisitID) {}

// Gone: no client waits for a renewal.
func (r renewals) Gone(uint64) bool { return false }

// Renew hands a renewal to the scheduler.
func (u *Upkeep) Renew(w lease.Work, r refresh.Renewal) {
	if u.renews {
		_ = u.chores.Put(u.host.Now(), scheduler.Chore{Work: w, Class: renewing, From: r.From, Due: r.Due, Until: r.Until, KB: r.KB})
	}
}

// agePost takes what ageing copies give out.
type agePost struct{ *Upkeep }

// Send sends what is said of ageing copies.
func (p agePost) Send(to netip.AddrPort, b []byte) { p.send(ofAgeing, to, b) }
