package scheduler

import (
	"log/slog"

	"threadrun/internal/clock"
)

const (
	// How long no job is started after pressure has ended. The time doubles each time pressure returns, and is reset
	// to minHoldOff if the time without pressure was longer than the doubled time plus holdOffReset.
	minHoldOff   = 500 * clock.Millisecond
	maxHoldOff   = 8 * clock.Second
	holdOffReset = 10 * clock.Second
)

// pressure records whether requests are under pressure, and whether background work yields to them.
// Invariant: yielding is true whenever present is true, and stays true for holdOff after relievedAt.
type pressure struct {
	present    bool   // requests are under pressure now
	yielding   bool   // no job is started
	relievedAt Micros // when pressure last ended
	holdOff    Micros // time after relievedAt in which no job is started
	yields     uint64 // number of times that background work started to yield
}

// SetPressure sets whether requests are under pressure. Background work yields at once: no job is started, while
// running jobs continue. It resumes only after some time without pressure, which is longer the more often pressure
// has returned recently.
func (s *Scheduler) SetPressure(now Micros, present bool) {
	s.now = max(s.now, now)
	p := &s.pressure
	if present && !p.yielding {
		s.startYielding()
	}
	if p.present && !present {
		p.relievedAt = s.now
	}
	p.present = present
}

// startYielding makes background work yield, and determines the hold-off time after this pressure.
func (s *Scheduler) startYielding() {
	p := &s.pressure
	p.holdOff *= 2
	if s.now-p.relievedAt > p.holdOff+holdOffReset {
		p.holdOff = minHoldOff
	}
	p.holdOff = min(p.holdOff, maxHoldOff)
	p.yielding = true
	p.yields++
	s.log("scheduler: background work yields to requests", slog.Int("queued", s.QueuedCount()))
}

// updateYielding ends the yielding if the hold-off time has passed, and reports whether background work still
// yields.
func (s *Scheduler) updateYielding() bool {
	p := &s.pressure
	if p.yielding && !p.present && s.now-p.relievedAt >= p.holdOff {
		p.yielding = false
		s.log("scheduler: background work resumes",
			slog.Int64("hold_off_ms", int64(p.holdOff/clock.Millisecond)),
			slog.Int("queued", s.QueuedCount()),
		)
	}
	return p.yielding
}

// YieldCount returns how often background work has yielded to requests.
func (s *Scheduler) YieldCount() uint64 { return s.pressure.yields }
