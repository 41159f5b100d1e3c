package invariants

// A notice is an EndpointListed or Purged event. Discovery numbers the notices and sends them to all routers.

// announced handles a notice of discovery. A notice that a machine is usable announces the machine's last start if it
// gives the time of that start.
func (c *Checker) announced(e Event) {
	c.notices = append(c.notices, e)
	if e.Kind != EndpointListed {
		return
	}
	m := c.machine(e.Machine)
	m.unusableNotice = 0
	if !e.Usable {
		m.unusableNotice = e.Number
		return
	}
	isCurrentStart := e.EffectiveAt == m.startedAt // false if an earlier start is announced late
	if m.cold && m.startNotice == 0 && isCurrentStart {
		m.startNotice = e.Number
	}
}

// notified records that a router has received the notices of discovery up to a number.
func (c *Checker) notified(e Event) {
	r := c.router(e.Router)
	for len(r.notified) < e.Number {
		r.notified = append(r.notified, e.At)
	}
}

// notifiedAt returns when a router counts as notified: when it received the notice, or the latest time at which it
// should have received it, whichever is earlier. ok is false if there is no such notice, or if the router has not
// received it and can't receive it because the router is paused or discovery is down.
func (c *Checker) notifiedAt(id RouterID, number int) (at Micros, ok bool) {
	if number <= 0 || number > len(c.notices) {
		return 0, false
	}
	r := c.router(id)
	announcedAt := c.notices[number-1].At
	at = announcedAt + c.settings.NotificationTimeout
	if r.everPaused && r.pauseChangedAt > announcedAt {
		at = max(at, r.pauseChangedAt+c.settings.ReconnectGrace)
	}
	if c.discoveryChangedAt > announcedAt {
		at = max(at, c.discoveryChangedAt+c.settings.ReconnectGrace)
	}
	if number <= len(r.notified) {
		return min(at, r.notified[number-1]), true
	}
	return at, !r.paused && !c.discoveryDown
}
