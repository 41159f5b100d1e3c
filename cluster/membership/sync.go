package membership

import (
	"net/netip"

	"threadrun/internal/clock"
)

const (
	pullInterval       = clock.Second
	maxPages           = 2 // pages that answer one pull
	absentPingInterval = clock.Second
	seedPingInterval   = 10 * clock.Second
	startupPeriod      = 3 * clock.Second  // time after the start in which absent members are pinged more often
	repairPingTime     = clock.Second      // time after an unknown incarnation in which additional members are pinged
	repairPingReserve  = datagramBurst / 2 // rate limit tokens that these additional pings must not use
)

// renewContact pings a random member if nothing has proved recently that others hear this router. Without such a
// proof the router suspends shared work, and the probes of a slow router may not provide it in time.
func (m *Members) renewContact() {
	due := m.now-m.lastAckedPing > 2*m.timing.ProbeInterval && m.now-m.lastContactPing >= m.timing.ProbeInterval/2
	if !due || len(m.members) == 0 {
		return
	}
	m.lastContactPing = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// sendRepairPing pings an additional member while gossip contains unknown incarnations. After a mass restart the
// sums in regular pings alone would take ten seconds to repair the list.
func (m *Members) sendRepairPing() {
	if m.unknownIncarnationAt == 0 || m.now-m.unknownIncarnationAt >= repairPingTime {
		return
	}
	if m.now-m.lastRepairPing < m.timing.AckTimeout || m.limiter.Tokens() <= repairPingReserve {
		return
	}
	m.lastRepairPing = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// pingAbsent pings a member that is not present: it may have restarted, or a network partition may have healed. It
// also pings a random seed at seedPingInterval, or each time while no member is present.
func (m *Members) pingAbsent() {
	interval := absentPingInterval
	if m.now-m.startedAt < startupPeriod {
		interval = m.timing.ProbeInterval / 2
	}
	if m.now-m.lastAbsentPing < interval {
		return
	}
	m.lastAbsentPing = m.now
	if len(m.members) > 0 {
		if r := m.randomAbsent(); r != nil {
			m.ping(r)
		}
	}
	if len(m.seeds) > 0 && (m.PresentCount() == 0 || m.now-m.lastSeedPing >= seedPingInterval) {
		m.lastSeedPing = m.now
		ping := m.newPing(m.nextPingSeq(), nil)
		ping.send(m.seeds[m.random.IntN(len(m.seeds))])
	}
}

// randomAbsent returns a random member that is not present and has an address, or nil. The table must not be empty.
func (m *Members) randomAbsent() *knownMember {
	start := m.random.IntN(len(m.members))
	for i := range m.members {
		r := m.members[(start+i)%len(m.members)]
		if !r.State.Present() && r.Address.IsValid() {
			return r
		}
	}
	return nil
}

// pull requests the next part of a random member's list, to repair what gossip has missed. A new router pulls more
// often until it has received the end of a list.
func (m *Members) pull() {
	interval := pullInterval
	if !m.listComplete && m.now-m.startedAt < maxSettleTime {
		interval = m.timing.AckTimeout
	}
	if m.now-m.lastPull < interval || len(m.members) == 0 {
		return
	}
	m.lastPull = m.now
	if r := m.randomPresent(); r != nil {
		m.sendPull(r, m.pullCursor)
	}
}

// RequestMember requests the part of a random member's list that begins with an ID. The reply is merged like any
// other report.
func (m *Members) RequestMember(id NodeID) {
	if len(m.members) == 0 {
		return
	}
	if r := m.randomPresent(); r != nil {
		m.sendPull(r, id-1)
	}
}

// sendPull requests the part of a member's list after an ID.
func (m *Members) sendPull(to *knownMember, after NodeID) {
	m.newDatagram(pull).id(after).gossip(to).send(to.Address)
}

// sendPages answers a pull with up to maxPages pages of the members after an ID. Each page contains the ID after
// which the next page starts, or 0 if it is the last one.
func (m *Members) sendPages(to netip.AddrPort, after NodeID) {
	start, found := m.search(after)
	if found {
		start++
	}
	for range maxPages {
		start = m.sendPage(to, start)
		if start >= len(m.members) {
			return
		}
	}
}

// sendPage sends one page and returns the index of the first member of the next page.
func (m *Members) sendPage(to netip.AddrPort, start int) (next int) {
	header := m.newDatagram(page)
	d := header.id(noNode)
	next = start
	for next < len(m.members) {
		if r := m.members[next]; r.State != Unknown {
			var fits bool
			d, fits = d.entry(r)
			if !fits {
				break
			}
		}
		next++
	}
	if next < len(m.members) && next > 0 {
		header.id(m.members[next-1].ID) // overwrites the ID in the buffer
	}
	d.send(to)
	return next
}

// onPage records the ID after which the next part of the list begins. noNode marks the end of the list.
func (m *Members) onPage(next NodeID) {
	m.listComplete = m.listComplete || next == noNode
	m.pullCursor = next
}
