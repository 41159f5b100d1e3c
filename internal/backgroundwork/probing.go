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
	ticket scheduler.Ticket
	cache  routing.CacheID
	mark   health.Mark
}

// due hands in the probes that are this router's and due.
func (u *Upkeep) due(now routing.Micros) {
	u.host.Caches(func(id routing.CacheID, mark uint64, tier routing.Tier) {
		if tier == routing.Origin || !u.sightings.Due(now, health.Mark(mark), u.every) {
			return
		}
		w, err := lease.NewWork(lease.Probing, mark, true)
		if err != nil || !u.Mine(w) || u.chores.Has(w) {
			return
		}
		_ = u.chores.Put(now, scheduler.Chore{Work: w, Class: probing, Due: now + u.every/2, Until: now + u.every})
	})
}

// probe sends a probe out.
func (u *Upkeep) probe(now routing.Micros, ticket scheduler.Ticket, c *scheduler.Chore, id routing.CacheID) {
	no := u.host.Probe(id, u.timeout)
	if no == 0 {
		u.chores.Ended(now, ticket, scheduler.TurnedAway)
		return
	}
	u.out[no] = probe{ticket, id, health.Mark(c.Work.Key())}
}

// Probed hears what a probe showed: there or not, or nothing.
func (u *Upkeep) Probed(no uint64, clear, there bool, took time.Duration) {
	p, ok := u.out[no]
	if !ok {
		return
	}
	delete(u.out, no)
	now := u.host.Now()
	how := scheduler.Done // that a cache is not there is a result too
	if !clear {
		how = scheduler.TurnedAway
	}
	u.chores.Ended(now, p.ticket, how)
	if clear {
		u.sightings.Probed(now, health.Sighting{Cache: p.mark, There: there, Took: routing.Micros(took.Microseconds()), At: now})
	}
}

// sightPost takes what sightings give out.
type sightPost struct{ u *Upkeep }

// Seen passes a sighting on to the module.
func (p sightPost) Seen(s health.Sighting, _ bool) {
	u := p.u
	u.host.Caches(func(id routing.CacheID, mark uint64, _ routing.Tier) {
		if mark == uint64(s.Cache) {
			u.host.Router().Probed(id, s.There, max(u.host.Now()-s.At, 0))
		}
	})
}

// Send sends what is said of sightings.
func (p sightPost) Send(to netip.AddrPort, b []byte) { p.u.send(ofSightings, to, b) }

// Peers lists the routers of this zone that run.
func (p sightPost) Peers(f func(netip.AddrPort)) {
	for _, m := range p.u.control.View().Others {
		if m.Zone == p.u.zone {
			f(m.Address)
		}
	}
}
