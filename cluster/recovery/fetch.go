package recovery

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

const (
	requestTimeout = 150 * clock.Millisecond // for the first attempt; increases by the same amount with each attempt
	maxAttempts    = 3
	maxDeferrals   = 6 // per slice and router
	maxHashSlices  = 16
	maxProviders   = 1024 // number of routers that are asked for the records they store for others

	// incarnationTolerance is the minimum difference, in milliseconds, between two incarnations (which are start
	// times) for the lower one to count as earlier.
	incarnationTolerance membership.Incarnation = 2000

	nobody = -1 // index used for no provider
)

// provider is a router that may be asked for records.
type provider struct {
	Peer
	asked  bool
	serves bool // it has sent records
	empty  bool // it has no records, or did not answer
}

// keySlice is one part of the records to fetch: the records of some keys, or, if fixed, those that one provider
// stores for others.
type keySlice struct {
	fixed     bool
	provider  int // index of the provider that is asked, or nobody
	number    uint32
	fetched   int // number of records fetched
	attempts  int
	deferrals int
	moves     int // times that it was moved to another provider
	deadline  Micros
	waiting   bool // a request is in flight
	done      bool
}

// startedLater reports whether a router seems to have started later than this one, or at about the same time.
func (m *Manager) startedLater(p *provider) bool {
	return p.Incarnation+incarnationTolerance > m.self.Incarnation
}

// beginFetching lists the slices to request and their providers.
func (m *Manager) beginFetching(eachPeer func(f func(Peer))) {
	m.slices = m.slices[:0]
	m.listProviders(eachPeer)
	if len(m.providers) == 0 {
		return
	}
	for range min(len(m.providers), maxHashSlices) {
		m.slices = append(m.slices, keySlice{provider: nobody})
	}
	m.hashSlices = len(m.slices)
	m.recordsPerSlice = (m.bounds.Records + m.hashSlices - 1) / m.hashSlices
	for i := range m.providers[:min(len(m.providers), maxProviders)] {
		m.slices = append(m.slices, keySlice{provider: i, fixed: true})
		if !m.startedLater(&m.providers[i]) {
			m.earlier = i + 1
		}
	}
	m.stats.Routers = uint64(len(m.providers))
	m.setState(Fetching)
}

// listProviders lists the other routers in random order, those that started earlier first.
func (m *Manager) listProviders(eachPeer func(f func(Peer))) {
	m.providers = m.providers[:0]
	eachPeer(func(p Peer) {
		if p.ID != m.self.ID && p.Address.IsValid() {
			m.providers = append(m.providers, provider{Peer: p})
		}
	})
	if len(m.providers) == 0 {
		return
	}
	m.random.Shuffle(len(m.providers), func(i, j int) {
		m.providers[i], m.providers[j] = m.providers[j], m.providers[i]
	})
	slices.SortStableFunc(m.providers, func(a, b provider) int {
		return cmp.Compare(octets.FromBool(m.startedLater(&a)), octets.FromBool(m.startedLater(&b)))
	})
}

// pickProvider returns the index of the provider to request a slice from, or nobody. It prefers providers that
// started earlier.
func (m *Manager) pickProvider() int {
	if i := m.pickAmong(0, m.earlier); i != nobody {
		return i
	}
	return m.pickAmong(m.earlier, len(m.providers))
}

// pickAmong returns a provider in [first, end) that has served records, or else one that was not asked yet,
// starting at a random index.
func (m *Manager) pickAmong(first, end int) int {
	count := end - first
	if count == 0 {
		return nobody
	}
	unasked := nobody
	start := m.random.IntN(count)
	for i := range count {
		at := first + (start+i)%count
		p := &m.providers[at]
		switch {
		case p.empty:
		case p.serves:
			return at
		case !p.asked && unasked == nobody:
			unasked = at
		}
	}
	return unasked
}

