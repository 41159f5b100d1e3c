package backgroundwork

import (
	"fmt"
	"net/netip"

	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/internal/clock"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// Limits of the timeout of a refresh request. Between them, the timeout is the time until the copy becomes stale.
const (
	minRefreshTimeout = 500 * clock.Millisecond
	maxRefreshTimeout = 3 * clock.Second
)

// ConsiderRefresh reports a copy that answered a request and is worth refreshing.
func (m *Manager) ConsiderRefresh(c refresh.Copy) { m.refresh.ObserveCopy(m.host.Now(), c) }

// Refresh submits a refresh as a job. If the queue is full the refresh is dropped; the copy will be reported again.
func (m *Manager) Refresh(task lease.Task, due refresh.Refresh) {
	if !m.refreshEnabled {
		return
	}
	_ = m.scheduler.Submit(m.host.Now(), scheduler.Job{
		Task:      task,
		Class:     refreshJobs,
		NotBefore: due.NotBefore,
		Due:       due.Due,
		Expires:   due.FreshUntil,
		SizeKB:    due.SizeKB,
	})
}

// routeRefresh returns the endpoints that a refresh would use now. It postpones the refresh if the router forwards no
// background request now.
func (m *Manager) routeRefresh(job *scheduler.Job) (scheduler.Route, scheduler.Verdict) {
	request, ok := m.refreshRequest(job)
	if !ok {
		return noRoute, scheduler.Discard
	}
	plan, ok := m.host.PlanBackground(&request)
	if !ok {
		return noRoute, scheduler.Postpone
	}
	route := noRoute
	route.Cache = int32(plan.Cache)
	route.Link = true
	if m.host.Tier(plan.Source) == routing.Parent {
		route.Parent = int32(plan.Source)
	}
	route.Origin = !plan.OnlyIfCached
	return route, scheduler.Run
}

// startRefresh sends a refresh as a request that no client waits for.
func (m *Manager) startRefresh(now routing.Micros, id scheduler.JobID, job *scheduler.Job) {
	request, ok := m.refreshRequest(job)
	if !ok {
		m.scheduler.Ended(now, id, scheduler.Rejected)
		return
	}
	m.refreshCount++
	self := m.control.Snapshot().Self
	request.TraceID = hexID(hash.Combine(uint64(self.ID)^uint64(self.Incarnation), m.refreshCount))
	if !m.host.StartRequest(refreshClient{m}, frontend.RequestNumber(id), &request) {
		m.scheduler.Ended(now, id, scheduler.Rejected)
	}
}

// refreshRequest returns the request that refreshes a job's copy, or false if the copy is no longer tracked or is
// already stale, or refreshing has been disabled.
func (m *Manager) refreshRequest(job *scheduler.Job) (frontend.Request, bool) {
	now := m.host.Now()
	c, ok := m.refresh.Lookup(job.Task.Key())
	if !ok || !m.refreshEnabled || c.FreshUntil <= now {
		return frontend.Request{}, false
	}
	return frontend.Request{
		Class:      routing.ClassID(c.Class),
		Object:     hexID(c.Object),
		Part:       c.Part,
		Group:      routing.GroupID(c.Group),
		Tenant:     routing.NoTenant,
		SizeKB:     c.SizeKB,
		Background: true,
		RequestGap: c.RequestGap,
		Timeout:    min(max(c.FreshUntil-now, minRefreshTimeout), maxRefreshTimeout),
	}, true
}

// hexID returns the 16 hexadecimal digits of an ID.
func hexID(x uint64) (id frontend.HexID) {
	copy(id[:], fmt.Sprintf("%016x", x))
	return id
}

// refreshClient is the frontend.Client of refresh requests, whose numbers are the IDs of their jobs. It reports the
// results of the requests to the scheduler.
type refreshClient struct{ m *Manager }

func (c refreshClient) end(number frontend.RequestNumber, result scheduler.Result) {
	c.m.scheduler.Ended(c.m.host.Now(), scheduler.JobID(number), result)
}

// Answer handles the end of a successful refresh.
func (c refreshClient) Answer(number frontend.RequestNumber, _, _ []byte, _ bool) {
	c.end(number, scheduler.Succeeded)
}

// Reject handles the end of a refresh that the router rejected because there was no capacity.
func (c refreshClient) Reject(number frontend.RequestNumber, _ routing.Micros) {
	c.end(number, scheduler.Rejected)
}

// Fail handles the end of a failed refresh.
func (c refreshClient) Fail(number frontend.RequestNumber) { c.end(number, scheduler.Failed) }

// IDAssigned does nothing: the router's id of a request is needed only to cancel it, and refreshes are never canceled.
func (c refreshClient) IDAssigned(frontend.RequestNumber, routing.RequestID) {}

// State always returns ClientWaits, because no client can cancel a refresh.
func (c refreshClient) State(frontend.RequestNumber) frontend.ClientState {
	return frontend.ClientWaits
}

// refreshExecutor implements refresh.Executor.
type refreshExecutor struct{ *Manager }

// Send sends a report of copies to a peer.
func (e refreshExecutor) Send(to netip.AddrPort, payload []byte) {
	e.control.Send(node.KindRefresh, to, payload)
}
