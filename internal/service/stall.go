package service

import "threadrun/routing"

const (
	// stallThreshold is how late the timer loop must be for the process to count as stalled.
	stallThreshold routing.Micros = 25_000

	// stallGracePeriod is the time after a stall during which nothing times out, so that bytes that arrived during
	// the stall are read first.
	stallGracePeriod routing.Micros = 5_000

	// maxTurnsHeldBack is the number of consecutive turns that may hold back the timers. A loop that is late in more
	// turns than that is slowed down by load: bytes are read between its turns, and requests wait for their answers.
	maxTurnsHeldBack = 3
)

// loopDelay returns how late the timer loop is. Received bytes may have been unread for that time. Time before the
// last stall was noticed is not counted again.
func (p *proxy) loopDelay() routing.Micros {
	if p.nextTurnAt == 0 {
		return 0
	}
	return max(p.clockNow()-max(p.nextTurnAt, p.stallNoticedAt), 0)
}

// DetectStall implements frontend.Handler: it detects whether the process has stalled, which means that it was not
// running, and reports a stall to the front end. It is called before the handling of any event that a stall may have
// delayed.
func (p *proxy) DetectStall() {
	if p.loopDelay() < stallThreshold {
		return
	}
	now := p.clockNow()
	unread := now - max(p.lastTurnEndedAt, p.stallNoticedAt)
	p.stallNoticedAt = now
	p.lastTurnDelay = 0
	p.frontend.Stalled(p.runtime.Now().Add(-unread.Duration()))
}

// inStallGracePeriod reports whether the process has stalled so recently that bytes which arrived during the stall
// may be unread.
func (p *proxy) inStallGracePeriod() bool {
	return p.stallNoticedAt > 0 && p.clockNow() < p.stallNoticedAt+stallGracePeriod
}

// holdsBackTimers reports whether the timers must not fire in this turn, so that bytes that arrived during a stall are
// read first.
func (p *proxy) holdsBackTimers() bool {
	return p.inStallGracePeriod() && p.turnsHeldBack < maxTurnsHeldBack
}

// countTurnHeldBack counts, at the end of each turn, the consecutive turns that ended in a grace period.
func (p *proxy) countTurnHeldBack() {
	if p.holdsBackTimers() {
		p.turnsHeldBack++
		return
	}
	p.turnsHeldBack = 0
}

// maxUnreadTime returns for how long at most a request was unread. frontendMax is the front end's maximum, which
// counts only stalls; shorter delays of the loop are counted here.
func (p *proxy) maxUnreadTime(frontendMax routing.Micros) routing.Micros {
	return max(frontendMax, p.lastTurnDelay, p.loopDelay())
}
