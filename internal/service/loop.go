package service

import (
	"time"

	"threadrun/internal/clock"
	"threadrun/routing"
)

// tickInterval is the time between two ticks of the proxy's components.
const tickInterval = 20 * time.Millisecond

// run starts the only timer loop, which fires the Router's timers, ends attempts at their deadlines, and ticks the
// proxy's components.
func (p *proxy) run() {
	loop := p.runtime.StartLoop(p.turn, func() {})
	p.engine.Do(func() { p.loop = loop })
	loop.Wake() // setTimer could not wake the loop before p.loop was set
}

// turn runs one iteration of the loop, and returns the time until the next one. It must be called without the
// engine's lock.
func (p *proxy) turn() time.Duration {
	p.engine.Do(func() {
		p.DetectStall()
		p.lastTurnDelay = p.loopDelay()
		if !p.holdsBackTimers() {
			p.fireTimers()
		}
	})
	p.failpoints.releaseDrains(p)
	p.engine.Do(p.tickIfDue)
	var wait time.Duration
	p.engine.Do(func() { wait = p.scheduleTurn() })
	return wait
}

// tickIfDue ticks all components if tickInterval has passed since the last tick, but not in a turn that holds back the
// timers.
func (p *proxy) tickIfDue() {
	now := p.runtime.Now()
	if now.Sub(p.lastTick) < tickInterval || p.holdsBackTimers() {
		return
	}
	p.lastTick = now
	p.checkWallClock(now)
	p.engine.Tick(now)
	p.pool.Tick(now)
	p.watch.Tick(now)
	p.frontend.Tick(now)
	if p.background != nil {
		p.background.Tick(now)
	}
}

// scheduleTurn schedules the next turn for the earliest timer or the next tick, whichever is first, or for the end
// of the grace period after a stall. It returns the time until then.
func (p *proxy) scheduleTurn() time.Duration {
	p.DetectStall() // the process may have stalled during this turn
	p.countTurnHeldBack()
	next := p.clockNow() + clock.FromDuration(tickInterval)
	if len(p.timers.Heap) > 0 {
		next = min(next, p.timers.Heap[0].at)
	}
	if p.inStallGracePeriod() {
		next = p.stallNoticedAt + stallGracePeriod
	}
	p.nextTurnAt = next
	p.lastTurnEndedAt = p.clockNow()
	return max((next - p.lastTurnEndedAt).Duration(), 0)
}

// fireTimers ends the attempts whose deadlines have passed, and withdraws those that were not sent in time. It then
// calls Router.TimerFired if at least one of the Router's timers is due.
func (p *proxy) fireTimers() {
	p.setRouterTime()
	routerTimerDue := false
	for len(p.timers.Heap) > 0 && p.timers.Heap[0].at <= p.now {
		t := p.timers.Pop()
		switch t.kind {
		case attemptDeadline:
			p.attemptTimedOut(t.attempt)
		case attemptUnsent:
			p.withdrawUnsent(t.attempt)
		case routerTimer:
			routerTimerDue = true
		}
	}
	if routerTimerDue {
		p.router.TimerFired()
	}
}

// setTimer adds a timer, and wakes the loop if the timer is due before the next turn.
func (p *proxy) setTimer(t timer) {
	p.timers.push(t, p.needsTimer)
	if t.at >= p.nextTurnAt {
		return
	}
	p.nextTurnAt = t.at
	if p.loop != nil {
		p.loop.Wake()
	}
}

// SetTimer implements routing.Executor: it requests a call of Router.TimerFired at the given time.
func (p *proxy) SetTimer(at routing.Micros) { p.setTimer(timer{at: at, kind: routerTimer}) }
