package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// clock is the Unix time at the start and the time that has run since: it never goes backwards and never stands.
func (s *Service) clock() routing.Micros {
	return routing.Micros(s.wall.UnixMicro() + s.ground.Now().Sub(s.start).Microseconds())
}

// own turns a Unix time in milliseconds into one on our clock. Should the system's have been set since the start, either may be the wrong one:
// the later of the two times counts, as a purge or a cold start taken for older than it is breaks a rule, and the other way round does not.
func (s *Service) own(unixMS int64) routing.Micros {
	now, at := s.clock(), routing.Micros(unixMS*1000)
	return min(max(now-routing.Micros(s.ground.WallTime().UnixMicro())+at, at), now)
}

// clocks logs it when the system's clock was set. What others tell in its time is taken for the later of two from then on: see own.
func (s *Service) clocks(now time.Time) {
	off := s.ground.WallTime().Sub(s.wall) - now.Sub(s.start)
	if by := off - s.off; by > setLeast || by < -setLeast {
		s.off = off
		s.log.WithFields(logrus.Fields{"by_ms": by.Milliseconds(), "since_start_ms": off.Milliseconds()}).Warn("clock: the system's clock was set")
	}
}

// enter begins every call of the module: the clock first.
func (s *Service) enter() {
	s.now = s.clock()
	s.router.SetTime(s.now)
}

// Run starts the one timer: for the module's wakes, the trips' limits and the upkeep of connections.
func (s *Service) Run() {
	turns := s.ground.StartLoop(s.turn, func() {})
	s.engine.Do(func() { s.turns = turns })
	turns.Wake() // for an alarm that was set meanwhile
}

// turn is one call of the timer; it gives the span until the next.
func (s *Service) turn() (span time.Duration) {
	s.engine.Do(func() {
		s.behind = 0
		s.behind = s.unread()
		s.ring()
	})
	if plant == plantDrain {
		s.engine.Do(s.plantedDrains)
	}
	s.engine.Do(func() {
		if now := s.ground.Now(); now.Sub(s.beat) >= beatEvery {
			s.beat = now
			s.clocks(now)
			s.engine.Tick(now)
			s.pool.Tick(now)
			s.watch.Tick(now)
			s.front(now)
			if s.upkeep != nil {
				s.upkeep.Tick(now)
			}
		}
	})
	s.engine.Do(func() {
		next := s.clock() + routing.Micros(beatEvery.Microseconds())
		if len(s.alarms) > 0 {
			next = min(next, s.alarms[0].at)
		}
		s.armed = next
		span = max(time.Duration(next-s.clock())*time.Microsecond, 0)
	})
	return span
}

// unread is how long what is read now may have lain unread at most, as far as it can be known: while the timer got no turn, nothing
// else did.
func (s *Service) unread() routing.Micros {
	if s.armed == 0 {
		return 0
	}
	return max(s.behind, s.clock()-s.armed, 0)
}

// Stalled tells whether the router has just had no turn for long.
func (s *Service) Stalled() bool { return s.unread() >= stallLeast }

// ring does what is due.
func (s *Service) ring() {
	s.enter()
	woke := false
	for len(s.alarms) > 0 && s.alarms[0].at <= s.now {
		a := s.alarms.pop()
		if a.wake {
			woke = true
			continue
		}
		s.late(a.trip)
	}
	if woke {
		s.router.TimerFired()
	}
}

func (s *Service) alarm(a alarm) {
	s.alarms.push(a)
	if a.at < s.armed {
		s.armed = a.at
		if s.turns != nil {
			s.turns.Wake()
		}
	}
}

// SetTimer arms the timer.
func (s *Service) SetTimer(at routing.Micros) { s.alarm(alarm{at: at, wake: true}) }

// Now is the router's clock, for background work.
func (s *Service) Now() routing.Micros { return s.clock() }
