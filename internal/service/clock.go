package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// clockStepThreshold is the change of the wall clock's offset from the monotonic clock above which the wall clock
// counts as having been set. Smaller changes are attributed to slewing.
const clockStepThreshold = 100 * time.Millisecond

// clockNow returns the Router's time in microseconds: the Unix time at the start of the process plus the monotonic
// time since then. It never goes back, even if the wall clock is set.
func (p *proxy) clockNow() routing.Micros {
	sinceStart := p.runtime.Now().Sub(p.startedAt)
	return routing.Micros(p.startedAtWall.UnixMicro() + sinceStart.Microseconds())
}

// setRouterTime sets the Router's time to the current time. It must be called before every call of the Router.
func (p *proxy) setRouterTime() {
	p.now = p.clockNow()
	p.router.SetTime(p.now)
}

// fromUnixMillis converts a Unix time in milliseconds to the Router's clock. If the wall clock was set since the
// start of the process, it converts with the clock's old and new setting and returns the later result, but at most
// the current time. A purge or a start of an endpoint may appear more recent than it is, but must not appear less
// recent: otherwise copies from before the purge would be accepted, and an endpoint with a cold cache would get more
// requests than its slow start permits.
func (p *proxy) fromUnixMillis(unixMillis int64) routing.Micros {
	now := p.clockNow()
	byStartClock := routing.Micros(unixMillis * 1000)
	byWallClock := now - routing.Micros(p.runtime.WallTime().UnixMicro()) + byStartClock
	return min(max(byWallClock, byStartClock), now)
}

// checkWallClock logs if the wall clock was set since the last call. now is the time of the monotonic clock.
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
