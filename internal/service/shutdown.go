package service

import "time"

const (
	minDrainPeriod       = 800 * time.Millisecond  // clients continue to connect for some time after the signal
	idlePeriod           = 40 * time.Millisecond   // required time without an open request
	handoverTimeout      = 1500 * time.Millisecond // maximum time for other routers to claim this router's leases
	departurePeriod      = 40 * time.Millisecond   // time to send the announcement: two ticks of control
	shutdownPollInterval = 5 * time.Millisecond
)

// Shutdown drains the router. It continues to serve until clients have had time to leave, all requests are
// answered, the kernel has accepted every answer, and other routers hold this router's leases.
func (s *Server) Shutdown() {
	for done := s.BeginShutdown(); !done(); {
		time.Sleep(shutdownPollInterval)
	}
}

// BeginShutdown starts to drain the router. The caller must call done some hundred times per second until it
// returns true.
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

// drain is a shutdown in progress.
type drain struct {
	server    *Server
	begun     time.Time
	lastBusy  time.Time
	announced time.Time // when the departure was announced to peers; zero: not yet
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

// drained reports whether all requests have been answered for idlePeriod and the leases are handed over.
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
