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

// ConsiderRefresh hears of a copy that answered a visit and is worth renewing.
func (u *Manager) ConsiderRefresh(c refresh.Copy) { u.ageing.ObserveCopy(u.host.Now(), c) }

// where tells the scheduler where a chore would go.
func (u *Manager) where(c *scheduler.Job) (scheduler.Route, scheduler.Verdict) {
	route := scheduler.Route{Cache: -1, Parent: -1}
	if !u.Mine(c.Task) { // another router holds it now, or this one must rest
		return route, scheduler.Discard
	}
	if c.Class == probing {
		id := routing.EndpointID(-1)
		u.host.EachEndpoint(func(at routing.EndpointID, mark uint64, _ routing.Tier) {
			if mark == c.Task.Key() {
				id = at
			}
		})
		if id < 0 || !u.host.Router().MayHealthCheck(id) {
			return route, scheduler.Discard
		}
		route.Cache = int32(id)
		return route, scheduler.Run
	}
	ask, ok := u.ask(c)
	if !ok {
		return route, scheduler.Discard
	}
	e, ok := u.host.PlanBackground(&ask)
	if !ok {
		return route, scheduler.Postpone
	}
	route.Cache, route.Link = int32(e.Cache), true
	if u.host.Tier(e.Source) == routing.Parent {
		route.Parent = int32(e.Source)
	}
	route.Origin = !e.OnlyIfCached
	return route, scheduler.Run
}

// ask words a renewal as the service takes it.
func (u *Manager) ask(c *scheduler.Job) (ask frontend.Request, ok bool) {
	now := u.host.Now()
	copied, ok := u.ageing.Lookup(c.Task.Key())
	if !ok || !u.renews || copied.FreshUntil <= now {
		return ask, false
	}
	ask = frontend.Request{Class: routing.ClassID(copied.Class), Object: hexed(copied.Object), Part: copied.Part,
		Group: routing.GroupID(copied.Group), Tenant: routing.NoTenant, SizeKB: copied.SizeKB, Background: true, RequestGap: copied.RequestGap,
		Timeout: min(max(copied.FreshUntil-now, renewLeast), renewMost)}
	return ask, true
}

func hexed(x uint64) (m frontend.HexID) {
	copy(m[:], fmt.Sprintf("%016x", x))
	return m
}

// renew sends a renewal out, as a visit that no client waits for.
func (u *Manager) renew(now routing.Micros, ticket scheduler.JobID, c *scheduler.Job) {
	ask, ok := u.ask(c)
	if !ok {
		u.chores.Ended(now, ticket, scheduler.Rejected)
		return
	}
	u.marks++
	self := u.control.Snapshot().Self
	ask.TraceID = hexed(hash.Combine(uint64(self.ID)^uint64(self.Incarnation), u.marks))
	if !u.host.Arrive(renewals{u}, uint64(ticket), &ask) {
		u.chores.Ended(now, ticket, scheduler.Rejected)
	}
}

// renewals is the client of visits that no client waits for.
type renewals struct{ u *Manager }

func (r renewals) end(no uint64, how scheduler.Result) {
	r.u.chores.Ended(r.u.host.Now(), scheduler.JobID(no), how)
}

// Answer hears that a copy was renewed.
func (r renewals) Answer(no uint64, _, _ []byte, _ bool) { r.end(no, scheduler.Succeeded) }

// Reject hears that there was no room.
func (r renewals) Reject(no uint64, _ routing.Micros) { r.end(no, scheduler.Rejected) }

// Fail hears that a renewal failed.
func (r renewals) Fail(no uint64) { r.end(no, scheduler.Failed) }

// Assigned needs nothing of it.
func (r renewals) Assigned(uint64, routing.RequestID) {}

// Canceled: no client waits for a renewal.
func (r renewals) Canceled(uint64) bool { return false }

// Refresh hands a renewal to the scheduler.
func (u *Manager) Refresh(w lease.Task, r refresh.Refresh) {
	if u.renews {
		_ = u.chores.Submit(u.host.Now(), scheduler.Job{Task: w, Class: renewing, NotBefore: r.NotBefore, Due: r.Due, Expires: r.FreshUntil, SizeKB: r.SizeKB})
	}
}

// agePost takes what ageing copies give out.
type agePost struct{ *Manager }

// Send sends what is said of ageing copies.
func (p agePost) Send(to netip.AddrPort, b []byte) { p.send(ofAgeing, to, b) }
