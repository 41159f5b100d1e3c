package service

import "threadrun/routing"

// Planted faults, for tests of the search alone: only a program built with the tag 'planted' has them, and only if one is put on.
const (
	plantPurge  = iota + 1 // a purge is forgotten of whose object a trip is out
	plantDrain             // a drain is taken up after its grace, and that is counted from the end of the poll after it
	plantRepeat            // a broken connection counts as proof that nothing ran
)

// underWayOf tells whether a trip for an object is out.
func (s *proxy) underWayOf(object string) bool {
	for i := range s.requests {
		if c := &s.requests[i]; c.client != nil && string(c.params.Object[:]) == object {
			return true
		}
	}
	return false
}

// drains are those that a planted fault holds back.
type drains struct {
	list  []routing.Endpoint
	heard bool           // and no poll has ended since
	due   routing.Micros // 0: not known yet
}

const plantedGrace = 500 * 1000

// hold takes drains out of a list.
func (d *drains) hold(list []routing.Endpoint) {
	for i := range list {
		if list[i].State == routing.Draining {
			d.list = append(d.list, list[i])
			d.heard, d.due = true, 0
			list[i].State = routing.Up
		}
	}
}

// told hears that a poll has ended.
func (d *drains) told(now routing.Micros) {
	switch {
	case d.heard:
		d.heard = false
	case len(d.list) > 0 && d.due == 0:
		d.due = now + plantedGrace
	}
}

// plantedDrains tells the module of drains that are due.
func (s *proxy) plantedDrains() {
	if d := &s.failpoints; d.due > 0 && s.clockNow() >= d.due {
		s.setRouterTime()
		s.router.UpdateEndpoints(d.list, false)
		d.list, d.due = nil, 0
	}
}
