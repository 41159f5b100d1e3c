package backgroundwork

import (
	"net/netip"
	"time"

	"threadrun/background/scheduler"
	"threadrun/cluster/health"
	"threadrun/cluster/lease"
	"threadrun/routing"
)

// probe is one that is out.
type probe struct {
	ticket scheduler.JobID
	cache  routing.EndpointID
	mark   health.CacheID
}

// due hands in the probes that are this router's and due.
func (u *Manager) due(now routing.Micros) {
	u.host.EachEndpoint(func(id routing.EndpointID, mark uint64, tier routing.Tier) {
		if tier == routing.Origin || !u.sightings.ProbeDue(now, health.CacheID(mark), u.every) {
			return
		}
		w, err := lease.NewTask(lease.HealthCheck, mark, true)
		if err != nil || !u.Mine(w) || u.chores.Contains(w) {
			return
		}
		_ = u.chores.Submit(now, scheduler.Job{Task: w, Class: probing, Due: now + u.every/2, Expires: now + u.every})
	})
}

// probe sends a probe out.
func (u *Manager) probe(now routing.Micros, ticket scheduler.JobID, c *scheduler.Job, id routing.EndpointID) {
	no := u.host.Probe(id, u.timeout)
	if no == 0 {
		u.chores.Ended(now, ticket, scheduler.Rejected)
		return
	}
	u.out[no] = probe{ticket, id, health.CacheID(c.Task.Key())}
}

// ProbeEnded hears what a probe showed: there or not, or nothing.
func (u *Manager) ProbeEnded(no uint64, clear, there bool, took time.Duration) {
	p, ok := u.out[no]
	if !ok {
		return
	}
	delete(u.out, no)
	now := u.host.Now()
	how := scheduler.Succeeded // that a cache is not there is a result too
	if !clear {
		how = scheduler.Rejected
	}
	u.chores.Ended(now, p.ticket, how)
	if clear {
		u.sightings.RecordProbe(now, health.Report{Cache: p.mark, Healthy: there, Latency: routing.Micros(took.Microseconds()), ObservedAt: now})
	}
}

// sightPost takes what sightings give out.
type sightPost struct{ u *Manager }

// Updated passes a sighting on to the module.
func (p sightPost) Updated(s health.Report, _ bool) {
	u := p.u
	u.host.EachEndpoint(func(id routing.EndpointID, mark uint64, _ routing.Tier) {
		if mark == uint64(s.Cache) {
			u.host.Router().HealthChecked(id, s.Healthy, max(u.host.Now()-s.ObservedAt, 0))
		}
	})
}

// Send sends what is said of sightings.
func (p sightPost) Send(to netip.AddrPort, b []byte) { p.u.send(ofSightings, to, b) }

// Peers lists the routers of this zone that run.
func (p sightPost) Peers(f func(netip.AddrPort)) {
	for _, m := range p.u.control.Snapshot().Peers {
		if m.Zone == p.u.zone {
			f(m.Address)
		}
	}
}
