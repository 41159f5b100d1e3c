package invariants

// announced handles a notice of discovery.
func (c *Checker) announced(e Event) {
	c.notices = append(c.notices, e)
	if e.Kind != EndpointListed {
		return
	}
	m := c.machine(e.Machine)
	m.closedBy = 0
	if !e.Usable {
		m.closedBy = e.Number
		return
	}
	ofThisStart := e.EffectiveAt == m.startedAt // an earlier start may be announced late
	if m.cold && m.startedBy == 0 && ofThisStart {
		m.startedBy = e.Number
	}
}

// notified records that a router has discovery's events up to a number.
func (c *Checker) notified(e Event) {
	r := c.router(e.Router)
	for len(r.notified) < e.Number {
		r.notified = append(r.notified, e.At)
	}
}

// notifiedAt returns when a router counts as notified: when it received the notice, or when it should have. known is
// false if the router need not know yet.
func (c *Checker) notifiedAt(id RouterID, number int) (at Micros, known bool) {
	if number <= 0 || number > len(c.notices) {
		return 0, false
	}
	r := c.router(id)
	announcedAt := c.notices[number-1].At
	at = announcedAt + c.settings.NotificationTimeout
	if r.everPaused && r.pauseChangedAt > announcedAt {
		at = max(at, r.pauseChangedAt+c.settings.ReconnectGrace)
	}
	if c.discoveryUpAt > announcedAt {
		at = max(at, c.discoveryUpAt+c.settings.ReconnectGrace)
	}
	if number <= len(r.notified) {
		return min(at, r.notified[number-1]), true
	}
	return at, !r.paused && !c.discoveryDown
}
