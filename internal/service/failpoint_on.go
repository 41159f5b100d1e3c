//go:build planted

package service

import "threadrun/routing"

// failpoint is one fault that a test can switch on.
type failpoint int

const (
	noFailpoint      failpoint = iota
	forgetPurge                // a purge is forgotten if an attempt for its object is out
	delayDrain                 // a drain takes effect drainDelay after the end of the next watch request
	retryLostRequest           // a lost connection counts as proof that the request did not run
)

const drainDelay routing.Micros = 500 * 1000

// activeFailpoint is set before the routers start and read by all of them.
var activeFailpoint = noFailpoint

// SetFailpoint switches a fault on by its number, and the one before off; 0: none.
func SetFailpoint(number int) { activeFailpoint = failpoint(number) }

// failpoints is what a proxy holds for them: the drains that delayDrain keeps back.
type failpoints struct {
	drains  []routing.Endpoint
	waiting bool           // for the end of a watch request
	due     routing.Micros // 0: not known yet
}

// forgetsPurge reports whether a purge is to be dropped.
func (*failpoints) forgetsPurge(p *proxy, object string) bool {
	if activeFailpoint != forgetPurge {
		return false
	}
	for i := range p.requests {
		r := &p.requests[i]
		if r.client != nil && string(r.params.Object[:]) == object {
			return true
		}
	}
	return false
}

// delayDrains removes the drains from an endpoint update.
func (f *failpoints) delayDrains(update []routing.Endpoint) {
	if activeFailpoint != delayDrain {
		return
	}
	for i := range update {
		if update[i].State != routing.Draining {
			continue
		}
		f.drains = append(f.drains, update[i])
		f.waiting = true
		f.due = 0
		update[i].State = routing.Up
	}
}

// watchAnswered is called when a watch request has ended.
func (f *failpoints) watchAnswered(now routing.Micros) {
	switch {
	case activeFailpoint != delayDrain:
	case f.waiting:
		f.waiting = false
	case len(f.drains) > 0 && f.due == 0:
		f.due = now + drainDelay
	}
}

// releaseDrains passes the drains that are due on to the router.
func (f *failpoints) releaseDrains(p *proxy) {
	if activeFailpoint != delayDrain {
		return
	}
	p.engine.Do(func() {
		if f.due == 0 || p.clockNow() < f.due {
			return
		}
		p.setRouterTime()
		p.router.UpdateEndpoints(f.drains, false)
		f.drains = nil
		f.due = 0
	})
}

// retryAfterConnectionLoss reports whether a lost connection is to count as proof that nothing ran.
func retryAfterConnectionLoss() bool { return activeFailpoint == retryLostRequest }
