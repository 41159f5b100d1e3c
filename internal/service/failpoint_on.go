//go:build planted

package service

import (
	"os"
	"strconv"

	"threadrun/routing"
)

// failpoint identifies one fault that a test can enable.
type failpoint int

const (
	noFailpoint      failpoint = iota
	dropPurge                  // a purge is dropped while a request for its object is open
	delayDrain                 // a drain takes effect drainDelay after the end of the next poll of the endpoint list
	retryLostRequest           // a lost connection counts as proof that the request did not run
)

const drainDelay routing.Micros = 500 * 1000

// activeFailpoint is read by all routers of the process without synchronization, so it must be set before they
// start.
var activeFailpoint = noFailpoint

// failpointVariable is the environment variable that contains the number of the failpoint to enable in the process.
const failpointVariable = "THREADRUN_FAILPOINT"

func init() {
	if number, err := strconv.Atoi(os.Getenv(failpointVariable)); err == nil {
		SetFailpoint(number)
	}
}

// SetFailpoint enables the failpoint with the given number and disables all others; 0 disables all.
func SetFailpoint(number int) { activeFailpoint = failpoint(number) }

// failpoints is the state of a proxy's failpoints: the drains delayed by delayDrain.
type failpoints struct {
	drains          []routing.Endpoint
	awaitingPollEnd bool           // the poll that returned the last drain has not ended
	releaseAt       routing.Micros // when the drains take effect; 0: not known before the end of the next poll
}

// shouldDropPurge reports whether dropPurge is enabled and a request for the object is open.
func (*failpoints) shouldDropPurge(p *proxy, object string) bool {
	if activeFailpoint != dropPurge {
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

// delayDrains stores the draining endpoints of an update, and changes their state in the update to up.
func (f *failpoints) delayDrains(update []routing.Endpoint) {
	if activeFailpoint != delayDrain {
		return
	}
	for i := range update {
		if update[i].State != routing.Draining {
			continue
		}
		f.drains = append(f.drains, update[i])
		f.awaitingPollEnd = true
		f.releaseAt = 0
		update[i].State = routing.Up
	}
}

// pollEnded must be called when a poll of the endpoint list has ended and its events were applied. The first call
// after a drain belongs to the poll that returned the drain; the second call starts the delay.
func (f *failpoints) pollEnded(now routing.Micros) {
	switch {
	case activeFailpoint != delayDrain:
	case f.awaitingPollEnd:
		f.awaitingPollEnd = false
	case len(f.drains) > 0 && f.releaseAt == 0:
		f.releaseAt = now + drainDelay
	}
}

// releaseDrains passes the stored drains to the Router once they are due. It must be called without the engine's
// lock.
func (f *failpoints) releaseDrains(p *proxy) {
	if activeFailpoint != delayDrain {
		return
	}
	p.engine.Do(func() {
		if f.releaseAt == 0 || p.clockNow() < f.releaseAt {
			return
		}
		p.setRouterTime()
		p.router.UpdateEndpoints(f.drains, false)
		f.drains = nil
		f.releaseAt = 0
	})
}

// retryAfterConnectionLoss reports whether a lost connection counts as proof that the request did not run.
func retryAfterConnectionLoss() bool { return activeFailpoint == retryLostRequest }
