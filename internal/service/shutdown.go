package service

import "time"

const (
	minDrainPeriod       = 800 * time.Millisecond  // clients go on connecting for a while after the signal
	idlePeriod           = 40 * time.Millisecond   // all requests answered for so long
	handoverTimeout      = 1500 * time.Millisecond // for other routers to take this one's leases
	departurePeriod      = 40 * time.Millisecond   // for the notice of departure to go out: two ticks of control
	shutdownPollInterval = 5 * time.Millisecond
)

// Shutdown drains the router: it serves until clients have had time to leave, all requests are answered, every answer
// is with the kernel and other routers hold this one's leases.
func (s *Server) Shutdown() {
	for done := s.BeginShutdown(); !done(); {
		time.Sleep(shutdownPollInterval)
	}
}

// BeginShutdown begins to drain. The result is to be called some hundred times a second until it tells that the router
// is drained.
func (s *Server) BeginShutdown() (done func() bool) {
	background := s.proxy.background
	s.engine.Do(func() {
		s.proxy.draining = true
		if background != nil {
			background.Leave()
		}
	})
	now := s.engine.Runtime().Now()
	d := &drain{server: s, begun: now, lastBusy: now}
	return d.step
}

// drain is a shutdown under way.
type drain struct {
	server    *Server
	begun     time.Time
	lastBusy  time.Time
	announced time.Time // of the departure, to peers; zero: not yet
}

// step advances the drain and reports whether it is done.
func (d *drain) step() bool {
	now := d.server.engine.Runtime().Now()
	background := d.server.proxy.background
	if !d.announced.IsZero() {
		if now.Sub(d.announced) < departurePeriod {
			return false
		}
		background.Stop()
		return true
	}
	if !d.drained(now) {
		return false
	}
	if background == nil {
		return true
	}
	d.announced = now
	background.AnnounceDeparture()
	return false
}

// drained reports whether all has been answered for idlePeriod, and the leases are handed over.
func (d *drain) drained(now time.Time) bool {
	idle, handedOver := false, true
	d.server.engine.Do(func() {
		idle = d.server.frontend.Idle()
		background := d.server.proxy.background
		handedOver = background == nil || background.LeasesHandedOver() || now.Sub(d.begun) > handoverTimeout
	})
	if !idle {
		d.lastBusy = now
		return false
	}
	return handedOver && now.Sub(d.begun) > minDrainPeriod && now.Sub(d.lastBusy) > idlePeriod
}
