package backgroundwork

import (
	"net/netip"
	"time"

	"threadrun/background/scheduler"
	"threadrun/cluster/health"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/internal/clock"
	"threadrun/routing"
)

// healthCheck is a health check in progress.
type healthCheck struct {
	job   scheduler.JobID
	cache health.CacheID
}

// submitHealthChecks submits the checks that are due and whose leases this router holds. Origins are not checked.
func (m *Manager) submitHealthChecks(now routing.Micros) {
	m.host.EachEndpoint(func(_ routing.EndpointID, nameHash uint64, tier routing.Tier) {
		if tier == routing.Origin || !m.health.CheckDue(now, health.CacheID(nameHash), m.healthCheckInterval) {
			return
		}
		task, err := lease.NewTask(lease.HealthCheck, nameHash, true)
		if err != nil || !m.MayRun(task) || m.scheduler.Contains(task) {
			return
		}
		// A check that does not fit into the queue is due again at the next tick.
		_ = m.scheduler.Submit(now, scheduler.Job{
			Task:    task,
			Class:   healthCheckJobs,
			Due:     now + m.healthCheckInterval/2,
			Expires: now + m.healthCheckInterval,
		})
	})
}

// routeHealthCheck returns the cache that a health check uses. It discards the check if the cache has been removed or
// the router does not admit a check now; such a check is submitted again while it remains due.
func (m *Manager) routeHealthCheck(job *scheduler.Job) (scheduler.Route, scheduler.Verdict) {
	cache := routing.NoEndpoint
	m.host.EachEndpoint(func(id routing.EndpointID, nameHash uint64, _ routing.Tier) {
		if nameHash == job.Task.Key() {
			cache = id
		}
	})
	if cache < 0 || !m.host.Router().AdmitHealthCheck(cache) {
		return noRoute, scheduler.Discard
	}
	route := noRoute
	route.Cache = int32(cache)
	return route, scheduler.Run
}

// startHealthCheck starts a health check of a cache. The job ends as rejected if no connection is available.
func (m *Manager) startHealthCheck(now routing.Micros, id scheduler.JobID, job *scheduler.Job,
	cache routing.EndpointID) {
	number := m.host.StartHealthCheck(cache, m.healthCheckTimeout)
	if number == 0 {
		m.scheduler.Ended(now, id, scheduler.Rejected)
		return
	}
	m.healthChecks[number] = healthCheck{job: id, cache: health.CacheID(job.Task.Key())}
}

// HealthCheckEnded handles the end of the health check with a number returned by Host.StartHealthCheck. conclusive
// is false if the check ended for a reason that says nothing about the cache; alive is then meaningless.
func (m *Manager) HealthCheckEnded(number uint64, conclusive, alive bool, latency time.Duration) {
	check, ok := m.healthChecks[number]
	if !ok {
		return
	}
	delete(m.healthChecks, number)
	now := m.host.Now()
	if !conclusive {
		m.scheduler.Ended(now, check.job, scheduler.Rejected)
		return
	}
	m.scheduler.Ended(now, check.job, scheduler.Succeeded) // the check succeeds even if it finds the cache unhealthy
	m.health.RecordCheck(now, health.Report{
		Cache:      check.cache,
		Healthy:    alive,
		Latency:    clock.FromDuration(latency),
		ObservedAt: now,
	})
}

// healthOutput implements health.Output.
type healthOutput struct{ m *Manager }

// Updated passes the result of a health check, by this or another router, to the routing.Router.
func (o healthOutput) Updated(report health.Report, _ bool) {
	host := o.m.host
	host.EachEndpoint(func(id routing.EndpointID, nameHash uint64, _ routing.Tier) {
		if nameHash == uint64(report.Cache) {
			age := max(host.Now()-report.ObservedAt, 0)
			host.Router().HealthChecked(id, report.Healthy, age)
		}
	})
}

// Send sends reports to a peer.
func (o healthOutput) Send(to netip.AddrPort, payload []byte) {
	o.m.control.Send(node.KindHealth, to, payload)
}

// EachPeer calls f for each other present router of this zone; only these share the zone's caches.
func (o healthOutput) EachPeer(f func(netip.AddrPort)) {
	for _, peer := range o.m.control.Snapshot().Peers {
		if peer.Zone == o.m.zone {
			f(peer.Address)
		}
	}
}