// tickFetching requests the slices within the rate limit. It ends the Fetching state when all slices are fetched or
// after a timeout.
func (m *Manager) tickFetching() {
	waiting, unfinished := m.progress()
	late := m.inState() >= m.bounds.FetchTimeout
	if unfinished == 0 || late || len(m.fetched) >= m.bounds.Records {
		if late && unfinished > 0 {
			m.stats.Unfinished = uint64(unfinished)
			m.output.Log("recovery: records were not fetched in time, continuing without them")
		}
		m.setState(CatchingUp)
		return
	}
	for i := range m.slices {
		s := &m.slices[i]
		if s.done || m.requestTokens < 1 {
			continue
		}
		switch {
		case s.waiting && m.now >= s.deadline:
			m.retry(i)
		case !s.waiting && waiting < m.bounds.Concurrency:
			if m.assignProviderOrFinish(s) {
				waiting++
				m.request(i)
			}
		}
	}
}

// progress returns the number of slices with a request in flight, and the number of unfinished slices.
func (m *Manager) progress() (waiting, unfinished int) {
	for i := range m.slices {
		s := &m.slices[i]
		if s.done {
			continue
		}
		unfinished++
		if s.waiting {
			waiting++
		}
	}
	return waiting, unfinished
}

// assignProviderOrFinish assigns a provider to a slice that has none. If none is left, it marks the slice as done and
// returns false.
func (m *Manager) assignProviderOrFinish(s *keySlice) bool {
	if s.provider != nobody {
		return true
	}
	s.provider = m.pickProvider()
	if s.provider == nobody || s.moves > len(m.providers) {
		s.done = true
		return false
	}
	m.providers[s.provider].asked = true
	return true
}

// retry repeats the request for a slice that was not answered in time, or gives up its provider.
func (m *Manager) retry(i int) {
	s := &m.slices[i]
	if s.attempts < maxAttempts && s.deferrals <= maxDeferrals {
		m.request(i)
		return
	}
	m.stats.Unresponsive++
	p := &m.providers[s.provider]
	p.empty = true
	p.serves = false
	m.moveOn(s)
}

// moveOn makes a slice be requested from another provider. A fixed slice is done instead, since no other provider
// has its records.
func (m *Manager) moveOn(s *keySlice) {
	if s.fixed {
		s.done = true
		return
	}
	s.provider = nobody
	s.waiting = false
	s.attempts = 0
	s.deferrals = 0
	s.moves++
}

// request requests the next records of a slice.
func (m *Manager) request(i int) {
	s := &m.slices[i]
	m.lastNumber++
	s.number = m.lastNumber
	s.waiting = true
	s.deadline = m.now + requestTimeout*Micros(1+s.attempts)
	s.attempts++
	m.requestTokens--
	m.stats.RequestsSent++
	r := request{number: s.number, from: m.self.ID, skip: s.fetched}
	if !s.fixed {
		r.slice = i
		r.slices = m.hashSlices
	}
	m.output.Send(m.providers[s.provider].Address, r.append(m.buf[:0]))
}

// waitingFor returns the slice whose request has the given number and is in flight, or nil. Therefore a duplicate
// answer is ignored.
func (m *Manager) waitingFor(number uint32) *keySlice {
	if m.state != Fetching {
		return nil
	}
	for i := range m.slices {
		s := &m.slices[i]
		if s.waiting && s.number == number && !s.done {
			return s
		}
	}
	return nil
}

// takeDeferral delays the next request for a slice by the time its provider asks for.
func (m *Manager) takeDeferral(d deferral) {
	s := m.waitingFor(d.number)
	if s == nil {
		return
	}
	s.deadline = m.now + min(d.wait, maxDeferral)
	s.attempts = 0
	s.deferrals++
}

// takePage handles a page of records of a slice.
func (m *Manager) takePage(p page) {
	s := m.waitingFor(p.number)
	if s == nil {
		return
	}
	from := &m.providers[s.provider]
	from.serves = p.total > 0
	from.empty = p.total == 0
	if from.empty {
		m.moveOn(s)
		return
	}
	s.fetched += len(p.records)
	s.waiting = false
	s.attempts = 0
	s.number = 0
	s.done = !p.more || len(p.records) == 0 || !s.fixed && s.fetched >= m.recordsPerSlice
	for _, r := range p.records {
		m.takeRecord(r)
	}
}

func (m *Manager) takeRecord(r directory.Record) {
	m.stats.Records++
	if m.fetched != nil {
		m.fetched[r.Key] = true
	}
	m.output.RecordRecovered(r)
}
