package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// clockNow is the Unix time at the start and the time that has run since: it never goes backwards and never stands.
func (s *proxy) clockNow() routing.Micros {
	return routing.Micros(s.startedAtWall.UnixMicro() + s.runtime.Now().Sub(s.startedAt).Microseconds())
}

// fromUnixMillis turns a Unix time in milliseconds into one on our clock. Should the system's have been set since the start, either may be the wrong one:
// the later of the two times counts, as a purge or a cold start taken for older than it is breaks a rule, and the other way round does not.
func (s *proxy) fromUnixMillis(unixMS int64) routing.Micros {
	now, at := s.clockNow(), routing.Micros(unixMS*1000)
	return min(max(now-routing.Micros(s.runtime.WallTime().UnixMicro())+at, at), now)
}

// checkWallClock logs it when the system's clock was set. What others tell in its time is taken for the later of two from then on: see own.
func (s *proxy) checkWallClock(now time.Time) {
	off := s.runtime.WallTime().Sub(s.startedAtWall) - now.Sub(s.startedAt)
	if by := off - s.loggedClockOffset; by > clockStepThreshold || by < -clockStepThreshold {
		s.loggedClockOffset = off
		s.log.WithFields(logrus.Fields{"by_ms": by.Milliseconds(), "since_start_ms": off.Milliseconds()}).Warn("clock: the system's clock was set")
	}
}

// setRouterTime begins every call of the module: the clock first.
func (s *proxy) setRouterTime() {
	s.now = s.clockNow()
	s.router.SetTime(s.now)
}

// run starts the one timer: for the module's wakes, the trips' limits and the upkeep of connections.
func (s *proxy) run() {
	turns := s.runtime.StartLoop(s.turn, func() {})
	s.engine.Do(func() { s.loop = turns })
	turns.Wake() // for an alarm that was set meanwhile
}

// turn is one call of the timer; it gives the span until the next.
func (s *proxy) turn() (span time.Duration) {
	s.engine.Do(func() {
		s.turnDelay = 0
		s.turnDelay = s.maxUnreadAge()
		s.fireTimers()
	})
	if plant == plantDrain {
		s.engine.Do(s.plantedDrains)
	}
	s.engine.Do(func() {
		if now := s.runtime.Now(); now.Sub(s.lastTick) >= tickInterval {
			s.lastTick = now
			s.checkWallClock(now)
			s.engine.Tick(now)
			s.pool.Tick(now)
			s.watch.Tick(now)
			s.tickFrontend(now)
			if s.background != nil {
				s.background.Tick(now)
			}
		}
	})
	s.engine.Do(func() {
		next := s.clockNow() + routing.Micros(tickInterval.Microseconds())
		if len(s.timers) > 0 {
			next = min(next, s.timers[0].at)
		}
		s.nextTurn = next
		span = max(time.Duration(next-s.clockNow())*time.Microsecond, 0)
	})
	return span
}

// maxUnreadAge is how long what is read now may have lain unread at most, as far as it can be known: while the timer got no turn, nothing
// else did.
func (s *proxy) maxUnreadAge() routing.Micros {
	if s.nextTurn == 0 {
		return 0
	}
	return max(s.turnDelay, s.clockNow()-s.nextTurn, 0)
}

// Stalled tells whether the router has just had no turn for long.
func (s *proxy) Stalled() bool { return s.maxUnreadAge() >= stallThreshold }

// fireTimers does what is due.
func (s *proxy) fireTimers() {
	s.setRouterTime()
	woke := false
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		a := s.timers.pop()
		if a.forRouter {
			woke = true
			continue
		}
		s.attemptTimedOut(a.attempt)
	}
	if woke {
		s.router.TimerFired()
	}
}

func (s *proxy) setTimer(a timer) {
	s.timers.push(a)
	if a.at < s.nextTurn {
		s.nextTurn = a.at
		if s.loop != nil {
			s.loop.Wake()
		}
	}
}

// SetTimer arms the timer.
func (s *proxy) SetTimer(at routing.Micros) { s.setTimer(timer{at: at, forRouter: true}) }

// Now is the router's clock, for background work.
func (s *proxy) Now() routing.Micros { return s.clockNow() }
