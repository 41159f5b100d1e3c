package membership

import (
	"net/netip"

	"threadrun/internal/clock"
)

const (
	pullInterval       = clock.Second
	maxPages           = 2 // that answer one pull
	absentPingInterval = clock.Second
	seedPingInterval   = 10 * clock.Second
	newcomerTime       = 3 * clock.Second // after the start, in which absent members are pinged more often
	catchUpTime        = clock.Second     // after the last unknown incarnation, in which more members are pinged
	catchUpReserve     = datagramBurst / 2
)

// renewContact pings a member where for a while nothing has proved that others hear this router. Without a proof shared
// work stops, and the probes of a slow router may bring none.
func (m *Members) renewContact() {
	due := m.now-m.lastAcked > 2*m.timing.ProbeInterval && m.now-m.lastContactPing >= m.timing.ProbeInterval/2
	if !due || len(m.records) == 0 {
		return
	}
	m.lastContactPing = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// catchUp pings more members than are due to be probed while gossip brings unknown incarnations: after a mass restart
// the sums in ordinary pings alone take ten seconds to repair the list.
func (m *Members) catchUp() {
	if m.lastUnknownIncarnation == 0 || m.now-m.lastUnknownIncarnation >= catchUpTime {
		return
	}
	if m.now-m.lastCatchUp < m.timing.AckTimeout || m.limiter.Tokens() <= catchUpReserve {
		return
	}
	m.lastCatchUp = m.now
	if r := m.randomPresent(); r != nil {
		m.ping(r)
	}
}

// pingAbsent pings a member that is not present: it may have started again, or lie beyond a split that has healed.
func (m *Members) pingAbsent() {
	interval := absentPingInterval
	if m.now-m.startedAt < newcomerTime {
		interval = m.timing.ProbeInterval / 2
	}
	if m.now-m.lastRevival < interval {
		return
	}
	m.lastRevival = m.now
	if len(m.records) > 0 {
		if r := m.randomAbsent(); r != nil {
			m.ping(r)
		}
	}
	if len(m.seeds) > 0 && (m.Present() == 0 || m.now-m.lastSeedPing >= seedPingInterval) {
		m.lastSeedPing = m.now
		ping := m.newPing(m.nextPing(), nil)
		ping.send(m.seeds[m.random.IntN(len(m.seeds))])
	}
}

// randomAbsent returns a random member that is not present and has an address, or nil. There must be a record.
func (m *Members) randomAbsent() *record {
	start := m.random.IntN(len(m.records))
	for i := range m.records {
		r := m.records[(start+i)%len(m.records)]
		if !r.State.Present() && r.Address.IsValid() {
			return r
		}
	}
	return nil
}

// pull asks a member for the next part of its list, which repairs what gossip has missed. A new router asks more often
// until it has seen a whole list.
func (m *Members) pull() {
	interval := pullInterval
	if !m.listComplete && m.now-m.startedAt < maxSettleTime {
		interval = m.timing.AckTimeout
	}
	if m.now-m.lastPull < interval || len(m.records) == 0 {
		return
	}
	m.lastPull = m.now
	if r := m.randomPresent(); r != nil {
		m.sendPull(r, m.pullCursor)
	}
}

// RequestMember asks a member for the part of its list that begins with an ID.
func (m *Members) RequestMember(id NodeID) {
	if len(m.records) == 0 {
		return
	}
	if r := m.randomPresent(); r != nil {
		m.sendPull(r, id-1)
	}
}

func (m *Members) sendPull(to *record, after NodeID) {
	m.newDatagram(pull).id(after).gossip(to).send(to.Address)
}

// sendPages answers a pull with the members after an ID. Each page begins with the ID that the next page follows; 0 is
// the start of the list.
func (m *Members) sendPages(to netip.AddrPort, after NodeID) {
	start, found := m.search(after)
	if found {
		start++
	}
	for range maxPages {
		start = m.sendPage(to, start)
		if start >= len(m.records) {
			return
		}
	}
}

// sendPage sends one page and returns the index at which the next one begins.
func (m *Members) sendPage(to netip.AddrPort, start int) (next int) {
	header := m.newDatagram(page)
	d := header.id(noNode)
	next = start
	for next < len(m.records) {
		if r := m.records[next]; r.State != Unknown {
			var fits bool
			d, fits = d.entry(r)
			if !fits {
				break
			}
		}
		next++
	}
	if next < len(m.records) && next > 0 {
		header.id(m.records[next-1].ID) // in place
	}
	d.send(to)
	return next
}

// onPage notes where the next part of the list begins.
func (m *Members) onPage(next NodeID) {
	m.listComplete = m.listComplete || next == noNode
	m.pullCursor = next
}
