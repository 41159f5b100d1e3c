package service

import (
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/frontend"
	"threadrun/routing"
)

// A trace id is new with every request. A client that has left, or that has closed its connection before the router
// could know it, may send a request again under the same trace id all the same. If the request may have run, and must
// not take effect twice, it is refused then, like one whose trace id is that of an open request.

const (
	recentIDLifetime = time.Minute // for which a trace id is remembered
	maxRecentIDs     = 1 << 12     // number that is remembered; the oldest are forgotten first
)

// recentID is the trace id of a request that may have run.
type recentID struct {
	traceID frontend.HexID
	until   routing.Micros // when it is forgotten
}

// recentIDs remembers the trace ids of requests that may have run. The zero value is empty.
//
// Invariant: until contains exactly the ids in oldest, with the latest time at which each is forgotten.
type recentIDs struct {
	oldest []recentID // in the order in which they were added
	until  map[frontend.HexID]routing.Micros
}

// add remembers a trace id from now on.
func (d *recentIDs) add(id frontend.HexID, now routing.Micros) {
	if d.until == nil {
		d.until = map[frontend.HexID]routing.Micros{}
	}
	d.forget(now)
	until := now + clock.FromDuration(recentIDLifetime)
	d.oldest = append(d.oldest, recentID{id, until})
	d.until[id] = until
}

// contains reports whether a trace id is remembered.
func (d *recentIDs) contains(id frontend.HexID, now routing.Micros) bool {
	until, found := d.until[id]
	return found && now < until
}

// forget removes the ids whose time is over, and the oldest one if there is no room for another.
func (d *recentIDs) forget(now routing.Micros) {
	for len(d.oldest) > 0 && (d.oldest[0].until <= now || len(d.oldest) >= maxRecentIDs) {
		first := d.oldest[0]
		d.oldest = d.oldest[1:]
		if d.until[first.traceID] == first.until { // the id was not added again
			delete(d.until, first.traceID)
		}
	}
}

// rememberRun remembers the trace id of a request after an attempt that may have run, if the request must not take
// effect twice.
func (p *proxy) rememberRun(r *request, outcome routing.Outcome, now routing.Micros) {
	unsent := outcome == routing.Canceled
	if unsent || outcome.ProvesNotRun() || p.names.Classes[r.params.Class].Effect == routing.Idempotent {
		return
	}
	p.recentIDs.add(r.params.TraceID, now)
}
