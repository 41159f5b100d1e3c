package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// clockStepThreshold is the change of the wall clock's offset above which the clock counts as set. Smaller changes
// are slewing.
const clockStepThreshold = 100 * time.Millisecond

// clockNow returns the router's time: the Unix time at the start plus the monotonic time since then. It never goes
// back.
func (p *proxy) clockNow() routing.Micros {
	sinceStart := p.runtime.Now().Sub(p.startedAt)
	return routing.Micros(p.startedAtWall.UnixMicro() + sinceStart.Microseconds())
}

// setRouterTime sets the router's time. It must precede every call of the router.
func (p *proxy) setRouterTime() {
	p.now = p.clockNow()
	p.router.SetTime(p.now)
}

// fromUnixMillis converts a Unix time in milliseconds to the router's clock. If the wall clock was set since the
// start, it uses the later of the two readings: taking a purge or a cold start for too old breaks a rule, taking it
// for too young does not.
func (p *proxy) fromUnixMillis(unixMillis int64) routing.Micros {
	now := p.clockNow()
	byStartClock := routing.Micros(unixMillis * 1000)
	byWallClock := now - routing.Micros(p.runtime.WallTime().UnixMicro()) + byStartClock
	return min(max(byWallClock, byStartClock), now)
}

// checkWallClock logs when the wall clock was set.
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
