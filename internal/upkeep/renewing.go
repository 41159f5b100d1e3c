package upkeep

import (
	"fmt"
	"net/netip"

	"threadrun/background/ageing"
	"threadrun/background/chores"
	"threadrun/decide"
	"threadrun/fleet/duties"
	"threadrun/internal/front"
	"threadrun/internal/mix"
)

// Saw hears of a copy that answered a visit and is worth renewing.
func (u *Upkeep) Saw(c ageing.Copy) { u.ageing.Saw(u.host.Now(), c) }

// where tells the scheduler where a chore would go.
func (u *Upkeep) where(c *chores.Chore) (chores.Route, chores.Answer) {
	route := chores.Route{Cache: -1, Parent: -1}
	if !u.Mine(c.Work) { // another router holds it now, or this one must rest
		return route, chores.Never
	}
	if c.Class == probing {
		id := decide.CacheID(-1)
		u.host.Caches(func(at decide.CacheID, mark uint64, _ decide.Tier) {
			if mark == c.Work.Key() {
				id = at
			}
		})
		if id < 0 || !u.host.Router().MayProbe(id) {
			return route, chores.Never
		}
		route.Cache = int32(id)
		return route, chores.Go
	}
	ask, ok := u.ask(c)
	if !ok {
		return route, chores.Never
	}
	e, ok := u.host.Way(&ask)
	if !ok {
		return route, chores.Later
	}
	route.Cache, route.Link = int32(e.Cache), true
	if u.host.Tier(e.Source) == decide.Parent {
		route.Parent = int32(e.Source)
	}
	route.Origin = !e.HeldOnly
	return route, chores.Go
}

// ask words a renewal as the service takes it.
func (u *Upkeep) ask(c *chores.Chore) (ask front.Request, ok bool) {
	now := u.host.Now()
	copied, ok := u.ageing.Find(c.Work.Key())
	if !ok || !u.renews || copied.Until <= now {
		return ask, false
	}
	ask = front.Request{Case: decide.UseCaseID(copied.UseCase), Object: hexed(copied.Object), Part: copied.Part,
		Group: decide.GroupID(copied.Group), Tenant: decide.NoTenant, KB: copied.KB, Behind: true, Gap: copied.Gap,
		Patience: min(max(copied.Until-now, renewLeast), renewMost)}
	return ask, true
}

func hexed(x uint64) (m front.TraceID) {
	copy(m[:], fmt.Sprintf("%016x", x))
	return m
}

// renew sends a renewal out, as a visit that no client waits for.
func (u *Upkeep) renew(now decide.Micros, ticket chores.Ticket, c *chores.Chore) {
	ask, ok := u.ask(c)
	if !ok {
		u.chores.Ended(now, ticket, chores.TurnedAway)
		return
	}
	u.marks++
	self := u.control.View().Self
	ask.Mark = hexed(mix.Pair(uint64(self.Mark)^uint64(self.Life), u.marks))
	if !u.host.Arrive(renewals{u}, uint64(ticket), &ask) {
		u.chores.Ended(now, ticket, chores.TurnedAway)
	}
}

// renewals is the client of visits that no client waits for.
type renewals struct{ u *Upkeep }

func (r renewals) end(no uint64, how chores.Result) {
	r.u.chores.Ended(r.u.host.Now(), chores.Ticket(no), how)
}

// Answer hears that a copy was renewed.
func (r renewals) Answer(no uint64, _, _ []byte, _ bool) { r.end(no, chores.Done) }

// Reject hears that there was no room.
func (r renewals) Reject(no uint64, _ decide.Micros) { r.end(no, chores.TurnedAway) }

// Fail hears that a renewal failed.
func (r renewals) Fail(no uint64) { r.end(no, chores.Failed) }

// Assigned needs nothing of it.
func (r renewals) Assigned(uint64, decide.VisitID) {}

// Gone: no client waits for a renewal.
func (r renewals) Gone(uint64) bool { return false }

// Renew hands a renewal to the scheduler.
func (u *Upkeep) Renew(w duties.Work, r ageing.Renewal) {
	if u.renews {
		_ = u.chores.Put(u.host.Now(), chores.Chore{Work: w, Class: renewing, From: r.From, Due: r.Due, Until: r.Until, KB: r.KB})
	}
}

// agePost takes what ageing copies give out.
type agePost struct{ *Upkeep }

// Send sends what is said of ageing copies.
func (p agePost) Send(to netip.AddrPort, b []byte) { p.send(ofAgeing, to, b) }
