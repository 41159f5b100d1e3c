package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// clockStepThreshold is how far the wall clock must be off before it counts as set: less is slewing.
const clockStepThreshold = 100 * time.Millisecond

// clockNow is the router's time: the Unix time at the start and the time that has run since. It never goes backwards.
func (p *proxy) clockNow() routing.Micros {
	sinceStart := p.runtime.Now().Sub(p.startedAt)
	return routing.Micros(p.startedAtWall.UnixMicro() + sinceStart.Microseconds())
}

// setRouterTime precedes every call of the router.
func (p *proxy) setRouterTime() {
	p.now = p.clockNow()
	p.router.SetTime(p.now)
}

// fromUnixMillis turns a Unix time in milliseconds into the router's. Where the wall clock was set since the start, the
// later of the two readings counts: reading a purge or a cold start as too old breaks a rule, as too young does not.
func (p *proxy) fromUnixMillis(unixMillis int64) routing.Micros {
	now := p.clockNow()
	byStartClock := routing.Micros(unixMillis * 1000)
	byWallClock := now - routing.Micros(p.runtime.WallTime().UnixMicro()) + byStartClock
	return min(max(byWallClock, byStartClock), now)
}

// checkWallClock logs that the wall clock was set.
func (p *proxy) checkWallClock(now time.Time) {
	offset := p.runtime.WallTime().Sub(p.startedAtWall) - now.Sub(p.startedAt)
	step := offset - p.loggedClockOffset
	if step.Abs() <= clockStepThreshold {
		return
	}
	p.loggedClockOffset = offset
	p.log.WithFields(logrus.Fields{"by_ms": step.Milliseconds(), "since_start_ms": offset.Milliseconds()}).
		Warn("system clock was set")
}
